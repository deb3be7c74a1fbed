package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines advice: the policy of some queues allows a step to run only on some instances,
// which only the advisor knows. It issues a ticket for each of them, which is sent with every start and
// is valid for a while. Which instances may run a step does not change.

const (
	// adviceRetry is how long a step waits after its request got no answer.
	adviceRetry = 300 * time.Millisecond
	// maxTicketReserve and ticketReserveDivisor set how much of a ticket's validity must remain, for a
	// start to reach its instance: maxTicketReserve, or if the ticket is valid for a shorter time, that
	// time divided by ticketReserveDivisor.
	maxTicketReserve     = 400 * time.Millisecond
	ticketReserveDivisor = 4
)

// A stepKey identifies a step of one occurrence of a job.
type stepKey struct{ k, step int }

// advice is what the advisor has answered about a step.
type advice struct {
	asked map[pointport.IncarnationID]bool
	good  map[pointport.IncarnationID]ticket
	// asking reports that a request is in flight; retryAt is when the next one may be sent.
	asking  bool
	retryAt time.Time
}

type ticket struct {
	text string
	// until is when it is too late to start a task with the ticket.
	until time.Time
}

// permits reports whether a worker may run a task as far as labels, earlier runs and their ends,
// crashes and advice are concerned.
func (s *Scheduler) permits(t waitingTask, w *Worker, now time.Time) bool {
	return !s.keptApart(t, w, now) && s.mayRunOn(t, w, now)
}

// permitsBeside is like permits, but also permits a worker with a quarantined run of another task.
func (s *Scheduler) permitsBeside(t waitingTask, w *Worker, now time.Time) bool {
	return !needsOther(t, w, now) && s.mayRunOn(t, w, now)
}

// mayRunOn reports whether a worker may run a task as far as labels, earlier runs and their ends, and
// advice are concerned.
func (s *Scheduler) mayRunOn(t waitingTask, w *Worker, now time.Time) bool {
	if !s.mayRunUnadvised(t, w, now) {
		return false
	}
	if !t.entry.job.Policy().Advised {
		return true
	}
	a := t.entry.advice[t.stepKey()]
	return a != nil && now.Before(a.good[w.inc.ID()].until)
}

// mayRunUnadvised reports whether a worker may run a task as far as labels, earlier runs and their ends
// are concerned.
func (s *Scheduler) mayRunUnadvised(t waitingTask, w *Worker, now time.Time) bool {
	return w.hasLabel(t.step.Label) && !s.failedRecentlyOn(t, w, now) && !w.hasReplacedRun(t)
}

// stepKey returns the key of the task's step.
func (t *waitingTask) stepKey() stepKey { return stepKey{t.ref.Occurrence, t.ref.Step} }

// ticketFor returns the ticket with which a task may run on a worker, empty if none is needed.
func (s *Scheduler) ticketFor(t waitingTask, w *Worker) string {
	a := t.entry.advice[t.stepKey()]
	if a == nil {
		return ""
	}
	return a.good[w.inc.ID()].text
}

// ticketRefused handles a start that was refused for its ticket, which is not used again.
func (s *Scheduler) ticketRefused(r *Run) {
	a := r.entry.advice[stepKey{r.ref.Occurrence, r.ref.Step}]
	if a == nil {
		return
	}
	if _, good := a.good[r.worker.inc.ID()]; good {
		a.good[r.worker.inc.ID()] = ticket{}
	}
}

// adviceOn returns the advice on a step, empty if there is none yet.
func (e *entry) adviceOn(key stepKey) *advice {
	a := e.advice[key]
	if a == nil {
		a = &advice{asked: make(map[pointport.IncarnationID]bool), good: make(map[pointport.IncarnationID]ticket)}
		if e.advice == nil {
			e.advice = make(map[stepKey]*advice)
		}
		e.advice[key] = a
	}
	return a
}

// AdviceAnswered handles the advisor's answer to a request that was sent at asked, or an error.
func (s *Scheduler) AdviceAnswered(q AdviceRequest, asked, now time.Time, answer pointport.Advice, err error) {
	e := s.jobs[q.Job]
	if e == nil {
		return
	}
	a := e.advice[q.key]
	if a == nil {
		return
	}
	a.asking = false
	if err != nil {
		event.AdviceFailed.Log(s.logger, slog.String("step", q.Step), slog.Any("error", err))
		a.retryAt = now.Add(adviceRetry)
		return
	}
	event.AdviceTaken.Log(s.logger, slog.String("step", q.Step), slog.Int("asked", len(q.Incarnations)),
		slog.Int("good", len(answer.Tickets)), slog.Duration("took", now.Sub(asked)))
	s.advice.asked += len(q.Incarnations)
	s.advice.good += len(answer.Tickets)
	for _, id := range q.Incarnations {
		a.asked[id] = true
	}
	until := ticketsUsableUntil(q, asked, now, answer.ValidFor)
	for id, text := range answer.Tickets {
		a.good[id] = ticket{text: text, until: until}
	}
	s.invalidateReady(e)
}

// ticketsUsableUntil returns until when tasks may be started with the tickets of an answer. The tickets were
// issued after the request was sent, and no earlier before the answer than the advisor works on it, if they
// can be valid for that long.
func ticketsUsableUntil(q AdviceRequest, asked, now time.Time, validFor time.Duration) time.Time {
	issued := laterTime(asked, now.Add(-q.Expected))
	if validFor <= q.Expected {
		issued = now
	}
	expiry := issued.Add(validFor)
	return expiry.Add(-min(maxTicketReserve, expiry.Sub(now)/ticketReserveDivisor))
}
