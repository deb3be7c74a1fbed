package schedule

import (
	"log/slog"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines advice: the policy of some queues lets only some instances
// run a step, and only the advisor knows which. It gives a ticket for each, which
// goes with every start.

const (
	// adviceBatch is how many instances one question names. Each one named takes
	// the advisor some time, and the task waits for the answer.
	adviceBatch = 30
	// adviceAgain is how long to wait after a question without an answer.
	adviceAgain = 300 * time.Millisecond
	// ticketReserve is how much of a ticket's time must be left for a start to
	// reach its instance.
	ticketReserve = 400 * time.Millisecond
)

// A stepKey names a step of one occurrence of a job.
type stepKey struct{ k, step int }

// advice is what the advisor has said of a step.
type advice struct {
	asked map[pointport.IncarnationID]bool
	good  map[pointport.IncarnationID]ticket
	// asking says that a question is under way; again is when the next may go.
	asking bool
	again  time.Time
}

type ticket struct {
	text  string
	until time.Time
}

// A AdviceRequest asks the advisor which of some incarnations may run a step.
type AdviceRequest struct {
	Job          string
	Step         string // the name under which the advisor knows it
	Incarnations []pointport.IncarnationID
	key          stepKey
}

// permits reports whether a worker may run a task, as far as labels, earlier runs
// and their ends, crashes and advice go.
func (b *Scheduler) permits(t waitingTask, w *Worker, now time.Time) bool {
	if !w.hasLabel(t.step.Label) || b.wary(t, w, now) || b.keptApart(t, w, now) || w.hasGivenUp(t) {
		return false
	}
	if !t.entry.job.Policy().Advised {
		return true
	}
	a := t.entry.advice[stepKey{t.ref.Occurrence, t.ref.Step}]
	if a == nil {
		return false
	}
	ticket, ok := a.good[w.inc.ID()]
	return ok && now.Add(ticketReserve).Before(ticket.until)
}

// ticketFor returns the ticket with which a task may run on a worker, empty if
// none is needed.
func (b *Scheduler) ticketFor(t waitingTask, w *Worker) string {
	a := t.entry.advice[stepKey{t.ref.Occurrence, t.ref.Step}]
	if a == nil {
		return ""
	}
	return a.good[w.inc.ID()].text
}

// seekAdvice asks about further workers for a step that found none it may use.
func (b *Scheduler) seekAdvice(now time.Time, t waitingTask) {
	if !t.entry.job.Policy().Advised {
		return
	}
	key := stepKey{t.ref.Occurrence, t.ref.Step}
	a := t.entry.advice[key]
	if a == nil {
		a = &advice{asked: make(map[pointport.IncarnationID]bool), good: make(map[pointport.IncarnationID]ticket)}
		if t.entry.advice == nil {
			t.entry.advice = make(map[stepKey]*advice)
		}
		t.entry.advice[key] = a
	}
	if a.asking || now.Before(a.again) {
		return
	}
	ids := b.askable(now, t, a)
	if len(ids) == 0 {
		return
	}
	a.asking = true
	b.questions = append(b.questions, AdviceRequest{
		Job: t.entry.job.ID(), Step: workload.StepName(t.entry.job.ID(), t.ref), Incarnations: ids, key: key,
	})
}

// askable returns the workers to ask about: those with most room first, and of
// those asked about before only the good ones whose ticket runs out.
func (b *Scheduler) askable(now time.Time, t waitingTask, a *advice) []pointport.IncarnationID {
	var workers []*Worker
	for _, w := range b.usable(now) {
		id := w.inc.ID()
		ticket, good := a.good[id]
		expired := good && !now.Add(ticketReserve).Before(ticket.until)
		if w.hasLabel(t.step.Label) && w.inc.Capacity().Fits(t.step.Reservation()) && (!a.asked[id] || expired) {
			workers = append(workers, w)
		}
	}
	sort.SliceStable(workers, func(i, k int) bool { return workers[i].free.CPUMilli > workers[k].free.CPUMilli })
	var ids []pointport.IncarnationID
	for _, w := range workers[:min(len(workers), adviceBatch)] {
		ids = append(ids, w.inc.ID())
	}
	return ids
}

// TakeAdviceRequests returns the questions to put to the advisor now.
func (b *Scheduler) TakeAdviceRequests() []AdviceRequest {
	questions := b.questions
	b.questions = nil
	return questions
}

// AdviceAnswered takes in the advisor's answer to a question that was put at asked: the
// tickets of the incarnations that may run the step, or an error.
func (b *Scheduler) AdviceAnswered(q AdviceRequest, asked, now time.Time, tickets map[pointport.IncarnationID]string, valid time.Duration, err error) {
	e := b.jobs[q.Job]
	if e == nil {
		return
	}
	a := e.advice[q.key]
	if a == nil {
		return
	}
	a.asking = false
	if err != nil {
		event.AdviceFailed.Log(b.logger, slog.String("step", q.Step), slog.Any("error", err))
		a.again = now.Add(adviceAgain)
		return
	}
	event.AdviceTaken.Log(b.logger, slog.String("step", q.Step), slog.Int("asked", len(q.Incarnations)),
		slog.Int("good", len(tickets)), slog.Duration("took", now.Sub(asked)))
	for _, id := range q.Incarnations {
		a.asked[id] = true
	}
	for id, text := range tickets {
		a.good[id] = ticket{text: text, until: asked.Add(valid)}
	}
	b.invalidateReady(e)
}
