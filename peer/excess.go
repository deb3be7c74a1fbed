package peer

import "time"

// This file defines how a member remembers which customers' jobs a pool's owner refuses at
// present.

const (
	// minBacklogRefusal and maxBacklogRefusal bound how long a member refuses a customer's
	// jobs after one answer of a pool's owner. Afterwards it sends one more job to the
	// owner, whose answer renews the refusal. The shorter this time, the more jobs of an
	// overload get through, one from each of 43 members; the longer, the later a member
	// notices that the owner accepts jobs again. An overload lasts some seconds.
	minBacklogRefusal = time.Second
	maxBacklogRefusal = 1500 * time.Millisecond
)

// customerKey identifies a customer in a pool.
type customerKey struct{ pool, customer string }

// recordBacklogRefusal records how long a pool's owner wants no more jobs of a customer,
// zero if it accepts them.
func (o *OwnerClient) recordBacklogRefusal(pool, customer string, d time.Duration) {
	if d > 0 {
		d = min(max(d, minBacklogRefusal), maxBacklogRefusal)
	}
	o.backlogRefusals.set(customerKey{pool, customer}, d)
}

// BacklogRefusal returns how long a pool's owner wants no more jobs of a customer. It is zero
// if the owner accepts them, or is not known to refuse them.
func (o *OwnerClient) BacklogRefusal(pool, customer string) time.Duration {
	if customer == "" {
		return 0
	}
	if local, ok := o.manager.Controller(pool); ok {
		return local.BacklogRefusal(customer)
	}
	return o.backlogRefusals.remaining(customerKey{pool, customer})
}
