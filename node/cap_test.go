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
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests customers' caps on complete nodes.

// A job that needs more resources at the same time than its customer may use in one of the two
// pools, which is all of its cap but an eighth, is refused with the reason before anything is
// stored. A job whose tasks can run one after the other is accepted.
func TestConcurrentNeedBeyondCapIsRefused(t *testing.T) {
	simulate(t, 1, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(capOf(3), "bistro")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		core := pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}
		cases := map[string]struct {
			step     workload.Step
			accepted bool
		}{
			"00000000000000a1": {workload.Step{Count: 4, Need: core, Gang: true}, false},
			"00000000000000a2": {workload.Step{Count: 1, Need: core.Times(4)}, false},
			"00000000000000a3": {workload.Step{Count: 3, Need: core, Gang: true}, false},
			"00000000000000a5": {workload.Step{Count: 2, Need: core, Gang: true}, true},
			"00000000000000a4": {workload.Step{Count: 8, Need: core}, true},
		}
		for id, k := range cases {
			err := asCustomer(n, "bistro").Submit(context.Background(), q, id, &workload.Spec{Steps: []workload.Step{k.step}})
			var field *workload.SpecError
			if k.accepted && err != nil || !k.accepted && (!errors.As(err, &field) || field.Field != "steps[0].need") {
				t.Errorf("job %s with step %+v: Submit returned %v", id, k.step, err)
			}
		}
	})
}

// Guards against a job that is accepted and never starts, because its gang needs more of its customer's cap
// than one pool may use.
func TestGangNearCapStartsOrIsRefused(t *testing.T) {
	const capCores = 4
	simulate(t, 1, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(capOf(capCores), "bistro")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		refused := 0
		for each := int64(capCores * 400); each <= capCores*500; each += capCores * 10 {
			id := fmt.Sprintf("%016x", each)
			spec := &workload.Spec{
				Payload: fmt.Sprintf("duration=500ms cpu=%d memory=16", each),
				Steps:   []workload.Step{{Count: 2, Need: pointport.Shape{CPUMilli: each, MemoryMiB: 16}, Estimate: 500 * time.Millisecond, Gang: true}},
			}
			err := asCustomer(n, "bistro").Submit(context.Background(), q, id, spec)
			var field *workload.SpecError
			if errors.As(err, &field) {
				refused++
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			c.waitForStatusAs(asCustomer(n, "bistro"), q, id, workload.Completed, 5*time.Second)
		}
		if refused != 7 {
			t.Errorf("%d gangs are refused, want 7: those that need more than seven eighths of the cap", refused)
		}
	})
}

// Guards against gangs in two pools that each hold a part of their customer's cap and wait for the rest.
func TestGangsInTwoPoolsDoNotWaitForEachOther(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(capOf(4), "bistro")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		shift, payout := queue(t, n, "shift-close"), queue(t, n, "payout-close")
		submit := func(q *workload.Queue, id string, tasks int, cpu int64, gang bool) {
			t.Helper()
			step := workload.Step{Count: tasks, Need: pointport.Shape{CPUMilli: cpu, MemoryMiB: 16}, Estimate: time.Second, Gang: gang}
			spec := &workload.Spec{Payload: fmt.Sprintf("duration=1s cpu=%d memory=16", cpu), Steps: []workload.Step{step}}
			if err := asCustomer(n, "bistro").Submit(context.Background(), q, id, spec); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300 * time.Millisecond)
		}
		submit(payout, jobID(1), 2, 700, false)
		submit(shift, jobID(2), 2, 1200, true)
		submit(payout, jobID(3), 2, 1200, true)
		c.waitForStatusAs(asCustomer(n, "bistro"), shift, jobID(2), workload.Completed, 10*time.Second)
		c.waitForStatusAs(asCustomer(n, "bistro"), payout, jobID(3), workload.Completed, 10*time.Second)
	})
}

// A capMonitor checks a customer's cap independently of the nodes: it compares the cores of all
// tasks that the customer has running on instances with the highest cap that still counts.
type capMonitor struct {
	c          *cluster
	ids        map[string]bool
	mu         sync.Mutex
	limits     []capPeriod // guarded by mu, like maxRunning
	maxRunning int64
}

type capPeriod struct {
	cores int64
	until time.Time // zero while the cap is in force
}

// loweredCapGrace is how long a cap still counts after a lower one was put into force: the
// least time that the users' documentation grants.
const loweredCapGrace = 2 * time.Second

