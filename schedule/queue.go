package schedule

import (
	"sort"
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines the order in which jobs get room.
//
// A job earns its full worth only if it ends in time. When there is more work
// than room, taking the job whose time is nearest first would end them all a
// little late, so a job that can hardly end in time any more waits behind those
// that can. Among these, jobs that have begun go first, because what they have
// done already would be lost.

const (
	// doubtTime and doubtShare make up the time that must be left beyond what a
	// job probably takes, for it to count as able to end in time: some that passes
	// until a start has reached its instance, and a share of the job's chain of
	// work, which is only estimated.
	doubtTime  = 80 * time.Millisecond
	doubtShare = 0.08
	// reckonEvery is how often a job's chains of work are reckoned anew from what
	// was learned meanwhile.
	reckonEvery = 300 * time.Millisecond
)

// A rank says how pressing a job is; less comes first.
type rank struct {
	priority int
	class    class
	// latest is when the job's next tasks must start for it to end in time.
	latest time.Time
}

func (s rank) less(t rank) bool {
	switch {
	case s.priority != t.priority:
		return s.priority < t.priority
	case s.class != t.class:
		return s.class < t.class
	}
	return s.latest.Before(t.latest)
}

// A class is what can still be said for a job; a lower one comes first.
type class int

const (
	classServing class = iota // its tasks serve
	classBegun                // it can end in time, and what it has done would be lost
	classFresh                // it can end in time and has not begun
	classLate                 // it will hardly end in time
)

func (c class) String() string { return [...]string{"serving", "begun", "fresh", "late"}[c] }

// queue returns the jobs with waiting tasks, the most pressing first.
func (b *Scheduler) queue(now time.Time) []*entry {
	out := make([]*entry, 0, len(b.waitingJobs))
	for e := range b.waitingJobs {
		b.refresh(e)
		if len(e.ready) == 0 {
			delete(b.waitingJobs, e)
			continue
		}
		e.rank = b.stand(now, e)
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

// allowance returns how long a job may take whose longest chain of work is whole.
func allowance(p workload.Policy, whole time.Duration) time.Duration {
	return time.Duration(p.Stretch*float64(whole)) + p.Target
}

// objective returns how long a job should take, by what is known of its work.
func (b *Scheduler) objective(e *entry) time.Duration {
	whole := time.Duration(0)
	for _, c := range b.estimates.chains(e.job.Queue(), e.job.Spec()) {
		whole = max(whole, c)
	}
	return allowance(e.job.Policy(), whole)
}

// refresh lists the tasks of a job whose turn has come, if that has changed.
func (b *Scheduler) refresh(e *entry) {
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
				continue // the whole gang must have ended first
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

// stand works out how pressing a job is.
func (b *Scheduler) stand(now time.Time, e *entry) rank {
	job := e.job
	s := rank{priority: job.Policy().Priority, class: classFresh}
	if e.ready[0].step.Service {
		s.class, s.latest = classServing, job.Submitted()
		return s
	}
	if job.Begun() {
		s.class = classBegun
	}
	if now.Sub(e.chainsAt) > reckonEvery {
		e.chains, e.chainsAt = b.estimates.chains(job.Queue(), job.Spec()), now
	}
	chains := e.chains
	whole := time.Duration(0)
	for _, c := range chains {
		whole = max(whole, c)
	}
	left := time.Duration(0)
	first := e.ready[0].ref
	for _, t := range e.ready {
		left = max(left, chains[t.ref.Step])
	}
	from := job.Submitted()
	if due := job.Spec().Due(first.Occurrence); !due.IsZero() {
		from = due
	}
	s.latest = from.Add(allowance(job.Policy(), whole) - left)
	if now.Add(doubtTime + time.Duration(doubtShare*float64(left))).After(s.latest) {
		s.class = classLate
	}
	return s
}
