package testbed

import (
	"fmt"
	"time"
)

// This file judges whether tasks are started again after as many failed runs as they may
// have.

// A failedEnd is the end of a run as failed.
type failedEnd struct {
	at     *incarnation
	number int64
	// told is when the end was acknowledged, zero while it was not.
	told time.Time
}

// copyGrace is how long after the last such end was acknowledged a task of which copies
// may run may still start.
const copyGrace = time.Second

// A startBeyond is a start after as many failed runs as its task may have. Whether it is
// wrong shows once it is known which of their ends were acknowledged, then or later.
type startBeyond struct {
	when time.Time
	run  *run
	ends []*failedEnd
}

// noteFailed notes that a run has ended as failed. The lock is held.
func (f *Fleet) noteFailed(task string, at *incarnation) {
	f.failed[task] = append(f.failed[task], &failedEnd{at: at, number: at.number})
}

// noteFailuresTold notes that ends up to a number were acknowledged. The lock is held.
func (f *Fleet) noteFailuresTold(at *incarnation, upTo int64) {
	for _, ends := range f.failed {
		for _, e := range ends {
			if e.at == at && e.number <= upTo && e.told.IsZero() {
				e.told = f.clock.Now()
			}
		}
	}
}

// checkAttempts notes a start after as many failed runs as its task may have. The lock is
// held.
func (f *Fleet) checkAttempts(now time.Time, r *run) {
	ends := f.failed[r.Task]
	if r.work.MaxAttempts > 0 && len(ends) >= r.work.MaxAttempts {
		f.beyond = append(f.beyond, startBeyond{now, r, append([]*failedEnd(nil), ends...)})
	}
}

// startsBeyond returns the starts that were beyond what their tasks may have. The lock is
// held.
func (f *Fleet) startsBeyond() []Violation {
	var out []Violation
	for _, s := range f.beyond {
		told := 0
		for _, e := range s.ends {
			if !e.told.IsZero() && (!s.run.work.Copies || s.when.Sub(e.told) > copyGrace) {
				told++
			}
		}
		if told >= s.run.work.MaxAttempts {
			out = append(out, Violation{s.when, s.run.Task, fmt.Sprintf("starts as run %d after %d failed ones", s.run.Run, told)})
		}
	}
	return out
}
