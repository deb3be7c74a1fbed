package schedule

import (
	"math"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// extremeSpec is a job that passes the checks and whose declared estimates are as long as a duration
// can be: a chain of steps, each of as many tasks with as much need as allowed.
func extremeSpec() *workload.Spec {
	spec := &workload.Spec{}
	for n := range workload.MaxSteps {
		step := workload.Step{Count: workload.MaxTasks / workload.MaxSteps, Need: pointport.Shape{CPUMilli: 1e9}, Estimate: math.MaxInt64}
		if n > 0 {
			step.After = []int{n - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// Guards against a job whose declared estimates overflow when they are added: its critical path, its
// objective or its work would be negative, and it would rank before or after jobs at random.
func TestSumsOfEstimatesDoNotOverflow(t *testing.T) {
	spec := extremeSpec()
	if err := spec.Check(); err != nil {
		t.Fatal(err)
	}
	e := &estimates{byImage: make(map[string]time.Duration), byQueue: make(map[string]*fit)}
	paths := e.criticalPaths("q", spec)
	for n := range paths[1:] {
		if paths[n] <= paths[n+1] {
			t.Fatalf("the critical path from step %d takes %v, that from step %d %v", n, paths[n], n+1, paths[n+1])
		}
	}
	for _, stretch := range []float64{1.5, 1e9} {
		if d := allowance(workload.Policy{Stretch: stretch, Target: time.Second}, paths[0]); d < paths[0] {
			t.Errorf("a job may take %v with stretch %v, less than its critical path of %v", d, stretch, paths[0])
		}
	}
	s := &Scheduler{estimates: e}
	job := workload.New("00112233445566aa", "q", workload.Policy{}, spec, time.Unix(1000, 0))
	if work := s.workOf(&entry{job: job}, pointport.Shape{CPUMilli: 1}); work < paths[0] {
		t.Errorf("the job's work is %v, less than its critical path of %v", work, paths[0])
	}
}
