package dispatch

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the grant and what is learned from its end.

// A Grant is the right to send one request to one upstream.
type Grant struct {
	service  *Service
	upstream *upstream
	at       time.Time
	ended    bool
}

// Instance returns the upstream.
func (g *Grant) Instance() pointport.Instance { return g.upstream.instance }

// End gives the upstream back and says how the request went. A latency of zero
// means the time since the grant. Ending twice changes nothing.
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
		latency = now.Sub(g.at)
	}
	g.upstream.inFlight--
	s.learn(g.upstream, o, now, latency)
	s.serveWaiting()
}

func (s *Service) learn(u *upstream, o Outcome, now time.Time, latency time.Duration) {
	switch o {
	case Succeeded:
		if !u.until.IsZero() {
			event.UpstreamRestored.Log(s.logger, slog.String("service", s.name), slog.String("instance", string(u.instance.ID)))
		}
		u.succeed(now, latency, s.template.Upstream.Slots)
		s.latency = blend(s.latency, latency, serviceWeight)
		s.retries = min(s.retries+s.template.Retry.Ratio, maxRetries)
	case NotRun:
		u.refuse(now)
	case Failed:
		if u.fail(latency, s.latency, s.template.Ejection.Failures) && s.mayEject(u, now) {
			d := u.eject(now, s.template.Ejection.For.Value())
			event.UpstreamEjected.Log(s.logger, slog.String("service", s.name),
				slog.String("instance", string(u.instance.ID)), slog.Duration("for", d))
		}
	}
}

// mayEject reports whether one more upstream may be ejected.
func (s *Service) mayEject(u *upstream, now time.Time) bool {
	if !u.until.IsZero() {
		return true
	}
	ejected := 1
	for _, v := range s.byID {
		if now.Before(v.until) {
			ejected++
		}
	}
	return float64(ejected) <= s.template.Ejection.Most*float64(len(s.byID))
}
