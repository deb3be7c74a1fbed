package testbed

import (
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file defines an incarnation: what runs on it, what has ended, and the
// orders that it takes.

const (
	// serveStart is how long a serving task takes until it is at work.
	serveStart = 300 * time.Millisecond
	// wholeProgress is the progress of a task that is done, or at work.
	wholeProgress = 100
	// listedEnds is how many ends a report lists at once.
	listedEnds = 500
)

// An incarnation is one life of a machine. Its fleet's lock guards it.
type incarnation struct {
	fleet   *Fleet
	id      pointport.IncarnationID
	machine *Machine
	// born is when its clock showed zero; it runs at rate, 1 being right.
	born time.Time
	zero pointport.InstanceTime
	rate float64
	// stalled is until when it handles nothing.
	stalled time.Time

	fence  pointport.Fence
	until  pointport.InstanceTime
	runs   map[string]*run
	burned map[string]int // by task, the highest run that was stopped or has ended
	ended  []pointport.TaskEnd
	number int64
	over   bool
}

// A run is a task on an incarnation.
type run struct {
	pointport.TaskRun
	work    Work
	began   time.Time // when it began to work, zero while its gang gathers
	arrived time.Time
	stops   time.Time // when it will have stopped, zero unless it was told to
	from    int       // progress that it resumed with
}

func (i *incarnation) clock(now time.Time) pointport.InstanceTime {
	return i.zero + pointport.InstanceTime(float64(now.Sub(i.born))*i.rate)
}

// localTime returns the time at which the incarnation's clock shows c.
func (i *incarnation) localTime(c pointport.InstanceTime) time.Time {
	return i.born.Add(time.Duration(float64(c-i.zero) / i.rate))
}

// ends returns when a run ends by itself or by an order; zero if never. One that crashes its
// instance does not end before that, however late that is brought about.
func (r *run) ends() time.Time {
	if !r.stops.IsZero() {
		return r.stops
	}
	if r.work.Service || r.work.Crashes || r.began.IsZero() {
		return time.Time{}
	}
	left := r.work.Duration * time.Duration(wholeProgress-r.from) / wholeProgress
	return r.began.Add(left)
}

// advance lets happen what has happened up to now.
func (i *incarnation) advance(now time.Time) {
	if i.over {
		return
	}
	lapse := i.localTime(i.until)
	for {
		first, at := i.nextEnd()
		if first == nil || at.After(now) || at.After(lapse) {
			break
		}
		i.finish(first)
	}
	if len(i.runs) > 0 && now.After(lapse) {
		for _, r := range i.sorted() {
			i.end(r, pointport.EndLeaseExpired)
			i.fleet.breakGang(r)
		}
	}
}

func (i *incarnation) nextEnd() (*run, time.Time) {
	var first *run
	var at time.Time
	for _, r := range i.sorted() {
		end := r.ends()
		if r.work.Gang > 1 && r.began.IsZero() && r.stops.IsZero() {
			end = r.arrived.Add(i.fleet.gangTime)
		}
		if !end.IsZero() && (first == nil || end.Before(at)) {
			first, at = r, end
		}
	}
	return first, at
}

func (i *incarnation) sorted() []*run {
	out := make([]*run, 0, len(i.runs))
	for _, r := range i.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Task < out[b].Task })
	return out
}

func (i *incarnation) finish(r *run) {
	switch {
	case !r.stops.IsZero():
		i.end(r, pointport.EndStopped)
	case r.work.Gang > 1 && r.began.IsZero():
		i.end(r, pointport.EndGangTimeout)
	case r.work.Fails:
		i.end(r, pointport.EndFailed)
		i.fleet.noteFailed(r.Task, i)
	default:
		i.end(r, pointport.EndDone)
		i.fleet.noteDone(r.TaskRun, i)
		i.fleet.finishGang(r)
		return
	}
	i.fleet.breakGang(r)
}

// end lists the end of a run.
func (i *incarnation) end(r *run, kind pointport.EndKind) {
	delete(i.runs, r.Task)
	i.burn(r.TaskRun)
	i.number++
	i.ended = append(i.ended, pointport.TaskEnd{Number: i.number, TaskRun: r.TaskRun, Kind: kind})
	i.fleet.wake()
}

func (i *incarnation) burn(t pointport.TaskRun) {
	i.burned[t.Task] = max(i.burned[t.Task], t.Run)
}

