package schedule

import "time"

// This file defines how the owner notices soon that a serving task is at work again after its
// instance has crashed.
//
// A poll waits for an end for up to a second. A task that is at work 300 ms after its start would be
// seen at work only a second later, and a crash in between would count as one before it was at work.

const (
	// startWatchInterval is the time between two polls of an instance on which a start is watched.
	startWatchInterval = 100 * time.Millisecond
	// startWatchTime is for how long a start is watched.
	startWatchTime = 2 * time.Second
)

// watchStarts polls the instances on which serving tasks are starting whose last crashes count
// towards giving them up.
func (s *Scheduler) watchStarts(now time.Time) {
	if now.Before(s.startWatchAt) {
		return
	}
	s.startWatchAt = time.Time{}
	for e := range s.serving {
		for ref := range e.crashed {
			r := e.runs[ref]
			if r == nil || !r.watched(now) {
				continue
			}
			s.pollNow[r.worker] = struct{}{}
			s.startWatchAt = now.Add(startWatchInterval)
		}
	}
}

// watched reports whether it should soon be known that the run is at work.
func (r *Run) watched(now time.Time) bool {
	t := r.task()
	return t != nil && t.StartCrashes > 0 && r.state == runLive && !r.worker.silent && !r.atWork() && now.Sub(r.liveAt) < startWatchTime
}

// NextStartWatch returns when an instance on which a start is watched is polled next. It returns
// false if there is none.
func (s *Scheduler) NextStartWatch() (time.Time, bool) {
	return s.startWatchAt, !s.startWatchAt.IsZero()
}
