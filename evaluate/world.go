// Package evaluate measures the decisions about instances alone: events in,
// actions out, in steps of a fake clock. It is no simulator of a cluster: an
// instance drains, reboots and fails by set times, and nothing else happens.
//
// The model: a World is one availability zone with its instances and one or
// more pools. Each step it lets a policy decide, applies what it decided, and
// lets the instances come as far as the time says. It counts what the users
// measure: roll-out time, moves, buffer cost, and the least budget left.
//
// Invariant: the same scenario and seed give the same outcome.
package evaluate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
)

// This file defines the world and its steps.

// zone is the zone of every world.
const zone = pointport.ZoneID("zone-a")

// A Policy decides what to do.
type Policy func(assign.Input) assign.Change

// A machine is an instance as it really is.
type machine struct {
	info  pointport.Instance
	idle  time.Time // when a draining instance falls idle
	back  time.Time // when an instance that is down comes back
	quiet time.Time // since when the planner has seen it idle
}

// A Simulation is one zone under a policy.
type Simulation struct {
	policy    Policy
	chance    *rand.Rand
	now       time.Time
	state     *assign.State
	templates []*config.Template
	waves     []assign.WaveOrder
	machines  []*machine
	byID      map[pointport.InstanceID]*machine

	drainMean, rebootMean time.Duration
	tally                 Stats
}

// A Stats is what a world has counted.
type Stats struct {
	Moves            int           // instances that changed their pool after the first fill
	Drains           int           // instances that waves took out
	Failures         int           // instances that failed by themselves
	SpareHours       float64       // instance-hours beyond what the pools must have
	MinBudgetLeft    int           // the least budget that any pool had left
	BudgetViolations int           // steps that the budget did not allow
	Decisions        int           // decisions made
	Changes          int           // decisions that changed something: writes to the store
	Work             time.Duration // time that instances were out of service in waves
}

// NewSimulation returns a world of n instances that has come to rest.
func NewSimulation(policy Policy, seed uint64, n int, drainMean, rebootMean time.Duration, templates []*config.Template) *Simulation {
	w := &Simulation{
		policy: policy, chance: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_800_000_000, 0),
		state: assign.NewState(), templates: templates, byID: make(map[pointport.InstanceID]*machine),
		drainMean: drainMean, rebootMean: rebootMean,
	}
	for i := range n {
		m := &machine{info: pointport.Instance{
			ID: pointport.InstanceID(fmt.Sprintf("i%05d", i)), Zone: zone, Rack: fmt.Sprint("rack-", i/4),
			Address: fmt.Sprint("10.0.0.1:", i), Boots: 1, State: pointport.InstanceLive,
			Shape: pointport.Shape{CPUMilli: 16000, MemoryMiB: 32768},
		}}
		w.machines = append(w.machines, m)
		w.byID[m.info.ID] = m
	}
	for changes := -1; changes != w.tally.Changes; {
		changes = w.tally.Changes
		w.Step(time.Second)
	}
	w.tally = Stats{MinBudgetLeft: w.leastLeft()}
	return w
}

// Stats returns what the world has counted.
func (w *Simulation) Stats() Stats { return w.tally }

// State returns the assignment.
func (w *Simulation) State() *assign.State { return w.state }

// Now returns the world's time.
func (w *Simulation) Now() time.Time { return w.now }

// SetTemplates changes what operators want.
func (w *Simulation) SetTemplates(templates []*config.Template) { w.templates = templates }

// SetWaves changes the waves.
func (w *Simulation) SetWaves(waves []assign.WaveOrder) { w.waves = waves }

// Fail lets an instance fail for a time.
func (w *Simulation) Fail(n int, d time.Duration) {
	m := w.machines[n%len(w.machines)]
	if m.info.State == pointport.InstanceDown {
		return
	}
	w.tally.Failures++
	w.down(m, d)
}

func (w *Simulation) down(m *machine, d time.Duration) {
	m.info.State, m.back, m.quiet = pointport.InstanceDown, w.now.Add(d), time.Time{}
}

// Step lets d pass, and then lets the policy decide once.
func (w *Simulation) Step(d time.Duration) {
	w.now = w.now.Add(d)
	w.live()
	w.count(d)
	w.tally.Decisions++
	c := w.policy(w.input())
	if c.Empty() {
		w.tell()
		return
	}
	w.tally.Changes++
	w.check(c)
	c.Version = w.state.Version() + 1
	next, err := w.state.Apply(c)
	if err != nil {
		panic("evaluate: " + err.Error())
	}
	w.state = next
	w.tell()
}

