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

// A workerQueue holds the orders that wait for one worker. Only a few are in flight at once,
// because each concurrent order takes a connection of its own.
type workerQueue struct {
	worker   *schedule.Worker
	orders   []schedule.Order
	inFlight int
	// blocked reports whether the queue has only starts and the window is full.
	blocked bool
}

// maxOrdersInFlight is how many orders to one worker may be in flight at once. With two, an
// order without an answer does not delay the rest.
const maxOrdersInFlight = 2

// send sends the orders that are due. It also sends from queues that have no order in flight:
// usually an answer triggers the next order of a queue, but not if it arrives while the owner
// cannot prove its ownership.
//
// Here and below, now is a time before the ownership was last found proven. Execution leases
// are extended from that time and not from when the order is sent. So even if the process is
// suspended in between, no lease lasts longer than the next owner assumes.
func (o *Owner) send(ctx context.Context, now time.Time) {
	for _, q := range o.queues {
		if q.inFlight == 0 && !q.blocked {
			o.sendQueued(ctx, now, q)
		}
	}
	o.sendBlocked(ctx, now)
	for _, order := range o.scheduler.TakeOrders() {
		q := o.queues[order.Worker]
		if q == nil {
			q = &workerQueue{worker: order.Worker}
			o.queues[order.Worker] = q
		}
		q.orders = append(q.orders, order)
		if order.Kind == schedule.OrderStart {
			o.starts.queued++
		}
		o.sendQueued(ctx, now, q)
	}
}

// starts counts the starts of an owner that are not answered yet.
type starts struct {
	queued   int // waiting in queues
	inFlight int // sent
}

// unsentStartRatio is how many starts may wait to be stored or sent, relative to the starts
// that the window allows in flight. A ratio of 1 suffices to fill the window again while a
// batch is written. More starts would reserve capacity of instances without using it.
const unsentStartRatio = 1.0

// maxNewStarts returns how many more tasks may be placed now.
func (o *Owner) maxNewStarts() int {
	waiting := o.starts.queued + o.starts.inFlight + o.storing.Starts()
	return int((1+unsentStartRatio)*o.startLimit()) - waiting
}

// sendQueued sends orders of a queue until maxOrdersInFlight or the window is reached.
func (o *Owner) sendQueued(ctx context.Context, now time.Time, q *workerQueue) {
	for len(q.orders) > 0 && q.inFlight < maxOrdersInFlight {
		order, ok := o.nextOrder(q, o.mayStart() && !q.worker.AckInFlight(o.clock.Now()))
		switch {
		case !ok && o.mayStart():
			return // continues when the instance has answered
		case !ok:
			o.block(q)
			return
		}
		if o.scheduler.SkipStart(o.clock.Now(), order) {
			continue
		}
		o.sendOrder(ctx, now, q, order)
	}
	if len(q.orders) == 0 && q.inFlight == 0 {
		delete(o.queues, q.worker)
	}
}

// nextOrder removes the next order from a queue. It returns false if the queue has only starts
// and none may be sent. Other orders pass starts that may not be sent.
func (o *Owner) nextOrder(q *workerQueue, mayStart bool) (schedule.Order, bool) {
	n := 0
	if !mayStart {
		n = slices.IndexFunc(q.orders, func(order schedule.Order) bool { return order.Kind != schedule.OrderStart })
	}
	if n < 0 {
		return schedule.Order{}, false
	}
	order := q.orders[n]
	q.orders = slices.Delete(q.orders, n, n+1)
	if order.Kind == schedule.OrderStart {
		o.starts.queued--
	}
	return order, true
}

// isolatedStartLimit is how many starts may be in flight while the owner suspects that it is
// cut off. At most ten starts a second then go unanswered, which leaves the owner's capacity to
// polls. An owner that is cut off together with its availability zone can still send every
// start that the instances of the zone have capacity for, as these answer in 2 to 6 ms.
const isolatedStartLimit = 4

// startLimit returns how many starts may be in flight.
func (o *Owner) startLimit() float64 {
	if o.scheduler.SuspectsIsolation() {
		return isolatedStartLimit
	}
	return o.window.size
}

// mayStart reports whether one more start may be sent.
func (o *Owner) mayStart() bool { return float64(o.starts.inFlight) < o.startLimit() }

// block records that a queue waits until the window allows more starts.
func (o *Owner) block(q *workerQueue) {
	if !q.blocked {
		q.blocked = true
		o.blocked = append(o.blocked, q)
	}
}

// sendBlocked sends from blocked queues while the window allows it, the longest blocked first.
func (o *Owner) sendBlocked(ctx context.Context, now time.Time) {
	for len(o.blocked) > 0 && o.mayStart() {
		q := o.blocked[0]
		o.blocked = o.blocked[1:]
		q.blocked = false
		o.sendQueued(ctx, now, q)
	}
}

// sendOrder sends an order of a queue and handles its answer on the loop.
func (o *Owner) sendOrder(ctx context.Context, now time.Time, q *workerQueue, order schedule.Order) {
	q.inFlight++
	start := order.Kind == schedule.OrderStart
	if start {
		o.starts.inFlight++
	}
	o.scheduler.MarkSending(order)
	sent := o.clock.Now()
	at, until := q.worker.Endpoint(), q.worker.ExtendLease(now, o.lease) // only the loop may access the worker
	executor := o.executorFor(now, q.worker)
	go func() {
		clock, err := o.execute(ctx, executor, at, order, until)
		answered := o.clock.Now()
		o.enqueue(func(now time.Time) {
			q.inFlight--
			if start {
				o.startAnswered(now, answered.Sub(sent), err)
			}
			o.scheduler.OrderAnswered(order, now, clock, err)
			if o.ownership.Proven() {
				o.sendQueued(ctx, now, q)
				o.sendBlocked(ctx, now)
			}
		})
	}()
}

// startAnswered records the result of a start and the time that it took.
func (o *Owner) startAnswered(now time.Time, took time.Duration, err error) {
	var unavailable *pointport.UnavailableError
	if !errors.As(err, &unavailable) && o.window.answered(now, took, o.starts.inFlight) {
		event.StartsHeldBack.Log(o.logger, slog.Int("window", int(o.window.size)), slog.Duration("took", took),
			slog.Int("underWay", o.starts.inFlight), slog.Int("queued", o.starts.queued))
	}
	o.starts.inFlight--
}

func (o *Owner) execute(ctx context.Context, executor pointport.Executor, at pointport.Endpoint, order schedule.Order, until pointport.InstanceTime) (pointport.InstanceTime, error) {
	switch order.Kind {
	case schedule.OrderStop:
		return executor.Stop(ctx, at, pointport.StopOrder{TaskRun: order.TaskRun, Fence: o.ownership.Fence})
	case schedule.OrderPace:
		return 0, executor.Pace(ctx, at, pointport.PaceOrder{TaskRun: order.TaskRun, Percent: order.Percent, Fence: o.ownership.Fence})
	}
	return executor.Start(ctx, at, pointport.StartOrder{
		TaskRun: order.TaskRun, Payload: order.Payload, Checkpoint: order.Checkpoint,
		Ticket: order.Ticket, Fence: o.ownership.Fence, LeaseUntil: until,
	})
}
