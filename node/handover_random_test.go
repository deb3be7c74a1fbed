package node_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/testbed"
)

// This file draws troubles of hand-overs at random: pools go back and forth between members
// that stand still, whose changes are lost or late, and of which instances hear one and not
// another.

// handOverKinds are what happens to members and between them and instances.
//
// Some stand there more than once: a pool that is given away in vain harms only if starts
// are late and their instances take nothing else.
var handOverKinds = []string{
	"freeze", "freezeOwner", "suspend", "suspendOwner", "oneSided", "ownerAlone", "wander",
	"loseReleases", "loseReleases", "loseReleases", "lateStarts", "lateStarts", "lateStarts", "drain", "drain",
	"storeLosesAnswers", "storeIsLate", "kill", "stop", "revoke", "aloneAndFrozen", "aloneAndFrozen",
}

func drawHandOverScript(t *rapid.T) script {
	s := script{handOver: true, cancels: make(map[int]time.Duration), poison: -1, hopeless: -1, guards: rapid.Bool().Draw(t, "guards")}
	// Tasks outlast the time in which a pool changes hands, and are small enough for pools
	// that nobody enlarges.
	const longer, smaller = 3, 3
	for range rapid.IntRange(1, 14).Draw(t, "jobs") {
		spec := drawSpec(t)
		for n := range spec.Steps {
			spec.Steps[n].Estimate *= longer
			spec.Steps[n].Need.CPUMilli /= smaller
			spec.Steps[n].Need.MemoryMiB /= smaller
		}
		s.jobs = append(s.jobs, spec)
		s.starts = append(s.starts, drawTime(t, "start"))
		if rapid.IntRange(0, 6).Draw(t, "cancelled") == 0 {
			s.cancels[len(s.jobs)-1] = drawTime(t, "cancel")
		}
	}
	for n := range s.joins {
		s.joins[n] = time.Duration(rapid.IntRange(0, 8000).Draw(t, "join")) * time.Millisecond
	}
	for range rapid.IntRange(1, 12).Draw(t, "troubles") {
		s.troubles = append(s.troubles, trouble{
			at:    drawTime(t, "trouble"),
			lasts: time.Duration(rapid.IntRange(100, 5000).Draw(t, "lasts")) * time.Millisecond,
			kind:  rapid.SampledFrom(handOverKinds).Draw(t, "kind"),
			index: rapid.IntRange(0, 9).Draw(t, "index"),
		})
	}
	return s
}

// join has a node join after a time.
func (p *play) join(n int, after time.Duration) {
	time.Sleep(after)
	p.cluster.start(fmt.Sprintf("n%d", n))
	p.busy[n].Store(false)
}

// Whatever happens while pools change hands, no task has two runs at once, none that is
// done starts again, and all jobs end as they should.
func TestRulesHoldWhilePoolsChangeHands(t *testing.T) {
	t.Parallel()
	checkScripts(t, drawHandOverScript)
}

// A mishap decides the fate of orders and of calls to the store while it lasts.
type mishap struct {
	order func(op string, to pointport.InstanceID) (testbed.Delivery, bool)
	call  func(node, op, key string) (memory.Fault, bool)
}

// mishaps are those that last at present; the first that has to do with a call decides.
type mishaps struct {
	mu  sync.Mutex
	all []*mishap
	key string // of the call to the store that is under way
}

// watch has the mishaps decide the fates of a cluster's calls.
func (m *mishaps) watch(c *cluster) {
	c.mu.Lock()
	c.onStore = func(_, _, key string) { m.key = key }
	c.mu.Unlock()
	c.setNetwork(m.order)
	c.setStoreFate(m.call)
}

func (m *mishaps) order(op string, to pointport.InstanceID) testbed.Delivery {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.all {
		if x.order == nil {
			continue
		}
		if f, ok := x.order(op, to); ok {
			return f
		}
	}
	return testbed.Reliable(op, to)
}

func (m *mishaps) call(node, op string) memory.Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.all {
		if x.call == nil {
			continue
		}
		if f, ok := x.call(node, op, m.key); ok {
			return f
		}
	}
	return memory.FaultNone
}

