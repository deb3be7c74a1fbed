package pointport

import "time"

// This file defines the choice among upstreams.

// A Candidate is what is known of an upstream that has room.
type Candidate struct {
	inFlight int
	limit    int
	latency  time.Duration
	ownZone  bool
}

// NewCandidate returns what is known of an upstream: the requests that this
// entry instance has in flight there, the most that it would send, the time
// that a request takes there, and whether it is in the same availability zone.
func NewCandidate(inFlight, limit int, latency time.Duration, ownZone bool) Candidate {
	return Candidate{inFlight, limit, latency, ownZone}
}

// InFlight returns the requests that this entry instance has in flight there.
func (c Candidate) InFlight() int { return c.inFlight }

// Limit returns the most requests that this entry instance would send there.
func (c Candidate) Limit() int { return c.limit }

// Latency returns the time that a request takes there, failures counted as slow.
func (c Candidate) Latency() time.Duration { return c.latency }

// OwnZone reports whether the upstream is in the same availability zone.
func (c Candidate) OwnZone() bool { return c.ownZone }

// A Chooser chooses between upstreams.
type Chooser interface {
	// Better reports whether a should be used rather than b.
	Better(a, b Candidate) bool
}

// An Unlimited is a Chooser that ignores limits and order. It exists for
// baselines in experiments.
type Unlimited interface {
	// Next returns the index to use of n upstreams, in turn.
	Next(n int) int
}
