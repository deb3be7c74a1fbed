package capacity

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines the planner: what it is told, and the sizes of pools.

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
	// idleTime is how long an instance is empty before it goes to the spare pool.
	// Going there and coming back cost as much as five seconds of an idle instance,
	// but the next peak is mostly another pool's: with 1 s in place of 3 s instances
	// in pools cost 0.158 of a day's worth for 0.169, moves 0.023 for 0.020 (40 days of
	// 49 instances in turn). With 0.4 s peaks begin late.
	idleTime = time.Second
	// lendTime is how long an instance is empty before another pool may take it
	// although there are spare ones.
	lendTime = 300 * time.Millisecond
	// settleTime is how long a machine is left alone after it came to a pool.
	settleTime = 400 * time.Millisecond
	// orderAgain is after how long an order without an answer is given again.
	orderAgain = time.Second
	// listLag is how far the list of machines may be behind what instances say of
	// themselves.
	listLag = time.Second
	// urgentAfter is for how long serving tasks of a pool find no room before it is
	// supplied first, and claimAfter before a busy instance is emptied for them.
	// Their customers notice after some six seconds, and emptying and moving an
	// instance take three.
	urgentAfter = 1500 * time.Millisecond
	claimAfter  = 2500 * time.Millisecond
	// strangeTime is for how long the instances of a pool stay although nothing is
	// known of its load: at a site's first start the load comes some seconds later,
	// and an instance that was retired before would be missed by the first peak.
	strangeTime = 15 * time.Second
	// leastInstances is how many instances a pool with a queue keeps.
	leastInstances = 1
)

// Settings are what a planner must know of the platform.
type Settings struct {
	MoveTime   time.Duration // how long a move takes an instance away
	UpkeepTime time.Duration // how long maintenance takes it away
	// HolderTime must lie between the orders of two holders of a machine.
	HolderTime time.Duration
}

// An Order is to be given to the platform: a move if Pool is set, else
// maintenance for a wave.
type Order struct {
	Machine pointport.InstanceID
	Pool    string
	Wave    int64
	Reason  string
}

// A Decision is what to do now.
type Decision struct {
	// Closures lists, for each pool, the instances to close.
	Closures map[string][]schedule.Closure
	// Soon lists the instances that are to be maintained before long.
	Soon []pointport.InstanceID
	// Fresh reports whether an instance is to be closed that was not before.
	Fresh  bool
	Orders []Order
	// Sizes says how many instances the pools have and should have.
	Sizes []Size
}

// A Size is how many instances a pool has and should have, and why.
type Size struct {
	Pool    string
	Have    int // in use or on their way
	Want    int
	Idle    int // of those, how many may go
	Need    pointport.Shape
	Waiting pointport.Shape
}

// A machine is what the planner knows of one.
type machine struct {
	id       pointport.InstanceID
	pool     string
	state    pointport.MachineState
	zone     pointport.ZoneID
	labels   []string
	capacity pointport.Shape
	life     pointport.IncarnationID
	since    time.Time // when it was first seen in its pool
	idle     time.Time // since when nothing runs there, zero while something does
	load     schedule.InstanceLoad
	order    *Order // under way
	ordered  time.Time
	answered bool
	// closing says that the instance is to be closed, emptying since when it has
	// been chosen to be emptied for a wave.
	closing  bool
	emptying time.Time
	// claimed names the pool that the instance is being emptied for.
	claimed string
}

// A Planner decides. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	spare    string
	machines map[pointport.InstanceID]*machine
	waves    map[int64]*waveState
	surveys  map[string]survey
	surveyed map[string]bool
	listed   time.Time // when the newest list was asked for
	former   map[pointport.InstanceID]FormerOrder
	began    time.Time // when the first survey came
	// unserved is since when serving tasks of a pool have found no room.
	unserved map[string]time.Time
}

// A FormerOrder is what an earlier planner ordered last about a machine. It is
// not known whether the order was carried out.
type FormerOrder struct {
	At   time.Time
	Wave int64 // zero for a move
}

