package testbed

import (
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file defines an incarnation: its runs, the ends of runs that it lists, and the orders that
// it handles.

const (
	// serviceStartTime is how long a serving task takes from its start until it serves.
	serviceStartTime = 300 * time.Millisecond
	// fullProgress is the progress of a task that is done or serves.
	fullProgress = 100
	// maxListedEnds is how many ends one report lists at most.
	maxListedEnds = 500
)

// An incarnation is one boot of a machine. Its fleet's lock guards it.
type incarnation struct {
	fleet   *Fleet
	id      pointport.IncarnationID
	machine *Machine
	// clockSetAt is when its clock showed clockOrigin. The clock runs at rate, 1 being right.
	clockSetAt  time.Time
	clockOrigin pointport.InstanceTime
	rate        float64
	// stalledUntil is the time until which it handles no order.
	stalledUntil time.Time

	fence         pointport.Fence
	leaseUntil    pointport.InstanceTime
	runs          map[string]*run
	ruledOut      map[string]int // by task, the highest run that was stopped or has ended
	endList       []pointport.TaskEnd
	lastEndNumber int64
	gone          bool
}

// A run is one execution of a task on an incarnation.
type run struct {
	pointport.TaskRun
	work            Work
	workingSince    time.Time               // zero while the gang is incomplete
	pool            string                  // of its machine at its start
	on              pointport.IncarnationID // where it was started
	arrivedAt       time.Time
	stopsAt         time.Time // when an ordered stop completes, zero without one
	initialProgress int       // progress that it resumed with, in percent
}

func (i *incarnation) clockAt(now time.Time) pointport.InstanceTime {
	return i.clockOrigin + pointport.InstanceTime(float64(now.Sub(i.clockSetAt))*i.rate)
}

// timeOf returns the time at which the incarnation's clock shows c.
func (i *incarnation) timeOf(c pointport.InstanceTime) time.Time {
	return i.clockSetAt.Add(time.Duration(float64(c-i.clockOrigin) / i.rate))
}

// endsAt returns when a run ends by itself or because of a stop order, zero if never. A run that
// crashes its instance does not end before the crash, however late the crash is carried out.
func (r *run) endsAt() time.Time {
	if !r.stopsAt.IsZero() {
		return r.stopsAt
	}
	if r.work.Crashes || r.workingSince.IsZero() || r.work.Service && r.work.DoneAfter == 0 {
		return time.Time{}
	}
	if r.work.Service {
		return r.workingSince.Add(serviceStartTime + r.work.DoneAfter)
	}
	left := r.work.Duration * time.Duration(fullProgress-r.initialProgress) / fullProgress
	return r.workingSince.Add(left)
}

// advance applies all ends of runs that are due by now. When the lease has expired, it ends the
// remaining runs.
func (i *incarnation) advance(now time.Time) {
	if i.gone {
		return
	}
	expiry := i.timeOf(i.leaseUntil)
	for {
		first, at := i.nextEnd()
		if first == nil || at.After(now) || at.After(expiry) {
			break
		}
		i.finishRun(first)
	}
	if len(i.runs) > 0 && now.After(expiry) {
		for _, r := range i.sortedRuns() {
			i.endRun(r, pointport.EndLeaseExpired)
			i.fleet.noteServingEnd(expiry, r)
			i.fleet.breakGang(r)
		}
	}
}

// nextEnd returns the run that ends first and when, nil if none ends by itself.
func (i *incarnation) nextEnd() (*run, time.Time) {
	var first *run
	var at time.Time
	for _, r := range i.sortedRuns() {
		end := r.endsAt()
		if r.work.Gang > 1 && r.workingSince.IsZero() && r.stopsAt.IsZero() {
			end = r.arrivedAt.Add(i.fleet.gangTimeout)
		}
		if !end.IsZero() && (first == nil || end.Before(at)) {
			first, at = r, end
		}
	}
	return first, at
}

func (i *incarnation) sortedRuns() []*run {
	out := make([]*run, 0, len(i.runs))
	for _, r := range i.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Task < out[b].Task })
	return out
}

