package schedule_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file models instances as strictly as the platform specifies them.

const (
	// modelMaxStopTime is how long a stop takes at most. The run is listed meanwhile.
	modelMaxStopTime = 400 * time.Millisecond
	// modelServeDelay is how long a serving task takes until it serves.
	modelServeDelay = 300 * time.Millisecond
)

// A modelInstance models an instance: a series of incarnations at one address.
type modelInstance struct {
	sim           *simulation
	number        int
	current       *modelIncarnation // nil while the instance is down
	incarnations  int
	lastAddressee pointport.Addressee // of its last incarnation
	capacity      pointport.Shape
	shrank        bool // its capacity has been reduced at some time
	listed        bool // its current incarnation is registered
	unhealthy     bool // refuses to start and stop tasks
	refusesPolls  bool // refuses polls too while it is unhealthy
	blockedUntil  time.Time
}

// address returns the address of the instance.
func (m *modelInstance) address() string { return fmt.Sprintf("10.0.0.%d:1", m.number+1) }

// boot starts a new incarnation.
func (m *modelInstance) boot() {
	m.incarnations++
	m.current = &modelIncarnation{
		instance: m, id: m.identity(), booted: m.sim.now,
		clockAtBoot: m.clockAtBoot(), clockRate: m.sim.drawClockRate(),
		runs: make(map[string]*modelRun), ruledOut: make(map[string]int),
	}
	m.sim.incarnations = append(m.sim.incarnations, m.current)
	m.sim.t.Logf("%v %s boots, its clock at %.3f", m.sim.since(), m.current.id, m.current.clockRate)
}

// identity returns the identity of the next incarnation. Where incarnations share addressees,
// it contains when the incarnation began, by a clock that may be set back.
func (m *modelInstance) identity() pointport.IncarnationID {
	to := pointport.Addressee(fmt.Sprintf("i-%d-%d", m.number, m.incarnations))
	if !m.sim.sharedAddressees {
		return pointport.IncarnationID(to)
	}
	if m.lastAddressee != "" && !m.sim.rarely("another addressee", 2) {
		to = m.lastAddressee
	}
	m.lastAddressee = to
	born := time.UnixMilli(int64(m.incarnations)).Add(time.Duration(m.sim.drawBelow("born", 4)) * time.Hour)
	return pointport.NewIncarnationID(to, born)
}

// clockAtBoot returns what the clock of the next incarnation shows at its start, which may be
// less than that of the previous one.
func (m *modelInstance) clockAtBoot() pointport.InstanceTime {
	if !m.sim.sharedAddressees {
		return pointport.InstanceTime(time.Duration(m.incarnations) * time.Minute)
	}
	return pointport.InstanceTime(time.Duration(m.sim.drawBelow("clock", 8)) * time.Minute)
}

// crash ends the current incarnation.
func (m *modelInstance) crash() {
	if m.current == nil {
		return
	}
	m.current.advance()
	m.sim.t.Logf("%v %s has ended", m.sim.since(), m.current.id)
	m.current.dead = true
	for _, r := range m.current.sorted() {
		m.sim.breakGang(r)
	}
	m.current, m.blockedUntil = nil, time.Time{}
}

// registration returns the registration of the current incarnation.
func (m *modelInstance) registration() pointport.Incarnation {
	return pointport.NewIncarnation(m.current.id, "p", m.address(),
		pointport.WithInstance(pointport.InstanceID(fmt.Sprintf("m-%d", m.number))),
		pointport.WithCapacity(m.capacity), pointport.WithRack("r"), pointport.WithLabels([]string{"a", "r"}))
}

// A modelIncarnation models an incarnation of an instance.
type modelIncarnation struct {
	instance    *modelInstance
	id          pointport.IncarnationID
	booted      time.Time
	clockAtBoot pointport.InstanceTime
	clockRate   float64 // speed of its clock, which may run 2% slow

	fence         pointport.Fence
	extendedTo    pointport.InstanceTime
	runs          map[string]*modelRun
	ruledOut      map[string]int // the highest run that was stopped or has ended, by task
	ended         []pointport.TaskEnd
	endedAt       map[int64]time.Time
	lastEndNumber int64
	lapsedAt      time.Time // when its execution lease was last seen expired
	heldPolls     []*modelHeldPoll
	dead          bool
}

// A modelRun is a run on an incarnation.
type modelRun struct {
	pointport.TaskRun
	on      *modelIncarnation
	work    modelWork
	arrived time.Time
	began   time.Time // zero until all members of its gang are there
	stopsAt time.Time // when it has stopped, zero unless it was ordered to stop
}

// A modelWork describes the work of a task.
type modelWork struct {
	step     *workload.Step
	duration time.Duration
	fails    bool
}

