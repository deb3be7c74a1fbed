package testbed

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how orders reach incarnations.

// A Delivery says what becomes of an order.
type Delivery struct {
	Latency time.Duration
	// OrderLost says that the order is not carried out and gets no answer.
	OrderLost bool
	// LateBy says that the order gets no answer and is carried out so much later.
	LateBy time.Duration
	// AnswerLost says that the order is carried out and gets no answer.
	AnswerLost bool
	// Refused says that the instance answers that it is not well, and has done nothing.
	Refused bool
}

// A Network decides the fate of each order to a machine.
type Network func(op string, to pointport.InstanceID) Delivery

// Reliable is a network on which every order takes a millisecond.
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

// Executor returns a way to send orders over a network.
func (f *Fleet) Executor(network Network) *Executor { return &Executor{f, network} }

// call carries out an order under its fate and returns what it was answered. An
// order that is carried out late answers nobody.
func call[T any](ctx context.Context, e *Executor, op string, at pointport.Endpoint, carryOut func(*incarnation, time.Time) (T, error)) (T, error) {
	var none T
	f := e.fleet
	inc := f.incarnationAt(at)
	var id pointport.InstanceID
	if inc != nil {
		id = inc.machine.id
	}
	fate := e.network(op, id)
	if !sleep(ctx, f.clock, fate.Latency) {
		return none, e.noAnswer(ctx, op, at, 0)
	}
	if fate.OrderLost {
		return none, e.noAnswer(ctx, op, at, answerTimeout)
	}
	if fate.LateBy > 0 {
		taker, wake := f.incarnationAt(at), f.clock.After(fate.LateBy)
		go func() {
			<-wake
			f.awaitStall(taker)
			f.mu.Lock()
			defer f.mu.Unlock()
			// What a life holds back ends with it.
			if taker != nil && !taker.gone {
				taker.advance(f.clock.Now())
				// Its caller has long gone and hears of no refusal.
				_, _ = carryOut(taker, f.clock.Now())
			}
		}()
		return none, e.noAnswer(ctx, op, at, answerTimeout)
	}
	f.awaitStall(f.incarnationAt(at))
	f.mu.Lock()
	inc = f.byAddressee[at.Incarnation.Addressee()] // another one may have come by now
	if inc == nil || inc.gone {
		f.mu.Unlock()
		return none, e.noAnswer(ctx, op, at, answerTimeout)
	}
	if fate.Refused {
		f.mu.Unlock()
		return none, inc.reject(pointport.RejectUnhealthy)
	}
	now := f.clock.Now()
	inc.advance(now)
	answer, err := carryOut(inc, now)
	f.mu.Unlock()
	if fate.AnswerLost {
		return none, e.noAnswer(ctx, op, at, answerTimeout)
	}
	return answer, err
}

// incarnationAt returns the life that takes what is meant for an incarnation, nil if none has yet.
func (f *Fleet) incarnationAt(at pointport.Endpoint) *incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddressee[at.Incarnation.Addressee()]
}

// noAnswer waits for an answer that does not come.
func (e *Executor) noAnswer(ctx context.Context, op string, at pointport.Endpoint, d time.Duration) error {
	sleep(ctx, e.fleet.clock, d)
	return &pointport.UnavailableError{Op: op, Key: string(at.Incarnation), Ambiguous: true, Err: errNoAnswer}
}

// sleep waits for d; false if ctx ends first.
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

// Start starts a run.
func (e *Executor) Start(ctx context.Context, at pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceTime, error) {
	sent := e.fleet.clock.Now()
	return call(ctx, e, "start", at, func(i *incarnation, now time.Time) (pointport.InstanceTime, error) {
		return i.clockAt(now), i.start(now, sent, o)
	})
}

// Stop stops a run.
func (e *Executor) Stop(ctx context.Context, at pointport.Endpoint, o pointport.StopOrder) (pointport.InstanceTime, error) {
	return call(ctx, e, "stop", at, func(i *incarnation, now time.Time) (pointport.InstanceTime, error) {
		return i.clockAt(now), i.stop(now, o)
	})
}

// Pace sets the share of its work that a run may do, which changes nothing here.
func (e *Executor) Pace(ctx context.Context, at pointport.Endpoint, o pointport.PaceOrder) error {
	_, err := call(ctx, e, "pace", at, func(i *incarnation, _ time.Time) (struct{}, error) {
		if err := i.admit(o.Fence, 0); err != nil {
			return struct{}{}, err
		}
		return struct{}{}, nil
	})
	return err
}

// errConnectionLost says that the life that a hold waited at is over, and its connection with it.
var errConnectionLost = errors.New("the connection has gone with the life at its end")

// A pollResult is what a hold is answered, and when to look again if nothing has ended.
type pollResult struct {
	by      *incarnation
	report  pointport.Report
	changed <-chan struct{}
	next    time.Duration
}

// Poll extends the time of what runs, and returns what runs and has ended once
// something has ended or the wait is over.
func (e *Executor) Poll(ctx context.Context, at pointport.Endpoint, o pointport.PollOrder) (pointport.Report, error) {
	end := e.fleet.clock.After(o.Wait)
	var by *incarnation // who has taken it
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

// executorForAttempt returns how a hold reaches its instance: over the network the first time,
// and by looking again at the instance itself after that.
func (e *Executor) executorForAttempt(first bool) *Executor {
	if first {
		return e
	}
	return &Executor{e.fleet, func(string, pointport.InstanceID) Delivery { return Delivery{} }}
}

// untilNextEnd returns how long it is until something ends by itself.
func (i *incarnation) untilNextEnd(now time.Time) time.Duration {
	next := i.timeOf(i.leaseUntil)
	if r, at := i.nextEnd(); r != nil && at.Before(next) {
		next = at
	}
	return max(time.Millisecond, next.Sub(now)+time.Millisecond)
}
