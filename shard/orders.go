package shard

import (
	"context"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines how orders are sent to instances.

// A lane is the orders that wait for one worker. Few go at once: each one beside
// another takes a connection of its own.
type lane struct {
	queue    []schedule.Order
	inFlight int
}

// laneWidth is how many orders go to one worker at once, so that one without an
// answer does not hold up the rest.
const laneWidth = 2

// send sends the orders that are due.
func (o *Owner) send(ctx context.Context) {
	for _, order := range o.book.TakeOrders() {
		l := o.lanes[order.Worker]
		if l == nil {
			l = &lane{}
			o.lanes[order.Worker] = l
		}
		l.queue = append(l.queue, order)
		o.pump(ctx, order.Worker, l)
	}
}

// pump sends what waits in a lane, as far as its width allows.
func (o *Owner) pump(ctx context.Context, w *schedule.Worker, l *lane) {
	for len(l.queue) > 0 && l.inFlight < laneWidth {
		order := l.queue[0]
		l.queue = l.queue[1:]
		l.inFlight++
		at, until := w.Endpoint(), w.Until(o.clock.Now(), o.lease) // the loop alone may read the worker
		go func() {
			clock, err := o.carryOut(ctx, at, order, until)
			o.do(func(now time.Time) {
				l.inFlight--
				o.book.Answered(order, now, clock, err)
				if o.own.Proven(now) {
					o.pump(ctx, w, l)
				}
			})
		}()
	}
	if len(l.queue) == 0 && l.inFlight == 0 {
		delete(o.lanes, w)
	}
}

func (o *Owner) carryOut(ctx context.Context, at pointport.Endpoint, order schedule.Order, until pointport.InstanceClock) (pointport.InstanceClock, error) {
	switch order.Kind {
	case schedule.OrderStop:
		return o.executor.Stop(ctx, at, pointport.StopOrder{TaskRun: order.TaskRun, Fence: o.own.Fence})
	case schedule.OrderPace:
		return 0, o.executor.Pace(ctx, at, pointport.PaceOrder{TaskRun: order.TaskRun, Percent: order.Percent, Fence: o.own.Fence})
	}
	return o.executor.Start(ctx, at, pointport.StartOrder{
		TaskRun: order.TaskRun, Payload: order.Payload, Checkpoint: order.Checkpoint,
		Ticket: order.Ticket, Fence: o.own.Fence, Until: until,
	})
}