// A modelHeldPoll is a poll that waits for the end of a run.
type modelHeldPoll struct {
	order  pointport.PollOrder
	until  time.Time
	answer func(pointport.Report)
}

// clock returns what the clock of the incarnation shows at a time.
func (l *modelIncarnation) clock(at time.Time) pointport.InstanceTime {
	return l.clockAtBoot + pointport.InstanceTime(float64(at.Sub(l.booted))*l.clockRate)
}

// timeAt returns the time at which the clock shows c.
func (l *modelIncarnation) timeAt(c pointport.InstanceTime) time.Time {
	return l.booted.Add(time.Duration(float64(c-l.clockAtBoot) / l.clockRate))
}

// sorted returns the runs, sorted by task name.
func (l *modelIncarnation) sorted() []*modelRun {
	out := make([]*modelRun, 0, len(l.runs))
	for _, r := range l.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *modelRun) int {
		if a.Task < b.Task {
			return -1
		}
		return 1
	})
	return out
}

// ends returns when a run ends unless its execution lease expires first; zero if never.
func (r *modelRun) ends() time.Time {
	switch {
	case !r.stopsAt.IsZero():
		return r.stopsAt
	case r.began.IsZero():
		return r.arrived.Add(settings.GangTimeout)
	case r.work.step.Service:
		return time.Time{}
	}
	return r.began.Add(r.work.duration)
}

// next returns the run that ends first, and when; nil if none will end.
func (l *modelIncarnation) next() (*modelRun, time.Time) {
	var first *modelRun
	var at time.Time
	for _, r := range l.sorted() {
		if end := r.ends(); !end.IsZero() && (first == nil || end.Before(at)) {
			first, at = r, end
		}
	}
	return first, at
}

// advance carries out everything that has happened up to now.
func (l *modelIncarnation) advance() {
	now := l.instance.sim.now
	if l.dead {
		return
	}
	lapse := l.timeAt(l.extendedTo)
	for {
		r, at := l.next()
		if r == nil || at.After(now) || at.After(lapse) {
			break
		}
		l.finish(r, at)
	}
	if now.Before(lapse) {
		return
	}
	for _, r := range l.sorted() {
		l.end(r, lapse, pointport.EndLeaseExpired)
		l.instance.sim.breakGang(r)
	}
	l.lapsedAt = now
}

// finish ends a run that is due at a time, and the rest of its gang with it.
func (l *modelIncarnation) finish(r *modelRun, at time.Time) {
	w := l.instance.sim
	switch {
	case !r.stopsAt.IsZero():
		l.end(r, at, pointport.EndStopped)
	case r.began.IsZero():
		l.end(r, at, pointport.EndGangTimeout)
	case r.work.fails:
		l.end(r, at, pointport.EndFailed)
	default:
		l.end(r, at, pointport.EndDone)
		for _, mate := range w.gangPeers(r) {
			mate.on.end(mate, at, pointport.EndDone)
		}
		return
	}
	w.breakGang(r)
}

// end ends a run and lists its end.
func (l *modelIncarnation) end(r *modelRun, at time.Time, kind pointport.EndKind) {
	if l.runs[r.Task] != r {
		return
	}
	delete(l.runs, r.Task)
	l.ruledOut[r.Task] = max(l.ruledOut[r.Task], r.Run)
	l.lastEndNumber++
	l.ended = append(l.ended, pointport.TaskEnd{Number: l.lastEndNumber, TaskRun: r.TaskRun, Kind: kind})
	if l.endedAt == nil {
		l.endedAt = make(map[int64]time.Time)
	}
	l.endedAt[l.lastEndNumber] = at
	l.instance.sim.t.Logf("%v %s ends %v as %s", l.instance.sim.since(), l.id, r.TaskRun, kind)
}

// admit checks the fencing token of an order and extends the execution lease as the order
// asks, to at most the maximum hold time from now.
func (l *modelIncarnation) admit(fence pointport.Fence, until pointport.InstanceTime) error {
	if fence < l.fence {
		return l.reject(pointport.RejectFence)
	}
	most := l.clock(l.instance.sim.now) + pointport.InstanceTime(settings.MaxHold)
	l.fence, l.extendedTo = fence, max(l.extendedTo, min(until, most))
	return nil
}

// reject returns the error with which an order is refused.
func (l *modelIncarnation) reject(reason pointport.RejectReason) error {
	return &pointport.RejectedError{Incarnation: l.id, Reason: reason}
}

