package capacity

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport/schedule"
)

// This file defines how pools get the instances that they miss, and give up those that
// they do not need.

const (
	// retireAfter is how long an instance is empty before it goes to the spare pool.
	// Going there and coming back cost as much as five seconds of an idle instance,
	// but the next peak is mostly another pool's: with 1 s in place of 3 s instances
	// in pools cost 0.158 of a day's worth for 0.169, moves 0.023 for 0.020 (40 days of
	// 49 instances in turn). With 0.4 s peaks begin late.
	retireAfter = time.Second
	// lendAfter is how long an instance is empty before another pool may take it
	// although there are spare ones.
	lendAfter = 300 * time.Millisecond
	// retireWindow is how much time's orders' worth of instances are closed at once to be given
	// back: one is closed in one round, seen closed in the next, and ordered then.
	retireWindow = 500 * time.Millisecond
	// unknownLoadGrace is for how long the instances of a pool stay although nothing is
	// known of its load: at a site's first start the load comes some seconds later,
	// and an instance that was retired before would be missed by the first peak.
	unknownLoadGrace = 15 * time.Second
)

// planMoves moves instances between pools.
func (p *Planner) planMoves(now time.Time, d *Decision) {
	sizes := p.poolStates(now)
	for _, s := range sizes {
		v := p.surveys[s.pool]
		d.Sizes = append(d.Sizes, PoolSize{Pool: s.pool, Have: s.have, Want: s.want, Idle: len(s.idle), Need: v.Need, Waiting: v.Waiting})
	}
	spare := p.spares(now)
	sort.SliceStable(sizes, func(i, k int) bool { return sizes[i].suppliedBefore(&sizes[k]) })
	for i := range sizes {
		p.supplyLabels(now, d, &sizes[i], sizes, &spare)
	}
	p.supplyAll(now, d, sizes, &spare, func(s *poolState) int { return s.timelyWant })
	p.supplyAll(now, d, sizes, &spare, func(s *poolState) int { return s.want })
	p.expireClaims()
	p.retireAll(now, d, sizes)
}

// supplyAll brings the pools what they miss of a goal. What runs, and what waits and can
// still end in time, comes first in all of them: while all pools together want more than
// there is, one with a backlog that is late already would keep the instances from one whose
// customers can still be served in time. On days of 165 instances in turn it is worth 0.030
// (standard error 0.009; 6 days), on days of 49 0.013 (0.011; 16 days), and nothing where the
// fleet holds what all want.
func (p *Planner) supplyAll(now time.Time, d *Decision, sizes []poolState, spare *[]*machine, goal func(*poolState) int) {
	for i := range sizes {
		to := &sizes[i]
		for to.have < goal(to) {
			if !p.supply(now, d, to, sizes, spare, "") {
				break
			}
		}
		p.claim(now, d, to, sizes, goal(to))
	}
}

