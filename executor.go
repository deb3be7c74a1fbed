package pointport

import (
	"context"
	"fmt"
	"time"
)

// This file defines the orders about tasks that are sent to instances, and the
// reports on tasks that instances return.

// A Fence is a fencing token: an instance rejects an order whose token is lower
// than the highest that it has seen.
type Fence int64

// An Endpoint is where an incarnation accepts orders. Another incarnation may
// take over its address, and its addressee as well.
type Endpoint struct {
	Incarnation IncarnationID
	Address     string // host:port
}

// A TaskRun identifies one run of a task. The runs of a task are numbered in
// increasing order from 1.
type TaskRun struct {
	Task string
	Run  int
}

// An InstanceTime is a reading of the steady clock of one incarnation. That
// clock may run a few percent slow.
type InstanceTime time.Duration

// A StartOrder asks an incarnation to run a task.
type StartOrder struct {
	TaskRun
	Payload    string
	Checkpoint string // to resume from; empty if there is none
	Ticket     string // permission to use this incarnation; empty if there is none
	Fence      Fence
	// LeaseUntil is when the lease of all tasks on the incarnation expires unless
	// it is extended. It never shortens the lease that an earlier order gave.
	LeaseUntil InstanceTime
}

// A StopOrder asks an incarnation to stop a run, or never to start it if it has
// not arrived yet.
type StopOrder struct {
	TaskRun
	Fence Fence
}

// A PaceOrder limits the rate at which a task works, in percent of its full
// rate.
type PaceOrder struct {
	TaskRun
	Percent int
	Fence   Fence
}

// A PollOrder extends the lease of all tasks on an incarnation and asks for a
// report on them.
type PollOrder struct {
	Fence Fence
	// LeaseUntil is the new expiry of the lease of all tasks there. Zero leaves
	// the lease as it is.
	LeaseUntil InstanceTime
	// Acknowledged is the number of the last TaskEnd that the incarnation may
	// discard; it may discard all earlier ones too.
	Acknowledged int64
	// Wait is how long the incarnation may delay its answer until a task ends.
	Wait time.Duration
	// ExtraTimeout is added to the usual timeout of the call.
	ExtraTimeout time.Duration
}

// A Report is an incarnation's report on its tasks.
type Report struct {
	Clock   InstanceTime
	Running []RunningTask
	Ended   []TaskEnd
}

// A RunningTask is a run that is in progress at the time of a report.
type RunningTask struct {
	TaskRun
	Checkpoint string
	Progress   int // how much of its work is done, in percent
	// Load is a rough measure over the last half second: for a serving task, the
	// tail latency in milliseconds; for any other task, the CPU usage in
	// thousandths of a core.
	Load int
}

// An EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run can end.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"     // the task or its instance failed
	EndStopped      EndKind = "stopped"    // a StopOrder ended it
	EndLeaseExpired EndKind = "lapsed"     // its lease was not extended
	EndGangBroken   EndKind = "gangBroken" // another member of its gang ended
	EndGangTimeout  EndKind = "gangAlone"  // the rest of its gang did not start in time
)

// A TaskEnd describes a run that has ended.
type TaskEnd struct {
	Number int64 // counts the ends on an incarnation, from 1
	TaskRun
	Kind       EndKind
	Checkpoint string
}

// An Executor sends orders to incarnations of instances.
//
// The methods fail with a *RejectedError if the incarnation refused the order,
// with a *GoneError if another incarnation answered, and with an
// *UnavailableError if no usable answer came. An order that failed with an
// *UnavailableError may still be carried out, even seconds later and after newer
// orders.
//
// A Report always comes from the intended incarnation. The answer to any other
// order, including a refusal, comes from whichever incarnation has the addressee
// when the order arrives, which may be a later one.
type Executor interface {
	// Start starts a run and returns the incarnation's time. Starting a run that
	// is already there changes nothing.
	Start(ctx context.Context, at Endpoint, order StartOrder) (InstanceTime, error)

	// Stop stops a run and returns the incarnation's time. A run that has not
	// arrived yet will never start there.
	Stop(ctx context.Context, at Endpoint, order StopOrder) (InstanceTime, error)

	// Poll extends the lease of the running tasks and returns the runs that are
	// in progress and those that have ended.
	Poll(ctx context.Context, at Endpoint, order PollOrder) (Report, error)

	// Pace limits the rate at which a run works.
	Pace(ctx context.Context, at Endpoint, order PaceOrder) error
}

// A RejectReason is the reason why an incarnation refused an order.
type RejectReason string

// The reasons for which an incarnation refuses an order.
const (
	RejectFence      RejectReason = "fence"     // it has seen a higher fencing token
	RejectOldRun     RejectReason = "oldRun"    // that run or a later one has ended there
	RejectExpired    RejectReason = "late"      // the lease had expired when the order arrived
	RejectNoCapacity RejectReason = "room"      // the task does not fit
	RejectTicket     RejectReason = "ticket"    // it is not permitted to run that step
	RejectUnhealthy  RejectReason = "unhealthy" // it is unhealthy; it has done nothing
	RejectInvalid    RejectReason = "invalid"   // it does not understand the order
)

// A RejectedError reports that an incarnation refused an order and did nothing.
type RejectedError struct {
	Incarnation IncarnationID
	Reason      RejectReason
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("incarnation %s refused: %s", e.Incarnation, e.Reason)
}

// A GoneError reports that another incarnation answered, so the intended one has
// ended.
type GoneError struct {
	Incarnation IncarnationID
	// AnsweredBy is the incarnation that answered if it has the addressee of the
	// intended one, and so may have received orders that were meant for it. It is
	// empty if the addressees differ.
	AnsweredBy IncarnationID
}

func (e *GoneError) Error() string {
	if e.AnsweredBy == "" {
		return fmt.Sprintf("incarnation %s has ended", e.Incarnation)
	}
	return fmt.Sprintf("incarnation %s has ended: %s answers", e.Incarnation, e.AnsweredBy)
}

// An AdviceQuery asks an Advisor which of some incarnations may run a step.
type AdviceQuery struct {
	Step         string
	Incarnations []IncarnationID
	// Expected is how long the advisor works on the query according to the configuration.
	Expected time.Duration
}

// Advice is the answer to an AdviceQuery.
type Advice struct {
	// Tickets holds a ticket for each of the incarnations that may run the step.
	Tickets map[IncarnationID]string
	// ValidFor is how long the tickets are valid from when they were issued.
	ValidFor time.Duration
}

// An Advisor decides which incarnations may run a step, for queues whose policy
// requires it.
type Advisor interface {
	// Advise returns tickets for the incarnations that may run the step.
	Advise(ctx context.Context, q AdviceQuery) (Advice, error)
}
