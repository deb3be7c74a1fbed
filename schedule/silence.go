package schedule

import (
	"errors"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines what becomes of the tasks on an instance that gives no answer or
// is over.

// PollFailed takes in that a look at a worker got no answer, or an answer that
// settles what became of the incarnation.
func (b *Scheduler) PollFailed(w *Worker, now time.Time, err error) {
	b.checkFence(err)
	if w.ended {
		return // several looks may tell of it, and it is over once
	}
	var gone *pointport.GoneError
	if errors.As(err, &gone) {
		b.replaced(w, now, gone)
		return
	}
	if !w.silent {
		event.WorkerSilent.Log(b.logger, slog.String("incarnation", string(w.inc.ID())),
			slog.Duration("expiresIn", w.lease.expiry().Sub(now)), slog.Any("error", err))
	}
	w.markSilent(now)
	var rejected *pointport.RejectedError
	w.pollRefused = errors.As(err, &rejected)
	if now.Sub(w.silentSince) > abandonAfter && b.hearing.littleSince.IsZero() {
		b.abandon(now, w)
	}
}

// abandonAfter is for how long a worker is silent before tasks of which copies
// may run beside each other are started elsewhere.
const abandonAfter = 500 * time.Millisecond

// abandon puts back the tasks on a silent worker of which copies may run beside
// each other, so that they need not wait until the worker expires.
func (b *Scheduler) abandon(now time.Time, w *Worker) {
	for _, r := range w.runs {
		if r.step().Copies && !r.step().Gang && r.state != runUnstored && r.entry.runs[r.ref] == r && r.entry.mayAbandon(r.ref) {
			event.TaskReturned.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
				slog.String("incarnation", string(w.inc.ID())), slog.String("reason", "its instance is silent, and a copy may run"))
			b.detach(r)
			r.entry.noteAbandoned(r)
			if r.state == runSent {
				// It is not known to run, so it is ruled out: an order that
				// arrives later would start it although a copy may be done.
				b.stop(now, r, "its task was given to another instance")
			}
			r.entry.job.Requeue(r.ref)
			b.markDirty(r.entry, true)
			b.endJobIfDone(now, r.entry)
		}
	}
}

// hasGivenUp reports whether a worker has a run of a task that was given up for a copy
// elsewhere, and of which it is not known yet what became. The instance would refuse
// another one, and a worker has one run of a task at a time.
func (w *Worker) hasGivenUp(t waitingTask) bool {
	return t.entry.abandoned[t.ref] > 0 && w.runs[workload.TaskName(t.entry.job.ID(), t.ref)] != nil
}

func (b *Scheduler) checkFence(err error) {
	var rejected *pointport.RejectedError
	if errors.As(err, &rejected) && rejected.Reason == pointport.RejectFence {
		b.fenced = true
	}
}

func (b *Scheduler) dropAll(w *Worker, now time.Time, reason string) {
	for _, r := range w.runs {
		b.drop(now, r, reason)
	}
	b.urgent = true
}

// expire lets the runs go of a worker that has been silent until its time was over.
//
// What ran there has ended, and only the instance knows how: silence tells nothing of that,
// however long it lasts, and it may be the owner that cannot hear. So a task that may be done
// waits while its instance is registered and until it is known to be gone.
//
// While the owner doubts itself nothing is let go of an instance that is registered, serving
// tasks and copies neither: most instances live, and what is started elsewhere meets the same
// ears.
//
// What is promised when neither side can be heard: no task that may be done starts again.
// While an instance answers nobody and goes on registering, its tasks wait, without a bound
// in time. What ends that is another life of it, the platform's word that it is over, or
// that its registration ends.
func (b *Scheduler) expire(w *Worker, now time.Time) {
	gone := b.gone(w)
	var over []*Run
	for _, r := range w.runs {
		if r.mayBeLater() && r.mayBeDone() && b.listedLife(w) {
			continue // that life says what became of it
		}
		if gone || !b.SuspectsIsolation() && !r.mayBeDone() {
			over = append(over, r)
		}
	}
	if len(over) == 0 {
		return
	}
	event.WorkerExpired.Log(b.logger, slog.String("incarnation", string(w.inc.ID())), slog.Int("runs", len(over)), slog.Int("unheard", len(w.runs)-len(over)),
		slog.Bool("gone", gone), slog.Duration("sinceHeard", w.lease.sinceLastAnswer(now)))
	for _, r := range over {
		w.mustRuleOut(r)
		w.expiredRuns = append(w.expiredRuns, r)
	}
	for _, r := range over {
		b.drop(now, r, "its instance was silent until its time was over")
	}
	b.urgent = true
}

// mayBeDone reports whether a run may have ended so that its task must not start again.
// Serving tasks have no end that counts, copies may run beside each other, and what belongs
// to a job that is over starts nowhere.
func (r *Run) mayBeDone() bool {
	return r.mayHaveBegun() && !r.detached() && !r.step().Service && !r.step().Copies && !r.entry.job.Stopping()
}

// burnsKept is for how long after everything there has ended a worker is remembered that
// is not registered and to which starts may be under way. The platform says that orders
// without an answer are carried out up to seconds later; this is far more.
const burnsKept = time.Minute

// remembered reports whether a worker that is gone must not be forgotten yet. If it came
// back as one to which no start is under way, it would be extended and carry out those
// that are.
func (w *Worker) remembered(now time.Time) bool {
	return len(w.startsToRuleOut) > 0 && !w.ended && now.Sub(w.lease.expiry()) < burnsKept
}

// countUnproven counts the crash of a worker that is gone against tasks that were there.
// Nothing proves that it crashed, and zones that are cut off heal: two cuts and a crash had
// a serving task given up that was at work for 10 s each time. Only what had just been
// started may have caused its silence.
func (b *Scheduler) countUnproven(now time.Time, w *Worker) {
	if !w.ended && w.parting(now) == partingCrashed {
		b.countCrashes(now, justStarted(w.expiredRuns), justStarted(w.expiredRuns), nil)
	}
	w.expiredRuns = nil
}

// sweep lets the runs go of workers that have been silent for so long that
// everything there has ended, and forgets workers that are gone.
func (b *Scheduler) sweep(now time.Time) {
	var heard tally
	for id, w := range b.workers {
		heard.count(w)
		if len(w.runs) > 0 && now.After(b.executionExpiry(w)) && (w.silent || !w.lease.clockKnown()) {
			b.expire(w, now)
		}
		if len(w.runs) == 0 && !w.listed && (w.ended || now.After(w.lease.expiry())) {
			b.countUnproven(now, w)
			if !w.remembered(now) {
				delete(b.workers, id)
			}
		}
	}
	b.forgetOrders(now)
	b.listen(now, heard)
	for id, f := range b.endedJobs {
		if now.Sub(f.at) > b.settings.KeepEnded {
			delete(b.endedJobs, id)
		}
	}
}