// setCap puts another cap into force.
func (w *capMonitor) setCap(version, cores int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits[len(w.limits)-1].until = time.Now().Add(loweredCapGrace)
	w.limits = append(w.limits, capPeriod{cores: cores})
	w.c.configure(&workload.Catalog{Version: version, Customers: customers(capOf(cores), "bistro", "cafe")})
}

func capOf(cores int64) map[string]pointport.Shape {
	return map[string]pointport.Shape{"bistro": {CPUMilli: cores * 1000}}
}

// run checks the running tasks against the cap until stop is closed.
func (w *capMonitor) run(stop <-chan struct{}) {
	before := int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		running := int64(0)
		for _, task := range w.c.fleet.RunningTasks() {
			if id, _, err := workload.ParseTaskName(task); err == nil && w.ids[id] {
				running++
			}
		}
		w.mu.Lock()
		limit := int64(0)
		for _, l := range w.limits {
			if l.until.IsZero() || time.Now().Before(l.until) {
				limit = max(limit, l.cores)
			}
		}
		w.maxRunning = max(w.maxRunning, running)
		w.mu.Unlock()
		if running > limit && running > before {
			w.c.t.Errorf("%d cores are in use with a cap of %d", running, limit)
		}
		before = running
	}
}

// The tasks that a customer has running in two pools together stay within its cap while owners
// are killed, the cap is lowered and raised, and a node is disconnected from the store. Another
// customer's job completes meanwhile, and the tasks that were held back run in the end.
func TestCustomerStaysWithinCap(t *testing.T) {
	cases := map[string]func(c *cluster){
		"no faults": func(*cluster) {},
		"owners killed": func(c *cluster) {
			for range 3 {
				for _, pool := range []string{"shift", "payout"} {
					name := c.owner(pool)
					c.kill(name)
					c.start(name)
					time.Sleep(1500 * time.Millisecond)
				}
			}
		},
		"owner disconnected from the store": func(c *cluster) {
			name := c.owner("shift")
			c.setStoreFault(storeFaultFor(memory.FaultLostCall, name))
			time.Sleep(6 * time.Second)
			c.setStoreFault(noStoreFault)
		},
		"store answers lost": func(c *cluster) {
			calls := 0
			c.setStoreFault(func(_, op string) memory.Fault {
				if calls++; op == "commit" && calls%3 == 0 {
					return memory.FaultLostAnswer
				}
				return memory.FaultNone
			})
			time.Sleep(6 * time.Second)
			c.setStoreFault(noStoreFault)
		},
	}
	const task = 700 * time.Millisecond
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			simulate(t, 3, func(c *cluster) {
				w := &capMonitor{c: c, ids: make(map[string]bool), limits: []capPeriod{{cores: 12}}}
				c.configure(&workload.Catalog{Version: 2, Customers: customers(capOf(12), "bistro", "cafe")})
				time.Sleep(2 * time.Second)
				n := c.nodes["n0"].node
				q := map[string]*workload.Queue{"shift": queue(t, n, "shift-close"), "payout": queue(t, n, "payout-close")}
				spec := &workload.Spec{Payload: fmt.Sprintf("duration=%v cpu=1000 memory=16", task), Steps: []workload.Step{{Count: 4, Need: pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}, Estimate: task}}}
				const jobs = 24
				for i := range 2 * jobs {
					w.ids[fmt.Sprintf("%016x", i)] = true
				}
				for i := range jobs {
					for k, pool := range []string{"shift", "payout"} {
						if err := asCustomer(n, "bistro").Submit(context.Background(), q[pool], fmt.Sprintf("%016x", 2*i+k), spec); err != nil {
							t.Fatal(err)
						}
					}
				}
				stop := make(chan struct{})
				go w.run(stop)
				time.Sleep(time.Second)
				done := make(chan struct{})
				go func() {
					defer close(done)
					inject(c)
				}()
				time.Sleep(time.Second)
				w.setCap(3, 5)
				time.Sleep(5 * time.Second)
				w.setCap(4, 9)
				time.Sleep(2 * time.Second)
				w.setCap(5, 3)
				<-done
				time.Sleep(8 * time.Second)
				n = c.nodes["n0"].node
				if err := asCustomer(n, "cafe").Submit(context.Background(), q["shift"], "00000000000000ff", spec); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				if s, err := asCustomer(n, "cafe").Status(context.Background(), q["shift"], "00000000000000ff"); s != workload.Completed {
					t.Errorf("the job of another customer, while the first is at its cap, has status %q, error %v", s, err)
				}
				w.setCap(6, 40)
				for id := range w.ids {
					pool := q["shift"]
					if strings.ContainsAny(id[15:], "13579bdf") {
						pool = q["payout"]
					}
					for end := time.Now().Add(time.Minute); ; time.Sleep(50 * time.Millisecond) {
						s, _ := asCustomer(n, "bistro").Status(context.Background(), pool, id)
						if s == workload.Completed {
							break
						}
						if time.Now().After(end) {
							t.Fatalf("job %s has status %q\n%s", id, s, c.logs.containing(id))
						}
					}
				}
				close(stop)
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.maxRunning < 10 {
					t.Errorf("at most %d cores were in use with a cap of 12, want at least 10", w.maxRunning)
				}
			}, withWork(func(pointport.StartOrder) testbed.Work {
				return testbed.Work{Reservation: pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}, Duration: task}
			}))
		})
	}
}

