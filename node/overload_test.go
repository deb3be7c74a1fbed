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

// When the load peak of one pool exceeds the whole fleet, a second pool must still get the
// instances that it needs. If the sizes follow lateness alone, the backlog of the first pool
// becomes late, so the pool keeps its instances and gets each one that becomes free; then the
// jobs of the second pool become late before it has any, and its customers wait for seconds, up
// to 20 s on a small site. The log then shows 'pool sized' with 95 instances of 181 wanted and
// only late jobs for the first pool, and 17 of 138 for the second, whose jobs were on time when
// they arrived.
//
// Here a burst in one pool takes the whole fleet for ten seconds. From its third second on, the
// other pool has a steady load that four of the ten instances can hold. Two thirds of the
// second pool's jobs must complete in time, and all jobs of both pools must end.
func TestLateBacklogDoesNotStarveOtherPool(t *testing.T) {
	t.Parallel()
	const (
		burst     = 200 // jobs of four tasks that use a core for half a second each
		perSecond = 5
		steadyFor = 8 * time.Second
		work      = 500 * time.Millisecond
	)
	need := pointport.Shape{CPUMilli: 1000, MemoryMiB: 64}
	simulate(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		shift, payout := queue(t, n, "shift-close"), queue(t, n, "payout-close")
		spec := &workload.Spec{Payload: "x", Steps: []workload.Step{{Count: 4, Need: need, Estimate: work}}}
		objective := time.Duration(payout.Policy.Stretch*float64(work)) + payout.Policy.Target
		var wg sync.WaitGroup
		var inTime, ended atomic.Int64
		send := func(q *workload.Queue, id string, counter *atomic.Int64) {
			sent := time.Now()
			submit(t, n, q, id, spec)
			wg.Go(func() {
				for time.Since(sent) < time.Minute {
					if s, err := n.Intake().Status(context.Background(), q, id); err == nil && s.Ended() {
						ended.Add(1)
						if time.Since(sent) <= objective && counter != nil {
							counter.Add(1)
						}
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		for i := range burst {
			send(shift, fmt.Sprintf("%016x", i), nil)
		}
		time.Sleep(3 * time.Second)
		steady := int(steadyFor.Seconds() * perSecond)
		for i := range steady {
			send(payout, fmt.Sprintf("%016x", burst+i), &inTime)
			time.Sleep(time.Second / perSecond)
		}
		wg.Wait()
		if got := int(inTime.Load()); got < steady*2/3 {
			t.Errorf("%d of %d jobs of the pool with a steady load ended in time, want two thirds", got, steady)
		}
		if got := int(ended.Load()); got != burst+steady {
			t.Errorf("%d of %d jobs have ended", got, burst+steady)
		}
		t.Logf("%d of %d in time", inTime.Load(), steady)
	}, withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Reservation: need, Duration: work}
	}))
}
