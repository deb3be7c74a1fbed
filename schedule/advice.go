package schedule

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines advice: the policy of some queues allows a step to run only on some instances,
// which only the advisor knows. It issues a ticket for each of them, which is sent with every start and
// is valid for a while. Which instances may run a step does not change.
//
// The advisor works on few requests at a time, so the scheduler holds requests back: a plan records which
// steps need advice, in its order, and NextAdviceRequest returns the request of the first of them once
// the advisor can work on it. Tickets would expire in the queue of the advisor, and a step whose job was
// cancelled or placed meanwhile needs no request.

const (
	// maxAdviceInstances is how many instances one request names at most. Each one takes the advisor some
	// time, and the task waits for the answer.
	maxAdviceInstances = 30
	// adviceRetry is how long a step waits after its request got no answer.
	adviceRetry = 300 * time.Millisecond
	// maxTicketReserve and ticketReserveDivisor set how much of a ticket's validity must remain, for a
	// start to reach its instance: maxTicketReserve, or if the ticket is valid for a shorter time, that
	// time divided by ticketReserveDivisor.
	maxTicketReserve     = 400 * time.Millisecond
	ticketReserveDivisor = 4
	// adviceTimeDivisor sets how long the advisor should work on a request at most: the validity of its
	// tickets divided by this.
	adviceTimeDivisor = 2
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

// An AdviceRequest asks the advisor which of some incarnations may run a step.
type AdviceRequest struct {
	Job          string
	Step         string // the name by which the advisor knows it
	Incarnations []pointport.IncarnationID
	// Expected is how long the advisor works on the request.
	Expected time.Duration
	key      stepKey
}

// Query returns the request as it is sent to the advisor.
func (r *AdviceRequest) Query() pointport.AdviceQuery {
	return pointport.AdviceQuery{Step: r.Step, Incarnations: r.Incarnations, Expected: r.Expected}
}

// adviceNeeds holds what is known of requests to the advisor.
type adviceNeeds struct {
	// tasks holds a task of each step that needs advice, in the order of the last plan.
	tasks []waitingTask
	// asked and good count the instances that requests have named, and those of them that may run the
	// step.
	asked, good int
}

// goodShare estimates the share of instances that may run a step.
func (n *adviceNeeds) goodShare() float64 { return float64(n.good+1) / float64(n.asked+2) }

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
	if !s.mayRunWithAdvice(t, w, now) {
		return false
	}
	if !t.entry.job.Policy().Advised {
		return true
	}
	a := t.entry.advice[t.stepKey()]
	return a != nil && now.Before(a.good[w.inc.ID()].until)
}

