package planner_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/config"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/planner"
)

var threeZones = []pointport.ZoneID{"zone-a", "zone-b", "zone-c"}

// A region is three zones with one store.
type region struct {
	clock  *clock.Fake
	store  *memory.Store
	cfg    *fakeConfig
	fleets map[pointport.ZoneID]*fakeFleet
}

func newRegion(t *testing.T, perZone, budget int) *region {
	c := clock.NewFake(time.Unix(1_800_000_000, 0))
	r := &region{clock: c, store: memory.New(c), cfg: &fakeConfig{config.NewState()}, fleets: make(map[pointport.ZoneID]*fakeFleet)}
	r.setBudget(t, perZone, budget)
	for _, zone := range threeZones {
		f := newFakeFleet(c, perZone)
		for _, i := range f.instances {
			i.Zone = zone
		}
		r.fleets[zone] = f
		if err := r.planner(zone).Round(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	c.Advance(time.Second)
	r.cfg.add(t, "kind: Wave\nname: wave\ntemplate: pool\n")
	return r
}

func (r *region) setBudget(t *testing.T, perZone, budget int) {
	r.cfg.add(t, fmt.Sprintf("kind: Template\nname: pool\npool: {size: %d}\nmaintenance: {budget: \"%d\", speed: \"100%%\", drainQuiet: 2s, drainBound: 1m, returnBound: 1m}\n", perZone*len(threeZones), budget))
}

func (r *region) log(zone pointport.ZoneID) *planner.AssignLog {
	return changelog.New[*assign.State, assign.Change](r.store, r.clock, planner.LogName(zone), assign.NewState())
}

func (r *region) planner(zone pointport.ZoneID) *planner.Planner {
	return planner.New(r.clock, zone, threeZones, r.fleets[zone], r.store, r.cfg, r.log(zone), alwaysElected{})
}

func (r *region) out() int {
	n := 0
	for _, f := range r.fleets {
		for _, i := range f.instances {
			if i.State != pointport.InstanceLive {
				n++
			}
		}
	}
	return n
}

// ended reports whether the wave has ended in every zone.
func (r *region) ended(t *testing.T) bool {
	for _, zone := range threeZones {
		log := r.log(zone)
		if err := log.Refresh(t.Context()); err != nil {
			return false
		}
		if w, ok := log.State().Wave("wave"); !ok || w.Ended.IsZero() {
			return false
		}
	}
	return true
}

// TestBudgetBelowZones runs a wave with a budget smaller than the number of
// zones, and one that is not a multiple of it. The zones must take turns.
func TestBudgetBelowZones(t *testing.T) {
	for _, budget := range []int{1, 2, 4} {
		r := newRegion(t, 3, budget)
		planners := make(map[pointport.ZoneID]*planner.Planner)
		for _, zone := range threeZones {
			planners[zone] = r.planner(zone)
		}
		maxOut := 0
		for range 2000 {
			for _, zone := range threeZones {
				if err := planners[zone].Round(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			maxOut = max(maxOut, r.out())
			r.clock.Advance(time.Second)
		}
		if !r.ended(t) {
			t.Errorf("with budget %d the wave has not ended", budget)
		}
		if maxOut > budget {
			t.Errorf("with budget %d there were %d instances out", budget, maxOut)
		}
		if maxOut < budget {
			t.Errorf("with budget %d at most %d instances were out: some of it is never used", budget, maxOut)
		}
	}
}

// TestFloatingBudgetHolds lets planners of three zones restart, pause and lose
// answers in any interleaving. The zones together never have more instances out
// than the budget.
func TestFloatingBudgetHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget := rapid.IntRange(1, 4).Draw(rt, "budget")
		r := newRegion(t, 2, budget)
		planners := make(map[pointport.ZoneID][]*planner.Planner)
		for _, zone := range threeZones {
			planners[zone] = []*planner.Planner{r.planner(zone), r.planner(zone)}
		}
		for range rapid.IntRange(1, 120).Draw(rt, "rounds") {
			zone := rapid.SampledFrom(threeZones).Draw(rt, "zone")
			n := rapid.IntRange(0, 1).Draw(rt, "planner")
			if rapid.IntRange(0, 19).Draw(rt, "restart") == 0 {
				planners[zone][n] = r.planner(zone)
			}
			faults := rapid.SliceOfN(rapid.SampledFrom([]memory.Fault{
				memory.FaultNone, memory.FaultNone, memory.FaultNone, memory.FaultNone, memory.FaultDown, memory.FaultLostAnswer, memory.FaultLostCall,
			}), 0, 12).Draw(rt, "faults")
			pause := rapid.IntRange(0, 4).Draw(rt, "pause") == 0
			r.store.SetInjector(func(op, _ string) memory.Fault {
				if op == "cas" && pause {
					// The other planner does a round while this one is paused.
					pause = false
					_ = planners[zone][1-n].Round(t.Context())
				}
				if len(faults) == 0 {
					return memory.FaultNone
				}
				f := faults[0]
				faults = faults[1:]
				return f
			})
			_ = planners[zone][n].Round(t.Context())
			if out := r.out(); out > budget {
				rt.Fatalf("%d instances are out, the budget is %d", out, budget)
			}
			r.clock.Advance(time.Duration(rapid.IntRange(0, 5).Draw(rt, "seconds")) * time.Second)
		}
	})
}
