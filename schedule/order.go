package schedule

import (
	"errors"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the orders that a book gives and what it makes of their
// answers.

// An OrderKind says what an order asks for.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// An Order is to be sent to a worker.
type Order struct {
	Kind    OrderKind
	Worker  *Worker
	TaskRun pointport.TaskRun
	// Run is nil for a stop of a run that the book does not know.
	Run *Run
	// Payload, Checkpoint and Ticket go with a start.
	Payload, Checkpoint, Ticket string
	// Percent is the share of its work that a run may do, for OrderPace.
	Percent int
}

const (
	// silentAfter is after how many unanswered starts a worker counts as silent.
	silentAfter = 2
	// fullFor is for how long nothing is placed on an instance that refused a
	// start for want of room or for its health.
	fullFor = 300 * time.Millisecond
	// startAgain and stopAgain are after how long a start without an answer is
	// ordered again, and a stop.
	startAgain = 150 * time.Millisecond
	stopAgain  = time.Second
	// refusedAgain is after how long a stop is ordered again that was refused.
	refusedAgain = 150 * time.Millisecond
)

// OrderAnswered takes in the answer to an order; err is nil if it was carried out.
func (b *Scheduler) OrderAnswered(o Order, now time.Time, clock pointport.InstanceClock, err error) {
	w := o.Worker
	if w.ended {
		var rejected *pointport.RejectedError
		if (err == nil || errors.As(err, &rejected)) && !w.inc.ID().Shares() {
			b.noteAnswerAfterEnd(w, now)
		}
		return
	}
	var gone *pointport.GoneError
	if errors.As(err, &gone) {
		b.replaced(w, now, gone)
		return
	}
	if err == nil && o.Kind != OrderPace && !w.inc.ID().Shares() { // the answer to a pace shows no clock
		w.lease.observeClock(now, clock)
	}
	b.checkFence(err)
	if o.Kind == OrderStop && ruledOut(err) {
		delete(w.startsToRuleOut, o.TaskRun)
	}
	r := o.Run
	if r == nil || w.runs[r.name] != r {
		return
	}
	r.startSent = r.startSent || o.Kind == OrderStart
	switch o.Kind {
	case OrderStart:
		b.startAnswered(r, now, clock, err)
	case OrderStop:
		b.stopAnswered(r, now, err)
	}
}

func (b *Scheduler) startAnswered(r *Run, now time.Time, clock pointport.InstanceClock, err error) {
	if r.state != runSent {
		return
	}
	if err == nil {
		if r.worker.inc.ID().Shares() {
			clock = r.worker.lease.clockAt(now) // it may be another life that has answered
		}
		b.live(r, now, clock)
		return
	}
	var rejected *pointport.RejectedError
	if !errors.As(err, &rejected) {
		b.startUnanswered(r, now, err)
		return
	}
	event.StartRefused.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.String("reason", string(rejected.Reason)))
	switch rejected.Reason {
	case pointport.RejectOldRun:
		b.settle(r, now)
	case pointport.RejectFence:
		// Another owner decides about the task from now on.
	default:
		if rejected.Reason == pointport.RejectRoom || rejected.Reason == pointport.RejectUnhealthy {
			r.worker.fullUntil = now.Add(fullFor)
		}
		b.refused(r, now)
	}
}

// refused puts back the task of a start that did nothing. If an earlier order of
// the same start got no answer, that one may still be carried out, so the run is
// stopped first.
func (b *Scheduler) refused(r *Run, now time.Time) {
	if r.unanswered > 0 {
		b.stop(now, r, "its start was refused, and an earlier order may still come")
		return
	}
	b.drop(now, r, "its start was refused")
	b.urgent = true
}

// startUnanswered sends a start again: an instance that has it already does
// nothing more.
func (b *Scheduler) startUnanswered(r *Run, now time.Time, err error) {
	var unavailable *pointport.UnavailableError
	if errors.As(err, &unavailable) && !unavailable.Ambiguous && r.unanswered == 0 {
		// It was never sent.
		r.worker.fullUntil = now.Add(fullFor)
		b.refused(r, now)
		return
	}
	r.unanswered++
	r.resendAt = now.Add(startAgain)
	event.StartUnanswered.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.Int("times", r.unanswered), slog.Any("error", err))
	if r.unanswered >= silentAfter {
		r.worker.markSilent(now)
	}
}