// finishRun ends a run that is due: as stopped, failed or done, or because its gang was not
// complete in time.
func (i *incarnation) finishRun(r *run) {
	switch {
	case !r.stopsAt.IsZero():
		i.endRun(r, pointport.EndStopped)
		i.fleet.noteServingEnd(r.stopsAt, r)
	case r.work.Gang > 1 && r.workingSince.IsZero():
		i.endRun(r, pointport.EndGangTimeout)
	case r.work.Fails:
		i.endRun(r, pointport.EndFailed)
		i.fleet.noteFailed(r.Task, i)
	default:
		i.fleet.endAsDone(i, r, r.endsAt())
		i.fleet.finishGang(r)
		return
	}
	i.fleet.breakGang(r)
}

// endAsDone ends a run as done at a time. A serving task is not done by that. The lock is held.
func (f *Fleet) endAsDone(i *incarnation, r *run, at time.Time) {
	i.endRun(r, pointport.EndDone)
	if r.work.Service {
		f.noteServingEnd(at, r)
		return
	}
	f.noteDone(r.TaskRun, i)
}

// endRun removes a run and lists its end.
func (i *incarnation) endRun(r *run, kind pointport.EndKind) {
	delete(i.runs, r.Task)
	i.ruleOut(r.TaskRun)
	i.lastEndNumber++
	end := pointport.TaskEnd{Number: i.lastEndNumber, TaskRun: r.TaskRun, Kind: kind}
	if kind != pointport.EndDone {
		end.Checkpoint = r.checkpoint(i.fleet.clock.Now())
		i.fleet.noteCheckpoint(r.Task, end.Checkpoint)
	}
	i.endList = append(i.endList, end)
	i.fleet.notifyChange()
}

// ruleOut makes the incarnation refuse further starts of a run and of the task's earlier runs.
func (i *incarnation) ruleOut(t pointport.TaskRun) {
	i.ruledOut[t.Task] = max(i.ruledOut[t.Task], t.Run)
}

// admit checks the fencing token of an order and extends the lease as the order asks, by MaxHold
// from now at most.
func (i *incarnation) admit(fence pointport.Fence, until pointport.InstanceTime) *pointport.RejectedError {
	if fence < i.fence {
		return i.reject(pointport.RejectFence)
	}
	i.fence = fence
	i.leaseUntil = max(i.leaseUntil, min(until, i.clockAt(i.fleet.clock.Now())+pointport.InstanceTime(MaxHold)))
	return nil
}

func (i *incarnation) reject(reason pointport.RejectReason) *pointport.RejectedError {
	return &pointport.RejectedError{Incarnation: i.id, Reason: reason}
}

// start carries out a start order that was sent at sent.
func (i *incarnation) start(now, sent time.Time, o pointport.StartOrder) error {
	if i.machine.unhealthy {
		return i.reject(pointport.RejectUnhealthy)
	}
	if err := i.admit(o.Fence, o.LeaseUntil); err != nil {
		return err
	}
	if r := i.runs[o.Task]; r != nil && r.Run == o.Run {
		return nil
	}
	switch {
	case i.leaseUntil <= i.clockAt(now):
		return i.reject(pointport.RejectExpired)
	case i.ruledOut[o.Task] >= o.Run || i.runs[o.Task] != nil:
		return i.reject(pointport.RejectOldRun)
	}
	work := i.fleet.work(o)
	if work.Advised && !i.fleet.advice.allows(now, gangName(o.Task), i.id, o.Ticket) {
		return i.reject(pointport.RejectTicket)
	}
	if !i.free().Fits(work.Reservation) {
		if i.fleet.enforcesCapacity {
			return i.reject(pointport.RejectNoCapacity)
		}
		if !i.machine.recentlyResized(now) || !i.freeWithin(i.machine.formerCapacity).Fits(work.Reservation) {
			i.fleet.addViolation(now, o.Task, "was started beyond the capacity of "+string(i.id))
		}
	}
	if i.machine.failsRuns {
		work.Fails = true
	}
	r := &run{TaskRun: o.TaskRun, work: work, pool: i.machine.pool, on: i.id, arrivedAt: now, workingSince: now}
	i.fleet.checkStart(now, i, r, o)
	i.fleet.checkZone(now, sent, i, r.Task)
	i.fleet.checkCancelled(now, sent, o)
	i.fleet.resume(now, r, o)
	if work.Gang > 1 {
		r.workingSince = time.Time{}
	}
	i.fleet.noteServingStart(now, r)
	i.runs[o.Task] = r
	i.fleet.startGangIfComplete(now, r)
	if work.Crashes {
		i.scheduleCrash(r)
	}
	i.fleet.notifyChange()
	return nil
}

