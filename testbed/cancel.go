package testbed

import (
	"fmt"
	"time"

	"github.com/pointport/pointport/workload"
)

// This file checks that no task of a job starts once its cancellation is in force.

// CancelTime is how long after the acknowledgement of a cancellation starts of the job's tasks may
// still be sent.
const CancelTime = 3 * time.Second

// NoteCancelled records that the cancellation of a job was acknowledged: from CancelTime on, a
// start of one of its tasks that is sent is a violation.
func (f *Fleet) NoteCancelled(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelledSince[job].IsZero() {
		f.cancelledSince[job] = f.clock.Now()
	}
}

// checkCancelled records a violation if a start was sent later than CancelTime after the
// cancellation of its job was acknowledged. The lock is held.
func (f *Fleet) checkCancelled(now, sent time.Time, task string) {
	job, _, err := workload.ParseTaskName(task)
	if err != nil {
		return // a test's own name
	}
	since := f.cancelledSince[job]
	if since.IsZero() || sent.Sub(since) < CancelTime {
		return
	}
	f.addViolation(now, task, fmt.Sprintf("was sent a start %v after the cancellation of its job was acknowledged", sent.Sub(since)))
}
