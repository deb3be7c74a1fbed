package testbed

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how orders reach incarnations.

// A Fate says what becomes of an order.
type Fate struct {
	Latency time.Duration
	// Lost says that the order is not carried out and gets no answer.
	Lost bool
	// Late says that the order gets no answer and is carried out so much later.
	Late time.Duration
	// Mute says that the order is carried out and gets no answer.
	Mute bool
}

// A Network decides the fate of each order to a machine.
type Network func(op string, to pointport.InstanceID) Fate

// Reliable is a network on which every order takes a millisecond.
func Reliable(string, pointport.InstanceID) Fate { return Fate{Latency: time.Millisecond} }

// answerTimeout is how long a caller waits for an answer.
const answerTimeout = 400 * time.Millisecond

var errSilent = errors.New("stand-in instance gave no answer")

// An Executor sends orders to the fleet over a network.
type Executor struct {
	fleet   *Fleet
	network Network
}

var _ pointport.Executor = (*Executor)(nil)

// Executor returns a way to send orders over a network.
func (f *Fleet) Executor(network Network) *Executor { return &Executor{f, network} }

// call carries out an order under its fate.
func (e *Executor) call(ctx context.Context, op string, at pointport.Endpoint, carryOut func(*incarnation, time.Time) error) error {
	f := e.fleet
	f.mu.Lock()
	life := f.lives[at.Incarnation]
	var id pointport.InstanceID
	if life != nil {
		id = life.machine.id
	}
	f.mu.Unlock()
	fate := e.network(op, id)
	if !sleep(ctx, f.clock, fate.Latency) {
		return e.silent(ctx, op, at, 0)
	}
	if fate.Lost {
		return e.silent(ctx, op, at, answerTimeout)
	}
	if fate.Late > 0 {
		wake := f.clock.After(fate.Late)
		go func() {
			<-wake
			f.mu.Lock()
			defer f.mu.Unlock()
			if life != nil && !life.over {
				life.advance(f.clock.Now())
				// Its caller has long gone and hears of no refusal.
				_ = carryOut(life, f.clock.Now())
			}
		}()
		return e.silent(ctx, op, at, answerTimeout)
	}
	f.mu.Lock()
	if life == nil || life.over {
		f.mu.Unlock()
		return e.silent(ctx, op, at, answerTimeout)
	}
	now := f.clock.Now()
	life.advance(now)
	err := carryOut(life, now)
	f.mu.Unlock()
	if fate.Mute {
		return e.silent(ctx, op, at, answerTimeout)
	}
	return err
}

// silent waits for an answer that does not come.
func (e *Executor) silent(ctx context.Context, op string, at pointport.Endpoint, d time.Duration) error {
	sleep(ctx, e.fleet.clock, d)
	return &pointport.UnavailableError{Op: op, Key: string(at.Incarnation), Ambiguous: true, Err: errSilent}
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
func (e *Executor) Start(ctx context.Context, at pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceClock, error) {
	var clock pointport.InstanceClock
	err := e.call(ctx, "start", at, func(i *incarnation, now time.Time) error {
		clock = i.clock(now)
		return i.start(now, o)
	})
	return clock, err
}

// Stop stops a run.
func (e *Executor) Stop(ctx context.Context, at pointport.Endpoint, o pointport.StopOrder) (pointport.InstanceClock, error) {
	var clock pointport.InstanceClock
	err := e.call(ctx, "stop", at, func(i *incarnation, now time.Time) error {
		clock = i.clock(now)
		return i.stop(now, o)
	})
	return clock, err
}

// Pace sets the share of its work that a run may do, which changes nothing here.
func (e *Executor) Pace(ctx context.Context, at pointport.Endpoint, o pointport.PaceOrder) error {
	return e.call(ctx, "pace", at, func(i *incarnation, _ time.Time) error {
		if err := i.admit(o.Fence, 0); err != nil {
			return err
		}
		return nil
	})
}

// Hold extends the time of what runs, and returns what runs and has ended once
// something has ended or the wait is over.
func (e *Executor) Hold(ctx context.Context, at pointport.Endpoint, o pointport.HoldOrder) (pointport.Report, error) {
	end := e.fleet.clock.After(o.Wait)
	for first := true; ; first = false {
		var report pointport.Report
		var changed chan struct{}
		var next time.Duration
		hold := func(i *incarnation, now time.Time) error {
			var err error
			report, err = i.report(now, o)
			changed, next = e.fleet.changed, i.untilNext(now)
			return err
		}
		if err := e.attempt(ctx, first, at, hold); err != nil || len(report.Ended) > 0 || o.Wait <= 0 {
			return report, err
		}
		select {
		case <-changed:
		case <-e.fleet.clock.After(next):
		case <-end:
			o.Wait = 0
		case <-ctx.Done():
			return pointport.Report{}, e.silent(ctx, "hold", at, 0)
		}
	}
}

// attempt sends a hold over the network the first time, and looks again at the
// instance itself after that.
func (e *Executor) attempt(ctx context.Context, first bool, at pointport.Endpoint, hold func(*incarnation, time.Time) error) error {
	if first {
		return e.call(ctx, "hold", at, hold)
	}
	local := &Executor{e.fleet, func(string, pointport.InstanceID) Fate { return Fate{} }}
	return local.call(ctx, "hold", at, hold)
}

// untilNext returns how long it is until something ends by itself.
func (i *incarnation) untilNext(now time.Time) time.Duration {
	next := i.localTime(i.until)
	if r, at := i.nextEnd(); r != nil && at.Before(next) {
		next = at
	}
	return max(time.Millisecond, next.Sub(now)+time.Millisecond)
}
