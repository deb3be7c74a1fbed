package capacity

import (
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/schedule"
)

// This file defines the planner, its inputs about pools and waves, and its decisions.

// Settings are the platform's properties that a planner depends on.
type Settings struct {
	MoveTime        time.Duration // for how long a move makes an instance unavailable
	MaintenanceTime time.Duration // for how long maintenance makes an instance unavailable
	// MinHolderInterval is the least time between the orders of two holders of a machine.
	MinHolderInterval time.Duration
	// OrdersPerSecond is the rate limit for orders for machines, zero for none.
	OrdersPerSecond float64
}

// A Decision lists the closures and orders that are due, and the sizes of the pools.
type Decision struct {
	// Closures lists the instances to close by pool.
	Closures map[string][]schedule.Closure
	// PendingMaintenance lists the instances that waves have yet to maintain.
	PendingMaintenance []pointport.InstanceID
	// NewClosures reports whether an instance is to be closed that was not before.
	NewClosures bool
	Orders      []Order
	// Sizes lists the actual and the wanted sizes of the pools.
	Sizes []PoolSize
}

// A PoolSize is the actual and the wanted number of a pool's instances, and the load behind it.
type PoolSize struct {
	Pool    string
	Have    int // in use or on their way
	Want    int
	Idle    int // of those, how many may go
	Need    pointport.Shape
	Waiting pointport.Shape
}

// A Planner decides about closures, moves and maintenance. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	spare    string
	zones    evacuation.Zones
	machines map[pointport.InstanceID]*machine
	waves    map[int64]*waveState
	surveys  map[string]schedule.Survey
	surveyed map[string]bool
	// loads holds what pool owners report about their instances, by pool.
	loads         map[string]map[pointport.InstanceID]schedule.InstanceLoad
	listedAt      time.Time // when the newest list was requested
	former        map[pointport.InstanceID]FormerOrder
	firstSurveyAt time.Time // when the first survey came
	// unservedSince is since when serving tasks of a pool have found no free capacity.
	unservedSince map[string]time.Time
	// displacedSince is since when serving tasks that have run before are among them.
	displacedSince map[string]time.Time
	// ended holds the incarnations that orders have ended recently.
	ended map[pointport.IncarnationID]endedOrder
}

// NewPlanner returns a planner without any machines, pools or waves.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s, machines: make(map[pointport.InstanceID]*machine),
		waves: make(map[int64]*waveState), surveys: make(map[string]schedule.Survey), surveyed: make(map[string]bool),
		unservedSince: make(map[string]time.Time), displacedSince: make(map[string]time.Time), loads: make(map[string]map[pointport.InstanceID]schedule.InstanceLoad),
		ended: make(map[pointport.IncarnationID]endedOrder),
	}
}

// SetSpare sets the name of the spare pool, empty if there is none.
func (p *Planner) SetSpare(pool string) { p.spare = pool }

// SetEvacuations sets which availability zones are evacuated. Their instances count for no pool,
// so that replacements come at once, before the remaining instances are full. Idle instances in
// these zones go to the spare pool like others that are not needed. While the evacuated zones are
// unknown, all instances count.
func (p *Planner) SetEvacuations(z evacuation.Zones) { p.zones = z }

// evacuated reports whether no task may be started on a machine because its availability zone is
// evacuated.
func (p *Planner) evacuated(m *machine) bool {
	return p.zones.State(m.zone) == evacuation.Evacuated
}

// SetSurvey sets the newest survey of a pool, received at now.
func (p *Planner) SetSurvey(now time.Time, pool string, s schedule.Survey) {
	if p.firstSurveyAt.IsZero() {
		p.firstSurveyAt = now
	}
	p.surveys[pool], p.surveyed[pool] = s, true
	noteSince(p.unservedSince, pool, now, s.Unserved > 0)
	noteSince(p.displacedSince, pool, now, s.Displaced > 0)
	loads := make(map[pointport.InstanceID]schedule.InstanceLoad, len(s.Instances))
	for _, l := range s.Instances {
		if old, ok := loads[l.Instance]; ok && old.Runs > l.Runs {
			continue // an earlier incarnation of the instance still has runs
		}
		loads[l.Instance] = l
	}
	p.loads[pool] = loads
	p.noteKnown(now, s.Instances)
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

// noteSince records since when something holds for a pool.
func noteSince(since map[string]time.Time, pool string, now time.Time, holds bool) {
	if !holds {
		delete(since, pool)
	} else if _, ok := since[pool]; !ok {
		since[pool] = now
	}
}

// ForgetSurvey marks a pool's survey as outdated because its owner did not answer. Its instances
// may be open and get tasks soon, since closures expire unless they are renewed.
func (p *Planner) ForgetSurvey(pool string) {
	p.surveyed[pool] = false
	for _, m := range p.machines {
		if m.pool == pool {
			m.load.Closed = false
		}
	}
}

// SetWaves adds or updates the requested waves. A wave that is new begins at now.
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

// RestoreWave restores the state that an earlier planner has stored of a wave.
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

// A WaveProgress is the progress of a wave.
type WaveProgress struct {
	Wave    int64
	Begun   time.Time
	Ordered []pointport.InstanceID
	// Completed is true if every machine of the wave that still exists was maintained.
	Completed bool
}

// Progress returns the progress of each wave, sorted by ID.
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

// Busy reports whether an order is pending or a machine is moving or in maintenance. The list of
// machines should be read often then.
func (p *Planner) Busy() bool {
	for _, m := range p.machines {
		if m.order != nil || m.state == pointport.MachineMoving || m.state == pointport.MachineMaintenance {
			return true
		}
	}
	return false
}

// Decide returns the closures and orders that are due at now.
func (p *Planner) Decide(now time.Time) Decision {
	d := Decision{Closures: make(map[string][]schedule.Closure)}
	p.retryOrders(now, &d)
	wasClosing := make(map[pointport.InstanceID]bool)
	for id, m := range p.machines {
		wasClosing[id] = m.closing
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
		if m.closing && !wasClosing[id] {
			d.NewClosures = true
		}
	}
	return d
}
