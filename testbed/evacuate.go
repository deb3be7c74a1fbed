package testbed

import (
	"fmt"
	"time"

	"github.com/pointport/pointport"
)

// This file checks that nothing is started in an evacuated availability zone.

// EvacuationTime is how long after the evacuation of an availability zone starts may still be sent
// to it.
const EvacuationTime = 5 * time.Second

// Evacuate marks an availability zone as evacuated: from EvacuationTime on, a start that is sent
// to it is a violation.
func (f *Fleet) Evacuate(zone pointport.ZoneID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuatedSince[zone].IsZero() {
		f.disturbUntil(f.clock.Now().Add(EvacuationTime))
		f.evacuatedSince[zone] = f.clock.Now()
	}
}

// EndEvacuation marks an availability zone as usable again.
func (f *Fleet) EndEvacuation(zone pointport.ZoneID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturb()
	delete(f.evacuatedSince, zone)
}

// checkZone records a violation if a start was sent to an availability zone later than
// EvacuationTime after its evacuation. The lock is held.
func (f *Fleet) checkZone(now, sent time.Time, at *incarnation, task string) {
	since := f.evacuatedSince[at.machine.zone]
	if since.IsZero() || sent.Sub(since) < EvacuationTime {
		return
	}
	f.addViolation(now, task, fmt.Sprintf("was sent a start on %s %v after its availability zone %s was evacuated", at.id, sent.Sub(since), at.machine.zone))
}

// StartsIn returns how many runs were started in an availability zone.
func (f *Fleet) StartsIn(zone pointport.ZoneID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startsIn[zone]
}

// A Place is the pool and the availability zone of a machine.
type Place struct {
	Pool string
	Zone pointport.ZoneID
}

// Where returns the pool and the availability zone of a machine.
func (f *Fleet) Where(id pointport.InstanceID) Place {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	return Place{m.pool, m.zone}
}
