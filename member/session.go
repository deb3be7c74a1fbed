// Package member manages an entry instance as a member of a cluster of entry instances: its
// lease in the platform's store, its entry in the roster of members, and the pools that it
// owns.
//
// Each member holds one lease. Its own key and the owner keys of its pools are bound to that
// lease. The lease is short, and renewed often, while the member owns a pool or is a standby
// for one, and longer otherwise. Every member watches all of these keys, so it knows its peers
// and the owner of each pool. A pool without an owner is taken by the member that ranks first
// for it or, if that member fails to, by the next one.
//
// Invariants:
//
//   - A pool has at most one owner key. The revision at which that key was created is the
//     owner's fencing token: it only increases and no two owners share it. Two controllers
//     of the same owner do not share it either: after a controller has ended, its key is
//     released and taken again.
//   - No pool is owned under a long lease, and a short lease is not exchanged while a pool is
//     owned under it or about to be.
//   - Proven returns true only while the lease cannot have expired by this process's own
//     clock, counted from before the call that renewed it and including the time for which the
//     machine was suspended. Without that, a steward that resumed after 8 s sent an order with
//     a lower fence than the machine had already seen.
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

// This file defines the session, which maintains the lease that shows that this member is
// alive.

const (
	// DefaultTTL is the TTL of a lease under which pools can be owned. It bounds how long the
	// pools of a member that failed or was cut off have no owner. Nothing is placed in them
	// during that time, and a job has about 1.5 s to spare. Compared with 1.5 s, a TTL of 1 s
	// raised the value of a day with a cut-off zone by 0.014 (standard error 0.0065; 40 days
	// with 49 instances). It still leaves time to renew the lease if the store takes 0.3 s to
	// answer.
	DefaultTTL = time.Second
	// renewalsPerTTL is how often a short lease is renewed within its TTL. A slow store takes
	// a quarter of a second to answer, and one answer may be lost.
	renewalsPerTTL = 4
	// longLeaseFactor is how many times longer the lease of a member lasts that owns no pool
	// and is not a standby, which most members of a large cluster are. A long lease is renewed
	// once in the TTL of a short one, so two answers may be lost.
	longLeaseFactor = 3
	// shortLeaseHold is how long a member keeps a short lease after it last needed one.
	shortLeaseHold = 10 * time.Second
	// takeLeaseHold is the same for a member that only tried to take a pool, as all members do
	// that start at the same time.
	takeLeaseHold = time.Second
	// exchangePollInterval is how often ownerLease checks whether the lease has been
	// exchanged. The store answers in 4 ms.
	exchangePollInterval = 5 * time.Millisecond
)

// Session maintains the lease of this member. It is safe for concurrent use.
type Session struct {
	kv     pointport.KV
	clock  pointport.Clock
	logger *slog.Logger
	ttl    time.Duration

	mu             sync.Mutex
	lease          pointport.LeaseID
	leaseTTL       time.Duration     // TTL of the current lease
	formerLease    pointport.LeaseID // lease that the current one replaced by an exchange, zero if there is none
	availableSince time.Time         // since when there has been a lease and no interruption of the store
	firstLease     bool              // whether this is the process's first lease and the store has not been interrupted since
	provenUntil    time.Time         // steady-clock time until which the lease cannot have ended
	lastAnswered   time.Time         // steady-clock time at which the last answered call was made
	lastFailed     bool              // whether the last call failed
	callingSince   time.Time         // steady-clock time since when a call is in flight, zero if none is
	shortUntil     time.Time         // steady-clock time until which a short lease is needed
	// exchanging is true while the lease is being exchanged.
	exchanging bool
	// leaseInUse reports whether a pool is owned under the lease, or about to be.
	leaseInUse func() bool
	// leaseGranted is closed and replaced when a new lease is granted.
	leaseGranted chan struct{}
	storeLost    bool
	// wake makes the loop run at once.
	wake chan struct{}
	// recovered is closed and replaced when the store answers again after an outage.
	recovered chan struct{}
}

