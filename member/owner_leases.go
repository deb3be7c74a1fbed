package member

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/peerlease"
)

// This file defines the peer leases that the owner of a pool holds, and its requests for them.

const (
	// leaseAskInterval is how often the owner asks each standby.
	leaseAskInterval = 250 * time.Millisecond
	// leaseTimeout bounds a request for a lease. Peers are a millisecond away and answer from
	// memory.
	leaseTimeout = 250 * time.Millisecond
	// askReserveFraction sets when the owner starts to ask: when less than this fraction of the TTL
	// is left of its proof by the store. It is less than the fraction at which the pool manager
	// renews that proof, so that an owner with a store that answers asks nobody.
	askReserveFraction = 0.4
	// leaseCheckInterval is how often the owner checks its proof while it asks.
	leaseCheckInterval = 25 * time.Millisecond
	// refusalLogInterval is the least time between two log lines about refusals for one pool.
	refusalLogInterval = time.Second
)

// ownerLeases holds the peer leases of one ownership and its standby key. It is safe for concurrent
// use.
type ownerLeases struct {
	roster *Roster
	pool   string
	fence  pointport.Fence
	proof  *peerlease.Proof

	mu       sync.Mutex
	revision pointport.Revision // of the standby key
	// storedUnrecorded is the Unrecorded of the stored document.
	storedUnrecorded bool
	change           *documentChange // the change that has no answer yet
}

// newOwnerLeases returns the leases of an ownership whose standby key is known.
func (r *Roster) newOwnerLeases(pool string, fence pointport.Fence, stored storedDocument) *ownerLeases {
	l := &ownerLeases{roster: r, pool: pool, fence: fence, revision: stored.revision}
	var standbys []peerlease.Process
	if stored.revision != 0 && stored.document.ID == r.self.Process && stored.document.Fence == fence {
		standbys, l.storedUnrecorded = stored.document.Standbys, stored.document.Unrecorded
	}
	l.proof = peerlease.NewProof(r.clock, r.leases.limit, standbys)
	return l
}

// until returns until when peer leases prove the ownership, if the store proved it until
// provenByStore.
func (l *ownerLeases) until(provenByStore time.Time) time.Time {
	l.roster.mu.Lock()
	usable := l.roster.peerLeasesUsable()
	l.roster.mu.Unlock()
	if !usable {
		return time.Time{}
	}
	return l.proof.Until(provenByStore)
}

// keepProven asks the standbys for leases whenever the proof by the store runs out, and stores the
// standby key if nothing else does, until done is closed or ctx ends.
func (r *Roster) keepProven(ctx context.Context, own Ownership, done <-chan struct{}) {
	t := leaseTracker{roster: r, own: own, leases: own.proof.leases, asked: make(map[string]time.Time)}
	defer t.finish()
	for {
		select {
		case <-r.clock.After(t.round(ctx)):
		case <-done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// A leaseTracker does the periodic work for one ownership: it requests leases, logs their use, and
// stores an outdated standby key. Only keepProven's goroutine uses the fields above mu.
type leaseTracker struct {
	roster *Roster
	own    Ownership
	leases *ownerLeases

	asked      map[string]time.Time // by process ID, when a standby was last asked
	using      bool                 // whether the ownership is proven only by peer leases
	usingSince time.Time
	outdated   time.Time // since when the standby key is out of date

	mu         sync.Mutex
	refusalAt  time.Time // when a refusal was last logged
	lastReason string    // of the last refusal
}

// round does what is due and returns the time until the next round.
func (t *leaseTracker) round(ctx context.Context) time.Duration {
	t.report()
	t.storeOutdated(ctx)
	reserve := time.Duration(askReserveFraction * float64(t.roster.session.TTL()))
	if left := t.own.remainingByStore(); left > reserve {
		return min(left-reserve+time.Millisecond, leaseAskInterval)
	}
	if t.own.remainingByStore() > -t.roster.leases.limit {
		t.ask(ctx)
		return leaseCheckInterval
	}
	return leaseAskInterval
}

// ask asks the standbys that have not been asked within leaseAskInterval, all at the same time. It
// does not wait for their answers.
func (t *leaseTracker) ask(ctx context.Context) {
	now := t.roster.clock.Steady()
	for _, s := range t.leases.proof.Needed() {
		if now.Sub(t.asked[s.ID]) < leaseAskInterval {
			continue
		}
		t.asked[s.ID] = now
		go t.askOne(ctx, s, now)
	}
}

// askOne asks one standby for a lease.
func (t *leaseTracker) askOne(ctx context.Context, s peerlease.Process, asked time.Time) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	req := pointport.PeerLeaseRequest{Pool: t.own.Pool, Fence: t.own.Fence, Standby: s.ID}
	reply, err := t.roster.leases.client.RequestPeerLease(ctx, s.Peer, req)
	switch {
	case err != nil:
		t.refused(s, err.Error())
	case reply.Refusal != "":
		t.refused(s, reply.Refusal)
	default:
		t.leases.proof.Hold(s, asked)
	}
}

// refused logs that a standby has granted no lease.
func (t *leaseTracker) refused(s peerlease.Process, reason string) {
	now := t.roster.clock.Steady()
	t.mu.Lock()
	t.lastReason = reason
	log := now.Sub(t.refusalAt) >= refusalLogInterval
	if log {
		t.refusalAt = now
	}
	t.mu.Unlock()
	if log {
		event.PeerLeaseRefused.Log(t.roster.logger, slog.String("pool", t.own.Pool), slog.Int64("fence", int64(t.own.Fence)), slog.String("standby", s.Name),
			slog.String("reason", reason), slog.Duration("left", t.own.remaining()))
	}
}

// report logs when the ownership becomes proven only by peer leases, and when that ends.
func (t *leaseTracker) report() {
	using := t.own.PeerLeased()
	if using == t.using {
		return
	}
	t.using = using
	if using {
		t.usingSince = t.roster.clock.Steady()
		t.roster.leases.inUse.Add(1)
		event.PeerLeasesHeld.Log(t.roster.logger, slog.String("pool", t.own.Pool), slog.Int64("fence", int64(t.own.Fence)), slog.Int("standbys", len(t.leases.proof.Needed())))
		return
	}
	t.noteLeasesOver()
}

// finish reports the end of the ownership.
func (t *leaseTracker) finish() {
	if t.using {
		t.using = false
		t.noteLeasesOver()
	}
}

// noteLeasesOver logs that the ownership is not proven by peer leases any more.
func (t *leaseTracker) noteLeasesOver() {
	t.roster.leases.inUse.Add(-1)
	t.mu.Lock()
	refusal := t.lastReason
	t.mu.Unlock()
	byStore := t.own.ProvenByStore()
	reason := "a standby has granted no lease"
	switch {
	case byStore:
		reason = "the store answers"
	case t.own.remainingByStore() <= -t.roster.leases.limit:
		reason = "the limit has passed"
	case t.own.remaining() > 0:
		reason = "the ownership has ended"
	}
	event.PeerLeasesOver.Log(t.roster.logger, slog.String("pool", t.own.Pool), slog.Int64("fence", int64(t.own.Fence)), slog.String("reason", reason),
		slog.String("lastRefusal", refusal), slog.Duration("after", t.roster.clock.Steady().Sub(t.usingSince)), slog.Bool("store", byStore))
}
