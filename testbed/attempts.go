package testbed

import (
	"fmt"
	"time"
)

// This file checks that no task is started again once it has used up its failed runs.

// A failedEnd is the end of a run as failed.
type failedEnd struct {
	incarnation *incarnation
	number      int64
	// acknowledgedAt is when the end was acknowledged, zero until then.
	acknowledgedAt time.Time
}

// copyGrace is how long after the acknowledgement of its last permitted failed run a task that
// allows copies may still be started.
const copyGrace = time.Second

// An excessStart is a start of a task that has already had as many failed runs as it may. It is a
// violation only if enough of these ends were acknowledged, which may become known after the
// start.
type excessStart struct {
	when time.Time
	run  *run
	ends []*failedEnd
}

// noteFailed records that a run has ended as failed. The lock is held.
func (f *Fleet) noteFailed(task string, at *incarnation) {
	f.failedEnds[task] = append(f.failedEnds[task], &failedEnd{incarnation: at, number: at.lastEndNumber})
}

// noteFailuresAcknowledged records that the ends up to a number were acknowledged. The lock is
// held.
func (f *Fleet) noteFailuresAcknowledged(at *incarnation, upTo int64) {
	for _, ends := range f.failedEnds {
		for _, e := range ends {
			if e.incarnation == at && e.number <= upTo && e.acknowledgedAt.IsZero() {
				e.acknowledgedAt = f.clock.Now()
			}
		}
	}
}

// checkAttempts records a start of a task that has had as many failed runs as it may. The lock is
// held.
func (f *Fleet) checkAttempts(now time.Time, r *run) {
	ends := f.failedEnds[r.Task]
	if r.work.MaxAttempts > 0 && len(ends) >= r.work.MaxAttempts {
		f.excessStarts = append(f.excessStarts, excessStart{now, r, append([]*failedEnd(nil), ends...)})
	}
}

// excessStartViolations returns a violation for each start that followed as many acknowledged
// failed runs as its task may have. The lock is held.
func (f *Fleet) excessStartViolations() []Violation {
	var out []Violation
	for _, s := range f.excessStarts {
		acknowledged := 0
		for _, e := range s.ends {
			if !e.acknowledgedAt.IsZero() && (!s.run.work.Copies || s.when.Sub(e.acknowledgedAt) > copyGrace) {
				acknowledged++
			}
		}
		if acknowledged >= s.run.work.MaxAttempts {
			out = append(out, Violation{s.when, s.run.Task, fmt.Sprintf("was started as run %d after %d failed runs", s.run.Run, acknowledged)})
		}
	}
	return out
}
