package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines what becomes of a run that may be on a later life than the one that it was
// ordered to.
//
// A platform that tells lives apart by more than their addressees lets a later life of an instance
// take orders that were meant for an earlier one, and the answers to starts and stops do not say
// which life has given them. So a run is known to be on a life once a report of that life has listed
// it, and not before. Of a run that was ordered and never listed, the end of its worker's life says
// nothing: the run follows to the later life, and a report of that one settles it. And a start that
// may still be under way is one to every later life, each of which is told to rule it out before
// anything is extended or placed there.

// An uncertainty is of a run that was ordered to a life that is over, and may have been taken by
// the later one.
type uncertainty struct {
	cause  parting            // of the end of the former life
	how    workload.CrashCase // what a crash counts as if the run died with it
	beside int                // how many other runs it had
}

// mayBeLater reports whether a later life of the addressee may have the run, or may yet take a start
// of it that has got no answer.
func (r *Run) mayBeLater() bool { return r.mayHaveBegun() && (!r.listed || r.startInFlight()) }

// uncertain reports whether that is so, and there may be a later life of its worker's addressee.
func (r *Run) uncertain() bool { return r.worker.inc.ID().Shares() && r.mayBeLater() }

// sharesWith reports whether orders meant for one of two workers may have been taken by the other.
func (w *Worker) sharesWith(other *Worker) bool {
	return w != other && w.inc.ID().Addressee() == other.inc.ID().Addressee()
}

// replaced takes in that another incarnation has answered in place of a worker.
func (b *Scheduler) replaced(w *Worker, now time.Time, gone *pointport.GoneError) {
	b.workerEnded(w, now, "another incarnation answered", b.laterLife(w, now, gone.By))
}

// laterLife returns the worker for the life that has answered in place of another one under the
// same addressee, nil if the one that answered has another addressee. It may not have registered
// yet; until it has, it is asked at the address at which it has answered.
func (b *Scheduler) laterLife(w *Worker, now time.Time, id pointport.IncarnationID) *Worker {
	if id == "" {
		return nil
	}
	later := b.worker(now, id)
	if later.ended {
		return b.presentLife(w)
	}
	if later.inc.Address() == "" {
		later.inc = pointport.NewIncarnation(id, w.inc.Pool(), w.inc.Address(), pointport.WithInstance(w.inc.Instance()),
			pointport.WithZone(w.inc.Zone()), pointport.WithRack(w.inc.Rack()), pointport.WithLabels(w.inc.Labels()))
		b.pollNow[later] = struct{}{}
	}
	return later
}

// presentLife returns the life of a worker's addressee that was heard last, can be asked and is not
// over, nil if none is known.
func (b *Scheduler) presentLife(w *Worker) *Worker {
	var present *Worker
	for _, o := range b.workers {
		if o.sharesWith(w) && !o.ended && o.inc.Address() != "" && (present == nil || o.lastKnown().After(present.lastKnown())) {
			present = o
		}
	}
	return present
}

// listedLife reports whether another life of a worker's addressee is registered.
func (b *Scheduler) listedLife(w *Worker) bool {
	for _, o := range b.workers {
		if o.sharesWith(w) && o.listed && !o.ended {
			return true
		}
	}
	return false
}

// follow moves the runs of a worker that is over and that a later life may have, or may yet take, to
// that life.
func (b *Scheduler) follow(now time.Time, former, later *Worker, cause parting) {
	died := former.begunRuns()
	for _, r := range died {
		if !r.mayBeLater() || later.runs[r.name] != nil {
			continue
		}
		if r.uncertainty == nil {
			r.uncertainty = &uncertainty{cause, crashCase(died, r, former), len(died) - 1}
		}
		suspected, quarantined := r.suspected, r.quarantined
		former.removeRun(r) // which has it count as any other
		r.worker, r.listed, r.suspected, r.quarantined = later, false, suspected, quarantined
		later.addRun(r)
		delete(later.startsToRuleOut, r.TaskRun())
		if r.state == runAwaitingReport {
			r.state = runSent // what ruled it out may have been the life that is over
			r.stopAgainAt = now
		}
		r.resendAt = time.Time{} // to be ordered again it would have to be placed there
		event.RunFollows.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number), slog.String("incarnation", string(former.inc.ID())),
			slog.String("later", string(later.inc.ID())), slog.Int("unanswered", r.unanswered), slog.Duration("sinceSeen", r.sinceSeen(now)))
	}
	b.pollNow[later] = struct{}{}
}

