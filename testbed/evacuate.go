package testbed

import (
	"fmt"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what the fleet watches over while an availability zone is evacuated.

// EvacuationTime is within which time nothing more may be sent to an evacuated availability
// zone.
const EvacuationTime = 5 * time.Second

// Evacuate notes that nothing more is to be started in an availability zone.
func (f *Fleet) Evacuate(zone pointport.ZoneID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuatedSince[zone].IsZero() {
		f.evacuatedSince[zone] = f.clock.Now()
	}
}

// EndEvacuation notes that an availability zone may be used again.
func (f *Fleet) EndEvacuation(zone pointport.ZoneID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.evacuatedSince, zone)
}

// checkZone notes whether a start was sent to an availability zone that had to be left empty
// by then. The lock is held.
func (f *Fleet) checkZone(now, sent time.Time, at *incarnation, task string) {
	since := f.evacuatedSince[at.machine.zone]
	if since.IsZero() || sent.Sub(since) < EvacuationTime {
		return
	}
	f.addViolation(now, task, fmt.Sprintf("is started on %s %v after its availability zone %s was evacuated", at.id, sent.Sub(since), at.machine.zone))
}

// StartsIn returns how many runs have begun in an availability zone.
func (f *Fleet) StartsIn(zone pointport.ZoneID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startsIn[zone]
}

// A Place is where a machine is.
type Place struct {
	Pool string
	Zone pointport.ZoneID
}

// Where returns where a machine is.
func (f *Fleet) Where(id pointport.InstanceID) Place {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	return Place{m.pool, m.zone}
}
