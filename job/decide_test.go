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

// grid returns an input with n instances of 16 processors and some waiting jobs.
func grid(tb testing.TB, instances, waiting int, each func(n int, j *job.Job)) job.Input {
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

// TestLongQueueFitsTheStore decides on a queue far beyond the room. No change may
// come near the megabyte that the store takes, no instance may be given more
// than it has, and the decisions must come to rest.
func TestLongQueueFitsTheStore(t *testing.T) {
	in := grid(t, 20, 5000, nil)
	for round := 0; ; round++ {
		steps := job.Decide(in)
		if len(steps) == 0 {
			break
		}
		if data, err := json.Marshal(steps); err != nil || len(data) > 500<<10 {
			t.Fatalf("a change has %d bytes: %v", len(data), err)
		}
		if round > 20 {
			t.Fatal("the decisions do not come to rest")
		}
		in = apply(t, in, steps)
	}
	used := make(map[pointport.InstanceID]int64)
	for _, j := range in.State.Jobs() {
		if j.Phase == job.Running {
			used[j.Instance] += j.Need.CPUMilli
		} else if j.Reason == "" {
			t.Fatalf("job %s does not say what it waits for", j.ID)
		}
	}
	for i, n := range used {
		if n > 16000 {
			t.Errorf("%s was given %d of 16000 thousandths of a processor", i, n)
		}
	}
}

// TestUrgentFirstAndQuota places urgent jobs before others, and no customer
// beyond its quota.
func TestUrgentFirstAndQuota(t *testing.T) {
	in := grid(t, 1, 40, func(n int, j *job.Job) {
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
		t.Errorf("%d of 4 urgent jobs were placed, c1 uses %d of 4000", urgent, ofC1)
	}
}

// BenchmarkDecide measures a decision with ten thousand waiting jobs and no room
// for them, which is the most work.
func BenchmarkDecide(b *testing.B) {
	for _, instances := range []int{250, 500, 1000, 2000} {
		in := grid(b, instances, 10000, func(n int, j *job.Job) {
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
					b.Fatalf("%d steps", len(steps))
				}
			}
		})
	}
}

// TestNoJobStartsInAnEvacuatedZone keeps jobs waiting, with the reason, until the zone is open.
func TestNoJobStartsInAnEvacuatedZone(t *testing.T) {
	in := grid(t, 4, 3, nil)
	in.Evacuated = true
	in = apply(t, in, job.Decide(in))
	for _, j := range in.State.Jobs() {
		if j.Phase != job.Waiting || j.Reason != "its availability zone is evacuated" {
			t.Errorf("%s is %s: %s", j.ID, j.Phase, j.Reason)
		}
	}
	if steps := job.Decide(in); len(steps) != 0 {
		t.Errorf("%d steps although nothing has changed", len(steps))
	}
	in.Evacuated = false
	in = apply(t, in, job.Decide(in))
	for _, j := range in.State.Jobs() {
		if j.Phase != job.Running {
			t.Errorf("%s is %s although the zone is open: %s", j.ID, j.Phase, j.Reason)
		}
	}
}
