package daemon

import (
	"time"

	"github.com/pointport/pointport/planner"
)

// This file defines how often the platform's list of instances is read.

// maxListInterval is the maximum time between two reads of the list.
const maxListInterval = time.Minute

// listByteInterval returns the minimum time between two reads of the zone's list
// at which the transferred bytes stay within the configured rate. It is at most
// maxListInterval.
func (e *Entry) listByteInterval() time.Duration {
	seconds := float64(e.platform.ListBytes()) / float64(e.settings.listByteRate)
	return min(time.Duration(seconds*float64(time.Second)), maxListInterval)
}

// listInterval returns how long this entry instance waits between two reads.
func (e *Entry) listInterval() time.Duration {
	return max(e.settings.refreshInterval, e.listByteInterval())
}

// planInterval returns how long the planner waits between two reads.
func (e *Entry) planInterval() time.Duration {
	return max(planner.DefaultInterval, e.listByteInterval())
}
