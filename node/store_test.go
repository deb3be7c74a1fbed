package node_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/workload"
)

// This file tests nodes while the store is unavailable, slow, or loses answers.

// Jobs that run during a store outage complete after it. A job that is submitted during the
// outage is refused, with a time to retry after, and does not exist afterwards.
func TestStoreOutage(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		for i := range 4 {
			submit(t, n, q, fmt.Sprintf("%016x", i), twoSteps(2*time.Second))
		}
		time.Sleep(500 * time.Millisecond)
		c.setStoreFault(func(string, string) memory.Fault { return memory.FaultLostCall })
		time.Sleep(4 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := n.Intake().Submit(ctx, q, "00000000000000dd", twoSteps(time.Second))
		cancel()
		var refused *intake.RefusedError
		if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
			t.Errorf("Submit during the outage returned %v, want a refusal with a time to retry after", err)
		}
		c.setStoreFault(noStoreFault)
		for i := range 4 {
			c.waitForStatus(n, q, fmt.Sprintf("%016x", i), workload.Completed, 30*time.Second)
		}
		if s, err := n.Intake().Status(context.Background(), q, "00000000000000dd"); err == nil {
			t.Errorf("the refused job has status %q, want it unknown", s)
		}
	})
}

// One of three store commits loses its answer, is lost, or takes effect late. Clients retry,
// and all jobs complete.
func TestStoreAnswersAreLost(t *testing.T) {
	for _, fault := range []memory.Fault{memory.FaultLostAnswer, memory.FaultLostCall, memory.FaultLate} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			simulate(t, 3, func(c *cluster) {
				calls := 0
				c.setStoreFault(func(_, op string) memory.Fault {
					if op != "commit" {
						return memory.FaultNone
					}
					calls++
					if calls%3 == 0 {
						return fault
					}
					return memory.FaultNone
				})
				n := c.nodes["n0"].node
				q := queue(t, n, "shift-close")
				for i := range 6 {
					id := fmt.Sprintf("%016x", i)
					for {
						ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
						err := n.Intake().Submit(ctx, q, id, twoSteps(300*time.Millisecond))
						cancel()
						if err == nil {
							break
						}
					}
				}
				for i := range 6 {
					c.waitForStatus(n, q, fmt.Sprintf("%016x", i), workload.Completed, 60*time.Second)
				}
			})
		})
	}
}

// A watch that gets no events must not keep a new configuration from being applied: a new route
// must not still be unknown after four seconds. Nor may a lower version replace a higher one.
func TestConfigurationWithoutWatchEvents(t *testing.T) {
	simulate(t, 2, func(c *cluster) {
		c.store.DropWatchEvents(true)
		c.configure(&workload.Catalog{Version: 2})
		time.Sleep(2 * time.Second)
		for name, r := range c.nodes {
			if got := r.node.Catalog().Version; got != 2 {
				t.Errorf("node %s has version %d in force after two seconds, want version 2", name, got)
			}
		}
		c.store.DropWatchEvents(false)
		c.store.Compact()
		c.configure(&workload.Catalog{Version: 1})
		time.Sleep(3 * time.Second)
		for name, r := range c.nodes {
			if got := r.node.Catalog().Version; got != 2 {
				t.Errorf("node %s went back to version %d", name, got)
			}
		}
	})
}

// While the store loses the answers to two of five changes, jobs complete almost as fast as
// without faults: a call is retried after a few times its usual duration, not only when it
// times out after a second.
func TestLostStoreAnswersDelayJobsLittle(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		r := rand.New(rand.NewPCG(1, 2))
		c.setStoreFault(func(_, op string) memory.Fault {
			if op == "commit" && r.IntN(5) < 2 {
				return memory.FaultLostAnswer
			}
			return memory.FaultNone
		})
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		from := time.Now()
		for i := range 6 {
			submit(t, n, q, fmt.Sprintf("%016x", i), twoSteps(300*time.Millisecond))
		}
		for i := range 6 {
			c.waitForStatus(n, q, fmt.Sprintf("%016x", i), workload.Completed, 5*time.Second)
		}
		if took := time.Since(from); took > 5*time.Second {
			t.Errorf("jobs of two steps of 0.3 s took %v, want at most 5 s", took)
		}
	})
}

// While each store call takes 0.3 s, jobs still start soon: a batch of jobs takes one call, not
// one for every nine jobs, and no more tasks are placed than fit into a batch. The starts here
// take 2.15 s, and would take 2.75 s or more with one call for every nine jobs.
func TestSlowStoreDelaysStartsLittle(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		time.Sleep(10 * time.Second)      // until the pools have owners and settled sizes
		const jobs, starts = 100, 100 * 4 // of the first step
		from := time.Now()
		var all sync.WaitGroup
		for i := range jobs {
			spec := twoSteps(300 * time.Millisecond)
			for n := range spec.Steps {
				spec.Steps[n].Need.CPUMilli = 20 // so that jobs do not wait for free capacity
			}
			spec.Payload = "duration=300ms cpu=20 memory=128"
			all.Go(func() { submit(t, n, q, fmt.Sprintf("%016x", i), spec) })
		}
		all.Wait()
		for c.fleet.Starts() < starts && time.Since(from) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(from); took > 2500*time.Millisecond {
			t.Errorf("%d of %d tasks of %d jobs have started after %v, want all within 2.5 s", c.fleet.Starts(), starts, jobs, took)
		}
	}, withSlowStore(300*time.Millisecond), withoutSteward())
}
