package shard

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file defines how an owner learns of jobs: from the store when it takes
// over, from the members that accept them, and from the store again in case a
// message was lost.

// loadRetry is how long to wait after the store gave no answer to a new owner.
const loadRetry = 100 * time.Millisecond

// openRest is how long to wait between two changes of open jobs. Members tell of
// the jobs that they accept; the watch is for those of which the message was lost.
const openRest = 300 * time.Millisecond

// predecessorSlack covers an order of an earlier owner that is under way when
// its lease ends.
const predecessorSlack = 500 * time.Millisecond

// load reads the pool's open jobs. It returns the revision from which a watch
// sees every later one.
func (o *Owner) load(ctx context.Context) (pointport.Revision, error) {
	now := o.clock.Now()
	o.book = schedule.NewScheduler(now, schedule.Settings{
		Lease:            o.lease,
		PredecessorBound: o.session.TTL() + time.Duration(float64(o.lease)*1.05) + predecessorSlack,
		MaxHold:          o.maxHold,
		KeepEnded:        keepEnded,
		Early:            early,
		GangTime:         o.gangTime,
		FarFactor:        o.far,
	}, o.logger)
	o.writer = member.NewWriter(o.kv, o.clock, o.own, o.logger)
	for {
		at, err := o.read(ctx)
		if err == nil || ctx.Err() != nil {
			return at, err
		}
		event.LogCut.Log(o.logger, slog.Any("error", err))
		select {
		case <-o.clock.After(loadRetry):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func (o *Owner) read(ctx context.Context) (pointport.Revision, error) {
	if err := o.writer.Open(ctx); err != nil {
		return 0, err
	}
	open, at, err := member.ReadAll(ctx, o.kv, workload.OpenPrefix(o.own.Pool))
	if err != nil {
		return 0, err
	}
	progress, _, err := member.ReadAll(ctx, o.kv, workload.ProgressPrefix(o.own.Pool))
	if err != nil {
		return 0, err
	}
	saved := make(map[string][]byte, len(progress))
	for _, e := range progress {
		saved[strings.TrimPrefix(e.Key(), workload.ProgressPrefix(o.own.Pool))] = e.Value()
	}
	o.take(open, saved)
	o.loaded = at
	return at, nil
}

// take takes in keys under the pool's open prefix, cancellations last.
func (o *Owner) take(entries []pointport.Entry, saved map[string][]byte) {
	now := o.clock.Now()
	for _, e := range entries {
		id, cancel := workload.ParseOpenKey(o.own.Pool, e.Key())
		if cancel || !e.Exists() {
			continue
		}
		o.add(now, id, e.Value(), saved[id])
	}
	for _, e := range entries {
		if id, cancel := workload.ParseOpenKey(o.own.Pool, e.Key()); cancel && e.Exists() {
			o.book.Cancel(now, id)
			o.removals = append(o.removals, e.Key())
		}
	}
}

// add takes in a job as it was accepted, with its stored progress if it has any. One
// whose progress cannot be read is left alone for good: without it, as whatever follows
// open jobs brings it again, the job would begin anew.
func (o *Owner) add(now time.Time, id string, accepted, progress []byte) {
	if o.unreadable[id] {
		return
	}
	j, err := workload.DecodeAccepted(id, accepted)
	if err == nil && progress != nil {
		err = j.RestoreProgress(progress)
	}
	if err != nil {
		event.JobUnreadable.Log(o.logger, slog.String("job", id), slog.Any("error", err))
		if progress != nil {
			o.unreadable[id] = true
		}
		return
	}
	if o.book.Add(now, j) {
		event.JobTaken.Log(o.logger, slog.String("job", id), slog.String("queue", j.Queue()),
			slog.Duration("after", now.Sub(j.Submitted())), slog.Bool("inherited", progress != nil))
	}
}

// follow watches for jobs and cancellations of which no message came.
func (o *Owner) follow(ctx context.Context, at pointport.Revision) {
	take := func(entries []pointport.Entry) {
		o.do(func(time.Time) { o.take(entries, nil) })
	}
	member.Follow(ctx, o.kv, o.clock, workload.OpenPrefix(o.own.Pool), take, take, member.FromRevision(at), member.PauseAfterChange(openRest))
}

// Submitted tells the owner of a job that was accepted at a revision; accepted
// is its stored form. A message that was under way while the owner changed may
// be about a job that the earlier owner has ended already, so what this owner
// has read from the store is not taken in again.
func (o *Owner) Submitted(id string, accepted []byte, at pointport.Revision) {
	o.do(func(now time.Time) {
		if at > o.loaded {
			o.add(now, id, accepted, nil)
		}
	})
}

// Cancel cancels a job and returns once that is stored. It reports whether the
// owner knows the job, and the caller may.
func (o *Owner) Cancel(ctx context.Context, id string, by customer.Caller) (bool, error) {
	type outcome struct{ known bool }
	answer := make(chan outcome, 1)
	sent := o.do(func(now time.Time) {
		if !o.seen(id, by) {
			answer <- outcome{false}
			return
		}
		if !o.book.Cancel(now, id) {
			_, known := o.book.Status(id)
			answer <- outcome{known}
			return
		}
		o.waiters = append(o.waiters, waiter{id, func() { answer <- outcome{true} }})
	})
	if !sent {
		return false, member.ErrNotOwner
	}
	select {
	case a := <-answer:
		return a.known, nil
	case <-o.done:
		return false, member.ErrNotOwner
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// seen reports whether the book has a job that a caller may know of.
func (o *Owner) seen(id string, by customer.Caller) bool {
	owner, known := o.book.CustomerOf(id)
	return known && by.CanAccess(owner)
}

// Status returns what the owner knows of a job; false if it knows nothing, or the job is
// another customer's than the caller's.
func (o *Owner) Status(ctx context.Context, id string, by customer.Caller) (workload.Status, bool, error) {
	type outcome struct {
		status workload.Status
		known  bool
	}
	a, err := ask(ctx, o, func() outcome {
		s, known := o.book.Status(id)
		return outcome{s, known && o.seen(id, by)}
	})
	return a.status, a.known, err
}

// Waiting returns how many jobs of a queue have not begun.
func (o *Owner) Waiting(ctx context.Context, queue string) (int, error) {
	return ask(ctx, o, func() int { return o.book.Waiting(queue) })
}

// Survey takes in a request of whoever moves and maintains instances, and returns
// how the pool stands.
func (o *Owner) Survey(ctx context.Context, req schedule.SurveyRequest) (schedule.Survey, error) {
	return ask(ctx, o, func() schedule.Survey { return o.book.Survey(o.clock.Now(), req) })
}

// Explain says how a job stands and why; false if the owner does not know it.
func (o *Owner) Explain(ctx context.Context, id string) (schedule.Explanation, bool, error) {
	type outcome struct {
		explanation schedule.Explanation
		known       bool
	}
	a, err := ask(ctx, o, func() outcome {
		x, known := o.book.Explain(o.clock.Now(), id)
		return outcome{x, known}
	})
	return a.explanation, a.known, err
}

// ExplainCustomer says how a customer stands in the pool.
func (o *Owner) ExplainCustomer(ctx context.Context, name string) (schedule.CustomerExplanation, error) {
	return ask(ctx, o, func() schedule.CustomerExplanation {
		x := o.book.ExplainCustomer(o.clock.Now(), name)
		x.Pool = o.own.Pool
		return x
	})
}

// ask has the loop answer a question.
func ask[T any](ctx context.Context, o *Owner, question func() T) (T, error) {
	answer := make(chan T, 1)
	var none T
	select {
	case <-o.ready:
	case <-o.done:
		return none, member.ErrNotOwner
	case <-ctx.Done():
		return none, ctx.Err()
	}
	if !o.do(func(time.Time) { answer <- question() }) {
		return none, member.ErrNotOwner
	}
	select {
	case a := <-answer:
		return a, nil
	case <-o.done:
		return none, member.ErrNotOwner
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
