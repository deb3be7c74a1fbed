package workload

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// This file defines the stored form of a job's progress, which is written often and is therefore
// short, and how it is encoded.

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
	Crashes []numberDoc `json:"x,omitempty"`
	// StartCrashes contains the serving tasks under which instances have crashed before they
	// were at work. An earlier version of the program ignores and drops it.
	StartCrashes []numberDoc `json:"y,omitempty"`
	// Failed contains the numbers of failed runs, for the tasks that have any.
	Failed []failedDoc `json:"r,omitempty"`
	// Settled contains the tasks under which instances have crashed and whose current run
	// has been running for a while.
	Settled []numberDoc `json:"w,omitempty"`
	// Confirmed contains the serving tasks whose current run its incarnation has listed.
	Confirmed []numberDoc `json:"l,omitempty"`
	// Misdirected contains the serving tasks whose current run may be extended by orders that
	// were meant for an earlier incarnation.
	Misdirected []numberDoc `json:"m,omitempty"`
	// Born contains when the incarnations that tasks were given to began, if their addressee
	// does not imply it. An earlier version of the program identifies an incarnation by its
	// addressee alone, which it decodes from the task.
	Born []bornDoc `json:"b,omitempty"`
}

// bornDoc is a task that was given to an incarnation that shares its addressee with others:
// step, index, and when the incarnation began in Unix milliseconds.
type bornDoc [3]int64

// failedDoc is a task with failed runs: step, index, and the numbers of the runs.
type failedDoc []int

// numberDoc is a task with a number that belongs to it: step, index, number.
type numberDoc [3]int

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
	b = o.appendRows(b, "y", extraStartCrashes)
	b = o.appendRows(b, "r", extraFailedRuns)
	b = o.appendRows(b, "w", extraSettled)
	b = o.appendRows(b, "l", extraConfirmed)
	b = o.appendRows(b, "m", extraMisdirected)
	b = o.appendRows(b, "b", extraBorn)
	return append(b, '}')
}

// appendRows appends an array called name with a row for each task that has values to store
// beside its cells: step, index, and the values that extra returns. Most tasks have none.
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

// extraCrashes and the following functions return the values stored beside a task's cells.
func extraCrashes(t *Task) []int      { return unlessZero(t.Crashes) }
func extraStartCrashes(t *Task) []int { return unlessZero(t.StartCrashes) }
func extraFailedRuns(t *Task) []int   { return t.FailedRuns }
func extraSettled(t *Task) []int      { return unlessZero(t.Settled) }
func extraConfirmed(t *Task) []int    { return unlessZero(t.Confirmed) }
func extraMisdirected(t *Task) []int  { return unlessZero(t.Misdirected) }

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
