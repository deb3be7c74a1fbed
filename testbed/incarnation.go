package testbed

import (
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file defines an incarnation: what runs on it, what has ended, and the
// orders that it takes.

const (
	// serviceStartTime is how long a serving task takes until it is at work.
	serviceStartTime = 300 * time.Millisecond
	// fullProgress is the progress of a task that is done, or at work.
	fullProgress = 100
	// maxListedEnds is how many ends a report lists at once.
	maxListedEnds = 500
)

// An incarnation is one life of a machine. Its fleet's lock guards it.
type incarnation struct {
	fleet   *Fleet
	id      pointport.IncarnationID
	machine *Machine
	// clockSetAt is when its clock showed zero; it runs at rate, 1 being right.
	clockSetAt  time.Time
	clockOrigin pointport.InstanceTime
	rate        float64
	// stalledUntil is until when it handles nothing.
	stalledUntil time.Time

	fence         pointport.Fence
	leaseUntil    pointport.InstanceTime
	runs          map[string]*run
	ruledOut      map[string]int // by task, the highest run that was stopped or has ended
	endList       []pointport.TaskEnd
	lastEndNumber int64
	gone          bool
}

// A run is a task on an incarnation.
type run struct {
	pointport.TaskRun
	work            Work
	workingSince    time.Time // when it began to work, zero while its gang gathers
	arrivedAt       time.Time
	stopsAt         time.Time // when it will have stopped, zero unless it was told to
	initialProgress int       // progress that it resumed with
}

func (i *incarnation) clockAt(now time.Time) pointport.InstanceTime {
	return i.clockOrigin + pointport.InstanceTime(float64(now.Sub(i.clockSetAt))*i.rate)
}

// timeOf returns the time at which the incarnation's clock shows c.
func (i *incarnation) timeOf(c pointport.InstanceTime) time.Time {
	return i.clockSetAt.Add(time.Duration(float64(c-i.clockOrigin) / i.rate))
}

// endsAt returns when a run ends by itself or by an order; zero if never. One that crashes its
// instance does not end before that, however late that is brought about.
func (r *run) endsAt() time.Time {
	if !r.stopsAt.IsZero() {
		return r.stopsAt
	}
	if r.work.Service || r.work.Crashes || r.workingSince.IsZero() {
		return time.Time{}
	}
	left := r.work.Duration * time.Duration(fullProgress-r.initialProgress) / fullProgress
	return r.workingSince.Add(left)
}

// advance lets happen what has happened up to now.
func (i *incarnation) advance(now time.Time) {
	if i.gone {
		return
	}
	lapse := i.timeOf(i.leaseUntil)
	for {
		first, at := i.nextEnd()
		if first == nil || at.After(now) || at.After(lapse) {
			break
		}
		i.finishRun(first)
	}
	if len(i.runs) > 0 && now.After(lapse) {
		for _, r := range i.sortedRuns() {
			i.endRun(r, pointport.EndLeaseExpired)
			i.fleet.breakGang(r)
		}
	}
}

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

func (i *incarnation) finishRun(r *run) {
	switch {
	case !r.stopsAt.IsZero():
		i.endRun(r, pointport.EndStopped)
	case r.work.Gang > 1 && r.workingSince.IsZero():
		i.endRun(r, pointport.EndGangTimeout)
	case r.work.Fails:
		i.endRun(r, pointport.EndFailed)
		i.fleet.noteFailed(r.Task, i)
	default:
		i.endRun(r, pointport.EndDone)
		i.fleet.noteDone(r.TaskRun, i)
		i.fleet.finishGang(r)
		return
	}
	i.fleet.breakGang(r)
}

// endRun lists the end of a run.
func (i *incarnation) endRun(r *run, kind pointport.EndKind) {
	delete(i.runs, r.Task)
	i.ruleOut(r.TaskRun)
	i.lastEndNumber++
	i.endList = append(i.endList, pointport.TaskEnd{Number: i.lastEndNumber, TaskRun: r.TaskRun, Kind: kind})
	i.fleet.notifyChange()
}

func (i *incarnation) ruleOut(t pointport.TaskRun) {
	i.ruledOut[t.Task] = max(i.ruledOut[t.Task], t.Run)
}

// admit takes in the fence and the time of an order. A longer time than an instance grants is cut
// to that.
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

// start carries out a start that was sent at sent.
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
	if !i.free().Fits(work.Reservation) {
		if i.fleet.enforcesCapacity {
			return i.reject(pointport.RejectNoCapacity)
		}
		if !i.machine.recentlyResized(now) || !i.freeWithin(i.machine.formerCapacity).Fits(work.Reservation) {
			i.fleet.addViolation(now, o.Task, "is started beyond the room of "+string(i.id))
		}
	}
	if i.machine.failsRuns {
		work.Fails = true
	}
	r := &run{TaskRun: o.TaskRun, work: work, arrivedAt: now, workingSince: now}
	i.fleet.checkStart(now, i, r, o)
	i.fleet.checkZone(now, sent, i, r.Task)
	if work.Gang > 1 {
		r.workingSince = time.Time{}
	}
	i.runs[o.Task] = r
	i.fleet.startGangIfComplete(now, r)
	if work.Crashes {
		i.scheduleCrash(r)
	}
	i.fleet.notifyChange()
	return nil
}

// resizeGrace is for how long starts may still go by what a machine held before it shrank.
const resizeGrace = 4500 * time.Millisecond

// recentlyResized reports whether whoever gives orders need not know yet that the machine holds
// less than before.
func (m *Machine) recentlyResized(now time.Time) bool { return now.Sub(m.resizedAt) < resizeGrace }

// free returns what is left of the capacity. What is being stopped counts.
func (i *incarnation) free() pointport.Shape { return i.freeWithin(i.machine.capacity) }

func (i *incarnation) freeWithin(free pointport.Shape) pointport.Shape {
	for _, r := range i.runs {
		free = free.Minus(r.work.Reservation)
	}
	return free
}

// stop carries out a stop.
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

// report carries out a hold.
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
		out.Running = append(out.Running, pointport.RunningTask{TaskRun: r.TaskRun, Progress: r.progress(now)})
	}
	out.Ended = append(out.Ended, i.endList[:min(len(i.endList), maxListedEnds)]...)
	if !i.machine.answersMayBeLost {
		i.fleet.noteListed(now, out.Ended)
	}
	return out, nil
}

func (r *run) progress(now time.Time) int {
	if r.workingSince.IsZero() {
		return 0
	}
	whole := r.work.Duration
	if r.work.Service {
		whole = serviceStartTime
	}
	if whole <= 0 {
		return fullProgress
	}
	return min(fullProgress, r.initialProgress+int(fullProgress*now.Sub(r.workingSince)/whole))
}
