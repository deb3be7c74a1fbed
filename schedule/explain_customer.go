package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines the explanations of a customer's use of a pool and of its position in the
// queue.

// A CustomerExplanation describes the state of a customer in a pool. Its fields are exported
// because a codec reads and writes them.
type CustomerExplanation struct {
	Pool     string `json:"pool"`
	Customer string `json:"customer"`
	// Used is the sum of the declared needs of the customer's runs in the pool.
	Used pointport.Shape `json:"used"`
	// Capped reports whether the customer has a cap. Allowed is how much of it may be used in this
	// pool, and HeldBack is the need of the tasks that only the cap keeps from starting.
	Capped   bool            `json:"capped,omitempty"`
	Allowed  pointport.Shape `json:"allowed,omitzero"`
	HeldBack pointport.Shape `json:"heldBack,omitzero"`
	// Share is the share of the pool's processors or memory that the customer uses, whichever is
	// larger. Part is its weight divided by the weights of all customers with work here. While
	// Share exceeds Part, its next jobs wait behind those of others.
	Share float64 `json:"share"`
	Part  float64 `json:"part"`
	// Jobs counts the customer's jobs, Begun those that have begun, and Late those that can hardly
	// end in time.
	Jobs  int `json:"jobs"`
	Begun int `json:"begun"`
	Late  int `json:"late"`
	// Excess is how long further jobs of the customer should be refused, in nanoseconds.
	Excess time.Duration `json:"excess,omitempty"`
	// Ahead counts the waiting jobs of other customers that are placed before its next one.
	Ahead int `json:"ahead"`
}

// ExplainCustomer describes the state of a customer in the pool. The caller sets Pool.
func (s *Scheduler) ExplainCustomer(now time.Time, name string) CustomerExplanation {
	x := CustomerExplanation{Customer: name}
	a := s.accounts[name]
	if a == nil {
		return x
	}
	queue := s.rankedJobs(now)
	totals := s.sharesOf(s.usableWorkers(now), queue)
	x.Used, x.Capped, x.Allowed, x.HeldBack = a.used, a.capped, a.allowed, a.heldBack
	x.Share, x.Excess = totals.dominant(a), a.refuseFor
	if totals.weights > 0 {
		x.Part = s.weightOf(a) / totals.weights
	}
	for _, e := range s.jobs {
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
	s.visitInOrder(totals, queue, func(e *entry) bool {
		if e.account == a {
			return false
		}
		x.Ahead++
		return true
	})
	return x
}