// mayRunWithAdvice reports whether a worker may run a task as far as labels, earlier runs and their ends
// are concerned.
func (s *Scheduler) mayRunWithAdvice(t waitingTask, w *Worker, now time.Time) bool {
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

// seekAdvice records that a step which found no worker that it may use needs advice.
func (s *Scheduler) seekAdvice(t waitingTask) {
	if t.entry.job.Policy().Advised {
		s.advice.tasks = append(s.advice.tasks, t)
	}
}

// NeedsAdvice reports whether NextAdviceRequest would return a request.
func (s *Scheduler) NeedsAdvice(now time.Time) bool {
	_, ask := s.nextToAsk(now)
	return len(ask) > 0
}

// NextAdviceRequest returns the request to send to the advisor next. It returns false if there is none.
// figures returns the configured figures of a queue.
func (s *Scheduler) NextAdviceRequest(now time.Time, figures func(queue string) workload.Advice) (AdviceRequest, bool) {
	t, ask := s.nextToAsk(now)
	if len(ask) == 0 {
		return AdviceRequest{}, false
	}
	return s.adviceRequest(t, ask, figures(t.entry.job.Queue())), true
}

// nextToAsk returns a task of the step about which to ask next, and the workers to ask about: the first step
// of the plan that could start somewhere, or else the first with workers that the advisor does not know yet.
// It returns no workers if there is nothing to ask.
func (s *Scheduler) nextToAsk(now time.Time) (waitingTask, []*Worker) {
	if len(s.advice.tasks) == 0 {
		return waitingTask{}, nil
	}
	workers := s.usableWorkers(now)
	for _, withRoom := range []bool{true, false} {
		for _, t := range s.advice.tasks {
			if !s.mayAsk(now, t) {
				continue
			}
			if ask := s.workersToAsk(now, t, workers, withRoom); len(ask) > 0 {
				return t, ask
			}
		}
	}
	return waitingTask{}, nil
}

// mayAsk reports whether a task of the last plan still waits, and no request about its step is in flight or
// has failed just now.
func (s *Scheduler) mayAsk(now time.Time, t waitingTask) bool {
	e := t.entry
	if s.jobs[e.job.ID()] != e || e.ended != "" || e.job.Stopping() || e.runs[t.ref] != nil {
		return false
	}
	a := e.advice[t.stepKey()]
	return a == nil || !a.asking && !now.Before(a.retryAt)
}

// workersToAsk returns the workers about which to ask for a step, those with the most free capacity first.
// With room, these have free capacity for a task: ones that may run the step but whose tickets have
// expired, or else ones that the advisor does not know yet. Without room, they are only of the latter kind,
// so that a step that waits for room takes no time of the advisor again and again.
func (s *Scheduler) workersToAsk(now time.Time, t waitingTask, workers []*Worker, withRoom bool) []*Worker {
	var expired, unknown []*Worker
	a := t.entry.advice[t.stepKey()]
	reservation := t.step.Reservation()
	for _, w := range workers {
		switch {
		case s.keptApart(t, w, now) || !s.mayRunWithAdvice(t, w, now) || !w.inc.Capacity().Fits(reservation):
		case withRoom && (!w.free.Fits(reservation) && !s.mayTakeRoom(now, t) || s.atStepLimit(t, w)):
		case a == nil || !a.asked[w.inc.ID()]:
			unknown = append(unknown, w)
		default:
			if ticket, good := a.good[w.inc.ID()]; good && withRoom && !now.Before(ticket.until) {
				expired = append(expired, w)
			}
		}
	}
	ask := unknown
	if len(expired) > 0 && !t.step.Gang {
		ask = expired
	} else if t.step.Gang {
		ask = append(expired, unknown...)
	}
	sort.SliceStable(ask, func(i, k int) bool { return ask[i].free.CPUMilli > ask[k].free.CPUMilli })
	return ask
}

// mayTakeRoom reports whether runs are stopped for a task that finds no free capacity, which also needs a
// ticket then.
func (s *Scheduler) mayTakeRoom(now time.Time, t waitingTask) bool {
	e := t.entry
	starved := !e.starved.IsZero() && now.Sub(e.starved) >= preemptAfter
	return t.step.Service || starved && e.job.Policy().Priority == 0 && s.preemptibleRuns > 0
}

// adviceRequest returns a request about a step that names the first of some workers, and marks it as in
// flight.
func (s *Scheduler) adviceRequest(t waitingTask, workers []*Worker, figures workload.Advice) AdviceRequest {
	a := t.entry.adviceOn(t.stepKey())
	a.asking = true
	n := min(len(workers), maxAdviceInstances, figures.MaxInstances(figures.ValidFor/adviceTimeDivisor))
	if len(s.advice.tasks) > 1 {
		n = min(n, s.instancesWanted(t, a, workers, figures))
	}
	ids := make([]pointport.IncarnationID, n)
	for i := range ids {
		ids[i] = workers[i].inc.ID()
	}
	return AdviceRequest{
		Job: t.entry.job.ID(), Step: workload.StepName(t.entry.job.ID(), t.ref), Incarnations: ids, key: t.stepKey(),
		Expected: figures.TimeFor(n),
	}
}

// instancesWanted returns how many of some workers a request should name while other steps wait for the
// advisor: as many as should do for the tasks of the step that wait, at the least expected time for each.
func (s *Scheduler) instancesWanted(t waitingTask, a *advice, workers []*Worker, figures workload.Advice) int {
	needed := s.workersNeeded(t, workers)
	if _, good := a.good[workers[0].inc.ID()]; good {
		return needed
	}
	share := s.advice.goodShare()
	return mostEfficientCount(figures, share) + int(float64(needed-1)/share)
}

// workersNeeded returns how many of some workers have room for the waiting tasks of a step, one at least.
func (s *Scheduler) workersNeeded(t waitingTask, workers []*Worker) int {
	tasks := 0
	for i := range t.entry.ready {
		if t.entry.ready[i].stepKey() == t.stepKey() {
			tasks++
		}
	}
	needed := 0
	for _, w := range workers {
		if tasks <= 0 {
			break
		}
		tasks -= max(1, s.roomFor(t, w))
		needed++
	}
	return max(1, needed)
}

// mostEfficientCount returns how many instances a request should name so that the advisor works the least
// until it has found one that may run a step, if that is each one's chance.
func mostEfficientCount(figures workload.Advice, chance float64) int {
	best, least := 1, math.Inf(1)
	for n := 1; n <= maxAdviceInstances; n++ {
		found := 1 - math.Pow(1-chance, float64(n))
		if work := figures.TimeFor(n).Seconds() / found; work < least {
			best, least = n, work
		}
	}
	return best
}

// roomFor returns how many tasks of a step a worker could take now.
func (s *Scheduler) roomFor(t waitingTask, w *Worker) int {
	free, room := w.free, 0
	for free.Fits(t.step.Reservation()) && room < t.step.Count {
		free = free.Minus(t.step.Reservation())
		room++
	}
	if t.step.MaxPerInstance > 0 {
		room = min(room, t.step.MaxPerInstance-s.tasksOfStep(t, w))
	}
	return room
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
