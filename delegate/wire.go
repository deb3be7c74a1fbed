package delegate

import (
	"errors"

	"github.com/pointport/pointport"
)

// This file defines the lines of a stream.

// Path is where members take the orders of owners.
const Path = "/peer/orders"

// payloadSlots is how many payloads a delegate remembers for a stream: those of the jobs
// that are being started. At 4 KB each, the most that the users' platform takes, they
// hold a megabyte.
const payloadSlots = 256

// An op says what an order does.
type op string

const (
	opStart op = "start"
	opStop  op = "stop"
	opHold  op = "hold"
	opPace  op = "pace"
)

// An orderLine is an order to an instance. Its fields are exported because a codec reads
// and writes them.
type orderLine struct {
	Number int64              `json:"n"` // within the stream
	Op     op                 `json:"op"`
	At     pointport.Endpoint `json:"at"`
	Fence  pointport.Fence    `json:"f"`

	Start *startLine           `json:"s,omitempty"`
	Run   *pointport.TaskRun   `json:"r,omitempty"` // of a stop or a pace
	Hold  *pointport.HoldOrder `json:"h,omitempty"`
	Pace  int                  `json:"p,omitempty"` // percent
}

// A startLine is a start without its payload, which is in a slot of the stream.
type startLine struct {
	Run        pointport.TaskRun       `json:"r"`
	Checkpoint string                  `json:"c,omitempty"`
	Ticket     string                  `json:"t,omitempty"`
	Until      pointport.InstanceClock `json:"u"`
	Slot       int                     `json:"k"`
	// Payload is what the slot holds from now on, nil if it stays as it is.
	Payload *string `json:"v,omitempty"`
}

// A resultLine is what came of an order.
type resultLine struct {
	Number int64                   `json:"n"`
	Clock  pointport.InstanceClock `json:"c,omitempty"`
	Report *pointport.Report       `json:"r,omitempty"` // of a hold
	Failed *failure                `json:"e,omitempty"`
}

// A failure is an error of an Executor.
type failure struct {
	Rejected  pointport.RejectReason `json:"rejected,omitempty"`
	Gone      bool                   `json:"gone,omitempty"`
	Ambiguous bool                   `json:"ambiguous,omitempty"` // whether the order may be carried out
	Cause     string                 `json:"cause,omitempty"`
}

// failureOf returns how an order has failed, nil if it has not.
func failureOf(err error) *failure {
	var rejected *pointport.RejectedError
	var gone *pointport.GoneError
	var unavailable *pointport.UnavailableError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejected):
		return &failure{Rejected: rejected.Reason}
	case errors.As(err, &gone):
		return &failure{Gone: true}
	case errors.As(err, &unavailable):
		return &failure{Ambiguous: unavailable.Ambiguous, Cause: unavailable.Err.Error()}
	}
	return &failure{Ambiguous: true, Cause: err.Error()}
}

// err returns the error that f stands for, nil if f is.
func (f *failure) err(o orderLine) error {
	switch {
	case f == nil:
		return nil
	case f.Rejected != "":
		return &pointport.RejectedError{Incarnation: o.At.Incarnation, Reason: f.Rejected}
	case f.Gone:
		return &pointport.GoneError{Incarnation: o.At.Incarnation}
	}
	return o.unavailable(f.Ambiguous, errors.New(f.Cause))
}

// unavailable returns the error that no usable answer came to an order.
func (o orderLine) unavailable(ambiguous bool, cause error) error {
	key := string(o.At.Incarnation)
	switch {
	case o.Start != nil:
		key = o.Start.Run.Task
	case o.Run != nil:
		key = o.Run.Task
	}
	return &pointport.UnavailableError{Op: string(o.Op), Key: key, Ambiguous: ambiguous, Err: cause}
}
