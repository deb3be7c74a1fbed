package testbed

import (
	"fmt"
	"time"
)

// This file judges whether tasks are started again after as many failed runs as they may
// have.

// A failedEnd is the end of a run as failed.
type failedEnd struct {
	incarnation *incarnation
	number      int64
	// acknowledgedAt is when the end was acknowledged, zero while it was not.
	acknowledgedAt time.Time
}

// copyGrace is how long after the last such end was acknowledged a task of which copies
// may run may still start.
const copyGrace = time.Second

// A excessStart is a start after as many failed runs as its task may have. Whether it is
// wrong shows once it is known which of their ends were acknowledged, then or later.
type excessStart struct {
	when time.Time
	run  *run
	ends []*failedEnd
}

// noteFailed notes that a run has ended as failed. The lock is held.
func (f *Fleet) noteFailed(task string, at *incarnation) {
	f.failedEnds[task] = append(f.failedEnds[task], &failedEnd{incarnation: at, number: at.lastEndNumber})
}

// noteFailuresAcknowledged notes that ends up to a number were acknowledged. The lock is held.
func (f *Fleet) noteFailuresAcknowledged(at *incarnation, upTo int64) {
	for _, ends := range f.failedEnds {
		for _, e := range ends {
			if e.incarnation == at && e.number <= upTo && e.acknowledgedAt.IsZero() {
				e.acknowledgedAt = f.clock.Now()
			}
		}
	}
}

// checkAttempts notes a start after as many failed runs as its task may have. The lock is
// held.
func (f *Fleet) checkAttempts(now time.Time, r *run) {
	ends := f.failedEnds[r.Task]
	if r.work.MaxAttempts > 0 && len(ends) >= r.work.MaxAttempts {
		f.excessStarts = append(f.excessStarts, excessStart{now, r, append([]*failedEnd(nil), ends...)})
	}
}

// excessStartViolations returns the starts that were beyond what their tasks may have. The lock is
// held.
func (f *Fleet) excessStartViolations() []Violation {
	var out []Violation
	for _, s := range f.excessStarts {
		told := 0
		for _, e := range s.ends {
			if !e.acknowledgedAt.IsZero() && (!s.run.work.Copies || s.when.Sub(e.acknowledgedAt) > copyGrace) {
				told++
			}
		}
		if told >= s.run.work.MaxAttempts {
			out = append(out, Violation{s.when, s.run.Task, fmt.Sprintf("starts as run %d after %d failed ones", s.run.Run, told)})
		}
	}
	return out
}
