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
	// renewals is how often a lease is renewed within its time. A slow store
	// takes a quarter of a second for an answer, and one answer may be lost.
	renewals = 4
	// idleFactor is how many times as long the lease lasts of a member that owns nothing
	// and is not among the next to take a pool, as most of many are. It is renewed once in
	// the time of a short lease, so two answers may be lost.
	idleFactor = 3
	// shortFor is for how long a member keeps a short lease after it last had use for one.
	shortFor = 10 * time.Second
	// takeFor is the same for a member that only tried to take a pool, as all do that start
	// together.
	takeFor = time.Second
	// leaseLook is how often is looked whether a lease has been exchanged. The store answers
	// in 4 ms.
	leaseLook = 5 * time.Millisecond
)

// A Session is the lease of this member. It is safe for concurrent use.
type Session struct {
	kv     pointport.KV
	clock  pointport.Clock
	logger *slog.Logger
	ttl    time.Duration

	mu      sync.Mutex
	lease   pointport.LeaseID
	lasts   time.Duration     // how long the lease lasts unrenewed
	former  pointport.LeaseID // the lease for which this one was exchanged, zero if there is none
	granted time.Time         // since when there have been a lease and the store without a break
	first   bool              // whether none before it has ended
	proven  time.Time         // until when, by the steady time, the lease has surely not ended
	heard   time.Time         // when, by the steady time, the last call was made that was answered
	failing bool              // whether the last call was not answered
	wanted  time.Time         // until when, by the steady time, a short lease is of use
	// yielding says that a short lease is about to be exchanged for a long one.
	yielding bool
	// engaged reports whether anything is, or is about to be, owned under the lease.
	engaged func() bool
	// renewed is closed and replaced when a new lease was granted.
	renewed chan struct{}
	cut     bool
	// hurry has the lease looked after at once.
	hurry chan struct{}
	// back is closed and replaced when the store answers again after it did not.
	back chan struct{}
}

// StartSession returns a session that keeps a lease until ctx ends.
func StartSession(ctx context.Context, kv pointport.KV, clock pointport.Clock, ttl time.Duration, logger *slog.Logger) *Session {
	s := &Session{
		kv: kv, clock: clock, logger: logger, ttl: ttl, engaged: func() bool { return false },
		renewed: make(chan struct{}), back: make(chan struct{}), hurry: make(chan struct{}, 1),
	}
	go func() {
		for ctx.Err() == nil {
			call, done := context.WithTimeout(ctx, ttl/2)
			err := s.keep(call)
			s.report(ctx, err)
			done()
			select {
			case <-clock.After(s.pause(err)):
			case <-s.hurry:
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
	busy, short := pointport.IsBusy(err), s.short()
	switch {
	case busy && short && s.owns():
		return s.ttl / (2 * renewals)
	case busy:
		return spread(s.ttl / 2)
	case short || err != nil:
		return s.ttl / renewals
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

// report notes that the store is lost or regained, once each time.
func (s *Session) report(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	lost := s.lost(err)
	if lost == s.cut {
		return
	}
	s.cut = lost
	if s.cut {
		event.StoreUnavailable.Log(s.logger, slog.Any("error", err))
		return
	}
	event.StoreRecovered.Log(s.logger, slog.Int64("lease", int64(s.Lease())))
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.back)
	s.back = make(chan struct{})
}

// lost notes how a call ended, and reports whether the store counts as lost. One that only
// has too many calls does once it has refused two in a row of a member that makes one a second.
func (s *Session) lost(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err != nil
	if pointport.IsBusy(err) && s.clock.Steady().Sub(s.heard) < 2*s.ttl {
		return s.cut
	}
	return err != nil
}

// Back returns a channel that is closed when the store next answers after it did not.
func (s *Session) Back() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.back
}

// keep renews the lease, or has another one granted.
func (s *Session) keep(ctx context.Context) error {
	lease := s.Lease()
	if lease == 0 {
		return s.grant(ctx)
	}
	lasts, fitting := s.length(), s.fitting()
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
		s.drop(lease)
		return s.grant(ctx)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resume(from)
	if s.lease == lease {
		s.proven = from.Add(s.lasts)
	}
	return nil
}

// grant has a lease granted where there is none.
func (s *Session) grant(ctx context.Context) error {
	from := s.clock.Steady()
	lasts := s.fitting()
	lease, err := s.kv.Grant(ctx, lasts)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = s.granted.IsZero()
	s.granted, s.former, s.heard = s.clock.Now(), 0, from
	s.adopt(lease, lasts, from)
	return nil
}

// adopt takes a lease that was granted by a call made at the steady time from. The lock is
// held.
func (s *Session) adopt(lease pointport.LeaseID, lasts time.Duration, from time.Time) {
	s.lease, s.lasts, s.proven = lease, lasts, from.Add(lasts)
	close(s.renewed)
	s.renewed = make(chan struct{})
}

// drop forgets a lease that has ended.
func (s *Session) drop(lease pointport.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == lease {
		s.lease, s.proven = 0, time.Time{}
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
	return s.clock.Steady().Before(s.proven)
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
	silent := s.clock.Steady().Sub(s.heard)
	return silent < s.ttl || !s.failing && silent < 2*s.ttl
}

const (
	// returnTime is within which time of the store's return whoever lives is back in the
	// roster; the users say so of instances, whose entries lapse in the same way. One
	// that is missing then is gone.
	returnTime = 2 * time.Second
	// startTime is within which time of each other members that start together are in
	// the roster. They start within 0.3 s and need 0.1 s for their first calls.
	startTime = 500 * time.Millisecond
)

// resume takes in that a call was answered that was made at the steady time from. If the
// store was away for longer than a short lease lasts, those of owners may have ended, and
// it counts as a break although a long one has not. The lock is held.
func (s *Session) resume(from time.Time) {
	silent := from.Sub(s.heard)
	s.heard = from
	if silent >= 2*s.ttl || s.cut && silent >= s.ttl {
		s.granted, s.first = s.clock.Now(), false
	}
}

// Settles returns when the roster can be taken for complete, and whether the lease is the
// process's first. A member whose lease is new may be the first of all whose leases have
// ended at once: one on a fifth of a core took the pools of 350 instances within 0.4 s of
// the store's return and had them for the next 11 s (logs of a day with three outages).
func (s *Session) Settles() (at time.Time, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first {
		return s.granted.Add(startTime), true
	}
	return s.granted.Add(returnTime), false
}

// TTL returns how long a lease lasts unrenewed under which pools are owned.
func (s *Session) TTL() time.Duration { return s.ttl }

// Granted returns a channel that is closed when the next lease is granted.
func (s *Session) Granted() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewed
}

// had reports whether a lease is this session's, or was until it was exchanged.
func (s *Session) had(lease pointport.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lease == s.lease || lease == s.former
}

// EndFormer ends the lease of an earlier life of this member, whose process is
// gone, so that nobody need wait for it to lapse.
func (s *Session) EndFormer(ctx context.Context, lease pointport.LeaseID) error {
	if lease == 0 || s.had(lease) {
		return nil
	}
	event.FormerLeaseEnded.Log(s.logger, slog.Int64("lease", int64(lease)))
	return s.kv.Revoke(ctx, lease)
}

// End gives the lease back; all keys under it go at once.
func (s *Session) End(ctx context.Context) error {
	lease := s.Lease()
	if lease == 0 {
		return nil
	}
	s.drop(lease)
	return s.kv.Revoke(ctx, lease)
}
