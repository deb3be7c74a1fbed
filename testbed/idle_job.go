package testbed

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file checks that no accepted job stands still: while a task of it is ready, there is room for it twice
// over, and neither its customer nor its pool is busy, something of it must run within idleJobTime.

const (
	// idleJobTime is for how long a job may have nothing running under these conditions.
	idleJobTime = 3 * time.Second
	// idleJobRecoveryTime is how long after a disturbance jobs may stand still, as on the users' platform
	// after the end of the traffic.
	idleJobRecoveryTime = 14 * time.Second
)

// An acceptedJob is a job that the platform has accepted.
type acceptedJob struct {
	id, pool, customer string
	spec               *workload.Spec
	advised            bool // whether its steps may run only where the advisor allows it
	// idleSince is since when the job should have had something running, zero while it need not.
	idleSince time.Time
	reported  bool
}

// acceptedJobs holds what the check of accepted jobs needs. The fleet's lock guards it.
type acceptedJobs struct {
	byID map[string]*acceptedJob
	// caps holds the cap of each customer that has one. A zero part is not bounded.
	caps map[string]pointport.Shape
}

// NoteAccepted records that a job was accepted for a queue. From then on CheckIdleJobs observes it.
func (f *Fleet) NoteAccepted(id string, q *workload.Queue, customer string, spec *workload.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted.byID[id] = &acceptedJob{id: id, pool: q.Pool, customer: customer, spec: spec, advised: q.Policy.Advised}
}

// SetCap sets the cap of a customer.
func (f *Fleet) SetCap(customer string, limit pointport.Shape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted.caps[customer] = limit
}

// CheckIdleJobs observes the accepted jobs, and records a violation for each that stands still. A test calls
// it several times in each idleJobTime.
func (f *Fleet) CheckIdleJobs() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, i := range f.incarnations {
		i.advance(now)
	}
	for _, id := range slices.Sorted(maps.Keys(f.accepted.byID)) {
		j := f.accepted.byID[id]
		if f.isDone(j) {
			delete(f.accepted.byID, id)
			continue
		}
		f.checkIdleJob(now, j)
	}
}

// isDone reports whether all tasks of a job have ended as done, and none is to start again. The lock is held.
func (f *Fleet) isDone(j *acceptedJob) bool {
	return !j.spec.RunsUntilCancelled() && !slices.ContainsFunc(j.tasks(), f.isOpen)
}

// isOpen reports whether a task has not ended as done. The lock is held.
func (f *Fleet) isOpen(task string) bool { return !f.done[task] && !f.listedDone(task) }

// checkIdleJob observes one job. The lock is held.
func (f *Fleet) checkIdleJob(now time.Time, j *acceptedJob) {
	switch {
	case !f.shouldRun(j):
		j.idleSince = time.Time{}
		return
	case j.idleSince.IsZero():
		j.idleSince = now
	}
	due := latest(j.idleSince.Add(idleJobTime), f.serving.calmSince.Add(idleJobRecoveryTime))
	if j.reported || now.Before(due) || f.hasOpenDisturbance() {
		return
	}
	j.reported = true
	f.addViolation(due, j.id, fmt.Sprintf("is accepted and has had nothing running since %s, although all has been calm, there is room for it twice over, and %s and the pool %s use less than half of what they may",
		j.idleSince.Format("15:04:05.000"), j.customer, j.pool))
}

// shouldRun reports whether something of a job should run now, although nothing does. A job of which a task
// has failed or crashed its instance need not: it may have failed, or wait on purpose. Nor need one of which a
// task was lost so often that the platform may have given it up. The lock is held.
func (f *Fleet) shouldRun(j *acceptedJob) bool {
	if _, cancelled := f.cancelled[j.id]; cancelled || f.serving.cancelRequested[j.id] || f.troubled(j) {
		return false
	}
	step, ok := f.readyStep(j)
	if !ok || slices.ContainsFunc(j.tasks(), f.serves) {
		return false
	}
	return f.isUnderHalfOfCap(j.customer) && f.isUnderHalfOfPool(j.pool) && f.hasRoomTwice(j, step)
}

// troubled reports whether a task of a job has failed, crashed its instance or was lost in maxCrashes crashes.
// The lock is held.
func (f *Fleet) troubled(j *acceptedJob) bool {
	return slices.ContainsFunc(j.tasks(), func(task string) bool {
		return f.crashes[task] > 0 || len(f.failedEnds[task]) > 0 || f.lostToCrashes[task] >= maxCrashes
	})
}

