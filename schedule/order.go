package schedule

import (
	"errors"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the orders to workers and how their answers are handled.

// An OrderKind is the kind of action that an order requests.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// An Order is a request to a worker to start, stop or pace a run.
type Order struct {
	Kind    OrderKind
	Worker  *Worker
	TaskRun pointport.TaskRun
	// Run is nil for a stop of a run that the scheduler does not know.
	Run *Run
	// Payload, Checkpoint and Ticket are set for OrderStart.
	Payload, Checkpoint, Ticket string
	// Percent is the share of its work that a run may do, for OrderPace.
	Percent int
}

const (
	// silentAfter is how many unanswered starts make a worker count as silent.
	silentAfter = 2
	// refusalBackoff is how long nothing is placed on an instance that has refused a start for lack
	// of capacity or because it is unhealthy, or that could not be reached.
	refusalBackoff = 300 * time.Millisecond
	// startRetryDelay is the delay before an unanswered start is sent again, stopRetryDelay the delay
	// before a stop is sent again.
	startRetryDelay = 150 * time.Millisecond
	stopRetryDelay  = time.Second
	// refusedStopRetryDelay is the delay before a refused stop is sent again.
	refusedStopRetryDelay = 150 * time.Millisecond
)

// OrderAnswered handles the answer to an order; err is nil if the order was carried out.
func (s *Scheduler) OrderAnswered(o Order, now time.Time, clock pointport.InstanceTime, err error) {
	w := o.Worker
	if w.ended {
		var rejected *pointport.RejectedError
		if (err == nil || errors.As(err, &rejected)) && !w.inc.ID().SharesAddressee() {
			s.noteAnswerAfterEnd(w, now)
		}
		return
	}
	var gone *pointport.GoneError
	if errors.As(err, &gone) {
		s.replaced(w, now, gone)
		return
	}
	if err == nil && o.Kind != OrderPace && !w.inc.ID().SharesAddressee() { // the answer to a pace has no clock
		w.lease.observeClock(now, clock)
	}
	s.checkFence(err)
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
		s.startAnswered(r, now, clock, err)
	case OrderStop:
		s.stopAnswered(r, now, err)
	}
}

func (s *Scheduler) startAnswered(r *Run, now time.Time, clock pointport.InstanceTime, err error) {
	if r.state != runSent {
		r.noteLateStart(now, err)
		return
	}
	if err == nil {
		if r.worker.inc.ID().SharesAddressee() {
			clock = r.worker.lease.clockAt(now) // a later incarnation may have answered
		}
		s.markLive(r, now, clock)
		if r.step().Service && r.worker.inc.ID().SharesAddressee() {
			s.pollNow[r.worker] = struct{}{} // only a report can confirm the run
		}
		return
	}
	var rejected *pointport.RejectedError
	if !errors.As(err, &rejected) {
		s.startUnanswered(r, now, err)
		return
	}
	event.StartRefused.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.String("reason", string(rejected.Reason)))
	switch rejected.Reason {
	case pointport.RejectOldRun:
		s.awaitReport(r, now)
	case pointport.RejectFence:
		// Another owner decides about the task now.
	default:
		switch rejected.Reason {
		case pointport.RejectNoCapacity, pointport.RejectUnhealthy:
			r.worker.refusingUntil = now.Add(refusalBackoff)
		case pointport.RejectTicket:
			s.ticketRefused(r)
		}
		s.startRefused(r, now)
	}
}

// startRefused requeues the task of a start that had no effect. If an earlier order of the same
// start is unanswered, that one may still be carried out, so the run is stopped first.
func (s *Scheduler) startRefused(r *Run, now time.Time) {
	if r.unanswered > 0 {
		s.stop(now, r, "its start was refused, and an earlier order may still be carried out")
		return
	}
	s.drop(now, r, "its start was refused")
	s.urgent = true
}

// startUnanswered schedules another attempt of a start. Repeating it is safe: an instance that
// already has the run does nothing.
func (s *Scheduler) startUnanswered(r *Run, now time.Time, err error) {
	var unavailable *pointport.UnavailableError
	if errors.As(err, &unavailable) && !unavailable.Ambiguous && r.unanswered == 0 {
		// The order was never sent.
		r.worker.refusingUntil = now.Add(refusalBackoff)
		s.startRefused(r, now)
		return
	}
	r.unanswered, r.unansweredAt = r.unanswered+1, now
	r.resendAt = now.Add(startRetryDelay)
	event.StartUnanswered.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.Int("times", r.unanswered), slog.Any("error", err))
	if r.unanswered >= silentAfter {
		r.worker.markSilent(now)
	}
}

// SkipStart reports whether a start must not be sent any more, because of what has happened to its
// run or its instance since it was ordered. A start can be queued for more than a second behind
// unanswered orders; sending it regardless would start tasks that are done, or whose jobs were
// cancelled or have failed.
//
// A task whose start was never sent is requeued at once. It need not wait until the instance
// expires, and on an instance that does not answer, its end would go unreported. A start that was
// sent before without an answer is ruled out by a stop.
func (s *Scheduler) SkipStart(now time.Time, o Order) bool {
	if o.Kind != OrderStart {
		return false
	}
	r, w := o.Run, o.Worker
	switch {
	case w.runs[r.name] != r || r.state != runSent:
		return true // the run was removed or the start was answered
	case r.stopping || r.detached():
		return true // its start was sent before: a run that is stopped or detached unsent is dropped
	case w.overcommitted() && r.startSent:
		s.stop(now, r, "its instance has shrunk, and it is not known to run there")
	case w.overcommitted():
		s.dropUnsent(now, r, "its instance shrank before its start was sent")
	case w.silent && !r.startSent:
		s.dropUnsent(now, r, "its instance fell silent before its start was sent")
	default:
		return s.skipStartInZone(now, r)
	}
	return true
}

