package capacity

import (
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines waves of maintenance and which of their machines are next.

// A Wave asks that each of some machines be maintained once, in time.
type Wave struct {
	ID       int64
	Machines []pointport.InstanceID
	// Bound is how many may be away for the wave at once.
	Bound    int
	Duration time.Duration
}

// A waveState is how far a wave has come.
type waveState struct {
	wave  Wave
	begun time.Time // when this planner first saw it
	// ordered holds the machines whose maintenance has begun, and when.
	ordered map[pointport.InstanceID]time.Time
}

const (
	// maintenanceSlack is by how much a machine may take longer to come back than the
	// platform says, before it counts as back for the bound of its wave.
	maintenanceSlack = 700 * time.Millisecond
	// drainEstimate is how long it takes, as a rule, to empty an instance.
	drainEstimate = 2500 * time.Millisecond
	// ignoreLoadShare is the part of a wave's time after which its machines are
	// emptied whatever the load.
	ignoreLoadShare = 0.55
	// forceShare is the part after which tasks that are not serving no longer
	// hold a machine up.
	forceShare = 0.8
)

// remaining returns the machines that are still to be maintained.
func (w *waveState) remaining(exists map[pointport.InstanceID]*machine) []*machine {
	var out []*machine
	for _, id := range w.wave.Machines {
		if _, ok := w.ordered[id]; ok {
			continue
		}
		if m := exists[id]; m != nil {
			out = append(out, m)
		}
	}
	return out
}

// unavailable returns how many machines are unavailable for a wave, or may be.
func (p *Planner) unavailable(now time.Time, w *waveState) int {
	away := make(map[pointport.InstanceID]bool)
	for id, at := range w.ordered {
		m := p.machines[id]
		if now.Sub(at) <= p.settings.UpkeepTime+maintenanceSlack || m != nil && m.state == pointport.MachineMaintenance {
			away[id] = true
		}
	}
	for id, m := range p.machines {
		if m.order != nil && m.order.Wave == w.wave.ID {
			away[id] = true // ordered, without an answer yet or not back
		}
	}
	for id, f := range p.former {
		if f.Wave == w.wave.ID && now.Sub(f.At) <= p.settings.UpkeepTime+maintenanceSlack {
			away[id] = true // ordered by an earlier planner, who knows with what outcome
		}
	}
	return len(away)
}

// planWave decides about one wave.
func (p *Planner) planWave(now time.Time, w *waveState, d *Decision) {
	left := w.remaining(p.machines)
	if len(left) == 0 {
		return
	}
	slots := w.wave.Bound - p.unavailable(now, w)
	spent := float64(now.Sub(w.begun)) / float64(w.wave.Duration)
	rounds := (len(left) + w.wave.Bound - 1) / max(1, w.wave.Bound)
	needed := time.Duration(rounds) * (p.settings.UpkeepTime + maintenanceSlack + drainEstimate)
	press := spent > ignoreLoadShare || now.Add(needed).After(w.begun.Add(w.wave.Duration))
	force := spent > forceShare
	sort.SliceStable(left, func(i, k int) bool { return left[i].maintainedBefore(left[k]) })
	for _, m := range left {
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
		if m.emptyingSince.IsZero() && !press && (p.hasBacklog(m.pool) || m.load.Serving == 0 && m.load.Runs > 0) {
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

// maintainedBefore reports whether a machine is maintained maintainedBefore another: one that is
// being emptied already, else the one that takes less to empty.
func (m *machine) maintainedBefore(o *machine) bool {
	if m.emptyingSince.IsZero() != o.emptyingSince.IsZero() {
		return !m.emptyingSince.IsZero()
	}
	return m.maintenanceCost() < o.maintenanceCost()
}

// maintenanceCost says how much it takes to maintain a machine now.
func (m *machine) maintenanceCost() int {
	const perServing = 100
	return m.load.Runs + perServing*m.load.Serving
}
