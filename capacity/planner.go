package capacity

import (
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/schedule"
)

// This file defines the planner, what it is told of pools and waves, and its decisions.

// Settings are what a planner must know of the platform.
type Settings struct {
	MoveTime   time.Duration // how long a move takes an instance away
	UpkeepTime time.Duration // how long maintenance takes it away
	// HolderTime must lie between the orders of two holders of a machine.
	HolderTime time.Duration
	// OrdersPerSecond is how many orders about machines are given in a second, zero for no
	// bound.
	OrdersPerSecond float64
}

// A Decision is what to do now.
type Decision struct {
	// Closures lists, for each pool, the instances to close.
	Closures map[string][]schedule.Closure
	// PendingMaintenance lists the instances that are to be maintained before long.
	PendingMaintenance []pointport.InstanceID
	// NewClosures reports whether an instance is to be closed that was not before.
	NewClosures bool
	Orders      []Order
	// Sizes says how many instances the pools have and should have.
	Sizes []PoolSize
}

// A PoolSize is how many instances a pool has and should have, and why.
type PoolSize struct {
	Pool    string
	Have    int // in use or on their way
	Want    int
	Idle    int // of those, how many may go
	Need    pointport.Shape
	Waiting pointport.Shape
}

// A Planner decides. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	spare    string
	zones    evacuation.Zones
	machines map[pointport.InstanceID]*machine
	waves    map[int64]*waveState
	surveys  map[string]schedule.Survey
	surveyed map[string]bool
	// loads holds what the owners of pools tell of instances, by pool.
	loads  map[string]map[pointport.InstanceID]schedule.InstanceLoad
	listedAt time.Time // when the newest list was asked for
	former map[pointport.InstanceID]FormerOrder
	firstSurveyAt  time.Time // when the first survey came
	// unservedSince is since when serving tasks of a pool have found no room.
	unservedSince map[string]time.Time
	// ended holds the incarnations that orders have ended lately.
	ended map[pointport.IncarnationID]endedOrder
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s, machines: make(map[pointport.InstanceID]*machine),
		waves: make(map[int64]*waveState), surveys: make(map[string]schedule.Survey), surveyed: make(map[string]bool),
		unservedSince: make(map[string]time.Time), loads: make(map[string]map[pointport.InstanceID]schedule.InstanceLoad),
		ended: make(map[pointport.IncarnationID]endedOrder),
	}
}

// SetSpare names the spare pool, empty if there is none.
func (p *Planner) SetSpare(pool string) { p.spare = pool }

// SetEvacuations takes in which availability zones are evacuated. Their instances count for
// no pool, so that others come in their place at once, before what is left is full; those
// that are idle go to the spare pool like others that are not needed. While it is not known
// which they are, all count.
func (p *Planner) SetEvacuations(z evacuation.Zones) { p.zones = z }

// evacuated reports whether nothing may be started on a machine because of its availability
// zone.
func (p *Planner) evacuated(m *machine) bool {
	return p.zones.Standing(m.zone) == evacuation.Evacuated
}

// SetSurvey takes in how a pool stands.
func (p *Planner) SetSurvey(now time.Time, pool string, s schedule.Survey) {
	if p.firstSurveyAt.IsZero() {
		p.firstSurveyAt = now
	}
	p.surveys[pool], p.surveyed[pool] = s, true
	if s.Unserved == 0 {
		delete(p.unservedSince, pool)
	} else if _, ok := p.unservedSince[pool]; !ok {
		p.unservedSince[pool] = now
	}
	loads := make(map[pointport.InstanceID]schedule.InstanceLoad, len(s.Instances))
	for _, l := range s.Instances {
		if old, ok := loads[l.Instance]; ok && old.Runs > l.Runs {
			continue // an earlier life of the instance still has runs
		}
		loads[l.Instance] = l
	}
	p.loads[pool] = loads
	for id, m := range p.machines {
		if m.pool != pool {
			continue
		}
		m.load = loads[id]
		switch {
		case m.load.Runs > 0 || m.load.Incarnation == "":
			m.idleSince = time.Time{}
		case m.idleSince.IsZero():
			m.idleSince = now
		}
	}
}

// ForgetSurvey takes in that nobody says how a pool stands. Its instances may be open and have
// tasks before long, since closures hold only while they are asked for.
func (p *Planner) ForgetSurvey(pool string) {
	p.surveyed[pool] = false
	for _, m := range p.machines {
		if m.pool == pool {
			m.load.Closed = false
		}
	}
}

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

// RestoreWave takes in what an earlier planner has recorded of a wave.
func (p *Planner) RestoreWave(wave int64, begun time.Time, ordered []pointport.InstanceID) {
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
		wp.Completed = len(p.machines) > 0 && len(w.remaining(p.machines)) == 0 && p.unavailable(now, w) == 0
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

// Decide returns what to do at now.
func (p *Planner) Decide(now time.Time) Decision {
	d := Decision{Closures: make(map[string][]schedule.Closure)}
	p.retryOrders(now, &d)
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
		for _, m := range p.waves[id].remaining(p.machines) {
			d.PendingMaintenance = append(d.PendingMaintenance, m.id)
		}
	}
	p.planMoves(now, &d)
	for id, m := range p.machines {
		if m.closing && !was[id] {
			d.NewClosures = true
		}
	}
	return d
}