// start carries out a start order.
func (l *modelIncarnation) start(o pointport.StartOrder) error {
	w := l.instance.sim
	if l.instance.unhealthy {
		return l.reject(pointport.RejectUnhealthy)
	}
	if err := l.admit(o.Fence, o.LeaseUntil); err != nil {
		return err
	}
	if r := l.runs[o.Task]; r != nil && r.Run == o.Run {
		return nil
	}
	work := w.workOf(o.Task)
	free := l.instance.capacity
	for _, r := range l.runs {
		free = free.Minus(r.work.step.Reservation())
	}
	switch {
	case l.extendedTo <= l.clock(w.now):
		return l.reject(pointport.RejectExpired)
	case l.ruledOut[o.Task] >= o.Run || l.runs[o.Task] != nil:
		return l.reject(pointport.RejectOldRun)
	case !free.Fits(work.step.Reservation()):
		w.checkFull(l, o.TaskRun)
		return l.reject(pointport.RejectNoCapacity)
	}
	r := &modelRun{TaskRun: o.TaskRun, on: l, work: work, arrived: w.now, began: w.now}
	w.checkStart(r)
	l.runs[o.Task] = r
	w.gather(r)
	return nil
}

// stop carries out a stop order.
func (l *modelIncarnation) stop(o pointport.StopOrder) error {
	if l.instance.unhealthy {
		return l.reject(pointport.RejectUnhealthy)
	}
	if err := l.admit(o.Fence, 0); err != nil {
		return err
	}
	if r := l.runs[o.Task]; r != nil && r.Run == o.Run {
		if r.stopsAt.IsZero() {
			r.stopsAt = l.instance.sim.now.Add(l.instance.sim.drawDuration("stop", modelMaxStopTime))
		}
		return nil
	}
	l.ruledOut[o.Task] = max(l.ruledOut[o.Task], o.Run)
	return nil
}

// acknowledge removes the listed ends up to a number.
func (l *modelIncarnation) acknowledge(upTo int64) {
	for len(l.ended) > 0 && l.ended[0].Number <= upTo {
		l.instance.sim.noteAcknowledged(l, l.ended[0])
		l.ended = l.ended[1:]
	}
}

// hold carries out a poll, whose answer may wait for the end of a run.
func (l *modelIncarnation) hold(meant pointport.IncarnationID, o pointport.PollOrder, answer func(pointport.Report, error)) {
	w := l.instance.sim
	if l.id != meant {
		// The order is carried out nevertheless.
		if err := l.admit(o.Fence, o.LeaseUntil); err == nil {
			l.acknowledge(o.Acknowledged)
		}
		answer(pointport.Report{}, &pointport.GoneError{Incarnation: meant, AnsweredBy: l.id})
		return
	}
	if l.instance.unhealthy && l.instance.refusesPolls {
		answer(pointport.Report{}, l.reject(pointport.RejectUnhealthy))
		return
	}
	if err := l.admit(o.Fence, o.LeaseUntil); err != nil {
		answer(pointport.Report{}, err)
		return
	}
	l.acknowledge(o.Acknowledged)
	if len(l.ended) > 0 || o.Wait == 0 {
		answer(l.report(), nil)
		return
	}
	l.heldPolls = append(l.heldPolls, &modelHeldPoll{o, w.now.Add(o.Wait), func(r pointport.Report) { answer(r, nil) }})
	w.after(o.Wait, l.answerHeldPolls)
}

// answerHeldPolls answers the polls that need not wait any longer, and calls itself again when
// the next run ends.
func (l *modelIncarnation) answerHeldPolls() {
	w := l.instance.sim
	if l.dead || w.now.Before(l.instance.blockedUntil) {
		return
	}
	l.advance()
	l.heldPolls = slices.DeleteFunc(l.heldPolls, func(h *modelHeldPoll) bool {
		due := len(l.ended) > 0 || !w.now.Before(h.until)
		if due {
			h.answer(l.report())
		}
		return due
	})
	if len(l.heldPolls) == 0 {
		return
	}
	at := l.timeAt(l.extendedTo)
	if r, end := l.next(); r != nil && end.Before(at) {
		at = end
	}
	if at.After(w.now) {
		w.after(at.Sub(w.now)+time.Microsecond, l.answerHeldPolls)
	}
}

// report returns a report of what runs and what has ended.
func (l *modelIncarnation) report() pointport.Report {
	out := pointport.Report{Clock: l.clock(l.instance.sim.now)}
	for _, r := range l.sorted() {
		out.Running = append(out.Running, pointport.RunningTask{TaskRun: r.TaskRun, Progress: r.progress(l.instance.sim.now)})
	}
	out.Ended = slices.Clone(l.ended)
	return out
}

// progress returns the progress of a run in percent.
func (r *modelRun) progress(now time.Time) int {
	if r.began.IsZero() {
		return 0
	}
	whole := r.work.duration
	if r.work.step.Service {
		whole = modelServeDelay
	}
	return min(100, int(100*now.Sub(r.began)/whole))
}