// tasks returns the names of all tasks of a job.
func (j *acceptedJob) tasks() []string {
	var out []string
	for n := range j.spec.Steps {
		out = append(out, j.tasksOf(n)...)
	}
	return out
}

// tasksOf returns the names of the tasks of a step.
func (j *acceptedJob) tasksOf(step int) []string {
	var out []string
	for i := range j.spec.Steps[step].Count {
		out = append(out, workload.TaskName(j.id, workload.TaskRef{Step: step, Index: i}))
	}
	return out
}

// readyStep returns the first step with tasks that are ready and not done; false if there is none. The lock
// is held.
func (f *Fleet) readyStep(j *acceptedJob) (int, bool) {
	done := func(step int) bool { return !slices.ContainsFunc(j.tasksOf(step), f.isOpen) }
	for n := range j.spec.Steps {
		s := &j.spec.Steps[n]
		if (s.Service || !done(n)) && !slices.ContainsFunc(s.After, func(before int) bool { return !done(before) }) {
			return n, true
		}
	}
	return 0, false
}

// running returns the sum of what the runs that match take. The lock is held.
func (f *Fleet) running(match func(*Machine, *run) bool) pointport.Shape {
	var sum pointport.Shape
	for _, m := range f.machines {
		if m.current == nil {
			continue
		}
		for _, r := range m.current.runs {
			if match(m, r) {
				sum = sum.Plus(r.work.Reservation)
			}
		}
	}
	return sum
}

// isUnderHalfOfCap reports whether a customer has less than half of its cap running. The lock is held.
func (f *Fleet) isUnderHalfOfCap(customer string) bool {
	limit, capped := f.accepted.caps[customer]
	if !capped {
		return true
	}
	used := f.running(func(_ *Machine, r *run) bool {
		j := f.accepted.byID[jobOf(r.Task)]
		return j == nil || j.customer == customer
	})
	under := func(limit, used int64) bool { return limit == 0 || 2*used < limit }
	return under(limit.CPUMilli, used.CPUMilli) && under(limit.MemoryMiB, used.MemoryMiB) && under(limit.Accelerators, used.Accelerators)
}

// isUnderHalfOfPool reports whether less than half of a pool's capacity is in use. The lock is held.
func (f *Fleet) isUnderHalfOfPool(pool string) bool {
	var capacity pointport.Shape
	for _, m := range f.machines {
		if m.pool == pool && m.current != nil {
			capacity = capacity.Plus(m.capacity)
		}
	}
	used := f.running(func(m *Machine, _ *run) bool { return m.pool == pool })
	return capacity.Fits(used.Plus(used))
}

// hasRoomTwice reports whether the instances of a job's pool could take twice what of a step must run at
// once: one task, or all tasks of a gang. The lock is held.
func (f *Fleet) hasRoomTwice(j *acceptedJob, step int) bool {
	s := &j.spec.Steps[step]
	need := 2
	if s.Gang {
		need = 2 * s.Count
	}
	for _, m := range f.machines {
		name := gangName(j.tasksOf(step)[0])
		if m.accepts(j.pool, s.Label) && f.evacuatedSince[m.zone].IsZero() && (!j.advised || f.advice.settings.MayRun(name, m.id)) {
			need -= m.roomFor(s, name)
		}
	}
	return need <= 0
}

// accepts reports whether a machine may be ordered to run tasks of a pool that need a label.
func (m *Machine) accepts(pool, label string) bool {
	return m.current != nil && m.state == pointport.MachineUp && m.pool == pool && m.drainsAt.IsZero() &&
		(label == "" || slices.Contains(m.labels(), label))
}

// roomFor returns how many tasks of a step, which has a name, a machine could take beside its runs.
func (m *Machine) roomFor(s *workload.Step, name string) int {
	free, ofStep := m.capacity, 0
	for _, r := range m.current.runs {
		free = free.Minus(r.work.Reservation)
		if gangName(r.Task) == name {
			ofStep++
		}
	}
	room := 0
	for free.Fits(s.Reservation()) && room < s.Count && (s.MaxPerInstance == 0 || ofStep+room < s.MaxPerInstance) {
		free = free.Minus(s.Reservation())
		room++
	}
	return room
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, err := workload.ParseTaskName(task)
	if err != nil {
		return task // a test may name its tasks freely
	}
	return job
}
