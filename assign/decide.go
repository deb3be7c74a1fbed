package assign

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/evacuation"
)

// This file defines the inputs of a decision and the order of its steps.

const (
	// absenceTimeout is how long an instance may be missing from the platform's
	// list before it counts as failed. It allows for the lag of the list.
	absenceTimeout = 30 * time.Second
	// removalTimeout is how long a failed instance may be missing from the list
	// before its member is removed.
	removalTimeout = 10 * time.Minute
	// maxSteps bounds the steps of one change, so that its stored value stays far
	// below the store's size limit even when a whole zone fails at once.
	maxSteps = 500
	// maxReportAge is the age from which an instance's report no longer counts as
	// evidence of its state.
	maxReportAge = time.Minute
)

// A WaveOrder is a maintenance wave as an operator configured it, and the
// version of the configuration that last changed it.
type WaveOrder struct {
	Wave    *config.Wave
	Version pointport.Version
}

// An Input holds everything that a decision depends on.
type Input struct {
	Now       time.Time
	Zone      pointport.ZoneID
	Zones     []pointport.ZoneID // every zone, in the same order for all planners
	State     *State
	Templates []*config.Template // with the parameters in force
	Waves     []WaveOrder
	// Evacuations holds the zones that are to be emptied.
	Evacuations evacuation.Zones
	// Listed is the platform's list for the zone.
	Listed []pointport.Instance
	// IdleFor is how long each draining instance has reported that it runs nothing.
	// Only reports made after the instance learned of its drain count.
	IdleFor map[pointport.InstanceID]time.Duration
	// AbsentSince is when each missing instance was first missing from the list.
	AbsentSince map[pointport.InstanceID]time.Time
	// Share returns how many of a pool's instances in this zone may be out of
	// service. The shares of all zones add up to at most the pool's budget.
	Share func(t *config.Template) int
}

// A decision collects the steps of one change. Its byID and byPool reflect the
// steps so far; its waves and pools hold only those that change.
type decision struct {
	in        *Input
	listed    map[pointport.InstanceID]pointport.Instance
	byID      map[pointport.InstanceID]Member
	ids       []pointport.InstanceID
	steps     []Step
	stepIndex map[pointport.InstanceID]int
	waves     map[string]Wave
	pools     map[string]Pool
	templates map[string]*config.Template
	// byPool holds the members of each pool in order of their IDs, as the steps so
	// far leave them.
	byPool map[string][]Member
}

// Decide returns the next change. Its ID, version, author and time are left for
// the caller to set.
func Decide(in Input) Change {
	d := newDecision(&in)
	d.addNewInstances()
	d.observe()
	d.releaseRemovedPools()
	for _, t := range in.Templates {
		d.resizePool(t)
	}
	for _, t := range in.Templates {
		d.maintain(t)
	}
	return d.result()
}

func newDecision(in *Input) *decision {
	d := &decision{
		in:        in,
		listed:    make(map[pointport.InstanceID]pointport.Instance, len(in.Listed)),
		byID:      make(map[pointport.InstanceID]Member, len(in.State.members)),
		stepIndex: make(map[pointport.InstanceID]int),
		waves:     make(map[string]Wave),
		pools:     make(map[string]Pool),
		templates: make(map[string]*config.Template, len(in.Templates)),
		byPool:    make(map[string][]Member, len(in.Templates)+1),
	}
	for _, i := range in.Listed {
		d.listed[i.ID] = i
	}
	for id, m := range in.State.members {
		d.byID[id] = m
		d.ids = append(d.ids, id)
	}
	sort.Slice(d.ids, func(a, b int) bool { return d.ids[a] < d.ids[b] })
	for _, id := range d.ids {
		m := d.byID[id]
		d.byPool[m.Pool] = append(d.byPool[m.Pool], m)
	}
	for _, t := range in.Templates {
		d.templates[t.Name] = t
	}
	return d
}

func (d *decision) result() Change {
	c := Change{Steps: d.steps, Pools: d.pools}
	names := make([]string, 0, len(d.waves))
	for name := range d.waves {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c.Waves = append(c.Waves, d.waves[name])
	}
	return c
}

// update adds a step that changes a member. A second step for the same member is
// merged into its first.
func (d *decision) update(m Member, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	before, known := d.byID[m.ID]
	if m.Phase != before.Phase || !known {
		m.Since = d.in.Now
	}
	d.byID[m.ID] = m
	if known {
		d.removeFromPool(before)
	}
	d.addToPool(m)
	if n, ok := d.stepIndex[m.ID]; ok {
		d.steps[n].After = &m
		d.steps[n].Reason += "; " + reason
		return
	}
	if !known {
		d.ids = append(d.ids, m.ID)
	}
	d.stepIndex[m.ID] = len(d.steps)
	d.steps = append(d.steps, Step{Instance: m.ID, After: &m, From: phaseAndPool(before), Reason: reason})
}

// remove adds a step that removes a member.
func (d *decision) remove(id pointport.InstanceID, reason string) {
	d.steps = append(d.steps, Step{Instance: id, From: phaseAndPool(d.byID[id]), Reason: reason})
	d.removeFromPool(d.byID[id])
	delete(d.byID, id)
}

// phaseAndPool returns a member's phase and pool as text, for example "serving in
// web"; empty for no member.
func phaseAndPool(m Member) string {
	switch {
	case m.ID == "":
		return ""
	case m.Pool == "":
		return string(m.Phase)
	}
	return string(m.Phase) + " in " + m.Pool
}

// full reports whether the decision has as many steps as one change may hold.
// The rest is left to the next decision.
func (d *decision) full() bool { return len(d.steps) >= maxSteps }

// forEach calls do for every member, in order of their IDs, until the decision is
// full.
func (d *decision) forEach(do func(Member)) {
	for _, id := range d.ids {
		if d.full() {
			return
		}
		if m, ok := d.byID[id]; ok {
			do(m)
		}
	}
}

// inPool returns the members of a pool in order of their IDs; an empty name
// stands for the members of no pool. The slice belongs to the decision and is
// valid until the next step.
func (d *decision) inPool(pool string) []Member { return d.byPool[pool] }

// indexInPool returns the index of a member in its pool's sorted members, or the
// index at which it would be inserted, and whether it is there.
func (d *decision) indexInPool(m Member) (int, bool) {
	return slices.BinarySearchFunc(d.byPool[m.Pool], m.ID, func(m Member, id pointport.InstanceID) int {
		return strings.Compare(string(m.ID), string(id))
	})
}

func (d *decision) removeFromPool(m Member) {
	if n, ok := d.indexInPool(m); ok {
		d.byPool[m.Pool] = slices.Delete(d.byPool[m.Pool], n, n+1)
	}
}

func (d *decision) addToPool(m Member) {
	n, _ := d.indexInPool(m)
	d.byPool[m.Pool] = slices.Insert(d.byPool[m.Pool], n, m)
}

// isWorking reports whether a member serves and a recent report shows it live.
func (d *decision) isWorking(m Member) bool {
	i, ok := d.listed[m.ID]
	return m.Phase == Serving && ok && i.State == pointport.InstanceLive && d.in.Now.Sub(i.Reported) < maxReportAge
}

// wave returns the progress of a wave with the decision's own changes.
func (d *decision) wave(name string) (Wave, bool) {
	if w, ok := d.waves[name]; ok {
		return w, true
	}
	w, ok := d.in.State.waves[name]
	return w, ok
}

// countWave applies add to the progress of a wave, if the wave is known.
func (d *decision) countWave(name string, add func(*Wave)) {
	if w, ok := d.wave(name); ok {
		add(&w)
		d.waves[name] = w
	}
}
