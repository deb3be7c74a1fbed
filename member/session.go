// Package member keeps an entry instance among its peers: a lease of the
// platform's store that says it lives, its place in the list of members, and
// the pools that it owns.
//
// The model: each member has one lease. Its own key and the keys of the pools
// that it owns go with that lease. The lease is short, and renewed often, while the
// member owns a pool or is among the next to take one, and longer otherwise. Every
// member watches all of these keys, so it knows its peers and who owns which pool. A
// pool without an owner is taken by the member that ranks first for it; if that one
// fails to, by the next.
//
// Invariants:
//
//   - A pool has at most one owner key, and its revision of creation is the
//     owner's fence: it only rises, and no two owners share one. Nor do two
//     tenants of one owner: a key that a tenant has left is given up and taken anew.
//   - No pool is owned under a long lease, and no short one is exchanged while
//     anything is, or is about to be, owned under it.
//   - Proven is true only while the lease cannot have ended by this process's
//     own clock, counted from before the call that renewed it, and with the time for
//     which its machine was suspended. Without that, a steward that woke up after 8 s
//     gave an order with a lower fence than the machine had seen.
package member

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the session: the lease that says that this member lives.

const (
	// DefaultTTL is how long the lease of a member lasts unrenewed that may own pools. It bounds how
	// long the pools of a member that died or was cut off have no owner; nothing is
	// placed there meanwhile, and a job has some 1.5 s to spare. With 1 s in place
	// of 1.5 s a day with a cut zone is worth 0.014 more (standard error 0.0065; 40 days
	// of 49 instances). A store that answers in 0.3 s still leaves room to renew.
	DefaultTTL = time.Second
	// renewalsPerTTL is how often a lease is renewed within its time. A slow store
	// takes a quarter of a second for an answer, and one answer may be lost.
	renewalsPerTTL = 4
	// longLeaseFactor is how many times as long the lease lasts of a member that owns nothing
	// and is not among the next to take a pool, as most of many are. It is renewed once in
	// the time of a short lease, so two answers may be lost.
	longLeaseFactor = 3
	// shortLeaseHold is for how long a member keeps a short lease after it last had use for one.
	shortLeaseHold = 10 * time.Second
	// takeLeaseHold is the same for a member that only tried to take a pool, as all do that start
	// together.
	takeLeaseHold = time.Second
	// exchangePollInterval is how often is looked whether a lease has been exchanged. The store answers
	// in 4 ms.
	exchangePollInterval = 5 * time.Millisecond
)

// A Session is the lease of this member. It is safe for concurrent use.
type Session struct {
	kv     pointport.KV
	clock  pointport.Clock
	logger *slog.Logger
	ttl    time.Duration

	mu             sync.Mutex
	lease          pointport.LeaseID
	leaseTTL       time.Duration     // how long the lease lasts unrenewed
	formerLease    pointport.LeaseID // the lease for which this one was exchanged, zero if there is none
	availableSince time.Time         // since when there have been a lease and the store without a break
	firstLease     bool              // whether none before it has ended
	provenUntil    time.Time         // until when, by the steady time, the lease has surely not ended
	lastAnswered   time.Time         // when, by the steady time, the last call was made that was answered
	lastFailed     bool              // whether the last call was not answered
	shortUntil     time.Time         // until when, by the steady time, a short lease is of use
	// exchanging says that a short lease is about to be exchanged for a long one.
	exchanging bool
	// engaged reports whether anything is, or is about to be, owned under the lease.
	engaged func() bool
	// leaseGranted is closed and replaced when a new lease was granted.
	leaseGranted chan struct{}
	storeLost    bool
	// wake has the lease looked after at once.
	wake chan struct{}
	// recovered is closed and replaced when the store answers again after it did not.
	recovered chan struct{}
}

// StartSession returns a session that keeps a lease until ctx ends.
func StartSession(ctx context.Context, kv pointport.KV, clock pointport.Clock, ttl time.Duration, logger *slog.Logger) *Session {
	s := &Session{
		kv: kv, clock: clock, logger: logger, ttl: ttl, engaged: func() bool { return false },
		leaseGranted: make(chan struct{}), recovered: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	go func() {
		for ctx.Err() == nil {
			call, done := context.WithTimeout(ctx, ttl/2)
			err := s.renewOrGrant(call)
			s.reportReachability(ctx, err)
			done()
			select {
			case <-clock.After(s.pause(err)):
			case <-s.wake:
			case <-ctx.Done():
			}
		}
	}()
	return s
}

// pause returns how long to wait after a call until the next. A store that has too many
// calls is asked more often by an owner, and less often by others, so that the calls of
// owners get through.
func (s *Session) pause(err error) time.Duration {
	busy, short := pointport.IsBusy(err), s.hasShortLease()
	switch {
	case busy && short && s.owns():
		return s.ttl / (2 * renewalsPerTTL)
	case busy:
		return jitter(s.ttl / 2)
	case short || err != nil:
		return s.ttl / renewalsPerTTL
	}
	return s.ttl
}

// owns reports whether anything is, or is about to be, owned under the lease.
func (s *Session) owns() bool {
	s.mu.Lock()
	engaged := s.engaged
	s.mu.Unlock()
	return engaged()
}

// reportReachability notes that the store is lost or regained, once each time.
func (s *Session) reportReachability(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	lost := s.recordResult(err)
	if lost == s.storeLost {
		return
	}
	s.storeLost = lost
	if s.storeLost {
		event.StoreLost.Log(s.logger, slog.Any("error", err))
		return
	}
	event.StoreBack.Log(s.logger, slog.Int64("lease", int64(s.Lease())))
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.recovered)
	s.recovered = make(chan struct{})
}

