package capacity_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
)

// This file tests how pools with far more instances than they need retire them.

// Guards against retiring the instances of one pool before those of the others. A site starts with
// far more instances than its load needs, the platform accepts few orders per second, and the
// first peak comes to one pool a few seconds later. If that pool was reduced first, its
// jobs wait until instances come back while the other pools still have all of theirs.
func TestPoolsRetireInstancesEvenly(t *testing.T) {
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
			t.Fatalf("%d instances are closed in round %d, want %v at most: closed instances cannot serve a peak", closed, round, most)
		}
		if a, b := f.count("a"), f.count("b"); max(a, b)-min(a, b) > 2*ordersPerRound {
			t.Fatalf("the pools have %d and %d instances in round %d", a, b, round)
		}
	}
	given := 2*perPool - f.count("a") - f.count("b")
	if given < 40*ordersPerRound {
		t.Errorf("%d instances were retired in 6 s, want nearly as many as the platform accepts orders for", given)
	}
	f.need["a"] = 100000 // 135 instances with headroom
	f.step(p, 100*time.Millisecond, nil)
	if got := f.count("a"); got < 100 {
		t.Errorf("pool a has %d instances when its peak comes", got)
	}
}

// A pool's owner is told which of its incarnations were ended by moves, for as long as it reports
// them. Ends by maintenance are passed on too, but not as sure.
func TestOwnersGetOrderedEnds(t *testing.T) {
	f := newFleet(2, "a", "b", spareName)
	p := capacity.NewPlanner(settings)
	f.need["a"] = 2500
	for range 10 {
		f.step(p, 100*time.Millisecond, nil)
	}
	f.need["a"] = 100
	reported := make(map[pointport.IncarnationID]bool)
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
					reported[id] = true
				}
			}
			if !reported[id] {
				t.Errorf("the owner of pool a is not told that %s was moved", id)
			}
		}
	}
	if len(reported) == 0 {
		t.Fatal("no instance was moved away")
	}
	p.SetSurvey(f.now, "a", f.survey("a"))
	if ends := p.OrderedEnds(f.now, "a"); len(ends) != 0 {
		t.Errorf("the owner gets %+v although it no longer reports them", ends)
	}
}
