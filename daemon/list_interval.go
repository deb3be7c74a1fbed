package daemon

import (
	"time"

	"github.com/pointport/pointport/planner"
)

// This file defines how often the platform's list is read.

// maxListPause bounds the time between two readings of the list.
const maxListPause = time.Minute

// byBytes is how long the zone's list must rest for its bytes to stay within
// what the settings allow.
func (e *Entry) byBytes() time.Duration {
	seconds := float64(e.platform.ListBytes()) / float64(e.settings.listRate)
	return min(time.Duration(seconds*float64(time.Second)), maxListPause)
}

// listPause is how long this entry instance waits between two readings.
func (e *Entry) listPause() time.Duration { return max(e.settings.refresh, e.byBytes()) }

// planPause is how long the planner waits between two readings.
func (e *Entry) planPause() time.Duration { return max(planner.DefaultInterval, e.byBytes()) }
