package node_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file draws random faults of pool handovers: pools move between members that are paused,
// whose changes are lost or late, and of which only one reaches some instances.

// handoverKinds are the kinds of faults that happen to members, and between them and instances.
//
// Some are listed several times to make them likelier: a release that fails only does harm if
// starts are also late, and their instances take no other tasks.
var handoverKinds = []string{
	"freeze", "freezeOwner", "suspend", "suspendOwner", "reachableFromOneNode", "reachableFromOwner", "moveOwnership",
	"loseReleases", "loseReleases", "loseReleases", "lateStarts", "lateStarts", "lateStarts", "drain", "drain",
	"storeLosesAnswers", "storeIsLate", "kill", "stop", "removeOwnerKeys", "reachableFromFrozenOwner", "reachableFromFrozenOwner",
}

func drawHandoverScript(t *rapid.T) script { return drawHandoverScriptOf(t, handoverKinds) }

// drawHandoverScriptOf draws a script whose faults are of the given kinds.
func drawHandoverScriptOf(t *rapid.T, kinds []string) script {
	s := script{handover: true, cancels: make(map[int]time.Duration), crashingJob: -1, failingJob: -1, checkpoint: drawCheckpointText(t), enforceCapacity: rapid.Bool().Draw(t, "enforce capacity")}
	// Tasks take longer than a handover of a pool, and are small enough for pools that no
	// steward enlarges.
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
	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		s.faults = append(s.faults, scriptedFault{
			at:       drawTime(t, "fault"),
			duration: time.Duration(rapid.IntRange(100, 5000).Draw(t, "duration")) * time.Millisecond,
			kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			index:    rapid.IntRange(0, 9).Draw(t, "index"),
		})
	}
	return s
}

// join starts a node after a time.
func (p *play) join(n int, after time.Duration) {
	time.Sleep(after)
	p.cluster.start(fmt.Sprintf("n%d", n))
	p.busy[n].Store(false)
}

// Whatever happens while pools change owners, no task has two runs at once, no completed task
// starts again, and all jobs end as expected.
func TestInvariantsDuringRandomHandovers(t *testing.T) {
	t.Parallel()
	checkScripts(t, drawHandoverScript)
}

// drawPeerLeaseScript draws a script of handovers with outages of the store for all members, in some
// of which the owner of a pool is killed. There are fewer other faults: most of them end the proof by
// peer leases.
func drawPeerLeaseScript(t *rapid.T) script {
	s := drawHandoverScriptOf(t, slices.Concat(handoverKinds, []string{"cutPeers"}))
	s.faults = s.faults[:min(len(s.faults), rapid.IntRange(0, 4).Draw(t, "other faults"))]
	for n := range s.joins {
		s.joins[n] /= 8
	}
	for n, spec := range s.jobs {
		if n%4 != 0 { // has tasks of which owners may start some before that is stored
			s.starts[n] /= 2
			chainSteps(spec)
		}
	}
	for range rapid.IntRange(1, 2).Draw(t, "outages") {
		s.faults = append(s.faults, scriptedFault{
			at:       drawTime(t, "outage"),
			duration: time.Duration(rapid.IntRange(1500, 7000).Draw(t, "outage duration")) * time.Millisecond,
			kind:     rapid.SampledFrom([]string{"outage", "outageKillsOwner", "outageKillsOwner"}).Draw(t, "outage kind"),
			index:    rapid.IntRange(0, 9).Draw(t, "index"),
		})
	}
	return s
}

// chainSteps makes each step of a job that does not serve depend on the previous one. There are three
// steps without gangs and copies.
func chainSteps(spec *workload.Spec) {
	if spec.Steps[0].Service {
		return
	}
	for len(spec.Steps) < 3 {
		spec.Steps = append(spec.Steps, spec.Steps[0])
	}
	for n := range spec.Steps {
		step := &spec.Steps[n]
		step.Gang, step.Copies = false, false
		if n > 0 {
			step.After = []int{n - 1}
		}
	}
}

// Whatever happens while pools change owners, owners that rely on peer leases during outages of
// the store for all members violate no invariant either, and all jobs end as expected.
func TestInvariantsDuringRandomHandoversWithPeerLeases(t *testing.T) {
	t.Parallel()
	checkScriptsWith(t, drawPeerLeaseScript, withPeerLeases(peerLeaseLimit))
}

// A faultRule decides the faults of orders and of store calls while it is active.
type faultRule struct {
	order func(op string, to pointport.InstanceID) (testbed.Delivery, bool)
	call  func(node, op, key string) (memory.Fault, bool)
}

// faultRules holds the active rules. The first rule that applies to a call decides its fault.
type faultRules struct {
	mu  sync.Mutex
	all []*faultRule
	key string // of the store call being made
}

// install makes the rules decide the faults of a cluster's orders and store calls.
func (m *faultRules) install(c *cluster) {
	c.mu.Lock()
	c.onStoreCall = func(_, _, key string) { m.key = key }
	c.mu.Unlock()
	c.setNetwork(m.order)
	c.setStoreFault(m.call)
}

