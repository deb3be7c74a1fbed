package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines when an incarnation that is not registered counts as gone.

// A RegistryCoverage is the latest interval in which the registrations could be read without
// interruption.
type RegistryCoverage struct {
	// Since is the time since which every read of the registrations from the store has succeeded,
	// zero if the last one failed.
	Since time.Time
	// Until is the time of the last successful read.
	Until time.Time
}

// goneAfter is for how long a registration must be missing, while the store answers, for its
// incarnation to count as gone. Registrations that expired during an outage of the store, or by
// mistake, are back about two seconds after the store answers again, and a watch of the store may
// lag by a second.
const goneAfter = 3 * time.Second

// SetRegistryCoverage sets the interval in which the registrations that the scheduler was last given
// could be read.
func (b *Scheduler) SetRegistryCoverage(s RegistryCoverage) { b.registryCoverage = s }

// gone reports whether a worker's registration has been removed for good: it has been missing for
// longer than one that expired by mistake. Time in which the registrations could not be read does
// not count, because the registration may have been there.
func (b *Scheduler) gone(w *Worker) bool {
	if w.listed || w.unlistedSince.IsZero() || b.registryCoverage.Since.IsZero() {
		return false
	}
	if b.laterRegistered(w) {
		return true
	}
	from := w.unlistedSince
	if b.registryCoverage.Since.After(from) {
		from = b.registryCoverage.Since
	}
	return b.registryCoverage.Until.Sub(from) >= goneAfter
}

// laterRegistered reports whether a later incarnation of a worker's instance is registered,
// which is possible only once the earlier one has ended.
func (b *Scheduler) laterRegistered(w *Worker) bool {
	id := w.inc.Instance()
	if id == "" {
		return false // its registration was never seen
	}
	for _, other := range b.workers {
		if other != w && other.listed && !other.ended && other.inc.Instance() == id && other.knownSince.After(w.knownSince) {
			return true
		}
	}
	return false
}

// updateListed records which workers are registered.
func (b *Scheduler) updateListed(now time.Time, listed map[pointport.IncarnationID]bool) {
	b.unlisted = b.unlisted[:0]
	for id, w := range b.workers {
		w.listed = listed[id]
		if !w.listed && !w.ended {
			b.unlisted = append(b.unlisted, w)
		}
		switch {
		case w.listed:
			w.unlistedSince, w.answeredUnlisted = time.Time{}, false
		case w.unlistedSince.IsZero():
			w.unlistedSince = now
		}
	}
}
