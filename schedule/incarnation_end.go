package schedule

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines how an owner learns that an incarnation has ended, and what that means for its runs.
// How a crash counts against the tasks there is defined in crash.go.

// An endCause is the reason why an incarnation has ended.
type endCause string

const (
	// causeCrashed: the end was neither announced nor ordered.
	causeCrashed endCause = "crashed"
	// causeLeft: the instance had announced that it leaves, or it still answered after its
	// registration was gone.
	causeLeft endCause = "left"
	// causeOrdered: it was empty and closed for a move or for maintenance.
	causeOrdered endCause = "ordered"
)

// endCause returns why the incarnation has ended, as known at the time at which its end is learned.
// An instance is moved or maintained only while nothing runs there, so the end of one that has runs
// was not ordered.
func (w *Worker) endCause(now time.Time) endCause {
	switch {
	case w.inc.Draining(), w.answeredUnlisted:
		return causeLeft
	case len(w.runs) == 0 && (w.closed(now) || w.endOrdered()):
		return causeOrdered
	}
	return causeCrashed
}

// EndIncarnation handles proof that an incarnation has ended.
func (s *Scheduler) EndIncarnation(now time.Time, id pointport.IncarnationID) {
	if w := s.workers[id]; w != nil && !w.ended {
		s.endConfirmed(w, now, "the platform says so")
	}
}

// endConfirmed handles the certain end of an incarnation. While a start that was sent to it may be
// on a later one of the same addressee and no later one is known, only the runs that cannot be there
// have ended; the others stay where they are.
func (s *Scheduler) endConfirmed(w *Worker, now time.Time, why string) {
	later := s.presentIncarnation(w)
	if later == nil && w.anyUncertain() {
		s.endCertainRuns(w, now, why)
		return
	}
	s.workerEnded(w, now, why, later)
}

// endCertainRuns handles the end of those runs of an ended incarnation that no later incarnation can
// have.
func (s *Scheduler) endCertainRuns(w *Worker, now time.Time, why string) {
	cause, there := w.endCause(now), w.begunRuns()
	var died []*Run
	for _, r := range there {
		if !r.uncertain() {
			died = append(died, r)
		}
	}
	if len(died) == 0 {
		return
	}
	event.WorkerEnded.Log(s.logger, slog.String("incarnation", string(w.inc.ID())), slog.Int("runs", len(died)), slog.Int("uncertain", len(there)-len(died)),
		slog.String("cause", string(cause)), slog.String("reason", why), slog.Duration("sinceHeard", w.lease.sinceLastAnswer(now)))
	for _, r := range died {
		s.drop(now, r, "its incarnation is over")
	}
	s.urgent = true
	if cause == causeCrashed {
		s.countCrashes(now, died, there, w)
	}
}

// noteOrderedEnd records that an order to move or maintain the machine of an incarnation was carried
// out, so that its end does not count as a crash. Its registration is removed only after several
// missed heartbeats, and the platform's list of machines lags too. Until one of them shows the end,
// polls of the incarnation would fail, and it would count as silent and then as crashed, so that the
// instance would be avoided when it comes back. Nothing is placed there meanwhile, because the end
// would count as a crash under the tasks.
func (s *Scheduler) noteOrderedEnd(now time.Time, end OrderedEnd) {
	w := s.workers[end.Incarnation]
	if w == nil || w.ended {
		return
	}
	if !w.endOrdered() {
		w.orderedEndAt = now
		s.pollNow[w] = struct{}{} // an answer shows that the order did not end this incarnation
	}
	if end.Sure && len(w.runs) == 0 {
		s.endConfirmed(w, now, "its machine was moved")
	}
}

// endOrdered reports whether an order to move or maintain the instance's machine was carried out.
func (w *Worker) endOrdered() bool { return !w.orderedEndAt.IsZero() }

// endingByOrder reports whether such an order has probably ended the incarnation: no poll has been
// answered that was sent since the order is known.
func (w *Worker) endingByOrder() bool {
	return w.endOrdered() && w.answeredPollSentAt.Before(w.orderedEndAt)
}

