package capacity

import (
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines what the planner makes of the platform's list of machines, which is behind
// reality and may go back in time.

const (
	// formerMost is how many former lives of a machine are remembered. An owner that still
	// counts on one has known it for a lease of four seconds at most since it ended, and a
	// move takes 1.5 s.
	formerMost = 8
	// backMost is for how long a list may show a machine as it was before an earlier list did, as
	// when it is read from a copy that is further behind.
	backMost = 15 * time.Second
	// backLife is for how long after a life was first shown a list that shows the machine without
	// one may be from before it. The platform lets what it lists lag by three seconds. Instances
	// that crash so soon are found out by their time there instead.
	backLife = 3500 * time.Millisecond
)

// SetMachines takes in the platform's list, which was asked for at asked.
func (p *Planner) SetMachines(asked time.Time, list []pointport.Machine) {
	p.listed = asked
	seen := make(map[pointport.InstanceID]bool, len(list))
	for _, l := range list {
		seen[l.ID] = true
		m := p.machines[l.ID]
		if m == nil {
			m = &machine{id: l.ID, pool: l.Pool, since: asked, changed: asked}
			p.machines[l.ID] = m
		}
		if p.isBefore(asked, m, l) {
			continue
		}
		if m.pool != l.Pool {
			m.pool, m.since, m.changed, m.idle = l.Pool, asked, asked, time.Time{}
			m.load = schedule.InstanceLoad{}
		}
		m.setLife(asked, l.Addressee)
		m.state, m.zone, m.labels, m.capacity = l.State, l.Zone, l.Labels, l.Capacity
		p.settleOrder(m, asked)
	}
	for id, m := range p.machines {
		if !seen[id] && (m.order == nil || asked.Sub(m.ordered) > unshownMost) {
			delete(p.machines, id)
		}
	}
}

// isBefore reports whether a list shows a machine as it was before an earlier list did: in a pool
// to which nobody has ordered it, with a life in whose place another one has come, on its way
// to the pool in which it is up, or without the life that it has just got.
func (p *Planner) isBefore(asked time.Time, m *machine, l pointport.Machine) bool {
	switch {
	case asked.Sub(m.changed) >= backMost:
		return false
	case l.Pool != m.pool:
		return !p.orderedTo(m, l.Pool)
	case m.life == "" || l.Addressee == m.life:
		return false
	}
	if l.Addressee == "" {
		return l.State == pointport.MachineMoving || asked.Sub(m.changed) < backLife
	}
	return slices.Contains(m.former, l.Addressee)
}

// orderedTo reports whether the last order about a machine, of this planner or an earlier one,
// may have moved it to a pool.
func (p *Planner) orderedTo(m *machine, pool string) bool {
	if m.order != nil && m.order.Pool == pool {
		return true
	}
	f, ok := p.former[m.id]
	return ok && (f.Pool == pool || !f.known())
}

// outdated reports whether a pool's owner tells of a life of a machine that the list has not
// shown yet, so that the list is from before it, and does not tell what an order would end.
func (p *Planner) outdated(m *machine) bool {
	for pool, loads := range p.loads {
		life := loads[m.id].Incarnation.Addressee()
		if p.surveyed[pool] && life != "" && life != m.life && !slices.Contains(m.former, life) {
			return true
		}
	}
	return false
}

// setLife takes in the life that the list shows, empty for none.
func (m *machine) setLife(asked time.Time, life pointport.Addressee) {
	if life == m.life {
		return
	}
	m.changed = asked
	if m.life != "" {
		m.former = append(m.former, m.life)
		m.former = m.former[max(0, len(m.former)-formerMost):]
	}
	m.life = life
}

// An EndedIncarnation is an incarnation that the list of machines shows to be over, and what
// shows it.
type EndedIncarnation struct {
	ID        pointport.IncarnationID
	Instance  pointport.InstanceID
	Addressee pointport.Addressee    // of the instance's life, by the list; empty if it has none
	State     pointport.MachineState // of the instance, by the list
	ListedAt  time.Time              // when the list was asked for
	KnownFor  time.Duration          // for how long the owner has known the incarnation
}

// EndedIncarnations returns the incarnations of a pool's instances that the platform shows to
// be over although the pool's owner still counts on them.
//
// The list is behind reality, nobody knows how far. So a life is over once the list has shown
// it and shows it no more, lists that go back being passed over; one that it has never shown
// may be newer than the list. With a second allowed for its lag, tasks of instances that had
// just come and answered late had two runs at once: 36 in ten plays of 40 s with a list that
// was up to 3 s behind.
//
// A life that shares its addressee may have followed the one that the list has shown and shows no
// more. The list shows it to be over by another addressee, or if its owner has known it for longer
// than the list can be behind.
func (p *Planner) EndedIncarnations(pool string) []EndedIncarnation {
	var out []EndedIncarnation
	s := p.surveys[pool]
	for _, l := range s.Instances {
		m := p.machines[l.Instance]
		if m == nil || !l.Silent || l.Incarnation == "" {
			continue
		}
		to := l.Incarnation.Addressee()
		if !slices.Contains(m.former, to) || m.life == to {
			continue
		}
		longGone := m.state != pointport.MachineUp && (!l.Incarnation.Shares() || l.Known > backMost)
		if m.life != "" || longGone {
			out = append(out, EndedIncarnation{ID: l.Incarnation, Instance: l.Instance, Addressee: m.life, State: m.state, ListedAt: p.listed, KnownFor: l.Known})
		}
	}
	return out
}
