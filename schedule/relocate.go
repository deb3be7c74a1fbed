package schedule

import (
	"log/slog"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines how serving tasks move off an instance that is being emptied, and where they can
// go.

// atWork is the progress, in percent, at which a serving task serves requests.
const atWork = 100

// takeoverPause is for how long a new owner moves no serving task: one that the previous owner has
// just ordered to stop still appears to be serving.
const takeoverPause = 1500 * time.Millisecond

// relocate stops serving tasks on workers that are being emptied, as far as their steps allow and
// there are free resources for them elsewhere, where they are placed at once. Without free resources
// they stay: emptying an instance later does less harm than an unavailable service.
func (s *Scheduler) relocate(now time.Time) {
	if s.unrecorded.peerLeased || now.Sub(s.tookOverAt) < takeoverPause {
		return
	}
	var h *servingCapacity
	for _, w := range s.workers {
		if !w.evacuating || !w.closed(now) || w.ended {
			continue
		}
		for _, r := range w.runs {
			if !r.step().Service || r.stopping || r.state != runLive || !s.mayMiss(r) {
				continue
			}
			if h == nil {
				h = s.newServingCapacity(now)
				h.takeWaiting()
			}
			if !h.take(waitingTask{r.entry, r.ref, r.step()}) {
				continue
			}
			event.ServingMoved.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
				slog.String("incarnation", string(w.inc.ID())))
			s.stop(now, r, "its instance is being emptied")
		}
	}
}

// servingCapacity is the resources that workers have for serving tasks once the other tasks there
// have ended. Resources that are promised to one task are not available to the next.
type servingCapacity struct {
	scheduler *Scheduler
	now       time.Time
	workers   []*Worker
	left      map[*Worker]pointport.Shape
	promised  map[stepOnWorker]int
}

// A stepOnWorker is a step on one worker.
type stepOnWorker struct {
	worker *Worker
	step   stepRef
}

func (s *Scheduler) newServingCapacity(now time.Time) *servingCapacity {
	h := &servingCapacity{
		scheduler: s, now: now, workers: s.usableWorkers(now),
		left: make(map[*Worker]pointport.Shape), promised: make(map[stepOnWorker]int),
	}
	for _, w := range h.workers {
		h.left[w] = w.freeAfterTasks()
	}
	return h
}

// take promises resources to a serving task. It returns false if no worker has enough.
func (h *servingCapacity) take(t waitingTask) bool {
	for _, w := range h.workers {
		if !h.canHold(t, w, h.scheduler.permits) {
			continue
		}
		h.left[w] = h.left[w].Minus(t.step.Reservation())
		h.promised[stepOnWorker{w, t.stepRef()}]++
		return true
	}
	return false
}

// canHold reports whether a worker that may run a serving task can hold it beside the serving tasks there
// and those that it is promised to.
func (h *servingCapacity) canHold(t waitingTask, w *Worker, may permission) bool {
	if !h.left[w].Fits(t.step.Reservation()) || !may(t, w, h.now) {
		return false
	}
	most := t.step.MaxPerInstance
	return most == 0 || h.scheduler.tasksOfStep(t, w)+h.promised[stepOnWorker{w, t.stepRef()}] < most
}

// fitsBeside reports whether a serving task that must be kept apart for now fits on a worker beside
// others. It gets a place there after a while, so no instance of another pool is emptied for it.
func (h *servingCapacity) fitsBeside(t waitingTask) bool {
	return slices.ContainsFunc(h.workers, func(w *Worker) bool { return h.canHold(t, w, h.scheduler.mayRunOn) })
}

// takeWaiting promises resources to the waiting serving tasks and returns those that fit nowhere.
func (h *servingCapacity) takeWaiting() []waitingTask {
	var unplaced []waitingTask
	for e := range h.scheduler.waitingJobs {
		h.scheduler.refreshReady(e)
		for _, t := range e.ready {
			if t.step.Service && !h.take(t) {
				unplaced = append(unplaced, t)
			}
		}
	}
	return unplaced
}

// missing counts the additional instances that a pool needs for its serving tasks.
type missing struct {
	waiting   int // for those that wait
	displaced int // of these, for those that have run before
	moving    int // in addition, for those that are to move
}

// missingForServing returns how many more instances are needed for the serving tasks that wait, and
// for those that are to move, and fit nowhere.
func (s *Scheduler) missingForServing(now time.Time) missing {
	h := s.newServingCapacity(now)
	unplaced := h.takeWaiting()
	var unmoved []waitingTask
	for _, w := range s.workers {
		if !w.evacuating || !w.closed(now) || w.ended {
			continue
		}
		for _, r := range w.runs {
			if t := (waitingTask{r.entry, r.ref, r.step()}); r.step().Service && !h.take(t) {
				unmoved = append(unmoved, t)
			}
		}
	}
	first, rest := h.splitDisplaced(unplaced)
	h.workers = nil
	displaced := h.addInstances(first)
	return missing{waiting: displaced + h.addInstances(rest), displaced: displaced, moving: h.addInstances(unmoved)}
}

// addInstances adds empty instances until they hold all the given tasks and returns how many it
// added. Tasks that need a label are left out, because instances are supplied for labels separately,
// and so are tasks that fit on no instance.
func (h *servingCapacity) addInstances(tasks []waitingTask) int {
	capacity := h.scheduler.largestInstance()
	opened := 0
	for _, t := range tasks {
		if t.step.Label != "" || !capacity.Fits(t.step.Reservation()) || h.take(t) {
			continue
		}
		w := &Worker{inc: pointport.NewIncarnation("", "", "", pointport.WithCapacity(capacity)), steps: make(map[stepRef]int)}
		h.workers, h.left[w] = append(h.workers, w), capacity
		h.take(t)
		opened++
	}
	return opened
}

// largestInstance returns the largest amount of each resource that any known instance has; it is
// zero until an instance is known.
func (s *Scheduler) largestInstance() pointport.Shape {
	var most pointport.Shape
	for _, w := range s.workers {
		most = largest(most, w.inc.Capacity())
	}
	return most
}

// mayMiss reports whether a serving task may be stopped for a moment: the number of the step's other
// tasks that are not serving is below what the step allows to be missing.
func (s *Scheduler) mayMiss(r *Run) bool {
	o := r.entry.job.Occurrence(r.ref.Occurrence)
	if o == nil {
		return true
	}
	away := 0
	for i := range o.Steps[r.ref.Step] {
		ref := r.ref
		ref.Index = i
		if i == r.ref.Index {
			continue
		}
		other := r.entry.runs[ref]
		if other == nil || other.state != runLive || other.stopping || other.progress < atWork || other.worker.silent {
			away++
		}
	}
	return away < max(1, r.step().MayMiss)
}
