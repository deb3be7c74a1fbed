package capacity

import (
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines waves of maintenance and the order in which their machines are maintained.

// A Wave requests that each of its machines be maintained once within Duration.
type Wave struct {
	ID       int64
	Machines []pointport.InstanceID
	// Bound is how many machines may be unavailable for the wave at once.
	Bound    int
	Duration time.Duration
}

// A waveState is the progress of a wave.
type waveState struct {
	wave  Wave
	begun time.Time // when this planner first saw it, or as restored
	// ordered holds the machines whose maintenance has begun, and when.
	ordered map[pointport.InstanceID]time.Time
}

const (
	// maintenanceSlack is how much longer than the platform's maintenance time a machine counts as
	// unavailable for the bound of its wave.
	maintenanceSlack = 700 * time.Millisecond
	// drainEstimate is the usual time to empty an instance.
	drainEstimate = 2500 * time.Millisecond
	// ignoreLoadShare is the share of a wave's time after which its machines are
	// emptied whatever the load.
	ignoreLoadShare = 0.55
	// forceShare is the share of a wave's time after which tasks that are not serving no
	// longer delay maintenance.
	forceShare = 0.8
)

// remaining returns the existing machines that are still to be maintained.
func (w *waveState) remaining(machines map[pointport.InstanceID]*machine) []*machine {
	var out []*machine
	for _, id := range w.wave.Machines {
		if _, ok := w.ordered[id]; ok {
			continue
		}
		if m := machines[id]; m != nil {
			out = append(out, m)
		}
	}
	return out
}

// unavailable returns how many machines are, or may be, unavailable because of a wave.
func (p *Planner) unavailable(now time.Time, w *waveState) int {
	unavailable := make(map[pointport.InstanceID]bool)
	for id, at := range w.ordered {
		m := p.machines[id]
		if now.Sub(at) <= p.settings.MaintenanceTime+maintenanceSlack || m != nil && m.state == pointport.MachineMaintenance {
			unavailable[id] = true
		}
	}
	for id, m := range p.machines {
		if m.order != nil && m.order.Wave == w.wave.ID {
			unavailable[id] = true // ordered and without an answer, or not back yet
		}
	}
	for id, f := range p.former {
		if f.Wave == w.wave.ID && now.Sub(f.At) <= p.settings.MaintenanceTime+maintenanceSlack {
			unavailable[id] = true // ordered by an earlier planner with an unknown outcome
		}
	}
	return len(unavailable)
}

// planWave decides which machines of a wave to empty and which to maintain.
func (p *Planner) planWave(now time.Time, w *waveState, d *Decision) {
	remaining := w.remaining(p.machines)
	if len(remaining) == 0 {
		return
	}
	slots := w.wave.Bound - p.unavailable(now, w)
	spent := float64(now.Sub(w.begun)) / float64(w.wave.Duration)
	rounds := (len(remaining) + w.wave.Bound - 1) / max(1, w.wave.Bound)
	needed := time.Duration(rounds) * (p.settings.MaintenanceTime + maintenanceSlack + drainEstimate)
	ignoreLoad := spent > ignoreLoadShare || now.Add(needed).After(w.begun.Add(w.wave.Duration))
	force := spent > forceShare
	sort.SliceStable(remaining, func(i, k int) bool { return remaining[i].maintainedBefore(remaining[k]) })
	for _, m := range remaining {
		if slots <= 0 {
			return
		}
		if !p.orderable(now, m) || m.load.Leaving {
			continue
		}
		if p.maintainable(m, force) {
			p.issueOrder(now, d, m, Order{Machine: m.id, Wave: w.wave.ID})
			slots--
			continue
		}
		if m.emptyingSince.IsZero() && !ignoreLoad && (p.hasBacklog(m.pool) || m.load.Serving == 0 && m.load.Runs > 0) {
			continue // the pool is busy, or the instance will be empty by itself
		}
		if m.emptyingSince.IsZero() {
			m.emptyingSince = now
		}
		p.closeInstance(d, m, schedule.Closure{Instance: m.id, Evacuate: true})
		slots--
	}
}

// maintainable reports whether a machine can be maintained now.
func (p *Planner) maintainable(m *machine, force bool) bool {
	if m.safeToOrder(p.spare) {
		return true
	}
	return force && m.load.Incarnation.Addressee() == m.addressee && m.load.Closed && m.load.Serving == 0 && !m.load.Unstored
}

// maintainedBefore reports whether a machine is maintained before another: first those that are
// being emptied already, then by maintenanceCost.
func (m *machine) maintainedBefore(o *machine) bool {
	if m.emptyingSince.IsZero() != o.emptyingSince.IsZero() {
		return !m.emptyingSince.IsZero()
	}
	return m.maintenanceCost() < o.maintenanceCost()
}

// maintenanceCost ranks machines by the tasks that maintenance would affect now. A serving task
// counts as much as 100 others.
func (m *machine) maintenanceCost() int {
	const servingCost = 100
	return m.load.Runs + servingCost*m.load.Serving
}
