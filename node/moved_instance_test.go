package node_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests pools whose instances are moved with the load, on a platform that keeps the
// registration of an instance until heartbeats have been missed.

// registrationLinger is how long a registration remains: three heartbeats of 1.5 s.
const registrationLinger = 4500 * time.Millisecond

// Two pools have load peaks in turn, and instances move between them. No moved instance may
// count as crashed or be avoided when it returns, and the owner must not suspect that it is
// isolated because the instances that have left do not answer.
func TestMovedInstancesAreNotSuspected(t *testing.T) {
	need := pointport.Shape{CPUMilli: 2000, MemoryMiB: 128}
	simulate(t, 3, func(c *cluster) {
		jobs := 0
		for turn := range 6 {
			pool := []string{"shift-close", "payout-close"}[turn%2]
			for range 20 {
				n := c.anyNode(0)
				submit(t, n, queue(t, n, pool), jobID(jobs), &workload.Spec{Steps: []workload.Step{{Count: 4, Need: need, Estimate: time.Second}}})
				jobs++
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(4 * time.Second)
		}
		if got := c.logs.containing("machine ordered"); strings.Count(got, "\n") < 20 {
			t.Fatalf("%d orders about machines, want at least 20, so that instances move", strings.Count(got, "\n"))
		}
		for _, what := range []string{"cause=crashed", "instance suspected", "owner doubts itself"} {
			if got := c.logs.containing(what); got != "" {
				t.Errorf("%d lines of %q, the first:\n%s", strings.Count(got, "\n"), what, strings.SplitAfter(got, "\n")[0])
			}
		}
	}, withLinger(registrationLinger), withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Reservation: need, Duration: time.Second}
	}))
}

// The invariants of random faults also hold on a platform where registrations linger.
func TestInvariantsWithLingeringRegistrations(t *testing.T) {
	t.Parallel()
	checkScriptsWith(t, func(t *rapid.T) script {
		s := drawScript(t)
		drawEvacuations(t, &s)
		return s
	}, withLinger(registrationLinger))
}
