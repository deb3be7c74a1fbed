package member

import (
	"context"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how long a member's lease lasts: it is short while the member owns a pool
// or may soon take one, and long otherwise.

// RequestShortLease keeps the lease short for shortLeaseHold, so that pools can be owned under
// it.
func (s *Session) RequestShortLease() { s.requestShortLease(shortLeaseHold) }

// requestShortLease keeps the lease short for at least d.
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
	default: // the loop is about to run anyway
	}
}

// hasShortLease reports whether there is a short lease.
func (s *Session) hasShortLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease != 0 && s.leaseTTL == s.ttl
}

// ownerLease returns a lease under which a pool can be owned. It waits until a long lease has
// been exchanged for a short one, and fails with ErrNoLease if that takes longer than half the
// TTL.
func (s *Session) ownerLease(ctx context.Context) (pointport.LeaseID, error) {
	timeout := s.clock.After(s.ttl / 2)
	s.requestShortLease(takeLeaseHold)
	for {
		s.mu.Lock()
		lease, usable := s.lease, s.leaseTTL == s.ttl && !s.exchanging
		s.mu.Unlock()
		switch {
		case lease == 0:
			return 0, ErrNoLease
		case usable:
			return lease, nil
		}
		select {
		case <-s.clock.After(exchangePollInterval):
		case <-timeout:
			return 0, ErrNoLease
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// setLeaseInUse sets the function that reports whether anything is owned, or about to be owned,
// under the lease. A short lease is kept while it returns true.
func (s *Session) setLeaseInUse(leaseInUse func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseInUse = leaseInUse
}

// currentTTL returns the TTL of the current lease.
func (s *Session) currentTTL() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseTTL
}

// desiredTTL returns the TTL that a lease should have now.
func (s *Session) desiredTTL() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Steady().Before(s.shortUntil) {
		return s.ttl
	}
	return longLeaseFactor * s.ttl
}

// exchange replaces the current lease with a new one and reports whether it succeeded. After a
// failure the next round tries again. The old lease is left to expire: nothing is owned under
// it, and this member's own key is written again under the new one.
func (s *Session) exchange(ctx context.Context, newTTL time.Duration) bool {
	leaseInUse := s.beginExchange()
	defer s.endExchange()
	if newTTL > s.ttl && leaseInUse() {
		return false
	}
	from := s.clock.Steady()
	lease, err := s.kv.Grant(ctx, newTTL)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer(from)
	s.formerLease = s.lease
	s.setLease(lease, newTTL, from)
	return true
}

// beginExchange notes that the lease is about to be exchanged; from then on no pool is taken
// under it. It returns the function that reports whether anything is already owned under it.
func (s *Session) beginExchange() (leaseInUse func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanging = true
	return s.leaseInUse
}

// endExchange notes that an exchange has ended, whether it succeeded or not.
func (s *Session) endExchange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanging = false
}
