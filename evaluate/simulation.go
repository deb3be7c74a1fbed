// Package evaluate compares policies for taking instances out of service by simulation: a
// policy gets events and returns actions, in steps of a fake clock. It does not
// simulate a whole cluster: instances drain, reboot and fail by given times, and
// nothing else happens.
//
// A Simulation is one availability zone with its instances and one or more pools.
// In each step it calls the policy, applies the decision and advances the
// instances to the current time. It records the roll-out time, moves, the cost of
// spare instances and the smallest remaining budget.
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

// This file defines the simulation and its steps.

// zone is the zone of every simulation.
const zone = pointport.ZoneID("zone-a")

// A Policy returns the changes to make for an input.
type Policy func(assign.Input) assign.Change

// A machine is the actual state of an instance.
type machine struct {
	info       pointport.Instance
	drainedAt  time.Time // when a draining instance becomes idle
	backAt     time.Time // when an instance that is down comes back
	quietSince time.Time // since when the policy sees it idle
}

// A Simulation is one zone under a policy.
type Simulation struct {
	policy    Policy
	rng       *rand.Rand
	now       time.Time
	state     *assign.State
	templates []*config.Template
	waves     []assign.WaveOrder
	machines  []*machine
	byID      map[pointport.InstanceID]*machine

	drainMean, rebootMean time.Duration
	stats                 Stats
}

// Stats holds the counts of a simulation.
type Stats struct {
	Moves            int           // instances that changed their pool after the initial assignment
	Drains           int           // instances that waves took out
	Failures         int           // instances that failed by themselves
	SpareHours       float64       // instance-hours beyond the sizes of the pools
	MinBudgetLeft    int           // the smallest budget that any pool had left
	BudgetViolations int           // changes that took a pool below its size less its budget, by pool
	Decisions        int           // decisions made
	Changes          int           // decisions that changed something: writes to the store
	Work             time.Duration // time that instances were out of service in waves
}

// NewSimulation returns a simulation of n instances whose initial assignment is complete.
func NewSimulation(policy Policy, seed uint64, n int, drainMean, rebootMean time.Duration, templates []*config.Template) *Simulation {
	sim := &Simulation{
		policy: policy, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_800_000_000, 0),
		state: assign.NewState(), templates: templates, byID: make(map[pointport.InstanceID]*machine),
		drainMean: drainMean, rebootMean: rebootMean,
	}
	for i := range n {
		m := &machine{info: pointport.Instance{
			ID: pointport.InstanceID(fmt.Sprintf("i%05d", i)), Zone: zone, Rack: fmt.Sprint("rack-", i/4),
			Address: fmt.Sprint("10.0.0.1:", i), Boots: 1, State: pointport.InstanceLive,
			Shape: pointport.Shape{CPUMilli: 16000, MemoryMiB: 32768},
		}}
		sim.machines = append(sim.machines, m)
		sim.byID[m.info.ID] = m
	}
	for changes := -1; changes != sim.stats.Changes; {
		changes = sim.stats.Changes
		sim.Step(time.Second)
	}
	sim.stats = Stats{MinBudgetLeft: sim.minBudgetLeft()}
	return sim
}

// Stats returns the counts so far.
func (sim *Simulation) Stats() Stats { return sim.stats }

// State returns the assignment.
func (sim *Simulation) State() *assign.State { return sim.state }

// Now returns the simulated time.
func (sim *Simulation) Now() time.Time { return sim.now }

// SetTemplates changes the templates of the pools.
func (sim *Simulation) SetTemplates(templates []*config.Template) { sim.templates = templates }

// SetWaves changes the waves.
func (sim *Simulation) SetWaves(waves []assign.WaveOrder) { sim.waves = waves }

// Fail lets instance n, modulo the number of instances, fail for d. It does nothing if the
// instance is down already.
func (sim *Simulation) Fail(n int, d time.Duration) {
	m := sim.machines[n%len(sim.machines)]
	if m.info.State == pointport.InstanceDown {
		return
	}
	sim.stats.Failures++
	sim.down(m, d)
}

// down takes an instance down for d.
func (sim *Simulation) down(m *machine, d time.Duration) {
	m.info.State, m.backAt, m.quietSince = pointport.InstanceDown, sim.now.Add(d), time.Time{}
}

// Step advances the time by d and then calls the policy once.
func (sim *Simulation) Step(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.advance()
	sim.accumulate(d)
	sim.stats.Decisions++
	c := sim.policy(sim.input())
	if c.Empty() {
		sim.applyState()
		return
	}
	sim.stats.Changes++
	sim.countChange(c)
	c.Version = sim.state.Version() + 1
	next, err := sim.state.Apply(c)
	if err != nil {
		panic("evaluate: " + err.Error())
	}
	sim.state = next
	sim.applyState()
}

