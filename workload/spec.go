package workload

import (
	"fmt"
	"math"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what a customer submits.

const (
	// MaxSteps is the most steps that a job may have.
	MaxSteps = 64
	// MaxTasks is the most tasks that one occurrence of a job may have.
	MaxTasks = 4096
	// MaxPayload is the longest text that a job may carry for its tasks, in
	// bytes; the platform sets it.
	MaxPayload = 4000
)

// IDDigits is how many hexadecimal digits name a job.
const IDDigits = 16

// ValidID reports whether a customer may name a job so.
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

// A Spec says what a job consists of. Its fields are exported because a codec
// reads and writes them.
type Spec struct {
	// Payload is handed to every task as it is.
	Payload string     `json:"payload,omitempty"`
	Steps   []Step     `json:"steps"`
	Recur   Recurrence `json:"recur,omitzero"`
}

// A Recurrence makes the steps of a job run several times. Occurrence K is due
// at First + K x Every; occurrences may overlap.
type Recurrence struct {
	Times int           `json:"times"`
	First time.Time     `json:"first"`
	Every time.Duration `json:"every"` // nanoseconds
}

// A Step is a number of like tasks.
type Step struct {
	Count int             `json:"count"`
	Need  pointport.Shape `json:"need"` // of each task, as declared
	// Estimate is a rough guess of how long a task takes. It may be off by far.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints says that the tasks save their progress and can resume.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang says that the tasks work only together, and all share one run.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that a gang is slower if it is spread over racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Label must be one of the labels of the instance, unless it is empty.
	Label string `json:"label,omitempty"`
	// DataRack is the rack near which the tasks are fast, empty for any.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerInstance bounds the tasks of the step (and occurrence) on one
	// instance, zero for no bound.
	MaxPerInstance int `json:"maxPerInstance,omitempty"`
	// Copies says that a task may run more than once at a time; the first to
	// end counts.
	Copies bool `json:"copies,omitempty"`
	// Service says that the tasks run until the job is cancelled.
	Service bool `json:"service,omitempty"`
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is what the tail of a serving task's response times should
	// stay under, zero for none.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// Fills says that the tasks use what others leave and take no processor of
	// their own.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is how many serving tasks may be away at once by our doing.
	MayMiss int `json:"mayMiss,omitempty"`
}

// Reservation returns what a task of the step takes of an instance's capacity.
func (s *Step) Reservation() pointport.Shape {
	need := s.Need
	if s.Fills {
		need.CPUMilli = 0
	}
	return need
}

// ConcurrentNeed returns what tasks of the step declare that have to run at the same time: all of a
// gang, else one.
func (s *Step) ConcurrentNeed() pointport.Shape {
	if !s.Gang {
		return s.Need
	}
	return s.Need.Times(s.Count)
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Recur.Times) }

// Due returns when occurrence k may begin. It is zero for a job that does not
// recur.
func (s *Spec) Due(k int) time.Time {
	if s.Recur.Times == 0 {
		return time.Time{}
	}
	return s.Recur.First.Add(time.Duration(k) * s.Recur.Every)
}

// tasks returns how many tasks an occurrence has, at most a little more than MaxTasks.
func (s *Spec) tasks() int {
	n := 0
	for i := range s.Steps {
		if n += s.Steps[i].Count; n > MaxTasks {
			return n
		}
	}
	return n
}

// RunsUntilCancelled reports whether the job runs until it is cancelled.
func (s *Spec) RunsUntilCancelled() bool {
	for n := range s.Steps {
		if s.Steps[n].Service {
			return true
		}
	}
	return false
}

// A SpecError says which field of a submitted job is wrong.
type SpecError struct {
	Field  string // such as steps[2].count
	Value  any
	Reason string
}

func (e *SpecError) Error() string { return fmt.Sprintf("%s is %v: %s", e.Field, e.Value, e.Reason) }

// Check returns a *SpecError if the job could not be run as it is.
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
	if s.Recur.Every > 0 && s.Recur.Times > int(math.MaxInt64/s.Recur.Every) {
		return &SpecError{"recur.times", s.Recur.Times, "the last time is beyond all dates"}
	}
	for n := range s.Steps {
		if err := s.Steps[n].check(n); err != nil {
			return err
		}
	}
	if tasks := s.tasks(); tasks > MaxTasks {
		return &SpecError{"steps", tasks, fmt.Sprintf("have more than %d tasks", MaxTasks)}
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
