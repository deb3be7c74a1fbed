package peerlease

import (
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the leases that a member grants to the owners of pools.

// A Request asks a standby for a lease. Its fields are exported because it is encoded as JSON.
type Request struct {
	Pool  string          `json:"pool"`
	Fence pointport.Fence `json:"fence"`
	// Standby is the ID of the process that is asked.
	Standby string `json:"standby"`
}

// A Refusal is why a lease is not granted; it is empty for one that is.
type Refusal string

// The reasons for which a lease is not granted.
const (
	RefusalProcess  Refusal = "another process was asked"
	RefusalStore    Refusal = "the store answers"
	RefusalTakeover Refusal = "the pool is being taken over"
	RefusalFence    Refusal = "a takeover from this owner was allowed, or the pool has a later owner"
)

// Grants holds the leases that one process has granted. It is safe for concurrent use.
type Grants struct {
	clock   pointport.Clock
	process string

	mu    sync.Mutex
	pools map[string]*poolGrants
}

// poolGrants is the state of one pool.
type poolGrants struct {
	until time.Time // until when a lease is granted
	// granted is the highest fence of an owner that was ever granted a lease.
	granted pointport.Fence
	// refused is the highest fence of an owner from which a takeover was allowed, or that is known
	// to have been succeeded.
	refused pointport.Fence
	// takingOver reports whether this member is taking the pool or owns it.
	takingOver bool
}

// NewGrants returns the grants of a process, none so far.
func NewGrants(clock pointport.Clock, self Process) *Grants {
	return &Grants{clock: clock, process: self.ID, pools: make(map[string]*poolGrants)}
}

// pool returns the state of a pool. The lock must be held.
func (g *Grants) pool(name string) *poolGrants {
	p := g.pools[name]
	if p == nil {
		p = &poolGrants{}
		g.pools[name] = p
	}
	return p
}

// Grant grants a lease of Duration from now on, or returns why not. storeAnswers reports whether
// this member can reach the store; the owner's key may then be taken over by the usual rules.
func (g *Grants) Grant(r Request, storeAnswers bool) Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pool(r.Pool)
	switch {
	case r.Standby != g.process:
		return RefusalProcess
	case p.takingOver:
		return RefusalTakeover
	case r.Fence <= p.refused:
		return RefusalFence
	case storeAnswers:
		return RefusalStore
	}
	p.until = g.clock.Steady().Add(Duration)
	p.granted = max(p.granted, r.Fence)
	return ""
}

// BeginTakeover makes this member grant no more leases for a pool, and returns for how much longer
// one that it has granted lasts. Until then it must not act as the pool's owner.
//
// Before it sends the transaction that takes the pool, the member must call AllowTakeover for the
// former owner as well, and send it only if no granted lease lasts. The transaction may be carried
// out after EndTakeover; a lease granted meanwhile would be unknown to whoever takes the pool next.
func (g *Grants) BeginTakeover(pool string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pool(pool)
	p.takingOver = true
	return g.remaining(p)
}

// EndTakeover notes that this member neither owns a pool nor is taking it.
func (g *Grants) EndTakeover(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.pools[pool]; ok {
		p.takingOver = false
	}
}

// AllowTakeover makes this member grant no more leases to owners up to a fence, because another
// member wants to take the pool. It returns for how much longer a granted lease lasts, and whether
// the owner with that fence was ever granted one.
func (g *Grants) AllowTakeover(pool string, fence pointport.Fence) (remaining time.Duration, granted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pool(pool)
	p.refused = max(p.refused, fence)
	return g.remaining(p), p.granted >= fence
}

// Granted reports whether the owner with a fence was ever granted a lease.
func (g *Grants) Granted(pool string, fence pointport.Fence) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool(pool).granted >= fence
}

// NoteOwner notes that a pool has or had an owner with a fence. From then on owners with lower fences
// get no leases: otherwise a former owner that was isolated while the pool changed owners twice could
// prove itself by its former standbys.
func (g *Grants) NoteOwner(pool string, fence pointport.Fence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pool(pool)
	p.refused = max(p.refused, fence-1)
}

// remaining returns for how much longer a granted lease lasts. The lock must be held.
func (g *Grants) remaining(p *poolGrants) time.Duration {
	return max(0, p.until.Sub(g.clock.Steady()))
}
