package testbed

import (
	"fmt"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how machines boot, register and end an incarnation.

// boot gives a machine a new incarnation, unless it is in the spare pool. The lock is held.
func (f *Fleet) boot(m *Machine) {
	ordered := m.state == pointport.MachineMoving || m.state == pointport.MachineMaintenance
	m.state = pointport.MachineUp
	if m.pool == f.sparePool && f.sparePool != "" {
		return
	}
	if ordered {
		f.disturbByOrder(f.clock.Now())
	} else {
		f.disturb()
	}
	f.incarnationCount++
	i := &incarnation{
		fleet: f, id: f.nextIdentity(m), machine: m, clockSetAt: f.clock.Now(), rate: m.clockRate,
		clockOrigin: f.initialClock(),
		runs:        make(map[string]*run), ruledOut: make(map[string]int),
	}
	m.current, m.lastAddressee, m.drainsAt = i, i.id.Addressee(), time.Time{}
	f.incarnations = append(f.incarnations, i)
	f.byAddressee[m.lastAddressee] = i
	f.onRegistration(f.registration(m), true)
	f.notifyChange()
}

// nextIdentity returns the identity of a machine's next incarnation. Where machines reuse
// addressees, the identity includes when the incarnation began, by a wall clock that may be an
// hour ahead or behind. The lock is held.
func (f *Fleet) nextIdentity(m *Machine) pointport.IncarnationID {
	const allPercent = 100
	to := pointport.Addressee(fmt.Sprintf("i-%04d", f.incarnationCount))
	if f.reusePercent == 0 {
		return pointport.IncarnationID(to)
	}
	if m.lastAddressee != "" && f.random.IntN(allPercent) < f.reusePercent {
		to = m.lastAddressee
	}
	// The number of the incarnation makes the start times of any two differ.
	startedAt := f.clock.Now().Truncate(time.Minute).Add(time.Duration(f.random.IntN(3)-1)*time.Hour + time.Duration(f.incarnationCount)*time.Millisecond)
	return pointport.NewIncarnationID(to, startedAt)
}

// initialClock returns what the clock of a new incarnation shows at its start. Where machines
// reuse addressees, that may be less or more than the previous incarnation's clock showed. The
// lock is held.
func (f *Fleet) initialClock() pointport.InstanceTime {
	if f.reusePercent == 0 {
		return pointport.InstanceTime(time.Duration(f.incarnationCount) * time.Minute)
	}
	return pointport.InstanceTime(time.Duration(f.random.IntN(60)) * time.Minute)
}

// registration returns the registration of a machine's current incarnation. The lock is held.
func (f *Fleet) registration(m *Machine) pointport.Incarnation {
	options := []pointport.IncarnationOption{
		pointport.WithInstance(m.id), pointport.WithZone(m.zone), pointport.WithRack(m.rack),
		pointport.WithLabels(m.labels()), pointport.WithCapacity(m.capacity),
	}
	if !m.drainsAt.IsZero() {
		options = append(options, pointport.WithDraining(m.drainsAt.Sub(f.clock.Now())))
	}
	return pointport.NewIncarnation(m.current.id, m.pool, f.address(m.id, m.current.id), options...)
}

// labels returns the labels of a machine.
func (m *Machine) labels() []string { return []string{"a", m.rack} }

// endIncarnation ends a machine's current incarnation. The lock is held.
func (f *Fleet) endIncarnation(m *Machine) {
	if m.current == nil {
		return
	}
	now, ended := f.clock.Now(), m.current
	ended.advance(now)
	f.checkServingTasks(now)
	ended.gone = true
	for _, r := range ended.runs {
		f.breakGang(r)
	}
	f.unregister(m)
	m.current = nil
	for _, r := range ended.sortedRuns() {
		f.noteServingEnd(now, r)
	}
	f.notifyChange()
}

// unregister ends the registration of a machine's current incarnation: at once if the incarnation
// has announced its end by draining, otherwise after deregistrationDelay, as for missed
// heartbeats. It then leaves a registration that a later incarnation has made under the same
// addressee. The lock is held.
func (f *Fleet) unregister(m *Machine) {
	if f.deregistrationDelay == 0 || !m.drainsAt.IsZero() {
		f.onRegistration(f.registration(m), false)
		return
	}
	inc, registration, wake := m.current, f.registration(m), f.clock.After(f.deregistrationDelay)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.byAddressee[inc.id.Addressee()] == inc {
			f.onRegistration(registration, false)
		}
	}()
}

// bootLater boots a machine after d, unless it has an incarnation by then. The lock is held.
func (f *Fleet) bootLater(m *Machine, d time.Duration) {
	wake := f.clock.After(d)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.current == nil {
			f.boot(m)
		}
	}()
}
