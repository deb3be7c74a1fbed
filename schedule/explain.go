package schedule

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines the explanations of where a job's tasks run and what they wait for.

// An Explanation describes the state of a job and its reasons. Its fields are exported because a
// codec reads and writes them.
type Explanation struct {
	Job string `json:"job"`
	// Customer is the customer's name, empty if the job has none.
	Customer string          `json:"customer,omitempty"`
	Queue    string          `json:"queue"`
	Status   workload.Status `json:"status"`
	// Latest is when the job's next tasks must start for it to end in time.
	Latest time.Time         `json:"latest,omitzero"`
	Late   bool              `json:"late,omitempty"`
	Steps  []StepExplanation `json:"steps,omitempty"`
}

// A StepExplanation describes the state of a step of one occurrence.
type StepExplanation struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step"`
	Tasks      int `json:"tasks"`
	Done       int `json:"done"`
	// GivenUp counts the tasks that are not started again because instances have crashed under
	// them.
	GivenUp int `json:"givenUp,omitempty"`
	// Running counts the running tasks by incarnation.
	Running map[pointport.IncarnationID]int `json:"running,omitempty"`
	// Waits is the reason why the pending tasks wait, empty if there are none.
	Waits string `json:"waits,omitempty"`
}

// Explain describes the state of a job. It returns false if the job is not known.
func (s *Scheduler) Explain(now time.Time, id string) (Explanation, bool) {
	if f, ok := s.endedJobs.get(id); ok {
		return Explanation{Job: id, Customer: f.customer, Status: f.status}, true
	}
	e, ok := s.jobs[id]
	if !ok {
		return Explanation{}, false
	}
	x := Explanation{Job: id, Customer: e.job.Customer(), Queue: e.job.Queue(), Status: e.job.Status()}
	s.refreshReady(e)
	if len(e.ready) > 0 {
		jobRank := s.rankOf(now, e)
		x.Latest, x.Late = jobRank.latest, jobRank.class == classLate
	}
	e.job.Occurrences(func(o *workload.Occurrence) {
		for n := range o.Steps {
			x.Steps = append(x.Steps, s.explainStep(now, e, o, n))
		}
	})
	sort.Slice(x.Steps, func(i, k int) bool {
		a, c := x.Steps[i], x.Steps[k]
		return a.Occurrence < c.Occurrence || a.Occurrence == c.Occurrence && a.Step < c.Step
	})
	return x, true
}

func (s *Scheduler) explainStep(now time.Time, e *entry, o *workload.Occurrence, n int) StepExplanation {
	x := StepExplanation{Occurrence: o.Index, Step: n, Tasks: len(o.Steps[n]), Done: len(o.Steps[n]) - o.Remaining(n)}
	pending, first := 0, 0
	for i, t := range o.Steps[n] {
		switch t.Phase {
		case workload.Pending:
			if pending == 0 {
				first = i
			}
			pending++
		case workload.GivenUp:
			x.GivenUp++
		case workload.Placed:
			if x.Running == nil {
				x.Running = make(map[pointport.IncarnationID]int)
			}
			x.Running[o.Steps[n][i].On]++
		}
	}
	switch {
	case pending == 0:
	case e.job.Stopping():
		x.Waits = "nothing: the job is over"
	case !e.job.Ready(o, n):
		x.Waits = fmt.Sprintf("%d tasks wait for earlier steps", pending)
	default:
		x.Waits = s.explainWait(now, waitingTask{e, workload.TaskRef{Occurrence: o.Index, Step: n, Index: first}, &e.job.Spec().Steps[n]}, pending)
	}
	return x
}