// StartSession returns a session that maintains a lease until ctx ends.
func StartSession(ctx context.Context, kv pointport.KV, clock pointport.Clock, ttl time.Duration, logger *slog.Logger) *Session {
	s := &Session{
		kv: kv, clock: clock, logger: logger, ttl: ttl, leaseInUse: func() bool { return false },
		leaseGranted: make(chan struct{}), recovered: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	go func() {
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, ttl/2)
			s.noteCall(true)
			err := s.renewOrGrant(call)
			s.reportReachability(ctx, err)
			s.noteCall(false)
			cancel()
			select {
			case <-clock.After(s.pause(err)):
			case <-s.wake:
			case <-ctx.Done():
			}
		}
	}()
	return s
}

// pause returns how long to wait after a call before the next one. While the store refuses
// calls because it receives too many, a pool owner calls more often and other members less
// often, so that the calls of owners succeed.
func (s *Session) pause(err error) time.Duration {
	busy, hasShortLease := pointport.IsBusy(err), s.hasShortLease()
	switch {
	case busy && hasShortLease && s.isLeaseInUse():
		return s.ttl / (2 * renewalsPerTTL)
	case busy:
		return jitter(s.ttl / 2)
	case hasShortLease || err != nil:
		return s.ttl / renewalsPerTTL
	}
	return s.ttl
}

// isLeaseInUse reports whether a pool is owned under the lease, or about to be.
func (s *Session) isLeaseInUse() bool {
	s.mu.Lock()
	leaseInUse := s.leaseInUse
	s.mu.Unlock()
	return leaseInUse()
}

// reportReachability logs when the store becomes unreachable or reachable again, once each
// time, and in the latter case closes the channel of Recovered.
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
		event.StoreUnavailable.Log(s.logger, slog.Any("error", err))
		return
	}
	event.StoreRecovered.Log(s.logger, slog.Int64("lease", int64(s.Lease())))
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.recovered)
	s.recovered = make(chan struct{})
}

// recordResult records the result of a call, and reports whether the store counts as
// unreachable. A store that refuses calls because it receives too many counts as unreachable
// only after two refusals in a row to a member that makes one call a second.
func (s *Session) recordResult(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailed = err != nil
	if pointport.IsBusy(err) && s.clock.Steady().Sub(s.lastAnswered) < 2*s.ttl {
		return s.storeLost
	}
	return err != nil
}

// Recovered returns a channel that is closed when the store next answers after an outage.
func (s *Session) Recovered() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recovered
}

// answeringTimeout is how long a call may be without an answer until the store counts as not
// answering for peer leases. It answers within 30 ms; an owner has half a second to get all leases.
const answeringTimeout = 100 * time.Millisecond

// answering reports whether the store answers this member, by the call that is in flight or by the
// last one. If the last answer is old, it starts another call, so that the next answer to the same
// question is based on it. It notices an outage sooner than Reachable. An error is
// safe: a wrong true only refuses a lease, and a wrong false only grants one, which delays this
// member's own takeover.
func (s *Session) answering() bool {
	s.mu.Lock()
	now := s.clock.Steady()
	overdue := !s.callingSince.IsZero() && now.Sub(s.callingSince) >= answeringTimeout
	answers := !s.lastFailed && !overdue
	probe := s.callingSince.IsZero() && now.Sub(s.lastAnswered) >= answeringTimeout
	s.mu.Unlock()
	if probe {
		select {
		case s.wake <- struct{}{}:
		default: // the loop is about to run anyway
		}
	}
	return answers
}

// noteCall notes that a call has started, or that none is in flight any more.
func (s *Session) noteCall(inFlight bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callingSince = time.Time{}
	if inFlight {
		s.callingSince = s.clock.Steady()
	}
}

// renewOrGrant renews the lease, exchanges it if its TTL should change, or requests a new one
// if there is none.
func (s *Session) renewOrGrant(ctx context.Context) error {
	lease := s.Lease()
	if lease == 0 {
		return s.grant(ctx)
	}
	ttl, desiredTTL := s.currentTTL(), s.desiredTTL()
	if desiredTTL < ttl && s.exchange(ctx, desiredTTL) {
		return nil
	}
	err := s.renew(ctx, lease)
	if err == nil && desiredTTL > ttl {
		s.exchange(ctx, desiredTTL)
	}
	return err
}

