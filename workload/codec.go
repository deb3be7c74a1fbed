package workload

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the stored forms of a job: the accepted job, which is written
// once, and its progress, which is written often and is therefore short.

// acceptedDocument is the stored form of an accepted job.
type acceptedDocument struct {
	Queue     string    `json:"queue"`
	Customer  string    `json:"customer,omitempty"`
	Policy    Policy    `json:"policy"`
	Spec      *Spec     `json:"spec"`
	Submitted time.Time `json:"submitted"`
	// FirstSubmitted is when the customer first submitted the job, if that was before Submitted.
	// Earlier versions of the program neither write nor read it.
	FirstSubmitted time.Time `json:"firstSubmitted,omitzero"`
}

// EncodeAccepted returns the stored form of the job as it was accepted.
func (j *Job) EncodeAccepted() ([]byte, error) {
	d := acceptedDocument{Queue: j.queue, Customer: j.customer, Policy: j.policy, Spec: j.spec, Submitted: j.submitted}
	if j.age > 0 {
		d.FirstSubmitted = j.FirstSubmitted()
	}
	return json.Marshal(d)
}

// DecodeAccepted decodes the stored form of the job called id. It fails if no customer
// could have submitted the job.
func DecodeAccepted(id string, data []byte) (*Job, error) {
	var d acceptedDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("stored job %s: %w", id, err)
	}
	if d.Spec == nil {
		return nil, fmt.Errorf("stored job %s has no spec", id)
	}
	if err := d.Spec.Check(); err != nil {
		// Each owner in turn would run out of memory for a step of a billion tasks.
		return nil, fmt.Errorf("stored job %s: %w", id, err)
	}
	return New(id, d.Queue, d.Policy, d.Spec, d.Submitted, WithCustomer(d.Customer), WithFirstSubmitted(d.FirstSubmitted)), nil
}

// progressDocument is the stored form of a job's progress. An occurrence has one row for each
// of its steps, and a row has one array of cells for each task.
type progressDocument struct {
	Cancelled   bool            `json:"c,omitempty"`
	Failed      bool            `json:"f,omitempty"`
	Next        int             `json:"n"`           // index of the first occurrence that has not begun
	Over        int             `json:"o,omitempty"` // number of completed occurrences
	Occurrences []occurrenceDoc `json:"k,omitempty"`
}

// occurrenceDoc is the stored form of an occurrence.
type occurrenceDoc struct {
	K     int         `json:"k"` // index
	Steps [][]taskDoc `json:"s"`
	// Crashes contains the few tasks under which instances have crashed. They are stored
	// beside the tasks so that an earlier version of the program, which may own the pool
	// during a roll-out, can still decode the tasks.
	Crashes []crashDoc `json:"x,omitempty"`
	// Failed contains the numbers of failed runs, for the tasks that have any.
	Failed []failedDoc `json:"r,omitempty"`
	// Settled contains the tasks under which instances have crashed and whose current run
	// has been running for a while.
	Settled []settledDoc `json:"w,omitempty"`
	// Born contains when the incarnations that tasks were given to began, if their addressee
	// does not imply it. An earlier version of the program identifies an incarnation by its
	// addressee alone, which it decodes from the task.
	Born []bornDoc `json:"b,omitempty"`
}

// bornDoc is a task that was given to an incarnation that shares its addressee with others:
// step, index, and when the incarnation began in Unix milliseconds.
type bornDoc [3]int64

// settledDoc is a task whose run has been running for a while: step, index, run number.
type settledDoc [3]int

// failedDoc is a task with failed runs: step, index, and the numbers of the runs.
type failedDoc []int

// crashDoc is a task under which instances have crashed: step, index, number of crashes.
type crashDoc [3]int

// taskDoc is a task as an array with the cells phase, run, failures, addressee of its
// incarnation, and checkpoint. Trailing cells that are zero or empty are omitted.
type taskDoc struct {
	Task
}

