package node_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// What users saw: at peaks of one pool beyond what the whole fleet holds, customers of the
// next pool, whose jobs would have been in time, waited behind it for seconds, and 20 s
// on the weakest site. The order of events: a backlog built up in the first pool and became
// late; the pool kept its instances, and got each one that fell free, because it missed
// most; the second pool's jobs became late as well before it had any. The evidence: 'pool
// sized' of 95 instances with 181 wanted and all of its jobs placed as late, beside 17
// with 138 wanted and jobs that were fresh when they came.
//
// The load here: a burst in one pool that takes the whole fleet for ten seconds, and from
// its third second on a steady load in the other that four of ten instances hold. Two
// thirds of the second pool's customers must have their jobs in time, and all of both
// pools must be served.
func TestLateBacklogLeavesRoomForOthers(t *testing.T) {
	t.Parallel()
	const (
		burst     = 200 // jobs of four tasks of half a second on a core
		perSecond = 5
		steadyFor = 8 * time.Second
		work      = 500 * time.Millisecond
	)
	room := pointport.Shape{CPUMilli: 1000, MemoryMiB: 64}
	bubble(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		shift, payout := queue(t, n, "shift-close"), queue(t, n, "payout-close")
		spec := &workload.Spec{Payload: "x", Steps: []workload.Step{{Count: 4, Need: room, Estimate: work}}}
		objective := time.Duration(payout.Policy.Stretch*float64(work)) + payout.Policy.Target
		var wg sync.WaitGroup
		var inTime, ended atomic.Int64
		ask := func(q *workload.Queue, id string, timely *atomic.Int64) {
			asked := time.Now()
			submit(t, n, q, id, spec)
			wg.Go(func() {
				for time.Since(asked) < time.Minute {
					if s, err := n.Intake().Status(context.Background(), q, id); err == nil && s.Ended() {
						ended.Add(1)
						if time.Since(asked) <= objective && timely != nil {
							timely.Add(1)
						}
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		for i := range burst {
			ask(shift, fmt.Sprintf("%016x", i), nil)
		}
		time.Sleep(3 * time.Second)
		steady := int(steadyFor.Seconds() * perSecond)
		for i := range steady {
			ask(payout, fmt.Sprintf("%016x", burst+i), &inTime)
			time.Sleep(time.Second / perSecond)
		}
		wg.Wait()
		if got := int(inTime.Load()); got < steady*2/3 {
			t.Errorf("%d of %d jobs of the pool with a steady load ended in time", got, steady)
		}
		if got := int(ended.Load()); got != burst+steady {
			t.Errorf("%d of %d jobs have ended", got, burst+steady)
		}
		t.Logf("%d of %d in time", inTime.Load(), steady)
	}, withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Reservation: room, Duration: work}
	}))
}
