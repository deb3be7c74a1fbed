package testbed

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines tasks that crash the instance that starts them, and injected crashes.

const (
	// crashDelay is how long after its start a task crashes its instance, and crashDowntime is how
	// long that instance stays down. A task that needs more than the machine has crashes it while
	// the task loads, and a machine is back after a few seconds.
	crashDelay    = 10 * time.Millisecond
	crashDowntime = 1500 * time.Millisecond
	// maxCrashes is how many instances a task may crash by the platform's count.
	// excessStartsAfterCrashes is how many starts after that count as a violation.
	maxCrashes               = 3
	excessStartsAfterCrashes = 3
)

// scheduleCrash makes a run crash its incarnation. The crash counts unless the run is one of a serving
// task that is at work by then, because such a task must always be started again. The lock is held.
func (i *incarnation) scheduleCrash(r *run) {
	f, wake := i.fleet, i.fleet.clock.After(max(crashDelay, r.work.CrashAfter))
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		now := f.clock.Now()
		i.advance(now)
		if i.gone || i.runs[r.Task] != r {
			return
		}
		if !r.work.Service || r.progress(now) < fullProgress {
			f.crashes[r.Task]++
		}
		f.crash(i.machine, crashDowntime)
	}()
}

// checkCrashes records a violation when a task that has crashed maxCrashes instances, and so
// should have been given up, has been started excessStartsAfterCrashes more times. The lock is
// held.
func (f *Fleet) checkCrashes(now time.Time, r *run) {
	if f.crashes[r.Task] < maxCrashes {
		return
	}
	if f.startsAfterCrashes[r.Task]++; f.startsAfterCrashes[r.Task] == excessStartsAfterCrashes {
		f.addViolation(now, r.Task, fmt.Sprintf("was started %d more times after it had crashed %d instances", excessStartsAfterCrashes, maxCrashes))
	}
}

// Crashes returns how many instances a task has crashed.
func (f *Fleet) Crashes(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[task]
}

// Crash ends a machine's current incarnation. A new one begins after down, or never if down is
// zero.
func (f *Fleet) Crash(id pointport.InstanceID, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil && m.current != nil {
		for task := range m.current.runs {
			f.lostToInjectedCrash[task] = true
		}
		f.crash(m, down)
	}
}

// LostRunToInjectedCrash reports whether a task of a job was running on an instance when Crash was
// called for it. Crashes that tasks cause do not count.
func (f *Fleet) LostRunToInjectedCrash(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task := range f.lostToInjectedCrash {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// crash ends a machine's current incarnation as Crash does. The lock is held.
func (f *Fleet) crash(m *Machine, down time.Duration) {
	f.disturb()
	if m.current != nil {
		for task := range m.current.runs {
			f.lostToCrashes[task]++
		}
	}
	f.endIncarnation(m)
	m.state = pointport.MachineDown
	if down > 0 {
		f.bootLater(m, down)
	}
}

// CrashUnder crashes every machine that has a run of a job as Crash does, and returns their number.
func (f *Fleet) CrashUnder(job string, down time.Duration) int {
	ids := f.machinesOf(job)
	for _, id := range ids {
		f.Crash(id, down)
	}
	return len(ids)
}

// machinesOf returns the machines that have a run of a job.
func (f *Fleet) machinesOf(job string) []pointport.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []pointport.InstanceID
	for id, m := range f.machines {
		if m.current == nil {
			continue
		}
		m.current.advance(f.clock.Now())
		for task := range m.current.runs {
			if strings.HasPrefix(task, job+".") {
				out = append(out, id)
				break
			}
		}
	}
	slices.Sort(out)
	return out
}
