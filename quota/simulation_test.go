package quota_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/quota"
)

// This file defines a simulation of the owners of some pools, which share the cap of one customer.
// Amounts are in thousandths of a core.

// A simulation holds the owners of the pools, the store with the customer's account, and the
// caps against which the sum of all running tasks is checked.
type simulation struct {
	now      time.Time
	revision pointport.Revision
	value    []byte
	owners   []*owner
	version  int64 // of the newest configuration
	newest   *quota.Policy
	// caps holds every cap so far, with the time until which it is in force.
	caps []activeCap
	// delayed holds sent changes that the store has not made yet but still may.
	delayed []delayedChange
}

// A delayedChange is a change that the owner of a pool has sent.
type delayedChange struct {
	pool string
	quota.Change
}

type activeCap struct {
	limit int64
	until time.Time
}

// An owner is the owner of one pool, with the tasks that run there.
type owner struct {
	pool       string
	ledger     *quota.Ledger
	policy     *quota.Policy
	policyBy   time.Time // when the owner learns nextPolicy at the latest
	nextPolicy *quota.Policy
	runs       []int64 // what each running task needs
	wanted     int64   // what waits for the cap
	inFlight   []quota.Change
}

func milli(n int64) pointport.Shape { return pointport.Shape{CPUMilli: n} }

func directory(limit pointport.Shape) *customer.Directory {
	return customer.NewDirectory([]customer.Customer{{Name: name, Cap: limit}})
}

func newSimulation(limit int64, pools []string) *simulation {
	s := &simulation{now: time.Unix(1000, 0), version: 1, caps: []activeCap{{limit: limit}}}
	s.newest = quota.NewPolicy(nil, directory(milli(limit)), pools, s.version)
	for _, pool := range pools {
		s.addOwner(pool)
	}
	return s
}

// addOwner adds a pool, whose owner knows the newest configuration.
func (s *simulation) addOwner(pool string) {
	o := &owner{pool: pool, policy: s.newest}
	s.owners = append(s.owners, o)
	s.replaceOwner(o)
}

// replaceOwner gives a pool a new owner; its tasks keep running. Changes of the former owner can
// no longer be made, since each depends on its ownership.
func (s *simulation) replaceOwner(o *owner) {
	s.dropDelayed(o.pool)
	o.inFlight = nil
	o.ledger = quota.NewLedger(o.pool)
	o.ledger.SetPolicy(o.policy)
	_ = o.ledger.Reset(s.entries())
	o.want(0)
}

// removeOwner removes a pool from the fleet. Its row stays in the account.
func (s *simulation) removeOwner(o *owner) {
	s.dropDelayed(o.pool)
	s.owners = slices.DeleteFunc(s.owners, func(x *owner) bool { return x == o })
}

func (s *simulation) dropDelayed(pool string) {
	s.delayed = slices.DeleteFunc(s.delayed, func(c delayedChange) bool { return c.pool == pool })
}

// configure puts another cap and the present pools into force. The owners learn of them within policyDelay.
func (s *simulation) configure(limit int64) {
	var pools []string
	for _, o := range s.owners {
		s.learnPolicy(o)
		pools = append(pools, o.pool)
	}
	s.version++
	s.caps[len(s.caps)-1].until = s.now.Add(formerCapTime)
	s.caps = append(s.caps, activeCap{limit: limit})
	s.newest = quota.NewPolicy(s.newest, directory(milli(limit)), pools, s.version)
	for _, o := range s.owners {
		o.nextPolicy = quota.NewPolicy(o.policy, directory(milli(limit)), pools, s.version)
		o.policyBy = s.now.Add(policyDelay)
	}
}

// learnPolicy makes an owner apply the newest configuration, if it has not yet.
func (s *simulation) learnPolicy(o *owner) {
	if o.nextPolicy == nil {
		return
	}
	o.policy, o.nextPolicy = o.nextPolicy, nil
	o.ledger.SetPolicy(o.policy)
}

func (s *simulation) entries() []pointport.Entry {
	if s.revision == 0 {
		return nil
	}
	return []pointport.Entry{pointport.NewEntry(quota.Key(name), s.value, s.revision)}
}

// want sets what waits for the cap in a pool, and passes on what runs there.
func (o *owner) want(wanted int64) {
	o.wanted = wanted
	o.ledger.SetUsage(name, quota.Usage{Used: milli(o.used()), Wanted: milli(wanted)})
}

