package shard

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines how instances are polled for the runs that they have.

// A pollState is the state of the polls of one worker.
type pollState struct {
	inFlight int
	next     time.Time
	// peerPolling reports whether a poll through a peer is in flight besides; the last one
	// was sent at peerPolledAt.
	peerPolling  bool
	peerPolledAt time.Time
	// viaPeersUntil is until when the worker's orders go through peers, because it
	// answered only there.
	viaPeersUntil time.Time
}

// pollWorkers sends the polls that the scheduler asks for, and polls every worker that is due
// and has no poll in flight. It polls silent workers through a peer as well.
func (o *Owner) pollWorkers(ctx context.Context, now time.Time) {
	if !o.ownership.Proven() {
		return
	}
	for _, w := range o.scheduler.TakePolls() {
		o.poll(ctx, now, w, 0)
	}
	seen := make(map[*schedule.Worker]bool)
	for _, w := range o.scheduler.Workers() {
		seen[w] = true
		s := o.pollStateOf(w)
		if s.inFlight == 0 && !now.Before(s.next) {
			o.poll(ctx, now, w, pollWait)
		}
		if w.Silent() {
			o.pollThroughPeer(ctx, now, w)
		}
	}
	for w, s := range o.polls {
		if !seen[w] && s.inFlight == 0 && !s.peerPolling {
			delete(o.polls, w)
		}
	}
}

// pollStateOf returns the poll state of a worker and creates it if there is none.
func (o *Owner) pollStateOf(w *schedule.Worker) *pollState {
	s := o.polls[w]
	if s == nil {
		s = &pollState{}
		o.polls[w] = s
	}
	return s
}

// poll asks a worker for its running and ended runs, and extends the execution leases of the
// running ones.
func (o *Owner) poll(ctx context.Context, now time.Time, w *schedule.Worker, waitFor time.Duration) {
	s := o.pollStateOf(w)
	s.inFlight++
	if !w.HasAnswered() || w.Silent() {
		waitFor = 0 // no lease can be extended before the instance's clock is known
	}
	plan := w.NextPoll()
	if !plan.MayWait {
		waitFor = 0
	}
	order := pointport.PollOrder{Fence: o.ownership.Fence, LeaseUntil: w.ExtendLease(now, o.lease), Acknowledged: plan.Acknowledged, Wait: waitFor, ExtraTimeout: o.scheduler.ExtraPollTimeout(w)}
	at := w.Endpoint()
	executor := o.executorFor(now, w)
	go func() {
		report, err := executor.Poll(ctx, at, order)
		o.enqueue(func(done time.Time) {
			s.inFlight--
			if err != nil {
				w.PollDone(plan, done, false)
				o.pollFailed(w, now, done, err)
				s.next = done.Add(pollRetry)
				return
			}
			o.scheduler.Report(w, now, done, report)
			switch {
			case w.PollDone(plan, done, true):
				s.next = done
			case len(report.Ended) > 0:
				s.next = done.Add(ackWait)
			}
		})
	}()
}

// pollFailed handles a poll sent at sent that got no answer, unless the instance has
// answered another poll since.
func (o *Owner) pollFailed(w *schedule.Worker, sent, now time.Time, err error) {
	var unavailable *pointport.UnavailableError
	if errors.As(err, &unavailable) && w.ReportedSince(sent) {
		return
	}
	o.scheduler.PollFailed(w, now, err)
}