// advance updates each instance to the current time.
func (sim *Simulation) advance() {
	for _, m := range sim.machines {
		m.info.Reported = sim.now
		if m.info.State == pointport.InstanceDown && !sim.now.Before(m.backAt) {
			m.info.State = pointport.InstanceLive
			m.info.Boots++
		}
		if m.info.State == pointport.InstanceLeaving && !sim.now.Before(m.drainedAt) && m.quietSince.IsZero() {
			m.quietSince = sim.now
		}
	}
}

func (sim *Simulation) input() assign.Input {
	in := assign.Input{
		Now: sim.now, Zone: zone, Zones: []pointport.ZoneID{zone}, State: sim.state, Templates: sim.templates, Waves: sim.waves,
		IdleFor: make(map[pointport.InstanceID]time.Duration), Share: share,
	}
	for _, m := range sim.machines {
		in.Listed = append(in.Listed, m.info)
		if !m.quietSince.IsZero() {
			in.IdleFor[m.info.ID] = sim.now.Sub(m.quietSince)
		}
	}
	return in
}

// share returns the budget of the only zone.
func share(t *config.Template) int { return t.Maintenance.Budget.RoundDown(t.Pool.Size) }

// applyState carries out what the committed state requires.
func (sim *Simulation) applyState() {
	for _, member := range sim.state.Members() {
		m := sim.byID[member.ID]
		if m.info.Boots != member.Boots {
			continue
		}
		switch {
		case member.Phase == assign.Draining && m.info.State == pointport.InstanceLive:
			m.info.State, m.drainedAt = pointport.InstanceLeaving, sim.now.Add(sim.jitter(sim.drainMean))
		case member.Phase == assign.Rebooting && m.info.State != pointport.InstanceDown:
			sim.down(m, sim.jitter(sim.rebootMean))
		case (member.Phase == assign.Serving || member.Phase == assign.Spare) && m.info.State == pointport.InstanceLeaving:
			m.info.State, m.quietSince = pointport.InstanceLive, time.Time{}
		}
	}
}

// jitter returns a random time between half the mean and one and a half times the mean.
func (sim *Simulation) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + sim.rng.Float64()))
}

// serving returns how many of a pool's members serve and are up.
func (sim *Simulation) serving(s *assign.State, pool string) int {
	n := 0
	for _, member := range s.Members() {
		if member.Pool == pool && member.Phase == assign.Serving && sim.byID[member.ID].info.State == pointport.InstanceLive {
			n++
		}
	}
	return n
}

// minBudgetLeft returns the smallest budget that any pool has left.
func (sim *Simulation) minBudgetLeft() int {
	least := 1 << 30
	for _, t := range sim.templates {
		least = min(least, share(t)-max(0, t.Pool.Size-sim.serving(sim.state, t.Name)))
	}
	return least
}

// accumulate adds a step of length d to the statistics.
func (sim *Simulation) accumulate(d time.Duration) {
	sim.stats.MinBudgetLeft = min(sim.stats.MinBudgetLeft, sim.minBudgetLeft())
	spare := len(sim.machines)
	for _, t := range sim.templates {
		spare -= t.Pool.Size
	}
	sim.stats.SpareHours += float64(spare) * d.Hours()
	for _, member := range sim.state.Members() {
		if member.Wave != "" {
			sim.stats.Work += d
		}
	}
}

// countChange counts the moves and drains of a change, and whether it violates the budget: a pool
// from which the change takes an instance must keep its size less its budget.
func (sim *Simulation) countChange(c assign.Change) {
	started := make(map[string]bool)
	next, err := sim.state.Apply(assign.Change{Version: sim.state.Version() + 1, Steps: c.Steps})
	if err != nil {
		panic("evaluate: " + err.Error())
	}
	for _, s := range c.Steps {
		before, known := sim.state.Member(s.Instance)
		if s.After == nil || !known {
			continue
		}
		if s.After.Pool != before.Pool && s.After.Pool != "" {
			sim.stats.Moves++
		}
		if before.Phase == assign.Serving && s.After.Phase == assign.Draining {
			started[before.Pool] = true
			sim.stats.Drains++
		}
	}
	for _, t := range sim.templates {
		if started[t.Name] && sim.serving(next, t.Name) < t.Pool.Size-share(t) {
			sim.stats.BudgetViolations++
		}
	}
}
