package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines of whom no more jobs are wanted for a while.
//
// The load that it answers: a customer's storm of ten times its usual. Its jobs wait behind
// those of others, and behind each other for longer than they are of any use; each costs the
// member that accepts it a call to the store and the owner room in its memory and its plans.
// Whoever is told so at once, with a time to come back, can do something else.

const (
	// lateOfUse is how many times its objective a job may take and still be of use: users
	// count what takes longer as not served.
	lateOfUse = 3
	// leastExcess is by how much the wait must be longer than that, so that a customer at
	// the edge is not told now one thing and now the other.
	leastExcess = 500 * time.Millisecond
)

// shareTime returns how much of the pool tasks take for how long: their share of its
// processors or memory, whichever is more, times their duration.
func shareTime(need, capacity pointport.Shape, d time.Duration) time.Duration {
	share := max(ratio(need.CPUMilli, capacity.CPUMilli), ratio(need.MemoryMiB, capacity.MemoryMiB))
	return time.Duration(share * float64(d))
}

// backlog is what waits of a customer.
type backlog struct {
	work      time.Duration // share times duration of jobs that have not begun
	objective time.Duration // the sum of those of these jobs
	jobs      int
}

// Excess returns for how long no more jobs of customers are of use, because what waits of
// them already would take longer than they may at the customer's part of the pool, or at
// what they have of it now if that is more. Only customers are told so: what nobody has a
// share in waits by its time alone.
func (b *Book) Excess(now time.Time) map[string]time.Duration {
	var out map[string]time.Duration
	workers := b.usable(now)
	var waiting []*entry
	for e := range b.hungry {
		waiting = append(waiting, e)
	}
	s := b.sharesOf(workers, waiting)
	for a, w := range b.backlogs(s.capacity) {
		part := max(s.dominant(a), b.weightOf(a)/s.weights)
		wait := time.Duration(float64(w.work) / part)
		useful := lateOfUse * w.objective / time.Duration(w.jobs)
		if wait < useful+leastExcess {
			continue
		}
		if out == nil {
			out = make(map[string]time.Duration)
		}
		out[a.name] = wait - useful
	}
	return out
}

// backlogs returns what waits of each customer that does not begin now.
func (b *Book) backlogs(capacity pointport.Shape) map[*account]backlog {
	out := make(map[*account]backlog)
	for e := range b.hungry {
		if e.account == nil || e.begun || e.job.Begun() || len(e.ready) == 0 || e.ready[0].step.Service {
			continue
		}
		w := out[e.account]
		w.work += b.workOf(e, capacity)
		w.objective += b.objective(e)
		w.jobs++
		out[e.account] = w
	}
	return out
}

// workOf returns what a whole job takes of the pool.
func (b *Book) workOf(e *entry, capacity pointport.Shape) time.Duration {
	var sum time.Duration
	spec := e.job.Spec()
	for n := range spec.Steps {
		step := &spec.Steps[n]
		sum += shareTime(step.Room().Times(step.Count), capacity, b.learned.duration(e.job.Queue(), step))
	}
	return sum
}