func (t taskDoc) append(b []byte) []byte {
	cells := 1
	switch {
	case t.Checkpoint != "":
		cells = 5
	case t.On != "":
		cells = 4
	case t.Failures != 0:
		cells = 3
	case t.Run != 0:
		cells = 2
	}
	b = strconv.AppendInt(append(b, '['), int64(t.Phase), 10)
	if cells > 1 {
		b = strconv.AppendInt(append(b, ','), int64(t.Run), 10)
	}
	if cells > 2 {
		b = strconv.AppendInt(append(b, ','), int64(t.Failures), 10)
	}
	if cells > 3 {
		b = appendString(append(b, ','), string(t.On.Addressee()))
	}
	if cells > 4 {
		b = appendString(append(b, ','), t.Checkpoint)
	}
	return append(b, ']')
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

// EncodeProgress returns the stored form of the job's progress. It is called many
// times for each job, so it builds the JSON by hand; RestoreProgress decodes it with
// encoding/json. Strings must be written by appendString.
func (j *Job) EncodeProgress() []byte {
	b := append(make([]byte, 0, progressBytes), `{"n":`...)
	b = strconv.AppendInt(b, int64(j.next), 10)
	if j.completed > 0 {
		b = strconv.AppendInt(append(b, `,"o":`...), int64(j.completed), 10)
	}
	if j.cancelled {
		b = append(b, `,"c":true`...)
	}
	if j.failed {
		b = append(b, `,"f":true`...)
	}
	b = append(b, `,"k":[`...)
	for n, k := range slices.Sorted(maps.Keys(j.occurrences)) {
		if n > 0 {
			b = append(b, ',')
		}
		b = j.occurrences[k].append(b)
	}
	return append(b, `]}`...)
}

// progressBytes is the typical length of a job's progress.
const progressBytes = 512

func (o *Occurrence) append(b []byte) []byte {
	b = strconv.AppendInt(append(b, `{"k":`...), int64(o.Index), 10)
	b = append(b, `,"s":[`...)
	for n, step := range o.Steps {
		if n > 0 {
			b = append(b, ',')
		}
		b = append(b, '[')
		for i := range step {
			if i > 0 {
				b = append(b, ',')
			}
			b = taskDoc{step[i]}.append(b)
		}
		b = append(b, ']')
	}
	b = append(b, ']')
	b = o.appendRows(b, "x", extraCrashes)
	b = o.appendRows(b, "r", extraFailedRuns)
	b = o.appendRows(b, "w", extraSettled)
	b = o.appendRows(b, "b", extraBorn)
	return append(b, '}')
}

// appendRows appends an array called name with a row for each task that has values to store
// beside its cells: step, index, and the values that extra returns. Only a few tasks have any.
// Nothing is appended if there is no such task.
func (o *Occurrence) appendRows(b []byte, name string, extra func(*Task) []int) []byte {
	started := false
	for n, step := range o.Steps {
		for i := range step {
			values := extra(&step[i])
			if len(values) == 0 {
				continue
			}
			if !started {
				b = fmt.Appendf(b, `,"%s":[`, name)
			} else {
				b = append(b, ',')
			}
			started = true
			b = fmt.Appendf(b, "[%d,%d", n, i)
			for _, v := range values {
				b = strconv.AppendInt(append(b, ','), int64(v), 10)
			}
			b = append(b, ']')
		}
	}
	if !started {
		return b
	}
	return append(b, ']')
}

// extraCrashes, extraFailedRuns and extraSettled return the values stored beside a task's cells.
func extraCrashes(t *Task) []int    { return unlessZero(t.Crashes) }
func extraFailedRuns(t *Task) []int { return t.FailedRuns }
func extraSettled(t *Task) []int    { return unlessZero(t.Settled) }

func extraBorn(t *Task) []int {
	born, ok := t.On.StartedAt()
	if !ok {
		return nil
	}
	return []int{int(born.UnixMilli())}
}

func unlessZero(v int) []int {
	if v == 0 {
		return nil
	}
	return []int{v}
}

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

func (j *Job) restore(doc occurrenceDoc) (*Occurrence, error) {
	o := newOccurrence(doc.K, j.spec)
	if len(doc.Steps) != len(o.Steps) {
		return nil, &ProgressError{Job: j.id, Field: "s", Value: len(doc.Steps), Reason: fmt.Sprintf("must have %d steps", len(o.Steps))}
	}
	for n, row := range doc.Steps {
		if len(row) != len(o.Steps[n]) {
			return nil, &ProgressError{Job: j.id, Field: fmt.Sprintf("s[%d]", n), Value: len(row), Reason: fmt.Sprintf("must have %d tasks", len(o.Steps[n]))}
		}
		for i := range row {
			if reason := row[i].invalidReason(); reason != "" {
				return nil, &ProgressError{Job: j.id, Field: fmt.Sprintf("s[%d][%d]", n, i), Value: row[i].Task, Reason: reason}
			}
			o.Steps[n][i] = row[i].Task
			if row[i].Phase == Done {
				o.left[n]--
			}
		}
	}
	for _, c := range doc.Crashes {
		step, index, crashes := c[0], c[1], c[2]
		if step < 0 || step >= len(o.Steps) || index < 0 || index >= len(o.Steps[step]) || crashes < 0 {
			return nil, &ProgressError{Job: j.id, Field: "x", Value: c, Reason: "must name a task of the job and a number that is not negative"}
		}
		o.Steps[step][index].Crashes = crashes
	}
	for _, d := range doc.Settled {
		step, index, run := d[0], d[1], d[2]
		if step < 0 || step >= len(o.Steps) || index < 0 || index >= len(o.Steps[step]) || run < 0 {
			return nil, &ProgressError{Job: j.id, Field: "w", Value: d, Reason: "must name a task of the job and a number that is not negative"}
		}
		o.Steps[step][index].Settled = run
	}
	for _, d := range doc.Born {
		step, index, born := d[0], d[1], d[2]
		if step < 0 || step >= int64(len(o.Steps)) || index < 0 || index >= int64(len(o.Steps[step])) || born < 0 || o.Steps[step][index].On == "" {
			return nil, &ProgressError{Job: j.id, Field: "b", Value: d, Reason: "must name a task that was given to an incarnation, and a time"}
		}
		t := &o.Steps[step][index]
		t.On = pointport.NewIncarnationID(t.On.Addressee(), time.UnixMilli(born))
	}
	for _, f := range doc.Failed {
		if len(f) < failedCells || f[0] < 0 || f[0] >= len(o.Steps) || f[1] < 0 || f[1] >= len(o.Steps[f[0]]) {
			return nil, &ProgressError{Job: j.id, Field: "r", Value: f, Reason: "must name a task of the job and its failed runs"}
		}
		o.Steps[f[0]][f[1]].FailedRuns = f[failedCells-1:]
	}
	return o, nil
}

// failedCells is the least number of cells in a row of failed runs: step, index, one run.
const failedCells = 3

// Incarnations returns the incarnations that placed tasks were given to. It has one element
// for each placed task.
func (j *Job) Incarnations() []pointport.IncarnationID {
	var out []pointport.IncarnationID
	for _, o := range j.occurrences {
		for _, step := range o.Steps {
			for i := range step {
				if step[i].Phase == Placed {
					out = append(out, step[i].On)
				}
			}
		}
	}
	return out
}
