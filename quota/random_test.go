package quota_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// This file defines random sequences of what may happen to a customer's cap, and what holds during and after
// them.

// Bounds of random caps and tasks, in thousandths of a core, and of the number of pools.
const (
	minCap, maxCap   = 4_000, 200_000
	minNeed, maxNeed = 1_000, 8_000
	maxPools         = 20
)

// idleLimit is how long an accepted job may have nothing running while its customer holds under half of its
// cap.
const idleLimit = 3 * time.Second

// operations are the steps of a random sequence; those that are listed twice are likelier.
var operations = []string{
	"start", "start", "fill", "fill", "end", "empty", "change", "change", "outcome", "all",
	"read", "learn", "cap", "series of caps", "add pool", "remove pool", "replace", "delayed",
}

// play runs a random sequence in which owners start and end tasks, change accounts, learn of changes late or
// not at all, lose answers and are replaced, and in which the cap and the pools change.
func (s *simulation) play(t *rapid.T) {
	for range rapid.IntRange(1, 300).Draw(t, "steps") {
		s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 100, 600}).Draw(t, "ms")) * time.Millisecond)
		for _, o := range s.owners {
			if o.nextPolicy != nil && !s.now.Before(o.policyBy) {
				s.learnPolicy(o)
			}
		}
		o := rapid.SampledFrom(s.owners).Draw(t, "pool")
		s.operate(t, rapid.SampledFrom(operations).Draw(t, "op"), o)
	}
}

// operate runs one step on a pool, or on all of them.
func (s *simulation) operate(t *rapid.T, operation string, o *owner) {
	switch operation {
	case "start":
		s.startTask(t, o, rapid.Int64Range(minNeed, maxNeed).Draw(t, "need"))
	case "fill":
		need := rapid.Int64Range(minNeed, maxNeed).Draw(t, "need")
		for s.startTask(t, o, need) {
		}
	case "empty":
		o.runs = nil
		o.want(0)
	case "end":
		if len(o.runs) > 0 {
			o.endRuns(1)
			o.want(0)
		}
	case "change":
		o.inFlight = append(o.inFlight, o.ledger.Changes(s.now, 8)...)
	case "all":
		for _, o := range s.owners {
			o.inFlight = append(o.inFlight, o.ledger.Changes(s.now, 8)...)
			s.finishChange(t, o)
		}
	case "outcome":
		s.finishChange(t, o)
	case "read":
		_ = o.ledger.Apply(s.entries())
	case "learn":
		s.learnPolicy(o)
	case "cap":
		s.configure(drawCap(t, s.newestCap()))
	case "series of caps":
		for range rapid.IntRange(2, 4).Draw(t, "caps") {
			s.configure(drawCap(t, s.newestCap()))
		}
	case "add pool":
		s.addPool()
	case "remove pool":
		if len(s.owners) > 1 && len(o.runs) == 0 {
			s.removeOwner(o)
			s.configure(s.newestCap())
		}
	case "replace":
		s.replaceOwner(o)
	case "delayed":
		for _, c := range s.delayed {
			s.commit(c.Change)
		}
		s.delayed = nil
	}
}

// drawCap draws the cap that follows another: lower by a hair, a tenth or a half, or any.
func drawCap(t *rapid.T, before int64) int64 {
	next := rapid.Int64Range(minCap, maxCap).Draw(t, "cap")
	switch rapid.SampledFrom([]string{"hair", "tenth", "half", "any"}).Draw(t, "change of the cap") {
	case "hair":
		next = before - rapid.Int64Range(1, before/25).Draw(t, "hair")
	case "tenth":
		next = before - before/10
	case "half":
		next = before / 2
	}
	return max(next, minCap)
}

// addPool adds the first pool that there is not, which may have been removed before.
func (s *simulation) addPool() {
	for n := range maxPools {
		pool := poolNamed(n)
		if slices.ContainsFunc(s.owners, func(o *owner) bool { return o.pool == pool }) {
			continue
		}
		s.addOwner(pool)
		s.configure(s.newestCap())
		s.learnPolicy(s.owners[len(s.owners)-1])
		return
	}
}

// drawSimulation draws a cap and pools.
func drawSimulation(t *rapid.T) *simulation {
	var pools []string
	for n := range rapid.IntRange(1, maxPools).Draw(t, "pools") {
		pools = append(pools, poolNamed(n))
	}
	return newSimulation(rapid.Int64Range(minCap, maxCap).Draw(t, "cap"), pools)
}

// TestNeverPastTheCap runs random sequences. No task start may raise the running total above the highest cap
// in force.
func TestNeverPastTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawSimulation(t).play(t) })
}

// Guards against pools that hold back all tasks of a customer for good, because their rows exceed its cap or
// keep what they do not use.
func TestCustomerUnderHalfOfItsCapIsNotHeldBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t)
		s.play(t)
		s.endFaults(t)
		half := s.newestCap() / 2
		s.endTasksDownTo(half, rapid.Uint64().Draw(t, "order of ends"))
		wanting := s.owners[:rapid.IntRange(1, len(s.owners)).Draw(t, "wanting pools")]
		s.startWhileUnder(t, half, wanting)
		if got := s.running(); got < half {
			t.Fatalf("%d thousandths of a core run %v after the last fault while %d pools have tasks that wait, want at least half of the cap of %d; account %s",
				got, idleLimit, len(wanting), s.newestCap(), s.value)
		}
	})
}

// endFaults ends what is in flight, with or without effect.
func (s *simulation) endFaults(t *rapid.T) {
	for _, o := range s.owners {
		for len(o.inFlight) > 0 {
			s.finishChange(t, o)
		}
	}
	s.delayed = nil
}

// endTasksDownTo ends tasks in a random order until at most a given amount is running.
func (s *simulation) endTasksDownTo(most int64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for s.running() > most {
		if o := s.owners[random.IntN(len(s.owners))]; len(o.runs) > 0 {
			o.endRuns(1)
		}
	}
	for _, o := range s.owners {
		o.want(0)
	}
}

// startWhileUnder lets some owners start small tasks for idleLimit, as long as less than a given amount is
// running.
func (s *simulation) startWhileUnder(t *rapid.T, enough int64, wanting []*owner) {
	const need = minCap / 10
	for end := s.now.Add(idleLimit); s.now.Before(end); {
		for _, o := range wanting {
			for started := true; started && s.running() < enough; {
				started = s.startTask(t, o, need)
			}
			o.want(s.newestCap())
		}
		s.settleRound()
	}
}
