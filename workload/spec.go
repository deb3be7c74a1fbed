package workload

import (
	"fmt"
	"math"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the jobs that customers submit.

const (
	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 64
	// MaxTasks is the largest number of tasks of one occurrence of a job.
	MaxTasks = 4096
	// MaxPayload is the greatest length of a job's payload, in bytes. The platform
	// defines it.
	MaxPayload = 4000
	// maxYear is the last year of which JSON can encode a time.
	maxYear = 9999
	// maxNeed is the largest need of a task in each unit: a million cores, or a petabyte of
	// memory. No instance has more, and sums over the tasks of a pool stay far below the
	// range of an int64.
	maxNeed = 1_000_000_000
)

// IDDigits is the number of hexadecimal digits of a job ID.
const IDDigits = 16

// ValidID reports whether a customer may use id as the ID of a job.
func ValidID(id string) bool {
	if len(id) != IDDigits {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// A Spec describes what a job consists of. Its fields are exported because a codec
// reads and writes them.
type Spec struct {
	// Payload is passed unchanged to every task.
	Payload string     `json:"payload,omitempty"`
	Steps   []Step     `json:"steps"`
	Recur   Recurrence `json:"recur,omitzero"`
}

// A Recurrence makes the steps of a job run several times. Occurrence k is due
// at First + k x Every. Occurrences may overlap.
type Recurrence struct {
	Times int           `json:"times"`
	First time.Time     `json:"first"`
	Every time.Duration `json:"every"` // in nanoseconds when encoded
}

// A Step is a number of tasks of the same kind.
type Step struct {
	Count int             `json:"count"`
	Need  pointport.Shape `json:"need"` // of each task, as the customer declares it
	// Estimate is a rough estimate of a task's duration. It may be far off.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After contains the indexes of the steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints reports whether the tasks save their progress and can resume from it.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang reports whether the tasks work only while all of them run. They share one
	// run number.
	Gang bool `json:"gang,omitempty"`
	// SameRack reports whether a gang is slower if it is spread over several racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Label is a label that the instance must have, empty if any instance will do.
	Label string `json:"label,omitempty"`
	// DataRack is the rack near which the tasks are fast, empty if there is none.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerInstance limits the tasks of the same step and occurrence on one
	// instance, zero for no limit.
	MaxPerInstance int `json:"maxPerInstance,omitempty"`
	// Copies reports whether a task may have several runs at a time. The first run to
	// end counts.
	Copies bool `json:"copies,omitempty"`
	// Service reports whether the tasks run until the job is cancelled.
	Service bool `json:"service,omitempty"`
	// Image names what the tasks run. Tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the target for the tail of a serving task's response times, zero
	// for none.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// Fills reports whether the tasks use only processor time that other tasks leave idle,
	// so that none is reserved for them.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is how many serving tasks the scheduler may take out of service at once.
	MayMiss int `json:"mayMiss,omitempty"`
}

// Reservation returns how much of an instance's capacity is reserved for a task of the step.
func (s *Step) Reservation() pointport.Shape {
	need := s.Need
	if s.Fills {
		need.CPUMilli = 0
	}
	return need
}

// ConcurrentNeed returns the declared need of the tasks of the step that must run at the same
// time: all tasks of a gang, otherwise one.
func (s *Step) ConcurrentNeed() pointport.Shape {
	if !s.Gang {
		return s.Need
	}
	return s.Need.Times(s.Count)
}

// Occurrences returns how many times the steps run, at least once.
func (s *Spec) Occurrences() int { return max(1, s.Recur.Times) }

// Due returns the time from which occurrence k may begin. It is zero for a job that
// does not recur.
func (s *Spec) Due(k int) time.Time {
	if s.Recur.Times == 0 {
		return time.Time{}
	}
	return s.Recur.First.Add(time.Duration(k) * s.Recur.Every)
}

// tasks returns the number of tasks of an occurrence, or MaxTasks + 1 if there are more than
// MaxTasks.
func (s *Spec) tasks() int {
	n := 0
	for i := range s.Steps {
		if s.Steps[i].Count > MaxTasks-n { // the sum might overflow
			return MaxTasks + 1
		}
		n += s.Steps[i].Count
	}
	return n
}

// RunsUntilCancelled reports whether the job has a serving step, so that it runs until it is
// cancelled.
func (s *Spec) RunsUntilCancelled() bool {
	for n := range s.Steps {
		if s.Steps[n].Service {
			return true
		}
	}
	return false
}

// A SpecError describes an invalid field of a submitted job.
type SpecError struct {
	Field  string // such as steps[2].count
	Value  any
	Reason string
}

func (e *SpecError) Error() string { return fmt.Sprintf("%s is %v: %s", e.Field, e.Value, e.Reason) }

// Check returns a *SpecError if the job cannot be run as specified.
func (s *Spec) Check() error {
	if len(s.Payload) > MaxPayload {
		return &SpecError{"payload", len(s.Payload), fmt.Sprintf("has more than %d bytes", MaxPayload)}
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return &SpecError{"steps", len(s.Steps), fmt.Sprintf("must be 1 to %d", MaxSteps)}
	}
	if s.Recur.Times < 0 {
		return &SpecError{"recur.times", s.Recur.Times, "must not be negative"}
	}
	if s.Recur.Every < 0 {
		return &SpecError{"recur.every", s.Recur.Every, "must not be negative"}
	}
	if year := s.Recur.First.Year(); year < 0 || year > maxYear {
		return &SpecError{"recur.first", s.Recur.First, fmt.Sprintf("must be in the years 0 to %d", maxYear)}
	}
	if s.Recur.Every > 0 && s.Recur.Times > int(math.MaxInt64/s.Recur.Every) {
		return &SpecError{"recur.times", s.Recur.Times, "the last time is beyond all dates"}
	}
	for n := range s.Steps {
		if err := s.Steps[n].check(n); err != nil {
			return err
		}
	}
	if s.tasks() > MaxTasks {
		return &SpecError{"steps", len(s.Steps), fmt.Sprintf("must have at most %d tasks in total", MaxTasks)}
	}
	return nil
}

func (s *Step) check(n int) error {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", n, name) }
	switch {
	case s.Count <= 0:
		return &SpecError{field("count"), s.Count, "must be above 0"}
	case s.Need.CPUMilli < 0 || s.Need.MemoryMiB < 0 || s.Need.Accelerators < 0:
		return &SpecError{field("need"), s.Need, "must not be negative"}
	case s.Need.CPUMilli > maxNeed || s.Need.MemoryMiB > maxNeed || s.Need.Accelerators > maxNeed:
		return &SpecError{field("need"), s.Need, fmt.Sprintf("must not exceed %d in any unit", maxNeed)}
	case s.Estimate < 0:
		return &SpecError{field("estimate"), s.Estimate, "must not be negative"}
	}
	for _, a := range s.After {
		if a < 0 || a >= n {
			return &SpecError{field("after"), a, "must name an earlier step"}
		}
	}
	return nil
}
