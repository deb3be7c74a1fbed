package capacity

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport/schedule"
)

// This file determines how pools get the instances that they lack and release those that
// they do not need.

const (
	// retireAfter is how long an instance is empty before it goes to the spare pool.
	// Going there and coming back costs as much as five seconds of an idle instance, but
	// the next peak is mostly in another pool. With 1 s in place of 3 s, instances in pools cost
	// 0.158 of a day's value instead of 0.169, and moves 0.023 instead of 0.020 (40 days of
	// 49 instances, run alternately). With 0.4 s, the start of a peak is served late.
	retireAfter = time.Second
	// lendAfter is how long an instance is empty before another pool may take it
	// although there are spare ones.
	lendAfter = 300 * time.Millisecond
	// retireWindow bounds how many instances are closed at once to be retired: as many as can
	// be ordered in this time. An instance is closed in one round, reported as closed in the
	// next, and ordered then.
	retireWindow = 500 * time.Millisecond
	// unknownLoadGrace is for how long the instances of a pool stay while its load is
	// unknown. At a site's first start the load comes some seconds later, and the first
	// peak would lack an instance that was retired before.
	unknownLoadGrace = 15 * time.Second
)

// planMoves decides which instances move between pools.
func (p *Planner) planMoves(now time.Time, d *Decision) {
	pools := p.poolStates(now)
	for _, s := range pools {
		v := p.surveys[s.pool]
		d.Sizes = append(d.Sizes, PoolSize{Pool: s.pool, Have: s.have, Want: s.want, Idle: len(s.idle), Need: v.Need, Waiting: v.Waiting})
	}
	spare := p.spares(now)
	sort.SliceStable(pools, func(i, k int) bool { return pools[i].suppliedBefore(&pools[k]) })
	for i := range pools {
		p.supplyLabels(now, d, &pools[i], pools, &spare)
	}
	p.supplyAll(now, d, pools, &spare, func(s *poolState) int { return s.timelyWant })
	p.supplyAll(now, d, pools, &spare, func(s *poolState) int { return s.want })
	p.expireClaims()
	p.retireAll(now, d, pools)
}

// supplyAll supplies the pools up to a goal. It is called for running tasks and waiting tasks
// that can still end in time before it is called for all tasks: if the pools together want more
// than there is, a pool whose backlog is late already would otherwise keep the instances from
// a pool whose customers can still be served in time. This order raises a day's value by 0.030
// with 165 instances (standard error 0.009; 6 days, run alternately) and by 0.013 with 49
// (0.011; 16 days), and makes no difference if there are enough instances for all.
func (p *Planner) supplyAll(now time.Time, d *Decision, pools []poolState, spare *[]*machine, goal func(*poolState) int) {
	for i := range pools {
		to := &pools[i]
		for to.have < goal(to) {
			if !p.supply(now, d, to, pools, spare, "") {
				break
			}
		}
		p.claim(now, d, to, pools, goal(to))
	}
}

// supplyLabels supplies instances with the labels that a pool's tasks require and
// do not find.
func (p *Planner) supplyLabels(now time.Time, d *Decision, to *poolState, pools []poolState, spare *[]*machine) {
	wants := p.surveys[to.pool].Labels
	labels := slices.Sorted(maps.Keys(wants))
	for _, label := range labels {
		missing := instancesFor(wants[label], p.totalCapacity(), max(1, len(p.machines)), headroom) - p.incoming(now, to.pool, label)
		for range missing {
			if !p.supply(now, d, to, pools, spare, label) {
				break
			}
		}
	}
}

// incoming returns how many instances with a label are on their way to a pool, or
// have just come or are idle there.
func (p *Planner) incoming(now time.Time, pool, label string) int {
	n := 0
	for _, m := range p.machines {
		if !m.hasLabel(label) || p.evacuated(m) {
			continue
		}
		switch {
		case m.order != nil && m.order.Pool != "":
			if m.order.Pool == pool {
				n++
			}
		case m.pool == pool && (now.Sub(m.inPoolSince) < settleTime || !m.idleSince.IsZero()):
			n++
		}
	}
	return n
}

