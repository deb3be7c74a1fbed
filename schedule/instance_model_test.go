package schedule_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file models instances as strictly as the platform describes them.

const (
	// modelStop is how long a stop takes at most, during which the run is listed.
	modelStop = 400 * time.Millisecond
	// modelServe is how long a serving task takes until it is at work.
	modelServe = 300 * time.Millisecond
)

// A modelInstance is an instance: a row of lives at one address.
type modelInstance struct {
	world   *world
	number  int
	life    *modelLife // nil while it is down
	lives   int
	last    pointport.Addressee // of its last life
	room    pointport.Shape
	shrank  bool // it has held less than it does at first
	listed  bool // its present life is registered
	unwell  bool // refuses what it is told to start or to stop
	mute    bool // refuses looks too while it is unwell
	blocked time.Time
}

func (m *modelInstance) address() string { return fmt.Sprintf("10.0.0.%d:1", m.number+1) }

// boot begins a new life.
func (m *modelInstance) boot() {
	m.lives++
	m.life = &modelLife{
		at: m, id: m.identity(), booted: m.world.now,
		zero: m.zero(), rate: m.world.rate(),
		runs: make(map[string]*modelRun), ruledOut: make(map[string]int),
	}
	m.world.lives = append(m.world.lives, m.life)
	m.world.t.Logf("%v %s boots, its clock at %.3f", m.world.since(), m.life.id, m.life.rate)
}

// identity returns the identity of the next life. Where instances come back under the addressee that
// they had, it tells when the life began by a clock that may be set back.
func (m *modelInstance) identity() pointport.IncarnationID {
	to := pointport.Addressee(fmt.Sprintf("i-%d-%d", m.number, m.lives))
	if !m.world.sharing {
		return pointport.IncarnationID(to)
	}
	if m.last != "" && !m.world.seldom("another addressee", 2) {
		to = m.last
	}
	m.last = to
	born := time.UnixMilli(int64(m.lives)).Add(time.Duration(m.world.oneOf("born", 4)) * time.Hour)
	return pointport.NewIncarnationID(to, born)
}

// zero returns what the clock of the next life shows at its start: more than that of the life before,
// or less.
func (m *modelInstance) zero() pointport.InstanceClock {
	if !m.world.sharing {
		return pointport.InstanceClock(time.Duration(m.lives) * time.Minute)
	}
	return pointport.InstanceClock(time.Duration(m.world.oneOf("clock", 8)) * time.Minute)
}

// crash ends the present life.
func (m *modelInstance) crash() {
	if m.life == nil {
		return
	}
	m.life.advance()
	m.world.t.Logf("%v %s is over", m.world.since(), m.life.id)
	m.life.over = true
	for _, r := range m.life.sorted() {
		m.world.breakGang(r)
	}
	m.life, m.blocked = nil, time.Time{}
}

func (m *modelInstance) registration() pointport.Incarnation {
	return pointport.NewIncarnation(m.life.id, "p", m.address(),
		pointport.WithInstance(pointport.InstanceID(fmt.Sprintf("m-%d", m.number))),
		pointport.WithCapacity(m.room), pointport.WithRack("r"), pointport.WithLabels([]string{"a", "r"}))
}

// A modelLife is one incarnation.
type modelLife struct {
	at     *modelInstance
	id     pointport.IncarnationID
	booted time.Time
	zero   pointport.InstanceClock
	rate   float64 // of its clock, which may run 2% slow

	fence    pointport.Fence
	until    pointport.InstanceClock
	runs     map[string]*modelRun
	ruledOut map[string]int // by task, the highest run that was stopped or has ended
	ended    []pointport.TaskEnd
	endedAt  map[int64]time.Time
	number   int64
	lapsed   time.Time // the last time at which nothing extended what runs there
	held     []*modelHold
	over     bool
}

// A modelRun is a run there.
type modelRun struct {
	pointport.TaskRun
	at      *modelLife
	work    modelWork
	arrived time.Time
	began   time.Time // zero while its gang gathers
	stops   time.Time // when it will have stopped, zero unless it was told to
}

