package schedule

import (
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
)

// This file defines what the owner of a pool knows of one incarnation.

const (
	// maxListedEnds is how many ends a report may list at once; the platform sets this limit. A
	// report that lists as many may omit further ones.
	maxListedEnds = 500
)

// A Worker is one incarnation of an instance, as the owner of its pool sees it.
type Worker struct {
	inc pointport.Incarnation
	// knownSince is when the owner first learned of the incarnation.
	knownSince time.Time
	runs       map[string]*Run // by task name
	free       pointport.Shape // capacity that is not reserved by runs
	// serving counts the runs of serving tasks, steps the runs of each step.
	serving int
	steps   map[stepRef]int

	// lease tracks when all runs on the worker have certainly ended if no further answer comes.
	lease executionLease
	// silent reports whether the last order or poll got no answer; silentSince is when that began.
	silent      bool
	silentSince time.Time
	// reportedAt is when the last report came.
	reportedAt time.Time
	// fullyReported reports whether this owner has got a report that listed all ends.
	fullyReported bool
	// pollRefused reports whether the last poll was answered by a refusal.
	pollRefused bool
	// ended reports whether the incarnation is known to have ended.
	ended bool
	// endedAt is when the end became known; answeredAfterEnd reports whether the incarnation
	// has answered since.
	endedAt          time.Time
	answeredAfterEnd bool
	// registered reports whether the registration has ever been seen, listed whether it is there
	// now. unlistedSince is when it was first found missing, zero while it is listed.
	registered    bool
	listed        bool
	unlistedSince time.Time
	// ignoredAddress is the last registered address that was ignored, because the incarnation has
	// answered at another one.
	ignoredAddress string
	// answeredUnlisted reports whether the incarnation has answered since it was last listed. It is
	// then alive and about to leave without having announced it.
	answeredUnlisted bool
	// lastEnd is the highest end number processed, acked the highest whose consequences are stored.
	lastEnd, acked int64
	// confirmedAck is the highest end number whose acknowledgement the incarnation has confirmed;
	// ackInFlight reports whether an acknowledgement is in flight.
	confirmedAck int64
	ackInFlight  bool
	// lateAckUntil is until when an unanswered acknowledgement may still reach the instance.
	lateAckUntil time.Time
	// unstored counts the ends on the worker whose consequences are not stored.
	unstored int
	// refusingUntil is until when nothing is placed on the worker because it refused a start or
	// could not be reached.
	refusingUntil time.Time
	// closedUntil is until when nothing is placed on the worker because its instance is to be moved
	// or maintained. evacuating reports whether serving tasks are to be moved off it.
	// claimedForDisplaced reports whether another pool is to get it for a displaced task, so that tasks
	// that end are to be stopped there.
	closedUntil         time.Time
	evacuating          bool
	claimedForDisplaced bool
	// coldUntil is until when the instance is slow after its start.
	coldUntil time.Time
	// orderedEndAt is when the owner learned that an order to move or maintain the instance's machine
	// was carried out, zero if it has not. answeredPollSentAt is when the last poll that the incarnation
	// has answered was sent.
	orderedEndAt       time.Time
	answeredPollSentAt time.Time
	// suspected and quarantined count the runs that are marked as such.
	suspected, quarantined int
	// expiredRuns holds the runs that were given up because the instance was silent until its lease
	// ended. If it crashed, it may have done so under them.
	expiredRuns []*Run
	// strays is how many runs the instance reports that no task is placed as. Their reservations
	// are unknown, so nothing is placed on the worker until they are gone.
	strays int
	// startsToRuleOut holds runs that were given up although an unanswered start may still be in
	// flight. The instance would accept such a start as long as its lease is extended. So each run
	// is stopped, which rules the start out, before the lease is extended or anything is placed on
	// the worker again.
	startsToRuleOut map[pointport.TaskRun]bool
	// ruleOutAt is when these runs may be stopped again.
	ruleOutAt time.Time
	// paced is when the pace of tasks on the worker was last changed.
	paced  time.Time
	health health
	// zones holds the evacuation states of the availability zones; the scheduler's workers share
	// it.
	zones *evacuation.Zones
}

// Endpoint returns the identity and the address to which the worker's orders are sent.
func (w *Worker) Endpoint() pointport.Endpoint {
	return pointport.Endpoint{Incarnation: w.inc.ID(), Address: w.inc.Address()}
}

// Incarnation returns the worker's registration.
func (w *Worker) Incarnation() pointport.Incarnation { return w.inc }

// A Poll holds the parameters of a poll of an instance: up to which number the instance may forget
// its ends, and whether its answer may wait for an end.
type Poll struct {
	Acknowledged int64
	MayWait      bool
}

// NextPoll returns the parameters of the next poll of the worker, and records that this poll is
// sent.
//
// Where a later incarnation may share the addressee, an acknowledgement can reach that one instead.
// It numbers its ends from one and would forget its own unreported ends up to the acknowledged
// number. It has such ends if it has carried out a start that was meant for this incarnation.
// Therefore nothing is acknowledged while a run is uncertain, and no start is sent while an
// acknowledgement is in flight. A poll that acknowledges does not wait for an end, so that it is
// answered at once. Without these rules, a late acknowledgement destroyed the ends of runs that
// began and ended while it was in flight.
func (w *Worker) NextPoll() Poll {
	if !w.inc.ID().SharesAddressee() {
		return Poll{w.acked, true}
	}
	if !w.mayAcknowledge() {
		return Poll{0, true}
	}
	w.ackInFlight = true
	return Poll{w.acked, false}
}