func (o *owner) used() int64 {
	var sum int64
	for _, r := range o.runs {
		sum += r
	}
	return sum
}

// endRuns ends the first n tasks of a pool.
func (o *owner) endRuns(n int) {
	o.runs = o.runs[n:]
	o.want(o.wanted)
}

// commit makes a change if the account is still at the change's revision.
func (s *simulation) commit(c quota.Change) bool {
	if c.Revision != s.revision {
		return false
	}
	s.revision++
	s.value = c.Value
	return true
}

// running returns what the running tasks in all pools need.
func (s *simulation) running() int64 {
	var sum int64
	for _, o := range s.owners {
		sum += o.used()
	}
	return sum
}

// newestCap returns the cap of the newest configuration.
func (s *simulation) newestCap() int64 { return s.caps[len(s.caps)-1].limit }

// limit returns the highest cap that is in force.
func (s *simulation) limit() int64 {
	var most int64
	for _, c := range s.caps {
		if c.until.IsZero() || s.now.Before(c.until) {
			most = max(most, c.limit)
		}
	}
	return most
}

// formerCapTime is how long a cap stays in force after it was replaced, and policyDelay the time
// within which each owner learns of the new one.
const (
	formerCapTime = 2 * time.Second
	policyDelay   = time.Second
)

// fataler is what the simulation needs of a test.
type fataler interface {
	Fatalf(format string, args ...any)
}

// startTask starts a task in an owner's pool. It reports whether the customer's cap allows it.
func (s *simulation) startTask(t fataler, o *owner, need int64) bool {
	allowed := o.ledger.Allowed()[name]
	if !allowed.Fits(milli(o.used() + need)) {
		o.want(20 * need)
		return false
	}
	o.runs = append(o.runs, need)
	o.want(0)
	if got := s.running(); got > s.limit() {
		t.Fatalf("a start in %s raises the running total to %d thousandths of a core, want at most %d; account %s", o.pool, got, s.limit(), s.value)
	}
	return true
}

// finishChange makes, delays or rejects the oldest change in flight of an owner, and reports the
// outcome to the owner's ledger, or that it is ambiguous.
func (s *simulation) finishChange(t *rapid.T, o *owner) {
	if len(o.inFlight) == 0 {
		return
	}
	c := o.inFlight[0]
	o.inFlight = o.inFlight[1:]
	switch rapid.SampledFrom([]string{"committed", "committed", "answer lost", "call lost", "rejected", "delayed"}).Draw(t, "outcome") {
	case "committed":
		s.store(o, c)
	case "answer lost":
		s.commit(c)
		o.ledger.HandleOutcome(c, 0, quota.Ambiguous)
	case "call lost":
		o.ledger.HandleOutcome(c, 0, quota.Ambiguous)
	case "rejected":
		o.ledger.HandleOutcome(c, 0, quota.NotCommitted)
	case "delayed":
		s.delayed = append(s.delayed, delayedChange{o.pool, c})
		o.ledger.HandleOutcome(c, 0, quota.Ambiguous)
	}
}

// store makes a change if it can be made, and reports the outcome to the ledger of its owner.
func (s *simulation) store(o *owner, c quota.Change) bool {
	if s.commit(c) {
		o.ledger.HandleOutcome(c, s.revision, quota.Committed)
		return true
	}
	_ = o.ledger.Apply(s.entries())
	o.ledger.HandleOutcome(c, 0, quota.NotCommitted)
	return false
}

// roundTime is how long a round of settle takes.
const roundTime = 300 * time.Millisecond

// settleRound lets all owners learn the newest configuration and make the changes that they want, each of
// which another owner may have forestalled once.
func (s *simulation) settleRound() {
	s.now = s.now.Add(roundTime)
	for _, o := range s.owners {
		s.learnPolicy(o)
		_ = o.ledger.Apply(s.entries())
		for range 2 {
			for _, c := range o.ledger.Changes(s.now, 8) {
				s.store(o, c)
			}
		}
	}
	for _, o := range s.owners {
		_ = o.ledger.Apply(s.entries())
	}
}

// settle runs as many rounds as it takes until nothing is left to do.
func (s *simulation) settle() {
	for range 20 {
		s.settleRound()
	}
}

// poolNamed returns the name of the nth pool.
func poolNamed(n int) string { return fmt.Sprintf("pool-%02d", n) }
