package testbed

import (
	"fmt"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file checks that no task of a job starts once its cancellation is in force.

// CancelTime is how long after the acknowledgement of a cancellation starts of the job's tasks may
// still be sent, while nothing keeps the owner of its pool from learning of it.
const CancelTime = 3 * time.Second

// An acknowledgedCancellation is a cancellation of a job that its customer knows to be stored.
type acknowledgedCancellation struct {
	since    time.Time
	revision pointport.Revision // the store shows the cancellation at this revision
}

// NoteCancelled records that the cancellation of a job was acknowledged, and a revision of the store
// that is not older than that.
func (f *Fleet) NoteCancelled(job string, at pointport.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.cancelled[job]; !ok {
		f.cancelled[job] = acknowledgedCancellation{f.clock.Now(), at}
	}
}

// checkCancelled records a violation if a start concerns a job whose cancellation was acknowledged,
// and its owner must have known. An owner that has taken the pool since has read the store since: a
// fencing token is the revision at which the pool was taken. Any owner must know CancelTime after the
// acknowledgement, if the fleet checks that. The lock is held.
func (f *Fleet) checkCancelled(now, sent time.Time, o pointport.StartOrder) {
	job, _, err := workload.ParseTaskName(o.Task)
	if err != nil {
		return // a test's own name
	}
	cancelled, ok := f.cancelled[job]
	if !ok {
		return
	}
	switch after := sent.Sub(cancelled.since); {
	case pointport.Revision(o.Fence) > cancelled.revision:
		f.addViolation(now, o.Task, fmt.Sprintf("was started by an owner with fence %d, although the cancellation of its job was acknowledged at revision %d", o.Fence, cancelled.revision))
	case f.checksCancelTime && after > CancelTime:
		f.addViolation(now, o.Task, fmt.Sprintf("was sent a start %v after the cancellation of its job was acknowledged", after))
	}
}
