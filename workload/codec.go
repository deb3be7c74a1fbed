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

// This file defines the forms in which a job is stored: what was accepted,
// written once, and its progress, written again and again and therefore short.

// acceptedDocument is the stored form of what was accepted.
type acceptedDocument struct {
	Queue     string    `json:"queue"`
	Customer  string    `json:"customer,omitempty"`
	Policy    Policy    `json:"policy"`
	Spec      *Spec     `json:"spec"`
	Submitted time.Time `json:"submitted"`
}

// EncodeAccepted returns the stored form of what was accepted.
func (j *Job) EncodeAccepted() ([]byte, error) {
	return json.Marshal(acceptedDocument{j.queue, j.customer, j.policy, j.spec, j.submitted})
}

// DecodeAccepted returns the job called id from its stored form.
func DecodeAccepted(id string, data []byte) (*Job, error) {
	var d acceptedDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("stored job %s: %w", id, err)
	}
	if d.Spec == nil {
		return nil, fmt.Errorf("stored job %s has no steps", id)
	}
	if err := d.Spec.Check(); err != nil {
		// Each owner in turn would run out of memory for a step of a billion tasks.
		return nil, fmt.Errorf("stored job %s: %w", id, err)
	}
	return New(id, d.Queue, d.Policy, d.Spec, d.Submitted, WithCustomer(d.Customer)), nil
}

// progressDocument is the stored form of a job's progress. The rows of an
// occurrence are its steps, and their cells are tasks.
type progressDocument struct {
	Cancelled   bool            `json:"c,omitempty"`
	Failed      bool            `json:"f,omitempty"`
	Next        int             `json:"n"`
	Over        int             `json:"o,omitempty"`
	Occurrences []occurrenceDoc `json:"k,omitempty"`
}

type occurrenceDoc struct {
	K     int         `json:"k"`
	Steps [][]taskDoc `json:"s"`
	// Crashes holds the few tasks under which instances have crashed. They stand
	// beside the tasks so that an earlier version of the program, which may own the
	// pool during a roll-out, reads the rest.
	Crashes []crashDoc `json:"x,omitempty"`
	// Failed holds the numbers of the failed runs of the tasks that have any.
	Failed []failedDoc `json:"r,omitempty"`
	// Settled holds the tasks under which instances have crashed whose present run has run for
	// a while.
	Settled []settledDoc `json:"w,omitempty"`
	// Born holds when the lives began that tasks were given to, where their addressees do not
	// tell that. An earlier version of the program, to which an incarnation is its addressee,
	// reads that from the task.
	Born []bornDoc `json:"b,omitempty"`
}

// bornDoc is a task that was given to a life that shares its addressee: step, index, when the
// life began in Unix milliseconds.
type bornDoc [3]int64

// settledDoc is a task with a run that has run for a while: step, index, number of the run.
type settledDoc [3]int

// failedDoc is a task with failed runs: step, index, the numbers of the runs.
type failedDoc []int

// crashDoc is a task under which instances have crashed: step, index, how many.
type crashDoc [3]int

// taskDoc is a task as an array: phase, run, failures, addressee of its incarnation, checkpoint.
// Cells at the end that are zero or empty are left out.
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
		b = strconv.AppendQuote(append(b, ','), string(t.On.Addressee()))
	}
	if cells > 4 {
		b = strconv.AppendQuote(append(b, ','), t.Checkpoint)
	}
	return append(b, ']')
}

// UnmarshalJSON reads the short form.
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

// wrong says what no task can be, empty if it can.
func (t taskDoc) wrong() string {
	switch {
	case t.Phase > GivenUp:
		return "has no such phase"
	case t.Run < 0 || t.Failures < 0:
		return "counts must not be below zero"
	case t.Phase == Placed && (t.On == "" || t.Run == 0):
		return "is placed nowhere"
	}
	return ""
}

