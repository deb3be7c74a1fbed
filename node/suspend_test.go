package node_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests members whose machines are suspended for seconds: nothing runs there,
// the steady clock stands still, and everybody else goes on.

// A machineClock is the clock of a member's machine, which may be suspended. Its process
// may also be frozen alone: it gets no time on the machine's cores.
type machineClock struct {
	mu     sync.Mutex
	woken  chan struct{} // while it is suspended or frozen, closed when that ends
	frozen bool
	since  time.Time
	lost   time.Duration // what Now has not counted
	// asked is called when owners of pools have read the steady time so many times more,
	// which they do to see whether they own them.
	asked func()
	reads int
	// loose says that only owners of pools stand still when they read a time; all others do
	// when they next wait, or reach for anything outside. Some read it under a lock, and in
	// a bubble no time passes while another waits for that.
	loose bool
}

var _ pointport.Clock = (*machineClock)(nil)

// gate returns once the machine runs.
func (m *machineClock) gate() { m.gateUntil(nil) }

// gateUntil returns once the machine runs, or false if done is closed first.
func (m *machineClock) gateUntil(done <-chan struct{}) bool {
	for {
		m.mu.Lock()
		woken := m.woken
		m.mu.Unlock()
		if woken == nil {
			return true
		}
		select {
		case <-woken:
		case <-done:
			return false
		}
	}
}

func (m *machineClock) suspend() { m.stand(false) }

// freeze has the process stand still while the machine's clocks go on.
func (m *machineClock) freeze() { m.stand(true) }

// stand has the machine or its process stand still, unless it does.
func (m *machineClock) stand(frozen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.woken == nil {
		m.woken, m.since, m.frozen = make(chan struct{}), time.Now(), frozen
	}
}

func (m *machineClock) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.woken == nil {
		return
	}
	if !m.frozen {
		m.lost += time.Since(m.since)
	}
	close(m.woken)
	m.woken, m.frozen = nil, false
}

// freezeAtRead has the process stand still for a time once owners of pools have read the
// steady time so many times more.
func (m *machineClock) freezeAtRead(reads int, lasts time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads = reads
	m.asked = func() {
		m.freeze()
		time.AfterFunc(lasts, m.wake)
	}
}

// Now returns the time of day with a steady reading, which lacks what was lost.
func (m *machineClock) Now() time.Time {
	m.pass()
	return m.now()
}

func (m *machineClock) now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.woken != nil && !m.frozen {
		now = m.since
	}
	return now.Add(-m.lost)
}

// pass returns once whoever reads a time may go on.
func (m *machineClock) pass() {
	m.mu.Lock()
	loose := m.loose
	m.mu.Unlock()
	if !loose || byOwner() {
		m.gate()
	}
}

// Steady returns a time that lacks nothing.
func (m *machineClock) Steady() time.Time {
	m.pass()
	now := time.Now()
	m.mu.Lock()
	asked := m.asked
	if asked != nil && byOwner() {
		m.reads--
	}
	due := asked != nil && m.reads == 0
	if due {
		m.asked = nil
	}
	m.mu.Unlock()
	if due {
		asked()
	}
	return now
}

// byOwner reports whether the owner of a pool reads a time, itself or to see whether it owns
// the pool.
func byOwner() bool {
	var callers [8]uintptr
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers[:])])
	for {
		f, more := frames.Next()
		switch {
		case strings.Contains(f.Function, "/shard."):
			return true
		case !more, !strings.Contains(f.Function, "node_test.") && !strings.Contains(f.Function, "member.Ownership."):
			return false
		}
	}
}

// After counts while the machine runs.
func (m *machineClock) After(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	from := m.Now()
	go func() {
		for left := d; left > 0; left = d - m.now().Sub(from) {
			time.Sleep(left)
			m.gate()
		}
		m.gate()
		c <- m.now()
	}()
	return c
}

// gatedMachines carries the orders of a machine that may be suspended.
type gatedMachines struct {
	pointport.Machines
	clock *machineClock
}

// Move moves a machine.
func (g *gatedMachines) Move(ctx context.Context, by pointport.Holder, id pointport.InstanceID, pool string) error {
	g.clock.gate()
	return g.Machines.Move(ctx, by, id, pool)
}

// Maintain maintains a machine.
func (g *gatedMachines) Maintain(ctx context.Context, by pointport.Holder, id pointport.InstanceID, wave int64) error {
	g.clock.gate()
	return g.Machines.Maintain(ctx, by, id, wave)
}

// suspend has a member's machine stand still for a time.
func (c *cluster) suspend(name string, lasts time.Duration) {
	c.mu.Lock()
	m := c.nodes[name].clock
	c.mu.Unlock()
	m.suspend()
	time.Sleep(lasts)
	m.wake()
}

// Suspensions of 1 to 20 s, of whoever owns a pool and of whoever orders machines about.
var suspensions = []time.Duration{time.Second, 3 * time.Second, 8 * time.Second, 20 * time.Second}

// An owner is suspended in the midst of its work, for as long as it takes others to take
// over and to end the tasks, or shorter. When it wakes, no task runs twice, and all jobs
// end.
func TestOwnerIsSuspended(t *testing.T) {
	room := pointport.Shape{CPUMilli: 500, MemoryMiB: 64}
	for _, lasts := range suspensions {
		t.Run(lasts.String(), func(t *testing.T) {
			bubble(t, 3, func(c *cluster) {
				owner := c.owner("shift")
				var other string
				for _, name := range []string{"n0", "n1", "n2"} {
					if name != owner {
						other = name
					}
				}
				q := queue(t, c.nodes[other].node, "shift-close")
				ids := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4"}
				for _, id := range ids {
					submit(t, c.nodes[other].node, q, id, &workload.Spec{Steps: []workload.Step{
						{Count: 4, Need: room, Estimate: time.Second}, {Count: 4, Need: room, Estimate: time.Second, After: []int{0}},
					}})
				}
				time.Sleep(500 * time.Millisecond)
				c.suspend(owner, lasts)
				for _, id := range ids {
					c.eventually(c.nodes[other].node, q, id, workload.Completed, 30*time.Second)
				}
			}, withWork(func(pointport.StartOrder) testbed.Work {
				return testbed.Work{Reservation: room, Duration: time.Second}
			}))
		})
	}
}