// supply finds one more instance with a label for a pool: one that has been idle in another
// pool for lendAfter, a spare one, or any idle one that another pool can spare.
func (p *Planner) supply(now time.Time, d *Decision, to *poolState, pools []poolState, spare *[]*machine, label string) bool {
	if p.lend(now, d, to, pools, lendAfter, label) {
		return true
	}
	for n, m := range *spare {
		if m.hasLabel(label) {
			*spare = slices.Delete(slices.Clone(*spare), n, n+1)
			p.issueOrder(now, d, m, Order{Machine: m.id, Pool: to.pool, Reason: "needed"})
			to.have++
			return true
		}
	}
	return p.lend(now, d, to, pools, 0, label)
}

// lend takes an instance with a label, which has been idle for idleFor, from the pool with the
// largest surplus. The instance is closed first, and moved once its pool's owner confirms that.
func (p *Planner) lend(now time.Time, d *Decision, to *poolState, pools []poolState, idleFor time.Duration, label string) bool {
	var from *poolState
	var lent *machine
	for i := range pools {
		s := &pools[i]
		if s.pool == to.pool || s.have <= s.minKept(to) || from != nil && s.have-s.want <= from.have-from.want {
			continue
		}
		for _, m := range s.idle {
			if m.hasLabel(label) && now.Sub(m.idleSince) >= idleFor {
				from, lent = s, m
				break
			}
		}
	}
	if from == nil {
		return false
	}
	from.idle = slices.DeleteFunc(slices.Clone(from.idle), func(m *machine) bool { return m == lent })
	from.have--
	to.have++
	p.release(now, d, lent, to.pool, "needed more in another pool")
	return true
}

// expireClaims drops the claims that were not renewed in this round.
func (p *Planner) expireClaims() {
	for _, m := range p.machines {
		if !m.closing {
			m.claimedBy = ""
		}
	}
}

// claim empties busy instances of other pools for a pool that lacks some and found no idle
// ones: surplus instances, and those of any pool if serving tasks have found no free capacity
// for so long that the pool may claim busy ones.
func (p *Planner) claim(now time.Time, d *Decision, to *poolState, pools []poolState, goal int) {
	for to.have < goal {
		m, from := p.drainFromSurplus(now, to, pools)
		if m == nil && to.busyClaims > 0 {
			m, from = p.drainFromLargest(now, to, pools)
		}
		if m == nil {
			return
		}
		m.claimedBy = to.pool
		to.have++
		from.have--
		c := schedule.Closure{Instance: m.id, Reclaim: to.displaced && to.busyClaims > 0}
		to.busyClaims--
		p.releaseWith(now, d, m, to.pool, "needed more in another pool", c)
		if from.have < from.want {
			return // only one at a time is taken from a pool that needs it
		}
	}
}

// drainFromSurplus returns the instance that can be emptied soonest among the pools with more
// instances than they keep, and its pool, or nil.
func (p *Planner) drainFromSurplus(now time.Time, to *poolState, pools []poolState) (*machine, *poolState) {
	var best *machine
	var from *poolState
	for i := range pools {
		s := &pools[i]
		if s.pool == to.pool || s.have <= s.minKept(to) {
			continue
		}
		if m := p.quickestToDrain(now, s.pool, to.pool); m != nil && (best == nil || m.drainsBefore(best, to.pool)) {
			best, from = m, s
		}
	}
	return best, from
}

// drainFromLargest returns the instance that can be emptied soonest in the pool with most
// instances, and that pool, or nil.
func (p *Planner) drainFromLargest(now time.Time, to *poolState, pools []poolState) (*machine, *poolState) {
	var from *poolState
	for i := range pools {
		s := &pools[i]
		if s.pool != to.pool && s.have > minInstances && (from == nil || s.have > from.have) {
			from = s
		}
	}
	if from == nil {
		return nil, nil
	}
	return p.quickestToDrain(now, from.pool, to.pool), from
}