// endReported handles a report, derived from the platform's list of machines, that an incarnation is
// silent and no longer listed. An answer since then takes precedence, including a refused poll.
func (s *Scheduler) endReported(now time.Time, id pointport.IncarnationID) {
	w := s.workers[id]
	if w != nil && !w.ended && w.lease.clockKnown() && (!w.silent || w.pollRefused) {
		event.IncarnationAlive.Log(s.logger, slog.String("incarnation", string(id)), slog.Int("runs", len(w.runs)), slog.Duration("sinceHeard", w.lease.sinceLastAnswer(now)))
		return
	}
	s.EndIncarnation(now, id)
}

// endEarlierIncarnations ends the earlier incarnations of a worker's machine after the worker has
// answered a poll that was sent at sent. A machine has one incarnation at a time, so those that the
// owner knew before sent, and has had no sign of since, have ended. Their tasks then need not wait
// for the list of machines or for a lease to expire.
func (s *Scheduler) endEarlierIncarnations(w *Worker, sent, now time.Time) {
	id := w.inc.Instance()
	for _, former := range s.earlierCandidates(w) {
		if former == w || former.ended || s.workers[former.inc.ID()] != former || !former.lastKnown().Before(sent) {
			continue
		}
		switch {
		case former.sharesAddressee(w):
			s.workerEnded(former, now, "a later incarnation of its addressee answers", w)
		case id != "" && former.inc.Instance() == id:
			s.workerEnded(former, now, "a later incarnation of its instance answers", nil)
		}
	}
}

// earlierCandidates returns the workers that may be earlier incarnations of a worker's machine: all
// workers at its first answer, and later only those that are not registered.
func (s *Scheduler) earlierCandidates(w *Worker) []*Worker {
	if w.lease.clockKnown() {
		return s.unlisted
	}
	return slices.Collect(maps.Values(s.workers))
}

// lastKnown returns when the owner last had a sign of the incarnation: its last answer, or when the
// owner first learned of it.
func (w *Worker) lastKnown() time.Time {
	if w.lease.answeredAt.After(w.knownSince) {
		return w.lease.answeredAt
	}
	return w.knownSince
}

// workerEnded handles the end of an incarnation. The runs there have died, except those that may be
// on later, a later incarnation of the same addressee; later is nil if none is known.
func (s *Scheduler) workerEnded(w *Worker, now time.Time, why string, later *Worker) {
	cause, there := w.endCause(now), w.begunRuns()
	if later != nil {
		s.moveToLater(now, w, later, cause)
	}
	died := w.begunRuns()
	for _, r := range died {
		r.uncertainty = nil // the end of this incarnation is counted, and only once
	}
	event.WorkerEnded.Log(s.logger, slog.String("incarnation", string(w.inc.ID())),
		slog.Int("runs", len(w.runs)), slog.String("cause", string(cause)), slog.String("reason", why), slog.Duration("sinceHeard", w.lease.sinceLastAnswer(now)))
	w.ended, w.endedAt = true, now
	s.noteMisdirected(w)
	s.dropAll(w, now, "its incarnation is over")
	if cause == causeCrashed {
		s.noteCrashOf(w, now)
		s.countCrashes(now, w.expiredRuns, w.expiredRuns, nil)
		s.countCrashes(now, died, there, w)
		return
	}
	for _, r := range died {
		s.logLost(now, r, cause, len(died)-1)
	}
}

// noteAnswerAfterEnd logs, once, that an incarnation that counts as ended has answered.
func (s *Scheduler) noteAnswerAfterEnd(w *Worker, now time.Time) {
	if w.answeredAfterEnd {
		return
	}
	w.answeredAfterEnd = true
	event.EndedIncarnationAnswered.Log(s.logger, slog.String("incarnation", string(w.inc.ID())), slog.Duration("since", now.Sub(w.endedAt)))
}

// begunRuns returns the runs that may have begun on the worker: those whose start was sent, and
// those found in the store.
func (w *Worker) begunRuns() []*Run {
	var out []*Run
	for _, r := range w.runs {
		if r.mayHaveBegun() {
			out = append(out, r)
		}
	}
	return out
}
