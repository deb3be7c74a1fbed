package schedule

import (
	"slices"
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines for how long a serving task waits for a place that keeps it apart from tasks and
// instances under suspicion.
//
// The platform counts a serving task as lost if nothing of it runs for 3 s, from 6 s after its last run
// on, as long as instances have room beside other serving tasks. So isolation is a preference for serving tasks, with a bound. Without
// one, six serving tasks whose two instances crashed twice were away for 9 s, and twelve for 17 s.

const (
	// avoidedWait is for how long a serving task that is away waits for an instance that is not
	// avoided.
	avoidedWait = time.Second
	// besideWait is for how long it waits for an instance without a quarantined run.
	besideWait = quarantineWait
	// maxApartWait bounds for how long a serving task that is away waits for an instance of its own,
	// so that it runs within 6 s of its last run.
	maxApartWait = 4 * time.Second
	// apartWaitStep is by how much that wait rises with each crash after quarantineAfter,
	// apartWaitSteps times at most. Beside others, a task that crashes its instances takes them down
	// with the next crash. Without the rise, two serving tasks in its pool were started 555 times
	// instead of 447 in 64 simulations.
	apartWaitStep  = time.Second
	apartWaitSteps = 2
)

// waited returns for how long a serving task has been away, or has waited for its first start.
func (t waitingTask) waited(now time.Time) time.Duration {
	if a := t.entry.away[t.ref]; a != nil {
		return now.Sub(a.since)
	}
	if t.entry.starved.IsZero() {
		return 0
	}
	return now.Sub(t.entry.starved)
}

// waitedForOwn reports whether a task under which instances have crashed has waited long enough for
// an instance of its own.
func (t waitingTask) waitedForOwn(now time.Time) bool {
	sinceCrash := now.Sub(t.entry.lastCrash(t.ref))
	if !t.step.Service {
		return sinceCrash >= quarantineWait
	}
	return sinceCrash >= t.entry.apartWait(t.ref) || t.waited(now) >= maxApartWait
}

// apartWait returns for how long a serving task waits for an instance of its own after a crash.
func (e *entry) apartWait(ref workload.TaskRef) time.Duration {
	return quarantineWait + apartWaitStep*time.Duration(min(max(e.job.Task(ref).Crashes-quarantineAfter, 0), apartWaitSteps))
}

// avoidedWorkers returns the workers on which tasks could be placed if they were not avoided for
// their failures, sorted by incarnation.
func (s *Scheduler) avoidedWorkers(now time.Time) []*Worker {
	return s.workersWith(now, reasonAvoided)
}

// chooseServing returns a worker for a serving task that found none without a drawback, or nil. The
// drawbacks are accepted one after the other, as the wait grows.
func (p *placement) chooseServing(t waitingTask) *Worker {
	waited := t.waited(p.now)
	if waited < avoidedWait {
		return nil
	}
	if w := p.scheduler.bestWorker(p.now, t, p.avoided, p.scheduler.permits); w != nil {
		return w
	}
	if waited < besideWait {
		return nil
	}
	return p.scheduler.bestWorker(p.now, t, p.withAvoided(), p.scheduler.permitsBeside)
}

// withAvoided returns the workers of the placement and those that are avoided.
func (p *placement) withAvoided() []*Worker {
	return slices.Concat(p.workers, p.avoided)
}
