package testbed

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pointport/pointport"
)

// This file checks that serving tasks of open jobs are back in time after their last run has ended.
// The check applies while the fleet is calm, so the fleet also keeps when it was last disturbed.

const (
	// servingReturnTime is how long after the end of its last run a serving task may be away in any
	// case. servingAwayTime is how long it must be away after that to be a violation.
	servingReturnTime = 6 * time.Second
	servingAwayTime   = 3 * time.Second
	// calmBefore is how long the fleet must have been calm before servingAwayTime begins.
	calmBefore = 4 * time.Second
	// minInstancesWithRoom is how many instances must each have room for the task.
	minInstancesWithRoom = 2
	// crashesUntilGivenUp is the number of crashes that a task has caused from which on the platform
	// may give the task up.
	crashesUntilGivenUp = 2
	// maxUndisturbedLatency is the longest latency of an order that is no fault of the network.
	maxUndisturbedLatency = 100 * time.Millisecond
)

// An awayTask is a serving task without a run.
type awayTask struct {
	last    *run      // its last run
	endedAt time.Time // when that run ended
	// roomSince is since when there has been room for the task throughout, zero if there is none.
	roomSince time.Time
	reported  bool
}

// servingTasks holds what the check of serving tasks needs. The fleet's lock guards it.
type servingTasks struct {
	away map[string]*awayTask // by task
	// roomChangedAt is when a run of a serving task last started or ended.
	roomChangedAt time.Time
	// calmSince is the latest end of all disturbances whose end is known. It is in the future while one
	// of them goes on.
	calmSince time.Time
	// openDisturbances is how many calls of BeginDisturbance have not been ended.
	openDisturbances int
	// ordersDisturb reports whether orders about machines, and the boots that follow, are disturbances.
	ordersDisturb bool
	// cancelRequested holds the jobs whose cancellation was requested.
	cancelRequested map[string]bool
}

// NoteDisturbance records that a fault or a planned stop goes on from now until a time. A time that is
// not after now records one that takes no time, such as a crash.
func (f *Fleet) NoteDisturbance(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbUntil(until)
}

// BeginDisturbance records that a fault or a planned stop has begun. The returned function records its
// end; calls after the first have no effect.
func (f *Fleet) BeginDisturbance() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturb()
	f.serving.openDisturbances++
	ended := false
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if ended {
			return
		}
		ended = true
		f.disturb()
		f.serving.openDisturbances--
	}
}

// NoteCancelRequested records that the cancellation of a job was requested. Its tasks may be away from
// then on, since the cancellation may be in force before it is acknowledged.
func (f *Fleet) NoteCancelRequested(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serving.cancelRequested[job] = true
}

