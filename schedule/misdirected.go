package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines for how long misdirected orders may extend what runs on an instance, and what an
// owner stores and infers of them.
//
// An order is misdirected if it was meant for one incarnation and carried out by a later one of the same
// addressee. That one reads the extension by its own clock, so what runs there may go on by up to MaxHold.
// An owner knows which of its own orders may be misdirected. Of those of the former owners it knows what
// is stored with the runs: that a run is confirmed, or that misdirected orders may extend it.

// maxOrderDelay bounds how long an order may be in flight, and be delayed by the incarnation that it
// reaches, until that incarnation carries it out. The platform documents seconds.
const maxOrderDelay = 10 * time.Second

// misdirectedUntil returns until when a later incarnation may run tasks, or extend what it runs, by
// an order that was sent at sent and meant for an earlier incarnation.
func (s *Scheduler) misdirectedUntil(sent time.Time) time.Time {
	return s.grantedUntil(sent.Add(maxOrderDelay))
}

// grantedUntil returns until when an instance may run tasks by an order that it has carried out at the
// given time. It grants at most MaxHold.
func (s *Scheduler) grantedUntil(carriedOut time.Time) time.Time {
	return carriedOut.Add(time.Duration(float64(s.settings.MaxHold)*slowClock) + lapseSlack)
}

// noteMisdirected records until when orders to a worker that has ended may extend what later
// incarnations of its addressee run.
func (s *Scheduler) noteMisdirected(w *Worker) {
	if !w.inc.ID().SharesAddressee() {
		return
	}
	to, until := w.inc.ID().Addressee(), s.misdirectedUntil(w.lease.lastExtension)
	s.misdirectedLeaseEnds[to] = laterTime(s.misdirectedLeaseEnds[to], until)
	for _, o := range s.workers {
		if o.sharesAddressee(w) {
			o.lease.misdirectedUntil = laterTime(o.lease.misdirectedUntil, until)
			s.storeAllMisdirected(o)
		}
	}
}

// storeMisdirected stores with the run of a serving task that misdirected orders may extend it. A new
// owner does not know of these orders otherwise.
func (s *Scheduler) storeMisdirected(r *Run) {
	t := r.task()
	if !r.step().Service || r.detached() || t == nil || t.Run != r.number || t.Misdirected == r.number {
		return
	}
	t.Misdirected = r.number
	s.markDirty(r.entry, true)
}

// storeAllMisdirected is storeMisdirected for all runs on a worker.
func (s *Scheduler) storeAllMisdirected(w *Worker) {
	for _, r := range w.runs {
		s.storeMisdirected(r)
	}
}

// noteFormerOrders records what an inherited run tells of orders that were meant for an earlier
// incarnation. If the former owner has confirmed the run, they extend nothing on the worker for longer
// than PredecessorBound; see confirmRun. They may if it has stored so; see storeMisdirected.
func (s *Scheduler) noteFormerOrders(r *Run) {
	id, lease := r.worker.inc.ID(), &r.worker.lease
	if !id.SharesAddressee() {
		return
	}
	if s.formerTargets[id.Addressee()] == nil {
		s.formerTargets[id.Addressee()] = make(map[pointport.IncarnationID]bool)
	}
	s.formerTargets[id.Addressee()][id] = true
	switch {
	case r.confirmed:
		lease.formerConfirmed = true
		lease.misdirectedUntil = laterTime(lease.misdirectedUntil, s.tookOverAt.Add(s.settings.PredecessorBound))
	case r.task().Misdirected == r.number:
		lease.formerMisdirected = true
	}
}

// formerMayMisdirect reports whether orders of former owners may have been meant for an earlier
// incarnation and carried out by the worker's.
func (s *Scheduler) formerMayMisdirect(w *Worker) bool {
	if w.lease.formerConfirmed || w.lease.formerMisdirected {
		return !w.lease.formerConfirmed
	}
	for id := range s.formerTargets[w.inc.ID().Addressee()] {
		if id != w.inc.ID() {
			return true
		}
	}
	return false
}

// boundFormerMisdirected records until when orders of former owners that were meant for an earlier
// incarnation may extend what runs on a worker that answers at now. From its first answer on, the
// instance refuses orders of former owners.
func (s *Scheduler) boundFormerMisdirected(w *Worker, now time.Time) {
	if w.lease.clockKnown() || !s.formerMayMisdirect(w) {
		return
	}
	lastSent := s.tookOverAt.Add(s.settings.PredecessorBound - s.settings.Lease)
	until := earlierTime(s.grantedUntil(now), s.misdirectedUntil(lastSent))
	w.lease.misdirectedUntil = laterTime(w.lease.misdirectedUntil, until)
	s.storeAllMisdirected(w)
}

// misdirectedMayExtend reports whether misdirected orders may extend what runs on a worker for longer than
// PredecessorBound after the takeover. For runs that the former owner has confirmed they do not, and a
// successor waits for as long in any case.
func (s *Scheduler) misdirectedMayExtend(w *Worker, now time.Time) bool {
	until := w.lease.misdirectedUntil
	return now.Before(until) && until.After(s.tookOverAt.Add(s.settings.PredecessorBound))
}