// What users saw: nothing yet; read from the code while a task with two runs was looked
// for.
//
// The order of events: the process of a pool's owner makes sure that it owns the pool, and
// gets no time on its cores for seconds, with starts to be sent. Its lease lapses and another
// member takes the pool, which cannot reach the instance where the tasks are placed. The
// process goes on and sends the starts, and the instance, which has heard of no other owner,
// runs them for as long as the orders say: for the whole lease of tasks from then on. The
// new owner lets them go after the time for which its predecessor may have extended them
// while it owned the pool, and starts them elsewhere beside that.
//
// The cause: how long tasks may run was reckoned from a time after the ownership was proven.
func TestOwnerIsFrozenBeforeItsStarts(t *testing.T) {
	const mostReads = 12 // by the owner, from when starts are stored until they are sent
	for _, lasts := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		for reads := range mostReads {
			t.Run(fmt.Sprint(lasts, " at read ", 1+reads), func(t *testing.T) {
				bubble(t, 3, func(c *cluster) { c.freezeBeforeStarts(1+reads, lasts) }, withoutSteward())
			})
		}
	}
}

// freezeBeforeStarts has the owner of a pool stand still when it has stored starts and read
// the steady time so many times since. It alone reaches the instance where the tasks are.
func (c *cluster) freezeBeforeStarts(reads int, lasts time.Duration) {
	const id = "00000000000000cc"
	owner, cut := c.owner("shift"), c.fleet.IDs()[0]
	n := c.another(owner)
	c.setNetwork(func(op string, to pointport.InstanceID) testbed.Delivery {
		return testbed.Delivery{Latency: time.Millisecond, OrderLost: to == cut && !strings.HasPrefix(op, owner+" ")}
	})
	machine, once := c.nodes[owner].clock, sync.Once{}
	c.mu.Lock()
	c.onStore = func(node, op, key string) {
		if node == owner && op == "commit" && strings.HasPrefix(key, workload.ProgressPrefix("shift")) {
			once.Do(func() { machine.freezeAtRead(reads, lasts) })
		}
	}
	c.mu.Unlock()
	submit(c.t, n, queue(c.t, n, "shift-close"), id, &workload.Spec{Payload: "serves=true cpu=500", Steps: []workload.Step{
		{Count: 4, Need: pointport.Shape{CPUMilli: 500}, Service: true},
	}})
	time.Sleep(20 * time.Second)
	if got := c.fleet.RunsOf(id); got != 4 {
		c.t.Errorf("%d tasks run, want 4\n%s", got, c.logs.about(id))
	}
}

// The member that orders machines about is suspended after it has written an order down
// and before it gives it. Meanwhile another has taken over and ordered. By the steady clock
// the first one has written a moment ago and still holds the post; it must not give the
// order, which has a lower fence than the machine has seen.
func TestStewardIsSuspendedBeforeAnOrder(t *testing.T) {
	for _, lasts := range suspensions {
		t.Run(lasts.String(), func(t *testing.T) {
			bubble(t, 3, func(c *cluster) {
				steward := c.owner("/steward")
				c.mu.Lock()
				machine, once := c.nodes[steward].clock, sync.Once{}
				c.onStore = func(node, op, key string) {
					if node != steward || op != "commit" || !strings.Contains(key, "steward") {
						return
					}
					once.Do(func() {
						machine.suspend()
						time.AfterFunc(lasts, machine.wake)
					})
				}
				c.mu.Unlock()
				c.wave(1, c.fleet.IDs()[:8], 8)
				time.Sleep(lasts + 10*time.Second)
				for range 100 {
					if c.fleet.Maintained(1) == 8 {
						return
					}
					time.Sleep(500 * time.Millisecond)
				}
				t.Errorf("%d of 8 instances are maintained\n%s", c.fleet.Maintained(1), c.logs.about("event=42"))
			})
		})
	}
}

// A member wakes up and is asked at once, before it has heard from the store. The queue
// that it knew is gone since. It must not take a job by the old configuration.
func TestWokenMemberDoesNotTrustItsConfiguration(t *testing.T) {
	for _, lasts := range suspensions {
		t.Run(lasts.String(), func(t *testing.T) {
			bubble(t, 2, func(c *cluster) {
				n := c.nodes["n0"].node
				queue(t, n, "shift-close")
				go c.suspend("n0", lasts)
				time.Sleep(lasts / 2)
				c.configure(&workload.Catalog{Version: 2})
				time.Sleep(lasts / 2)
				for range 40 {
					if k := n.Catalog(); k != nil && k.Version < 2 && lasts > time.Second {
						t.Errorf("version %d is trusted after its holder was suspended for %v", k.Version, lasts)
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				if k := n.Catalog(); k == nil || k.Version != 2 {
					t.Errorf("the catalog is %v two seconds after waking, want version 2", k)
				}
				if !strings.Contains(c.logs.about("configuration applied"), "version=2") {
					t.Errorf("version 2 was not applied")
				}
			})
		})
	}
}
