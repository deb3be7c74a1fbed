package capacity_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
)

// This file tests how a new planner treats the orders of an earlier one.

// Guards against moving an instance with running tasks after a handover. A spare instance was moved
// to a pool and got tasks. Then another member became the steward and read a list that lagged by
// some seconds and showed the instance as spare, so it was ordered to a second pool. Orders of an
// earlier steward must count as pending until the list confirms them, too.
func TestListThatLagsEndsNoTasksAfterHandover(t *testing.T) {
	for _, lag := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			f := newFleet(4, "a", "b", spareName)
			f.lag = lag
			former := make(map[pointport.InstanceID]capacity.FormerOrder)
			p := capacity.NewPlanner(settings)
			n := 0
			f.loadPeaks(80, func() {
				if n++; n == 12 {
					p = capacity.NewPlanner(settings)
					p.SetFormer(former)
				}
				f.step(p, 250*time.Millisecond, func(o capacity.Order) bool {
					f.checkInterruptsNothing(t, o)
					former[o.Machine] = capacity.FormerOrder{Order: o, At: f.now}
					return true
				})
			})
			if got := f.count("b"); got < 7 {
				t.Errorf("pool b has %d instances at the end for a need of 6.5", got)
			}
		})
	}
}
