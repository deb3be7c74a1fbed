package evaluate

import (
	"fmt"
	"time"

	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
)

// This file defines the simulation of a wave over one pool.

// A RollOut is a wave over one pool of a zone.
type RollOut struct {
	Name                    string
	Size                    int           // instances that must serve
	Spare                   int           // instances in addition to them
	Budget                  int           // how many of Size may be out
	Drain                   time.Duration // mean time to drain an instance
	Reboot                  time.Duration // mean time to reboot an instance
	MeanTimeBetweenFailures time.Duration // of any instance; zero for none
	FailureDuration         time.Duration
	Seed                    uint64
}

// An Outcome is the result of a roll-out.
type Outcome struct {
	Duration   time.Duration
	LowerBound time.Duration // the shortest that the budget allows
	Stats
}

// step is the time between decisions.
const step = time.Second

// maxDuration is after how long a roll-out that does not end is given up.
const maxDuration = 30 * 24 * time.Hour

// drainQuiet is how long a drained instance is observed before it reboots.
const drainQuiet = time.Second

// Run simulates the roll-out under a policy. It returns an error if the roll-out does not end
// within 30 days of simulated time.
func (r *RollOut) Run(policy Policy) (Outcome, error) {
	text := fmt.Sprintf("kind: Template\nname: pool\npool: {size: %d, spare: \"%d\"}\nmaintenance: {budget: \"%d\", speed: \"100%%\", drainQuiet: %s, drainBound: 4h, returnBound: 4h, stopAfter: 1000}\n",
		r.Size, r.Spare, r.Budget, drainQuiet)
	objects, err := config.Parse("roll-out", []byte(text))
	if err != nil {
		return Outcome{}, err
	}
	sim := NewSimulation(policy, r.Seed, r.Size+r.Spare, r.Drain, r.Reboot, []*config.Template{objects[0].Template()})
	sim.SetWaves([]assign.WaveOrder{{Wave: &config.Wave{Name: "wave", Template: "pool", State: config.WaveRun}, Version: 1}})
	start := sim.Now()
	for sim.Now().Sub(start) < maxDuration {
		if r.MeanTimeBetweenFailures > 0 && sim.rng.Float64() < float64(step)/float64(r.MeanTimeBetweenFailures) {
			sim.Fail(sim.rng.IntN(len(sim.machines)), r.FailureDuration)
		}
		sim.Step(step)
		if wave, ok := sim.State().Wave("wave"); ok && !wave.Ended.IsZero() {
			return Outcome{sim.Now().Sub(start), r.bound(sim), sim.Stats()}, nil
		}
	}
	return Outcome{}, fmt.Errorf("roll-out %q did not end within %v", r.Name, maxDuration)
}

// bound returns the shortest roll-out that the budget allows: the sum of the times that
// instances were out, divided by how many may be out at once.
func (r *RollOut) bound(sim *Simulation) time.Duration {
	return sim.Stats().Work / time.Duration(r.Budget+r.Spare)
}
