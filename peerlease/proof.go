package peerlease

import (
	"slices"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the leases that the owner of a pool holds.

// A Proof holds the leases that one ownership has, and the standbys whose leases it needs. It is
// safe for concurrent use.
type Proof struct {
	clock pointport.Clock
	limit time.Duration

	mu sync.Mutex
	// stored are the standbys of the document that is stored. pending are those of documents
	// whose transactions have no answer yet.
	stored, pending []Process
	// pendingEmpty reports whether one of the pending documents names no standby.
	pendingEmpty bool
	leases       map[string]time.Time // by process ID, until when a lease counts
}

// NewProof returns the proof of an ownership whose stored document names the given standbys. The
// leases prove it for at most limit after the proof by the store has ended.
func NewProof(clock pointport.Clock, limit time.Duration, standbys []Process) *Proof {
	return &Proof{clock: clock, limit: limit, stored: standbys, leases: make(map[string]time.Time)}
}

// Standbys returns the standbys of the stored document.
func (p *Proof) Standbys() []Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stored
}

// BeginChange notes that a document with other standbys is about to be sent to the store. The leases
// of both are needed until EndChange. If an earlier document has no answer yet, the leases of its
// standbys stay needed as well, because the store may still carry out its transaction.
func (p *Proof) BeginChange(standbys []Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = union(p.pending, standbys)
	p.pendingEmpty = p.pendingEmpty || len(standbys) == 0
}

// EndChange notes whether a document of BeginChange is stored. It must only be called with false if
// no such transaction can be carried out any more; a read that shows the earlier document does not
// tell that. If there were several documents, it is not known which is stored, and the standbys of
// all count as stored until the next change.
func (p *Proof) EndChange(stored bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case stored && p.pendingEmpty:
		p.stored = nil
	case stored:
		p.stored = p.pending
	}
	p.pending, p.pendingEmpty = nil, false
}

// Needed returns the standbys whose leases prove the ownership.
func (p *Proof) Needed() []Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.needed()
}

// needed is Needed with the lock held.
func (p *Proof) needed() []Process { return union(p.stored, p.pending) }

// union returns the processes of two lists, each once.
func union(a, b []Process) []Process {
	out := slices.Clone(a)
	for _, s := range b {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// Hold records that a standby has granted a lease to a request that was sent at asked.
func (p *Proof) Hold(standby Process, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := asked.Add(ownerDuration); until.After(p.leases[standby.ID]) {
		p.leases[standby.ID] = until
	}
}

// HeldUntil returns until when the lease of a standby counts; the zero time if there is none.
func (p *Proof) HeldUntil(standby Process) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leases[standby.ID]
}

// Until returns until when the leases prove the ownership, if the store proved it until
// provenByStore. It returns the zero time if a lease is missing, if there are no standbys, or if
// the store has never proven the ownership.
func (p *Proof) Until(provenByStore time.Time) time.Time {
	if provenByStore.IsZero() {
		return time.Time{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// A pool whose stored or pending document names no standbys can be taken over by any member
	// that asks only the owner.
	if len(p.stored) == 0 || p.pendingEmpty {
		return time.Time{}
	}
	until := provenByStore.Add(p.limit)
	for _, s := range p.needed() {
		lease, ok := p.leases[s.ID]
		if !ok {
			return time.Time{}
		}
		if lease.Before(until) {
			until = lease
		}
	}
	return until
}