// live lets each instance come as far as the time says.
func (w *Simulation) live() {
	for _, m := range w.machines {
		m.info.Reported = w.now
		if m.info.State == pointport.InstanceDown && !w.now.Before(m.back) {
			m.info.State = pointport.InstanceLive
			m.info.Boots++
		}
		if m.info.State == pointport.InstanceLeaving && !w.now.Before(m.idle) && m.quiet.IsZero() {
			m.quiet = w.now
		}
	}
}

func (w *Simulation) input() assign.Input {
	in := assign.Input{
		Now: w.now, Zone: zone, Zones: []pointport.ZoneID{zone}, State: w.state, Templates: w.templates, Waves: w.waves,
		IdleFor: make(map[pointport.InstanceID]time.Duration), Share: share,
	}
	for _, m := range w.machines {
		in.Listed = append(in.Listed, m.info)
		if !m.quiet.IsZero() {
			in.IdleFor[m.info.ID] = w.now.Sub(m.quiet)
		}
	}
	return in
}

// share is the budget of the only zone.
func share(t *config.Template) int { return t.Maintenance.Budget.Down(t.Pool.Size) }

// tell does what the committed state calls for.
func (w *Simulation) tell() {
	for _, member := range w.state.Members() {
		m := w.byID[member.ID]
		if m.info.Boots != member.Boots {
			continue
		}
		switch {
		case member.Phase == assign.Draining && m.info.State == pointport.InstanceLive:
			m.info.State, m.idle = pointport.InstanceLeaving, w.now.Add(w.around(w.drainMean))
		case member.Phase == assign.Rebooting && m.info.State != pointport.InstanceDown:
			w.down(m, w.around(w.rebootMean))
		case (member.Phase == assign.Serving || member.Phase == assign.Spare) && m.info.State == pointport.InstanceLeaving:
			m.info.State, m.quiet = pointport.InstanceLive, time.Time{}
		}
	}
}

// around returns a time by chance, from half the mean to one and a half.
func (w *Simulation) around(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + w.chance.Float64()))
}

// working returns how many of a pool's members really serve.
func (w *Simulation) working(s *assign.State, pool string) int {
	n := 0
	for _, member := range s.Members() {
		if member.Pool == pool && member.Phase == assign.Serving && w.byID[member.ID].info.State == pointport.InstanceLive {
			n++
		}
	}
	return n
}

// leastLeft returns the least budget that any pool has left.
func (w *Simulation) leastLeft() int {
	least := 1 << 30
	for _, t := range w.templates {
		least = min(least, share(t)-max(0, t.Pool.Size-w.working(w.state, t.Name)))
	}
	return least
}

func (w *Simulation) count(d time.Duration) {
	w.tally.MinBudgetLeft = min(w.tally.MinBudgetLeft, w.leastLeft())
	spare := len(w.machines)
	for _, t := range w.templates {
		spare -= t.Pool.Size
	}
	w.tally.SpareHours += float64(spare) * d.Hours()
	for _, member := range w.state.Members() {
		if member.Wave != "" {
			w.tally.Work += d
		}
	}
}

// check counts what a change does, and whether the budget allows it: a pool
// from which the change takes an instance must keep its size less its budget.
func (w *Simulation) check(c assign.Change) {
	started := make(map[string]bool)
	next, err := w.state.Apply(assign.Change{Version: w.state.Version() + 1, Steps: c.Steps})
	if err != nil {
		panic("evaluate: " + err.Error())
	}
	for _, s := range c.Steps {
		before, known := w.state.Member(s.Instance)
		if s.After == nil || !known {
			continue
		}
		if s.After.Pool != before.Pool && s.After.Pool != "" {
			w.tally.Moves++
		}
		if before.Phase == assign.Serving && s.After.Phase == assign.Draining {
			started[before.Pool] = true
			w.tally.Drains++
		}
	}
	for _, t := range w.templates {
		if started[t.Name] && w.working(next, t.Name) < t.Pool.Size-share(t) {
			w.tally.BudgetViolations++
		}
	}
}
