package node_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests that jobs go on from their checkpoints, whatever text these are.

// checkpointTexts are texts that a stored form may garble: control characters, among them those that
// Go and JSON escape in different ways, unprintable characters beyond the basic plane, quotes, and
// what looks like an escape.
var checkpointTexts = []string{
	"k", "\x1funit", "\x00", "\a\b\f\n\r\t\v\x7f", "\U000e0067\U0010fffd", "\u00a0\u200b\u2028\ufeff\ufffd", `"\x1f"`, `\u001f</>&'`, "\u00e4\u4e16\U0001f600",
}

func drawCheckpointText(t *rapid.T) string {
	return rapid.OneOf(rapid.SampledFrom(checkpointTexts), rapid.StringOfN(rapid.Rune(), 1, 20, -1)).Draw(t, "checkpoint")
}

// The owner of a pool is killed after it has stored checkpoints of a job's tasks. If the stored
// progress cannot be decoded for a character in one of them, its successor leaves the job alone: its
// tasks are stopped, it never completes, and its customer is told that it is running.
func TestJobsGoOnFromCheckpointsOfAnyText(t *testing.T) {
	for n, text := range checkpointTexts {
		t.Run(fmt.Sprintf("%+q", text), func(t *testing.T) {
			t.Parallel()
			id := jobID(n)
			first := workload.TaskName(id, workload.TaskRef{})
			work := func(o pointport.StartOrder) testbed.Work {
				w := testbed.PayloadWork(o)
				w.Checkpoint = text
				if o.Task == first {
					w.Duration = time.Second // its end stores the checkpoints of the other tasks
				}
				return w
			}
			simulate(t, 3, func(c *cluster) {
				owner := c.owner("shift")
				n := c.otherNode(owner)
				spec := twoSteps(4 * time.Second)
				for i := range spec.Steps {
					spec.Steps[i].Checkpoints = true
				}
				submit(t, n, queue(t, n, "shift-close"), id, spec)
				time.Sleep(1500 * time.Millisecond)
				c.kill(owner)
				c.waitForStatus(n, queue(t, n, "shift-close"), id, workload.Completed, 20*time.Second)
				if unreadable := c.logs.containing("event=517"); unreadable != "" {
					t.Error(unreadable)
				}
			}, withWork(work))
		})
	}
}
