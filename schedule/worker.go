package schedule

import (
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
)

// This file defines what the owner of a pool knows of one incarnation.

const (
	// maxListedEnds is how many ends a report may list at once; the platform
	// sets it. With as many, further ones may be missing.
	maxListedEnds = 500
)

// A Worker is one incarnation of an instance, as the owner of its pool sees it.
type Worker struct {
	inc pointport.Incarnation
	// since is when the owner first heard of the incarnation.
	since time.Time
	runs  map[string]*Run // by task name
	free  pointport.Shape // what is left of the capacity
	// serving counts the runs that are serving tasks, steps those of each step.
	serving int
	steps   map[stepRef]int

	// lease says when everything there has surely ended, if no further answer comes.
	lease executionLease
	// silent says that the last order or look got no answer.
	silent      bool
	silentSince time.Time
	// reported is when it last said what it runs.
	reported time.Time
	// pollRefused says that the last look was answered, by a refusal.
	pollRefused bool
	// ended says that the incarnation is known to be over.
	ended bool
	// endedAt is since when, answeredOver says that it has answered all the same.
	endedAt      time.Time
	answeredOver bool
	// registered says that its registration has been seen, listed that it is there now,
	// unlistedSince since when it is not.
	registered    bool
	listed        bool
	unlistedSince time.Time
	// answeredUnlisted says that it has answered since it was last listed, so that it is
	// alive and about to leave without having said so.
	answeredUnlisted bool
	// seen is the highest end number taken in, acked the highest whose
	// consequences are stored.
	seen, acked int64
	// told is the highest end number that the life has been told to forget; acknowledging says that
	// it is being told.
	told          int64
	acknowledging bool
	// acknowledgedLate is until when one without an answer may reach the instance.
	acknowledgedLate time.Time
	// unstored counts the ends there whose consequences are not stored.
	unstored int
	// fullUntil is until when nothing is placed there, because the instance
	// refused a start.
	fullUntil time.Time
	// closedUntil is until when nothing is placed there because the instance is
	// to be moved or maintained; evacuating says that serving tasks move off.
	closedUntil time.Time
	evacuating  bool
	// coldUntil is until when it is slow from its start.
	coldUntil time.Time
	// movedOrMaintained says that an order about its machine was carried out.
	movedOrMaintained bool
	// suspected and quarantined count such runs.
	suspected, quarantined int
	// expiredRuns holds the runs that were given up because the instance was silent until
	// their time was over. If it has crashed, it did so under them.
	expiredRuns []*Run
	// strays is how many runs the instance has that no task is placed as. Their
	// room is not known, so nothing is placed until they are gone.
	strays int
	// startsToRuleOut holds runs that were given up although a start order had got no
	// answer and may still be under way. The instance would take it as long as its
	// time is extended, so each is stopped, which rules it out, before anything is
	// extended or placed there again.
	startsToRuleOut map[pointport.TaskRun]bool
	// burnAt is when they may be stopped again.
	burnAt time.Time
	// paced is when the pace of tasks there was last changed.
	paced  time.Time
	health health
	// zones is what the book knows of evacuated availability zones.
	zones *evacuation.Zones
}

// Endpoint returns where the worker takes orders.
func (w *Worker) Endpoint() pointport.Endpoint {
	return pointport.Endpoint{Incarnation: w.inc.ID(), Address: w.inc.Address()}
}

// Incarnation returns what the worker's registration says.
func (w *Worker) Incarnation() pointport.Incarnation { return w.inc }

// A Poll is what to ask of an instance: to forget its ends up to a number, and whether its answer may
// wait for an end.
type Poll struct {
	Acknowledged int64
	MayWait      bool
}

// NextPoll returns what to ask next of the worker, and notes that it is asked that.
//
// A later life that takes over the addressee forgets its own ends up to the number that it is told,
// unheard, and numbers them from one. It may have some once it has taken a start that was meant for
// this one. So where lives may share an addressee, nothing is acknowledged while a run is uncertain,
// and while an acknowledgement is under way no start is sent; it waits for no end, to be answered at
// once. An acknowledgement that came late has destroyed the ends of runs that began and ended while
// it was under way.
func (w *Worker) NextPoll() Poll {
	if !w.inc.ID().Shares() {
		return Poll{w.acked, true}
	}
	if !w.mayAcknowledge() {
		return Poll{0, true}
	}
	w.acknowledging = true
	return Poll{w.acked, false}
}

// mayAcknowledge reports whether there is something to acknowledge, and nothing that a later life
// could forget by that.
func (w *Worker) mayAcknowledge() bool {
	return w.acked > w.told && !w.acknowledging && !w.silent && !w.anyUncertain()
}

// lateAcknowledgement is for how long an acknowledgement that got no answer in time may still reach
// an instance, through a peer that was late.
const lateAcknowledgement = time.Second

// AckInFlight reports whether an acknowledgement is under way by which a later life could forget
// what it ended. No start may be sent meanwhile.
func (w *Worker) AckInFlight(now time.Time) bool {
	return w.acknowledging || now.Before(w.acknowledgedLate)
}

