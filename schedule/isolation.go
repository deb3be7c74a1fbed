package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines when the owner of a pool suspects that it is isolated: so many registered
// instances do not answer that it is more likely the owner that is cut off.

const (
	// isolationShare is the share of the registered instances that must be silent for an owner to
	// suspect isolation. A zone that is cut off may have slightly more than half of a pool's
	// instances; an owner that is cut off together with one of three zones gets no answer from two
	// thirds.
	isolationShare = 0.6
	// isolationAfter is for how long that must last: if a peer that relays orders is late, or many
	// runs end at once, the answers arrive within a second.
	isolationAfter = time.Second
	// recoveryShare is the share of silent instances below which the suspicion ends. It is lower
	// than isolationShare, because an owner that gets more answers as it sends fewer starts would
	// otherwise keep switching.
	recoveryShare = isolationShare / 2
	// isolationMinSilent is the least number of silent instances for a suspicion: fewer may each
	// have failed independently, and their registrations are about to expire.
	isolationMinSilent = 4
)

// A reachability records how well an owner reaches the registered instances.
type reachability struct {
	silentShare     float64   // of the instances polled
	fewAnswersSince time.Time // since when few instances answer, zero while enough do
	suspectedSince  time.Time // zero while there is no suspicion
}

// A tally counts the registered instances that are polled, and the silent ones among them.
type tally struct{ polled, silent int }

func (t *tally) count(w *Worker) {
	if !w.listed || w.ended {
		return
	}
	t.polled++
	if w.silent {
		t.silent++
	}
}

// silentShare returns the share that is silent.
func (t tally) silentShare() float64 {
	if t.polled == 0 {
		return 0
	}
	return float64(t.silent) / float64(t.polled)
}

// updateReachability reviews the suspicion after the registered instances have been counted.
func (s *Scheduler) updateReachability(now time.Time, t tally) {
	s.reachability.silentShare = t.silentShare()
	suspects := s.shouldSuspect(now, t.silent)
	if suspects == s.SuspectsIsolation() {
		return
	}
	event.OwnerSuspectsIsolation.Log(s.logger, slog.Bool("doubts", suspects), slog.Int("silent", t.silent), slog.Int("asked", t.polled), slog.Duration("after", s.IsolationSuspectedFor(now)))
	s.reachability.suspectedSince = time.Time{}
	if suspects {
		s.reachability.suspectedSince = now
	}
}

// shouldSuspect reports whether an owner with this many silent instances has reason to suspect
// isolation, or to continue to.
func (s *Scheduler) shouldSuspect(now time.Time, silent int) bool {
	h := &s.reachability
	if s.SuspectsIsolation() {
		return silent >= isolationMinSilent && h.silentShare >= recoveryShare
	}
	if silent < isolationMinSilent || h.silentShare < isolationShare {
		h.fewAnswersSince = time.Time{}
		return false
	}
	if h.fewAnswersSince.IsZero() {
		h.fewAnswersSince = now
	}
	return now.Sub(h.fewAnswersSince) >= isolationAfter
}

// SuspectsIsolation reports whether so few instances answer that the owner should assume that it is
// itself isolated. While it does, no run on a registered instance expires, and few starts should be
// in flight: they would compete with polls for bandwidth and processor time, and most would get no
// answer.
func (s *Scheduler) SuspectsIsolation() bool { return !s.reachability.suspectedSince.IsZero() }

// IsolationSuspectedFor returns for how long the owner has suspected isolation, zero while it does
// not.
func (s *Scheduler) IsolationSuspectedFor(now time.Time) time.Duration {
	if !s.SuspectsIsolation() {
		return 0
	}
	return now.Sub(s.reachability.suspectedSince)
}