// A modelWork is what a task does.
type modelWork struct {
	step  *workload.Step
	takes time.Duration
	fails bool
}

// A modelHold is a look that waits for an end.
type modelHold struct {
	order  pointport.HoldOrder
	until  time.Time
	answer func(pointport.Report)
}

func (l *modelLife) clock(at time.Time) pointport.InstanceClock {
	return l.zero + pointport.InstanceClock(float64(at.Sub(l.booted))*l.rate)
}

// localTime returns the time at which the clock shows c.
func (l *modelLife) localTime(c pointport.InstanceClock) time.Time {
	return l.booted.Add(time.Duration(float64(c-l.zero) / l.rate))
}

func (l *modelLife) sorted() []*modelRun {
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

// ends returns when a run ends unless it lapses; zero if never.
func (r *modelRun) ends() time.Time {
	switch {
	case !r.stops.IsZero():
		return r.stops
	case r.began.IsZero():
		return r.arrived.Add(settings.GangTime)
	case r.work.step.Service:
		return time.Time{}
	}
	return r.began.Add(r.work.takes)
}

// next returns the run that ends first, and when; nil if none will.
func (l *modelLife) next() (*modelRun, time.Time) {
	var first *modelRun
	var at time.Time
	for _, r := range l.sorted() {
		if end := r.ends(); !end.IsZero() && (first == nil || end.Before(at)) {
			first, at = r, end
		}
	}
	return first, at
}

// advance lets happen what has happened by now.
func (l *modelLife) advance() {
	now := l.at.world.now
	if l.over {
		return
	}
	lapse := l.localTime(l.until)
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
		l.end(r, lapse, pointport.EndLapsed)
		l.at.world.breakGang(r)
	}
	l.lapsed = now
}

// finish ends a run whose time has come.
func (l *modelLife) finish(r *modelRun, at time.Time) {
	w := l.at.world
	switch {
	case !r.stops.IsZero():
		l.end(r, at, pointport.EndStopped)
	case r.began.IsZero():
		l.end(r, at, pointport.EndGangAlone)
	case r.work.fails:
		l.end(r, at, pointport.EndFailed)
	default:
		l.end(r, at, pointport.EndDone)
		for _, mate := range w.mates(r) {
			mate.at.end(mate, at, pointport.EndDone)
		}
		return
	}
	w.breakGang(r)
}

// end lists the end of a run.
func (l *modelLife) end(r *modelRun, at time.Time, kind pointport.EndKind) {
	if l.runs[r.Task] != r {
		return
	}
	delete(l.runs, r.Task)
	l.ruledOut[r.Task] = max(l.ruledOut[r.Task], r.Run)
	l.number++
	l.ended = append(l.ended, pointport.TaskEnd{Number: l.number, TaskRun: r.TaskRun, Kind: kind})
	if l.endedAt == nil {
		l.endedAt = make(map[int64]time.Time)
	}
	l.endedAt[l.number] = at
	l.at.world.t.Logf("%v %s ends %v as %s", l.at.world.since(), l.id, r.TaskRun, kind)
}

// admit takes in the fence and the time of an order.
func (l *modelLife) admit(fence pointport.Fence, until pointport.InstanceClock) error {
	if fence < l.fence {
		return l.reject(pointport.RejectFence)
	}
	most := l.clock(l.at.world.now) + pointport.InstanceClock(settings.MaxHold)
	l.fence, l.until = fence, max(l.until, min(until, most))
	return nil
}

func (l *modelLife) reject(reason pointport.RejectReason) error {
	return &pointport.RejectedError{Incarnation: l.id, Reason: reason}
}