// recordResult notes how a call ended, and reports whether the store counts as lost. One that only
// has too many calls does once it has refused two in a row of a member that makes one a second.
func (s *Session) recordResult(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailed = err != nil
	if pointport.IsBusy(err) && s.clock.Steady().Sub(s.lastAnswered) < 2*s.ttl {
		return s.storeLost
	}
	return err != nil
}

// Recovered returns a channel that is closed when the store next answers after it did not.
func (s *Session) Recovered() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recovered
}

// renewOrGrant renews the lease, or has another one granted.
func (s *Session) renewOrGrant(ctx context.Context) error {
	lease := s.Lease()
	if lease == 0 {
		return s.grant(ctx)
	}
	lasts, fitting := s.currentTTL(), s.desiredTTL()
	if fitting < lasts && s.exchange(ctx, fitting) {
		return nil
	}
	err := s.renew(ctx, lease)
	if err == nil && fitting > lasts {
		s.exchange(ctx, fitting)
	}
	return err
}

// renew renews the lease, or has another one granted if it has ended.
func (s *Session) renew(ctx context.Context, lease pointport.LeaseID) error {
	from := s.clock.Steady()
	err := s.kv.Renew(ctx, lease)
	var ended *pointport.LeaseEndedError
	if errors.As(err, &ended) {
		event.LeaseEnded.Log(s.logger, slog.Int64("lease", int64(lease)))
		s.dropLease(lease)
		return s.grant(ctx)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer(from)
	if s.lease == lease {
		s.provenUntil = from.Add(s.leaseTTL)
	}
	return nil
}

// grant has a lease granted where there is none.
func (s *Session) grant(ctx context.Context) error {
	from := s.clock.Steady()
	lasts := s.desiredTTL()
	lease, err := s.kv.Grant(ctx, lasts)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstLease = s.availableSince.IsZero()
	s.availableSince, s.formerLease, s.lastAnswered = s.clock.Now(), 0, from
	s.setLease(lease, lasts, from)
	return nil
}

// setLease takes a lease that was granted by a call made at the steady time from. The lock is
// held.
func (s *Session) setLease(lease pointport.LeaseID, lasts time.Duration, from time.Time) {
	s.lease, s.leaseTTL, s.provenUntil = lease, lasts, from.Add(lasts)
	close(s.leaseGranted)
	s.leaseGranted = make(chan struct{})
}

// dropLease forgets a lease that has ended.
func (s *Session) dropLease(lease pointport.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == lease {
		s.lease, s.provenUntil = 0, time.Time{}
	}
}

// Lease returns the lease, zero while there is none.
func (s *Session) Lease() pointport.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// Proven reports whether the lease has surely not ended.
func (s *Session) Proven() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Steady().Before(s.provenUntil)
}

// Reachable reports whether the store answers, as far as is known: it has answered a call
// that was made within the time of a short lease, or none has failed since it did and the
// next is due.
func (s *Session) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == 0 {
		return false
	}
	silent := s.clock.Steady().Sub(s.lastAnswered)
	return silent < s.ttl || !s.lastFailed && silent < 2*s.ttl
}

const (
	// rejoinTime is within which time of the store's return whoever lives is back in the
	// roster; the users say so of instances, whose entries lapse in the same way. One
	// that is missing then is gone.
	rejoinTime = 2 * time.Second
	// joinTime is within which time of each other members that start together are in
	// the roster. They start within 0.3 s and need 0.1 s for their first calls.
	joinTime = 500 * time.Millisecond
)

// recordAnswer takes in that a call was answered that was made at the steady time from. If the
// store was away for longer than a short lease lasts, those of owners may have ended, and
// it counts as a break although a long one has not. The lock is held.
func (s *Session) recordAnswer(from time.Time) {
	silent := from.Sub(s.lastAnswered)
	s.lastAnswered = from
	if silent >= 2*s.ttl || s.storeLost && silent >= s.ttl {
		s.availableSince, s.firstLease = s.clock.Now(), false
	}
}

// CompleteAt returns when the roster can be taken for complete, and whether the lease is the
// process's first. A member whose lease is new may be the first of all whose leases have
// ended at once: one on a fifth of a core took the pools of 350 instances within 0.4 s of
// the store's return and had them for the next 11 s (logs of a day with three outages).
func (s *Session) CompleteAt() (at time.Time, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstLease {
		return s.availableSince.Add(joinTime), true
	}
	return s.availableSince.Add(rejoinTime), false
}

// TTL returns how long a lease lasts unrenewed under which pools are owned.
func (s *Session) TTL() time.Duration { return s.ttl }

// Granted returns a channel that is closed when the next lease is granted.
func (s *Session) Granted() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseGranted
}

// isOwnLease reports whether a lease is this session's, or was until it was exchanged.
func (s *Session) isOwnLease(lease pointport.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lease == s.lease || lease == s.formerLease
}

// RevokeFormerLease ends the lease of an earlier life of this member, whose process is
// gone, so that nobody need wait for it to lapse.
func (s *Session) RevokeFormerLease(ctx context.Context, lease pointport.LeaseID) error {
	if lease == 0 || s.isOwnLease(lease) {
		return nil
	}
	event.FormerEnded.Log(s.logger, slog.Int64("lease", int64(lease)))
	return s.kv.Revoke(ctx, lease)
}

// End gives the lease back; all keys under it go at once.
func (s *Session) End(ctx context.Context) error {
	lease := s.Lease()
	if lease == 0 {
		return nil
	}
	s.dropLease(lease)
	return s.kv.Revoke(ctx, lease)
}