// SkipStart reports whether a start is better not sent, because of what has become of its run
// or its instance since it was ordered: it may have waited for a second and more behind
// orders without an answer, and then started tasks that were done, and those of jobs that
// were cancelled or had failed. A task that was never ordered to run waits again at once:
// it need not wait until the instance expires, and on one that answers nobody it would end
// unheard. A start that was sent before without an answer is ruled out by a stop.
func (b *Scheduler) SkipStart(now time.Time, o Order) bool {
	if o.Kind != OrderStart {
		return false
	}
	r, w := o.Run, o.Worker
	switch {
	case w.runs[r.name] != r || r.state != runSent:
		return true // nothing wants it, or it was answered
	case r.stopping || r.detached():
		return true // a run that was never sent was dropped instead
	case w.overcommitted() && r.startSent:
		b.stop(now, r, "its instance has shrunk, and it is not known to run there")
	case w.overcommitted():
		b.dropUnsent(now, r, "its instance shrank before its start was sent")
	case w.silent && !r.startSent:
		b.dropUnsent(now, r, "its instance fell silent before its start was sent")
	default:
		return b.forgoInZone(now, r)
	}
	return true
}

// dropUnsent drops a run whose start was never sent; its task waits again.
func (b *Scheduler) dropUnsent(now time.Time, r *Run, reason string) {
	b.drop(now, r, reason)
	b.urgent = true
}

// startOrder returns the order to start a run.
func startOrder(r *Run) Order {
	o := Order{Kind: OrderStart, Run: r, Worker: r.worker, TaskRun: r.TaskRun(), Payload: r.entry.job.Spec().Payload, Ticket: r.ticket}
	if t := r.task(); t != nil {
		o.Checkpoint = t.Checkpoint
	}
	return o
}

func (b *Scheduler) stopAnswered(r *Run, now time.Time, err error) {
	if ruledOut(err) {
		b.settle(r, now)
		return
	}
	// It is ordered again: soon by an instance that has refused it and may be well again
	// in a moment, later by one that is silent.
	var rejected *pointport.RejectedError
	if errors.As(err, &rejected) {
		r.stopAgainAt = now.Add(refusedAgain)
		event.StopRefused.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
			slog.String("incarnation", string(r.worker.inc.ID())), slog.String("reason", string(rejected.Reason)))
	}
}

// ruledOut reports whether the answer to a stop says that its run will not start any more.
//
// An instance that refuses a stop has done nothing: it would still carry out a start that
// is under way. Only where it refuses the run as an old one can it not start it.
func ruledOut(err error) bool {
	var rejected *pointport.RejectedError
	return err == nil || errors.As(err, &rejected) && rejected.Reason == pointport.RejectOldRun
}

// settle waits for a report that shows what became of a run that will not start
// any more.
func (b *Scheduler) settle(r *Run, now time.Time) {
	r.state, r.settleAfter = runAwaitingReport, now
	b.pollNow[r.worker] = struct{}{}
}

// mustRuleOut notes that a run on a worker is given up although its start may still be
// under way.
func (w *Worker) mustRuleOut(r *Run) {
	if r.state != runSent && r.unanswered == 0 {
		return
	}
	if w.startsToRuleOut == nil {
		w.startsToRuleOut = make(map[pointport.TaskRun]bool)
	}
	w.startsToRuleOut[r.TaskRun()] = true
}

// startInFlight reports whether a start of the run may be carried out later.
func (r *Run) startInFlight() bool { return r.unanswered > 0 || r.state == runSent && r.startSent }

// ruleOut stops the runs that were given up on workers that answer again. Those that are not
// looked at would not be known to be silent.
func (b *Scheduler) ruleOut(now time.Time) {
	for _, w := range b.workers {
		if len(w.startsToRuleOut) == 0 || !w.lookedAt() || w.silent || now.Before(w.burnAt) {
			continue
		}
		w.burnAt = now.Add(startAgain)
		for run := range w.startsToRuleOut {
			b.pendingOrders = append(b.pendingOrders, Order{Kind: OrderStop, Worker: w, TaskRun: run})
		}
	}
}

// repeatOrders orders runs again to start or to stop that have not.
func (b *Scheduler) repeatOrders(now time.Time) {
	for _, w := range b.workers {
		if w.ended || w.inc.Address() == "" {
			continue
		}
		for _, r := range w.runs {
			switch {
			case r.stopping && !now.Before(r.stopAgainAt):
				r.stopAgainAt = now.Add(stopAgain)
				b.pendingOrders = append(b.pendingOrders, Order{Kind: OrderStop, Run: r, Worker: w, TaskRun: r.TaskRun()})
			case r.state == runSent && !r.stopping && !r.detached() && !r.resendAt.IsZero() && now.After(r.resendAt) && now.Before(b.executionExpiry(w)):
				r.resendAt = time.Time{}
				b.pendingOrders = append(b.pendingOrders, startOrder(r))
			}
		}
	}
}