// supplyLabels brings in instances with the labels that a pool's tasks want and
// do not find.
func (p *Planner) supplyLabels(now time.Time, d *Decision, to *poolState, sizes []poolState, spare *[]*machine) {
	wants := p.surveys[to.pool].Labels
	labels := slices.Sorted(maps.Keys(wants))
	for _, label := range labels {
		missing := instancesFor(wants[label], p.totalCapacity(), max(1, len(p.machines)), headroom) - p.incoming(now, to.pool, label)
		for range missing {
			if !p.supply(now, d, to, sizes, spare, label) {
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

// supply finds one more instance with a label for a pool: one that another pool
// has had no use for, a spare one, or one that another pool can do without.
func (p *Planner) supply(now time.Time, d *Decision, to *poolState, sizes []poolState, spare *[]*machine, label string) bool {
	if p.lend(now, d, to, sizes, lendAfter, label) {
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
	return p.lend(now, d, to, sizes, 0, label)
}

// lend takes an instance with a label, which has been idle for some time, from
// the pool that has the most too many. It is closed first, and moved once it is.
func (p *Planner) lend(now time.Time, d *Decision, to *poolState, sizes []poolState, idleFor time.Duration, label string) bool {
	var from *poolState
	var lent *machine
	for i := range sizes {
		s := &sizes[i]
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
	p.release(now, d, lent, to.pool, "needed there more")
	return true
}

// expireClaims forgets the claims that were not made again.
func (p *Planner) expireClaims() {
	for _, m := range p.machines {
		if !m.closing {
			m.claimedBy = ""
		}
	}
}

// claim empties busy instances of other pools for one that misses some and found
// none that is free: those that their pools need no more, and one of any pool if
// serving tasks have found no room for some time.
func (p *Planner) claim(now time.Time, d *Decision, to *poolState, sizes []poolState, goal int) {
	for to.have < goal {
		m, from := p.drainFromSurplus(now, to, sizes)
		if m == nil && to.mayClaimBusy(now, p.unservedSince) {
			m, from = p.drainFromLargest(now, to, sizes)
		}
		if m == nil {
			return
		}
		m.claimedBy = to.pool
		to.have++
		from.have--
		p.release(now, d, m, to.pool, "needed there more")
		if from.have < from.want {
			return // one at a time is taken from a pool that needs it
		}
	}
}

// mayClaimBusy reports whether serving tasks of the pool have found no room for so
// long that a busy instance is emptied for them.
func (s *poolState) mayClaimBusy(now time.Time, unserved map[string]time.Time) bool {
	since, ok := unserved[s.pool]
	return ok && now.Sub(since) >= claimAfter
}

// drainFromSurplus returns the instance that is emptied soonest of a pool that has more
// than it needs, or nil.
func (p *Planner) drainFromSurplus(now time.Time, to *poolState, sizes []poolState) (*machine, *poolState) {
	var best *machine
	var from *poolState
	for i := range sizes {
		s := &sizes[i]
		if s.pool == to.pool || s.have <= s.minKept(to) {
			continue
		}
		if m := p.quickestToDrain(now, s.pool, to.pool); m != nil && (best == nil || m.drainsBefore(best, to.pool)) {
			best, from = m, s
		}
	}
	return best, from
}

// drainFromLargest returns the instance that is emptied soonest of the pool that has most,
// or nil.
func (p *Planner) drainFromLargest(now time.Time, to *poolState, sizes []poolState) (*machine, *poolState) {
	var from *poolState
	for i := range sizes {
		s := &sizes[i]
		if s.pool != to.pool && s.have > minInstances && (from == nil || s.have > from.have) {
			from = s
		}
	}
	if from == nil {
		return nil, nil
	}
	return p.quickestToDrain(now, from.pool, to.pool), from
}

// quickestToDrain returns the busy instance of a pool that is emptied soonest for another
// pool, or nil. Instances with serving tasks are left alone.
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

// drainsBefore reports whether an instance is rather emptied for a pool than another:
// one that was chosen for it before, else the one with fewer tasks.
func (m *machine) drainsBefore(o *machine, forPool string) bool {
	if chosen := m.claimedBy == forPool; chosen != (o.claimedBy == forPool) {
		return chosen
	}
	if m.load.Runs != o.load.Runs {
		return m.load.Runs < o.load.Runs
	}
	return m.id < o.id
}

func (p *Planner) release(now time.Time, d *Decision, m *machine, pool, reason string) {
	if m.load.Closed && m.load.Empty() {
		p.issueOrder(now, d, m, Order{Machine: m.id, Pool: pool, Reason: reason})
		return
	}
	p.closeInstance(d, m, schedule.Closure{Instance: m.id})
}

// retireAll sends instances that have been idle for long to the spare pool, no more than are
// soon ordered away, and from the pool that has most too many first. The rest
// stays open: a pool whose instances were all closed to be given back, or were given back
// before those of others, had none left for a peak that came meanwhile.
func (p *Planner) retireAll(now time.Time, d *Decision, sizes []poolState) {
	if p.spare == "" {
		return
	}
	left := p.maxRetiring()
	for i := range sizes {
		left -= p.retireEvacuated(now, d, &sizes[i], left)
	}
	for ; left > 0; left-- {
		var from *poolState
		for i := range sizes {
			if s := &sizes[i]; p.retirable(now, s) && (from == nil || s.surplus() > from.surplus()) {
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

// maxRetiring returns how many instances may be on their way to the spare pool without an order.
func (p *Planner) maxRetiring() int {
	if p.settings.OrdersPerSecond == 0 {
		return math.MaxInt
	}
	return max(1, int(p.settings.OrdersPerSecond*retireWindow.Seconds()))
}

// retirable reports whether a pool has an instance to give back.
func (p *Planner) retirable(now time.Time, s *poolState) bool {
	if !p.surveys[s.pool].Arrived && now.Sub(p.firstSurveyAt) < unknownLoadGrace {
		return false
	}
	return s.have > max(s.want, minInstances) && len(s.idle) > 0 && now.Sub(s.idle[0].idleSince) >= retireAfter
}

// surplus returns how many instances more than it should a pool has.
func (s *poolState) surplus() int { return s.have - s.want }

// retireEvacuated sends idle instances of evacuated availability zones to the spare pool, some
// at most, and returns how many.
func (p *Planner) retireEvacuated(now time.Time, d *Decision, s *poolState, most int) int {
	sort.Slice(s.idleEvacuated, func(i, k int) bool { return s.idleEvacuated[i].id < s.idleEvacuated[k].id })
	n := 0
	for _, m := range s.idleEvacuated {
		if n < most && now.Sub(m.idleSince) >= retireAfter {
			p.release(now, d, m, p.spare, "its availability zone is evacuated")
			n++
		}
	}
	return n
}

// spares returns the spare machines that may be moved.
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
