package node_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests from when jobs count that were refused during an outage of the store.

// TestRefusedJobCountsFromItsFirstSubmission checks that a job which was refused while the store was
// unavailable, and was then submitted through another node, counts from its first submission if the
// setting is enabled, and from its acceptance otherwise.
func TestRefusedJobCountsFromItsFirstSubmission(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		t.Run(fmt.Sprint(enabled), func(t *testing.T) {
			simulate(t, 2, func(c *cluster) {
				q := queue(t, c.nodes["n0"].node, "shift-close")
				time.Sleep(workload.MaxSubmissionAge)
				for n := range 40 {
					submitWithin(t, c, n, q, 3*time.Second, nil)
				}
				c.setStoreFault(func(string, string) memory.Fault { return memory.FaultDown })
				time.Sleep(3 * time.Second)
				refused := new(*intake.RefusedError)
				submitWithin(t, c, 100, q, 3*time.Second, refused)
				submitWithin(t, c, 101, q, 3*time.Second, refused)
				c.setStoreFault(noStoreFault)
				time.Sleep(time.Second)
				submitWithin(t, c, 101+1, q, 3*time.Second, nil)
				id := jobID(100)
				if err := c.nodes["n1"].node.Intake().SubmitWithin(context.Background(), q, id, twoSteps(100*time.Millisecond), 1990*time.Millisecond); err != nil {
					t.Fatal(err)
				}
				c.waitForStatus(c.nodes["n0"].node, q, id, workload.Completed, 10*time.Second)
				accepted := c.logs.containing("age=1.01s")
				if has := strings.Contains(accepted, id); has != enabled || strings.Count(accepted, "\n") > 1 {
					t.Errorf("jobs with an age: %q, want only %s, if enabled", accepted, id)
				}
			}, withDeadlineAge(enabled))
		})
	}
}

// withDeadlineAge sets whether jobs count from their first submission.
func withDeadlineAge(enabled bool) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.deadlineAge = enabled }
}

// submitWithin submits job n through one of two nodes in turn. The error must be one that refused
// can hold, or none if refused is nil.
func submitWithin(t *testing.T, c *cluster, n int, q *workload.Queue, remaining time.Duration, refused **intake.RefusedError) {
	t.Helper()
	service := c.nodes[fmt.Sprintf("n%d", n%2)].node.Intake()
	err := service.SubmitWithin(context.Background(), q, jobID(n), twoSteps(100*time.Millisecond), remaining)
	if refused == nil && err != nil || refused != nil && !errors.As(err, refused) {
		t.Fatalf("submission %d: error %v", n, err)
	}
}
