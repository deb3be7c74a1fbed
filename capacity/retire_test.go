package capacity_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
)

// This file tests how pools that have far more than they need give instances back.

// The load that it plays: a site starts with many more instances in its pools than its load
// needs, the platform takes few orders a second, and the first peak comes to one of the pools
// a few seconds later. What callers saw: that pool had been emptied first, down to what it
// needed so far, and its jobs waited until instances came back, while the others had all of
// theirs still.
func TestPoolsGiveInstancesBackEvenly(t *testing.T) {
	const perPool, ordersPerRound = 200, 4
	bounded := settings
	bounded.OrdersPerSecond = 10 * ordersPerRound
	f := newFleet(perPool, "a", "b", spareName)
	p := capacity.NewPlanner(bounded)
	for round := range 60 {
		given := 0
		d := f.step(p, 100*time.Millisecond, func(o capacity.Order) bool {
			given++
			if given > ordersPerRound {
				p.WithdrawUnsent(o)
				return false
			}
			return true
		})
		closed := 0
		for _, closures := range d.Closures {
			closed += len(closures)
		}
		if most := 2 * bounded.OrdersPerSecond; float64(closed) > most {
			t.Fatalf("%d instances are closed in round %d, want %v at most: they could take a peak that comes", closed, round, most)
		}
		if a, b := f.count("a"), f.count("b"); max(a, b)-min(a, b) > 2*ordersPerRound {
			t.Fatalf("the pools have %d and %d instances in round %d", a, b, round)
		}
	}
	given := 2*perPool - f.count("a") - f.count("b")
	if given < 40*ordersPerRound {
		t.Errorf("%d instances were given back in 6 s, want nearly as many as the platform takes orders for", given)
	}
	f.need["a"] = 100000 // with headroom 135 instances
	f.step(p, 100*time.Millisecond, nil)
	if got := f.count("a"); got < 100 {
		t.Errorf("pool a has %d instances when its peak comes", got)
	}
}

// A pool's owner is told which of its incarnations were ended by moves, as long as it still
// tells of them, and by maintenance that they may have been.
func TestOwnersAreToldOfOrderedEnds(t *testing.T) {
	f := newFleet(2, "a", "b", spareName)
	p := capacity.NewPlanner(settings)
	f.need["a"] = 2500
	for range 10 {
		f.step(p, 100*time.Millisecond, nil)
	}
	f.need["a"] = 100
	told := make(map[pointport.IncarnationID]bool)
	for range 60 {
		before := make(map[pointport.InstanceID]pointport.Addressee)
		for _, m := range f.machines {
			before[m.ID] = m.Addressee
		}
		d := f.step(p, 100*time.Millisecond, nil)
		for _, o := range d.Orders {
			if o.From != "a" || o.Pool == "" {
				continue
			}
			id := pointport.IncarnationID(before[o.Machine])
			for _, end := range p.OrderedEnds(f.now, "a") {
				if end.Incarnation == id && end.Sure {
					told[id] = true
				}
			}
			if !told[id] {
				t.Errorf("the owner of pool a is not told that %s was moved", id)
			}
		}
	}
	if len(told) == 0 {
		t.Fatal("no instance was moved away")
	}
	p.SetSurvey(f.now, "a", f.survey("a"))
	if ends := p.OrderedEnds(f.now, "a"); len(ends) != 0 {
		t.Errorf("the owner is told of %+v, which it does not tell of any more", ends)
	}
}