// Guards against a customer of which nothing starts any more after its cap was changed while it was at its
// cap, also if an owner ends or has no store then.
func TestCustomerGoesOnAfterItsCapChanged(t *testing.T) {
	const full = 8000
	const task = 700 * time.Millisecond
	lower := func(limits ...int64) []int64 { return limits }
	cases := map[string]struct {
		limits []int64 // the caps that come into force, in thousandths of a core
		pause  time.Duration
		inject func(c *cluster)
	}{
		"by a hair":        {limits: lower(full - 1)},
		"by 4 percent":     {limits: lower(7680)},
		"by a tenth":       {limits: lower(7200)},
		"by a half":        {limits: lower(4000)},
		"again and again":  {limits: lower(7999, 7680, 7679, 8000, 7200, 7990), pause: 150 * time.Millisecond},
		"while owners end": {limits: lower(7999, 7680), pause: 100 * time.Millisecond, inject: func(c *cluster) { c.kill(c.owner("shift")) }},
		"with an owner's store away": {limits: lower(7999, 7680), inject: func(c *cluster) {
			c.setStoreFault(storeFaultFor(memory.FaultLostCall, c.owner("shift")))
			time.Sleep(time.Second)
			c.setStoreFault(noStoreFault)
		}},
		"while answers are lost": {limits: lower(7999, 7680), inject: func(c *cluster) {
			calls := 0
			c.setStoreFault(func(_, op string) memory.Fault {
				if calls++; op == "commit" && calls%2 == 0 {
					return memory.FaultLostAnswer
				}
				return memory.FaultNone
			})
			time.Sleep(time.Second)
			c.setStoreFault(noStoreFault)
		}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			simulate(t, 3, func(c *cluster) {
				version := int64(2)
				setCap := func(limit int64) {
					shape := pointport.Shape{CPUMilli: limit}
					c.configure(&workload.Catalog{Version: version, Customers: customers(map[string]pointport.Shape{"bistro": shape}, "bistro")})
					c.fleet.SetCap("bistro", shape)
					version++
				}
				setCap(full)
				time.Sleep(2 * time.Second)
				n := c.nodes["n0"].node
				queues := []*workload.Queue{queue(t, n, "shift-close"), queue(t, n, "payout-close")}
				spec := &workload.Spec{Payload: fmt.Sprintf("duration=%v cpu=500 memory=16", task), Steps: []workload.Step{{Count: 4, Need: pointport.Shape{CPUMilli: 500, MemoryMiB: 16}, Estimate: task}}}
				const jobs = 60
				for i := range jobs {
					if err := asCustomer(n, "bistro").Submit(context.Background(), queues[i%3/2], jobID(i), spec); err != nil {
						t.Fatal(err)
					}
					c.fleet.NoteAccepted(jobID(i), queues[i%3/2], "bistro", spec)
				}
				defer c.checkIdleJobs()()
				time.Sleep(1500 * time.Millisecond)
				for _, limit := range k.limits {
					setCap(limit)
					time.Sleep(k.pause)
				}
				if k.inject != nil {
					k.inject(c)
				}
				time.Sleep(40 * time.Second)
				for i := range jobs {
					c.waitForStatusAs(asCustomer(c.anyNode(0), "bistro"), queues[i%3/2], jobID(i), workload.Completed, time.Millisecond*50)
				}
			})
		})
	}
}
