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

// remainderOffset spreads the remainders of pools over the zones.
func remainderOffset(pool string) int {
	n := 0
	for _, c := range []byte(pool) {
		n = n*31 + int(c)
	}
	return n & 0xffff
}

// ZoneSize returns how many instances of a pool should serve in zone, without
// any spare.
func ZoneSize(t *config.Template, zones []pointport.ZoneID, zone pointport.ZoneID) int {
	return Split(t.Pool.Size, len(zones), indexOf(zones, zone), remainderOffset(t.Name))
}

// ZoneSpare returns how many spare instances a pool holds in zone.
func ZoneSpare(t *config.Template, zones []pointport.ZoneID, zone pointport.ZoneID) int {
	return Split(t.Pool.Spare.Up(t.Pool.Size), len(zones), indexOf(zones, zone), remainderOffset(t.Name)+t.Pool.Size)
}

// ZoneShare returns the part of a pool's availability budget that each zone may
// always spend: an even split, rounded down.
func ZoneShare(t *config.Template, zones []pointport.ZoneID) int {
	return t.Maintenance.Budget.Down(t.Pool.Size) / max(1, len(zones))
}

// FloatingBudget returns the rest of the budget, which zones hold in turn.
func FloatingBudget(t *config.Template, zones []pointport.ZoneID) int {
	return t.Maintenance.Budget.Down(t.Pool.Size) - ZoneShare(t, zones)*max(1, len(zones))
}

func indexOf(zones []pointport.ZoneID, zone pointport.ZoneID) int {
	for n, z := range zones {
		if z == zone {
			return n
		}
	}
	return 0
}

// required returns how many instances the pool should have in the zone. While others are
// evacuated it has their part as well, as far as it has instances; a zone that is evacuated
// keeps its own, so that they are there once it is open again.
func (d *decision) required(t *config.Template) int {
	zones := sharingZones(d.in.Zones, d.in.Zone, d.in.Evacuations)
	return ZoneSize(t, zones, d.in.Zone) + ZoneSpare(t, zones, d.in.Zone)
}

// sharingZones returns the zones over which pools are split for a zone.
func sharingZones(zones []pointport.ZoneID, zone pointport.ZoneID, evacuated evacuation.Zones) []pointport.ZoneID {
	if len(evacuated.Requests()) == 0 || evacuated.State(zone) == evacuation.Evacuated {
		return zones
	}
	return slices.DeleteFunc(slices.Clone(zones), func(z pointport.ZoneID) bool { return evacuated.State(z) == evacuation.Evacuated })
}

// countedMembers returns the members that the pool can count on: those that serve, and
// those that a wave will give back.
func (d *decision) countedMembers(t *config.Template) []Member {
	var out []Member
	for _, m := range d.inPool(t.Name) {
		if m.Phase != Failed && !m.Moving {
			out = append(out, m)
		}
	}
	return out
}

// resizePool fills the pool from spare instances, or lets surplus go.
func (d *decision) resizePool(t *config.Template) {
	have, need := d.countedMembers(t), d.required(t)
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
			d.drainSurplusElsewhere(t, missing)
			return
		}
		m.Pool, m.Phase = t.Name, Serving
		d.update(m, "pool %s has %d fewer than it needs", t.Name, missing)
	}
}

// bestSpare returns the spare instance that fits the pool and spreads it best.
func (d *decision) bestSpare(t *config.Template) (Member, bool) {
	racks := d.countPerRack(t)
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

func (d *decision) countPerRack(t *config.Template) map[string]int {
	racks := make(map[string]int)
	for _, m := range d.inPool(t.Name) {
		racks[m.Rack]++
	}
	return racks
}

// drainSurplusElsewhere makes pools with more than they need give it up for one that has
// less, because no spare instance fits.
func (d *decision) drainSurplusElsewhere(t *config.Template, missing int) {
	coming := 0
	d.forEach(func(m Member) {
		if m.Moving && m.Shape.Fits(t.Pool.Shape) {
			coming++
		}
	})
	for _, other := range d.in.Templates {
		for surplus := len(d.countedMembers(other)) - d.required(other); surplus > 0 && coming < missing && !d.full(); surplus-- {
			m, ok := d.surplusCandidate(other)
			if !ok || !m.Shape.Fits(t.Pool.Shape) || d.remainingBudget(other) <= 0 {
				break
			}
			m.Phase, m.Moving = Draining, true
			d.update(m, "pool %s has more than it needs and pool %s has %d fewer", other.Name, t.Name, missing)
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
	if d.in.Now.Sub(p.SurplusSince) < surplusRetention(t) {
		return
	}
	for ; surplus > 0 && !d.full(); surplus-- {
		m, ok := d.surplusCandidate(t)
		if !ok || d.remainingBudget(t) <= 0 {
			return
		}
		m.Phase, m.Moving = Draining, true
		d.update(m, "pool %s has had more than it needs for %v", t.Name, d.in.Now.Sub(p.SurplusSince).Round(time.Second))
	}
}

// surplusRetention is how long surplus is kept: until its cost is that of a move.
func surplusRetention(t *config.Template) time.Duration {
	if t.Pool.BufferWeight == 0 {
		return maxSurplusRetention
	}
	hours := t.Pool.MoveWeight / t.Pool.BufferWeight
	return min(time.Duration(hours*float64(time.Hour)), maxSurplusRetention)
}

// maxSurplusRetention bounds how long surplus is kept.
const maxSurplusRetention = 30 * 24 * time.Hour

// surplusCandidate returns the serving member of the pool's fullest rack.
func (d *decision) surplusCandidate(t *config.Template) (Member, bool) {
	racks := d.countPerRack(t)
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
