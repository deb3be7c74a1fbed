package shard

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/schedule"
)

// This file defines how an owner asks after instances that it does not hear: a peer may hear
// them.
//
// While orders go through peers anyway, instances are not asked directly beside that: the
// owner is short of what direct looks take, and delegates ask so where an instance gives
// them no answer.

const (
	// askAfter is for how long an instance is silent before it is asked through a peer, and
	// the least time between two such looks: one look without an answer.
	askAfter = 500 * time.Millisecond
	// turnFor is for how long orders to an instance go through peers after it was heard only
	// there. Cuts last five to six seconds.
	turnFor = 6 * time.Second
)

// ask looks at a silent worker through a peer, one look at a time.
func (o *Owner) ask(ctx context.Context, now time.Time, w *schedule.Worker) {
	l := o.lookOf(w)
	if o.delegates == nil || l.asking || w.SilentFor(now) < askAfter || now.Sub(l.asked) < askAfter || o.throughPeers(now, w) {
		return
	}
	l.asked = now
	at := w.Endpoint()
	if !o.delegates.Carries(at.Incarnation) {
		return // it would be looked at directly once more
	}
	l.asking = true
	// It acknowledges nothing: what goes through a peer may be late.
	order := pointport.HoldOrder{Fence: o.own.Fence, Until: w.ExtendLease(now, o.lease), Patience: o.book.ExtraPollTimeout(w)}
	go func() {
		report, err := o.delegates.Hold(ctx, at, order)
		o.do(func(done time.Time) {
			l.asking = false
			o.told(w, l, now, done, report, err)
		})
	}()
}

// told takes in what a peer says of a worker.
func (o *Owner) told(w *schedule.Worker, l *look, sent, now time.Time, report pointport.Report, err error) {
	var unavailable *pointport.UnavailableError
	switch {
	case errors.As(err, &unavailable):
		return // nobody hears it
	case err != nil:
		o.book.PollFailed(w, now, err) // what it says tells what became of it, or of this owner
		return
	}
	if w.Silent() {
		event.HeardThroughPeer.Log(o.logger, slog.String("incarnation", string(w.Endpoint().Incarnation)), slog.Duration("after", w.SilentFor(now)))
		l.turned, l.next = now.Add(turnFor), now
	}
	o.book.Report(w, sent, now, report)
}

// throughPeers reports whether orders to a worker go through peers.
func (o *Owner) throughPeers(now time.Time, w *schedule.Worker) bool {
	l := o.looking[w]
	return o.delegating || l != nil && now.Before(l.turned)
}

// wayTo returns by which way orders to a worker go.
func (o *Owner) wayTo(now time.Time, w *schedule.Worker) pointport.Executor {
	if o.throughPeers(now, w) {
		return o.delegates
	}
	return o.executor
}
