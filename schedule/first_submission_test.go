package schedule_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// firstSubmittedJob returns a job that is accepted at a time and was first submitted age before it.
func firstSubmittedJob(id string, accepted time.Time, age time.Duration, steps ...workload.Step) *workload.Job {
	return workload.New(id, "q", policy, &workload.Spec{Steps: steps}, accepted, workload.WithFirstSubmitted(accepted.Add(-age)))
}

// TestRankCountsFromFirstSubmission checks that of two jobs that can end in time, the one that was
// first submitted earlier is placed first, although it was accepted later, and that a job that can
// no longer end in time, counted from its first submission, waits behind one that can.
func TestRankCountsFromFirstSubmission(t *testing.T) {
	whole := step(1, 4000, nil)
	for _, c := range []struct {
		name      string
		age       time.Duration
		wantFirst string
	}{
		{"in time", 500 * time.Millisecond, "retried.0.0.0"},
		{"late", 2 * time.Second, "new.0.0.0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler()
			accepted := start.Add(100 * time.Millisecond)
			s.Add(start, job("new", policy, whole))
			s.Add(accepted, firstSubmittedJob("retried", accepted, c.age, whole))
			registerIdle(s, accepted, incarnation(0))
			got := orders(s, accepted)
			if len(got) != 1 || got[0].TaskRun.Task != c.wantFirst {
				t.Errorf("orders %+v, want only the start of %s", got, c.wantFirst)
			}
		})
	}
}

// TestServingJobsCountFromFirstSubmission checks that serving jobs are placed in the order of their
// first submission.
func TestServingJobsCountFromFirstSubmission(t *testing.T) {
	whole := step(1, 4000, func(s *workload.Step) { s.Service = true })
	s := newTestScheduler()
	accepted := start.Add(100 * time.Millisecond)
	s.Add(start, job("new", policy, whole))
	s.Add(accepted, firstSubmittedJob("retried", accepted, time.Second, whole))
	registerIdle(s, accepted, incarnation(0))
	if got := orders(s, accepted); len(got) != 1 || got[0].TaskRun.Task != "retried.0.0.0" {
		t.Errorf("orders %+v, want only the start of the job that was first submitted earlier", got)
	}
}

// TestEventsCountFromFirstSubmission checks that the events that a job has begun and has ended tell
// the time since its first submission, which is what its customer waited.
func TestEventsCountFromFirstSubmission(t *testing.T) {
	var log bytes.Buffer
	s := schedule.NewScheduler(start, settings, slog.New(slog.NewTextHandler(&log, nil)))
	registerIdle(s, start, incarnation(0))
	s.Add(start, firstSubmittedJob("a", start, 2*time.Second, step(1, 4000, nil)))
	o := orders(s, start)[0]
	s.OrderAnswered(o, start, 1, nil)
	now := start.Add(time.Second)
	s.Report(o.Worker, now, now, pointport.Report{Clock: 1000, Running: []pointport.RunningTask{{TaskRun: o.TaskRun}}})
	s.Report(o.Worker, now, now, pointport.Report{Clock: 1000, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: o.TaskRun, Kind: pointport.EndDone}}})
	orders(s, now)
	for message, after := range map[string]string{`msg="job begun"`: " after=2s", `msg="job ended"`: " after=3s"} {
		var lines []string
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, message) {
				lines = append(lines, line)
			}
		}
		if len(lines) != 1 || !strings.Contains(lines[0], after) {
			t.Errorf("%s: lines %q, want one with%s", message, lines, after)
		}
	}
}

// TestBacklogRefusalsDoNotDependOnAges checks that a customer whose waiting jobs were refused before
// is refused for as long as one whose jobs were not: a new job may wait for as long in both cases.
func TestBacklogRefusalsDoNotDependOnAges(t *testing.T) {
	patient := policy
	patient.Target = 20 * time.Second
	refusal := func(age time.Duration) time.Duration {
		s := newTestScheduler()
		registerIdle(s, start, incarnation(0))
		for n := range 200 {
			spec := &workload.Spec{Steps: []workload.Step{step(1, 4000, nil)}}
			s.Add(start, workload.New(fmt.Sprintf("%016x", n), "q", patient, spec, start, workload.WithCustomer("bistro"), workload.WithFirstSubmitted(start.Add(-age))))
		}
		s.Plan(start)
		s.BacklogRefusals(start)
		return s.BacklogRefusals(start.Add(3 * time.Second))["bistro"]
	}
	if without, with := refusal(0), refusal(5*time.Second); without == 0 || with != without {
		t.Errorf("refused for %v with ages of 5s, for %v without, want the same", with, without)
	}
}
