package capacity

import (
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines what the planner knows of a machine.

// A machine is what the planner knows of one.
type machine struct {
	id       pointport.InstanceID
	pool     string
	state    pointport.MachineState
	zone     pointport.ZoneID
	labels   []string
	capacity pointport.Shape
	// addressee is the addressee of the present addressee, as the list shows it; former holds those that
	// it has shown and shows no more, the last one last, and changed is since when it shows the
	// present one, in the present pool.
	addressee     pointport.Addressee
	pastAddressees   []pointport.Addressee
	listedSince  time.Time
	inPoolSince    time.Time // when it was first seen in its pool
	idleSince     time.Time // since when nothing runs there, zero while something does
	load     schedule.InstanceLoad
	order    *Order // under way
	ordered  time.Time
	answered bool
	// resent says that the order was given before without an answer, so that it may be
	// carried out whatever becomes of its repetition.
	resent bool
	// closing says that the instance is to be closed, emptying since when it has
	// been chosen to be emptied for a wave.
	closing  bool
	emptyingSince time.Time
	// claimedBy names the pool that the instance is being emptied for.
	claimedBy string
}

// effectiveCapacity returns what the machine holds: what its present life says, if its pool's owner has
// told, or what the platform's list says.
func (m *machine) effectiveCapacity() pointport.Shape {
	if told := m.load.Capacity; told != (pointport.Shape{}) && m.load.Incarnation.Addressee() == m.addressee {
		return told
	}
	return m.capacity
}

// hasLabel reports whether a machine hasLabel a label; an empty one is had by all.
func (m *machine) hasLabel(label string) bool {
	return label == "" || slices.Contains(m.labels, label)
}

// safeToOrder reports whether an order about a machine would end nothing.
func (m *machine) safeToOrder(spare string) bool {
	switch {
	case m.pool == spare && spare != "", m.addressee == "" && m.load.Incarnation == "":
		return true // nothing runs where no software is up, and no owner knows of any
	case m.load.Incarnation.Addressee() != m.addressee:
		// The pool's owner does not know this life, as when the owner is new, so
		// nobody says what runs there.
		return false
	}
	return m.load.Closed && m.load.Empty()
}
