package testbed

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what tasks do.

// Work is what a task does once it is started.
type Work struct {
	Reservation pointport.Shape
	Duration    time.Duration
	// Fails says that the run ends as failed.
	Fails bool
	// MaxAttempts is after how many runs that have ended as failed the task may not start
	// again; zero leaves that unchecked.
	MaxAttempts int
	// Crashes says that the run ends its instance a moment after its start.
	Crashes bool
	// Service says that the task runs until it is stopped.
	Service bool
	// Copies says that the task may run more than once at a time.
	Copies bool
	// Gang is how many tasks must be present to work, zero or one for a task that
	// works alone.
	Gang int
	// MayMiss is how many serving tasks of a step may be away at once by order;
	// zero leaves that unchecked.
	MayMiss int
	// After lists tasks that must be done before this one starts.
	After []string
}

// A WorkSource says what the tasks of an order do.
type WorkSource func(order pointport.StartOrder) Work

// PayloadWork reads what a task does from its payload, words such as
// "duration=300ms cpu=500 memory=256 fails=true crashes=true serves=true". Words that it does
// not know are passed over.
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
		}
	}
	return w
}

// defaultDuration is how long a task takes whose payload does not say.
const defaultDuration = 300 * time.Millisecond

// A Violation is what whoever gives orders has done wrong.
type Violation struct {
	At   time.Time
	Task string
	What string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.At.Format("15:04:05.000"), v.Task, v.What)
}
