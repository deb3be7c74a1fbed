package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines what the book knows of customers: what their tasks take here, and how
// much of their cap may be used here.

// An account is one customer's in this pool.
type account struct {
	name string
	// used is what the tasks of its runs declare, those included that are being stopped
	// or are on silent instances.
	used pointport.Shape
	// heldBack is what tasks declare whose turn has come and that only the cap keeps from
	// starting, as of the last plan.
	heldBack pointport.Shape
	// capped says that there is a bound, allowed is how much may be used here.
	capped  bool
	allowed pointport.Shape
	// overloadedSince is since when the customer asks for far more than its part, zero while it does
	// not.
	overloadedSince time.Time
	// excess is for how long no more of its jobs are wanted, as reckoned last.
	excess time.Duration
	// toldCap is when it was last logged that the cap holds tasks back.
	toldCap time.Time
}

// accountOf returns a customer's account, nil for nobody's.
func (b *Scheduler) accountOf(name string) *account {
	if name == "" {
		return nil
	}
	a := b.accounts[name]
	if a == nil {
		a = &account{name: name}
		a.allowed, a.capped = b.allowed[name]
		b.accounts[name] = a
	}
	return a
}

// SetAllowed sets how much customers may use here, in the terms in which tasks declare it; those
// that are not named have no bound.
func (b *Scheduler) SetAllowed(allowed map[string]pointport.Shape) {
	for name, a := range b.accounts {
		a.allowed, a.capped = allowed[name]
	}
	b.allowed = allowed
}

// A CustomerUse says what a customer uses here. Its fields are exported because a codec
// reads and writes them.
type CustomerUse struct {
	Customer string          `json:"customer"`
	Used     pointport.Shape `json:"used"`
	// HeldBack is what tasks declare that only the customer's cap keeps from starting.
	HeldBack pointport.Shape `json:"heldBack"`
}

// Uses calls visit for what each customer uses here.
func (b *Scheduler) Uses(visit func(CustomerUse)) {
	for _, a := range b.accounts {
		visit(CustomerUse{Customer: a.name, Used: a.used, HeldBack: a.heldBack})
	}
}

// started takes in that a run takes what its task declares.
func (a *account) started(need pointport.Shape) {
	if a != nil {
		a.used = a.used.Plus(need)
	}
}

// ended takes in that a run takes nothing any more.
func (a *account) ended(need pointport.Shape) {
	if a != nil {
		a.used = a.used.Minus(need)
	}
}

// withinCap reports whether the cap allows as much beside what is used.
func (a *account) withinCap(need pointport.Shape) bool {
	return a == nil || !a.capped || a.allowed.Fits(a.used.Plus(need))
}

// atCap reports whether tasks of the customer wait for its cap alone, so that more of them
// need no room.
func (a *account) atCap() bool { return a != nil && a.heldBack != (pointport.Shape{}) }

// holdBack notes that tasks that are placed together wait for the cap.
func (b *Scheduler) holdBack(now time.Time, group []waitingTask) {
	a := group[0].entry.account
	a.heldBack = a.heldBack.Plus(group[0].step.Need.Times(len(group)))
	if now.Sub(a.toldCap) < tellWaitEvery {
		return
	}
	a.toldCap = now
	event.CapReached.Log(b.logger, slog.String("customer", a.name), slog.String("job", group[0].entry.job.ID()),
		slog.Any("used", a.used), slog.Any("allowed", a.allowed), slog.Any("heldBack", a.heldBack))
}

// forgetHeldBack begins to count anew what is held back.
func (b *Scheduler) forgetHeldBack() {
	for _, a := range b.accounts {
		a.heldBack = pointport.Shape{}
	}
}

// capFilter returns what tells which of the waiting tasks their customers' caps let start, all
// others being started before them.
func (b *Scheduler) capFilter() func(t waitingTask) bool {
	started := make(map[*account]pointport.Shape)
	return func(t waitingTask) bool {
		a := t.entry.account
		if a == nil || !a.capped {
			return true
		}
		sum := started[a].Plus(t.step.Need)
		if !a.withinCap(sum) {
			return false
		}
		started[a] = sum
		return true
	}
}
