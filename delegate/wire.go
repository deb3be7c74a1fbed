package delegate

import (
	"errors"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the lines of a stream.

// Path is the path at which members accept streams of orders. Members of versions that identify
// an incarnation by its addressee alone use another path: they would find a different incarnation
// in place of each one that an order names.
const Path = "/peer/orders/lives"

// payloadSlots is how many payloads a delegate stores for a stream, which should be those of the
// jobs whose tasks are being started. At 4 KB each, the most that the users' platform allows, they
// take a megabyte.
const payloadSlots = 256

// An op is the kind of an order.
type op string

const (
	opStart op = "start"
	opStop  op = "stop"
	opHold  op = "hold"
	opPace  op = "pace"
)

// Lines are many and short, so their fields have names of one or two letters, and zero values are
// omitted. With the field names of the root package, a report is twice as long.

// An orderLine is an order to an instance. Its fields are exported because a codec reads
// and writes them, as are those of the other lines.
type orderLine struct {
	Number      int64                   `json:"n"` // unique within the stream
	Op          op                      `json:"op"`
	Incarnation pointport.IncarnationID `json:"i"`
	Address     string                  `json:"a"`
	Fence       pointport.Fence         `json:"f"`

	Task    string     `json:"t,omitempty"` // of all orders but a poll
	Run     int        `json:"r,omitempty"`
	Start   *startLine `json:"s,omitempty"`
	Hold    *holdLine  `json:"h,omitempty"`
	Percent int        `json:"p,omitempty"` // of a pace order
}

// at returns the endpoint to which the order goes.
func (o *orderLine) at() pointport.Endpoint {
	return pointport.Endpoint{Incarnation: o.Incarnation, Address: o.Address}
}

// run returns the run that the order concerns.
func (o *orderLine) run() pointport.TaskRun { return pointport.TaskRun{Task: o.Task, Run: o.Run} }

// newOrderLine returns an order for a run on an incarnation.
func newOrderLine(op op, at pointport.Endpoint, run pointport.TaskRun, fence pointport.Fence) orderLine {
	return orderLine{Op: op, Incarnation: at.Incarnation, Address: at.Address, Fence: fence, Task: run.Task, Run: run.Run}
}

// A startLine contains the additional parameters of a start. Its payload is in a slot of the
// stream.
type startLine struct {
	Checkpoint string                 `json:"c,omitempty"`
	Ticket     string                 `json:"t,omitempty"`
	Until      pointport.InstanceTime `json:"u"`
	Slot       int                    `json:"k"`
	// Payload is the new content of the slot, nil if the slot has the payload already.
	Payload *string `json:"v,omitempty"`
}

// A holdLine contains the additional parameters of a poll.
type holdLine struct {
	Until        pointport.InstanceTime `json:"u,omitempty"`
	Acknowledged int64                  `json:"a,omitempty"`
	Wait         time.Duration          `json:"w,omitempty"`
	Patience     time.Duration          `json:"p,omitempty"`
}

// A resultLine is the result of an order.
type resultLine struct {
	Number int64                  `json:"n"`
	Clock  pointport.InstanceTime `json:"c,omitempty"`
	Report *reportLine            `json:"r,omitempty"` // of a poll
	Failed *failure               `json:"e,omitempty"`
}

// A reportLine is an instance's report without its clock, which is in the resultLine.
type reportLine struct {
	Running []runningLine `json:"r,omitempty"`
	Ended   []endedLine   `json:"e,omitempty"`
}

// A runningLine is a run that is on the instance.
type runningLine struct {
	Task       string `json:"t"`
	Run        int    `json:"r"`
	Checkpoint string `json:"c,omitempty"`
	Progress   int    `json:"p,omitempty"`
	Load       int    `json:"l,omitempty"`
}

// An endedLine is a run that has ended.
type endedLine struct {
	Number     int64             `json:"n"`
	Task       string            `json:"t"`
	Run        int               `json:"r"`
	Kind       pointport.EndKind `json:"k"`
	Checkpoint string            `json:"c,omitempty"`
}

// reportLineOf returns the line for a report.
func reportLineOf(r pointport.Report) *reportLine {
	line := &reportLine{}
	for _, t := range r.Running {
		line.Running = append(line.Running, runningLine{t.Task, t.Run, t.Checkpoint, t.Progress, t.Load})
	}
	for _, e := range r.Ended {
		line.Ended = append(line.Ended, endedLine{e.Number, e.Task, e.Run, e.Kind, e.Checkpoint})
	}
	return line
}

// report returns the report that the result contains.
func (r *resultLine) report() pointport.Report {
	out := pointport.Report{Clock: r.Clock}
	if r.Report == nil {
		return out
	}
	for _, t := range r.Report.Running {
		out.Running = append(out.Running, pointport.RunningTask{
			TaskRun: pointport.TaskRun{Task: t.Task, Run: t.Run}, Checkpoint: t.Checkpoint, Progress: t.Progress, Load: t.Load,
		})
	}
	for _, e := range r.Report.Ended {
		out.Ended = append(out.Ended, pointport.TaskEnd{
			Number: e.Number, TaskRun: pointport.TaskRun{Task: e.Task, Run: e.Run}, Kind: e.Kind, Checkpoint: e.Checkpoint,
		})
	}
	return out
}

// A failure is the encoded form of an error of an Executor.
type failure struct {
	Rejected pointport.RejectReason `json:"rejected,omitempty"`
	Gone     bool                   `json:"gone,omitempty"`
	// By is the incarnation with the same addressee that answered in place of one that is gone.
	By        pointport.IncarnationID `json:"by,omitempty"`
	Ambiguous bool                    `json:"ambiguous,omitempty"` // whether the order may have been executed
	Cause     string                  `json:"cause,omitempty"`
}

// failureOf returns the encoded form of err, nil if err is nil.
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
		return &failure{Gone: true, By: gone.AnsweredBy}
	case errors.As(err, &unavailable):
		return &failure{Ambiguous: unavailable.Ambiguous, Cause: unavailable.Err.Error()}
	}
	return &failure{Ambiguous: true, Cause: err.Error()}
}

// err returns the error that f encodes, nil if f is nil.
func (f *failure) err(o orderLine) error {
	switch {
	case f == nil:
		return nil
	case f.Rejected != "":
		return &pointport.RejectedError{Incarnation: o.Incarnation, Reason: f.Rejected}
	case f.Gone:
		return &pointport.GoneError{Incarnation: o.Incarnation, AnsweredBy: f.By}
	}
	return o.unavailable(f.Ambiguous, errors.New(f.Cause))
}

// unavailable returns the error of an order that got no usable answer.
func (o orderLine) unavailable(ambiguous bool, cause error) error {
	key := string(o.Incarnation)
	if o.Task != "" {
		key = o.Task
	}
	return &pointport.UnavailableError{Op: string(o.Op), Key: key, Ambiguous: ambiguous, Err: cause}
}
