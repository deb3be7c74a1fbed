package testbed

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file implements pointport.Machines for the fleet: the list, moves and maintenance.

// Machines lists, moves and maintains the machines of a fleet.
type Machines struct {
	fleet             *Fleet
	minHolderInterval time.Duration
}

var _ pointport.Machines = (*Machines)(nil)

// Machines returns the fleet as pointport.Machines. Two holders that order one machine less than
// minHolderInterval apart are a violation.
func (f *Fleet) Machines(minHolderInterval time.Duration) *Machines {
	return &Machines{f, minHolderInterval}
}

// List returns all machines, sorted by ID.
func (m *Machines) List(context.Context) ([]pointport.Machine, error) {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]pointport.Machine, 0, len(f.machines))
	for _, machine := range f.machines {
		row := pointport.Machine{
			ID: machine.id, Pool: machine.pool, State: machine.state, Zone: machine.zone, Labels: machine.labels(), Capacity: machine.capacity,
		}
		if machine.current != nil {
			row.Addressee = machine.current.id.Addressee()
		}
		out = append(out, row)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out, nil
}

// Move moves a machine to another pool.
func (m *Machines) Move(_ context.Context, by pointport.Holder, id pointport.InstanceID, pool string) error {
	return m.order(by, id, pointport.MachineMoving, m.fleet.moveTime, func(machine *Machine) (done bool) {
		if machine.pool == pool {
			return true
		}
		machine.pool = pool
		return false
	})
}

// Maintain maintains a machine for a wave, once.
func (m *Machines) Maintain(_ context.Context, by pointport.Holder, id pointport.InstanceID, wave int64) error {
	return m.order(by, id, pointport.MachineMaintenance, m.fleet.upkeepTime, func(*Machine) (done bool) {
		for _, w := range m.fleet.maintainedFor[id] {
			if w == wave {
				return true
			}
		}
		m.fleet.checkBound(wave)
		m.fleet.maintainedFor[id] = append(m.fleet.maintainedFor[id], wave)
		m.fleet.lastWave[id] = wave
		return false
	})
}

// order carries out an order about a machine. If do returns true, there is nothing left to do.
// Otherwise the machine's incarnation ends, and the machine boots again after away.
func (m *Machines) order(by pointport.Holder, id pointport.InstanceID, state pointport.MachineState, away time.Duration, do func(*Machine) bool) error {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	machine := f.machines[id]
	if machine == nil {
		return &pointport.MachineRefusedError{Machine: id, Reason: pointport.RefuseUnknown}
	}
	m.checkHolder(by, machine)
	if machine.state != pointport.MachineUp || !machine.drainsAt.IsZero() {
		return &pointport.MachineRefusedError{Machine: id, Reason: pointport.RefuseBusy}
	}
	f.checkServingTasks(f.clock.Now()) // with the machine in its former pool
	if do(machine) {
		return nil
	}
	f.disturbByOrder(f.clock.Now().Add(away))
	if machine.current != nil {
		machine.current.advance(f.clock.Now())
		f.noteEndedByOrder(f.clock.Now(), machine.current)
		for _, r := range machine.current.runs {
			if r.work.Service {
				f.addViolation(f.clock.Now(), r.Task, fmt.Sprintf("was ended by an order about machine %s", id))
			}
		}
	}
	f.endIncarnation(machine)
	machine.state = state
	f.bootLater(machine, away)
	return nil
}

// checkHolder records a violation if a machine's orders come from an outdated holder, or from two
// holders with the same fencing token or in quick alternation. The lock is held.
func (m *Machines) checkHolder(by pointport.Holder, machine *Machine) {
	now := m.fleet.clock.Now()
	switch {
	case by.Fence < machine.lastHolder.Fence:
		m.fleet.addViolation(now, string(machine.id), fmt.Sprintf("was ordered with fence %d after %d", by.Fence, machine.lastHolder.Fence))
	case machine.lastHolder.Name != "" && by.Fence == machine.lastHolder.Fence && by.Name != machine.lastHolder.Name:
		m.fleet.addViolation(now, string(machine.id), "was ordered by two holders with one fence")
	case machine.lastHolder.Name != "" && by.Name != machine.lastHolder.Name && now.Sub(machine.lastOrderAt) < m.minHolderInterval:
		m.fleet.addViolation(now, string(machine.id), "was ordered by two holders in turn")
	}
	machine.lastHolder, machine.lastOrderAt = by, now
}

// SetWaveBound sets how many machines may be away for a wave at once.
func (f *Fleet) SetWaveBound(wave int64, bound int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waveBounds[wave] = bound
}

// checkBound records a violation if a wave takes one more machine away than may be away at once.
// The lock is held.
func (f *Fleet) checkBound(wave int64) {
	n := 0
	for id, w := range f.lastWave {
		if w == wave && f.machines[id].state == pointport.MachineMaintenance {
			n++
		}
	}
	if bound, ok := f.waveBounds[wave]; ok && n >= bound {
		f.addViolation(f.clock.Now(), fmt.Sprintf("wave %d", wave), fmt.Sprintf("takes one more machine away while %d are away; %d may be", n, bound))
	}
}

// Maintained returns how many machines were maintained for a wave.
func (f *Fleet) Maintained(wave int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, waves := range f.maintainedFor {
		for _, w := range waves {
			if w == wave {
				n++
			}
		}
	}
	return n
}
