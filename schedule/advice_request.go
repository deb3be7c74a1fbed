package schedule

import (
	"math"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file defines what to ask the advisor.
//
// The advisor works on few requests at a time, so the scheduler holds requests back: a plan records which
// steps need advice, in its order, and NextAdviceRequest returns the request of the first of them once
// the advisor can work on it. Tickets would expire in the queue of the advisor, and a step whose job was
// cancelled or placed meanwhile needs no request.

const (
	// maxAdviceInstances is how many instances one request names at most. Each one takes the advisor some
	// time, and the task waits for the answer.
	maxAdviceInstances = 30
	// adviceTimeDivisor sets how long the advisor should work on a request at most: the validity of its
	// tickets divided by this.
	adviceTimeDivisor = 2
)

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
	task := e.job.Task(t.ref)
	if s.jobs[e.job.ID()] != e || e.job.Stopping() || task == nil || task.Phase != workload.Pending {
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
		case s.keptApart(t, w, now) || !s.mayRunUnadvised(t, w, now) || !w.inc.Capacity().Fits(reservation):
		case withRoom && (!w.free.Fits(reservation) && !s.mayTakeRoom(now, t) || s.atStepLimit(t, w)):
		case a == nil || !a.asked[w.inc.ID()]:
			unknown = append(unknown, w)
		default:
			if ticket, good := a.good[w.inc.ID()]; good && withRoom && !now.Before(ticket.until) {
				expired = append(expired, w)
			}
		}
	}
	ask := expired
	if len(expired) == 0 || t.step.Gang { // the members of a gang may need more than those that are known
		ask = append(ask, unknown...)
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
