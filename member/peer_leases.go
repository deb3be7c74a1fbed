package member

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/peerlease"
)

// This file defines what a member remembers for peer leases, and its answers to other members.

// RosterOption changes how a roster works.
type RosterOption func(*Roster)

// WithPeerLeases makes a member grant peer leases, and ask others through client. limit is for how
// long an owner may rely on peer leases after its proof by the store has ended; with 0 it never
// does. Without this option a member behaves as one of an earlier version.
func WithPeerLeases(client pointport.PeerLeaseClient, limit time.Duration) RosterOption {
	return func(r *Roster) {
		r.self.Process = uuid.NewString()
		r.leases = &peerLeases{
			clock: r.clock, session: r.session, logger: r.logger, client: client, limit: limit,
			self: r.self.process(), started: r.clock.Steady(), grants: peerlease.NewGrants(r.clock, r.self.process()),
			acting: make(map[string]bool), last: make(map[string]*proof), lastFence: make(map[string]pointport.Fence),
		}
	}
}

// peerLeases is the state of a member's peer leases. It is safe for concurrent use.
type peerLeases struct {
	clock   pointport.Clock
	session *Session
	logger  *slog.Logger
	client  pointport.PeerLeaseClient
	limit   time.Duration
	self    peerlease.Process
	started time.Time // steady time of the start of this process
	grants  *peerlease.Grants

	granted, refused atomic.Int64 // numbers of requests
	inUse            atomic.Int64 // number of ownerships that are proven only by peer leases

	mu sync.Mutex
	// acting holds the pools that this member owns or is about to take. It mirrors the state in
	// grants, which does not answer for former owners.
	acting map[string]bool
	// last holds the last ownership of each pool, and lastFence its fence.
	last      map[string]*proof
	lastFence map[string]pointport.Fence
}

// noteOwner notes that a pool has or had an owner with a fence.
func (p *peerLeases) noteOwner(pool string, fence pointport.Fence) {
	if p != nil {
		p.grants.NoteOwner(pool, fence)
	}
}

// beginTakeover makes this member grant no more leases for a pool, and returns for how long it must
// not act as the pool's owner yet.
func (p *peerLeases) beginTakeover(pool string) time.Duration {
	p.mu.Lock()
	p.acting[pool] = true
	p.mu.Unlock()
	return p.grants.BeginTakeover(pool)
}

// endTakeover notes that this member neither owns a pool nor is about to take it.
func (p *peerLeases) endTakeover(pool string) {
	p.mu.Lock()
	delete(p.acting, pool)
	p.mu.Unlock()
	p.grants.EndTakeover(pool)
}

// noteOwnership notes that this member starts to act under an ownership.
func (p *peerLeases) noteOwnership(own Ownership) {
	p.grants.NoteOwner(own.Pool, own.Fence)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last[own.Pool], p.lastFence[own.Pool] = own.proof, own.Fence
}

// recorded reports whether the starts of this process, as the owner of a pool with a fence, are all
// recorded in the store. An ownership under which it never acted has none.
func (p *peerLeases) recorded(pool string, fence pointport.Fence) bool {
	p.mu.Lock()
	last, lastFence := p.last[pool], p.lastFence[pool]
	p.mu.Unlock()
	return last == nil || lastFence != fence || !last.mayHaveUnrecorded()
}

// GrantPeerLease answers another member's request for a peer lease.
func (r *Roster) GrantPeerLease(req pointport.PeerLeaseRequest) pointport.PeerLeaseReply {
	if r.leases == nil {
		// A member without peer leases has no process ID, so the request was meant for another process.
		return pointport.PeerLeaseReply{Refusal: string(peerlease.RefusalProcess)}
	}
	refusal := r.leases.grants.Grant(peerlease.Request(req), r.session.answering())
	if refusal == "" {
		r.leases.granted.Add(1)
	} else {
		r.leases.refused.Add(1)
	}
	return pointport.PeerLeaseReply{Refusal: string(refusal)}
}

// AnswerTakeover answers another member that wants to take a pool.
func (r *Roster) AnswerTakeover(req pointport.TakeoverRequest) pointport.TakeoverReply {
	out := pointport.TakeoverReply{Kind: string(peerlease.AnswerRestarted), Name: r.self.Name}
	p := r.leases
	switch {
	case p == nil || req.Process != p.self.ID:
		// AnswerRestarted, as set above.
	case req.FormerOwner:
		p.mu.Lock()
		acting := p.acting[req.Pool]
		p.mu.Unlock()
		out.Kind = string(peerlease.AnswerHolds)
		if !acting {
			out.Kind = string(peerlease.AnswerReleased)
			out.Recorded = p.recorded(req.Pool, req.Fence)
		}
	default:
		remaining, granted := p.grants.AllowTakeover(req.Pool, req.Fence)
		out.Kind, out.Remaining, out.Recorded = string(peerlease.AnswerAllowed), remaining, !granted
	}
	return out
}

// PeerLeaseCounts returns how many peer leases this member has granted and refused, and how many of
// its ownerships are proven only by peer leases at present.
func (r *Roster) PeerLeaseCounts() (granted, refused, inUse int64) {
	if r.leases == nil {
		return 0, 0, 0
	}
	return r.leases.granted.Load(), r.leases.refused.Load(), r.leases.inUse.Load()
}
