package shard

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines how instances are asked what they run.

// A look is what the owner knows of its looks at one worker.
type look struct {
	inFlight int
	next     time.Time
	// asking says that it is being looked at through a peer beside that, asked when last.
	asking bool
	asked  time.Time
	// turned is until when its orders go through peers, because it was heard only there.
	turned time.Time
}

// lookAround looks at every worker that is not being looked at.
func (o *Owner) lookAround(ctx context.Context, now time.Time) {
	if !o.own.Proven() {
		return
	}
	for _, w := range o.book.TakePolls() {
		o.look(ctx, now, w, 0)
	}
	seen := make(map[*schedule.Worker]bool)
	for _, w := range o.book.Workers() {
		seen[w] = true
		l := o.lookOf(w)
		if l.inFlight == 0 && !now.Before(l.next) {
			o.look(ctx, now, w, lookWait)
		}
		if w.Silent() {
			o.ask(ctx, now, w)
		}
	}
	for w, l := range o.looking {
		if !seen[w] && l.inFlight == 0 && !l.asking {
			delete(o.looking, w)
		}
	}
}

func (o *Owner) lookOf(w *schedule.Worker) *look {
	l := o.looking[w]
	if l == nil {
		l = &look{}
		o.looking[w] = l
	}
	return l
}

// look asks a worker what it runs and what has ended, and extends what runs.
func (o *Owner) look(ctx context.Context, now time.Time, w *schedule.Worker, waitFor time.Duration) {
	l := o.lookOf(w)
	l.inFlight++
	if !w.HasAnswered() || w.Silent() {
		waitFor = 0 // its clock must be known before anything can be extended
	}
	plan := w.NextPoll()
	if !plan.MayWait {
		waitFor = 0
	}
	order := pointport.HoldOrder{Fence: o.own.Fence, Until: w.ExtendLease(now, o.lease), Acknowledged: plan.Acknowledged, Wait: waitFor, Patience: o.book.ExtraPollTimeout(w)}
	at := w.Endpoint()
	way := o.wayTo(now, w)
	go func() {
		report, err := way.Hold(ctx, at, order)
		o.do(func(now2 time.Time) {
			l.inFlight--
			if err != nil {
				w.PollDone(plan, now2, false)
				o.unheard(w, now, now2, err)
				l.next = now2.Add(lookRetry)
				return
			}
			o.book.Report(w, now, now2, report)
			switch {
			case w.PollDone(plan, now2, true):
				l.next = now2
			case len(report.Ended) > 0:
				l.next = now2.Add(ackWait)
			}
		})
	}()
}

// unheard takes in that a look that was sent at sent got no answer, unless the instance has
// answered another one since.
func (o *Owner) unheard(w *schedule.Worker, sent, now time.Time, err error) {
	var unavailable *pointport.UnavailableError
	if errors.As(err, &unavailable) && w.ReportedSince(sent) {
		return
	}
	o.book.PollFailed(w, now, err)
}
