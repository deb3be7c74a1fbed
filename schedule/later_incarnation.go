package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines how a run is handled that may be on a later incarnation than the one to which
// its start was sent.
//
// Some platforms direct orders to an addressee that a later incarnation of an instance may share.
// That incarnation may then carry out orders that were meant for an earlier one, and the answers to
// starts and stops do not name the incarnation that gave them. So a run is known to be on an
// incarnation only once a report of that incarnation lists it. If a start was sent and the run was
// never listed, the end of the incarnation does not show what became of the run: the run is moved to
// the later incarnation, whose report settles it. A start that may still be in flight may reach any
// later incarnation, so each of them is ordered to rule the start out before its lease is extended or
// anything is placed there.
//
// So a run is listed once a report of its worker's incarnation has shown it, uncertain while a later
// incarnation may have it nevertheless, and confirmed once it is stored that it is listed and not
// uncertain, which only runs of serving tasks are. The end of an incarnation is the end of all its runs
// but the uncertain ones.

// An uncertainty belongs to a run whose start was sent to an incarnation that has ended, and that
// the later incarnation may have accepted.
type uncertainty struct {
	cause     endCause           // why the earlier incarnation ended
	how       workload.CrashCase // how a crash counts if the run died in it
	otherRuns int                // runs of the earlier incarnation besides this one
}

// mayBeOnLater reports whether a later incarnation of the addressee may have the run, or may still
// accept an unanswered start of it.
func (r *Run) mayBeOnLater() bool { return r.mayHaveBegun() && (!r.listed || r.startInFlight()) }

// uncertain reports whether a later incarnation may have the run, because the addressee of its
// worker can be shared.
func (r *Run) uncertain() bool { return r.worker.inc.ID().SharesAddressee() && r.mayBeOnLater() }

// sharesAddressee reports whether orders meant for one of two workers may have been carried out by
// the other.
func (w *Worker) sharesAddressee(other *Worker) bool {
	return w != other && w.inc.ID().Addressee() == other.inc.ID().Addressee()
}

// replaced handles an answer that came from another incarnation than the worker's.
func (s *Scheduler) replaced(w *Worker, now time.Time, gone *pointport.GoneError) {
	s.workerEnded(w, now, "another incarnation answered", s.laterIncarnation(w, now, gone.AnsweredBy))
}

// laterIncarnation returns the worker for id, the incarnation that answered in place of w, or nil if
// the answer came from another addressee. The incarnation may not be registered yet; until it is, it
// is polled at the address at which it answered.
func (s *Scheduler) laterIncarnation(w *Worker, now time.Time, id pointport.IncarnationID) *Worker {
	if id == "" {
		return nil
	}
	later := s.worker(now, id)
	if later.ended {
		return s.presentIncarnation(w)
	}
	if later.inc.Address() == "" {
		later.inc = pointport.NewIncarnation(id, w.inc.Pool(), w.inc.Address(), pointport.WithInstance(w.inc.Instance()),
			pointport.WithZone(w.inc.Zone()), pointport.WithRack(w.inc.Rack()), pointport.WithLabels(w.inc.Labels()))
		s.pollNow[later] = struct{}{}
	}
	return later
}

// presentIncarnation returns the incarnation of a worker's addressee that was seen last, has an
// address and has not ended; nil if none is known.
func (s *Scheduler) presentIncarnation(w *Worker) *Worker {
	var present *Worker
	for _, o := range s.workers {
		if o.sharesAddressee(w) && !o.ended && o.inc.Address() != "" && (present == nil || o.lastKnown().After(present.lastKnown())) {
			present = o
		}
	}
	return present
}

// anotherRegistered reports whether another incarnation of a worker's addressee is registered.
func (s *Scheduler) anotherRegistered(w *Worker) bool {
	for _, o := range s.workers {
		if o.sharesAddressee(w) && o.listed && !o.ended {
			return true
		}
	}
	return false
}

