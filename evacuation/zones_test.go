package evacuation_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
	_ "github.com/pointport/pointport/internal/fixedseed"
)

// TestStatesFollowRequests checks that exactly the availability zones with a request are
// evacuated, and that all others are open. A plain set of the requested zones is the
// reference.
func TestStatesFollowRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []pointport.ZoneID{"a", "b", "c", "d", ""}
		requested := make(map[pointport.ZoneID]bool)
		var requests []evacuation.Request
		for _, zone := range rapid.Permutation(zones).Draw(t, "zones")[:rapid.IntRange(0, len(zones)).Draw(t, "requests")] {
			requested[zone] = true
			requests = append(requests, evacuation.Request{Zone: zone})
		}
		z := evacuation.NewZones(requests)
		for _, zone := range zones {
			want := evacuation.Open
			if requested[zone] {
				want = evacuation.Evacuated
			}
			if got := z.State(zone); got != want {
				t.Fatalf("zone %q is %v, want %v", zone, got, want)
			}
		}
		if got := len(z.Requests()); got != len(requests) {
			t.Fatalf("Requests returns %d requests, want %d", got, len(requests))
		}
	})
}

// TestZeroZonesIsUnknown checks that a zero Zones, which knows no requests, does not treat an
// availability zone as open, while a Zones made of an empty list of requests does.
func TestZeroZonesIsUnknown(t *testing.T) {
	var z evacuation.Zones
	if z.IsKnown() || z.State("a") != evacuation.Unknown {
		t.Errorf("in the zero Zones, zone a is %v, want it unknown", z.State("a"))
	}
	if !evacuation.None.IsKnown() || evacuation.None.State("a") != evacuation.Open {
		t.Errorf("without requests, zone a is %v, want it open", evacuation.None.State("a"))
	}
}
