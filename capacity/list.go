package capacity

import (
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file merges the platform's list of machines into the planner's state. The list lags behind
// the real state and may go back in time.

const (
	// maxPastAddressees is how many earlier addressees of a machine are remembered. An owner counts
	// on an incarnation for at most a lease of 4 s after its end, and a move takes 1.5 s, so only
	// a few others can follow in that time.
	maxPastAddressees = 8
	// maxListRegression is for how long a list may show an older state of a machine than an earlier
	// list did, for example because it was read from a replica that lags more.
	maxListRegression = 15 * time.Second
	// newAddresseeGrace is for how long after an addressee was first listed a list without one may
	// be older. The platform's list may lag by 3 s. The end of an instance that crashes sooner
	// is recognized once this time has passed.
	newAddresseeGrace = 3500 * time.Millisecond
)

// SetMachines updates the planner with the platform's list, which was requested at asked. It
// skips entries that are older than what an earlier list has shown.
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

// isStale reports whether a list entry is older than what an earlier list has shown: the machine
// is in a pool to which no order has moved it, has an addressee that was replaced, is still moving
// to the pool in which it is already up, or lacks the addressee that it has just got.
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

// mayHaveMovedTo reports whether the last order for a machine, from this planner or an earlier
// one, may have moved it to a pool.
func (p *Planner) mayHaveMovedTo(m *machine, pool string) bool {
	if m.order != nil && m.order.Pool == pool {
		return true
	}
	f, ok := p.former[m.id]
	return ok && (f.Pool == pool || !f.hasTarget())
}

// listBehindOwner reports whether a pool's owner reports an addressee of the machine that the list
// has not shown yet. The list is then too old to tell what an order would interrupt.
func (p *Planner) listBehindOwner(m *machine) bool {
	for pool, loads := range p.loads {
		addressee := loads[m.id].Incarnation.Addressee()
		if p.surveyed[pool] && addressee != "" && addressee != m.addressee && !slices.Contains(m.pastAddressees, addressee) {
			return true
		}
	}
	return false
}

// setAddressee records the addressee that the list shows, empty for none.
func (m *machine) setAddressee(asked time.Time, addressee pointport.Addressee) {
	if addressee == m.addressee {
		return
	}
	m.listedSince = asked
	if m.addressee != "" {
		m.pastAddressees = append(m.pastAddressees, m.addressee)
		m.pastAddressees = m.pastAddressees[max(0, len(m.pastAddressees)-maxPastAddressees):]
	}
	m.addressee = addressee
}

// noteKnown records, at now, since when owners have known the incarnations that a survey reports. A
// new owner has known them for less time than the one before.
func (p *Planner) noteKnown(now time.Time, instances []schedule.InstanceLoad) {
	for _, l := range instances {
		m, since := p.machines[l.Instance], now.Add(-l.Known)
		if m == nil || l.Incarnation == "" {
			continue
		}
		if m.incarnation != l.Incarnation || since.Before(m.knownSince) {
			m.incarnation, m.knownSince = l.Incarnation, since
		}
	}
}

// knownFor returns for how long owners had known the reported incarnation when the list was requested;
// zero or less if they have known it only since then.
func (p *Planner) knownFor(m *machine, l *schedule.InstanceLoad) time.Duration {
	if m.incarnation != l.Incarnation {
		return 0 // two pools report the machine
	}
	return p.listedAt.Sub(m.knownSince)
}

// An EndedIncarnation is an incarnation that has ended according to the list of machines, with the
// evidence for it.
type EndedIncarnation struct {
	ID        pointport.IncarnationID
	Instance  pointport.InstanceID
	Addressee pointport.Addressee    // of the instance's current incarnation, by the list; empty if it has none
	State     pointport.MachineState // of the instance, by the list
	ListedAt  time.Time              // when the list was requested
	KnownFor  time.Duration          // for how long owners have known the incarnation
}

// EndedIncarnations returns the incarnations of a pool's instances that have ended according to
// the platform's list although the pool's owner still counts on them.
//
// The list lags by an unknown time. An incarnation has therefore ended only if a list has shown
// its addressee and later ones don't; stale entries are ignored. One that was never listed may be
// newer than the list. Assuming a lag of at most 1 s instead gave tasks two concurrent runs
// if their instances were new and slow to answer: 36 tasks in ten runs of 40 s with a list that
// lagged by up to 3 s.
//
// If incarnations can share an addressee, a newer one may use the addressee that is no longer
// listed. The incarnation has then ended only if the list shows a different addressee, or if the
// owners have known the incarnation for longer than the list can lag.
func (p *Planner) EndedIncarnations(pool string) []EndedIncarnation {
	var out []EndedIncarnation
	s := p.surveys[pool]
	for _, l := range s.Instances {
		m := p.machines[l.Instance]
		if m == nil || !l.Silent || l.Incarnation == "" {
			continue
		}
		known := l.Incarnation.Addressee()
		if !slices.Contains(m.pastAddressees, known) || m.addressee == known {
			continue
		}
		knownFor := p.knownFor(m, &l)
		goneForLong := m.state != pointport.MachineUp && (!l.Incarnation.SharesAddressee() || knownFor > maxListRegression)
		if m.addressee != "" || goneForLong {
			out = append(out, EndedIncarnation{ID: l.Incarnation, Instance: l.Instance, Addressee: m.addressee, State: m.state, ListedAt: p.listedAt, KnownFor: knownFor})
		}
	}
	return out
}
