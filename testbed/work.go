package testbed

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what tasks do.

// Work describes what a task does once it is started.
type Work struct {
	Reservation pointport.Shape
	Duration    time.Duration
	// Fails makes the run end as failed.
	Fails bool
	// MaxAttempts is how many runs may end as failed before a further start of the task is a
	// violation. Zero disables the check.
	MaxAttempts int
	// Crashes makes the run crash its instance shortly after its start.
	Crashes bool
	// CrashAfter is how long after its start it does, zero for the least time.
	CrashAfter time.Duration
	// Service makes the task run until it is stopped.
	Service bool
	// DoneAfter is how long a serving task serves until it ends as done by itself, zero if it never does.
	DoneAfter time.Duration
	// Copies allows several runs of the task at a time.
	Copies bool
	// Gang is how many tasks must be present before any of them works. Zero or one means that the
	// task works alone.
	Gang int
	// MayMiss is how many serving tasks of a step may be away by order at once. Zero disables the
	// check.
	MayMiss int
	// Label is a label that the instance must have, and MaxPerInstance is how many tasks of the step
	// an instance may have at once; empty and zero for no limit. The check of serving tasks uses them.
	Label          string
	MaxPerInstance int
	// Advised makes the instance refuse a start without a ticket of the advisor.
	Advised bool
	// Checkpoint is the text of the checkpoints that a run saves. If it is empty, or the task serves
	// or is a member of a gang, the run saves none.
	Checkpoint string
	// After lists the tasks that must be done before this one starts.
	After []string
}

// A WorkSource returns what the task of a start order does.
type WorkSource func(order pointport.StartOrder) Work

// PayloadWork reads what a task does from its payload: words such as "duration=300ms cpu=500
// memory=256 fails=true crashes=true serves=true advised=true". It ignores unknown words.
func PayloadWork(order pointport.StartOrder) Work {
	w := Work{Duration: defaultDuration}
	for _, word := range strings.Fields(order.Payload) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "duration":
			if d, err := time.ParseDuration(value); err == nil {
				w.Duration = d
			}
		case "cpu":
			w.Reservation.CPUMilli, _ = strconv.ParseInt(value, 10, 64)
		case "memory":
			w.Reservation.MemoryMiB, _ = strconv.ParseInt(value, 10, 64)
		case "fails":
			w.Fails = value == "true"
		case "crashes":
			w.Crashes = value == "true"
		case "serves":
			w.Service = value == "true"
		case "advised":
			w.Advised = value == "true"
		}
	}
	return w
}

// defaultDuration is the run time of a task whose payload gives none.
const defaultDuration = 300 * time.Millisecond

// A Violation is a broken invariant, found in the orders that the fleet received. Task names the
// task, or the machine or wave where no task is concerned.
type Violation struct {
	At   time.Time
	Task string
	What string
}

// String formats a violation as one line with its time, its task and what was wrong.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.At.Format("15:04:05.000"), v.Task, v.What)
}
