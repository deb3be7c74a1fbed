package testbed

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how orders reach incarnations.

// A Delivery describes what happens to one order on its way.
type Delivery struct {
	Latency time.Duration
	// OrderLost drops the order: it is not carried out, and the caller gets no answer.
	OrderLost bool
	// LateBy, if positive, is how much later the order is carried out; the caller gets no answer.
	LateBy time.Duration
	// AnswerLost drops the answer of an order that is carried out.
	AnswerLost bool
	// Refused makes the instance answer that it is unhealthy, without carrying out the order.
	Refused bool
}

// A Network decides how each order to a machine is delivered. op is "start", "stop", "pace" or
// "hold", which is a poll.
type Network func(op string, to pointport.InstanceID) Delivery

// Reliable is a network that delivers every order in a millisecond.
func Reliable(string, pointport.InstanceID) Delivery { return Delivery{Latency: time.Millisecond} }

// answerTimeout is how long a caller waits for an answer.
const answerTimeout = 400 * time.Millisecond

var errNoAnswer = errors.New("stand-in instance gave no answer")

// An Executor sends orders to the fleet over a network.
type Executor struct {
	fleet   *Fleet
	network Network
}

var _ pointport.Executor = (*Executor)(nil)

// Executor returns an Executor that sends orders over a network.
func (f *Fleet) Executor(network Network) *Executor { return &Executor{f, network} }

// call sends an order over the network, carries it out as the network decides and returns the
// answer. An order that is carried out late has no answer.
func call[T any](ctx context.Context, e *Executor, op string, at pointport.Endpoint, carryOut func(*incarnation, time.Time) (T, error)) (T, error) {
	var none T
	f := e.fleet
	inc := f.incarnationAt(at)
	var id pointport.InstanceID
	if inc != nil {
		id = inc.machine.id
	}
	delivery := e.network(op, id)
	f.noteDelivery(inc, &delivery)
	if !sleep(ctx, f.clock, delivery.Latency) {
		return none, e.noAnswer(ctx, op, at, 0)
	}
	if delivery.OrderLost {
		return none, e.noAnswer(ctx, op, at, answerTimeout)
	}
	if delivery.LateBy > 0 {
		lateInc, wake := f.incarnationAt(at), f.clock.After(delivery.LateBy)
		go func() {
			<-wake
			f.awaitStall(lateInc)
			f.mu.Lock()
			defer f.mu.Unlock()
			// An order that an incarnation has not handled when it ends is never handled.
			if lateInc != nil && !lateInc.gone {
				lateInc.advance(f.clock.Now())
				// The caller no longer waits, so a refusal reaches nobody.
				_, _ = carryOut(lateInc, f.clock.Now())
			}
		}()
		return none, e.noAnswer(ctx, op, at, answerTimeout)
	}
	f.awaitStall(f.incarnationAt(at))
	f.mu.Lock()
	inc = f.byAddressee[at.Incarnation.Addressee()] // a new incarnation may have begun meanwhile
	if inc == nil || inc.gone {
		f.mu.Unlock()
		return none, e.noAnswer(ctx, op, at, answerTimeout)
	}
	if delivery.Refused {
		f.mu.Unlock()
		return none, inc.reject(pointport.RejectUnhealthy)
	}
	now := f.clock.Now()
	inc.advance(now)
	f.checkServingTasks(now)
	answer, err := carryOut(inc, now)
	f.mu.Unlock()
	if delivery.AnswerLost {
		return none, e.noAnswer(ctx, op, at, answerTimeout)
	}
	return answer, err
}

// incarnationAt returns the latest incarnation under the addressee that an order is sent to, nil
// if there is none yet.
func (f *Fleet) incarnationAt(at pointport.Endpoint) *incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddressee[at.Incarnation.Addressee()]
}

