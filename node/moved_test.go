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

// This file tests pools whose instances come and go with their peaks, on a platform that shows
// the registration of an instance until heartbeats were missed.

// linger is for how long a registration stays: three heartbeats of 1.5 s.
const linger = 4500 * time.Millisecond

// Peaks come to two pools by turns, and instances with them. None of those that were moved
// counts as crashed, none is avoided when it comes back, and their owner does not doubt itself
// because those that have gone are silent.
func TestMovedInstancesAreNotSuspected(t *testing.T) {
	room := pointport.Shape{CPUMilli: 2000, MemoryMiB: 128}
	bubble(t, 3, func(c *cluster) {
		jobs := 0
		for turn := range 6 {
			pool := []string{"shift-close", "payout-close"}[turn%2]
			for range 20 {
				n := c.any(0)
				submit(t, n, queue(t, n, pool), jobID(jobs), &workload.Spec{Steps: []workload.Step{{Count: 4, Need: room, Estimate: time.Second}}})
				jobs++
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(4 * time.Second)
		}
		if got := c.logs.about("machine ordered"); strings.Count(got, "\n") < 20 {
			t.Fatalf("%d orders about machines, want instances that move", strings.Count(got, "\n"))
		}
		for _, what := range []string{"cause=crashed", "instance suspected", "owner doubts itself"} {
			if got := c.logs.about(what); got != "" {
				t.Errorf("%d lines of %q, the first:\n%s", strings.Count(got, "\n"), what, strings.SplitAfter(got, "\n")[0])
			}
		}
	}, withLinger(linger), withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Reservation: room, Duration: time.Second}
	}))
}

// Whatever goes wrong beside, rules hold where registrations stay for a while.
func TestRulesHoldWhileRegistrationsLinger(t *testing.T) {
	t.Parallel()
	checkScriptsWith(t, func(t *rapid.T) script {
		s := drawScript(t)
		drawEvacuations(t, &s)
		return s
	}, withLinger(linger))
}
