package schedule

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// BenchmarkPlanOverload measures Plan for a pool of 80 full instances with a backlog of 300
// jobs of 13 tasks each.
func BenchmarkPlanOverload(b *testing.B) {
	now := time.Unix(1000, 0)
	scheduler := NewScheduler(now, Settings{Lease: 4 * time.Second, GangTimeout: 3 * time.Second, RemoteDataSlowdown: 2}, slog.New(slog.DiscardHandler))
	var fleet []pointport.Incarnation
	for n := range 80 {
		id := pointport.IncarnationID(fmt.Sprintf("i-%02d", n))
		fleet = append(fleet, pointport.NewIncarnation(id, "shift", "10.0.0.1:1", pointport.WithInstance(pointport.InstanceID(id)),
			pointport.WithCapacity(pointport.Shape{CPUMilli: 16000, MemoryMiB: 32768})))
	}
	scheduler.SetIncarnations(now, fleet)
	for _, w := range scheduler.Workers() {
		scheduler.Report(w, now, now, pointport.Report{})
	}
	for n := range 400 {
		step := workload.Step{Count: 8, Need: pointport.Shape{CPUMilli: int64(1200 + 50*(n%20)), MemoryMiB: 1300}, Estimate: time.Second}
		if n%7 == 0 {
			step.MaxPerInstance = 2
		}
		spec := &workload.Spec{Steps: []workload.Step{step, {Count: 5, Need: step.Need, Estimate: time.Second, After: []int{0}}}}
		policy := workload.Policy{MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond}
		scheduler.Add(now, workload.New(fmt.Sprintf("%016x", n), "q", policy, spec, now))
	}
	scheduler.Plan(now)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		scheduler.Plan(now.Add(time.Duration(i%1000) * time.Millisecond))
	}
}
