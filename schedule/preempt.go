package schedule

import (
	"log/slog"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines preemption: a job of priority 0 that has found no free resources for some time
// takes them from tasks of lower priority that end.

const (
	// preemptAfter is for how long a job of priority 0 waits before it preempts others: most tasks
	// end within this time, and the work of a stopped one is lost.
	preemptAfter = 600 * time.Millisecond
	// preemptEvery is the least time between two attempts for one job.
	preemptEvery = 300 * time.Millisecond
)

// preempt frees resources for a task by stopping others of lower priority on the worker where that
// loses the least work. Serving tasks are not stopped: they may not be away for as long as the demand
// lasts. A displaced task has a reservation instead.
func (s *Scheduler) preempt(now time.Time, t waitingTask, workers []*Worker) {
	e := t.entry
	if t.displaced() || e.job.Policy().Priority != 0 || s.preemptibleRuns == 0 || s.unrecorded.peerLeased {
		return
	}
	if now.Sub(e.starved) < preemptAfter || now.Sub(e.preempted) < preemptEvery {
		return
	}
	e.preempted = now
	var best []*Run
	bestCost := time.Duration(0)
	for _, w := range workers {
		if !s.permits(t, w, now) || s.atStepLimit(t, w) {
			continue
		}
		candidates := newStopCandidates(w, (*Run).preemptible, func(r *Run) time.Duration { return r.unsavedWork(now) })
		victims, cost, _ := candidates.choose(w.free, t.step.Reservation())
		if len(victims) > 0 && (best == nil || cost < bestCost) {
			best, bestCost = victims, cost
		}
	}
	s.stopFor(now, t, best, "a job of priority 0 needs its resources")
}

// preemptible reports whether a task of priority 0 may take the resources of a run.
func (r *Run) preemptible() bool {
	return r.entry.job.Policy().Priority > 0 && !r.step().Service && !r.step().Gang && r.state == runLive
}

// stopFor stops runs for a task that needs their resources.
func (s *Scheduler) stopFor(now time.Time, t waitingTask, victims []*Run, reason string) {
	for _, r := range victims {
		if r.stopping || r.worker.runs[r.name] != r {
			continue // it was stopped or dropped with another of its gang, or for another task
		}
		s.logPreempted(r, t.entry.job.ID())
		s.stop(now, r, reason)
	}
}

// logPreempted logs that a run is stopped for a job, which is empty if it is one of another pool.
func (s *Scheduler) logPreempted(r *Run, by string) {
	event.RunPreempted.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.String("by", by))
}

// stopCandidates are the runs on a worker that may be stopped.
type stopCandidates struct {
	runs     []*Run          // those whose stop loses the least work first
	lost     []time.Duration // the work that is lost with each
	stopping pointport.Shape // resources that are about to be freed
}

// newStopCandidates returns the runs on a worker that may be stopped; lost returns the work that is
// lost with one.
func newStopCandidates(w *Worker, mayStop func(*Run) bool, lost func(*Run) time.Duration) *stopCandidates {
	c := &stopCandidates{}
	for _, r := range w.runs {
		switch {
		case r.stopping:
			c.stopping = c.stopping.Plus(r.step().Reservation())
		case mayStop(r):
			c.runs, c.lost = append(c.runs, r), append(c.lost, lost(r))
		}
	}
	sort.Sort(c)
	return c
}

// Len, Less and Swap sort the candidates by the work that is lost, then by name.
func (c *stopCandidates) Len() int { return len(c.runs) }

func (c *stopCandidates) Less(i, k int) bool {
	if c.lost[i] != c.lost[k] {
		return c.lost[i] < c.lost[k]
	}
	return c.runs[i].name < c.runs[k].name
}

func (c *stopCandidates) Swap(i, k int) {
	c.runs[i], c.runs[k] = c.runs[k], c.runs[i]
	c.lost[i], c.lost[k] = c.lost[k], c.lost[i]
}

// choose returns the runs that must stop to free the needed resources beside those that are free, and
// the work that is lost with them. It returns no runs and false if that does not free enough.
func (c *stopCandidates) choose(free, need pointport.Shape) ([]*Run, time.Duration, bool) {
	free = free.Plus(c.stopping)
	cost := time.Duration(0)
	for n, r := range c.runs {
		if free.Fits(need) {
			return c.runs[:n], cost, true
		}
		free = free.Plus(r.step().Reservation())
		cost += c.lost[n]
	}
	if !free.Fits(need) {
		return nil, 0, false
	}
	return c.runs, cost, true
}

// unsavedWork returns the work that is lost if only this run is stopped.
func (r *Run) unsavedWork(now time.Time) time.Duration {
	if r.step().Checkpoints || r.state != runLive {
		return 0
	}
	return now.Sub(r.liveAt)
}
