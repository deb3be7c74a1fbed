package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines how serving tasks move off an instance that is being emptied,
// and where they could go.

// atWork is the progress at which a serving task serves, in percent.
const atWork = 100

// inheritRest is for how long a new owner moves no serving task: one that its
// predecessor has just ordered to stop still looks as if it were at work.
const inheritRest = 1500 * time.Millisecond

// relocate stops serving tasks on workers that are being emptied, as far as
// their steps allow and there is room for them elsewhere; they are placed there
// at once. Without room they stay: an instance that is emptied later does less
// harm than a service that is away.
func (b *Scheduler) relocate(now time.Time) {
	if now.Sub(b.taken) < inheritRest {
		return
	}
	var h *homes
	for _, w := range b.workers {
		if !w.evacuating || !w.closed(now) || w.ended {
			continue
		}
		for _, r := range w.runs {
			if !r.step().Service || r.stopping || r.state != runLive || !b.mayMiss(r) {
				continue
			}
			if h == nil {
				h = b.newHomes(now)
				h.takeWaiting()
			}
			if !h.take(waitingTask{r.entry, r.ref, r.step()}) {
				continue
			}
			event.ServingMoved.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
				slog.String("incarnation", string(w.inc.ID())))
			b.stop(now, r, "its instance is being emptied")
		}
	}
}

// homes is the room that workers have for serving tasks once the other tasks
// there have ended, which must not be promised twice.
type homes struct {
	book     *Scheduler
	now      time.Time
	workers  []*Worker
	left     map[*Worker]pointport.Shape
	promised map[home]int
}

// A home is a step's place on a worker.
type home struct {
	worker *Worker
	step   stepRef
}

func (b *Scheduler) newHomes(now time.Time) *homes {
	h := &homes{
		book: b, now: now, workers: b.usable(now),
		left: make(map[*Worker]pointport.Shape), promised: make(map[home]int),
	}
	for _, w := range h.workers {
		h.left[w] = w.soonFree()
	}
	return h
}

// take promises room to a serving task; false if there is none.
func (h *homes) take(t waitingTask) bool {
	room := t.step.Reservation()
	for _, w := range h.workers {
		at := home{w, stepRef{t.entry, t.ref.Occurrence, t.ref.Step}}
		if !h.left[w].Fits(room) || !h.book.permits(t, w, h.now) {
			continue
		}
		if most := t.step.MaxPerInstance; most > 0 && h.book.crowd(t, w)+h.promised[at] >= most {
			continue
		}
		h.left[w] = h.left[w].Minus(room)
		h.promised[at]++
		return true
	}
	return false
}

// takeWaiting promises room to the serving tasks that wait, and returns those for
// which there is none.
func (h *homes) takeWaiting() []waitingTask {
	var homeless []waitingTask
	for e := range h.book.waitingJobs {
		h.book.refresh(e)
		for _, t := range e.ready {
			if t.step.Service && !h.take(t) {
				homeless = append(homeless, t)
			}
		}
	}
	return homeless
}

// missing says how many more instances a pool needs for its serving tasks.
type missing struct {
	waiting int // to hold those that wait
	moving  int // to hold those beside them that are to move
}

// missingForServing returns how many more instances it takes to hold the serving
// tasks that wait, and those that are to move, and find no room.
func (b *Scheduler) missingForServing(now time.Time) missing {
	h := b.newHomes(now)
	homeless := h.takeWaiting()
	var stranded []waitingTask
	for _, w := range b.workers {
		if !w.evacuating || !w.closed(now) || w.ended {
			continue
		}
		for _, r := range w.runs {
			if t := (waitingTask{r.entry, r.ref, r.step()}); r.step().Service && !h.take(t) {
				stranded = append(stranded, t)
			}
		}
	}
	h.workers = nil
	return missing{waiting: h.open(homeless), moving: h.open(stranded)}
}

// open adds empty instances until they hold all of some tasks, and returns how
// many it took. Tasks that need a label are supplied by label, and those that fit
// on no instance are left out.
func (h *homes) open(tasks []waitingTask) int {
	capacity := h.book.largestInstance()
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

// largestInstance returns the most that any known instance holds. Before one is
// known, nothing tells what fits.
func (b *Scheduler) largestInstance() pointport.Shape {
	var most pointport.Shape
	for _, w := range b.workers {
		most = largest(most, w.inc.Capacity())
	}
	return most
}

// mayMiss reports whether a serving task may be taken away for a moment: fewer
// of its step's other tasks than may be missing are not at work.
func (b *Scheduler) mayMiss(r *Run) bool {
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
