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
	// stored are the standbys of the document that is stored. pending are those of a document
	// whose transaction has no answer yet; changing reports whether there is one.
	stored, pending []Process
	changing        bool
	leases          map[string]time.Time // by process ID, until when a lease counts
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
// of both are needed until EndChange.
func (p *Proof) BeginChange(standbys []Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending, p.changing = standbys, true
}

// EndChange notes whether the document of BeginChange is stored.
func (p *Proof) EndChange(stored bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stored {
		p.stored = p.pending
	}
	p.pending, p.changing = nil, false
}

// Needed returns the standbys whose leases prove the ownership.
func (p *Proof) Needed() []Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.needed()
}

// needed is Needed with the lock held.
func (p *Proof) needed() []Process {
	out := slices.Clone(p.stored)
	for _, s := range p.pending {
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
	// A stored or pending document without standbys can be taken over by any member that asks
	// only the owner.
	if len(p.stored) == 0 || p.changing && len(p.pending) == 0 {
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
