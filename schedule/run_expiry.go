package schedule

import (
	"time"
)

// This file defines by when a run has certainly ended if its instance does not answer any more, and how
// runs are confirmed, so that a new owner need not wait for longer.

// executionExpiry returns when everything whose start was sent to the worker has certainly ended if
// no further answer comes, including what a later incarnation may have accepted.
func (s *Scheduler) executionExpiry(w *Worker) time.Time {
	if !w.anyUncertain() {
		return w.lease.expiry()
	}
	return laterTime(w.lease.expiry(), s.misdirectedUntil(w.lease.lastExtension))
}

// runExpiry returns when a run has certainly ended if no further answer comes.
func (s *Scheduler) runExpiry(r *Run) time.Time {
	lease := &r.worker.lease
	switch {
	case r.uncertain():
		return laterTime(lease.expiry(), s.misdirectedUntil(lease.lastExtension))
	case r.confirmed && !lease.extended:
		return s.tookOverAt.Add(s.settings.PredecessorBound)
	case r.inherited && !r.confirmed:
		return laterTime(lease.expiry(), lease.inherited) // orders of the former owner may have extended it by more
	}
	return lease.expiry()
}

// anyRunExpired reports whether a run on the worker has certainly ended if no further answer comes.
func (s *Scheduler) anyRunExpired(w *Worker, now time.Time) bool {
	for _, r := range w.runs {
		if now.After(s.runExpiry(r)) {
			return true
		}
	}
	return false
}

// confirmRun records that a report of the worker's incarnation lists the run of a serving task, once
// this owner has extended what runs there, and no order of it that was meant for another incarnation
// can extend it for longer than a successor waits in any case. That is stored, so that a successor need
// not wait for what a later incarnation might run. With only the record of the start it would have to
// wait for 12 s, longer than a serving task may be away; see serving_place.go.
func (s *Scheduler) confirmRun(now time.Time, r *Run) {
	w := r.worker
	if r.confirmed || !r.step().Service || !w.inc.ID().SharesAddressee() || r.uncertain() || r.detached() {
		return
	}
	if !w.lease.extended || now.Add(s.settings.PredecessorBound).Before(w.lease.misdirectedUntil) {
		return
	}
	t := r.task()
	if t == nil || t.Run != r.number {
		return
	}
	r.confirmed = true
	t.On, t.Confirmed = w.inc.ID(), r.number // the run may have followed from an earlier incarnation
	s.markDirty(r.entry, true)
}