// resizeGrace is how long starts may still rely on a machine's capacity from before it was
// changed.
const resizeGrace = 4500 * time.Millisecond

// recentlyResized reports whether the capacity changed so recently that an owner may not know of
// it yet.
func (m *Machine) recentlyResized(now time.Time) bool { return now.Sub(m.resizedAt) < resizeGrace }

// free returns the unused capacity. Runs that are being stopped still use theirs.
func (i *incarnation) free() pointport.Shape { return i.freeWithin(i.machine.capacity) }

// freeWithin returns what a capacity has left after the reservations of all runs.
func (i *incarnation) freeWithin(free pointport.Shape) pointport.Shape {
	for _, r := range i.runs {
		free = free.Minus(r.work.Reservation)
	}
	return free
}

// stop carries out a stop order. For a run that is not here it refuses later starts of it.
func (i *incarnation) stop(now time.Time, o pointport.StopOrder) error {
	if i.machine.unhealthy {
		return i.reject(pointport.RejectUnhealthy)
	}
	if err := i.admit(o.Fence, 0); err != nil {
		return err
	}
	if r := i.runs[o.Task]; r != nil && r.Run == o.Run {
		if r.stopsAt.IsZero() {
			i.fleet.checkStop(now, i, r)
			r.stopsAt = now.Add(i.fleet.stopTime)
		}
		return nil
	}
	i.ruleOut(o.TaskRun)
	return nil
}

// report carries out a poll: it extends the lease, drops the acknowledged ends and returns the
// runs and the remaining ends.
func (i *incarnation) report(now time.Time, o pointport.PollOrder) (pointport.Report, error) {
	if err := i.admit(o.Fence, o.LeaseUntil); err != nil {
		return pointport.Report{}, err
	}
	i.fleet.noteAcknowledged(i, o.Acknowledged)
	kept := i.endList[:0]
	for _, e := range i.endList {
		if e.Number > o.Acknowledged {
			kept = append(kept, e)
		}
	}
	i.endList = kept
	out := pointport.Report{Clock: i.clockAt(now)}
	for _, r := range i.sortedRuns() {
		checkpoint := r.checkpoint(now)
		i.fleet.noteCheckpoint(r.Task, checkpoint)
		out.Running = append(out.Running, pointport.RunningTask{TaskRun: r.TaskRun, Checkpoint: checkpoint, Progress: r.progress(now)})
	}
	out.Ended = append(out.Ended, i.endList[:min(len(i.endList), maxListedEnds)]...)
	if !i.machine.answersMayBeLost {
		i.fleet.noteListed(now, out.Ended)
	}
	return out, nil
}

// progress returns the progress of a run in percent.
func (r *run) progress(now time.Time) int {
	if r.workingSince.IsZero() {
		return 0
	}
	duration := r.work.Duration
	if r.work.Service {
		duration = serviceStartTime
	}
	if duration <= 0 {
		return fullProgress
	}
	return min(fullProgress, r.initialProgress+int(fullProgress*now.Sub(r.workingSince)/duration))
}
