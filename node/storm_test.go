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

// This file tests what one customer's storm takes from others.

// What users saw: while one customer sent ten times its usual, all were served badly. The
// load here: four customers whose jobs take a third of what the fleet holds, and one of them
// sends twenty-five times its usual for eight seconds, in which the owner of its pool is killed.
// The others must have nine of ten jobs in time; of the storm what is refused never runs, and
// what was accepted ends.
func TestStormOfACustomerWhileItsOwnerIsKilled(t *testing.T) {
	t.Parallel()
	const work = 700 * time.Millisecond
	room := pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}
	bubble(t, 4, func(c *cluster) {
		names := []string{"bistro", "cafe", "diner", "grill"}
		c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, names...)})
		time.Sleep(2 * time.Second)
		q := queue(t, c.nodes["n0"].node, "shift-close")
		spec := &workload.Spec{Payload: "x", Steps: []workload.Step{{Count: 2, Need: room, Estimate: work}}}
		type ticket struct {
			customer        string
			asked, ended    time.Time
			refused, failed bool
		}
		var mu sync.Mutex
		tickets := make(map[string]*ticket)
		var wg sync.WaitGroup
		ask := func(customer string, n int) {
			id := fmt.Sprintf("%016x", len(tickets)+1)
			k := &ticket{customer: customer, asked: time.Now()}
			tickets[id] = k
			wg.Go(func() {
				for try := 0; ; try++ {
					at := c.any(n + try)
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					err := as(at, customer).Submit(ctx, q, id, spec)
					cancel()
					var excess *intake.ExcessError
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
				for time.Since(k.asked) < time.Minute {
					if s, err := as(c.any(n), customer).Status(context.Background(), q, id); err == nil && s.Ended() {
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
					ask(name, n)
				}
			}
			if at >= 4*time.Second && at < 12*time.Second {
				for range 6 {
					n++
					ask("bistro", n)
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
		asked, inTime, refused := make(map[string]int), make(map[string]int), 0
		objective := time.Duration(q.Policy.Stretch*float64(work)) + q.Policy.Target
		killed := func(k *ticket) bool {
			since := k.asked.Sub(tickets["0000000000000001"].asked)
			return since > 7*time.Second && since < 14*time.Second
		}
		for id, k := range tickets {
			switch {
			case k.refused:
				refused++
				if started := c.logs.about("task placed"); strings.Contains(started, id) {
					t.Errorf("job %s was refused and runs", id)
				}
				continue
			case k.failed || k.ended.IsZero():
				t.Errorf("job %s of %s has not ended", id, k.customer)
			}
			if killed(k) {
				continue // its owner had just died; nobody is served for a second or two
			}
			asked[k.customer]++
			if k.ended.Sub(k.asked) <= objective {
				inTime[k.customer]++
			}
		}
		for _, name := range names[1:] {
			if inTime[name]*10 < asked[name]*9 {
				t.Errorf("%d of %d jobs of %s ended in time", inTime[name], asked[name], name)
			}
		}
		t.Logf("in time %v of %v, %d of the storm refused", inTime, asked, refused)
	}, withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Reservation: room, Duration: work}
	}))
}
