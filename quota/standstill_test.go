package quota_test

import (
	"testing"

	"github.com/pointport/pointport/quota"
)

// Guards against small parts of a cap, kept unused by many pools, that add up to all that another pool needs.
func TestSmallExcessesDoNotKeepCapFromOtherPools(t *testing.T) {
	const pools, busyPools = 20, 14
	const limit, before, after = 320_000, 16_150, 5_000
	var names []string
	for n := range pools {
		names = append(names, poolNamed(n))
	}
	s := newSimulation(limit, names)
	for _, o := range s.owners[:busyPools] {
		o.runs = []int64{before}
		o.want(0)
	}
	s.settle()
	for _, o := range s.owners[:busyPools] {
		o.runs = []int64{after}
		o.want(0)
	}
	const need = 8_000
	waiting := s.owners[pools-1]
	waiting.want(need)
	s.settle()
	if !s.startTask(t, waiting, need) {
		t.Errorf("a task that needs %d cannot start while %d of %d run; account %s", need, s.running(), limit, s.value)
	}
}

// Guards against a row that stays high for good because the call that lowers it was lost.
func TestLostChangeDoesNotKeepCapFromOtherPools(t *testing.T) {
	s := newSimulation(40_000, poolNames)
	former, next := s.owners[0], s.owners[1]
	former.want(40_000)
	s.settle()
	former.want(0)
	for lost := false; !lost; {
		s.now = s.now.Add(roundTime)
		for _, c := range former.ledger.Changes(s.now, 1) {
			former.ledger.HandleOutcome(c, 0, quota.Ambiguous)
			lost = true
		}
	}
	next.want(30_000)
	s.settle()
	if !s.startTask(t, next, 30_000) {
		t.Errorf("a task that needs 30 cores cannot start while none of 40 are in use; account %s", s.value)
	}
}

// Guards against a customer of which nothing starts any more after its cap was lowered by a hair, or a service
// was added, while it was at its cap.
func TestCapLoweredSlightlyDoesNotHoldBackItsCustomer(t *testing.T) {
	changes := map[string]func(*simulation){
		"cap lowered":   func(s *simulation) { s.configure(38_400) },
		"service added": func(s *simulation) { s.addPool() },
		"lowered again and again": func(s *simulation) {
			for limit := int64(39_990); limit > 39_900; limit -= 10 {
				s.configure(limit)
				s.settleRound()
			}
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(40_000, poolNames)
			busy := s.owners[0]
			busy.want(80_000)
			s.settle()
			for s.startTask(t, busy, 1500) {
			}
			change(s)
			busy.endRuns(len(busy.runs))
			busy.want(80_000)
			s.settle()
			if !s.startTask(t, busy, 1500) {
				t.Errorf("nothing may start although nothing is running; account %s", s.value)
			}
		})
	}
}

// Guards against an owner with an older configuration that writes its row again and again, so that the
// owners that have to report on a lowered cap cannot write theirs.
func TestOwnerWithOlderConfigurationWritesItsRowOnce(t *testing.T) {
	s := newSimulation(40_000, poolNames)
	s.configure(20_000)
	late := s.owners[0]
	for _, o := range s.owners[1:] {
		s.learnPolicy(o)
		for _, c := range o.ledger.Changes(s.now, 1) {
			s.store(o, c)
		}
	}
	changes := 0
	for range 10 {
		_ = late.ledger.Apply(s.entries())
		for _, c := range late.ledger.Changes(s.now, 1) {
			s.store(late, c)
			changes++
		}
	}
	if changes > 1 {
		t.Errorf("the owner changes its row %d times before it learns of the lower cap, want once at most; account %s", changes, s.value)
	}
}
