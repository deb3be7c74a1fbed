package peer

import (
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what a member remembers of whom no more jobs are wanted.

const (
	// excessLeast and excessMost bound for how long a member refuses a customer's jobs by
	// what a pool's owner has said once. After that one job more is sent to the owner, whose
	// answer renews it: the shorter, the more of a storm comes through (43 members, a job
	// each), and the longer, the later is noticed that there is room again. A peak lasts
	// some seconds.
	excessLeast = time.Second
	excessMost  = 1500 * time.Millisecond
)

// crowded are the customers of whom owners want no more jobs. It is safe for concurrent use.
type crowded struct {
	clock pointport.Clock
	mu    sync.Mutex
	until map[crowdKey]time.Time
}

type crowdKey struct{ pool, customer string }

func newCrowded(clock pointport.Clock) *crowded {
	return &crowded{clock: clock, until: make(map[crowdKey]time.Time)}
}

// note takes in for how long an owner wants no more jobs; zero if it wants them.
func (c *crowded) note(pool, customer string, d time.Duration) {
	if customer == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := crowdKey{pool, customer}
	if d <= 0 {
		delete(c.until, key)
		return
	}
	c.until[key] = c.clock.Steady().Add(min(max(d, excessLeast), excessMost))
}

// left returns for how long no more jobs are wanted, zero if they are.
func (c *crowded) left(pool, customer string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.until[crowdKey{pool, customer}].Sub(c.clock.Steady()))
}

// Excess returns for how long a pool's owner wants no more jobs of a customer, zero if it
// does or is not known to say so.
func (o *Owners) Excess(pool, customer string) time.Duration {
	if customer == "" {
		return 0
	}
	if local, ok := o.keeper.Tenant(pool); ok {
		return local.Excess(customer)
	}
	return o.crowded.left(pool, customer)
}
