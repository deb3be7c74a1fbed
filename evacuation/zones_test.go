package evacuation_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
	_ "github.com/pointport/pointport/internal/fixedseed"
)

// Zones says of each availability zone what a plain map of the requests says.
func TestStandingsFollowRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []pointport.ZoneID{"a", "b", "c", "d", ""}
		asked := make(map[pointport.ZoneID]bool)
		var requests []evacuation.Request
		for _, zone := range rapid.Permutation(zones).Draw(t, "zones")[:rapid.IntRange(0, len(zones)).Draw(t, "requests")] {
			asked[zone] = true
			requests = append(requests, evacuation.Request{Zone: zone})
		}
		z := evacuation.NewZones(requests)
		for _, zone := range zones {
			want := evacuation.Open
			if asked[zone] {
				want = evacuation.Evacuated
			}
			if got := z.State(zone); got != want {
				t.Fatalf("zone %q is %v, want %v", zone, got, want)
			}
		}
		if got := len(z.Requests()); got != len(requests) {
			t.Fatalf("%d requests of %d", got, len(requests))
		}
	})
}

// Who knows nothing must not take any availability zone for open.
func TestNothingIsKnownToBeginWith(t *testing.T) {
	var z evacuation.Zones
	if z.IsKnown() || z.State("a") != evacuation.Unknown {
		t.Errorf("zone a is %v", z.State("a"))
	}
	if !evacuation.None.IsKnown() || evacuation.None.State("a") != evacuation.Open {
		t.Errorf("without requests, zone a is %v", evacuation.None.State("a"))
	}
}
