package assign

import (
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/evacuation"
)

// This file defines how many instances a pool has in the zone, and which.

// Split returns part n of total split over parts as evenly as whole numbers
// allow. The remainder goes to the parts from offset on, so that different
// pools do not all favour the same zone.
func Split(total, parts, n, offset int) int {
	if parts == 0 {
		return 0
	}
	share := total / parts
	if (n-offset%parts+parts)%parts < total%parts {
		share++
	}
	return share
}

// offset spreads the remainders of pools over the zones.
func offset(pool string) int {
	n := 0
	for _, c := range []byte(pool) {
		n = n*31 + int(c)
	}
	return n & 0xffff
}

// ZoneSize returns how many instances of a pool should serve in zone, without
// any spare.
func ZoneSize(t *config.Template, zones []pointport.ZoneID, zone pointport.ZoneID) int {
	return Split(t.Pool.Size, len(zones), indexOf(zones, zone), offset(t.Name))
}

// ZoneSpare returns how many spare instances a pool holds in zone.
func ZoneSpare(t *config.Template, zones []pointport.ZoneID, zone pointport.ZoneID) int {
	return Split(t.Pool.Spare.RoundUp(t.Pool.Size), len(zones), indexOf(zones, zone), offset(t.Name)+t.Pool.Size)
}

// ZoneShare returns the part of a pool's availability budget that each zone may
// always spend: an even split, rounded down.
func ZoneShare(t *config.Template, zones []pointport.ZoneID) int {
	return t.Maintenance.Budget.RoundDown(t.Pool.Size) / max(1, len(zones))
}

// FloatingBudget returns the rest of the budget, which zones hold in turn.
func FloatingBudget(t *config.Template, zones []pointport.ZoneID) int {
	return t.Maintenance.Budget.RoundDown(t.Pool.Size) - ZoneShare(t, zones)*max(1, len(zones))
}

func indexOf(zones []pointport.ZoneID, zone pointport.ZoneID) int {
	for n, z := range zones {
		if z == zone {
			return n
		}
	}
	return 0
}

// need returns how many instances the pool should have in the zone. While others are
// evacuated it has their part as well, as far as it has instances; a zone that is evacuated
// keeps its own, so that they are there once it is open again.
func (d *decision) need(t *config.Template) int {
	zones := sharing(d.in.Zones, d.in.Zone, d.in.Evacuations)
	return ZoneSize(t, zones, d.in.Zone) + ZoneSpare(t, zones, d.in.Zone)
}

// sharing returns the zones over which pools are split for a zone.
func sharing(zones []pointport.ZoneID, zone pointport.ZoneID, evacuated evacuation.Zones) []pointport.ZoneID {
	if len(evacuated.Requests()) == 0 || evacuated.State(zone) == evacuation.Evacuated {
		return zones
	}
	return slices.DeleteFunc(slices.Clone(zones), func(z pointport.ZoneID) bool { return evacuated.State(z) == evacuation.Evacuated })
}

// held returns the members that the pool can count on: those that serve, and
// those that a wave will give back.
func (d *decision) held(t *config.Template) []Member {
	var out []Member
	for _, m := range d.inPool(t.Name) {
		if m.Phase != Failed && !m.Moving {
			out = append(out, m)
		}
	}
	return out
}

// size fills the pool from spare instances, or lets surplus go.
func (d *decision) size(t *config.Template) {
	have, need := d.held(t), d.need(t)
	if len(have) < need {
		d.fill(t, need-len(have))
	}
	d.shrink(t, len(have)-need)
}

// fill takes spare instances into the pool, where it has the fewest.
func (d *decision) fill(t *config.Template, missing int) {
	for ; missing > 0 && !d.full(); missing-- {
		m, ok := d.bestSpare(t)
		if !ok {
			d.askSurplus(t, missing)
			return
		}
		m.Pool, m.Phase = t.Name, Serving
		d.set(m, "pool %s has %d fewer than it needs", t.Name, missing)
	}
}

// bestSpare returns the spare instance that fits the pool and spreads it best.
func (d *decision) bestSpare(t *config.Template) (Member, bool) {
	racks := d.perRack(t)
	var best Member
	found := false
	for _, m := range d.inPool("") {
		i, listed := d.listed[m.ID]
		if m.Phase != Spare || !m.Shape.Fits(t.Pool.Shape) || !listed || i.State != pointport.InstanceLive {
			continue
		}
		if !found || racks[m.Rack] < racks[best.Rack] {
			best, found = m, true
		}
	}
	return best, found
}

func (d *decision) perRack(t *config.Template) map[string]int {
	racks := make(map[string]int)
	for _, m := range d.inPool(t.Name) {
		racks[m.Rack]++
	}
	return racks
}

// askSurplus makes pools with more than they need give it up for one that has
// less, because no spare instance fits.
func (d *decision) askSurplus(t *config.Template, missing int) {
	coming := 0
	d.each(func(m Member) {
		if m.Moving && m.Shape.Fits(t.Pool.Shape) {
			coming++
		}
	})
	for _, other := range d.in.Templates {
		for surplus := len(d.held(other)) - d.need(other); surplus > 0 && coming < missing && !d.full(); surplus-- {
			m, ok := d.leastMissed(other)
			if !ok || !m.Shape.Fits(t.Pool.Shape) || d.budgetRoom(other) <= 0 {
				break
			}
			m.Phase, m.Moving = Draining, true
			d.set(m, "pool %s has more than it needs and pool %s has %d fewer", other.Name, t.Name, missing)
			coming++
		}
	}
}

// shrink lets surplus go once keeping it has cost as much as a move does. That
// is never more than twice the cost of the best that foresight could do, and a
// pool that shrinks and grows again soon moves nothing.
func (d *decision) shrink(t *config.Template, surplus int) {
	p := d.in.State.pools[t.Name]
	if surplus <= 0 {
		if !p.SurplusSince.IsZero() {
			p.SurplusSince = time.Time{}
			d.pools[t.Name] = p
		}
		return
	}
	if p.SurplusSince.IsZero() {
		p.SurplusSince = d.in.Now
		d.pools[t.Name] = p
		return
	}
	if d.in.Now.Sub(p.SurplusSince) < keepSurplus(t) {
		return
	}
	for ; surplus > 0 && !d.full(); surplus-- {
		m, ok := d.leastMissed(t)
		if !ok || d.budgetRoom(t) <= 0 {
			return
		}
		m.Phase, m.Moving = Draining, true
		d.set(m, "pool %s has had more than it needs for %v", t.Name, d.in.Now.Sub(p.SurplusSince).Round(time.Second))
	}
}

// keepSurplus is how long surplus is kept: until its cost is that of a move.
func keepSurplus(t *config.Template) time.Duration {
	if t.Pool.BufferWeight == 0 {
		return maxKeep
	}
	hours := t.Pool.MoveWeight / t.Pool.BufferWeight
	return min(time.Duration(hours*float64(time.Hour)), maxKeep)
}

// maxKeep bounds how long surplus is kept.
const maxKeep = 30 * 24 * time.Hour

// leastMissed returns the serving member of the pool's fullest rack.
func (d *decision) leastMissed(t *config.Template) (Member, bool) {
	racks := d.perRack(t)
	var serving []Member
	for _, m := range d.inPool(t.Name) {
		if m.Phase == Serving {
			serving = append(serving, m)
		}
	}
	if len(serving) == 0 {
		return Member{}, false
	}
	sort.SliceStable(serving, func(a, b int) bool { return racks[serving[a].Rack] > racks[serving[b].Rack] })
	return serving[0], true
}
