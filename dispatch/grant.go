package dispatch

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines grants and how a service learns from their outcomes.

// A Grant is the right to send one request to one upstream.
type Grant struct {
	service   *Service
	upstream  *upstream
	grantedAt time.Time
	ended     bool
}

// Instance returns the instance that the request is to be sent to.
func (g *Grant) Instance() pointport.Instance { return g.upstream.instance }

// End releases the grant and records the outcome of its request. A latency of zero
// stands for the time since the grant. Further calls have no effect.
func (g *Grant) End(o Outcome, latency time.Duration) {
	s := g.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	now := s.clock.Now()
	if latency == 0 {
		latency = now.Sub(g.grantedAt)
	}
	g.upstream.inFlight--
	s.recordOutcome(g.upstream, o, now, latency)
	s.grantWaiting()
}

// recordOutcome updates the upstream, the service's latency and the retry budget.
func (s *Service) recordOutcome(u *upstream, o Outcome, now time.Time, latency time.Duration) {
	switch o {
	case Succeeded:
		if !u.ejectedUntil.IsZero() {
			event.UpstreamRestored.Log(s.logger, slog.String("service", s.name), slog.String("instance", string(u.instance.ID)))
		}
		u.recordSuccess(now, latency, s.template.Upstream.Slots)
		s.latency = movingAverage(s.latency, latency, serviceWeight)
		s.retryBudget = min(s.retryBudget+s.template.Retry.Ratio, maxRetries)
	case NotRun:
		u.recordRefusal(now)
	case Failed:
		if u.recordFailure(latency, s.latency, s.template.Ejection.Failures) && s.mayEject(u, now) {
			duration := u.eject(now, s.template.Ejection.For.Value())
			event.UpstreamEjected.Log(s.logger, slog.String("service", s.name),
				slog.String("instance", string(u.instance.ID)), slog.Duration("for", duration))
		}
	}
}

// mayEject reports whether u may be ejected without exceeding the fraction of
// upstreams that may be ejected at once. An upstream whose ejection has not ended in
// a success may always be ejected again.
func (s *Service) mayEject(u *upstream, now time.Time) bool {
	if !u.ejectedUntil.IsZero() {
		return true
	}
	ejected := 1
	for _, v := range s.byID {
		if now.Before(v.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected) <= s.template.Ejection.Most*float64(len(s.byID))
}
