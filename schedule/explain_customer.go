package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines how it is explained what a customer has in a pool, and who waits for
// whom.

// A CustomerExplanation says how a customer stands in a pool. Its fields are exported
// because a codec reads and writes them.
type CustomerExplanation struct {
	Pool     string `json:"pool"`
	Customer string `json:"customer"`
	// Used is what its tasks declare that have a run here.
	Used pointport.Shape `json:"used"`
	// Capped says that the customer has a cap, Allowed is what may be used of it here, and
	// HeldBack what waits for it alone.
	Capped   bool            `json:"capped,omitempty"`
	Allowed  pointport.Shape `json:"allowed,omitzero"`
	HeldBack pointport.Shape `json:"heldBack,omitzero"`
	// Share is how much of the pool it uses, of processors or memory, whichever is more;
	// Part is its part of the weights of all that have work here. Beyond its part it waits
	// behind others.
	Share float64 `json:"share"`
	Part  float64 `json:"part"`
	// Jobs counts its jobs, Begun those that have begun, and Late those that will hardly
	// end in time.
	Jobs  int `json:"jobs"`
	Begun int `json:"begun"`
	Late  int `json:"late"`
	// Excess is for how long no more of its jobs are wanted, in nanoseconds.
	Excess time.Duration `json:"excess,omitempty"`
	// Ahead counts the jobs of others that wait before its next one.
	Ahead int `json:"ahead"`
}

// ExplainCustomer says how a customer stands.
func (b *Scheduler) ExplainCustomer(now time.Time, name string) CustomerExplanation {
	x := CustomerExplanation{Customer: name}
	a := b.accounts[name]
	if a == nil {
		return x
	}
	queue := b.queue(now)
	s := b.sharesOf(b.usable(now), queue)
	x.Used, x.Capped, x.Allowed, x.HeldBack = a.used, a.capped, a.allowed, a.heldBack
	x.Share, x.Excess = s.dominant(a), a.excess
	if s.weights > 0 {
		x.Part = b.weightOf(a) / s.weights
	}
	for _, e := range b.jobs {
		if e.account != a {
			continue
		}
		x.Jobs++
		if e.job.Begun() {
			x.Begun++
		}
		if e.rank.class == classLate {
			x.Late++
		}
	}
	b.inTurn(s, queue, func(e *entry) bool {
		if e.account == a {
			return false
		}
		x.Ahead++
		return true
	})
	return x
}