// start carries out a start.
func (l *modelLife) start(o pointport.StartOrder) error {
	w := l.at.world
	if l.at.unwell {
		return l.reject(pointport.RejectUnhealthy)
	}
	if err := l.admit(o.Fence, o.Until); err != nil {
		return err
	}
	if r := l.runs[o.Task]; r != nil && r.Run == o.Run {
		return nil
	}
	work := w.workOf(o.Task)
	free := l.at.room
	for _, r := range l.runs {
		free = free.Minus(r.work.step.Reservation())
	}
	switch {
	case l.until <= l.clock(w.now):
		return l.reject(pointport.RejectLate)
	case l.ruledOut[o.Task] >= o.Run || l.runs[o.Task] != nil:
		return l.reject(pointport.RejectOldRun)
	case !free.Fits(work.step.Reservation()):
		w.checkFull(l, o.TaskRun)
		return l.reject(pointport.RejectRoom)
	}
	r := &modelRun{TaskRun: o.TaskRun, at: l, work: work, arrived: w.now, began: w.now}
	w.checkStart(r)
	l.runs[o.Task] = r
	w.gather(r)
	return nil
}

// stop carries out a stop.
func (l *modelLife) stop(o pointport.StopOrder) error {
	if l.at.unwell {
		return l.reject(pointport.RejectUnhealthy)
	}
	if err := l.admit(o.Fence, 0); err != nil {
		return err
	}
	if r := l.runs[o.Task]; r != nil && r.Run == o.Run {
		if r.stops.IsZero() {
			r.stops = l.at.world.now.Add(l.at.world.upTo("stop", modelStop))
		}
		return nil
	}
	l.ruledOut[o.Task] = max(l.ruledOut[o.Task], o.Run)
	return nil
}

// acknowledge forgets the ends up to a number.
func (l *modelLife) acknowledge(upTo int64) {
	for len(l.ended) > 0 && l.ended[0].Number <= upTo {
		l.at.world.noteAcknowledged(l, l.ended[0])
		l.ended = l.ended[1:]
	}
}

// hold carries out a look; the answer may wait for an end.
func (l *modelLife) hold(meant pointport.IncarnationID, o pointport.HoldOrder, answer func(pointport.Report, error)) {
	w := l.at.world
	if l.id != meant {
		// It carries out what the order asks for all the same.
		if err := l.admit(o.Fence, o.Until); err == nil {
			l.acknowledge(o.Acknowledged)
		}
		answer(pointport.Report{}, &pointport.GoneError{Incarnation: meant, By: l.id})
		return
	}
	if l.at.unwell && l.at.mute {
		answer(pointport.Report{}, l.reject(pointport.RejectUnhealthy))
		return
	}
	if err := l.admit(o.Fence, o.Until); err != nil {
		answer(pointport.Report{}, err)
		return
	}
	l.acknowledge(o.Acknowledged)
	if len(l.ended) > 0 || o.Wait == 0 {
		answer(l.report(), nil)
		return
	}
	l.held = append(l.held, &modelHold{o, w.now.Add(o.Wait), func(r pointport.Report) { answer(r, nil) }})
	w.after(o.Wait, l.poke)
}

// poke answers the looks that need not wait any longer, and comes back when the next run
// ends.
func (l *modelLife) poke() {
	w := l.at.world
	if l.over || w.now.Before(l.at.blocked) {
		return
	}
	l.advance()
	l.held = slices.DeleteFunc(l.held, func(h *modelHold) bool {
		due := len(l.ended) > 0 || !w.now.Before(h.until)
		if due {
			h.answer(l.report())
		}
		return due
	})
	if len(l.held) == 0 {
		return
	}
	at := l.localTime(l.until)
	if r, end := l.next(); r != nil && end.Before(at) {
		at = end
	}
	if at.After(w.now) {
		w.after(at.Sub(w.now)+time.Microsecond, l.poke)
	}
}

// report says what runs and has ended.
func (l *modelLife) report() pointport.Report {
	out := pointport.Report{Clock: l.clock(l.at.world.now)}
	for _, r := range l.sorted() {
		out.Running = append(out.Running, pointport.RunningTask{TaskRun: r.TaskRun, Progress: r.progress(l.at.world.now)})
	}
	out.Ended = slices.Clone(l.ended)
	return out
}

func (r *modelRun) progress(now time.Time) int {
	if r.began.IsZero() {
		return 0
	}
	whole := r.work.takes
	if r.work.step.Service {
		whole = modelServe
	}
	return min(100, int(100*now.Sub(r.began)/whole))
}
