package testbed

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines the drains and the injected failures of machines.

// Drain makes a machine announce in its registration that it leaves, ends its incarnation after
// notice, and boots it again after down.
func (f *Fleet) Drain(id pointport.InstanceID, notice, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil || m.current == nil || !m.drainsAt.IsZero() {
		return
	}
	f.disturbUntil(f.clock.Now().Add(notice))
	m.drainsAt = f.clock.Now().Add(notice)
	f.onRegistration(f.registration(m), true)
	inc, wake := m.current, f.clock.After(notice)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.current == inc {
			f.disturb()
			f.endIncarnation(m)
			m.state = pointport.MachineDown
			f.bootLater(m, down)
		}
	}()
}

// SetFailing sets whether every run on a machine ends as failed.
func (f *Fleet) SetFailing(id pointport.InstanceID, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil && m.failsRuns != failing {
		f.disturb()
		m.failsRuns = failing
	}
}

// SetUnhealthy sets whether a machine refuses starts and stops. It carries out nothing of what it
// refuses: tasks that already run or stop there continue unchanged.
func (f *Fleet) SetUnhealthy(id pointport.InstanceID, unhealthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil && m.unhealthy != unhealthy {
		f.disturb()
		m.unhealthy = unhealthy
	}
}

// SetCapacity changes the capacity of a running machine and updates its registration.
func (f *Fleet) SetCapacity(id pointport.InstanceID, capacity pointport.Shape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil {
		return
	}
	f.disturb()
	m.formerCapacity, m.resizedAt, m.capacity = m.capacity, f.clock.Now(), capacity
	if m.current != nil {
		f.onRegistration(f.registration(m), true)
	}
}
