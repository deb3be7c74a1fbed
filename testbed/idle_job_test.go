package testbed_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// These tests guard against a check of accepted jobs that sees none that stands still, or reports one that
// may wait.

const (
	idleJob  = "00000000000000dd"
	otherJob = "00000000000000ee"
	// bootSettleTime is how long after the boot of its instances a fleet counts as undisturbed.
	bootSettleTime = 14 * time.Second
)

// idleJobCase is what happens to a job of one task that is accepted and never started, in a fleet of three
// instances for two tasks each.
type idleJobCase struct {
	name   string
	change func(*workload.Step) // changes the step of the job
	before func(*servingFleet)
	// want is whether the job is reported within 9 s, before leases lapse that nobody extends.
	want bool
}

// runOther runs n tasks of another job of the same customer, which are accepted.
func runOther(f *servingFleet, n int) {
	f.NoteAccepted(otherJob, &workload.Queue{Pool: "shift"}, "bistro", &workload.Spec{Steps: []workload.Step{{Count: n, Need: servingShape}}})
	for i, id := range []pointport.InstanceID{"m-0", "m-1", "m-2"}[:n] {
		f.start(id, workload.TaskName(otherJob, workload.TaskRef{Index: i}), 1)
	}
}

var idleJobCases = []idleJobCase{
	{name: "calm", want: true},
	{name: "started", before: func(f *servingFleet) { f.start("m-0", idleJob+".0.0.0", 1) }},
	{name: "cancelled", before: func(f *servingFleet) { f.NoteCancelRequested(idleJob) }},
	{name: "disturbed at one moment", before: func(f *servingFleet) { f.NoteDisturbance(time.Now()) }},
	{name: "disturbed all the time", before: func(f *servingFleet) { f.BeginDisturbance() }},
	{name: "customer under half of its cap", want: true, before: func(f *servingFleet) {
		f.SetCap("bistro", servingShape.Times(3))
		runOther(f, 1)
	}},
	{name: "customer at half of its cap", before: func(f *servingFleet) {
		f.SetCap("bistro", servingShape.Times(2))
		runOther(f, 1)
	}},
	{name: "other customer at its cap", want: true, before: func(f *servingFleet) {
		f.SetCap("cafe", servingShape)
		runOther(f, 1)
	}},
	{name: "room for one task", before: func(f *servingFleet) { f.Crash("m-0", 0); f.Crash("m-1", 0) }, change: func(s *workload.Step) { s.Need = servingShape.Times(2) }},
	{name: "label of no instance", change: func(s *workload.Step) { s.Label = "x" }},
	{name: "gang with room for one", change: func(s *workload.Step) { s.Count, s.Gang = 4, true }},
	{name: "gang with room for two", want: true, change: func(s *workload.Step) { s.Count, s.Gang = 3, true }},
}

// A job with nothing running is reported while there is room for it twice over and its customer is under half
// of its cap, and not otherwise.
func TestIdleJobIsReported(t *testing.T) {
	for _, k := range idleJobCases {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				work := func(pointport.StartOrder) testbed.Work {
					return testbed.Work{Reservation: servingShape, Duration: time.Hour}
				}
				fleet := testbed.New(clock.System{}, testbed.WithWork(work))
				f := &servingFleet{Fleet: fleet, t: t, executor: fleet.Executor(testbed.Reliable)}
				for _, id := range []pointport.InstanceID{"m-0", "m-1", "m-2"} {
					f.Add(id, "shift", "north", "r-1", servingShape.Times(2))
				}
				time.Sleep(bootSettleTime)
				step := workload.Step{Count: 1, Need: servingShape}
				if k.change != nil {
					k.change(&step)
				}
				f.NoteAccepted(idleJob, &workload.Queue{Pool: "shift"}, "bistro", &workload.Spec{Steps: []workload.Step{step}})
				if k.before != nil {
					k.before(f)
				}
				for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
					f.CheckIdleJobs()
				}
				reported := false
				for _, v := range f.Violations() {
					reported = reported || v.Task == idleJob && strings.Contains(v.What, "nothing running")
				}
				if reported != k.want {
					t.Errorf("reported: %v, want %v; %v", reported, k.want, f.Violations())
				}
			})
		})
	}
}
