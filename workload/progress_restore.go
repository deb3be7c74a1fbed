package workload

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how a job's progress is restored from its stored form.

// RestoreProgress sets the job's progress from its stored form. It fails with a
// *ProgressError if the progress does not fit the job.
func (j *Job) RestoreProgress(data []byte) error {
	d, err := decodeProgress(data)
	if err != nil {
		return fmt.Errorf("stored progress of job %s: %w", j.id, err)
	}
	if d.Next < 0 || d.Next > j.spec.Occurrences() || d.Over < 0 || d.Over+len(d.Occurrences) != d.Next {
		return &ProgressError{Job: j.id, Field: "n", Value: d.Next, Reason: fmt.Sprintf("of %d occurrences, %d are completed and %d in progress", j.spec.Occurrences(), d.Over, len(d.Occurrences))}
	}
	occurrences := make(map[int]*Occurrence, len(d.Occurrences))
	for _, doc := range d.Occurrences {
		if doc.K < 0 || doc.K >= d.Next || occurrences[doc.K] != nil {
			return &ProgressError{Job: j.id, Field: "k", Value: doc.K, Reason: "must be an occurrence that has begun, and must occur once"}
		}
		o, err := j.restore(doc)
		if err != nil {
			return err
		}
		occurrences[doc.K] = o
	}
	j.cancelled, j.failed, j.next, j.completed, j.occurrences = d.Cancelled, d.Failed, d.Next, d.Over, occurrences
	return nil
}

// A ProgressError describes which part of a job's stored progress does not fit the job.
type ProgressError struct {
	Job    string
	Field  string // name in the stored form, such as s[2][7]
	Value  any
	Reason string
}

func (e *ProgressError) Error() string {
	return fmt.Sprintf("stored progress of job %s: %s is %v: %s", e.Job, e.Field, e.Value, e.Reason)
}

// restore returns the occurrence with a stored form.
func (j *Job) restore(doc occurrenceDoc) (*Occurrence, error) {
	o := newOccurrence(doc.K, j.spec)
	for _, err := range []*ProgressError{
		o.restoreSteps(doc.Steps),
		o.restoreNumbers("x", doc.Crashes, func(t *Task, n int) { t.Crashes = n }),
		o.restoreNumbers("y", doc.StartCrashes, func(t *Task, n int) { t.StartCrashes = n }),
		o.restoreNumbers("w", doc.Settled, func(t *Task, n int) { t.Settled = n }),
		o.restoreNumbers("l", doc.Confirmed, func(t *Task, n int) { t.Confirmed = n }),
		o.restoreNumbers("m", doc.Misdirected, func(t *Task, n int) { t.Misdirected = n }),
		o.restoreBorn(doc.Born),
		o.restoreFailed(doc.Failed),
	} {
		if err != nil {
			err.Job = j.id
			return nil, err
		}
	}
	o.reviewServingTasks(j.spec)
	return o, nil
}

// reviewServingTasks makes the serving tasks pending again that an earlier version of the program has
// given up, because it counted crashes of instances on which they were at work, or that it has counted as
// done when a run ended so.
func (o *Occurrence) reviewServingTasks(spec *Spec) {
	for n, step := range o.Steps {
		if !spec.Steps[n].Service {
			continue
		}
		for i := range step {
			switch t := &step[i]; {
			case t.Phase == GivenUp && t.StartCrashes == 0:
				t.Phase, t.On = Pending, ""
			case t.Phase == Done:
				t.Phase, t.On = Pending, ""
				o.left[n]++
			}
		}
	}
}

func (o *Occurrence) restoreSteps(rows [][]taskDoc) *ProgressError {
	if len(rows) != len(o.Steps) {
		return &ProgressError{Field: "s", Value: len(rows), Reason: fmt.Sprintf("must have %d steps", len(o.Steps))}
	}
	for n, row := range rows {
		if len(row) != len(o.Steps[n]) {
			return &ProgressError{Field: fmt.Sprintf("s[%d]", n), Value: len(row), Reason: fmt.Sprintf("must have %d tasks", len(o.Steps[n]))}
		}
		for i := range row {
			if reason := row[i].invalidReason(); reason != "" {
				return &ProgressError{Field: fmt.Sprintf("s[%d][%d]", n, i), Value: row[i].Task, Reason: reason}
			}
			o.Steps[n][i] = row[i].Task
			if row[i].Phase == Done {
				o.left[n]--
			}
		}
	}
	return nil
}

// restoreNumbers sets a number of tasks from the rows of the field called name.
func (o *Occurrence) restoreNumbers(name string, rows []numberDoc, set func(t *Task, n int)) *ProgressError {
	for _, d := range rows {
		t, n := o.find(d[0], d[1]), d[2]
		if t == nil || n < 0 {
			return &ProgressError{Field: name, Value: d, Reason: "must name a task of the job and a number that is not negative"}
		}
		set(t, n)
	}
	return nil
}

func (o *Occurrence) restoreBorn(rows []bornDoc) *ProgressError {
	for _, d := range rows {
		t, born := o.find(int(d[0]), int(d[1])), d[2]
		if t == nil || t.On == "" || born < 0 {
			return &ProgressError{Field: "b", Value: d, Reason: "must name a task that was given to an incarnation, and a time"}
		}
		t.On = pointport.NewIncarnationID(t.On.Addressee(), time.UnixMilli(born))
	}
	return nil
}

// failedCells is the least number of cells in a row of failed runs: step, index, one run.
const failedCells = 3

func (o *Occurrence) restoreFailed(rows []failedDoc) *ProgressError {
	for _, d := range rows {
		var t *Task
		if len(d) >= failedCells {
			t = o.find(d[0], d[1])
		}
		if t == nil {
			return &ProgressError{Field: "r", Value: d, Reason: "must name a task of the job and its failed runs"}
		}
		t.FailedRuns = d[failedCells-1:]
	}
	return nil
}

// find returns a task by its step and its index, nil if there is none.
func (o *Occurrence) find(step, index int) *Task {
	if step < 0 || step >= len(o.Steps) || index < 0 || index >= len(o.Steps[step]) {
		return nil
	}
	return &o.Steps[step][index]
}

// UnmarshalJSON decodes the array.
func (t *taskDoc) UnmarshalJSON(data []byte) error {
	var cells []json.RawMessage
	if err := json.Unmarshal(data, &cells); err != nil {
		return err
	}
	targets := []any{&t.Phase, &t.Run, &t.Failures, &t.On, &t.Checkpoint}
	if len(cells) > len(targets) {
		return fmt.Errorf("stored task has %d cells: %s", len(cells), data)
	}
	for n, c := range cells {
		if err := json.Unmarshal(c, targets[n]); err != nil {
			return err
		}
	}
	return nil
}

// invalidReason returns why no task can have this state, or an empty string if one can.
func (t taskDoc) invalidReason() string {
	switch {
	case t.Phase > GivenUp:
		return "the phase is unknown"
	case t.Run < 0 || t.Failures < 0:
		return "run and failures must not be negative"
	case t.Phase == Placed && (t.On == "" || t.Run == 0):
		return "a placed task must have an incarnation and a run"
	}
	return ""
}