// admit takes in the fence and the time of an order. A longer time than an instance grants is cut
// to that.
func (i *incarnation) admit(fence pointport.Fence, until pointport.InstanceTime) *pointport.RejectedError {
	if fence < i.fence {
		return i.reject(pointport.RejectFence)
	}
	i.fence = fence
	i.until = max(i.until, min(until, i.clock(i.fleet.clock.Now())+pointport.InstanceTime(MaxHold)))
	return nil
}

func (i *incarnation) reject(reason pointport.RejectReason) *pointport.RejectedError {
	return &pointport.RejectedError{Incarnation: i.id, Reason: reason}
}

// start carries out a start that was sent at sent.
func (i *incarnation) start(now, sent time.Time, o pointport.StartOrder) error {
	if i.machine.unwell {
		return i.reject(pointport.RejectUnhealthy)
	}
	if err := i.admit(o.Fence, o.LeaseUntil); err != nil {
		return err
	}
	if r := i.runs[o.Task]; r != nil && r.Run == o.Run {
		return nil
	}
	switch {
	case i.until <= i.clock(now):
		return i.reject(pointport.RejectExpired)
	case i.burned[o.Task] >= o.Run || i.runs[o.Task] != nil:
		return i.reject(pointport.RejectOldRun)
	}
	work := i.fleet.work(o)
	if !i.free().Fits(work.Reservation) {
		if i.fleet.guards {
			return i.reject(pointport.RejectNoCapacity)
		}
		if !i.machine.justShrunk(now) || !i.freeOf(i.machine.former).Fits(work.Reservation) {
			i.fleet.violate(now, o.Task, "is started beyond the room of "+string(i.id))
		}
	}
	if i.machine.fails {
		work.Fails = true
	}
	r := &run{TaskRun: o.TaskRun, work: work, arrived: now, began: now}
	i.fleet.checkStart(now, i, r, o)
	i.fleet.checkZone(now, sent, i, r.Task)
	if work.Gang > 1 {
		r.began = time.Time{}
	}
	i.runs[o.Task] = r
	i.fleet.gather(now, r)
	if work.Crashes {
		i.crashSoon(r)
	}
	i.fleet.wake()
	return nil
}

// shrinkTime is for how long starts may still go by what a machine held before it shrank.
const shrinkTime = 4500 * time.Millisecond

// justShrunk reports whether whoever gives orders need not know yet that the machine holds
// less than before.
func (m *Machine) justShrunk(now time.Time) bool { return now.Sub(m.shrunk) < shrinkTime }

// free returns what is left of the capacity. What is being stopped counts.
func (i *incarnation) free() pointport.Shape { return i.freeOf(i.machine.capacity) }

func (i *incarnation) freeOf(free pointport.Shape) pointport.Shape {
	for _, r := range i.runs {
		free = free.Minus(r.work.Reservation)
	}
	return free
}

// stop carries out a stop.
func (i *incarnation) stop(now time.Time, o pointport.StopOrder) error {
	if i.machine.unwell {
		return i.reject(pointport.RejectUnhealthy)
	}
	if err := i.admit(o.Fence, 0); err != nil {
		return err
	}
	if r := i.runs[o.Task]; r != nil && r.Run == o.Run {
		if r.stops.IsZero() {
			i.fleet.checkStop(now, i, r)
			r.stops = now.Add(i.fleet.stopTime)
		}
		return nil
	}
	i.burn(o.TaskRun)
	return nil
}

// report carries out a hold.
func (i *incarnation) report(now time.Time, o pointport.PollOrder) (pointport.Report, error) {
	if err := i.admit(o.Fence, o.LeaseUntil); err != nil {
		return pointport.Report{}, err
	}
	i.fleet.noteAcknowledged(i, o.Acknowledged)
	kept := i.ended[:0]
	for _, e := range i.ended {
		if e.Number > o.Acknowledged {
			kept = append(kept, e)
		}
	}
	i.ended = kept
	out := pointport.Report{Clock: i.clock(now)}
	for _, r := range i.sorted() {
		out.Running = append(out.Running, pointport.RunningTask{TaskRun: r.TaskRun, Progress: r.progress(now)})
	}
	out.Ended = append(out.Ended, i.ended[:min(len(i.ended), listedEnds)]...)
	if !i.machine.unheard {
		i.fleet.noteTold(now, out.Ended)
	}
	return out, nil
}

func (r *run) progress(now time.Time) int {
	if r.began.IsZero() {
		return 0
	}
	whole := r.work.Duration
	if r.work.Service {
		whole = serveStart
	}
	if whole <= 0 {
		return wholeProgress
	}
	return min(wholeProgress, r.from+int(wholeProgress*now.Sub(r.began)/whole))
}