// dropUnsent drops a run whose start was never sent, and requeues its task.
func (s *Scheduler) dropUnsent(now time.Time, r *Run, reason string) {
	s.drop(now, r, reason)
	s.urgent = true
}

// startOrder returns the order to start a run.
func startOrder(r *Run) Order {
	o := Order{Kind: OrderStart, Run: r, Worker: r.worker, TaskRun: r.TaskRun(), Payload: r.entry.job.Spec().Payload, Ticket: r.ticket}
	if t := r.task(); t != nil {
		o.Checkpoint = t.Checkpoint
	}
	return o
}

func (s *Scheduler) stopAnswered(r *Run, now time.Time, err error) {
	if ruledOut(err) {
		s.awaitReport(r, now)
		return
	}
	// The stop is sent again: soon to an instance that has refused it and may recover at once,
	// later to one that is silent.
	var rejected *pointport.RejectedError
	if errors.As(err, &rejected) {
		r.stopAgainAt = now.Add(refusedStopRetryDelay)
		event.StopRefused.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
			slog.String("incarnation", string(r.worker.inc.ID())), slog.String("reason", string(rejected.Reason)))
	}
}

// ruledOut reports whether the answer to a stop proves that the run will not start any more.
//
// An instance that refuses a stop has done nothing, and would still carry out a start in flight.
// Only a refusal of the run as outdated proves that the instance cannot start it.
func ruledOut(err error) bool {
	var rejected *pointport.RejectedError
	return err == nil || errors.As(err, &rejected) && rejected.Reason == pointport.RejectOldRun
}

// awaitReport waits for a report that shows the outcome of a run that will not start any more.
func (s *Scheduler) awaitReport(r *Run, now time.Time) {
	r.state, r.reportAfter = runAwaitingReport, now
	s.pollNow[r.worker] = struct{}{}
}

// mustRuleOut records a run that is given up on the worker although its start may still be in
// flight.
func (w *Worker) mustRuleOut(r *Run) {
	if r.state != runSent && r.unanswered == 0 {
		return
	}
	if w.startsToRuleOut == nil {
		w.startsToRuleOut = make(map[pointport.TaskRun]bool)
	}
	w.startsToRuleOut[r.TaskRun()] = true
}

// MarkSending records that an order is about to be sent.
func (s *Scheduler) MarkSending(o Order) {
	if o.Kind == OrderStart {
		o.Run.startSent = true
	}
}

// startInFlight reports whether a start of the run may be carried out later.
func (r *Run) startInFlight() bool { return r.unanswered > 0 || r.state == runSent && r.startSent }

// noteLateStart records that a repeated start got no answer while a report has listed the run: one of
// the orders may still be in flight.
func (r *Run) noteLateStart(now time.Time, err error) {
	var unavailable *pointport.UnavailableError
	if r.unanswered > 0 && errors.As(err, &unavailable) && unavailable.Ambiguous {
		r.unansweredAt = now
	}
}

// forgetLateStarts records that a run that its instance has listed has no unanswered start in flight
// any more, once all have had their time. A later incarnation of the instance cannot have the run then.
func (r *Run) forgetLateStarts(now time.Time) {
	if r.state == runLive && now.Sub(r.unansweredAt) > maxOrderDelay {
		r.unanswered = 0
	}
}

// ruleOutStarts stops the runs that were given up on workers that answer again. It skips workers
// that are not polled, because their silence would go unnoticed.
func (s *Scheduler) ruleOutStarts(now time.Time) {
	for _, w := range s.workers {
		if len(w.startsToRuleOut) == 0 || !w.polled() || w.silent || now.Before(w.ruleOutAt) {
			continue
		}
		w.ruleOutAt = now.Add(startRetryDelay)
		for run := range w.startsToRuleOut {
			s.pendingOrders = append(s.pendingOrders, Order{Kind: OrderStop, Worker: w, TaskRun: run})
		}
	}
}

// resendOrders sends overdue starts and stops again.
func (s *Scheduler) resendOrders(now time.Time) {
	for _, w := range s.workers {
		if w.ended || w.inc.Address() == "" {
			continue
		}
		for _, r := range w.runs {
			switch {
			case r.stopping && !now.Before(r.stopAgainAt):
				r.stopAgainAt = now.Add(stopRetryDelay)
				s.pendingOrders = append(s.pendingOrders, Order{Kind: OrderStop, Run: r, Worker: w, TaskRun: r.TaskRun()})
			case r.state == runSent && !r.stopping && !r.detached() && !r.resendAt.IsZero() && now.After(r.resendAt) && now.Before(s.executionExpiry(w)):
				r.resendAt = time.Time{}
				s.pendingOrders = append(s.pendingOrders, startOrder(r))
			}
		}
	}
}
