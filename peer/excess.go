package peer

import "time"

// This file defines what a member remembers of whom no more jobs are wanted.

const (
	// minExcess and excessMost bound for how long a member refuses a customer's jobs by
	// what a pool's owner has said once. After that one job more is sent to the owner, whose
	// answer renews it: the shorter, the more of a storm comes through (43 members, a job
	// each), and the longer, the later is noticed that there is room again. A peak lasts
	// some seconds.
	minExcess = time.Second
	maxExcess = 1500 * time.Millisecond
)

// A customerKey names a customer in a pool.
type customerKey struct{ pool, customer string }

// recordExcess takes in for how long a pool's owner wants no more jobs of a customer; zero if
// it wants them.
func (o *Owners) recordExcess(pool, customer string, d time.Duration) {
	if d > 0 {
		d = min(max(d, minExcess), maxExcess)
	}
	o.excess.set(customerKey{pool, customer}, d)
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
	return o.excess.remaining(customerKey{pool, customer})
}
