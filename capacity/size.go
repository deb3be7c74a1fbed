package capacity

import (
	"math"
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how many instances a pool should have.

const (
	// headroom is how much more room a pool gets than its tasks take, because
	// rooms do not divide evenly among instances.
	headroom = 1.35
	// tightHeadroom is how much more it keeps while nothing waits in it and tasks
	// wait in another pool. Instances that are half empty at the end of a peak
	// would hold up the next pool's: giving them raises the share of work that ends
	// in time in the two worst seconds of a day by 0.017, its worth by 0.007 (standard
	// error 0.007; 40 days of 49 instances in turn). With 1.0 a pool misses them.
	tightHeadroom = 1.1
	// settleTime is how long a machine is left alone after it came to a pool.
	settleTime = 400 * time.Millisecond
	// urgentAfter is for how long serving tasks of a pool find no room before it is
	// supplied first, and claimAfter before a busy instance is emptied for them.
	// Their customers notice after some six seconds, and emptying and moving an
	// instance take three.
	urgentAfter = 1500 * time.Millisecond
	claimAfter  = 2500 * time.Millisecond
	// minInstances is how many instances a pool with a queue keeps.
	minInstances = 1
)

// hasBacklog reports whether tasks wait for room in a pool.
func (p *Planner) hasBacklog(pool string) bool { return p.surveys[pool].Waiting.CPUMilli > 0 }

// A poolState is how many instances a pool has and should have.
type poolState struct {
	pool string
	have int // in use or on their way
	want int
	// tightWant is how many hold what the pool's tasks take, with hardly any headroom.
	tightWant int
	// timelyWant is how many it should have for what runs there and for what waits and can
	// still end in time; tightTimelyWant with hardly any headroom.
	timelyWant, tightTimelyWant int
	// hasBacklog says that tasks wait for room in the pool, hasTimelyBacklog that some of them can
	// still end in time.
	hasBacklog, hasTimelyBacklog bool
	// urgent says that serving tasks find no room, or that the pool has no
	// instance to give them any.
	urgent bool
	// idle are the instances that may go: those that were closed for it first,
	// then the longest idle.
	idle []*machine
	// idleEvacuated are those of evacuated availability zones that may go.
	idleEvacuated []*machine
}

// minKept returns how many instances a pool keeps when another one takes some.
func (s *poolState) minKept(to *poolState) int {
	if to.hasBacklog && !s.hasBacklog {
		return max(min(s.want, s.tightWant), minInstances)
	}
	if to.hasTimelyBacklog && !s.hasTimelyBacklog { // all that waits there is late
		return max(min(s.want, s.tightTimelyWant), minInstances)
	}
	return max(s.want, minInstances)
}

// suppliedBefore reports whether a pool is supplied suppliedBefore another: serving tasks come
// first, then the pool that misses most for what can be in time, then the one that misses
// most.
func (s *poolState) suppliedBefore(o *poolState) bool {
	if s.urgent != o.urgent {
		return s.urgent
	}
	if missing, other := s.timelyWant-s.have, o.timelyWant-o.have; missing != other && max(missing, other) > 0 {
		return missing > other
	}
	return s.want-s.have > o.want-o.have
}

// totalCapacity returns the capacity of all machines together.
func (p *Planner) totalCapacity() pointport.Shape {
	var sum pointport.Shape
	for _, m := range p.machines {
		sum = sum.Plus(m.effectiveCapacity())
	}
	return sum
}

// poolStates works out how many instances the pools have and should have.
func (p *Planner) poolStates(now time.Time) []poolState {
	var out []poolState
	for pool := range p.surveys {
		if p.surveyed[pool] && pool != p.spare {
			out = append(out, p.poolStateOf(now, pool))
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].pool < out[k].pool })
	return out
}

func (p *Planner) poolStateOf(now time.Time, pool string) poolState {
	s := poolState{pool: pool}
	room := p.totalCapacity()
	inUse := 0
	anywhere := false // whether the pool has any machine, in whatever state
	for _, m := range p.machines {
		if p.evacuated(m) {
			if m.pool == pool && p.idleAndOrderable(now, m) {
				s.idleEvacuated = append(s.idleEvacuated, m)
			}
			continue
		}
		anywhere = anywhere || m.pool == pool && m.order == nil
		switch {
		case m.order != nil && m.order.Pool != "":
			if m.order.Pool == pool {
				s.have++
			}
		case m.pool != pool:
		case m.order != nil || m.closing || m.load.Silent && m.load.Incarnation != "" || m.load.Avoided || m.load.Leaving:
		case m.state == pointport.MachineUp || m.state == pointport.MachineMoving:
			s.have++
			if m.load.Serving > 0 {
				inUse++
			}
			if p.idleAndOrderable(now, m) {
				s.idle = append(s.idle, m)
			}
		}
	}
	n := max(1, len(p.machines))
	// Room that is wanted on instances with a label is supplied by label; others
	// would only stand idle for it.
	need := p.surveys[pool].Need
	for _, wanted := range p.surveys[pool].Labels {
		need = need.Minus(wanted)
	}
	s.want = max(inUse, instancesFor(need, room, n, headroom))
	s.tightWant = max(inUse, instancesFor(need, room, n, tightHeadroom))
	intime := need.Minus(p.surveys[pool].Late)
	s.timelyWant = max(inUse, instancesFor(intime, room, n, headroom))
	s.tightTimelyWant = max(inUse, instancesFor(intime, room, n, tightHeadroom))
	s.hasBacklog = p.hasBacklog(pool)
	s.hasTimelyBacklog = p.surveys[pool].Waiting.Minus(p.surveys[pool].WaitingLate).CPUMilli > 0
	if !anywhere {
		s.want = max(s.want, minInstances)
	}
	v := p.surveys[pool]
	if more := max(v.Spread, v.Unserved+v.Unmoved); more > 0 {
		s.want = max(s.want, s.have+more)
		s.timelyWant = s.want
	}
	s.timelyWant = min(s.timelyWant, s.want)
	since, unserved := p.unservedSince[pool]
	s.urgent = unserved && now.Sub(since) >= urgentAfter || s.have == 0 && s.want > 0
	sort.Slice(s.idle, func(i, k int) bool {
		a, b := s.idle[i], s.idle[k]
		if a.load.Closed != b.load.Closed {
			return a.load.Closed // it was chosen before
		}
		if !a.idleSince.Equal(b.idleSince) {
			return a.idleSince.Before(b.idleSince)
		}
		return a.id < b.id
	})
	return s
}

// idleAndOrderable reports whether a machine is idle in its pool and may be ordered about.
func (p *Planner) idleAndOrderable(now time.Time, m *machine) bool {
	return p.orderable(now, m) && !m.idleSince.IsZero() && now.Sub(m.inPoolSince) > settleTime
}

// instancesFor returns how many instances have room for a need and some headroom, a
// factor on it, where n of them have room together.
func instancesFor(need, room pointport.Shape, n int, headroom float64) int {
	share := func(need, room int64) float64 {
		if room == 0 {
			return 0
		}
		return float64(need) * headroom * float64(n) / float64(room)
	}
	return int(math.Ceil(max(share(need.CPUMilli, room.CPUMilli), share(need.MemoryMiB, room.MemoryMiB))))
}
