package peer

import "time"

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

// A crowdKey names a customer in a pool.
type crowdKey struct{ pool, customer string }

// noteExcess takes in for how long a pool's owner wants no more jobs of a customer; zero if
// it wants them.
func (o *Owners) noteExcess(pool, customer string, d time.Duration) {
	if d > 0 {
		d = min(max(d, excessLeast), excessMost)
	}
	o.crowded.set(crowdKey{pool, customer}, d)
}

// Excess returns for how long a pool's owner wants no more jobs of a customer, zero if it
// does or is not known to say so.
func (o *Owners) Excess(pool, customer string) time.Duration {
	if customer == "" {
		return 0
	}
	if local, ok := o.keeper.Controller(pool); ok {
		return local.Excess(customer)
	}
	return o.crowded.left(crowdKey{pool, customer})
}
