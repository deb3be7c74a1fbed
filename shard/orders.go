package shard

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/schedule"
)

// This file defines how orders are sent to instances.

// A lane is the orders that wait for one worker. Few go at once: each one beside
// another takes a connection of its own.
type lane struct {
	worker   *schedule.Worker
	queue    []schedule.Order
	inFlight int
	// held says that it holds only starts, and none may be sent.
	held bool
}

// laneWidth is how many orders go to one worker at once, so that one without an
// answer does not hold up the rest.
const laneWidth = 2

// send sends the orders that are due, and what waits although nothing that is under way
// will let it go: while the owner could not prove its ownership, answers sent nothing.
//
// Here and below, now is a time before the ownership was last found proven. The time of
// tasks is extended from then, and not from when an order goes out: whatever the process is
// kept from doing in between, nothing lasts longer than the next owner reckons with.
func (o *Owner) send(ctx context.Context, now time.Time) {
	for _, l := range o.lanes {
		if l.inFlight == 0 && !l.held {
			o.pump(ctx, now, l)
		}
	}
	o.pumpHeld(ctx, now)
	for _, order := range o.book.TakeOrders() {
		l := o.lanes[order.Worker]
		if l == nil {
			l = &lane{worker: order.Worker}
			o.lanes[order.Worker] = l
		}
		l.queue = append(l.queue, order)
		if order.Kind == schedule.OrderStart {
			o.starts.queued++
		}
		o.pump(ctx, now, l)
	}
}

// starts counts the starts of an owner that are not answered.
type starts struct {
	queued   int // wait in lanes
	underWay int // sent
}

// unsentShare is how many starts may wait to be stored or sent beside those that the
// window lets go at once, as a share of these: enough to fill it again while a batch
// is written. Others would hold room on instances and do nothing there.
const unsentShare = 1.0

// unsentMost returns how many more tasks may be placed now.
func (o *Owner) unsentMost() int {
	waiting := o.starts.queued + o.starts.underWay + o.storing
	return int((1+unsentShare)*o.mostStarts()) - waiting
}

// pump sends what waits in a lane, as far as its width and the window allow.
func (o *Owner) pump(ctx context.Context, now time.Time, l *lane) {
	for len(l.queue) > 0 && l.inFlight < laneWidth {
		order, ok := o.next(l, o.mayStart() && !l.worker.AckInFlight(o.clock.Now()))
		switch {
		case !ok && o.mayStart():
			return // it goes on once the instance has answered
		case !ok:
			o.hold(l)
			return
		}
		if o.book.SkipStart(o.clock.Now(), order) {
			continue
		}
		o.sendOne(ctx, now, l, order)
	}
	if len(l.queue) == 0 && l.inFlight == 0 {
		delete(o.lanes, l.worker)
	}
}

// next takes the next order from a lane; false if it holds only starts and none may be sent.
// Other orders do not wait behind a start that may not.
func (o *Owner) next(l *lane, mayStart bool) (schedule.Order, bool) {
	n := 0
	if !mayStart {
		n = slices.IndexFunc(l.queue, func(order schedule.Order) bool { return order.Kind != schedule.OrderStart })
	}
	if n < 0 {
		return schedule.Order{}, false
	}
	order := l.queue[n]
	l.queue = slices.Delete(l.queue, n, n+1)
	if order.Kind == schedule.OrderStart {
		o.starts.queued--
	}
	return order, true
}

// startsInDoubt is how many starts may be under way while the owner doubts itself. Those
// that go unanswered are ten a second then, and looks have the rest; an owner that is cut off
// with its zone can order all that the instances of its zone hold, which answer in 2 to 6 ms.
const startsInDoubt = 4

// mostStarts returns how many starts may be under way.
func (o *Owner) mostStarts() float64 {
	if o.book.SuspectsIsolation() {
		return startsInDoubt
	}
	return o.window.size
}

// mayStart reports whether one more start may be sent.
func (o *Owner) mayStart() bool { return float64(o.starts.underWay) < o.mostStarts() }

// hold notes that a lane waits for room in the window.
func (o *Owner) hold(l *lane) {
	if !l.held {
		l.held = true
		o.held = append(o.held, l)
	}
}

// pumpHeld sends what the window has room for again, the longest held first.
func (o *Owner) pumpHeld(ctx context.Context, now time.Time) {
	for len(o.held) > 0 && o.mayStart() {
		l := o.held[0]
		o.held = o.held[1:]
		l.held = false
		o.pump(ctx, now, l)
	}
}

// sendOne sends an order of a lane and has the answer taken in.
func (o *Owner) sendOne(ctx context.Context, now time.Time, l *lane, order schedule.Order) {
	l.inFlight++
	start := order.Kind == schedule.OrderStart
	if start {
		o.starts.underWay++
	}
	o.book.MarkSending(order)
	sent := o.clock.Now()
	at, until := l.worker.Endpoint(), l.worker.ExtendLease(now, o.lease) // the loop alone may read the worker
	way := o.wayTo(now, l.worker)
	go func() {
		clock, err := o.carryOut(ctx, way, at, order, until)
		answered := o.clock.Now()
		o.do(func(now time.Time) {
			l.inFlight--
			if start {
				o.startAnswered(now, answered.Sub(sent), err)
			}
			o.book.OrderAnswered(order, now, clock, err)
			if o.own.Proven() {
				o.pump(ctx, now, l)
				o.pumpHeld(ctx, now)
			}
		})
	}()
}

// startAnswered takes in how a start was answered after it had taken so long.
func (o *Owner) startAnswered(now time.Time, took time.Duration, err error) {
	var unavailable *pointport.UnavailableError
	if !errors.As(err, &unavailable) && o.window.answered(now, took, o.starts.underWay) {
		event.StartsHeldBack.Log(o.logger, slog.Int("window", int(o.window.size)), slog.Duration("took", took),
			slog.Int("underWay", o.starts.underWay), slog.Int("queued", o.starts.queued))
	}
	o.starts.underWay--
}

func (o *Owner) carryOut(ctx context.Context, way pointport.Executor, at pointport.Endpoint, order schedule.Order, until pointport.InstanceClock) (pointport.InstanceClock, error) {
	switch order.Kind {
	case schedule.OrderStop:
		return way.Stop(ctx, at, pointport.StopOrder{TaskRun: order.TaskRun, Fence: o.own.Fence})
	case schedule.OrderPace:
		return 0, way.Pace(ctx, at, pointport.PaceOrder{TaskRun: order.TaskRun, Percent: order.Percent, Fence: o.own.Fence})
	}
	return way.Start(ctx, at, pointport.StartOrder{
		TaskRun: order.TaskRun, Payload: order.Payload, Checkpoint: order.Checkpoint,
		Ticket: order.Ticket, Fence: o.own.Fence, Until: until,
	})
}
