package capacity

import (
	"math"
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file determines how many instances a pool should have.

const (
	// headroom is the factor on the capacity that a pool's tasks need, because tasks do not fill
	// instances completely.
	headroom = 1.35
	// tightHeadroom is the factor on what a pool keeps while none of its tasks wait and tasks
	// wait in another pool. Instances that are half empty at the end of a peak would delay
	// the next pool's peak. Giving them away raises the share of work that ends in time in the two
	// worst seconds of a day by 0.017, and the day's value by 0.007 (standard error 0.007; 40 days
	// of 49 instances, run alternately). With 1.0 a pool runs short of them.
	tightHeadroom = 1.1
	// settleTime is for how long a machine is not moved on after it came to a pool.
	settleTime = 400 * time.Millisecond
	// urgentAfter is for how long serving tasks of a pool find no free capacity before the pool
	// is supplied first, and claimAfter before a busy instance is emptied for them.
	// Their customers notice after about 6 s, and emptying and moving an instance
	// take 3 s.
	urgentAfter = 1500 * time.Millisecond
	claimAfter  = 2500 * time.Millisecond
	// displacedAfter takes the place of both for serving tasks that have run before. Finding out that
	// their instance has crashed has taken about 2 s, and moving another one takes 1.5 s. Most
	// instances that are about to come are there within this time.
	displacedAfter = 500 * time.Millisecond
	// comingGrace is how much longer than a move an instance counts as coming if the pool's owner does
	// not know it. After that another one is emptied.
	comingGrace = time.Second
	// minInstances is how many instances a pool with a queue keeps.
	minInstances = 1
)

// hasBacklog reports whether tasks wait for free capacity in a pool.
func (p *Planner) hasBacklog(pool string) bool { return p.surveys[pool].Waiting.CPUMilli > 0 }

// A poolState is the actual and the wanted number of a pool's instances.
type poolState struct {
	pool string
	have int // in use or on their way
	want int
	// tightWant is how many provide what the pool's tasks need, with tightHeadroom.
	tightWant int
	// timelyWant is how many it should have for what runs there and for waiting tasks that
	// can still end in time; tightTimelyWant is the same with tightHeadroom.
	timelyWant, tightTimelyWant int
	// hasBacklog is true if tasks wait for free capacity in the pool, hasTimelyBacklog if
	// some of them can still end in time.
	hasBacklog, hasTimelyBacklog bool
	// urgent is true if serving tasks have found no free capacity for urgentAfter, or if the
	// pool wants instances and has none.
	urgent bool
	// busyClaims is how many busy instances of other pools may be emptied for serving tasks.
	busyClaims int
	// displaced is true if some of these tasks have run before, so that tasks that end are stopped on
	// the claimed instances.
	displaced bool
	// idle are the instances that may leave the pool: those that were closed for it first,
	// then by idle time, the longest first.
	idle []*machine
	// idleEvacuated are the instances in evacuated availability zones that may leave the pool.
	idleEvacuated []*machine
}

// minKept returns how many instances a pool keeps when another one takes some.
func (s *poolState) minKept(to *poolState) int {
	if to.hasBacklog && !s.hasBacklog {
		return max(min(s.want, s.tightWant), minInstances)
	}
	if to.hasTimelyBacklog && !s.hasTimelyBacklog { // all tasks that wait there are late
		return max(min(s.want, s.tightTimelyWant), minInstances)
	}
	return max(s.want, minInstances)
}

// suppliedBefore reports whether a pool is supplied before another: first the pool with urgent
// serving tasks, then the one that lacks most instances for tasks that can end in time, then the
// one that lacks most instances.
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

// poolStates returns the states of all surveyed pools but the spare one, sorted by name.
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

// poolStateOf returns the state of a pool.
func (p *Planner) poolStateOf(now time.Time, pool string) poolState {
	s := poolState{pool: pool}
	capacity := p.totalCapacity()
	inUse := 0
	hasMachine := false // whether the pool has any machine, in whatever state
	for _, m := range p.machines {
		if p.evacuated(m) {
			if m.pool == pool && p.idleAndOrderable(now, m) {
				s.idleEvacuated = append(s.idleEvacuated, m)
			}
			continue
		}
		hasMachine = hasMachine || m.pool == pool && m.order == nil
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
	// Capacity that is needed on instances with a label is supplied by label; other
	// instances would only be idle.
	need := p.surveys[pool].Need
	for _, wanted := range p.surveys[pool].Labels {
		need = need.Minus(wanted)
	}
	s.want = max(inUse, instancesFor(need, capacity, n, headroom))
	s.tightWant = max(inUse, instancesFor(need, capacity, n, tightHeadroom))
	timelyNeed := need.Minus(p.surveys[pool].Late)
	s.timelyWant = max(inUse, instancesFor(timelyNeed, capacity, n, headroom))
	s.tightTimelyWant = max(inUse, instancesFor(timelyNeed, capacity, n, tightHeadroom))
	s.hasBacklog = p.hasBacklog(pool)
	s.hasTimelyBacklog = p.surveys[pool].Waiting.Minus(p.surveys[pool].WaitingLate).CPUMilli > 0
	if !hasMachine {
		s.want = max(s.want, minInstances)
	}
	v := p.surveys[pool]
	coming := p.coming(now, pool)
	if more := max(v.Spread, v.Unserved+v.Unmoved); more > 0 {
		s.want = max(s.want, s.have+max(0, more-coming))
		s.timelyWant = s.want
	}
	s.timelyWant = min(s.timelyWant, s.want)
	s.displaced = lasts(p.displacedSince, pool, now, displacedAfter)
	s.urgent = s.displaced || lasts(p.unservedSince, pool, now, urgentAfter) || s.have == 0 && s.want > 0
	switch {
	case lasts(p.unservedSince, pool, now, claimAfter):
		s.busyClaims = max(0, v.Unserved-coming)
	case s.displaced:
		s.busyClaims = max(0, v.Displaced-coming)
	}
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

// lasts reports whether something has held for a pool for a time.
func lasts(since map[string]time.Time, pool string, now time.Time, d time.Duration) bool {
	at, ok := since[pool]
	return ok && now.Sub(at) >= d
}

// coming returns how many instances are on their way to a pool, or have come so recently that the
// pool's owner may not have placed anything there yet.
func (p *Planner) coming(now time.Time, pool string) int {
	n := 0
	for _, m := range p.machines {
		switch {
		case p.evacuated(m):
		case m.order != nil && m.order.Pool == pool, m.order == nil && m.pool == pool && p.justCame(now, m):
			n++
		}
	}
	return n
}

// justCame reports whether a machine was moved to its pool recently and is not up there, or the
// pool's owner has hardly known it yet.
func (p *Planner) justCame(now time.Time, m *machine) bool {
	if now.Sub(m.inPoolSince) > p.settings.MoveTime+comingGrace {
		return false
	}
	return m.state == pointport.MachineMoving || m.state == pointport.MachineUp && (m.load.Incarnation.Addressee() != m.addressee || m.load.Known < settleTime)
}

// idleAndOrderable reports whether a machine is idle in its pool and may be moved.
func (p *Planner) idleAndOrderable(now time.Time, m *machine) bool {
	return p.orderable(now, m) && !m.idleSince.IsZero() && now.Sub(m.inPoolSince) > settleTime
}

// instancesFor returns how many instances provide the needed capacity times a headroom factor,
// where n instances together have the given capacity.
func instancesFor(need, capacity pointport.Shape, n int, headroom float64) int {
	share := func(need, capacity int64) float64 {
		if capacity == 0 {
			return 0
		}
		return float64(need) * headroom * float64(n) / float64(capacity)
	}
	return int(math.Ceil(max(share(need.CPUMilli, capacity.CPUMilli), share(need.MemoryMiB, capacity.MemoryMiB))))
}
