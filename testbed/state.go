package testbed

import (
	"sort"
	"strings"

	"github.com/pointport/pointport"
)

// This file defines the queries of the state of a fleet.

// IDs returns the IDs of all machines, sorted.
func (f *Fleet) IDs() []pointport.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]pointport.InstanceID, 0, len(f.machines))
	for id := range f.machines {
		out = append(out, id)
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}

// Incarnation returns the ID of a machine's current incarnation, empty if it has none.
func (f *Fleet) Incarnation(id pointport.InstanceID) pointport.IncarnationID {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil || m.current == nil {
		return ""
	}
	return m.current.id
}

// Violations returns the violations that the fleet has found in the orders it received.
func (f *Fleet) Violations() []Violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, i := range f.incarnations {
		i.advance(now)
	}
	f.checkServingTasks(now)
	return append(f.excessStartViolations(), f.violations...)
}

// Starts returns how many runs of all tasks were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.starts {
		n += s
	}
	return n
}

// Started returns how many runs of a task were started.
func (f *Fleet) Started(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// Done reports whether a run of a task has ended as done.
func (f *Fleet) Done(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task] || f.listedDone(task)
}

// RunsOf returns how many runs of a job's tasks exist now.
func (f *Fleet) RunsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := f.clock.Now(), 0
	for _, i := range f.incarnations {
		i.advance(now)
		if i.gone {
			continue
		}
		for task := range i.runs {
			if strings.HasPrefix(task, job+".") {
				n++
			}
		}
	}
	return n
}

// Running returns how many runs of all tasks exist now.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := f.clock.Now(), 0
	for _, i := range f.incarnations {
		i.advance(now)
		if !i.gone {
			n += len(i.runs)
		}
	}
	return n
}

// RunningTasks returns the names of the tasks that run now, one for each run.
func (f *Fleet) RunningTasks() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, i := range f.incarnations {
		i.advance(f.clock.Now())
		if i.gone {
			continue
		}
		for task := range i.runs {
			out = append(out, task)
		}
	}
	return out
}

// PoolSize returns how many machines of a pool are on.
func (f *Fleet) PoolSize(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.machines {
		if m.pool == pool && m.current != nil {
			n++
		}
	}
	return n
}

// BusyMachines returns the machines that run at least one task, sorted.
func (f *Fleet) BusyMachines() []pointport.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []pointport.InstanceID
	for id, m := range f.machines {
		if m.current == nil {
			continue
		}
		m.current.advance(f.clock.Now())
		if len(m.current.runs) > 0 {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}
