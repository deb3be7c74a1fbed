package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines how registrations are followed, and when an incarnation that is not registered
// counts as gone.

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
func (s *Scheduler) SetRegistryCoverage(coverage RegistryCoverage) { s.registryCoverage = coverage }

// SetIncarnations updates the workers from the registrations of the pool's instances.
func (s *Scheduler) SetIncarnations(now time.Time, all []pointport.Incarnation) {
	listed := make(map[pointport.IncarnationID]bool, len(all))
	for _, inc := range all {
		listed[inc.ID()] = true
		s.register(now, inc)
	}
	s.updateListed(now, listed)
	s.sweep(now)
}

func (s *Scheduler) register(now time.Time, inc pointport.Incarnation) {
	w := s.worker(now, inc.ID())
	if !w.registered {
		w.registered = true
		s.pollNow[w] = struct{}{}
		s.restoreHealth(w, inc.Instance())
	}
	s.resize(w, inc.Capacity())
	leaving := inc.Draining() && !w.inc.Draining()
	if inc.ColdRemaining() != w.inc.ColdRemaining() { // each change of the registration gives the remaining cold time
		w.coldUntil = now.Add(inc.ColdRemaining())
	}
	w.inc = s.withKnownAddress(w, inc)
	if leaving {
		s.handleDraining(now, w)
	}
}

// withKnownAddress returns a registration with the address at which the incarnation has answered, if
// it has. An incarnation keeps its address, so a registration with another one comes from another
// writer. The instance at that address would answer that it is not the one meant, which would count as
// the end of an incarnation that runs on.
func (s *Scheduler) withKnownAddress(w *Worker, inc pointport.Incarnation) pointport.Incarnation {
	known := w.inc.Address()
	if !w.lease.clockKnown() || known == "" || inc.Address() == known {
		return inc
	}
	if w.ignoredAddress != inc.Address() {
		w.ignoredAddress = inc.Address()
		event.AddressIgnored.Log(s.logger, slog.String("incarnation", string(inc.ID())), slog.String("address", inc.Address()), slog.String("known", known))
	}
	return inc.AtAddress(known)
}

// gone reports whether a worker's registration has been removed for good: it has been missing for
// longer than one that expired by mistake. Time in which the registrations could not be read does
// not count, because the registration may have been there.
func (s *Scheduler) gone(w *Worker) bool {
	if w.listed || w.unlistedSince.IsZero() || s.registryCoverage.Since.IsZero() {
		return false
	}
	if s.laterRegistered(w) {
		return true
	}
	from := w.unlistedSince
	if s.registryCoverage.Since.After(from) {
		from = s.registryCoverage.Since
	}
	return s.registryCoverage.Until.Sub(from) >= goneAfter
}

// laterRegistered reports whether a later incarnation of a worker's instance is registered,
// which is possible only once the earlier one has ended.
func (s *Scheduler) laterRegistered(w *Worker) bool {
	id := w.inc.Instance()
	if id == "" {
		return false // its registration was never seen
	}
	for _, other := range s.workers {
		if other != w && other.listed && !other.ended && other.inc.Instance() == id && other.knownSince.After(w.knownSince) {
			return true
		}
	}
	return false
}

// updateListed records which workers are registered.
func (s *Scheduler) updateListed(now time.Time, listed map[pointport.IncarnationID]bool) {
	s.unlisted = s.unlisted[:0]
	for id, w := range s.workers {
		w.listed = listed[id]
		if !w.listed && !w.ended {
			s.unlisted = append(s.unlisted, w)
		}
		switch {
		case w.listed:
			w.unlistedSince, w.answeredUnlisted = time.Time{}, false
		case w.unlistedSince.IsZero():
			w.unlistedSince = now
		}
	}
}
