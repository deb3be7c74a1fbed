package pointport

import "time"

// This file defines the choice among upstreams.

// A Candidate describes an upstream with free capacity, as one entry instance
// sees it.
type Candidate struct {
	inFlight int
	limit    int
	latency  time.Duration
	ownZone  bool
}

// NewCandidate returns a Candidate for an upstream: the number of requests that
// this entry instance has in flight there, the limit on that number, the time
// that a request takes there, and whether the upstream is in the same
// availability zone.
func NewCandidate(inFlight, limit int, latency time.Duration, ownZone bool) Candidate {
	return Candidate{inFlight, limit, latency, ownZone}
}

// InFlight returns the number of requests that this entry instance has in
// flight there.
func (c Candidate) InFlight() int { return c.inFlight }

// Limit returns the maximum number of requests that this entry instance may
// have in flight there.
func (c Candidate) Limit() int { return c.limit }

// Latency returns the time that a request takes there. Failed requests count as
// slow ones.
func (c Candidate) Latency() time.Duration { return c.latency }

// OwnZone reports whether the upstream is in the same availability zone.
func (c Candidate) OwnZone() bool { return c.ownZone }

// A Chooser compares upstreams for load balancing.
type Chooser interface {
	// Better reports whether a should be preferred to b.
	Better(a, b Candidate) bool
}

// An Unlimited is a Chooser that ignores limits and Better. It exists for
// baselines in experiments.
type Unlimited interface {
	// Next returns the index of the next of n upstreams, round-robin.
	Next(n int) int
}
