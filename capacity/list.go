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
	// maxPastAddressees is how many former lives of a machine are remembered. An owner that still
	// counts on one has known it for a lease of four seconds at most since it ended, and a
	// move takes 1.5 s.
	maxPastAddressees = 8
	// maxListRegression is for how long a list may show a machine as it was before an earlier list did, as
	// when it is read from a copy that is further behind.
	maxListRegression = 15 * time.Second
	// newAddresseeGrace is for how long after a life was first shown a list that shows the machine without
	// one may be from before it. The platform lets what it lists lag by three seconds. Instances
	// that crash so soon are found out by their time there instead.
	newAddresseeGrace = 3500 * time.Millisecond
)

// SetMachines takes in the platform's list, which was asked for at asked.
func (p *Planner) SetMachines(asked time.Time, list []pointport.Machine) {
	p.listedAt = asked
	seen := make(map[pointport.InstanceID]bool, len(list))
	for _, l := range list {
		seen[l.ID] = true
		m := p.machines[l.ID]
		if m == nil {
			m = &machine{id: l.ID, pool: l.Pool, inPoolSince: asked, listedSince: asked}
			p.machines[l.ID] = m
		}
		if p.isStale(asked, m, l) {
			continue
		}
		if m.pool != l.Pool {
			m.pool, m.inPoolSince, m.listedSince, m.idleSince = l.Pool, asked, asked, time.Time{}
			m.load = schedule.InstanceLoad{}
		}
		m.setAddressee(asked, l.Addressee)
		m.state, m.zone, m.labels, m.capacity = l.State, l.Zone, l.Labels, l.Capacity
		p.settleOrder(m, asked)
	}
	for id, m := range p.machines {
		if !seen[id] && (m.order == nil || asked.Sub(m.ordered) > unconfirmedTimeout) {
			delete(p.machines, id)
		}
	}
}

// isStale reports whether a list shows a machine as it was before an earlier list did: in a pool
// to which nobody has ordered it, with a life in whose place another one has come, on its way
// to the pool in which it is up, or without the life that it has just got.
func (p *Planner) isStale(asked time.Time, m *machine, l pointport.Machine) bool {
	switch {
	case asked.Sub(m.listedSince) >= maxListRegression:
		return false
	case l.Pool != m.pool:
		return !p.mayHaveMovedTo(m, l.Pool)
	case m.addressee == "" || l.Addressee == m.addressee:
		return false
	}
	if l.Addressee == "" {
		return l.State == pointport.MachineMoving || asked.Sub(m.listedSince) < newAddresseeGrace
	}
	return slices.Contains(m.pastAddressees, l.Addressee)
}

// mayHaveMovedTo reports whether the last order about a machine, of this planner or an earlier one,
// may have moved it to a pool.
func (p *Planner) mayHaveMovedTo(m *machine, pool string) bool {
	if m.order != nil && m.order.Pool == pool {
		return true
	}
	f, ok := p.former[m.id]
	return ok && (f.Pool == pool || !f.hasTarget())
}

// listBehindOwner reports whether a pool's owner tells of a life of a machine that the list has not
// shown yet, so that the list is from before it, and does not tell what an order would end.
func (p *Planner) listBehindOwner(m *machine) bool {
	for pool, loads := range p.loads {
		life := loads[m.id].Incarnation.Addressee()
		if p.surveyed[pool] && life != "" && life != m.addressee && !slices.Contains(m.pastAddressees, life) {
			return true
		}
	}
	return false
}

// setAddressee takes in the life that the list shows, empty for none.
func (m *machine) setAddressee(asked time.Time, life pointport.Addressee) {
	if life == m.addressee {
		return
	}
	m.listedSince = asked
	if m.addressee != "" {
		m.pastAddressees = append(m.pastAddressees, m.addressee)
		m.pastAddressees = m.pastAddressees[max(0, len(m.pastAddressees)-maxPastAddressees):]
	}
	m.addressee = life
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
		if !slices.Contains(m.pastAddressees, to) || m.addressee == to {
			continue
		}
		longGone := m.state != pointport.MachineUp && (!l.Incarnation.Shares() || l.Known > maxListRegression)
		if m.addressee != "" || longGone {
			out = append(out, EndedIncarnation{ID: l.Incarnation, Instance: l.Instance, Addressee: m.addressee, State: m.state, ListedAt: p.listedAt, KnownFor: l.Known})
		}
	}
	return out
}