// A survey is how a pool stood at a time.
type survey struct {
	schedule.Survey
	at time.Time
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s, machines: make(map[pointport.InstanceID]*machine),
		waves: make(map[int64]*waveState), surveys: make(map[string]survey), surveyed: make(map[string]bool),
		unserved: make(map[string]time.Time),
	}
}

// SetSpare names the spare pool, empty if there is none.
func (p *Planner) SetSpare(pool string) { p.spare = pool }

// SetFormer takes in what earlier planners ordered last.
func (p *Planner) SetFormer(orders map[pointport.InstanceID]FormerOrder) { p.former = orders }

// free reports whether a machine may be ordered about.
func (p *Planner) free(now time.Time, m *machine) bool {
	f, ok := p.former[m.id]
	return m.state == pointport.MachineUp && m.order == nil && !(ok && now.Sub(f.At) < p.settings.HolderTime)
}

// SetMachines takes in the platform's list, which was asked for at asked.
func (p *Planner) SetMachines(asked time.Time, list []pointport.Machine) {
	p.listed = asked
	seen := make(map[pointport.InstanceID]bool, len(list))
	for _, l := range list {
		seen[l.ID] = true
		m := p.machines[l.ID]
		if m == nil {
			m = &machine{id: l.ID, pool: l.Pool, since: asked}
			p.machines[l.ID] = m
		}
		if m.pool != l.Pool {
			m.pool, m.since, m.idle = l.Pool, asked, time.Time{}
			m.load = schedule.InstanceLoad{}
		}
		m.state, m.zone, m.labels, m.capacity, m.life = l.State, l.Zone, l.Labels, l.Capacity, l.Incarnation
		p.settleOrder(m, asked)
	}
	for id := range p.machines {
		if !seen[id] {
			delete(p.machines, id)
		}
	}
}

// settleOrder ends an order that a list shows to be done, or that was answered
// before the list was asked for.
func (p *Planner) settleOrder(m *machine, asked time.Time) {
	if m.order == nil {
		return
	}
	took := p.settings.MoveTime
	if m.order.Wave != 0 {
		took = p.settings.UpkeepTime
	}
	if m.answered && asked.Sub(m.ordered) > took && m.state == pointport.MachineUp {
		m.order = nil
	}
}

// SetSurvey takes in how a pool stands.
func (p *Planner) SetSurvey(now time.Time, pool string, s schedule.Survey) {
	if p.began.IsZero() {
		p.began = now
	}
	p.surveys[pool], p.surveyed[pool] = survey{s, now}, true
	if s.Unserved == 0 {
		delete(p.unserved, pool)
	} else if _, ok := p.unserved[pool]; !ok {
		p.unserved[pool] = now
	}
	loads := make(map[pointport.InstanceID]schedule.InstanceLoad, len(s.Instances))
	for _, l := range s.Instances {
		if old, ok := loads[l.Instance]; ok && old.Runs > l.Runs {
			continue // an earlier life of the instance still has runs
		}
		loads[l.Instance] = l
	}
	for id, m := range p.machines {
		if m.pool != pool {
			continue
		}
		m.load = loads[id]
		switch {
		case m.load.Runs > 0 || m.load.Incarnation == "":
			m.idle = time.Time{}
		case m.idle.IsZero():
			m.idle = now
		}
	}
}

// ForgetSurvey takes in that nobody says how a pool stands.
func (p *Planner) ForgetSurvey(pool string) { p.surveyed[pool] = false }

// SetWaves takes in the waves that are asked for.
func (p *Planner) SetWaves(now time.Time, waves []Wave) {
	for _, w := range waves {
		s := p.waves[w.ID]
		if s == nil {
			s = &waveState{begun: now, ordered: make(map[pointport.InstanceID]time.Time)}
			p.waves[w.ID] = s
		}
		s.wave = w
	}
}