// quickestToDrain returns the busy instance of a pool that can be emptied soonest for another
// pool, or nil. Instances with serving tasks are not taken.
func (p *Planner) quickestToDrain(now time.Time, pool, forPool string) *machine {
	var best *machine
	for _, m := range p.machines {
		known := m.load.Incarnation.Addressee() == m.addressee && m.load.Serving == 0
		if m.pool != pool || m.closing || !known || p.evacuated(m) || !p.orderable(now, m) || m.claimedBy != "" && m.claimedBy != forPool {
			continue
		}
		if m.load.Runs == 0 && m.claimedBy == "" {
			continue // it is idle, and is lent if its pool can spare it
		}
		if best == nil || m.drainsBefore(best, forPool) {
			best = m
		}
	}
	return best
}

// drainsBefore reports whether an instance is emptied for a pool in preference to another one:
// it was chosen for that pool before, or it has fewer tasks.
func (m *machine) drainsBefore(o *machine, forPool string) bool {
	if chosen := m.claimedBy == forPool; chosen != (o.claimedBy == forPool) {
		return chosen
	}
	if m.load.Runs != o.load.Runs {
		return m.load.Runs < o.load.Runs
	}
	return m.id < o.id
}

// release orders the move of an instance if it is closed and empty, and closes it otherwise.
func (p *Planner) release(now time.Time, d *Decision, m *machine, pool, reason string) {
	p.releaseWith(now, d, m, pool, reason, schedule.Closure{Instance: m.id})
}

// releaseWith is release with a closure that may ask for more.
func (p *Planner) releaseWith(now time.Time, d *Decision, m *machine, pool, reason string, c schedule.Closure) {
	if m.load.Closed && m.load.Empty() {
		p.issueOrder(now, d, m, Order{Machine: m.id, Pool: pool, Reason: reason})
		return
	}
	p.closeInstance(d, m, c)
}

// retireAll sends instances that have been idle for retireAfter to the spare pool, from the pool
// with the largest surplus first, and closes no more than can be ordered soon. The others stay
// open for a peak that comes meanwhile. Closing all idle instances of a pool at once, or emptying
// one pool before the others, left that pool without instances for its peak.
func (p *Planner) retireAll(now time.Time, d *Decision, pools []poolState) {
	if p.spare == "" {
		return
	}
	left := p.maxRetiring()
	for i := range pools {
		left -= p.retireEvacuated(now, d, &pools[i], left)
	}
	for ; left > 0; left-- {
		var from *poolState
		for i := range pools {
			if s := &pools[i]; p.retirable(now, s) && (from == nil || s.surplus() > from.surplus()) {
				from = s
			}
		}
		if from == nil {
			return
		}
		m := from.idle[0]
		from.idle = from.idle[1:]
		from.have--
		p.release(now, d, m, p.spare, "not needed")
	}
}

// maxRetiring returns how many instances may be closed to be retired without an order yet.
func (p *Planner) maxRetiring() int {
	if p.settings.OrdersPerSecond == 0 {
		return math.MaxInt
	}
	return max(1, int(p.settings.OrdersPerSecond*retireWindow.Seconds()))
}

// retirable reports whether a pool has an instance to retire.
func (p *Planner) retirable(now time.Time, s *poolState) bool {
	if !p.surveys[s.pool].Arrived && now.Sub(p.firstSurveyAt) < unknownLoadGrace {
		return false
	}
	return s.have > max(s.want, minInstances) && len(s.idle) > 0 && now.Sub(s.idle[0].idleSince) >= retireAfter
}

// surplus returns how many more instances a pool has than it wants.
func (s *poolState) surplus() int { return s.have - s.want }

// retireEvacuated sends up to limit idle instances of evacuated availability zones to the spare
// pool and returns how many.
func (p *Planner) retireEvacuated(now time.Time, d *Decision, s *poolState, limit int) int {
	sort.Slice(s.idleEvacuated, func(i, k int) bool { return s.idleEvacuated[i].id < s.idleEvacuated[k].id })
	n := 0
	for _, m := range s.idleEvacuated {
		if n < limit && now.Sub(m.idleSince) >= retireAfter {
			p.release(now, d, m, p.spare, "its availability zone is evacuated")
			n++
		}
	}
	return n
}

// spares returns the spare machines that may be moved, sorted by ID.
func (p *Planner) spares(now time.Time) []*machine {
	var out []*machine
	for _, m := range p.machines {
		if p.spare != "" && m.pool == p.spare && !p.evacuated(m) && p.orderable(now, m) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].id < out[k].id })
	return out
}
