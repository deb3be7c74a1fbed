package member

import (
	"context"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how long a member's lease lasts: it is short while the member owns a
// pool or is about to, and long otherwise.

// RequestShortLease has the lease be a short one for some time, under which pools can be owned.
func (s *Session) RequestShortLease() { s.requestShortLease(shortLeaseHold) }

// requestShortLease has the lease be a short one for so long at least.
func (s *Session) requestShortLease(d time.Duration) {
	s.mu.Lock()
	if until := s.clock.Steady().Add(d); until.After(s.shortUntil) {
		s.shortUntil = until
	}
	short := s.lease == 0 || s.leaseTTL == s.ttl
	s.mu.Unlock()
	if short {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default: // it is about to be looked after
	}
}

// hasShortLease reports whether the lease is a short one.
func (s *Session) hasShortLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease != 0 && s.leaseTTL == s.ttl
}

// ownerLease returns a lease under which a pool can be owned, and has the lease exchanged
// for one if need be.
func (s *Session) ownerLease(ctx context.Context) (pointport.LeaseID, error) {
	late := s.clock.After(s.ttl / 2)
	s.requestShortLease(takeLeaseHold)
	for {
		s.mu.Lock()
		lease, fit := s.lease, s.leaseTTL == s.ttl && !s.exchanging
		s.mu.Unlock()
		switch {
		case lease == 0:
			return 0, ErrNoLease
		case fit:
			return lease, nil
		}
		select {
		case <-s.clock.After(exchangePollInterval):
		case <-late:
			return 0, ErrNoLease
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// setEngaged has a short lease be kept while engaged says that something is, or is about to
// be, owned under it.
func (s *Session) setEngaged(engaged func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engaged = engaged
}

// currentTTL returns how long the lease lasts unrenewed.
func (s *Session) currentTTL() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseTTL
}

// desiredTTL returns how long a lease is to last now.
func (s *Session) desiredTTL() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Steady().Before(s.shortUntil) {
		return s.ttl
	}
	return longLeaseFactor * s.ttl
}

// exchange has another lease granted in place of the one that there is, and reports
// whether it was. One that was not is tried again with the next call. The old lease is
// left to end: nothing is owned under it, and this member's own key is written anew.
func (s *Session) exchange(ctx context.Context, lasts time.Duration) bool {
	engaged := s.beginExchange()
	defer s.endExchange()
	if lasts > s.ttl && engaged() {
		return false
	}
	from := s.clock.Steady()
	lease, err := s.kv.Grant(ctx, lasts)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer(from)
	s.formerLease = s.lease
	s.setLease(lease, lasts, from)
	return true
}

// beginExchange notes that the lease is to be exchanged: from then on nothing begins to be owned
// under it. It returns what tells whether anything has.
func (s *Session) beginExchange() (engaged func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanging = true
	return s.engaged
}

// endExchange notes that an exchange is over, whether it was made or not.
func (s *Session) endExchange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanging = false
}
