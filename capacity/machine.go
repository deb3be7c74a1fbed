package capacity

import (
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines the planner's state of a machine.

// A machine is the planner's state of one machine.
type machine struct {
	id       pointport.InstanceID
	pool     string
	state    pointport.MachineState
	zone     pointport.ZoneID
	labels   []string
	capacity pointport.Shape
	// addressee is the current addressee according to the list, pastAddressees those that it
	// showed before, the most recent one last. listedSince is since when the list shows the
	// current addressee in the current pool.
	addressee      pointport.Addressee
	pastAddressees []pointport.Addressee
	listedSince    time.Time
	inPoolSince    time.Time // when it was first seen in its pool
	idleSince      time.Time // since when nothing runs there, zero while something does
	load           schedule.InstanceLoad
	// incarnation is the latest incarnation that an owner has reported, and knownSince the earliest
	// time at which one knew it.
	incarnation pointport.IncarnationID
	knownSince  time.Time
	order       *Order // pending, or nil
	ordered     time.Time
	answered    bool
	// resent is true if the order was sent before without an answer. It may then be carried
	// out whatever the answer to the last attempt is.
	resent bool
	// closing is true if the instance is to be closed, emptyingSince is when it was
	// chosen to be emptied for a wave.
	closing       bool
	emptyingSince time.Time
	// claimedBy is the pool for which the instance is being emptied, or empty.
	claimedBy string
}

// effectiveCapacity returns the capacity that the current incarnation has reported to its pool's
// owner, or else the one in the platform's list.
func (m *machine) effectiveCapacity() pointport.Shape {
	if reported := m.load.Capacity; reported != (pointport.Shape{}) && m.load.Incarnation.Addressee() == m.addressee {
		return reported
	}
	return m.capacity
}

// hasLabel reports whether a machine has a label; every machine has the empty one.
func (m *machine) hasLabel(label string) bool {
	return label == "" || slices.Contains(m.labels, label)
}

// safeToOrder reports whether an order for a machine would interrupt no task.
func (m *machine) safeToOrder(spare string) bool {
	switch {
	case m.pool == spare && spare != "", m.addressee == "" && m.load.Incarnation == "":
		return true // no software is up there, and no owner knows an incarnation
	case m.load.Incarnation.Addressee() != m.addressee:
		// The pool's owner does not know this incarnation, for example because the owner is
		// new, so what runs there is unknown.
		return false
	}
	return m.load.Closed && m.load.Empty()
}
