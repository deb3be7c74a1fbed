package testbed

import (
	"fmt"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the checkpoints that runs save, and checks those that starts bring.

// checkpointStep is how much progress, in percent, lies between two checkpoints of a run.
const checkpointStep = 10

// checkpoint returns the last checkpoint that a run has saved, empty if there is none. A run saves one
// with each step of its progress, and when it is stopped. It is the progress and the text of the work.
func (r *run) checkpoint(now time.Time) string {
	if r.work.Checkpoint == "" || r.work.Gang > 1 || r.work.Service || r.workingSince.IsZero() {
		return ""
	}
	saved := r.progress(now)
	if r.stopsAt.IsZero() {
		saved -= saved % checkpointStep
	}
	if saved == 0 {
		return ""
	}
	return fmt.Sprint(saved, r.work.Checkpoint)
}

// resume makes a run begin at the checkpoint that its start brings. It records a violation if no run
// of the task has saved that. The lock is held.
func (f *Fleet) resume(now time.Time, r *run, o pointport.StartOrder) {
	if o.Checkpoint == "" {
		return
	}
	if !f.checkpoints[r.Task][o.Checkpoint] {
		f.addViolation(now, r.Task, fmt.Sprintf("was started with the checkpoint %q, which none of its runs has saved", o.Checkpoint))
		return
	}
	// The checkpoint begins with a number, as it was saved by checkpoint.
	_, _ = fmt.Sscanf(strings.TrimSuffix(o.Checkpoint, r.work.Checkpoint), "%d", &r.initialProgress)
}

// noteCheckpoint records that the list of an incarnation shows a checkpoint of a task. The lock is
// held.
func (f *Fleet) noteCheckpoint(task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if f.checkpoints[task] == nil {
		f.checkpoints[task] = make(map[string]bool)
	}
	f.checkpoints[task][checkpoint] = true
}
