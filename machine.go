package pointport

import (
	"context"
	"fmt"
)

// This file defines machines, which are instances as the platform lists them,
// and the orders that move and maintain them.

// A MachineState is the state of a machine as the platform reports it.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"      // moving to another pool
	MachineMaintenance MachineState = "maintenance" // under maintenance
	MachineDown        MachineState = "down"
)

// A Machine is an entry of the platform's list of machines. Its fields are
// exported because it is a message that is not modified.
type Machine struct {
	ID       InstanceID
	Pool     string
	State    MachineState
	Zone     ZoneID
	Labels   []string
	Capacity Shape
	// Addressee is the addressee of the machine's current incarnation; empty while
	// it has none. A later incarnation may have the same addressee.
	Addressee Addressee
}

// A Holder identifies the sender of orders about machines, with its fencing
// token.
type Holder struct {
	Name  string
	Fence Fence
}

// A Machines lists, moves and maintains instances. A move or maintenance ends
// all tasks on the machine at once; a new incarnation starts some seconds later.
// Repeating an order that was carried out succeeds and changes nothing.
//
// Its methods fail with a *MachineRefusedError if the platform refused the
// order, and with an *UnavailableError if no usable answer came. An order that
// failed with an *UnavailableError may have been carried out.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]Machine, error)

	// Move moves a machine into another pool.
	Move(ctx context.Context, by Holder, id InstanceID, pool string) error

	// Maintain starts the maintenance of a machine that a wave calls for.
	Maintain(ctx context.Context, by Holder, id InstanceID, wave int64) error
}

// A RefuseReason is the reason why the platform refused an order about a machine.
type RefuseReason string

// The reasons for which the platform refuses an order about a machine.
const (
	RefuseFence   RefuseReason = "fence"   // it has seen a higher fencing token
	RefuseBusy    RefuseReason = "busy"    // the machine is not up, or is leaving
	RefuseWave    RefuseReason = "wave"    // the wave does not include the machine
	RefuseUnknown RefuseReason = "unknown" // there is no such machine, or the pool belongs to others
)

// A MachineRefusedError reports that the platform refused an order and did
// nothing.
type MachineRefusedError struct {
	Machine InstanceID
	Reason  RefuseReason
}

func (e *MachineRefusedError) Error() string {
	return fmt.Sprintf("machine %s: refused: %s", e.Machine, e.Reason)
}
