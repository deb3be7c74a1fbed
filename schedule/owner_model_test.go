package schedule_test

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file models the owner of a pool: it drives a book as package shard does, in
// simulated time.

const (
	modelTurn      = 8 * time.Millisecond   // between two plans
	modelIdle      = 250 * time.Millisecond // between two plans if nothing happens
	modelWriteGap  = 25 * time.Millisecond  // between two batches
	modelLookWait  = time.Second
	modelLookRetry = 150 * time.Millisecond
	modelAckWait   = 120 * time.Millisecond
	modelLane      = 2 // orders to one worker at once
	modelFence     = pointport.Fence(7)
	// modelPatience is how long an order may take to be answered.
	modelPatience = 400 * time.Millisecond
)

// A modelOwner drives a book.
type modelOwner struct {
	world   *world
	book    *schedule.Scheduler
	paused  time.Time // until when its loop stands still
	inbox   []func()
	planned time.Time
	due     time.Time // of the next turn that is scheduled
	writing bool
	wrote   time.Time
	lanes   map[*schedule.Worker]*modelQueue
	looking map[*schedule.Worker]*modelLook
	// cancelled holds the jobs that the book was told are cancelled.
	cancelled map[string]bool
}

type modelQueue struct {
	queue    []schedule.Order
	inFlight int
}

type modelLook struct {
	inFlight int
	next     time.Time
}

// do handles a message, once the loop runs.
func (o *modelOwner) do(f func()) {
	if o.world.now.Before(o.paused) {
		o.inbox = append(o.inbox, f)
		return
	}
	f()
	o.turnSoon()
}

// pause lets the loop stand still for a while.
func (o *modelOwner) pause(d time.Duration) {
	until := o.world.now.Add(d)
	if !until.After(o.paused) {
		return
	}
	o.paused = until
	o.world.t.Logf("%v the owner stands still for %v", o.world.since(), d)
	o.world.after(d, func() {
		if o.world.now.Before(o.paused) {
			return
		}
		o.world.t.Logf("%v the owner goes on with %d messages", o.world.since(), len(o.inbox))
		if o.world.seldom("plansFirst", 1) {
			o.turn()
		}
		all := o.inbox
		o.inbox = nil
		for _, f := range all {
			f()
		}
		o.turnSoon()
	})
}

// turnSoon schedules the next turn.
func (o *modelOwner) turnSoon() {
	at := o.planned.Add(modelTurn)
	if at.Before(o.world.now) {
		at = o.world.now
	}
	o.turnAt(at)
}

func (o *modelOwner) turnAt(at time.Time) {
	if !o.due.IsZero() && !at.Before(o.due) {
		return
	}
	o.due = at
	o.world.after(at.Sub(o.world.now), func() {
		if o.due != at {
			return // an earlier one was scheduled since
		}
		o.due = time.Time{}
		if !o.world.now.Before(o.paused) {
			o.turn()
		}
	})
}

