package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines of whom no more jobs are wanted for a while.
//
// The load that it answers: a customer's storm of ten times its usual. Its jobs wait behind
// those of others and behind each other until they are late, and then for as long as the storm
// lasts; each costs the member that accepts it a call to the store and the owner room in its
// memory and its plans. Whoever is told so at once, with a time to come back, can do something
// else.
//
// Only what can still be in time counts: a new job goes before what is late already. Counting
// that too refused jobs that would have been in time (served 0.525 to 0.484 and 0.548 to 0.452
// on two days with a storm).

const (
	// stormFactor is how many times as long as jobs can wait those that wait must take,
	// which is by how much the customer asks for more than it gets. At the usual peaks of
	// demand all ask for up to twice what the pool holds, and what is late then is still
	// served.
	stormFactor = 2
	// stormAfter is for how long that must last. At the beginning of a peak the pool has few
	// instances, and it takes two seconds until others come.
	stormAfter = 2500 * time.Millisecond
)

// backlog is what waits of a customer.
type backlog struct {
	work  time.Duration // share times duration of jobs that have not begun
	slack time.Duration // the sum of how long they can wait from their submission on
	jobs  int
}

// Excess reckons for how long no more jobs of customers are wanted, and returns it, because those that wait
// and can be in time take longer than they may at the customer's part of the pool, or at what
// they have of it now if that is more, and have for a while: one more would be late before
// it begins. Only customers are told so: what nobody has a share in waits by its time alone.
func (b *Scheduler) Excess(now time.Time) map[string]time.Duration {
	var out map[string]time.Duration
	workers := b.usable(now)
	var waiting []*entry
	for e := range b.waitingJobs {
		waiting = append(waiting, e)
	}
	s := b.sharesOf(workers, waiting)
	waits := b.backlogs(s.capacity)
	for _, a := range b.accounts {
		a.excess = 0
		w, ok := waits[a]
		if !ok {
			a.overloadedSince = time.Time{}
			continue
		}
		part := max(s.dominant(a), b.weightOf(a)/s.weights)
		wait := time.Duration(float64(w.work) / part)
		slack := w.slack / time.Duration(w.jobs)
		switch {
		case wait < stormFactor*slack:
			a.overloadedSince = time.Time{}
		case a.overloadedSince.IsZero():
			a.overloadedSince = now
		case now.Sub(a.overloadedSince) >= stormAfter:
			if out == nil {
				out = make(map[string]time.Duration)
			}
			a.excess = wait - slack
			out[a.name] = a.excess
		}
	}
	return out
}

// backlogs returns what waits of each customer that has not begun and can be in time.
func (b *Scheduler) backlogs(capacity pointport.Shape) map[*account]backlog {
	out := make(map[*account]backlog)
	for e := range b.waitingJobs {
		if e.account == nil || e.rank.class != classFresh || e.job.Begun() || len(e.ready) == 0 {
			continue
		}
		w := out[e.account]
		w.work += b.workOf(e, capacity)
		w.slack += e.rank.latest.Sub(e.job.Submitted())
		w.jobs++
		out[e.account] = w
	}
	return out
}

// workOf returns what a whole job takes of the pool, as its tasks' shares times their
// durations.
func (b *Scheduler) workOf(e *entry, capacity pointport.Shape) time.Duration {
	var sum time.Duration
	spec := e.job.Spec()
	for n := range spec.Steps {
		step := &spec.Steps[n]
		share := dominantShare(step.Reservation().Times(step.Count), capacity)
		sum += time.Duration(share * float64(b.estimates.duration(e.job.Queue(), step)))
	}
	return sum
}
