package testbed

import (
	"fmt"
	"time"
)

// This file defines tasks that crash the instance that starts them.

const (
	// crashDelay is how long after its start a task crashes its instance, crashDown
	// for how long that is away. A task that needs more than the machine can give does
	// so as it loads; a machine is back after some seconds.
	crashDelay    = 10 * time.Millisecond
	crashDowntime = 1500 * time.Millisecond
	// maxCrashes is how many instances a task may crash, startsBorne how many
	// starts later than that are too many, as the platform counts them.
	maxCrashes               = 3
	excessStartsAfterCrashes = 3
)

// scheduleCrash has a run end its incarnation. The lock is held.
func (i *incarnation) scheduleCrash(r *run) {
	f, wake := i.fleet, i.fleet.clock.After(crashDelay)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		i.advance(f.clock.Now())
		if i.gone || i.runs[r.Task] != r {
			return
		}
		f.crashes[r.Task]++
		f.crash(i.machine, crashDowntime)
	}()
}

// checkCrashes notes a start of a task that has crashed so many instances that it
// should have been given up. The lock is held.
func (f *Fleet) checkCrashes(now time.Time, r *run) {
	if f.crashes[r.Task] < maxCrashes {
		return
	}
	if f.startsAfterCrashes[r.Task]++; f.startsAfterCrashes[r.Task] == excessStartsAfterCrashes {
		f.addViolation(now, r.Task, fmt.Sprintf("is started %d times more after it has crashed %d instances", excessStartsAfterCrashes, maxCrashes))
	}
}

// Crashes returns how many instances a task has crashed.
func (f *Fleet) Crashes(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[task]
}
