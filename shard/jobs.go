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

// This file defines how an owner gets its jobs: from the store when it takes
// over, from the members that accept them, and by a watch of the store in case
// a member's message is lost.

// loadRetry is the delay before a new owner reads the store again after a failure.
const loadRetry = 100 * time.Millisecond

// openWatchInterval is the least time between two updates from the watch of open
// jobs. Members send the jobs that they accept, so the watch is needed only for
// jobs whose message was lost.
const openWatchInterval = 300 * time.Millisecond

// predecessorMargin allows for an order of the previous owner that is in flight
// when its lease ends.
const predecessorMargin = 500 * time.Millisecond

// load creates the scheduler and reads the pool's open jobs. It returns the revision
// from which a watch delivers every later job.
func (o *Owner) load(ctx context.Context) (pointport.Revision, error) {
	now := o.clock.Now()
	// A successor of this owner must hold back what this owner still has to.
	o.noteUnrecorded(o.ownership.PredecessorUnrecorded())
	o.scheduler = schedule.NewScheduler(now, schedule.Settings{
		Lease:                 o.lease,
		PredecessorBound:      o.session.TTL() + time.Duration(float64(o.lease)*1.05) + predecessorMargin,
		MaxHold:               o.maxHold,
		KeepEnded:             endedRetention,
		Early:                 early,
		GangTimeout:           o.gangTimeout,
		RemoteDataSlowdown:    o.remoteDataSlowdown,
		PredecessorUnrecorded: o.ownership.PredecessorUnrecorded(),
	}, o.logger)
	o.writer = member.NewWriter(o.kv, o.clock, o.ownership, o.logger)
	for {
		at, err := o.readStore(ctx)
		if err == nil || ctx.Err() != nil {
			return at, err
		}
		event.LogUnavailable.Log(o.logger, slog.Any("error", err))
		select {
		case <-o.clock.After(loadRetry):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func (o *Owner) readStore(ctx context.Context) (pointport.Revision, error) {
	if err := o.writer.Open(ctx); err != nil {
		return 0, err
	}
	open, at, err := member.ReadAll(ctx, o.kv, workload.OpenPrefix(o.ownership.Pool))
	if err != nil {
		return 0, err
	}
	progress, _, err := member.ReadAll(ctx, o.kv, workload.ProgressPrefix(o.ownership.Pool))
	if err != nil {
		return 0, err
	}
	saved := make(map[string][]byte, len(progress))
	for _, e := range progress {
		saved[strings.TrimPrefix(e.Key(), workload.ProgressPrefix(o.ownership.Pool))] = e.Value()
	}
	o.applyOpenKeys(open, saved)
	o.loadedAt = at
	return at, nil
}

// applyOpenKeys handles entries under the pool's open prefix, cancellations last.
func (o *Owner) applyOpenKeys(entries []pointport.Entry, saved map[string][]byte) {
	now := o.clock.Now()
	for _, e := range entries {
		id, cancel := workload.ParseOpenKey(o.ownership.Pool, e.Key())
		if cancel || !e.Exists() {
			continue
		}
		o.addJob(now, id, e.Value(), saved[id])
	}
	for _, e := range entries {
		if id, cancel := workload.ParseOpenKey(o.ownership.Pool, e.Key()); cancel && e.Exists() {
			o.takeCancellation(now, id, e.Key())
		}
	}
}

// addJob adds a job from its accepted form and its stored progress, if any. A job whose
// progress cannot be decoded is ignored for as long as this owner works: the watch of open
// jobs delivers it again without progress, and the job would run again from the beginning.
func (o *Owner) addJob(now time.Time, id string, accepted, progress []byte) {
	if o.unreadable[id] {
		return
	}
	j, err := workload.DecodeAccepted(id, accepted)
	if err == nil && progress != nil {
		err = j.RestoreProgress(progress)
	}
	if err != nil {
		event.JobUnreadable.Log(o.logger, slog.String("job", id), slog.Any("error", err))
		o.unreadable[id] = progress != nil
		return
	}
	delete(o.unreadable, id)
	if o.scheduler.Add(now, j) {
		event.JobTaken.Log(o.logger, slog.String("job", id), slog.String("queue", j.Queue()),
			slog.Duration("after", now.Sub(j.Submitted())), slog.Bool("inherited", progress != nil))
	}
}

// watchOpenJobs watches for jobs and cancellations whose message was lost.
func (o *Owner) watchOpenJobs(ctx context.Context, at pointport.Revision) {
	handle := func(entries []pointport.Entry) {
		o.enqueue(func(time.Time) { o.applyOpenKeys(entries, nil) })
	}
	member.Follow(ctx, o.kv, o.clock, workload.OpenPrefix(o.ownership.Pool), handle, handle, member.FromRevision(at), member.PauseAfterChange(openWatchInterval))
}

// Submitted passes on a job that was accepted at a revision; accepted is its
// stored form. A message sent while the owner changed may concern a job that
// the previous owner has already ended, so a job accepted no later than the
// revision at which this owner read the store is ignored.
func (o *Owner) Submitted(id string, accepted []byte, at pointport.Revision) {
	o.enqueue(func(now time.Time) {
		if at > o.loadedAt {
			o.addJob(now, id, accepted, nil)
		}
	})
}

// Cancel cancels a job and returns once the cancellation is stored. It returns
// false if the owner does not have the job or the caller may not see it.
func (o *Owner) Cancel(ctx context.Context, id string, by customer.Caller) (bool, error) {
	type outcome struct{ known bool }
	answer := make(chan outcome, 1)
	sent := o.enqueue(func(now time.Time) {
		if !o.visible(id, by) {
			answer <- outcome{false}
			return
		}
		if !o.scheduler.Cancel(now, id) {
			_, known := o.scheduler.Status(id)
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

// visible reports whether the scheduler has the job and the caller may see it.
func (o *Owner) visible(id string, by customer.Caller) bool {
	owner, known := o.scheduler.CustomerOf(id)
	return known && by.CanAccess(owner)
}

// Status returns the status of a job. It returns false if the owner does not have the job, or
// if the job belongs to a customer other than the caller.
func (o *Owner) Status(ctx context.Context, id string, by customer.Caller) (workload.Status, bool, error) {
	type outcome struct {
		status workload.Status
		known  bool
	}
	a, err := query(ctx, o, func() outcome {
		s, known := o.scheduler.Status(id)
		return outcome{s, known && o.visible(id, by)}
	})
	return a.status, a.known, err
}

// Waiting returns how many jobs of a queue have not begun.
func (o *Owner) Waiting(ctx context.Context, queue string) (int, error) {
	return query(ctx, o, func() int { return o.scheduler.Waiting(queue) })
}

// Survey applies a request of the planner that moves and maintains instances, and returns the
// state of the pool.
func (o *Owner) Survey(ctx context.Context, req schedule.SurveyRequest) (schedule.Survey, error) {
	return query(ctx, o, func() schedule.Survey { return o.scheduler.Survey(o.clock.Now(), req) })
}

// Explain returns the state of a job and the reasons for it; false if the owner does not have
// the job.
func (o *Owner) Explain(ctx context.Context, id string) (schedule.Explanation, bool, error) {
	type outcome struct {
		explanation schedule.Explanation
		known       bool
	}
	a, err := query(ctx, o, func() outcome {
		x, known := o.scheduler.Explain(o.clock.Now(), id)
		return outcome{x, known}
	})
	return a.explanation, a.known, err
}

// ExplainCustomer returns the state of a customer in the pool and the reasons for it.
func (o *Owner) ExplainCustomer(ctx context.Context, name string) (schedule.CustomerExplanation, error) {
	return query(ctx, o, func() schedule.CustomerExplanation {
		x := o.scheduler.ExplainCustomer(o.clock.Now(), name)
		x.Pool = o.ownership.Pool
		return x
	})
}

// query runs a function on the loop and returns its result. It fails with member.ErrNotOwner if
// the owner has ended.
func query[T any](ctx context.Context, o *Owner, question func() T) (T, error) {
	answer := make(chan T, 1)
	var none T
	select {
	case <-o.ready:
	case <-o.done:
		return none, member.ErrNotOwner
	case <-ctx.Done():
		return none, ctx.Err()
	}
	if !o.enqueue(func(time.Time) { answer <- question() }) {
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
