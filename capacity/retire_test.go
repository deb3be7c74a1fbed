package capacity_test

import (
	"testing"
	"time"

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
				p.Unsent(o)
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
