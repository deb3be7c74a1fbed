package schedule

import "time"

// This file defines how an instance that fails what it starts is stepped
// around.

const (
	// failuresToAvoid is after how many failures in a row a worker is avoided.
	// Tasks fail by themselves now and then, seldom twice in a row.
	failuresToAvoid = 2
	// avoidFirst is for how long a worker is avoided at first; each further
	// failure doubles it.
	avoidFirst = 2 * time.Second
	// avoidMost bounds that, so that a healed instance is found out.
	avoidMost = 16 * time.Second
)

// health is what the ends of a worker's runs say of it.
type health struct {
	failures int // in a row
	avoid    time.Time
	span     time.Duration
}

// succeeded takes in that a run on the worker has ended well.
func (h *health) succeeded() { *h = health{} }

// failed takes in that a run on the worker has failed. It reports whether the
// worker is avoided from now on.
func (h *health) failed(now time.Time) bool {
	h.failures++
	if h.failures < failuresToAvoid {
		return false
	}
	h.span = min(max(avoidFirst, 2*h.span), avoidMost)
	h.avoid = now.Add(h.span)
	return true
}

// stalled takes in that a run on the worker stood still or crawled.
func (h *health) stalled(now time.Time) {
	h.avoid = now.Add(stallAvoid)
}

// avoided reports whether nothing should be placed on the worker.
func (h *health) avoided(now time.Time) bool { return now.Before(h.avoid) }