// Restore takes in what an earlier planner has recorded of a wave.
func (p *Planner) Restore(wave int64, begun time.Time, ordered []pointport.InstanceID) {
	s := p.waves[wave]
	if s == nil {
		return
	}
	s.begun = begun
	for _, id := range ordered {
		s.ordered[id] = begun
	}
}

// A WaveProgress says how far a wave has come.
type WaveProgress struct {
	Wave    int64
	Begun   time.Time
	Ordered []pointport.InstanceID
	// Completed says that every machine that still exists was maintained.
	Completed bool
}

// Progress returns how far each wave has come, by number.
func (p *Planner) Progress(now time.Time) []WaveProgress {
	var out []WaveProgress
	for id, w := range p.waves {
		wp := WaveProgress{Wave: id, Begun: w.begun}
		for m := range w.ordered {
			wp.Ordered = append(wp.Ordered, m)
		}
		sort.Slice(wp.Ordered, func(i, k int) bool { return wp.Ordered[i] < wp.Ordered[k] })
		wp.Completed = len(p.machines) > 0 && len(w.left(p.machines)) == 0 && p.away(now, w) == 0
		out = append(out, wp)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Wave < out[k].Wave })
	return out
}

// Busy reports whether orders are under way or waves open, so that the list of
// machines should be read often.
func (p *Planner) Busy() bool {
	for _, m := range p.machines {
		if m.order != nil || m.state == pointport.MachineMoving || m.state == pointport.MachineMaintenance {
			return true
		}
	}
	return false
}

// Over returns the incarnations of a pool's instances that the platform shows to
// be over although the pool's owner still counts on them.
func (p *Planner) Over(pool string) []pointport.IncarnationID {
	var out []pointport.IncarnationID
	s := p.surveys[pool]
	for _, l := range s.Instances {
		m := p.machines[l.Instance]
		if m == nil || !l.Silent || l.Incarnation == "" {
			continue
		}
		if s.at.Add(listLag - l.Known).After(p.listed) {
			continue // the list may be older than the incarnation
		}
		if m.life != l.Incarnation && (m.life != "" || m.state != pointport.MachineUp) {
			out = append(out, l.Incarnation)
		}
	}
	return out
}

// Answered takes in the answer to an order; err is nil if it was carried out.
func (p *Planner) Answered(now time.Time, o Order, err error, settled bool) {
	m := p.machines[o.Machine]
	if m == nil || m.order == nil || *m.order != o {
		return
	}
	switch {
	case err == nil:
		m.answered, m.ordered = true, now
		if w := p.waves[o.Wave]; w != nil {
			w.ordered[o.Machine] = now
		}
		m.idle, m.load = time.Time{}, schedule.InstanceLoad{}
	case settled:
		m.order = nil
	}
}

// Unsent takes in that an order was not given after all.
func (p *Planner) Unsent(o Order) {
	if m := p.machines[o.Machine]; m != nil && m.order != nil && *m.order == o {
		m.order = nil
	}
}

