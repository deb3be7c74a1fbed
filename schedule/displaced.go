package schedule

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file defines how a displaced task, which is a serving task that has run before and waits for
// a place, gets one in a pool that is full: a worker is reserved for it, and if that is not free in
// time, tasks that end are stopped there. The tasks of a gang get their places together or not at all.
//
// The platform counts a serving task as lost after a while, however full the pool is; see
// serving_place.go. Finding out that an instance has crashed takes up to half of that.

// displaced reports whether a task is a serving task that has run before.
func (t *waitingTask) displaced() bool {
	return t.step.Service && t.entry.job.Task(t.ref).Run > 0
}

// hasDisplaced reports whether a ready task of a job is displaced.
func (e *entry) hasDisplaced() bool {
	for i := range e.ready {
		if e.ready[i].displaced() {
			return true
		}
	}
	return false
}

// splitDisplaced returns the displaced tasks of a list that fit on no worker, and the others.
func (h *servingCapacity) splitDisplaced(tasks []waitingTask) (displaced, others []waitingTask) {
	for _, t := range tasks {
		if t.displaced() && !h.fitsBeside(t) {
			displaced = append(displaced, t)
		} else {
			others = append(others, t)
		}
	}
	return displaced, others
}

// A reservation keeps a worker for a displaced task until the task is placed.
type reservation struct {
	worker *Worker
	since  time.Time // when the task first found no free capacity
	usedAt time.Time // the last plan in which the task was not placed
}

// reservationTimeout is how long a reservation is kept without a plan that needs it.
const reservationTimeout = 2 * time.Second

// expireReservations drops the reservations of tasks that wait no more.
func (s *Scheduler) expireReservations(now time.Time) {
	for e := range s.serving {
		for ref, r := range e.reservations {
			if now.Sub(r.usedAt) > reservationTimeout || e.runs[ref] != nil {
				delete(e.reservations, ref)
			}
		}
	}
}

// reservationFor returns the reservation of a displaced task, a new one if it has none.
func (p *placement) reservationFor(t waitingTask) *reservation {
	r := t.entry.reservations[t.ref]
	if r == nil {
		if t.entry.reservations == nil {
			t.entry.reservations = make(map[workload.TaskRef]*reservation)
		}
		r = &reservation{since: p.now}
		t.entry.reservations[t.ref] = r
	}
	r.usedAt = p.now
	return r
}

// reserveDisplaced reserves a worker for each displaced task of a group that is placed together: a gang,
// or one task. It reserves none unless there is one for each task, because a part of a gang cannot work
// and would only keep workers from others. The workers are those of the last plan if these still suit
// all tasks. Once the group has waited long enough, tasks that end are stopped there.
func (p *placement) reserveDisplaced(group []waitingTask) {
	reservations := make([]*reservation, 0, len(group))
	for _, t := range group {
		reservations = append(reservations, p.reservationFor(t))
	}
	workers := p.promiseWorkers(group)
	if workers == nil {
		return
	}
	for n, r := range reservations {
		r.worker = workers[n]
		p.exclude(r.worker)
	}
	if p.mayReclaim(group) {
		p.reclaimFor(group[0], workers)
	}
}

// promiseWorkers promises each task of a group resources of a worker and returns the workers. It
// promises nothing and returns nil if there is not one for each task.
func (p *placement) promiseWorkers(group []waitingTask) []*Worker {
	if kept := p.promiseEach(group, p.reservedWorker); kept != nil {
		return kept
	}
	for _, workers := range gangSets(group[0].step, p.allWorkers) {
		cheapest := func(t waitingTask) *Worker { return p.cheapestWorker(t, workers) }
		if chosen := p.promiseEach(group, cheapest); chosen != nil {
			return chosen
		}
	}
	return nil
}

// promiseEach promises each task of a group resources of the worker that choose returns for it, and
// returns these workers. It promises nothing and returns nil if choose returns nil for a task.
func (p *placement) promiseEach(group []waitingTask, choose func(waitingTask) *Worker) []*Worker {
	chosen := make([]*Worker, 0, len(group))
	for _, t := range group {
		w := choose(t)
		if w == nil {
			p.withdraw(group, chosen)
			return nil
		}
		p.promise(t, w)
		chosen = append(chosen, w)
	}
	return chosen
}

// promise promises a displaced task resources of a worker, beside what is promised there already.
func (p *placement) promise(t waitingTask, w *Worker) {
	if p.promised == nil {
		p.promised = make(map[*Worker]pointport.Shape)
		p.promisedSteps = make(map[stepOnWorker]int)
	}
	p.promised[w] = p.promised[w].Plus(t.step.Reservation())
	p.promisedSteps[stepOnWorker{w, t.stepRef()}]++
}

// withdraw takes back what the first tasks of a group were promised on some workers, one for each task.
func (p *placement) withdraw(group []waitingTask, workers []*Worker) {
	for n, w := range workers {
		t := group[n]
		p.promised[w] = p.promised[w].Minus(t.step.Reservation())
		p.promisedSteps[stepOnWorker{w, t.stepRef()}]--
	}
}

// reservedWorker returns the worker that was reserved for a displaced task in the last plan, nil if
// there was none or it does not suit the task any more.
func (p *placement) reservedWorker(t waitingTask) *Worker {
	r := t.entry.reservations[t.ref]
	if r == nil || r.worker == nil || !r.worker.usable(p.now) || !p.canReserve(t, r.worker) {
		return nil
	}
	return r.worker
}

// canReserve reports whether a worker can hold a task, in addition to its serving tasks and what is
// promised there, once the tasks that end have ended.
func (p *placement) canReserve(t waitingTask, w *Worker) bool {
	if !w.freeAfterTasks().Minus(p.promised[w]).Fits(t.step.Reservation()) {
		return false
	}
	most := t.step.MaxPerInstance
	if most > 0 && p.scheduler.tasksOfStep(t, w)+p.promisedSteps[stepOnWorker{w, t.stepRef()}] >= most {
		return false
	}
	return p.scheduler.permits(t, w, p.now) // takes longer than the above
}

// cheapestWorker returns the one of some workers on which a task gets a place at the loss of the least
// work, or nil.
func (p *placement) cheapestWorker(t waitingTask, workers []*Worker) *Worker {
	var best *Worker
	bestCost := time.Duration(0)
	for _, w := range workers {
		if !p.canReserve(t, w) {
			continue
		}
		_, cost, _ := p.reclaim.victims(w, p.promised[w].Plus(t.step.Reservation()))
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}
