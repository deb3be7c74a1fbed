package assign

import (
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/evacuation"
)

// This file defines how many instances a pool gets in the zone, and which.

// Split divides total into parts as evenly as whole numbers allow and returns part
// n. The remainder goes to the parts from offset on, one each, so that different
// pools don't all give it to the same zone.
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

// remainderOffset returns a hash of the pool's name. Used as an offset of Split, it
// spreads the remainders of pools over the zones.
func remainderOffset(pool string) int {
	n := 0
	for _, c := range []byte(pool) {
		n = n*31 + int(c)
	}
	return n & 0xffff
}

// ZoneSize returns how many instances of a pool should serve in zone, without
// spare instances.
func ZoneSize(t *config.Template, zones []pointport.ZoneID, zone pointport.ZoneID) int {
	return Split(t.Pool.Size, len(zones), indexOf(zones, zone), remainderOffset(t.Name))
}

// ZoneSpare returns how many spare instances a pool should hold in zone.
func ZoneSpare(t *config.Template, zones []pointport.ZoneID, zone pointport.ZoneID) int {
	return Split(t.Pool.Spare.RoundUp(t.Pool.Size), len(zones), indexOf(zones, zone), remainderOffset(t.Name)+t.Pool.Size)
}

// ZoneShare returns the part of a pool's availability budget that each zone may
// always use: an even split, rounded down.
func ZoneShare(t *config.Template, zones []pointport.ZoneID) int {
	return t.Maintenance.Budget.RoundDown(t.Pool.Size) / max(1, len(zones))
}

// FloatingBudget returns the remainder of a pool's availability budget after the
// even split. Zones hold parts of it while they need them.
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

// required returns how many instances the pool should have in the zone. While other zones
// are evacuated, the zone also takes over their part, as far as it has instances. An
// evacuated zone keeps its own part, so that its instances are available when it is reopened.
func (d *decision) required(t *config.Template) int {
	zones := sharingZones(d.in.Zones, d.in.Zone, d.in.Evacuations)
	return ZoneSize(t, zones, d.in.Zone) + ZoneSpare(t, zones, d.in.Zone)
}

// sharingZones returns the zones over which pools are split, as seen by one zone: all
// zones if that zone is evacuated itself, else those that are not evacuated.
func sharingZones(zones []pointport.ZoneID, zone pointport.ZoneID, evacuated evacuation.Zones) []pointport.ZoneID {
	if len(evacuated.Requests()) == 0 || evacuated.State(zone) == evacuation.Evacuated {
		return zones
	}
	return slices.DeleteFunc(slices.Clone(zones), func(z pointport.ZoneID) bool { return evacuated.State(z) == evacuation.Evacuated })
}

// countedMembers returns the members that count towards the pool's required number:
// those that serve, and those that return to it after maintenance.
func (d *decision) countedMembers(t *config.Template) []Member {
	var out []Member
	for _, m := range d.inPool(t.Name) {
		if m.Phase != Failed && !m.Moving {
			out = append(out, m)
		}
	}
	return out
}

// resizePool adds spare instances to a pool that has too few, or releases surplus.
func (d *decision) resizePool(t *config.Template) {
	have, required := d.countedMembers(t), d.required(t)
	if len(have) < required {
		d.fill(t, required-len(have))
	}
	d.shrink(t, len(have)-required)
}

// fill adds spare instances to the pool, preferring racks where it has the fewest
// members.
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

// bestSpare returns the live spare instance that fits the pool's shape and whose
// rack has the fewest members of the pool.
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

// drainSurplusElsewhere drains surplus instances of other pools for a pool that has
// too few, because no spare instance fits it.
func (d *decision) drainSurplusElsewhere(t *config.Template, missing int) {
	arriving := 0
	d.forEach(func(m Member) {
		if m.Moving && m.Shape.Fits(t.Pool.Shape) {
			arriving++
		}
	})
	for _, other := range d.in.Templates {
		for surplus := len(d.countedMembers(other)) - d.required(other); surplus > 0 && arriving < missing && !d.full(); surplus-- {
			m, ok := d.surplusCandidate(other)
			if !ok || !m.Shape.Fits(t.Pool.Shape) || d.remainingBudget(other) <= 0 {
				break
			}
			m.Phase, m.Moving = Draining, true
			d.update(m, "pool %s has more than it needs and pool %s has %d fewer", other.Name, t.Name, missing)
			arriving++
		}
	}
}

// shrink releases surplus once keeping it has cost as much as a move does. The
// total cost is then at most twice that of the best choice made with knowledge of
// the future, and a pool that shrinks and soon grows again moves nothing.
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

// surplusRetention returns how long surplus is kept: until keeping an instance has
// cost as much as moving it.
func surplusRetention(t *config.Template) time.Duration {
	if t.Pool.BufferWeight == 0 {
		return maxSurplusRetention
	}
	hours := t.Pool.MoveWeight / t.Pool.BufferWeight
	return min(time.Duration(hours*float64(time.Hour)), maxSurplusRetention)
}

// maxSurplusRetention bounds surplusRetention.
const maxSurplusRetention = 30 * 24 * time.Hour

// surplusCandidate returns a serving member of the rack that has the most members of
// the pool.
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
