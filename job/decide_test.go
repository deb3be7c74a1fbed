package job_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/job"
)

var now = time.Unix(1_800_000_000, 0)

// newInput returns an input with instances of 16 cores and with waiting jobs. If
// each is not nil, it may modify the job with index n.
func newInput(tb testing.TB, instances, waiting int, each func(n int, j *job.Job)) job.Input {
	in := job.Input{Now: now, State: job.NewState(), Services: map[string]string{"pool": "proof"}, Quotas: map[string]int64{}}
	for n := range instances {
		in.Members = append(in.Members, assign.Member{
			ID: pointport.InstanceID(fmt.Sprint("i", n)), Pool: "pool", Phase: assign.Serving,
			Shape: pointport.Shape{CPUMilli: 16000, MemoryMiB: 32768},
		})
	}
	change := job.Change{ID: "fill", Version: 1}
	for n := range waiting {
		j := job.Job{
			ID: fmt.Sprintf("job-%06d", n), Customer: fmt.Sprint("c", n%440), Kind: "proof", Service: "proof", Phase: job.Waiting,
			Need: pointport.Shape{CPUMilli: 1000 * int64(1+n%4), MemoryMiB: 512}, Runtime: time.Minute, Priority: config.Normal, Submitted: now,
		}
		if each != nil {
			each(n, &j)
		}
		change.Steps = append(change.Steps, job.Step{Job: j.ID, After: &j})
	}
	var err error
	if in.State, err = in.State.Apply(change); err != nil {
		tb.Fatal(err)
	}
	return in
}

func apply(t *testing.T, in job.Input, steps []job.Step) job.Input {
	t.Helper()
	var err error
	if in.State, err = in.State.Apply(job.Change{ID: "next", Version: in.State.Version() + 1, Steps: steps}); err != nil {
		t.Fatal(err)
	}
	return in
}

// TestLongQueueStaysWithinStoreLimit decides on far more jobs than fit. If a
// decision changed all of them at once, the change would exceed the store's limit
// of one megabyte. It also checks that no instance is overcommitted, that each
// waiting job has a reason, and that the decisions converge.
func TestLongQueueStaysWithinStoreLimit(t *testing.T) {
	in := newInput(t, 20, 5000, nil)
	for round := 0; ; round++ {
		steps := job.Decide(in)
		if len(steps) == 0 {
			break
		}
		if data, err := json.Marshal(steps); err != nil || len(data) > 500<<10 {
			t.Fatalf("a change has %d bytes: %v", len(data), err)
		}
		if round > 20 {
			t.Fatal("the decisions do not converge")
		}
		in = apply(t, in, steps)
	}
	used := make(map[pointport.InstanceID]int64)
	for _, j := range in.State.Jobs() {
		if j.Phase == job.Running {
			used[j.Instance] += j.Need.CPUMilli
		} else if j.Reason == "" {
			t.Fatalf("job %s waits without a reason", j.ID)
		}
	}
	for i, n := range used {
		if n > 16000 {
			t.Errorf("instance %s: its jobs use %d thousandths of a core, it has 16000", i, n)
		}
	}
}

// TestUrgentJobsFirstWithinQuota submits the urgent jobs last. They must be placed
// before older ones, and no customer may exceed its quota.
func TestUrgentJobsFirstWithinQuota(t *testing.T) {
	in := newInput(t, 1, 40, func(n int, j *job.Job) {
		j.Need.CPUMilli, j.Customer = 2000, fmt.Sprint("c", n%2)
		if n >= 36 {
			j.Priority = config.Urgent
		}
	})
	in.Quotas["c1"] = 4000
	urgent, ofC1 := 0, int64(0)
	for _, s := range job.Decide(in) {
		if s.After.Phase != job.Running {
			continue
		}
		if s.After.Priority == config.Urgent {
			urgent++
		}
		if s.After.Customer == "c1" {
			ofC1 += s.After.Need.CPUMilli
		}
	}
	if urgent != 4 || ofC1 != 4000 {
		t.Errorf("%d urgent jobs were placed, want 4; customer c1 uses %d thousandths of a core, want its quota of 4000", urgent, ofC1)
	}
}

// BenchmarkDecide measures a decision about ten thousand waiting jobs with no
// free capacity, which is the most expensive case.
func BenchmarkDecide(b *testing.B) {
	for _, instances := range []int{250, 500, 1000, 2000} {
		in := newInput(b, instances, 10000, func(n int, j *job.Job) {
			j.Reason = fmt.Sprintf("%d instances of service proof are large enough; none has room now", instances)
			if n < instances {
				j.Phase, j.Instance, j.Task, j.Need.CPUMilli = job.Running, pointport.InstanceID(fmt.Sprint("i", n)), pointport.TaskID(fmt.Sprint("t", n)), 16000
				j.Started = now
			}
		})
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if steps := job.Decide(in); len(steps) != 0 {
					b.Fatalf("got %d steps, want none", len(steps))
				}
			}
		})
	}
}

// TestNoJobStartsInAnEvacuatedZone checks that jobs wait with a reason while
// their zone is evacuated, that this takes one step for each, and that they start
// when the zone is open again.
func TestNoJobStartsInAnEvacuatedZone(t *testing.T) {
	in := newInput(t, 4, 3, nil)
	in.Evacuated = true
	in = apply(t, in, job.Decide(in))
	for _, j := range in.State.Jobs() {
		if j.Phase != job.Waiting || j.Reason != "its availability zone is evacuated" {
			t.Errorf("job %s in the evacuated zone is %s: %s", j.ID, j.Phase, j.Reason)
		}
	}
	if steps := job.Decide(in); len(steps) != 0 {
		t.Errorf("got %d steps although nothing has changed", len(steps))
	}
	in.Evacuated = false
	in = apply(t, in, job.Decide(in))
	for _, j := range in.State.Jobs() {
		if j.Phase != job.Running {
			t.Errorf("job %s is %s although the zone is open: %s", j.ID, j.Phase, j.Reason)
		}
	}
}