// PollDone takes in at now that a look was answered by the worker's life, or not in time. It reports
// whether the next one need not wait.
func (w *Worker) PollDone(l Poll, now time.Time, answered bool) bool {
	if !l.MayWait {
		w.acknowledging = false
		if answered {
			w.told = max(w.told, l.Acknowledged)
		} else {
			w.acknowledgedLate = now.Add(lateAcknowledgement)
		}
		return answered
	}
	return answered && w.inc.ID().Shares() && w.mayAcknowledge()
}

// anyUncertain reports whether a later life may have taken a start that was meant for this one.
func (w *Worker) anyUncertain() bool {
	if !w.inc.ID().Shares() {
		return false
	}
	if len(w.startsToRuleOut) > 0 {
		return true
	}
	for _, r := range w.runs {
		if r.uncertain() {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Ended reports whether the incarnation is known to be over.
func (w *Worker) Ended() bool { return w.ended }

// HasAnswered reports whether the worker has answered yet.
func (w *Worker) HasAnswered() bool { return w.lease.clockKnown() }

// Silent reports whether the last order or look got no answer.
func (w *Worker) Silent() bool { return w.silent }

// SilentFor returns for how long the worker has been silent, zero if it is not.
func (w *Worker) SilentFor(now time.Time) time.Duration {
	if !w.silent {
		return 0
	}
	return now.Sub(w.silentSince)
}

// ReportedSince reports whether the worker has said what it runs after a time.
func (w *Worker) ReportedSince(t time.Time) bool { return w.reported.After(t) }

// ExtendLease returns the time on the instance's clock that is ahead from now by
// lease, and notes that tasks may run up to it. It returns zero while the clock
// is not known, and nothing later than before while the instance is silent: it
// may hear what it does not answer, and its tasks would never expire.
func (w *Worker) ExtendLease(now time.Time, lease time.Duration) pointport.InstanceClock {
	switch {
	case w.silent && w.inc.ID().Shares():
		return 0 // a later life may hear it, to whose clock the time says something else
	case !w.lease.clockKnown() || w.silent || len(w.startsToRuleOut) > 0:
		return w.lease.extendedUntil()
	}
	return w.lease.extend(now, lease)
}

// markSilent takes in that the worker gives no answer.
func (w *Worker) markSilent(now time.Time) {
	if !w.silent {
		w.silent, w.silentSince = true, now
	}
}

// lookedAt reports whether the worker is asked again and again what it runs.
func (w *Worker) lookedAt() bool {
	return !w.ended && w.inc.Address() != "" && (w.listed || len(w.runs) > 0)
}

// usable reports whether new tasks may be placed on the worker.
func (w *Worker) usable(now time.Time) bool { return w.barred(now) == "" }

// barred says why nothing may be placed on the worker, empty if something may.
func (w *Worker) barred(now time.Time) string {
	switch {
	case !w.listed:
		return "not registered"
	case w.ended:
		return "over"
	case !w.lease.clockKnown(), w.silent:
		return "silent"
	case w.inc.Draining():
		return "leaving"
	case w.standing() == evacuation.Evacuated:
		return "in an evacuated availability zone"
	case w.standing() == evacuation.Unknown:
		return "in an availability zone that may be evacuated"
	case w.closed(now):
		return "closed for a move or for maintenance"
	case w.strays > 0:
		return "running what it should not"
	case len(w.startsToRuleOut) > 0:
		return "being asked to forget starts"
	case now.Before(w.fullUntil):
		return "refusing starts"
	case w.health.avoided(now):
		return "avoided for its failures"
	}
	return ""
}

// addRun adds a run and takes its room.
func (w *Worker) addRun(r *Run) {
	w.runs[r.name] = r
	w.steps[r.stepRef()]++
	if r.step().Service {
		w.serving++
	}
	if r.suspected {
		w.suspected++
	}
	if r.quarantined {
		w.quarantined++
	}
	w.free = w.free.Minus(r.step().Reservation())
}

// removeRun removes a run and gives its room back.
func (w *Worker) removeRun(r *Run) {
	if w.runs[r.name] != r {
		return
	}
	delete(w.runs, r.name)
	if w.steps[r.stepRef()]--; w.steps[r.stepRef()] == 0 {
		delete(w.steps, r.stepRef())
	}
	if r.step().Service {
		w.serving--
	}
	w.clearSuspicion(r)
	w.free = w.free.Plus(r.step().Reservation())
}

// hasAny reports whether the instance has any of some labels.
func (w *Worker) hasAny(labels map[string]bool) bool {
	for _, l := range w.inc.Labels() {
		if labels[l] {
			return true
		}
	}
	return false
}

// soonFree returns what is left of the capacity once the runs have ended that end
// by themselves.
func (w *Worker) soonFree() pointport.Shape {
	free := w.free
	for _, r := range w.runs {
		if !r.step().Service {
			free = free.Plus(r.step().Reservation())
		}
	}
	return free
}

// hasLabel reports whether the instance has a label; an empty one is had by all.
func (w *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.inc.Labels(), label)
}
