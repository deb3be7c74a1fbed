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

// This file tests customers' caps on whole nodes.

// What has to run at once and is beyond its customer's cap is refused with the reason, before
// anything is stored; what may run bit by bit is not.
func TestBeyondTheCapAtOnce(t *testing.T) {
	bubble(t, 1, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(capOf(3), "bistro")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		core := pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}
		cases := map[string]struct {
			step  workload.Step
			taken bool
		}{
			"00000000000000a1": {workload.Step{Count: 4, Need: core, Gang: true}, false},
			"00000000000000a2": {workload.Step{Count: 1, Need: core.Times(4)}, false},
			"00000000000000a3": {workload.Step{Count: 3, Need: core, Gang: true}, true},
			"00000000000000a4": {workload.Step{Count: 8, Need: core}, true},
		}
		for id, k := range cases {
			err := as(n, "bistro").Submit(context.Background(), q, id, &workload.Spec{Steps: []workload.Step{k.step}})
			var field *workload.SpecError
			if k.taken && err != nil || !k.taken && (!errors.As(err, &field) || field.Field != "steps[0].need") {
				t.Errorf("job %s with %+v: %v", id, k.step, err)
			}
		}
	})
}

// A capWatch is the reference for caps: one sum of what a customer has running, by what
// instances were told, held against the highest cap that counts.
type capWatch struct {
	c      *cluster
	ids    map[string]bool
	mu     sync.Mutex
	limits []countingCap // guarded by mu, as worst is
	worst  int64
}

type countingCap struct {
	cores int64
	until time.Time // zero while it is in force
}

// formerCapCounts is for how long a cap counts after a lower one was put into force: the
// least that the users' pages give.
const formerCapCounts = 2 * time.Second

// lower puts another cap into force.
func (w *capWatch) lower(version, cores int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits[len(w.limits)-1].until = time.Now().Add(formerCapCounts)
	w.limits = append(w.limits, countingCap{cores: cores})
	w.c.configure(&workload.Catalog{Version: version, Customers: customers(capOf(cores), "bistro", "cafe")})
}

func capOf(cores int64) map[string]pointport.Shape {
	return map[string]pointport.Shape{"bistro": {CPUMilli: cores * 1000}}
}

// watch holds what runs against the cap until stop is closed.
func (w *capWatch) watch(stop <-chan struct{}) {
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
		most := int64(0)
		for _, l := range w.limits {
			if l.until.IsZero() || time.Now().Before(l.until) {
				most = max(most, l.cores)
			}
		}
		w.worst = max(w.worst, running)
		w.mu.Unlock()
		if running > most && running > before {
			w.c.t.Errorf("%d cores run of a cap of %d", running, most)
		}
		before = running
	}
}

// What a customer has running in both pools stays within its cap while owners are killed,
// the cap is lowered and raised, and a node is cut off from the store; another customer is
// served beside it, and what was held back runs in the end.
func TestCaps(t *testing.T) {
	cases := map[string]func(c *cluster){
		"no trouble": func(*cluster) {},
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
		"an owner cut off from the store": func(c *cluster) {
			name := c.owner("shift")
			c.setStoreFate(turnedAway(memory.FaultLostCall, name))
			time.Sleep(6 * time.Second)
			c.setStoreFate(storeWorks)
		},
		"answers of the store lost": func(c *cluster) {
			calls := 0
			c.setStoreFate(func(_, op string) memory.Fault {
				if calls++; op == "commit" && calls%3 == 0 {
					return memory.FaultLostAnswer
				}
				return memory.FaultNone
			})
			time.Sleep(6 * time.Second)
			c.setStoreFate(storeWorks)
		},
	}
	const task = 700 * time.Millisecond
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 3, func(c *cluster) {
				w := &capWatch{c: c, ids: make(map[string]bool), limits: []countingCap{{cores: 12}}}
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
						if err := as(n, "bistro").Submit(context.Background(), q[pool], fmt.Sprintf("%016x", 2*i+k), spec); err != nil {
							t.Fatal(err)
						}
					}
				}
				stop := make(chan struct{})
				go w.watch(stop)
				time.Sleep(time.Second)
				done := make(chan struct{})
				go func() {
					defer close(done)
					trouble(c)
				}()
				time.Sleep(time.Second)
				w.lower(3, 5)
				time.Sleep(5 * time.Second)
				w.lower(4, 9)
				time.Sleep(2 * time.Second)
				w.lower(5, 3)
				<-done
				time.Sleep(8 * time.Second)
				n = c.nodes["n0"].node
				if err := as(n, "cafe").Submit(context.Background(), q["shift"], "00000000000000ff", spec); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				if s, err := as(n, "cafe").Status(context.Background(), q["shift"], "00000000000000ff"); s != workload.Completed {
					t.Errorf("beside a customer at its cap, another's job is %q, %v", s, err)
				}
				w.lower(6, 40)
				for id := range w.ids {
					pool := q["shift"]
					if strings.ContainsAny(id[15:], "13579bdf") {
						pool = q["payout"]
					}
					for end := time.Now().Add(time.Minute); ; time.Sleep(50 * time.Millisecond) {
						s, _ := as(n, "bistro").Status(context.Background(), pool, id)
						if s == workload.Completed {
							break
						}
						if time.Now().After(end) {
							t.Fatalf("job %s is %q\n%s", id, s, c.logs.about(id))
						}
					}
				}
				close(stop)
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.worst < 10 {
					t.Errorf("at most %d cores ran of a cap of 12", w.worst)
				}
			}, withWork(func(pointport.StartOrder) testbed.Work {
				return testbed.Work{Reservation: pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}, Duration: task}
			}))
		})
	}
}