// explainWait returns why ready tasks are not placed; t is one of them, and tasks is their number.
func (s *Scheduler) explainWait(now time.Time, t waitingTask, tasks int) string {
	if reason := s.explainHold(now, t, tasks); reason != "" {
		return reason
	}
	if restartPaused([]waitingTask{t}, now) {
		return fmt.Sprintf("%d tasks wait for their next start, after a run that has ended soon as done", tasks)
	}
	workers := s.usableWorkers(now)
	labelled, permitted, apart, fitting, open := 0, 0, 0, 0, 0
	var most pointport.Shape
	for _, w := range workers {
		if !w.hasLabel(t.step.Label) {
			continue
		}
		labelled++
		if s.keptApart(t, w, now) {
			apart++
		}
		if !s.permits(t, w, now) {
			continue
		}
		permitted++
		most = largest(most, w.free)
		if !w.free.Fits(t.step.Reservation()) {
			continue
		}
		fitting++
		if !s.atStepLimit(t, w) {
			open++
		}
	}
	need := t.step.Reservation()
	if a := t.entry.account; !a.withinCap(t.step.Need) {
		return fmt.Sprintf("%d tasks wait for the cap of %s: its tasks take %d thousandths of a core and %d MiB here, and may take %d and %d",
			tasks, a.name, a.used.CPUMilli, a.used.MemoryMiB, a.allowed.CPUMilli, a.allowed.MemoryMiB)
	}
	switch {
	case len(workers) == 0:
		return fmt.Sprintf("%d tasks wait: no instance of the pool can be used%s", tasks, s.explainUnusable(now))
	case labelled == 0:
		return fmt.Sprintf("%d tasks wait: none of %d instances has the label %q", tasks, len(workers), t.step.Label)
	case permitted == 0 && apart == labelled:
		return fmt.Sprintf("%d tasks wait: after crashes, tasks are kept apart on all of %d instances", tasks, labelled)
	case permitted == 0:
		return fmt.Sprintf("%d tasks wait: the advisor has permitted none of %d instances yet", tasks, labelled)
	case fitting == 0:
		return fmt.Sprintf("%d tasks wait: each needs %d thousandths of a core and %d MiB; %d instances have at most %d and %d free%s",
			tasks, need.CPUMilli, need.MemoryMiB, permitted, most.CPUMilli, most.MemoryMiB, s.explainUnusable(now))
	case open == 0:
		return fmt.Sprintf("%d tasks wait: %d instances with room hold %d of the step already", tasks, fitting, t.step.MaxPerInstance)
	case t.step.Gang:
		return fmt.Sprintf("%d tasks of a gang wait to fit all at once; %d instances have room for one", tasks, open)
	case t.step.DataRack != "" && s.waitsForRack(now, t):
		return fmt.Sprintf("%d tasks wait for room in rack %s, where their data is", tasks, t.step.DataRack)
	}
	return fmt.Sprintf("%d tasks wait for the next plan, or for more pressing jobs; %d instances have room", tasks, open)
}

const (
	// waitLogAfter is how long no task of a job can be placed before that is logged; most tasks end
	// within this time. waitLogInterval is the minimum time between two such log lines.
	waitLogAfter    = 500 * time.Millisecond
	waitLogInterval = 3 * time.Second
)

// logWait logs why no task of a job can be placed, unless it began to wait or was logged only
// recently. missed is the first of its tasks that was not placed.
func (s *Scheduler) logWait(now time.Time, missed waitingTask) {
	e := missed.entry
	if e.starved.IsZero() {
		e.starved = now
	}
	waited := now.Sub(e.starved)
	if waited < waitLogAfter || now.Sub(e.waitLoggedAt) < waitLogInterval {
		return
	}
	e.waitLoggedAt = now
	tasks := 0
	for _, t := range e.ready {
		if t.ref.Occurrence == missed.ref.Occurrence && t.ref.Step == missed.ref.Step {
			tasks++
		}
	}
	event.JobWaits.Log(s.logger, slog.String("job", e.job.ID()), slog.Int("step", missed.ref.Step), slog.Duration("waited", waited),
		slog.Bool("late", e.rank.class == classLate), slog.String("reason", s.explainWait(now, missed, tasks)))
}

// explainUnusable returns the number of unusable workers for each reason, as text.
func (s *Scheduler) explainUnusable(now time.Time) string {
	reasons := make(map[string]int)
	for _, w := range s.workers {
		if reason := w.unusableReason(now); reason != "" {
			reasons[reason]++
		}
	}
	out := ""
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		out += fmt.Sprintf("; %d %s", reasons[reason], reason)
	}
	return out
}