// during has a mishap last for a time.
func (m *mishaps) during(lasts time.Duration, x mishap) {
	m.mu.Lock()
	m.all = append(m.all, &x)
	m.mu.Unlock()
	time.Sleep(lasts)
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := range m.all {
		if m.all[n] == &x {
			m.all = append(m.all[:n:n], m.all[n+1:]...)
			return
		}
	}
}

// standStill has a node's process, or its machine, stand still for a time.
func (c *cluster) standStill(name string, frozen bool, lasts time.Duration) {
	c.mu.Lock()
	r := c.nodes[name]
	c.mu.Unlock()
	if r == nil {
		return
	}
	if frozen {
		r.clock.freeze()
	} else {
		r.clock.suspend()
	}
	time.Sleep(lasts)
	r.clock.wake()
}

// aloneAfter is for how long an instance goes on hearing nobody but a member that stood
// still: until others have let go of what that member may have extended.
const aloneAfter = 7 * time.Second

// hearsOnly has an instance hear nobody but one node.
func hearsOnly(id pointport.InstanceID, node string) mishap {
	return mishap{order: func(op string, to pointport.InstanceID) (testbed.Delivery, bool) {
		cut := to == id && !strings.HasPrefix(op, node+" ")
		return testbed.Delivery{Latency: time.Millisecond, OrderLost: true}, cut
	}}
}

// bringHandOver brings a trouble of hand-overs about; false if it is none.
func (p *play) bringHandOver(tr trouble) bool {
	c := p.cluster
	name := fmt.Sprintf("n%d", tr.index%3)
	pool := []string{"shift", "payout"}[tr.index%2]
	owner, owned := c.ownerIfAny(pool)
	id := c.fleet.IDs()[tr.index]
	calls := 0
	switch tr.kind {
	case "freeze", "suspend":
		c.standStill(name, tr.kind == "freeze", tr.lasts)
	case "freezeOwner", "suspendOwner":
		if owned {
			c.standStill(owner, tr.kind == "freezeOwner", tr.lasts)
		}
	case "oneSided":
		p.mishaps.during(tr.lasts, hearsOnly(id, name))
	case "ownerAlone":
		p.mishaps.during(tr.lasts, hearsOnly(id, owner))
	case "aloneAndFrozen":
		c.mu.Lock()
		r := c.nodes[owner]
		c.mu.Unlock()
		if r != nil {
			r.clock.freezeAtRead(1+tr.index, tr.lasts)
			p.mishaps.during(tr.lasts+aloneAfter, hearsOnly(id, owner))
		}
	case "loseReleases":
		p.mishaps.during(tr.lasts, mishap{call: func(_, op, key string) (memory.Fault, bool) {
			// A release puts no key; nor does a read under conditions.
			return []memory.Fault{memory.FaultLostCall, memory.FaultLate, memory.FaultLostAnswer}[tr.index%3], op == "commit" && key == ""
		}})
	case "wander":
		for end := time.Now().Add(tr.lasts); time.Now().Before(end); time.Sleep(700 * time.Millisecond) {
			c.store.ExpireKey(member.OwnerKey(pool))
		}
	case "lateStarts":
		p.mishaps.during(tr.lasts, mishap{order: func(op string, _ pointport.InstanceID) (testbed.Delivery, bool) {
			calls++
			return testbed.Delivery{LateBy: time.Duration(500+400*tr.index) * time.Millisecond}, strings.HasSuffix(op, " start") && calls%2 == 0
		}})
	case "storeLosesAnswers", "storeIsLate":
		fault := map[string]memory.Fault{"storeLosesAnswers": memory.FaultLostAnswer, "storeIsLate": memory.FaultLate}[tr.kind]
		p.mishaps.during(tr.lasts, mishap{call: func(_, op, _ string) (memory.Fault, bool) {
			calls++
			return fault, op == "commit" && calls%3 == 0
		}})
	default:
		return false
	}
	return true
}
