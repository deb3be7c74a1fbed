package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// A customer that is held back by its cap is told so, in the words of its job and of itself.
func TestCapIsExplained(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	b.SetAllowed(map[string]pointport.Shape{"bistro": {CPUMilli: 2500, MemoryMiB: 1 << 20, Accelerators: 1}})
	spec := &workload.Spec{Steps: []workload.Step{step(4, 1000, nil)}}
	b.Add(start, workload.New("a", "q", policy, spec, start, workload.WithCustomer("bistro")))
	b.Add(start, workload.New("b", "q", policy, spec, start, workload.WithCustomer("cafe")))
	if got := len(orders(b, start)); got != 6 {
		t.Fatalf("%d starts, want two for bistro and four for cafe", got)
	}
	x := b.ExplainCustomer(start.Add(time.Millisecond), "bistro")
	if !x.Capped || x.Used.CPUMilli != 2000 || x.HeldBack.CPUMilli != 2000 || x.Jobs != 1 || x.Begun != 1 {
		t.Errorf("explained as %+v", x)
	}
	job, _ := b.Explain(start, "a")
	const want = "2 tasks wait for the cap of bistro: its tasks take 2000 thousandths of a core and 200 MiB here, and may take 2500 and 1048576"
	if job.Customer != "bistro" || len(job.Steps) != 1 || job.Steps[0].Waits != want {
		t.Errorf("job explained as %+v", job)
	}
	if got := b.Survey(start, schedule.SurveyRequest{}).Waiting; got != (pointport.Shape{}) {
		t.Errorf("room is wanted for what only a cap holds back: %v", got)
	}
	if x := b.ExplainCustomer(start, "nobody"); x.Jobs != 0 || x.Customer != "nobody" {
		t.Errorf("a customer without jobs is explained as %+v", x)
	}
}