// takenLate is for how long an order may be on its way, and be held back by the life that it
// reaches, until that takes it. The platform says seconds.
const takenLate = 10 * time.Second

// foreignUntil returns until when a later life may run what it took, or extend what it runs, by an
// order that was sent at a time and meant for an earlier life: as long as an instance grants.
func (b *Scheduler) foreignUntil(ordered time.Time) time.Time {
	return ordered.Add(takenLate + time.Duration(float64(b.settings.MaxHold)*slowClock) + lapseSlack)
}

// executionExpiry returns when everything has surely ended that was ordered to a worker, if no further answer
// comes: also what a later life may have taken.
func (b *Scheduler) executionExpiry(w *Worker) time.Time {
	if !w.anyUncertain() {
		return w.lease.expiry()
	}
	return latest(w.lease.expiry(), b.foreignUntil(w.lease.ordered))
}

// noteForeign notes until when orders to a worker that is over may extend what later lives of its
// addressee run.
func (b *Scheduler) noteForeign(w *Worker) {
	if !w.inc.ID().Shares() {
		return
	}
	to, until := w.inc.ID().Addressee(), b.foreignUntil(w.lease.ordered)
	b.foreign[to] = latest(b.foreign[to], until)
	for _, o := range b.workers {
		if o.sharesWith(w) {
			o.lease.misdirectedUntil = latest(o.lease.misdirectedUntil, until)
		}
	}
}

// confirmListed takes in that the life to which a run has followed has it, or had it: it did not die with
// the former one.
func (r *Run) confirmListed() {
	r.listed = true
	if r.uncertainty == nil {
		return
	}
	r.uncertainty = nil
	if r.state == runLive {
		r.state = runSent // it was taken to run on the life before, by whose clock it was measured
	}
}

// notListedByLater takes in that the life to which a run has followed does not list it, by an answer to
// a look that was sent at sent. It reports whether the run is over: a start that got no answer is
// ruled out first.
func (b *Scheduler) notListedByLater(now, sent time.Time, r *Run) bool {
	if r.state == runLive && r.unanswered == 0 {
		return sent.After(r.liveAt)
	}
	b.stop(now, r, "a later life of its instance does not list it, and its start may be under way")
	return false
}

// recordEarlierLoss counts the crash of the life before against a run that has followed and is not there.
func (b *Scheduler) recordEarlierLoss(now time.Time, r *Run) {
	u := r.uncertainty
	r.uncertainty = nil
	if u.cause != partingCrashed {
		b.tellLost(now, r, u.cause, u.beside)
		return
	}
	b.countCrash(now, r, u.how, u.beside)
}

// rememberStart notes that a start may still be under way to a later life of a worker, although
// nothing wants it any more.
func (b *Scheduler) rememberStart(now time.Time, w *Worker, run pointport.TaskRun) {
	if !w.inc.ID().Shares() {
		return
	}
	to := w.inc.ID().Addressee()
	if b.startsInFlight[to] == nil {
		b.startsInFlight[to] = make(map[pointport.TaskRun]time.Time)
	}
	b.startsInFlight[to][run] = now
}

// startsToRuleOut returns the starts that a life which is new to the owner must rule out first.
func (b *Scheduler) startsToRuleOut(id pointport.IncarnationID) map[pointport.TaskRun]bool {
	all := b.startsInFlight[id.Addressee()]
	if len(all) == 0 {
		return nil
	}
	burns := make(map[pointport.TaskRun]bool, len(all))
	for run := range all {
		burns[run] = true
	}
	return burns
}

// forgetOrders forgets the orders that can be under way no more.
func (b *Scheduler) forgetOrders(now time.Time) {
	for to, until := range b.foreign {
		if now.After(until) {
			delete(b.foreign, to)
		}
	}
	for to, all := range b.startsInFlight {
		for run, at := range all {
			if now.Sub(at) > burnsKept {
				delete(all, run)
			}
		}
		if len(all) == 0 {
			delete(b.startsInFlight, to)
		}
	}
}