func (m *faultRules) order(op string, to pointport.InstanceID) testbed.Delivery {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rule := range m.all {
		if rule.order == nil {
			continue
		}
		if f, ok := rule.order(op, to); ok {
			return f
		}
	}
	return testbed.Reliable(op, to)
}

func (m *faultRules) call(node, op string) memory.Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rule := range m.all {
		if rule.call == nil {
			continue
		}
		if f, ok := rule.call(node, op, m.key); ok {
			return f
		}
	}
	return memory.FaultNone
}

// applyFor activates a rule for a time.
func (m *faultRules) applyFor(duration time.Duration, rule faultRule) {
	m.mu.Lock()
	m.all = append(m.all, &rule)
	m.mu.Unlock()
	time.Sleep(duration)
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := range m.all {
		if m.all[n] == &rule {
			m.all = append(m.all[:n:n], m.all[n+1:]...)
			return
		}
	}
}

// pause freezes a node's process, or suspends its machine, for a time.
func (c *cluster) pause(name string, frozen bool, duration time.Duration) {
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
	time.Sleep(duration)
	r.clock.wake()
}

// isolatedAfterPause is how long an instance stays reachable only from a member after that
// member's pause: until other members no longer wait for task leases that it may have extended.
const isolatedAfterPause = 7 * time.Second

// reachableOnlyFrom returns a rule under which only one node reaches an instance.
func reachableOnlyFrom(id pointport.InstanceID, node string) faultRule {
	return faultRule{order: func(op string, to pointport.InstanceID) (testbed.Delivery, bool) {
		cut := to == id && !strings.HasPrefix(op, node+" ")
		return testbed.Delivery{Latency: time.Millisecond, OrderLost: true}, cut
	}}
}

// injectHandover injects a fault of a handover. It returns false if the fault is of another
// kind.
func (p *play) injectHandover(fault scriptedFault) bool {
	c := p.cluster
	name := fmt.Sprintf("n%d", fault.index%3)
	pool := poolOf(fault.index)
	owner, owned := c.ownerIfAny(pool)
	id := c.fleet.IDs()[fault.index]
	calls := 0
	switch fault.kind {
	case "freeze", "suspend":
		c.pause(name, fault.kind == "freeze", fault.duration)
	case "freezeOwner", "suspendOwner":
		if owned {
			c.pause(owner, fault.kind == "freezeOwner", fault.duration)
		}
	case "reachableFromOneNode":
		p.faultRules.applyFor(fault.duration, reachableOnlyFrom(id, name))
	case "reachableFromOwner":
		p.faultRules.applyFor(fault.duration, reachableOnlyFrom(id, owner))
	case "reachableFromFrozenOwner":
		c.mu.Lock()
		r := c.nodes[owner]
		c.mu.Unlock()
		if r != nil {
			r.clock.freezeAtRead(1+fault.index, fault.duration)
			p.faultRules.applyFor(fault.duration+isolatedAfterPause, reachableOnlyFrom(id, owner))
		}
	case "loseReleases":
		p.faultRules.applyFor(fault.duration, faultRule{call: func(_, op, key string) (memory.Fault, bool) {
			// A commit without a key is a release, or a read under conditions.
			return []memory.Fault{memory.FaultLostCall, memory.FaultLate, memory.FaultLostAnswer}[fault.index%3], op == "commit" && key == ""
		}})
	case "moveOwnership":
		for end := time.Now().Add(fault.duration); time.Now().Before(end); time.Sleep(700 * time.Millisecond) {
			c.store.ExpireKey(member.OwnerKey(pool))
		}
	case "lateStarts":
		p.faultRules.applyFor(fault.duration, faultRule{order: func(op string, _ pointport.InstanceID) (testbed.Delivery, bool) {
			calls++
			return testbed.Delivery{LateBy: time.Duration(500+400*fault.index) * time.Millisecond}, strings.HasSuffix(op, " start") && calls%2 == 0
		}})
	case "outage", "outageKillsOwner":
		var outage sync.WaitGroup
		outage.Go(func() {
			p.faultRules.applyFor(fault.duration, faultRule{call: func(string, string, string) (memory.Fault, bool) { return memory.FaultLostCall, true }})
		})
		if owned && fault.kind == "outageKillsOwner" {
			time.Sleep(fault.duration * time.Duration(1+fault.index) / 10)
			p.inject(scriptedFault{kind: "kill", duration: fault.duration, index: nodeIndex(owner)})
		}
		outage.Wait()
	case "storeLosesAnswers", "storeIsLate":
		storeFault := map[string]memory.Fault{"storeLosesAnswers": memory.FaultLostAnswer, "storeIsLate": memory.FaultLate}[fault.kind]
		p.faultRules.applyFor(fault.duration, faultRule{call: func(_, op, _ string) (memory.Fault, bool) {
			calls++
			return storeFault, op == "commit" && calls%3 == 0
		}})
	default:
		return false
	}
	return true
}
