// Package elect maintains a named lease of the platform's service, so that only one process at
// a time does a piece of work.
//
// Invariant: Held returns true only while the lease cannot have expired, counted by this
// process's own clock from before the call that granted it. The lease only avoids duplicate
// work and does not protect correctness: its holder still commits by compare-and-swap.
package elect

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the candidate for a lease.

// DefaultTTL is how long a lease lasts without renewal.
const DefaultTTL = 10 * time.Second

// renewalsPerTTL is how often the holder renews a lease within its TTL.
const renewalsPerTTL = 3

// Candidate repeatedly tries to acquire a lease, and renews it once acquired. It is safe for
// concurrent use.
type Candidate struct {
	leaser pointport.Leaser
	clock  pointport.Clock
	name   string
	holder string
	ttl    time.Duration

	mu          sync.Mutex
	heldUntil   time.Time
	otherHolder string // holder that the last attempt found, if it was not this process
}

// Start returns a candidate for the lease with the given name. It tries to acquire and keep
// the lease until ctx ends, and then releases it.
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

// Held reports whether this process holds the lease.
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

// interval returns how long to wait until the next attempt. While another process holds the
// lease, more than one attempt in each TTL would only cost calls.
func (c *Candidate) interval() time.Duration {
	if c.OtherHolder() != "" {
		return c.ttl
	}
	return c.ttl / renewalsPerTTL
}

// OtherHolder returns the other process that held the lease at the last attempt, or an empty
// string if there was none.
func (c *Candidate) OtherHolder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.otherHolder
}

// release gives up the lease so that the next holder need not wait until it expires.
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
	// If this fails, the lease expires by itself.
	_ = c.leaser.Release(ctx, c.name, c.holder)
}
