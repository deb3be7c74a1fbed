package schedule

import (
	"sort"
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines the order in which jobs are placed.
//
// A job has its full value only if it ends in time. When demand exceeds capacity, serving the job
// with the earliest deadline first would make all of them a little late. So a job that can hardly
// end in time waits behind those that can. Among these, jobs that have begun go first, because
// their completed work would be lost.

const (
	// startMargin and estimateMargin make up the slack that a job must have beyond its expected
	// duration to count as able to end in time: the time until a start reaches its instance, and a
	// share of the job's critical path, which is only an estimate.
	startMargin    = 80 * time.Millisecond
	estimateMargin = 0.08
	// criticalPathInterval is how often a job's critical paths are recomputed from newer estimates.
	criticalPathInterval = 300 * time.Millisecond
)

// A rank is the position of a job in the placement order; lower ranks are placed first.
type rank struct {
	// displaced is set for a job with displaced tasks. It goes first whatever its priority.
	displaced bool
	priority  int
	class     class
	// latest is when the job's next tasks must start for it to end in time.
	latest time.Time
}

func (s rank) less(t rank) bool {
	switch {
	case s.displaced != t.displaced:
		return s.displaced
	case s.priority != t.priority:
		return s.priority < t.priority
	case s.class != t.class:
		return s.class < t.class
	}
	return s.latest.Before(t.latest)
}

// A class groups jobs by how much is gained by placing them; lower classes are placed first.
type class int

const (
	classServing class = iota // its ready tasks are serving tasks
	classBegun                // can end in time, and would lose completed work otherwise
	classFresh                // can end in time and has not begun
	classLate                 // can hardly end in time
)

func (c class) String() string { return [...]string{"serving", "begun", "fresh", "late"}[c] }

// rankedJobs returns the jobs with ready tasks, lowest rank first.
func (s *Scheduler) rankedJobs(now time.Time) []*entry {
	out := make([]*entry, 0, len(s.waitingJobs))
	for e := range s.waitingJobs {
		s.refreshReady(e)
		if len(e.ready) == 0 {
			delete(s.waitingJobs, e)
			continue
		}
		e.rank = s.rankOf(now, e)
		out = append(out, e)
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].rank != out[k].rank {
			return out[i].rank.less(out[k].rank)
		}
		return out[i].job.ID() < out[k].job.ID()
	})
	return out
}

// allowance returns how long a job with the given critical path may take under a policy.
func allowance(p workload.Policy, criticalPath time.Duration) time.Duration {
	return computed(p.Stretch*float64(criticalPath) + float64(p.Target))
}

// objective returns how long a job may take, by the current estimates of its work.
func (s *Scheduler) objective(e *entry) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.estimates.criticalPaths(e.job.Queue(), e.job.Spec()) {
		longest = max(longest, c)
	}
	return allowance(e.job.Policy(), longest)
}

// refreshReady rebuilds the list of a job's ready tasks if it is outdated.
func (s *Scheduler) refreshReady(e *entry) {
	if !e.stale {
		return
	}
	e.stale = false
	e.ready = e.ready[:0]
	if e.ended != "" || e.job.Stopping() {
		return
	}
	e.job.Occurrences(func(o *workload.Occurrence) {
		for n, step := range o.Steps {
			if o.Remaining(n) == 0 || !e.job.Ready(o, n) {
				continue
			}
			if e.job.Spec().Steps[n].Gang && !allPending(step) {
				continue // a gang starts again only once all its members have ended
			}
			for i := range step {
				if step[i].Phase == workload.Pending {
					ref := workload.TaskRef{Occurrence: o.Index, Step: n, Index: i}
					e.ready = append(e.ready, waitingTask{e, ref, &e.job.Spec().Steps[n]})
				}
			}
		}
	})
	sort.Slice(e.ready, func(i, k int) bool { return lessRef(e.ready[i].ref, e.ready[k].ref) })
}

func allPending(step []workload.Task) bool {
	for i := range step {
		if step[i].Phase != workload.Pending {
			return false
		}
	}
	return true
}

func lessRef(a, b workload.TaskRef) bool {
	switch {
	case a.Occurrence != b.Occurrence:
		return a.Occurrence < b.Occurrence
	case a.Step != b.Step:
		return a.Step < b.Step
	}
	return a.Index < b.Index
}

// rankOf computes the rank of a job, which must have ready tasks.
func (s *Scheduler) rankOf(now time.Time, e *entry) rank {
	job := e.job
	out := rank{displaced: e.hasDisplaced(), priority: job.Policy().Priority, class: classFresh}
	if e.ready[0].step.Service {
		out.class, out.latest = classServing, job.FirstSubmitted()
		return out
	}
	if job.Begun() {
		out.class = classBegun
	}
	if now.Sub(e.criticalPathsAt) > criticalPathInterval {
		e.criticalPaths, e.criticalPathsAt = s.estimates.criticalPaths(job.Queue(), job.Spec()), now
	}
	paths := e.criticalPaths
	longest := time.Duration(0)
	for _, c := range paths {
		longest = max(longest, c)
	}
	left := time.Duration(0)
	first := e.ready[0].ref
	for _, t := range e.ready {
		left = max(left, paths[t.ref.Step])
	}
	from := job.FirstSubmitted()
	if due := job.Spec().Due(first.Occurrence); !due.IsZero() {
		from = due
	}
	out.latest = from.Add(allowance(job.Policy(), longest) - left)
	if now.Add(startMargin + time.Duration(estimateMargin*float64(left))).After(out.latest) {
		out.class = classLate
	}
	return out
}