// ServingMachines returns the machines of a pool that run at least one serving task, sorted.
func (f *Fleet) ServingMachines(pool string) []pointport.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []pointport.InstanceID
	for id, m := range f.machines {
		if m.current == nil || m.pool != pool {
			continue
		}
		m.current.advance(f.clock.Now())
		if slices.ContainsFunc(m.current.sortedRuns(), func(r *run) bool { return r.work.Service }) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// disturb records a disturbance that takes no time. The lock is held.
func (f *Fleet) disturb() { f.disturbUntil(f.clock.Now()) }

// disturbUntil records a disturbance from now until a time. The lock is held.
func (f *Fleet) disturbUntil(until time.Time) {
	now := f.clock.Now()
	f.checkServingTasks(now) // applies what was known before the disturbance
	f.serving.calmSince = latest(f.serving.calmSince, now, until)
}

// disturbByOrder records that a machine is away by an order until a time, which is a disturbance unless
// WithCalmDuringOrders says otherwise. The lock is held.
func (f *Fleet) disturbByOrder(until time.Time) {
	if f.serving.ordersDisturb {
		f.disturbUntil(until)
		return
	}
	f.checkServingTasks(f.clock.Now())
}

// hasOpenDisturbance reports whether a disturbance goes on whose end is not known, so that calmSince does
// not cover it: one of BeginDisturbance, or a fault that is injected into a machine until it is withdrawn.
// The lock is held.
func (f *Fleet) hasOpenDisturbance() bool {
	if f.serving.openDisturbances > 0 {
		return true
	}
	for _, m := range f.machines {
		if m.failsRuns || m.unhealthy || m.answersMayBeLost {
			return true
		}
	}
	return false
}

// disturbs reports whether the network does not deliver an order as usual.
func (d *Delivery) disturbs() bool {
	return d.OrderLost || d.AnswerLost || d.Refused || d.LateBy > 0 || d.Latency > maxUndisturbedLatency
}

// noteDelivery records a disturbance if the network does not deliver an order to a running incarnation as
// usual.
func (f *Fleet) noteDelivery(to *incarnation, d *Delivery) {
	if to == nil || !d.disturbs() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !to.gone {
		f.disturbUntil(f.clock.Now().Add(d.LateBy))
	}
}

// noteServingStart records that a run of a serving task begins. The lock is held.
func (f *Fleet) noteServingStart(now time.Time, r *run) {
	if !r.work.Service {
		return
	}
	f.checkServingTasks(now)
	delete(f.serving.away, r.Task)
	f.serving.roomChangedAt = now
}

// noteServingEnd records that a run of a serving task has ended at a time, which may be noticed later.
// The lock is held.
func (f *Fleet) noteServingEnd(at time.Time, r *run) {
	if !r.work.Service {
		return
	}
	f.checkServingTasks(f.clock.Now())
	if f.serves(r.Task) {
		return
	}
	f.serving.roomChangedAt = latest(f.serving.roomChangedAt, at)
	away := &awayTask{last: r, endedAt: at}
	if f.hasRoomFor(r) {
		away.roomSince = f.serving.roomChangedAt
	}
	f.serving.away[r.Task] = away
}

// serves reports whether a task has a run. The lock is held.
func (f *Fleet) serves(task string) bool {
	for _, m := range f.machines {
		if m.current != nil && m.current.runs[task] != nil {
			return true
		}
	}
	return false
}

// checkServingTasks records a violation for each serving task that has been away for too long. It is
// called before each event that may change the result. The lock is held.
func (f *Fleet) checkServingTasks(now time.Time) {
	if len(f.serving.away) == 0 {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(f.serving.away)) {
		f.checkServingTask(now, task, f.serving.away[task])
	}
}

// checkServingTask records a violation if a serving task has been away for too long. It does so once
// for each time that the task is away. The lock is held.
func (f *Fleet) checkServingTask(now time.Time, task string, away *awayTask) {
	switch {
	case !f.hasRoomFor(away.last):
		away.roomSince = time.Time{}
		return
	case away.roomSince.IsZero():
		away.roomSince = now
	}
	due := latest(away.endedAt.Add(servingReturnTime), f.serving.calmSince.Add(calmBefore), away.roomSince).Add(servingAwayTime)
	if away.reported || now.Before(due) || f.hasOpenDisturbance() || f.needNotRun(task) {
		return
	}
	away.reported = true
	f.addViolation(due, task, fmt.Sprintf("serves, but has had no run since run %d ended on %s at %s, although all has been calm and there is room on %d instances",
		away.last.Run, away.last.on, away.endedAt.Format("15:04:05.000"), minInstancesWithRoom))
}

// needNotRun reports whether the platform may leave a serving task without a run for good: the
// cancellation of its job was requested, or the task itself has crashed so many instances that it may be
// given up. The lock is held.
func (f *Fleet) needNotRun(task string) bool {
	job := jobOf(task)
	_, cancelled := f.cancelled[job]
	return cancelled || f.serving.cancelRequested[job] || f.crashes[task] >= crashesUntilGivenUp
}

// hasRoomFor reports whether minInstancesWithRoom instances could each take a run of a serving task
// beside the other serving tasks. Tasks that end do not count, since a serving task must be back however
// full the pool is. The lock is held.
func (f *Fleet) hasRoomFor(r *run) bool {
	n := 0
	for _, m := range f.machines {
		if m.couldServe(r) && f.evacuatedSince[m.zone].IsZero() {
			n++
		}
	}
	return n >= minInstancesWithRoom
}

// couldServe reports whether a machine could take a run of a serving task beside the other serving
// tasks.
func (m *Machine) couldServe(r *run) bool {
	if !m.accepts(r.pool, r.work.Label) {
		return false
	}
	free, ofStep := m.capacity, 0
	for _, o := range m.current.runs {
		if !o.work.Service {
			continue
		}
		free = free.Minus(o.work.Reservation)
		if gangName(o.Task) == gangName(r.Task) {
			ofStep++
		}
	}
	return free.Fits(r.work.Reservation) && (r.work.MaxPerInstance == 0 || ofStep < r.work.MaxPerInstance)
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }
