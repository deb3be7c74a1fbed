// Package elect keeps a named lease of the platform's service, so that one
// process at a time does a piece of work.
//
// Invariant: Held is true only while the lease cannot have lapsed, counted by
// this process's own clock from before the call that granted it. A lease saves
// work and never protects correctness: whoever holds it still commits by
// compare-and-swap.
package elect

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the candidate for a lease.

// DefaultTTL is how long a lease lasts unrenewed.
const DefaultTTL = 10 * time.Second

// renewalsPerTTL is how often a lease is renewed within its time.
const renewalsPerTTL = 3

// A Candidate asks for a lease again and again. It is safe for concurrent use.
type Candidate struct {
	leaser pointport.Leaser
	clock  pointport.Clock
	name   string
	holder string
	ttl    time.Duration

	mu          sync.Mutex
	heldUntil   time.Time
	otherHolder string // who else had the lease when it was last asked for
}

// Start returns a candidate for the lease called name, which asks for it until
// ctx ends and then gives it back.
func Start(ctx context.Context, leaser pointport.Leaser, clock pointport.Clock, name, holder string, ttl time.Duration) *Candidate {
	c := &Candidate{leaser: leaser, clock: clock, name: name, holder: holder, ttl: ttl}
	go func() {
		for ctx.Err() == nil {
			c.acquire(ctx)
			select {
			case <-clock.After(c.interval()):
			case <-ctx.Done():
			}
		}
		c.release()
	}()
	return c
}

// Held reports whether this process has the lease.
func (c *Candidate) Held() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Steady().Before(c.heldUntil)
}

func (c *Candidate) acquire(ctx context.Context) {
	from := c.clock.Steady()
	err := c.leaser.Lease(ctx, c.name, c.holder, c.ttl)
	c.mu.Lock()
	defer c.mu.Unlock()
	var held *pointport.HeldError
	switch {
	case err == nil:
		c.heldUntil, c.otherHolder = from.Add(c.ttl), ""
	case errors.As(err, &held):
		c.otherHolder = held.Holder
	}
}

// interval is how long to wait before the lease is asked for again. While another
// has it, asking more often than once in its time would only cost calls.
func (c *Candidate) interval() time.Duration {
	if c.OtherHolder() != "" {
		return c.ttl
	}
	return c.ttl / renewalsPerTTL
}

// OtherHolder returns who else had the lease when it was last asked for, or nothing.
func (c *Candidate) OtherHolder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.otherHolder
}

// release ends the lease so that the next holder need not wait.
func (c *Candidate) release() {
	held := c.Held()
	c.mu.Lock()
	c.heldUntil = time.Time{}
	c.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// The lease lapses by itself if this fails.
	_ = c.leaser.Release(ctx, c.name, c.holder)
}
