package schedule

import (
	"slices"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how displaced tasks take the resources of tasks that end, whatever their priority,
// once they have waited long enough: those of their own pool on the workers that are reserved for them,
// and those of other pools on the instances that the steward claims for them.

const (
	// reclaimAfterWait is for how long a displaced task waits for free capacity before tasks that end
	// are stopped for it: most of these end soon, and the work of a stopped one is lost.
	reclaimAfterWait = time.Second
	// reclaimAfterAbsence is after how long without a run the task does not wait any more.
	reclaimAfterAbsence = 3 * time.Second
)

// mayReclaim reports whether a task of a group of displaced ones has waited so long that tasks that end
// are stopped for the group.
func (p *placement) mayReclaim(group []waitingTask) bool {
	if p.scheduler.unrecorded.peerLeased {
		return false
	}
	return slices.ContainsFunc(group, func(t waitingTask) bool {
		waited := p.now.Sub(t.entry.reservations[t.ref].since)
		return waited >= reclaimAfterWait || t.entry.awayFor(t.ref, p.now, reclaimAfterAbsence)
	})
}

// reclaimFor stops tasks that end on workers, as far as that is needed for what is promised there. It
// stops none unless that frees enough on all of the workers. t is one of the tasks that they are for.
func (p *placement) reclaimFor(t waitingTask, workers []*Worker) {
	var all []*Run
	for _, w := range workers {
		victims, _, enough := p.reclaim.victims(w, p.promised[w])
		if !enough {
			return
		}
		all = append(all, victims...)
	}
	p.scheduler.stopFor(p.now, t, all, "a serving task that has lost its instance needs its resources")
}

// A reclaimPlan holds what displaced tasks may take of each worker, computed once in a plan.
type reclaimPlan struct {
	now        time.Time
	candidates map[*Worker]*stopCandidates
	gangs      map[stepRef]time.Duration // the work that is lost if a member of the gang is stopped
}

// victims returns the runs of tasks that end which must stop on a worker to free the given
// resources, whatever their priority, and the work that is lost with them. It returns false if that does
// not free enough.
func (p *reclaimPlan) victims(w *Worker, need pointport.Shape) ([]*Run, time.Duration, bool) {
	c := p.candidates[w]
	if c == nil {
		if p.candidates == nil {
			p.candidates, p.gangs = make(map[*Worker]*stopCandidates), make(map[stepRef]time.Duration)
		}
		c = newStopCandidates(w, (*Run).yieldsToDisplaced, p.lostWithGang)
		p.candidates[w] = c
	}
	return c.choose(w.free, need)
}

// lostWithGang returns the work that is lost if a run is stopped, with that of the rest of its gang.
func (p *reclaimPlan) lostWithGang(r *Run) time.Duration {
	if !r.step().Gang {
		return r.unsavedWork(p.now)
	}
	lost, known := p.gangs[r.stepRef()]
	if known {
		return lost
	}
	for _, member := range r.entry.runs {
		if member.stepRef() == r.stepRef() {
			lost += member.unsavedWork(p.now)
		}
	}
	p.gangs[r.stepRef()] = lost
	return lost
}

// yieldsToDisplaced reports whether a displaced task may take the resources of a run: it is known what a
// stop does to the run.
func (r *Run) yieldsToDisplaced() bool {
	return !r.step().Service && !r.detached() && r.state != runInherited && r.state != runAwaitingReport
}

// emptyClaimed stops the tasks that end on instances which were claimed for displaced tasks of other pools.
func (s *Scheduler) emptyClaimed(now time.Time) {
	if s.unrecorded.peerLeased {
		return
	}
	for _, w := range s.workers {
		if !w.claimedForDisplaced || !w.closed(now) || w.ended || w.serving > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.yieldsToDisplaced() && !r.stopping {
				s.logPreempted(r, "")
				s.stop(now, r, "a serving task of another pool that has lost its instance needs this one")
			}
		}
	}
}