// turn plans, writes and sends what is due.
func (o *modelOwner) turn() {
	now := o.world.now
	o.due, o.planned = time.Time{}, now
	o.book.Plan(now)
	o.write()
	o.send()
	o.lookAround()
	next := now.Add(modelIdle)
	if o.book.Pending() && !o.writing {
		next = later(now.Add(modelTurn), o.wrote.Add(modelWriteGap))
	}
	for _, l := range o.looking {
		if l.inFlight == 0 && l.next.Before(next) {
			next = later(now.Add(modelTurn), l.next)
		}
	}
	o.turnAt(next)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// write stores what has changed.
func (o *modelOwner) write() {
	now := o.world.now
	if o.writing || !o.book.Pending() || now.Sub(o.wrote) < modelWriteGap {
		return
	}
	batch := o.book.TakeBatch(everything)
	o.writing, o.wrote = true, now
	took := 3 * time.Millisecond
	if o.world.troubled(slowStore) {
		took += o.world.upTo("store", 500*time.Millisecond)
	}
	o.world.after(took, func() {
		o.do(func() {
			o.writing = false
			o.book.Stored(batch, o.world.now)
		})
	})
}

// send sends the orders that are due.
func (o *modelOwner) send() {
	for _, w := range slices.SortedFunc(maps.Keys(o.lanes), byID) {
		o.pump(o.lanes[w])
	}
	all := o.book.TakeOrders()
	slices.SortStableFunc(all, byTask) // a series can be played again only in an order that is always the same
	for _, order := range all {
		l := o.lanes[order.Worker]
		if l == nil {
			l = &modelQueue{}
			o.lanes[order.Worker] = l
		}
		l.queue = append(l.queue, order)
		o.pump(l)
	}
}

func (o *modelOwner) pump(l *modelQueue) {
	for len(l.queue) > 0 && l.inFlight < modelLane {
		n := 0
		if l.queue[0].Worker.AckInFlight(o.world.now) {
			n = slices.IndexFunc(l.queue, func(o schedule.Order) bool { return o.Kind != schedule.OrderStart })
		}
		if n < 0 {
			return // it goes on with the next turn
		}
		order := l.queue[n]
		l.queue = slices.Delete(l.queue, n, n+1)
		if !o.book.SkipStart(o.world.now, order) {
			o.sendOne(l, order)
		}
	}
}

// sendOne sends an order and has its answer taken in.
func (o *modelOwner) sendOne(l *modelQueue, order schedule.Order) {
	w := o.world
	l.inFlight++
	o.book.MarkSending(order)
	until := order.Worker.ExtendLease(w.now, settings.Lease)
	w.checkSending(order)
	taken := func(clock pointport.InstanceClock, err error) {
		w.t.Logf("%v taken in: %s of %v at %s: %v", w.since(), kindName(order.Kind), order.TaskRun, order.Worker.Endpoint().Incarnation, err)
		l.inFlight--
		o.book.OrderAnswered(order, w.now, clock, err)
		o.pump(l)
	}
	w.call(kindName(order.Kind), order.TaskRun, order.Worker.Endpoint(), modelPatience, func(at *modelLife, answer func(any, error)) {
		switch order.Kind {
		case schedule.OrderStart:
			err := at.start(pointport.StartOrder{TaskRun: order.TaskRun, Fence: modelFence, Until: millis(until)})
			answer(millis(at.clock(w.now)), err)
		case schedule.OrderStop:
			err := at.stop(pointport.StopOrder{TaskRun: order.TaskRun, Fence: modelFence})
			answer(millis(at.clock(w.now)), err)
		default:
			answer(pointport.InstanceClock(0), at.admit(modelFence, 0))
		}
	}, func(a any, err error) {
		clock, _ := a.(pointport.InstanceClock)
		if err != nil {
			clock = 0
		}
		o.do(func() { taken(clock, err) })
	})
}

// millis returns a time as it goes over the wire.
func millis(c pointport.InstanceClock) pointport.InstanceClock {
	return pointport.InstanceClock(time.Duration(c).Truncate(time.Millisecond))
}

func kindName(k schedule.OrderKind) string {
	return [...]string{"start", "stop", "pace"}[k]
}

// lookAround looks at every worker that is not being looked at, and at those of which a
// report is wanted at once.
func (o *modelOwner) lookAround() {
	now := o.world.now
	urgent := o.book.TakePolls()
	slices.SortFunc(urgent, byID)
	for _, w := range urgent {
		o.look(w, 0)
	}
	seen := make(map[*schedule.Worker]bool)
	for _, w := range o.book.Workers() {
		seen[w] = true
		if l := o.lookOf(w); l.inFlight == 0 && !now.Before(l.next) {
			o.look(w, modelLookWait)
		}
	}
	for w, l := range o.looking {
		if !seen[w] && l.inFlight == 0 {
			delete(o.looking, w)
		}
	}
}

func byTask(a, b schedule.Order) int {
	return cmp.Or(byID(a.Worker, b.Worker), strings.Compare(a.TaskRun.Task, b.TaskRun.Task), a.TaskRun.Run-b.TaskRun.Run, int(a.Kind)-int(b.Kind))
}

func byID(a, b *schedule.Worker) int {
	return strings.Compare(string(a.Incarnation().ID()), string(b.Incarnation().ID()))
}

func (o *modelOwner) lookOf(w *schedule.Worker) *modelLook {
	l := o.looking[w]
	if l == nil {
		l = &modelLook{}
		o.looking[w] = l
	}
	return l
}

func (o *modelOwner) look(w *schedule.Worker, wait time.Duration) {
	world, sent, l := o.world, o.world.now, o.lookOf(w)
	l.inFlight++
	if !w.HasAnswered() || w.Silent() {
		wait = 0
	}
	plan := w.NextPoll()
	if !plan.MayWait {
		wait = 0
	}
	order := pointport.HoldOrder{Fence: modelFence, Until: millis(w.ExtendLease(sent, settings.Lease)), Acknowledged: plan.Acknowledged, Wait: wait}
	world.call("look", pointport.TaskRun{}, w.Endpoint(), modelPatience+wait, func(at *modelLife, answer func(any, error)) {
		at.hold(w.Endpoint().Incarnation, order, func(r pointport.Report, err error) {
			r.Clock = millis(r.Clock)
			answer(r, err)
		})
	}, func(a any, err error) {
		report, _ := a.(pointport.Report)
		o.do(func() {
			l.inFlight--
			if err != nil {
				world.t.Logf("%v taken in: look at %s since %v: %v", world.since(), w.Endpoint().Incarnation, sent.Sub(start), err)
				w.PollDone(plan, world.now, false)
				o.book.PollFailed(w, world.now, err)
				l.next = world.now.Add(modelLookRetry)
				return
			}
			world.t.Logf("%v taken in: look at %s since %v: %v, ended %v", world.since(), w.Endpoint().Incarnation, sent.Sub(start), names(report.Running), report.Ended)
			o.book.Report(w, sent, world.now, report)
			world.hear(report.Ended)
			switch {
			case w.PollDone(plan, world.now, true):
				l.next = world.now
			case len(report.Ended) > 0:
				l.next = world.now.Add(modelAckWait)
			}
		})
	})
}

func names(running []pointport.RunningTask) []pointport.TaskRun {
	var out []pointport.TaskRun
	for _, r := range running {
		out = append(out, r.TaskRun)
	}
	return out
}

// errModel is why an order has no answer here.
var errModel = errors.New("no answer")
