package planner

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
)

// This file defines what a planner remembers between its rounds. It is not stored:
// a new planner observes it again and only waits a little longer.

// A quietPeriod is a period in which all reports show an instance without requests in flight.
type quietPeriod struct {
	from, last time.Time // by the planner's own clock
	reported   time.Time // the last report, by the platform's
}

// A tracker records since when instances are quiet or absent.
type tracker struct {
	quietPeriod map[pointport.InstanceID]quietPeriod
	absent      map[pointport.InstanceID]time.Time
}

func newTracker() tracker {
	return tracker{quietPeriod: map[pointport.InstanceID]quietPeriod{}, absent: map[pointport.InstanceID]time.Time{}}
}

// observe records one list read from the platform.
func (t tracker) observe(now time.Time, state *assign.State, listed []pointport.Instance) {
	present := make(map[pointport.InstanceID]bool, len(listed))
	for _, i := range listed {
		present[i.ID] = true
		delete(t.absent, i.ID)
		t.observeQuiet(now, i)
	}
	for _, m := range state.Members() {
		if present[m.ID] {
			continue
		}
		delete(t.quietPeriod, m.ID)
		if _, known := t.absent[m.ID]; !known {
			t.absent[m.ID] = now
		}
	}
}

// observeQuiet records one instance's report. The list lags, so a report counts
// only once it shows the instance as leaving: it is then newer than the drain command.
// A report with an unchanged timestamp adds nothing.
func (t tracker) observeQuiet(now time.Time, i pointport.Instance) {
	if i.InFlight > 0 || i.State != pointport.InstanceLeaving {
		delete(t.quietPeriod, i.ID)
		return
	}
	q, known := t.quietPeriod[i.ID]
	if !known {
		t.quietPeriod[i.ID] = quietPeriod{now, now, i.Reported}
		return
	}
	if i.Reported.After(q.reported) {
		q.last, q.reported = now, i.Reported
		t.quietPeriod[i.ID] = q
	}
}

// quietFor returns for how long each instance has been quiet.
func (t tracker) quietFor() map[pointport.InstanceID]time.Duration {
	out := make(map[pointport.InstanceID]time.Duration, len(t.quietPeriod))
	for id, q := range t.quietPeriod {
		out[id] = q.last.Sub(q.from)
	}
	return out
}