// moveToLater moves the runs of a worker that has ended to later, if later may have them or may
// still accept their starts.
func (s *Scheduler) moveToLater(now time.Time, former, later *Worker, cause endCause) {
	died := former.begunRuns()
	for _, r := range died {
		if !r.mayBeOnLater() || later.runs[r.name] != nil {
			continue
		}
		if r.uncertainty == nil {
			r.uncertainty = &uncertainty{cause, crashCase(died, r, former), len(died) - 1}
		}
		suspected, quarantined := r.suspected, r.quarantined
		former.removeRun(r) // counts it like any other run until its suspicion is set again below
		r.worker, r.listed, r.confirmed, r.suspected, r.quarantined = later, false, false, suspected, quarantined
		later.addRun(r)
		delete(later.startsToRuleOut, r.TaskRun())
		if r.state == runAwaitingReport {
			r.state = runSent // the incarnation that ruled it out may be the one that has ended
			r.stopAgainAt = now
		}
		r.resendAt = time.Time{} // its start may only be sent again if the run is placed on this worker
		event.RunMayHaveFollowed.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number), slog.String("incarnation", string(former.inc.ID())),
			slog.String("later", string(later.inc.ID())), slog.Int("unanswered", r.unanswered), slog.Duration("sinceSeen", r.sinceSeen(now)))
	}
	s.pollNow[later] = struct{}{}
}

// markListed records that a report of the worker's incarnation lists the run, as running or
// ended, so the run did not die with an earlier incarnation.
func (r *Run) markListed() {
	r.listed = true
	if r.uncertainty == nil {
		return
	}
	r.uncertainty = nil
	if r.state == runLive {
		r.state = runSent // its start time was read from the clock of the earlier incarnation
	}
}

// notListedByLater handles an answer, to a poll sent at sent, in which the incarnation to which a
// run was moved does not list it. It reports whether the run has ended. A start that may still be in
// flight is ruled out by a stop first.
func (s *Scheduler) notListedByLater(now, sent time.Time, r *Run) bool {
	if r.state == runLive && r.unanswered == 0 {
		return sent.After(r.liveAt)
	}
	s.stop(now, r, "a later incarnation of its instance does not list it, and its start may still be in flight")
	return false
}

// recordEarlierLoss counts the end of the earlier incarnation against a run that was moved to a
// later one and is not there.
func (s *Scheduler) recordEarlierLoss(now time.Time, r *Run) {
	u := r.uncertainty
	r.uncertainty = nil
	if u.cause != causeCrashed {
		s.logLost(now, r, u.cause, u.otherRuns)
		return
	}
	s.countCrash(now, r, u.how, u.otherRuns)
}

// rememberStart records that a start may still be in flight to a later incarnation of a worker
// although the run is no longer wanted.
func (s *Scheduler) rememberStart(now time.Time, w *Worker, run pointport.TaskRun) {
	if !w.inc.ID().SharesAddressee() {
		return
	}
	to := w.inc.ID().Addressee()
	if s.startsInFlight[to] == nil {
		s.startsInFlight[to] = make(map[pointport.TaskRun]time.Time)
	}
	s.startsInFlight[to][run] = now
}

// startsToRuleOut returns the starts that an incarnation which is new to the owner must rule out
// first.
func (s *Scheduler) startsToRuleOut(id pointport.IncarnationID) map[pointport.TaskRun]bool {
	all := s.startsInFlight[id.Addressee()]
	if len(all) == 0 {
		return nil
	}
	starts := make(map[pointport.TaskRun]bool, len(all))
	for run := range all {
		starts[run] = true
	}
	return starts
}

// forgetOrders removes the records of orders that can no longer be in flight.
func (s *Scheduler) forgetOrders(now time.Time) {
	for to, until := range s.misdirectedLeaseEnds {
		if now.After(until) {
			delete(s.misdirectedLeaseEnds, to)
		}
	}
	for to, all := range s.startsInFlight {
		for run, at := range all {
			if now.Sub(at) > ruleOutRetention {
				delete(all, run)
			}
		}
		if len(all) == 0 {
			delete(s.startsInFlight, to)
		}
	}
}
