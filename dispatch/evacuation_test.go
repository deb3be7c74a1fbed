package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport/choose"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/dispatch"
)

// TestEvacuatedUpstreamsGetNoRequests checks that no chooser, including one that ignores
// limits, picks an upstream in an evacuated availability zone until the zone is open again.
// If all upstreams are evacuated, requests must be refused at once instead of waiting.
func TestEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	options := map[string][]dispatch.Option{
		"forecast":    nil,
		"round-robin": {dispatch.WithChooser(&choose.RoundRobin{})},
	}
	for name, opts := range options {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tpl := template(t, "")
				s := dispatch.New("tips", clock.System{}, tpl, opts...)
				all := targets(4)
				for i := range all {
					all[i].Instance.Zone = "zone-b"
					all[i].Evacuated = i < 2
					if all[i].Evacuated {
						all[i].Instance.Zone = "zone-a"
					}
				}
				s.Update(tpl, all)
				for range 100 {
					g := acquire(t, s, request(time.Minute))
					if got := g.Instance(); got.Zone == "zone-a" {
						t.Fatalf("a request went to %s in an evacuated zone", got.ID)
					}
					g.End(dispatch.Succeeded, time.Millisecond)
				}
				for i := range all {
					all[i].Evacuated = true
				}
				s.Update(tpl, all)
				if _, err := s.Acquire(t.Context(), request(time.Minute)); reasonOf(err) != dispatch.ReasonNoUpstream {
					t.Errorf("with all availability zones evacuated: %v, want no upstream", err)
				}
				for i := range all {
					all[i].Evacuated = false
				}
				s.Update(tpl, all)
				seen := make(map[string]bool)
				for range 100 {
					g := acquire(t, s, request(time.Minute))
					seen[fmt.Sprint(g.Instance().Zone)] = true
					g.End(dispatch.Succeeded, time.Millisecond)
				}
				if !seen["zone-a"] {
					t.Error("no request goes to an availability zone that is open again")
				}
			})
		})
	}
}