// noAnswer waits for d and returns the error for an order without an answer.
func (e *Executor) noAnswer(ctx context.Context, op string, at pointport.Endpoint, d time.Duration) error {
	sleep(ctx, e.fleet.clock, d)
	return &pointport.UnavailableError{Op: op, Key: string(at.Incarnation), Ambiguous: true, Err: errNoAnswer}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, clock pointport.Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Start sends a start order.
func (e *Executor) Start(ctx context.Context, at pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceTime, error) {
	sent := e.fleet.clock.Now()
	return call(ctx, e, "start", at, func(i *incarnation, now time.Time) (pointport.InstanceTime, error) {
		return i.clockAt(now), i.start(now, sent, o)
	})
}

// Stop sends a stop order.
func (e *Executor) Stop(ctx context.Context, at pointport.Endpoint, o pointport.StopOrder) (pointport.InstanceTime, error) {
	return call(ctx, e, "stop", at, func(i *incarnation, now time.Time) (pointport.InstanceTime, error) {
		return i.clockAt(now), i.stop(now, o)
	})
}

// Pace sends an order for the share of its work that a run may do. The fleet only checks its
// fencing token: no run changes its pace.
func (e *Executor) Pace(ctx context.Context, at pointport.Endpoint, o pointport.PaceOrder) error {
	_, err := call(ctx, e, "pace", at, func(i *incarnation, _ time.Time) (struct{}, error) {
		if err := i.admit(o.Fence, 0); err != nil {
			return struct{}{}, err
		}
		return struct{}{}, nil
	})
	return err
}

// errConnectionLost reports that the incarnation at which a poll waited has ended, and its
// connection with it.
var errConnectionLost = errors.New("the connection ended with the incarnation")

// A pollResult is the answer of an incarnation to a poll, and how long to wait before the next
// check if nothing has ended.
type pollResult struct {
	by      *incarnation
	report  pointport.Report
	changed <-chan struct{}
	next    time.Duration
}

// Poll extends the lease of an incarnation. It returns the runs and the ends as soon as there is
// an end, or after the order's wait.
func (e *Executor) Poll(ctx context.Context, at pointport.Endpoint, o pointport.PollOrder) (pointport.Report, error) {
	end := e.fleet.clock.After(o.Wait)
	var by *incarnation // the incarnation that has received the poll
	for first := true; ; first = false {
		wait, waitedAt := o.Wait, by
		h, err := call(ctx, e.executorForAttempt(first), "hold", at, func(i *incarnation, now time.Time) (pollResult, error) {
			if waitedAt != nil && i != waitedAt {
				return pollResult{}, errConnectionLost
			}
			report, err := i.report(now, o)
			if err == nil && i.id != at.Incarnation {
				err = &pointport.GoneError{Incarnation: at.Incarnation, AnsweredBy: i.id}
			}
			return pollResult{i, report, e.fleet.changed, i.untilNextEnd(now)}, err
		})
		if errors.Is(err, errConnectionLost) {
			return pointport.Report{}, e.noAnswer(ctx, "hold", at, 0)
		}
		by = h.by
		if err != nil || len(h.report.Ended) > 0 || wait <= 0 {
			return h.report, err
		}
		select {
		case <-h.changed:
		case <-e.fleet.clock.After(h.next):
		case <-end:
			o.Wait = 0
		case <-ctx.Done():
			return pointport.Report{}, e.noAnswer(ctx, "hold", at, 0)
		}
	}
}

// executorForAttempt returns the executor for one check of a poll: the first goes over the
// network, and later ones check the incarnation directly.
func (e *Executor) executorForAttempt(first bool) *Executor {
	if first {
		return e
	}
	return &Executor{e.fleet, func(string, pointport.InstanceID) Delivery { return Delivery{} }}
}

// untilNextEnd returns how long it is until a run ends by itself or the lease expires, a
// millisecond more so that the end is due by then.
func (i *incarnation) untilNextEnd(now time.Time) time.Duration {
	next := i.timeOf(i.leaseUntil)
	if r, at := i.nextEnd(); r != nil && at.Before(next) {
		next = at
	}
	return max(time.Millisecond, next.Sub(now)+time.Millisecond)
}
