package pointport

import (
	"context"
	"fmt"
	"time"
)

// This file defines the orders that an instance takes about tasks, and what it
// says of the tasks that it has.

// A Fence is a fencing token: an instance does nothing for an order that has a
// lower one than it has seen.
type Fence int64

// An Endpoint is where one incarnation takes orders. Its address may be taken over by another
// incarnation, and so may its addressee.
type Endpoint struct {
	Incarnation IncarnationID
	Address     string // host:port
}

// A TaskRun is one start of a task. Run numbers rise from 1.
type TaskRun struct {
	Task string
	Run  int
}

// An InstanceTime is a time on the steady clock of one incarnation, which may
// run a few percent slow.
type InstanceTime time.Duration

// A StartOrder asks an incarnation to run a task.
type StartOrder struct {
	TaskRun
	Payload    string
	Checkpoint string // to resume from, empty for none
	Ticket     string // a permission to use this incarnation, empty for none
	Fence      Fence
	// LeaseUntil is when everything on the incarnation ends unless it is extended.
	// It never shortens what an earlier order gave.
	LeaseUntil InstanceTime
}

// A StopOrder asks an incarnation to stop a run, or never to start it.
type StopOrder struct {
	TaskRun
	Fence Fence
}

// A PaceOrder sets which share of its work a task may do, in percent.
type PaceOrder struct {
	TaskRun
	Percent int
	Fence   Fence
}

// A PollOrder extends the time of everything on an incarnation and asks what it
// runs.
type PollOrder struct {
	Fence Fence
	// LeaseUntil extends the time of everything there, unless it is zero.
	LeaseUntil InstanceTime
	// Acknowledged is the number of the last end that may be forgotten.
	Acknowledged int64
	// Wait is how long the answer may wait for a task to end.
	Wait time.Duration
	// ExtraTimeout is how much longer than usual to wait for the answer.
	ExtraTimeout time.Duration
}

// A Report is what an incarnation says of its tasks.
type Report struct {
	Clock   InstanceTime
	Running []RunningTask
	Ended   []TaskEnd
}

// A RunningTask is a run that an incarnation has at the moment of a report.
type RunningTask struct {
	TaskRun
	Checkpoint string
	Progress   int // how much of its work is done, in percent
	// Load is a rough figure of the last half second: for a task that serves,
	// the tail of its response times in milliseconds; for any other, the
	// processor time in use, in thousandths of a core.
	Load int
}

// An EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"     // by its own fault or its instance's
	EndStopped      EndKind = "stopped"    // by an order
	EndLeaseExpired EndKind = "lapsed"     // its time was not extended
	EndGangBroken   EndKind = "gangBroken" // another member of its gang ended
	EndGangTimeout  EndKind = "gangAlone"  // its gang did not gather in time
)

// A TaskEnd is a run that has ended.
type TaskEnd struct {
	Number int64 // rises from 1 in each incarnation
	TaskRun
	Kind       EndKind
	Checkpoint string
}

// An Executor sends orders to incarnations of instances.
//
// Its methods fail with a *RejectedError if the incarnation refused, with a
// *GoneError if another incarnation answered, and with an *UnavailableError if
// no usable answer came; an order that failed so may still be carried out, even
// seconds later and after newer ones.
//
// A report is of the incarnation that was meant. The answers to other orders, refusals among
// them, are of whoever has its addressee when they arrive, which may be a later life.
type Executor interface {
	// Start starts a run. Starting a run that is there already changes nothing.
	Start(ctx context.Context, at Endpoint, order StartOrder) (InstanceTime, error)

	// Stop stops a run; a run that is not there yet will never start there.
	Stop(ctx context.Context, at Endpoint, order StopOrder) (InstanceTime, error)

	// Poll extends the time of what runs and returns what runs and has ended.
	Poll(ctx context.Context, at Endpoint, order PollOrder) (Report, error)

	// Pace sets the share of its work that a run may do.
	Pace(ctx context.Context, at Endpoint, order PaceOrder) error
}

// A RejectReason says why an incarnation refused an order.
type RejectReason string

// The reasons for which an incarnation refuses an order.
const (
	RejectFence      RejectReason = "fence"     // it has seen a higher fence
	RejectOldRun     RejectReason = "oldRun"    // that run or a later one has ended there
	RejectExpired    RejectReason = "late"      // the order's time had passed
	RejectNoCapacity RejectReason = "room"      // the task does not fit
	RejectTicket     RejectReason = "ticket"    // it may not run that step
	RejectUnhealthy  RejectReason = "unhealthy" // it is not well and has done nothing
	RejectInvalid    RejectReason = "invalid"   // it does not understand the order
)

// A RejectedError says that an incarnation refused an order and did nothing.
type RejectedError struct {
	Incarnation IncarnationID
	Reason      RejectReason
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("incarnation %s refused: %s", e.Incarnation, e.Reason)
}

// A GoneError says that another incarnation answered, so the one that was meant
// has ended.
type GoneError struct {
	Incarnation IncarnationID
	// AnsweredBy is the incarnation that answered if it has the addressee of the one that was meant,
	// and so may have taken orders to it; empty if it has another one.
	AnsweredBy IncarnationID
}

func (e *GoneError) Error() string {
	if e.AnsweredBy == "" {
		return fmt.Sprintf("incarnation %s is gone", e.Incarnation)
	}
	return fmt.Sprintf("incarnation %s is gone: %s answers", e.Incarnation, e.AnsweredBy)
}

// An Advisor knows which incarnations may run a step, where a queue's policy
// asks for that.
type Advisor interface {
	// Advise returns a ticket for each of the incarnations that may run the step,
	// and how long the tickets hold.
	Advise(ctx context.Context, step string, incarnations []IncarnationID) (map[IncarnationID]string, time.Duration, error)
}
