package node_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests how the overload by one customer affects the others.

// One customer that sends many times its usual load must not degrade the service of the others.
// Four customers have jobs that need a third of the fleet, and one of them sends twenty-five
// times its usual load for eight seconds, in which the owner of its pool is killed. The others
// must have nine of ten jobs completed in time. Of the excess, refused jobs never run, and
// accepted jobs end.
func TestOverloadByOneCustomerWhileOwnerIsKilled(t *testing.T) {
	t.Parallel()
	const work = 700 * time.Millisecond
	need := pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}
	simulate(t, 4, func(c *cluster) {
		names := []string{"bistro", "cafe", "diner", "grill"}
		c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, names...)})
		time.Sleep(2 * time.Second)
		q := queue(t, c.nodes["n0"].node, "shift-close")
		spec := &workload.Spec{Payload: "x", Steps: []workload.Step{{Count: 2, Need: need, Estimate: work}}}
		type request struct {
			customer        string
			sentAt, ended   time.Time
			refused, failed bool
		}
		var mu sync.Mutex
		requests := make(map[string]*request)
		var wg sync.WaitGroup
		send := func(customer string, n int) {
			id := fmt.Sprintf("%016x", len(requests)+1)
			k := &request{customer: customer, sentAt: time.Now()}
			requests[id] = k
			wg.Go(func() {
				for try := 0; ; try++ {
					at := c.anyNode(n + try)
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					err := asCustomer(at, customer).Submit(ctx, q, id, spec)
					cancel()
					var excess *intake.BacklogError
					if errors.As(err, &excess) {
						if excess.RetryAfter <= 0 || customer != "bistro" {
							t.Errorf("a job of %s is refused: %v", customer, err)
						}
						k.refused = true
						return
					}
					if err == nil {
						break
					}
					if try > 20 {
						k.failed = true
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
				for time.Since(k.sentAt) < time.Minute {
					if s, err := asCustomer(c.anyNode(n), customer).Status(context.Background(), q, id); err == nil && s.Ended() {
						mu.Lock()
						k.ended = time.Now()
						mu.Unlock()
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		n := 0
		for at := time.Duration(0); at < 16*time.Second; at += 100 * time.Millisecond {
			for k, name := range names {
				if at%(400*time.Millisecond) == time.Duration(k)*100*time.Millisecond {
					n++
					send(name, n)
				}
			}
			if at >= 4*time.Second && at < 12*time.Second {
				for range 6 {
					n++
					send("bistro", n)
				}
			}
			if at == 8*time.Second {
				owner := c.owner("shift")
				c.kill(owner)
				c.start(owner)
			}
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		sent, inTime, refused := make(map[string]int), make(map[string]int), 0
		objective := time.Duration(q.Policy.Stretch*float64(work)) + q.Policy.Target
		duringTakeover := func(k *request) bool {
			since := k.sentAt.Sub(requests["0000000000000001"].sentAt)
			return since > 7*time.Second && since < 14*time.Second
		}
		for id, k := range requests {
			switch {
			case k.refused:
				refused++
				if started := c.logs.containing("task placed"); strings.Contains(started, id) {
					t.Errorf("job %s was refused but runs", id)
				}
				continue
			case k.failed || k.ended.IsZero():
				t.Errorf("job %s of %s has not ended", id, k.customer)
			}
			if duringTakeover(k) {
				continue // the owner had just been killed; no customer is served for a second or two
			}
			sent[k.customer]++
			if k.ended.Sub(k.sentAt) <= objective {
				inTime[k.customer]++
			}
		}
		for _, name := range names[1:] {
			if inTime[name]*10 < sent[name]*9 {
				t.Errorf("%d of %d jobs of %s ended in time, want nine of ten", inTime[name], sent[name], name)
			}
		}
		t.Logf("in time %v of %v, %d excess jobs refused", inTime, sent, refused)
	}, withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Reservation: need, Duration: work}
	}))
}
