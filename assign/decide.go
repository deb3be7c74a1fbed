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

// This file defines the decision as a whole: what it looks at and in which
// order it goes on.

const (
	// absenceTimeout is how long an instance may be missing from the platform's
	// list before it counts as failed. The list lags.
	absenceTimeout = 30 * time.Second
	// removalTimeout is how long a failed instance that is missing is remembered.
	removalTimeout = 10 * time.Minute
	// maxSteps bounds the steps of one change, so that its stored value stays far
	// below what the store takes, also when a whole zone fails at once.
	maxSteps = 500
	// maxReportAge is how old an instance's report may be before its state
	// counts as unknown.
	maxReportAge = time.Minute
)

// A WaveOrder is a wave as an operator has it, and the version at which it was
// last changed.
type WaveOrder struct {
	Wave    *config.Wave
	Version pointport.Version
}

// An Input is everything that a decision looks at.
type Input struct {
	Now       time.Time
	Zone      pointport.ZoneID
	Zones     []pointport.ZoneID // every zone, in an order that all planners share
	State     *State
	Templates []*config.Template // with the parameters that are in force
	Waves     []WaveOrder
	// Evacuations says which zones are to be left empty.
	Evacuations evacuation.Zones
	// Listed is the platform's list for the zone.
	Listed []pointport.Instance
	// IdleFor says for how long a draining instance has been seen to run nothing,
	// by reports that came after its drain was told.
	IdleFor map[pointport.InstanceID]time.Duration
	// AbsentSince says since when an instance has been missing from the list.
	AbsentSince map[pointport.InstanceID]time.Time
	// Share returns how many of a pool's instances in this zone may be out of
	// service. The shares of all zones add up to the pool's budget at most.
	Share func(t *config.Template) int
}

// A decision is a decision while it is made.
type decision struct {
	in        *Input
	listed    map[pointport.InstanceID]pointport.Instance
	members   map[pointport.InstanceID]Member
	ids       []pointport.InstanceID
	steps     []Step
	stepIndex map[pointport.InstanceID]int
	waves     map[string]Wave
	pools     map[string]Pool
	templates map[string]*config.Template
	// byPool holds each pool's members by name, as they are now.
	byPool map[string][]Member
}

// Decide returns what to do next, without ID, version, author and time.
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
		members:   make(map[pointport.InstanceID]Member, len(in.State.members)),
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
		d.members[id] = m
		d.ids = append(d.ids, id)
	}
	sort.Slice(d.ids, func(a, b int) bool { return d.ids[a] < d.ids[b] })
	for _, id := range d.ids {
		m := d.members[id]
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

// update takes a step. A member's second step in one decision joins its first.
func (d *decision) update(m Member, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	before, known := d.members[m.ID]
	if m.Phase != before.Phase || !known {
		m.Since = d.in.Now
	}
	d.members[m.ID] = m
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

// remove removes a member.
func (d *decision) remove(id pointport.InstanceID, reason string) {
	d.steps = append(d.steps, Step{Instance: id, From: phaseAndPool(d.members[id]), Reason: reason})
	d.removeFromPool(d.members[id])
	delete(d.members, id)
}

// phaseAndPool names a member's phase and pool.
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
// What is left is decided next time.
func (d *decision) full() bool { return len(d.steps) >= maxSteps }

// forEach calls do for every member, in the order of their names, until the
// decision is full.
func (d *decision) forEach(do func(Member)) {
	for _, id := range d.ids {
		if d.full() {
			return
		}
		if m, ok := d.members[id]; ok {
			do(m)
		}
	}
}

// inPool returns the members of a pool by name; those in none, if it is empty.
// The slice is the decision's own and changes with the next step.
func (d *decision) inPool(pool string) []Member { return d.byPool[pool] }

// indexInPool returns where a member is, or would be, in its pool.
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

// isWorking reports whether a member is known to take work now.
func (d *decision) isWorking(m Member) bool {
	i, ok := d.listed[m.ID]
	return m.Phase == Serving && ok && i.State == pointport.InstanceLive && d.in.Now.Sub(i.Reported) < maxReportAge
}

// wave returns how far a wave has come, as the decision has it.
func (d *decision) wave(name string) (Wave, bool) {
	if w, ok := d.waves[name]; ok {
		return w, true
	}
	w, ok := d.in.State.waves[name]
	return w, ok
}

// countWave adds to a wave's counts.
func (d *decision) countWave(name string, add func(*Wave)) {
	if w, ok := d.wave(name); ok {
		add(&w)
		d.waves[name] = w
	}
}