// renew renews the lease, or requests a new one if it has ended.
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

// grant requests a lease when there is none.
func (s *Session) grant(ctx context.Context) error {
	from := s.clock.Steady()
	ttl := s.desiredTTL()
	lease, err := s.kv.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstLease = s.availableSince.IsZero()
	s.availableSince, s.formerLease, s.lastAnswered = s.clock.Now(), 0, from
	s.setLease(lease, ttl, from)
	return nil
}

// setLease stores a lease that was granted by a call made at the steady time from. The lock
// must be held.
func (s *Session) setLease(lease pointport.LeaseID, leaseTTL time.Duration, from time.Time) {
	s.lease, s.leaseTTL, s.provenUntil = lease, leaseTTL, from.Add(leaseTTL)
	close(s.leaseGranted)
	s.leaseGranted = make(chan struct{})
}

// dropLease removes a lease that has ended.
func (s *Session) dropLease(lease pointport.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == lease {
		s.lease, s.provenUntil = 0, time.Time{}
	}
}

// Lease returns the current lease, zero if there is none.
func (s *Session) Lease() pointport.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// Proven reports whether the lease cannot have ended yet.
func (s *Session) Proven() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Steady().Before(s.provenUntil)
}

// Reachable reports whether the store is believed to answer: it has answered a call made within
// the TTL of a short lease, or one made within twice that time and no call has failed since.
func (s *Session) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == 0 {
		return false
	}
	sinceAnswer := s.clock.Steady().Sub(s.lastAnswered)
	return sinceAnswer < s.ttl || !s.lastFailed && sinceAnswer < 2*s.ttl
}

const (
	// rejoinTime is how long after the store recovers all live members are listed in the
	// roster again. It is the time that is specified for instances, whose entries expire in
	// the same way. A member that is still missing then is gone.
	rejoinTime = 2 * time.Second
	// joinTime is within which time of each other members that start together are listed in
	// the roster. They start within 0.3 s and need 0.1 s for their first calls.
	joinTime = 500 * time.Millisecond
)

// recordAnswer records that a call made at the steady time from was answered. An interruption
// longer than the TTL of a short lease counts as a break even if this member's long lease has
// survived it, because the leases of owners may have ended. The lock must be held.
func (s *Session) recordAnswer(from time.Time) {
	sinceAnswer := from.Sub(s.lastAnswered)
	s.lastAnswered = from
	if sinceAnswer >= 2*s.ttl || s.storeLost && sinceAnswer >= s.ttl {
		s.availableSince, s.firstLease = s.clock.Now(), false
	}
}

// CompleteAt returns when the roster can be considered complete, and whether the lease is the
// first of this process. When all leases have ended at once, a member with a new lease may be
// the first to have one: in a day with three outages, a member with a fifth of a core took the
// pools of 350 instances within 0.4 s of the store's recovery and kept them for the next 11 s.
func (s *Session) CompleteAt() (at time.Time, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstLease {
		return s.availableSince.Add(joinTime), true
	}
	return s.availableSince.Add(rejoinTime), false
}

// TTL returns the TTL of a lease under which pools are owned.
func (s *Session) TTL() time.Duration { return s.ttl }

// Granted returns a channel that is closed when the next lease is granted.
func (s *Session) Granted() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseGranted
}

// isOwnLease reports whether lease is this session's current lease or the one it replaced.
func (s *Session) isOwnLease(lease pointport.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lease == s.lease || lease == s.formerLease
}

// RevokeFormerLease revokes the lease of an earlier process of this member, which no longer
// runs, so that the other members need not wait until it expires.
func (s *Session) RevokeFormerLease(ctx context.Context, lease pointport.LeaseID) error {
	if lease == 0 || s.isOwnLease(lease) {
		return nil
	}
	event.FormerLeaseEnded.Log(s.logger, slog.Int64("lease", int64(lease)))
	return s.kv.Revoke(ctx, lease)
}

// End revokes the lease, which deletes all keys bound to it at once.
func (s *Session) End(ctx context.Context) error {
	lease := s.Lease()
	if lease == 0 {
		return nil
	}
	s.dropLease(lease)
	return s.kv.Revoke(ctx, lease)
}