// Decide returns what to do at now.
func (p *Planner) Decide(now time.Time) Decision {
	d := Decision{Closures: make(map[string][]schedule.Closure)}
	p.repeat(now, &d)
	was := make(map[pointport.InstanceID]bool)
	for id, m := range p.machines {
		was[id] = m.closing
		m.closing = false
	}
	ids := make([]int64, 0, len(p.waves))
	for id := range p.waves {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	for _, id := range ids {
		p.planWave(now, p.waves[id], &d)
		for _, m := range p.waves[id].left(p.machines) {
			d.Soon = append(d.Soon, m.id)
		}
	}
	p.planSizes(now, &d)
	for id, m := range p.machines {
		if m.closing && !was[id] {
			d.Fresh = true
		}
	}
	return d
}

// cleared reports whether an order about a machine would end nothing.
func (m *machine) cleared(spare string) bool {
	switch {
	case m.pool == spare && spare != "", m.life == "":
		return true // nothing runs where no software is up
	case m.load.Incarnation != m.life:
		// The pool's owner does not know this life, as when the owner is new, so
		// nobody says what runs there.
		return false
	}
	return m.load.Closed && m.load.Runs == 0
}

// repeat gives orders again that got no answer. Until one comes, the machine
// stays closed: the order may be carried out at any time.
func (p *Planner) repeat(now time.Time, d *Decision) {
	for _, m := range p.machines {
		if m.order == nil || m.answered {
			continue
		}
		d.Closures[m.pool] = append(d.Closures[m.pool], schedule.Closure{Instance: m.id})
		if now.Sub(m.ordered) > orderAgain && m.cleared(p.spare) {
			m.ordered = now
			d.Orders = append(d.Orders, *m.order)
		}
	}
}

// order gives an order about a machine, which stays closed meanwhile.
func (p *Planner) order(now time.Time, d *Decision, m *machine, o Order) {
	d.Closures[m.pool] = append(d.Closures[m.pool], schedule.Closure{Instance: m.id})
	m.order, m.ordered, m.answered = &o, now, false
	m.emptying, m.claimed = time.Time{}, ""
	d.Orders = append(d.Orders, o)
}

// shut has an instance closed.
func (p *Planner) shut(d *Decision, m *machine, c schedule.Closure) {
	m.closing = true
	d.Closures[m.pool] = append(d.Closures[m.pool], c)
}

// pressed reports whether tasks wait for room in a pool.
func (p *Planner) pressed(pool string) bool { return p.surveys[pool].Waiting.CPUMilli > 0 }

// A size is how many instances a pool has and should have.
type size struct {
	pool string
	have int // in use or on their way
	want int
	// least is how many hold what the pool's tasks take, with hardly any headroom.
	least int
	// pressed says that tasks wait for room in the pool.
	pressed bool
	// urgent says that serving tasks find no room, or that the pool has no
	// instance to give them any.
	urgent bool
	// idle are the instances that may go: those that were closed for it first,
	// then the longest idle.
	idle []*machine
}

// floor returns how many instances a pool keeps when another one takes some.
func (s *size) floor(to *size) int {
	if to.pressed && !s.pressed {
		return max(min(s.want, s.least), leastInstances)
	}
	return max(s.want, leastInstances)
}

// before reports whether a pool is supplied before another: serving tasks come
// first, then the pool that misses most.
func (s *size) before(o *size) bool {
	if s.urgent != o.urgent {
		return s.urgent
	}
	return s.want-s.have > o.want-o.have
}

// planSizes moves instances between pools.
func (p *Planner) planSizes(now time.Time, d *Decision) {
	sizes := p.sizes(now)
	for _, s := range sizes {
		v := p.surveys[s.pool]
		d.Sizes = append(d.Sizes, Size{Pool: s.pool, Have: s.have, Want: s.want, Idle: len(s.idle), Need: v.Need, Waiting: v.Waiting})
	}
	spare := p.spares(now)
	sort.SliceStable(sizes, func(i, k int) bool { return sizes[i].before(&sizes[k]) })
	for i := range sizes {
		p.supplyLabels(now, d, &sizes[i], sizes, &spare)
	}
	for i := range sizes {
		for sizes[i].have < sizes[i].want {
			if !p.supply(now, d, &sizes[i], sizes, &spare, "") {
				break
			}
		}
		p.claim(now, d, &sizes[i], sizes)
	}
	p.unclaim()
	for i := range sizes {
		p.retire(now, d, &sizes[i])
	}
}

// supplyLabels brings in instances with the labels that a pool's tasks want and
// do not find.
func (p *Planner) supplyLabels(now time.Time, d *Decision, to *size, sizes []size, spare *[]*machine) {
	wants := p.surveys[to.pool].Labels
	labels := slices.Sorted(maps.Keys(wants))
	for _, label := range labels {
		missing := instancesFor(wants[label], p.room(), max(1, len(p.machines)), headroom) - p.coming(now, to.pool, label)
		for range missing {
			if !p.supply(now, d, to, sizes, spare, label) {
				break
			}
		}
	}
}

// room returns the capacity of all machines together.
func (p *Planner) room() pointport.Shape {
	var sum pointport.Shape
	for _, m := range p.machines {
		sum = sum.Plus(m.capacity)
	}
	return sum
}

// coming returns how many instances with a label are on their way to a pool, or
// have just come or are idle there.
func (p *Planner) coming(now time.Time, pool, label string) int {
	n := 0
	for _, m := range p.machines {
		if !m.has(label) {
			continue
		}
		switch {
		case m.order != nil && m.order.Pool != "":
			if m.order.Pool == pool {
				n++
			}
		case m.pool == pool && (now.Sub(m.since) < settleTime || !m.idle.IsZero()):
			n++
		}
	}
	return n
}

// has reports whether a machine has a label; an empty one is had by all.
func (m *machine) has(label string) bool {
	return label == "" || slices.Contains(m.labels, label)
}

// supply finds one more instance with a label for a pool: one that another pool
// has had no use for, a spare one, or one that another pool can do without.
func (p *Planner) supply(now time.Time, d *Decision, to *size, sizes []size, spare *[]*machine, label string) bool {
	if p.lend(now, d, to, sizes, lendTime, label) {
		return true
	}
	for n, m := range *spare {
		if m.has(label) {
			*spare = slices.Delete(slices.Clone(*spare), n, n+1)
			p.order(now, d, m, Order{Machine: m.id, Pool: to.pool, Reason: "needed"})
			to.have++
			return true
		}
	}
	return p.lend(now, d, to, sizes, 0, label)
}

// lend takes an instance with a label, which has been idle for some time, from
// the pool that has the most too many. It is closed first, and moved once it is.
func (p *Planner) lend(now time.Time, d *Decision, to *size, sizes []size, idleFor time.Duration, label string) bool {
	var from *size
	var lent *machine
	for i := range sizes {
		s := &sizes[i]
		if s.pool == to.pool || s.have <= s.floor(to) || from != nil && s.have-s.want <= from.have-from.want {
			continue
		}
		for _, m := range s.idle {
			if m.has(label) && now.Sub(m.idle) >= idleFor {
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

// unclaim forgets the claims that were not made again.
func (p *Planner) unclaim() {
	for _, m := range p.machines {
		if !m.closing {
			m.claimed = ""
		}
	}
}

// claim empties busy instances of other pools for one that misses some and found
// none that is free: those that their pools need no more, and one of any pool if
// serving tasks have found no room for some time.
func (p *Planner) claim(now time.Time, d *Decision, to *size, sizes []size) {
	for to.have < to.want {
		m, from := p.surplus(now, to, sizes)
		if m == nil && to.starving(now, p.unserved) {
			m, from = p.busiest(now, to, sizes)
		}
		if m == nil {
			return
		}
		m.claimed = to.pool
		to.have++
		from.have--
		p.release(now, d, m, to.pool, "needed there more")
		if from.have < from.want {
			return // one at a time is taken from a pool that needs it
		}
	}
}

// starving reports whether serving tasks of the pool have found no room for so
// long that a busy instance is emptied for them.
func (s *size) starving(now time.Time, unserved map[string]time.Time) bool {
	since, ok := unserved[s.pool]
	return ok && now.Sub(since) >= claimAfter
}

// surplus returns the instance that is emptied soonest of a pool that has more
// than it needs, or nil.
func (p *Planner) surplus(now time.Time, to *size, sizes []size) (*machine, *size) {
	var best *machine
	var from *size
	for i := range sizes {
		s := &sizes[i]
		if s.pool == to.pool || s.have <= s.floor(to) {
			continue
		}
		if m := p.emptiest(now, s.pool, to.pool); m != nil && (best == nil || m.sooner(best, to.pool)) {
			best, from = m, s
		}
	}
	return best, from
}

// busiest returns the instance that is emptied soonest of the pool that has most,
// or nil.
func (p *Planner) busiest(now time.Time, to *size, sizes []size) (*machine, *size) {
	var from *size
	for i := range sizes {
		s := &sizes[i]
		if s.pool != to.pool && s.have > leastInstances && (from == nil || s.have > from.have) {
			from = s
		}
	}
	if from == nil {
		return nil, nil
	}
	return p.emptiest(now, from.pool, to.pool), from
}

// emptiest returns the busy instance of a pool that is emptied soonest for another
// pool, or nil. Instances with serving tasks are left alone.
func (p *Planner) emptiest(now time.Time, pool, forPool string) *machine {
	var best *machine
	for _, m := range p.machines {
		known := m.load.Incarnation == m.life && m.load.Serving == 0
		if m.pool != pool || m.closing || !known || !p.free(now, m) || m.claimed != "" && m.claimed != forPool {
			continue
		}
		if m.load.Runs == 0 && m.claimed == "" {
			continue // it is idle, and is lent if its pool can spare it
		}
		if best == nil || m.sooner(best, forPool) {
			best = m
		}
	}
	return best
}

// sooner reports whether an instance is rather emptied for a pool than another:
// one that was chosen for it before, else the one with fewer tasks.
func (m *machine) sooner(o *machine, forPool string) bool {
	if chosen := m.claimed == forPool; chosen != (o.claimed == forPool) {
		return chosen
	}
	if m.load.Runs != o.load.Runs {
		return m.load.Runs < o.load.Runs
	}
	return m.id < o.id
}

func (p *Planner) release(now time.Time, d *Decision, m *machine, pool, reason string) {
	if m.load.Closed && m.load.Runs == 0 {
		p.order(now, d, m, Order{Machine: m.id, Pool: pool, Reason: reason})
		return
	}
	p.shut(d, m, schedule.Closure{Instance: m.id})
}

// retire sends instances that have been idle for long to the spare pool.
func (p *Planner) retire(now time.Time, d *Decision, s *size) {
	if p.spare == "" || !p.surveys[s.pool].Arrived && now.Sub(p.began) < strangeTime {
		return
	}
	for s.have > max(s.want, leastInstances) && len(s.idle) > 0 && now.Sub(s.idle[0].idle) >= idleTime {
		m := s.idle[0]
		s.idle = s.idle[1:]
		s.have--
		p.release(now, d, m, p.spare, "not needed")
	}
}

// spares returns the spare machines that may be moved.
func (p *Planner) spares(now time.Time) []*machine {
	var out []*machine
	for _, m := range p.machines {
		if p.spare != "" && m.pool == p.spare && p.free(now, m) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].id < out[k].id })
	return out
}

// sizes works out how many instances the pools have and should have.
func (p *Planner) sizes(now time.Time) []size {
	var out []size
	for pool := range p.surveys {
		if p.surveyed[pool] && pool != p.spare {
			out = append(out, p.sizeOf(now, pool))
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].pool < out[k].pool })
	return out
}

func (p *Planner) sizeOf(now time.Time, pool string) size {
	s := size{pool: pool}
	room := p.room()
	inUse := 0
	anywhere := false // whether the pool has any machine, in whatever state
	for _, m := range p.machines {
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
			if p.free(now, m) && !m.idle.IsZero() && now.Sub(m.since) > settleTime {
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
	s.least = max(inUse, instancesFor(need, room, n, tightHeadroom))
	s.pressed = p.pressed(pool)
	if !anywhere {
		s.want = max(s.want, leastInstances)
	}
	v := p.surveys[pool]
	if more := max(v.Spread, v.Unserved+v.Unmoved); more > 0 {
		s.want = max(s.want, s.have+more)
	}
	since, unserved := p.unserved[pool]
	s.urgent = unserved && now.Sub(since) >= urgentAfter || s.have == 0 && s.want > 0
	sort.Slice(s.idle, func(i, k int) bool {
		a, b := s.idle[i], s.idle[k]
		if a.load.Closed != b.load.Closed {
			return a.load.Closed // it was chosen before
		}
		if !a.idle.Equal(b.idle) {
			return a.idle.Before(b.idle)
		}
		return a.id < b.id
	})
	return s
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
