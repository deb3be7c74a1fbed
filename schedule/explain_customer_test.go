package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// TestCapIsExplained checks that the explanations of a customer and of its job state that the
// cap of the customer holds tasks back, and that no capacity is requested for these.
func TestCapIsExplained(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	s.SetAllowed(map[string]pointport.Shape{"bistro": {CPUMilli: 2500, MemoryMiB: 1 << 20, Accelerators: 1}})
	spec := &workload.Spec{Steps: []workload.Step{step(4, 1000, nil)}}
	s.Add(start, workload.New("a", "q", policy, spec, start, workload.WithCustomer("bistro")))
	s.Add(start, workload.New("b", "q", policy, spec, start, workload.WithCustomer("cafe")))
	if got := len(orders(s, start)); got != 6 {
		t.Fatalf("%d starts, want two for bistro and four for cafe", got)
	}
	x := s.ExplainCustomer(start.Add(time.Millisecond), "bistro")
	if !x.Capped || x.Used.CPUMilli != 2000 || x.HeldBack.CPUMilli != 2000 || x.Jobs != 1 || x.Begun != 1 {
		t.Errorf("the customer is explained as %+v", x)
	}
	job, _ := s.Explain(start, "a")
	const want = "2 tasks wait for the cap of bistro: its tasks take 2000 thousandths of a core and 200 MiB here, and may take 2500 and 1048576"
	if job.Customer != "bistro" || len(job.Steps) != 1 || job.Steps[0].Waits != want {
		t.Errorf("the job is explained as %+v", job)
	}
	if got := s.Survey(start, schedule.SurveyRequest{}).Waiting; got != (pointport.Shape{}) {
		t.Errorf("capacity is requested for tasks that only a cap holds back: %v", got)
	}
	if x := s.ExplainCustomer(start, "nobody"); x.Jobs != 0 || x.Customer != "nobody" {
		t.Errorf("a customer without jobs is explained as %+v", x)
	}
}
