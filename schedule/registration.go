package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines when an incarnation that is not registered counts as gone.

// A RegistryCoverage says how well the registrations are known.
type RegistryCoverage struct {
	// Since is since when each question to the store about them has been answered, zero
	// while the last one was not.
	Since time.Time
	// Until is when the last answer came.
	Until time.Time
}

// goneAfter is for how long a registration must be missing, while the store answers, for its
// incarnation to count as gone. Registrations that lapsed while the store was away, or by
// mistake, are back about two seconds after it answers again; and the store may keep a change
// from those who watch for a second.
const goneAfter = 3 * time.Second

// SetRegistryCoverage takes in how well the registrations are known that the book was told last.
func (b *Scheduler) SetRegistryCoverage(s RegistryCoverage) { b.sight = s }

// gone reports whether a worker has left the registrations for good: it has been missing for
// longer than one that lapsed by mistake. Time in which the registrations could not be read
// does not count: what is not seen then may be there.
func (b *Scheduler) gone(w *Worker) bool {
	if w.listed || w.unlistedSince.IsZero() || b.sight.Since.IsZero() {
		return false
	}
	if b.reborn(w) {
		return true
	}
	from := w.unlistedSince
	if b.sight.Since.After(from) {
		from = b.sight.Since
	}
	return b.sight.Until.Sub(from) >= goneAfter
}

// reborn reports whether a later life of a worker's instance is registered. It can register
// only once the earlier life is over.
func (b *Scheduler) reborn(w *Worker) bool {
	id := w.inc.Instance()
	if id == "" {
		return false // its registration was never seen
	}
	for _, other := range b.workers {
		if other != w && other.listed && !other.ended && other.inc.Instance() == id && other.since.After(w.since) {
			return true
		}
	}
	return false
}

// updateListed takes in which workers are registered.
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
