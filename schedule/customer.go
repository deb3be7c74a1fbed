package schedule

import (
	"log/slog"
	"math"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the accounts of customers: what their tasks use in the pool, and how much of
// their cap they may use in it.

// An account holds the use of this pool by one customer.
type account struct {
	name string
	// used is the sum of the declared needs of the customer's runs, including runs that are being
	// stopped or are on silent instances.
	used pointport.Shape
	// heldBack is the sum of the declared needs of the tasks that were ready at the last plan and
	// that only the cap kept from starting.
	heldBack pointport.Shape
	// claimable is the part of heldBack that may start at once if the pool gets all of the cap that is
	// free.
	claimable pointport.Shape
	// displaced is what displaced tasks needed of the cap at the last plan; see capNeedsOfDisplaced.
	displaced pointport.Shape
	// capped reports whether the customer has a cap; allowed is how much of it may be used in this
	// pool.
	capped  bool
	allowed pointport.Shape
	// reachable is what could be allowed if the pool got all of the cap that is free.
	reachable pointport.Shape
	// overloadedSince is since when the customer submits far more work than its part of the pool
	// can process in time, zero while it does not.
	overloadedSince time.Time
	// refuseFor is how long further jobs of the customer should be refused, as last computed.
	refuseFor time.Duration
	// capLoggedAt is when it was last logged that the cap holds tasks back.
	capLoggedAt time.Time
}

// accountOf returns a customer's account, and creates it if the customer is new. It returns nil for
// the empty name.
func (s *Scheduler) accountOf(name string) *account {
	if name == "" {
		return nil
	}
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name}
		a.allowed, a.capped = s.allowed[name]
		a.reachable = s.reachableFor(name)
		s.accounts[name] = a
	}
	return a
}

// SetAllowed sets how much each customer may use in this pool, in declared needs of tasks.
// Customers that are not in the map have no limit.
func (s *Scheduler) SetAllowed(allowed map[string]pointport.Shape) {
	for name, a := range s.accounts {
		a.allowed, a.capped = allowed[name]
	}
	s.allowed = allowed
}

// SetReachable sets how much each customer could use in this pool if the pool got all of its cap that other
// pools do not hold. For customers that are not in the map this is not bounded.
func (s *Scheduler) SetReachable(reachable map[string]pointport.Shape) {
	s.reachable = reachable
	for name, a := range s.accounts {
		a.reachable = s.reachableFor(name)
	}
}

// reachableFor returns how much a customer could use in this pool if the pool got all of its cap that is free.
func (s *Scheduler) reachableFor(name string) pointport.Shape {
	if reachable, ok := s.reachable[name]; ok {
		return reachable
	}
	return unboundedShape
}

// unboundedShape is more than any pool can use.
var unboundedShape = pointport.Shape{CPUMilli: math.MaxInt64, MemoryMiB: math.MaxInt64, Accelerators: math.MaxInt64}

// A CustomerUsage is a customer's use of a pool. Its fields are exported because a codec reads and
// writes them.
type CustomerUsage struct {
	Customer string          `json:"customer"`
	Used     pointport.Shape `json:"used"`
	// HeldBack is the sum of the declared needs of the tasks that only the customer's cap keeps
	// from starting.
	HeldBack pointport.Shape `json:"heldBack"`
	// Claimable is the part of HeldBack that could start at once if the pool got all of the cap that is
	// free. Only the owner needs it.
	Claimable pointport.Shape `json:"-"`
	// Displaced is the sum of the declared needs of the displaced tasks that wait, also for a place.
	Displaced pointport.Shape `json:"displaced,omitzero"`
}

// Wanted returns how much more of its cap the customer needs in the pool. It includes what displaced tasks
// need that wait for a place: if the pool gave that away, they would have to wait until it comes back. It
// omits tasks that could not start even with all that is free: if several pools kept parts of the cap for
// such tasks, each would wait for the parts of the others.
func (u CustomerUsage) Wanted() pointport.Shape {
	return pointport.Shape{
		CPUMilli:     max(u.Claimable.CPUMilli, u.Displaced.CPUMilli),
		MemoryMiB:    max(u.Claimable.MemoryMiB, u.Displaced.MemoryMiB),
		Accelerators: max(u.Claimable.Accelerators, u.Displaced.Accelerators),
	}
}

// VisitUsage calls visit with each customer's use of the pool.
func (s *Scheduler) VisitUsage(visit func(CustomerUsage)) {
	for _, a := range s.accounts {
		visit(CustomerUsage{Customer: a.name, Used: a.used, HeldBack: a.heldBack, Claimable: a.claimable, Displaced: a.displaced})
	}
}

// addUse adds the declared need of a new run.
func (a *account) addUse(need pointport.Shape) {
	if a != nil {
		a.used = a.used.Plus(need)
	}
}

// removeUse subtracts the declared need of a run that is removed.
func (a *account) removeUse(need pointport.Shape) {
	if a != nil {
		a.used = a.used.Minus(need)
	}
}

// withinCap reports whether the cap allows a further need beside what is used.
func (a *account) withinCap(need pointport.Shape) bool {
	return a == nil || !a.capped || a.allowed.Fits(a.used.Plus(need))
}

// atCap reports whether the cap holds tasks of the customer back. Further tasks of the customer
// then need no capacity.
func (a *account) atCap() bool { return a != nil && a.heldBack != (pointport.Shape{}) }

// noteHeldBack records that the cap holds back a group of tasks that are placed together.
func (s *Scheduler) noteHeldBack(now time.Time, group []waitingTask) {
	a := group[0].entry.account
	need := group[0].step.Need.Times(len(group))
	a.heldBack = a.heldBack.Plus(need)
	if claim := a.claimable.Plus(need); a.reachable.Fits(a.used.Plus(claim)) {
		a.claimable = claim
	}
	if now.Sub(a.capLoggedAt) < waitLogInterval {
		return
	}
	a.capLoggedAt = now
	event.CapReached.Log(s.logger, slog.String("customer", a.name), slog.String("job", group[0].entry.job.ID()),
		slog.Any("used", a.used), slog.Any("allowed", a.allowed), slog.Any("heldBack", a.heldBack))
}

// resetWaiting clears the sums of waiting tasks before a new plan.
func (s *Scheduler) resetWaiting() {
	for _, a := range s.accounts {
		a.heldBack, a.claimable, a.displaced = pointport.Shape{}, pointport.Shape{}, pointport.Shape{}
	}
}

// noteDisplaced records what displaced tasks that wait need of the caps of their customers.
func noteDisplaced(needs map[*account]pointport.Shape) {
	for a, need := range needs {
		a.displaced = need
	}
}

// capFilter returns a function that reports whether the cap of a task's customer lets it start in
// addition to the tasks that the function has accepted before.
func (s *Scheduler) capFilter() func(t waitingTask) bool {
	accepted := make(map[*account]pointport.Shape)
	return func(t waitingTask) bool {
		a := t.entry.account
		if a == nil || !a.capped {
			return true
		}
		sum := accepted[a].Plus(t.step.Need)
		if !a.withinCap(sum) {
			return false
		}
		accepted[a] = sum
		return true
	}
}
