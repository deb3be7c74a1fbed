package testbed

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the fleet as pointport.Machines: its list, moves and
// maintenance.

// Machines lists, moves and maintains the machines of a fleet.
type Machines struct {
	fleet             *Fleet
	minHolderInterval time.Duration
}

var _ pointport.Machines = (*Machines)(nil)

// Machines returns the fleet's list and its orders. Two holders that order one
// machine within minHolderInterval count as a violation.
func (f *Fleet) Machines(minHolderInterval time.Duration) *Machines {
	return &Machines{f, minHolderInterval}
}

// List returns all machines.
func (m *Machines) List(context.Context) ([]pointport.Machine, error) {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]pointport.Machine, 0, len(f.machines))
	for _, x := range f.machines {
		row := pointport.Machine{
			ID: x.id, Pool: x.pool, State: x.state, Zone: x.zone, Labels: []string{"a", x.rack}, Capacity: x.capacity,
		}
		if x.life != nil {
			row.Addressee = x.life.id.Addressee()
		}
		out = append(out, row)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out, nil
}

// Move puts a machine into another pool.
func (m *Machines) Move(_ context.Context, by pointport.Holder, id pointport.InstanceID, pool string) error {
	return m.order(by, id, pointport.MachineMoving, m.fleet.moveTime, func(x *Machine) (done bool) {
		if x.pool == pool {
			return true
		}
		x.pool = pool
		return false
	})
}

// Maintain maintains a machine for a wave.
func (m *Machines) Maintain(_ context.Context, by pointport.Holder, id pointport.InstanceID, wave int64) error {
	return m.order(by, id, pointport.MachineMaintenance, m.fleet.upkeep, func(*Machine) (done bool) {
		for _, w := range m.fleet.maintain[id] {
			if w == wave {
				return true
			}
		}
		m.fleet.checkBound(wave)
		m.fleet.maintain[id] = append(m.fleet.maintain[id], wave)
		m.fleet.away[id] = wave
		return false
	})
}

func (m *Machines) order(by pointport.Holder, id pointport.InstanceID, state pointport.MachineState, away time.Duration, do func(*Machine) bool) error {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.machines[id]
	if x == nil {
		return &pointport.MachineRefusedError{Machine: id, Reason: pointport.RefuseUnknown}
	}
	m.checkHolder(by, x)
	if x.state != pointport.MachineUp || !x.draining.IsZero() {
		return &pointport.MachineRefusedError{Machine: id, Reason: pointport.RefuseBusy}
	}
	if do(x) {
		return nil
	}
	if x.life != nil {
		x.life.advance(f.clock.Now())
		f.noteDestroyed(f.clock.Now(), x.life)
		for _, r := range x.life.runs {
			if r.work.Service {
				f.violate(f.clock.Now(), r.Task, fmt.Sprintf("is ended by an order about machine %s", id))
			}
		}
	}
	f.end(x)
	x.state = state
	f.bootLater(x, away)
	return nil
}

// checkHolder notes whether two holders take turns at a machine. The lock is
// held.
func (m *Machines) checkHolder(by pointport.Holder, x *Machine) {
	now := m.fleet.clock.Now()
	switch {
	case by.Fence < x.holder.Fence:
		m.fleet.violate(now, string(x.id), fmt.Sprintf("is ordered with fence %d after %d", by.Fence, x.holder.Fence))
	case x.holder.Name != "" && by.Fence == x.holder.Fence && by.Name != x.holder.Name:
		m.fleet.violate(now, string(x.id), "is ordered by two holders with one fence")
	case x.holder.Name != "" && by.Name != x.holder.Name && now.Sub(x.ordered) < m.minHolderInterval:
		m.fleet.violate(now, string(x.id), "is ordered by two holders in turn")
	}
	x.holder, x.ordered = by, now
}

// SetWaveBound sets how many machines may be away for a wave at once.
func (f *Fleet) SetWaveBound(wave int64, bound int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bounds[wave] = bound
}

// checkBound notes whether one more machine goes away for a wave than may. The
// lock is held.
func (f *Fleet) checkBound(wave int64) {
	n := 0
	for id, w := range f.away {
		if w == wave && f.machines[id].state == pointport.MachineMaintenance {
			n++
		}
	}
	if bound, ok := f.bounds[wave]; ok && n >= bound {
		f.violate(f.clock.Now(), fmt.Sprintf("wave %d", wave), fmt.Sprintf("takes one more machine away beside %d; %d may be", n, bound))
	}
}

// Maintained returns how many machines were maintained for a wave.
func (f *Fleet) Maintained(wave int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, waves := range f.maintain {
		for _, w := range waves {
			if w == wave {
				n++
			}
		}
	}
	return n
}
