package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines which customers should submit no further jobs for a while.
//
// It handles a customer that submits ten times its usual load. Its jobs wait behind those of others
// and behind each other until they are late, and stay late as long as the overload lasts. Each of
// them costs the member that accepts it a call to the store, and costs the owner memory and
// planning time. A customer that is refused at once, with a time after which to retry, can do
// something else.
//
// Only jobs that can still end in time count, because a new job is placed before those that are
// late already. Counting late jobs too refused jobs that would have ended in time: the share served
// fell from 0.525 to 0.484 and from 0.548 to 0.452 on two days with such an overload.

const (
	// overloadFactor is the ratio of the time that waiting jobs need to the time they can wait
	// above which a customer counts as overloading. It is the ratio of what the customer asks for
	// to what it gets. At usual peaks of demand all customers together ask for up to twice the
	// capacity of the pool, and jobs that are late then are still served.
	overloadFactor = 2
	// overloadAfter is how long the overload must last. At the beginning of a peak the pool has few
	// instances, and it takes two seconds until more arrive.
	overloadAfter = 2500 * time.Millisecond
)

// backlog sums up the waiting jobs of a customer that have not begun.
type backlog struct {
	work  time.Duration // sum over the jobs of the share of the pool times its duration
	slack time.Duration // sum of how long each job can wait from its first submission on
	jobs  int
}

// BacklogRefusals computes how long further jobs of each overloading customer should be refused,
// and returns the nonzero durations by customer name. A customer is overloading if, for some time,
// its waiting jobs that can still end in time have needed far longer than they can wait, given its
// part of the pool or its present share if that is larger. One more job would then be late before
// it begins. Jobs without a customer have no share; they are never refused this way and are ordered
// by deadline alone.
func (s *Scheduler) BacklogRefusals(now time.Time) map[string]time.Duration {
	var out map[string]time.Duration
	workers := s.usableWorkers(now)
	var queue []*entry
	for e := range s.waitingJobs {
		queue = append(queue, e)
	}
	totals := s.sharesOf(workers, queue)
	backlogs := s.backlogs(totals.capacity)
	for _, a := range s.accounts {
		a.refuseFor = 0
		waiting, ok := backlogs[a]
		if !ok {
			a.overloadedSince = time.Time{}
			continue
		}
		part := max(totals.dominant(a), s.weightOf(a)/totals.weights)
		wait := computed(float64(waiting.work) / part)
		slack := waiting.slack / time.Duration(waiting.jobs)
		switch {
		case wait < overloadFactor*slack:
			a.overloadedSince = time.Time{}
		case a.overloadedSince.IsZero():
			a.overloadedSince = now
		case now.Sub(a.overloadedSince) >= overloadAfter:
			if out == nil {
				out = make(map[string]time.Duration)
			}
			a.refuseFor = wait - slack
			out[a.name] = a.refuseFor
		}
	}
	return out
}

// backlogs returns the backlog of each customer: its waiting jobs that have not begun and can end
// in time.
func (s *Scheduler) backlogs(capacity pointport.Shape) map[*account]backlog {
	out := make(map[*account]backlog)
	for e := range s.waitingJobs {
		if e.account == nil || e.rank.class != classFresh || e.job.Begun() || len(e.ready) == 0 {
			continue
		}
		sum := out[e.account]
		sum.work = min(sum.work+s.workOf(e, capacity), maxComputed)
		sum.slack = min(sum.slack+e.rank.latest.Sub(e.job.FirstSubmitted()), maxComputed)
		sum.jobs++
		out[e.account] = sum
	}
	return out
}

// workOf returns the work of a whole job: the sum over its steps of the share of the pool that a
// step needs times its duration.
func (s *Scheduler) workOf(e *entry, capacity pointport.Shape) time.Duration {
	var sum time.Duration
	spec := e.job.Spec()
	for n := range spec.Steps {
		step := &spec.Steps[n]
		share := dominantShare(step.Reservation().Times(step.Count), capacity)
		sum = computed(float64(sum) + share*float64(s.estimates.duration(e.job.Queue(), step)))
	}
	return sum
}
