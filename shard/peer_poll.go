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

// This file defines how an owner polls an instance through a peer when the instance does not
// answer directly: the peer may be able to reach it.
//
// While all orders go through peers, no direct polls are added: the owner is short of the
// processor time or bandwidth that they take. Delegation also falls back to a direct poll if
// the instance does not answer the delegate.

const (
	// peerPollAfter is for how long an instance must be silent before it is polled through
	// a peer, and the least time between two such polls. It is the duration of one poll
	// without an answer.
	peerPollAfter = 500 * time.Millisecond
	// rerouteFor is for how long orders to an instance go through peers after it answered
	// only there. Network partitions last five to six seconds.
	rerouteFor = 6 * time.Second
)

// pollThroughPeer polls a silent worker through a peer. At most one such poll is in flight.
func (o *Owner) pollThroughPeer(ctx context.Context, now time.Time, w *schedule.Worker) {
	s := o.pollStateOf(w)
	if o.delegates == nil || s.peerPolling || w.SilentFor(now) < peerPollAfter || now.Sub(s.peerPolledAt) < peerPollAfter || o.throughPeers(now, w) {
		return
	}
	s.peerPolledAt = now
	at := w.Endpoint()
	if !o.delegates.Connected(at.Incarnation) {
		return // without a peer, this would be one more direct poll
	}
	s.peerPolling = true
	// The poll acknowledges nothing, because an order through a peer may arrive late.
	order := pointport.PollOrder{Fence: o.ownership.Fence, LeaseUntil: w.ExtendLease(now, o.lease), ExtraTimeout: o.scheduler.ExtraPollTimeout(w)}
	go func() {
		report, err := o.delegates.Poll(ctx, at, order)
		o.enqueue(func(done time.Time) {
			s.peerPolling = false
			o.peerPollAnswered(w, s, now, done, report, err)
		})
	}()
}

// peerPollAnswered handles the result of a poll through a peer.
func (o *Owner) peerPollAnswered(w *schedule.Worker, s *pollState, sent, now time.Time, report pointport.Report, err error) {
	var unavailable *pointport.UnavailableError
	switch {
	case errors.As(err, &unavailable):
		return // no peer reaches it either
	case err != nil:
		o.scheduler.PollFailed(w, now, err) // the error determines the state of the worker, or that this owner has lost its pool
		return
	}
	if w.Silent() {
		event.InstanceAnsweredPeer.Log(o.logger, slog.String("incarnation", string(w.Endpoint().Incarnation)), slog.Duration("after", w.SilentFor(now)))
		s.viaPeersUntil, s.next = now.Add(rerouteFor), now
	}
	o.scheduler.Report(w, sent, now, report)
}

// throughPeers reports whether orders to a worker go through peers.
func (o *Owner) throughPeers(now time.Time, w *schedule.Worker) bool {
	s := o.polls[w]
	return o.delegating || s != nil && now.Before(s.viaPeersUntil)
}

// executorFor returns the executor for orders to a worker.
func (o *Owner) executorFor(now time.Time, w *schedule.Worker) pointport.Executor {
	if o.throughPeers(now, w) {
		return o.delegates
	}
	return o.executor
}