// EncodeProgress returns the stored form of the job's progress. It is written
// many times for each job, so it is put together by hand; RestoreProgress reads
// it as JSON.
func (j *Job) EncodeProgress() []byte {
	b := append(make([]byte, 0, progressBytes), `{"n":`...)
	b = strconv.AppendInt(b, int64(j.next), 10)
	if j.over > 0 {
		b = strconv.AppendInt(append(b, `,"o":`...), int64(j.over), 10)
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

// progressBytes is the usual length of a job's progress.
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
	b = o.appendRows(b, "x", crashesTold)
	b = o.appendRows(b, "r", failedTold)
	b = o.appendRows(b, "w", settledTold)
	b = o.appendRows(b, "b", bornTold)
	return append(b, '}')
}

// appendRows appends, under a name, a row for each of the few tasks that have something to
// be told beside their cells: step, index, and what of returns. Nothing is appended if there is
// none.
func (o *Occurrence) appendRows(b []byte, name string, of func(*Task) []int) []byte {
	begun := false
	for n, step := range o.Steps {
		for i := range step {
			told := of(&step[i])
			if len(told) == 0 {
				continue
			}
			if !begun {
				b = fmt.Appendf(b, `,"%s":[`, name)
			} else {
				b = append(b, ',')
			}
			begun = true
			b = fmt.Appendf(b, "[%d,%d", n, i)
			for _, v := range told {
				b = strconv.AppendInt(append(b, ','), int64(v), 10)
			}
			b = append(b, ']')
		}
	}
	if !begun {
		return b
	}
	return append(b, ']')
}

// crashesTold, failedTold and settledTold return what stands beside a task's cells.
func crashesTold(t *Task) []int { return unlessZero(t.Crashes) }
func failedTold(t *Task) []int  { return t.FailedRuns }
func settledTold(t *Task) []int { return unlessZero(t.Settled) }

func bornTold(t *Task) []int {
	born, ok := t.On.Born()
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

// RestoreProgress sets the job's progress from its stored form.
func (j *Job) RestoreProgress(data []byte) error {
	var d progressDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return fmt.Errorf("stored progress of job %s: %w", j.id, err)
	}
	if d.Next < 0 || d.Next > j.spec.Occurrences() || d.Over < 0 || d.Over+len(d.Occurrences) != d.Next {
		return &ProgressError{Job: j.id, Field: "n", Value: d.Next, Reason: fmt.Sprintf("of %d occurrences, %d over and %d under way", j.spec.Occurrences(), d.Over, len(d.Occurrences))}
	}
	occurrences := make(map[int]*Occurrence, len(d.Occurrences))
	for _, doc := range d.Occurrences {
		if doc.K < 0 || doc.K >= d.Next || occurrences[doc.K] != nil {
			return &ProgressError{Job: j.id, Field: "k", Value: doc.K, Reason: "must have begun, and stand there once"}
		}
		o, err := j.restore(doc)
		if err != nil {
			return err
		}
		occurrences[doc.K] = o
	}
	j.cancelled, j.failed, j.next, j.over, j.occurrences = d.Cancelled, d.Failed, d.Next, d.Over, occurrences
	return nil
}

// A ProgressError says what of a job's stored progress does not fit the job.
type ProgressError struct {
	Job    string
	Field  string // as it is stored, such as s[2][7]
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
			if reason := row[i].wrong(); reason != "" {
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
			return nil, &ProgressError{Job: j.id, Field: "x", Value: c, Reason: "must be a task that it has, and not a number below zero"}
		}
		o.Steps[step][index].Crashes = crashes
	}
	for _, d := range doc.Settled {
		step, index, run := d[0], d[1], d[2]
		if step < 0 || step >= len(o.Steps) || index < 0 || index >= len(o.Steps[step]) || run < 0 {
			return nil, &ProgressError{Job: j.id, Field: "w", Value: d, Reason: "must be a task that it has, and not a number below zero"}
		}
		o.Steps[step][index].Settled = run
	}
	for _, d := range doc.Born {
		step, index, born := d[0], d[1], d[2]
		if step < 0 || step >= int64(len(o.Steps)) || index < 0 || index >= int64(len(o.Steps[step])) || born < 0 || o.Steps[step][index].On == "" {
			return nil, &ProgressError{Job: j.id, Field: "b", Value: d, Reason: "must be a task that was given to an incarnation, and a time"}
		}
		t := &o.Steps[step][index]
		t.On = pointport.NewIncarnationID(t.On.Addressee(), time.UnixMilli(born))
	}
	for _, f := range doc.Failed {
		if len(f) < failedCells || f[0] < 0 || f[0] >= len(o.Steps) || f[1] < 0 || f[1] >= len(o.Steps[f[0]]) {
			return nil, &ProgressError{Job: j.id, Field: "r", Value: f, Reason: "must be a task that it has and its runs"}
		}
		o.Steps[f[0]][f[1]].FailedRuns = f[failedCells-1:]
	}
	return o, nil
}

// failedCells is the least that a row of failed runs has: step, index, one run.
const failedCells = 3

// Incarnations returns the incarnations that placed tasks were given to.
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