// mayAcknowledge reports whether there are ends to acknowledge and no later incarnation can lose
// ends by the acknowledgement.
func (w *Worker) mayAcknowledge() bool {
	return w.acked > w.confirmedAck && !w.ackInFlight && !w.silent && !w.anyUncertain()
}

// lateAckTimeout is how long an acknowledgement that was not answered in time may still reach an
// instance through a slow peer.
const lateAckTimeout = time.Second

// AckInFlight reports whether an acknowledgement that could make a later incarnation forget its
// ends is in flight or may still arrive. No start may be sent meanwhile.
func (w *Worker) AckInFlight(now time.Time) bool {
	return w.ackInFlight || now.Before(w.lateAckUntil)
}

// PollDone records at now whether the worker's incarnation has answered a poll in time. It reports
// whether the next poll should be sent immediately.
func (w *Worker) PollDone(p Poll, now time.Time, answered bool) bool {
	if !p.MayWait {
		w.ackInFlight = false
		if answered {
			w.confirmedAck = max(w.confirmedAck, p.Acknowledged)
		} else {
			w.lateAckUntil = now.Add(lateAckTimeout)
		}
		return answered
	}
	return answered && w.inc.ID().SharesAddressee() && w.mayAcknowledge()
}

// anyUncertain reports whether a later incarnation may have taken a start that was meant for this
// one.
func (w *Worker) anyUncertain() bool {
	if !w.inc.ID().SharesAddressee() {
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

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlierTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Ended reports whether the incarnation is known to have ended.
func (w *Worker) Ended() bool { return w.ended }

// HasAnswered reports whether an answer of the worker has shown its clock.
func (w *Worker) HasAnswered() bool { return w.lease.clockKnown() }

// Silent reports whether the last order or poll got no answer.
func (w *Worker) Silent() bool { return w.silent }

// SilentFor returns how long the worker has been silent, zero if it is not.
func (w *Worker) SilentFor(now time.Time) time.Duration {
	if !w.silent {
		return 0
	}
	return now.Sub(w.silentSince)
}

// ReportedSince reports whether the worker has sent a report after t.
func (w *Worker) ReportedSince(t time.Time) bool { return w.reportedAt.After(t) }

// ExtendLease returns the time on the instance's clock that is ahead from now by lease, and records
// that runs may continue up to it. It returns zero while the clock is not known.
//
// While the instance is silent, or starts on it are to be ruled out, ExtendLease returns the last
// extension again: the instance may receive orders although its answers are lost, and its runs
// would never expire.
//
// Where a later incarnation may share the addressee, it may receive the order and read the time by its
// own clock. So ExtendLease then returns zero, which extends nothing, in these cases and for an
// instance without runs. After an extension that the later one may receive, runs that are lost with
// it are certain to have ended only 20 s later.
func (w *Worker) ExtendLease(now time.Time, lease time.Duration) pointport.InstanceTime {
	mustNotExtend := w.silent || len(w.startsToRuleOut) > 0
	switch {
	case w.inc.ID().SharesAddressee() && (mustNotExtend || len(w.runs) == 0):
		return 0
	case mustNotExtend || !w.lease.clockKnown():
		return w.lease.extendedUntil()
	}
	return w.lease.extend(now, lease)
}

// markSilent records that the worker does not answer.
func (w *Worker) markSilent(now time.Time) {
	if !w.silent {
		w.silent, w.silentSince = true, now
	}
}

// polled reports whether the worker is polled regularly.
func (w *Worker) polled() bool {
	return !w.ended && w.inc.Address() != "" && (w.listed || len(w.runs) > 0)
}

// usable reports whether new tasks may be placed on the worker.
func (w *Worker) usable(now time.Time) bool { return w.unusableReason(now) == reasonNone }

const (
	// reasonNone means that a worker is usable.
	reasonNone = ""
	// reasonAvoided is the last of the reasons that unusableReason checks, so a worker with it could
	// be used otherwise.
	reasonAvoided = "avoided for its failures"
)

// unusableReason returns why nothing may be placed on the worker, empty if it is usable.
func (w *Worker) unusableReason(now time.Time) string {
	switch {
	case !w.listed:
		return "not registered"
	case w.ended:
		return "over"
	case !w.lease.clockKnown(), w.silent:
		return "silent"
	case w.inc.Draining():
		return "leaving"
	case w.zoneState() == evacuation.Evacuated:
		return "in an evacuated availability zone"
	case w.zoneState() == evacuation.Unknown:
		return "in an availability zone that may be evacuated"
	case w.endingByOrder():
		return "being moved or maintained"
	case w.closed(now):
		return "closed for a move or for maintenance"
	case w.strays > 0:
		return "running what it should not"
	case len(w.startsToRuleOut) > 0:
		return "being asked to forget starts"
	case now.Before(w.refusingUntil):
		return "refusing starts"
	case w.health.avoided(now):
		return reasonAvoided
	}
	return reasonNone
}

// addRun adds a run and reserves its capacity.
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

// removeRun removes a run and releases its capacity.
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

// hasAnyLabel reports whether the instance has at least one of the labels.
func (w *Worker) hasAnyLabel(labels map[string]bool) bool {
	for _, l := range w.inc.Labels() {
		if labels[l] {
			return true
		}
	}
	return false
}

// freeAfterTasks returns the free capacity that remains once all runs but those of serving tasks
// have ended.
func (w *Worker) freeAfterTasks() pointport.Shape {
	free := w.free
	for _, r := range w.runs {
		if !r.step().Service {
			free = free.Plus(r.step().Reservation())
		}
	}
	return free
}

// hasLabel reports whether the instance has a label; every instance has the empty label.
func (w *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.inc.Labels(), label)
}
