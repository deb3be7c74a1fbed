package evaluate

import (
	"fmt"
	"time"

	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
)

// This file defines the measurement of a wave over one pool.

// A RollOut is a wave over one pool of a zone.
type RollOut struct {
	Name                    string
	Size                    int // instances that must serve
	Spare                   int // instances beyond them
	Budget                  int // how many of Size may be out
	Drain                   time.Duration
	Reboot                  time.Duration
	MeanTimeBetweenFailures time.Duration // mean time between failures of any instance; zero for none
	FailureDuration         time.Duration
	Seed                    uint64
}

// An Outcome is what a roll-out came to.
type Outcome struct {
	Duration   time.Duration
	LowerBound time.Duration // the shortest that the budget allows
	Stats
}

// step is the time between decisions.
const step = time.Second

// maxDuration bounds a roll-out that does not end.
const maxDuration = 30 * 24 * time.Hour

// drainQuiet is how long a drained instance is watched before it reboots.
const drainQuiet = time.Second

// Run measures the roll-out under a policy.
func (r *RollOut) Run(policy Policy) (Outcome, error) {
	text := fmt.Sprintf("kind: Template\nname: pool\npool: {size: %d, spare: \"%d\"}\nmaintenance: {budget: \"%d\", speed: \"100%%\", drainQuiet: %s, drainBound: 4h, returnBound: 4h, stopAfter: 1000}\n",
		r.Size, r.Spare, r.Budget, drainQuiet)
	objects, err := config.Parse("roll-out", []byte(text))
	if err != nil {
		return Outcome{}, err
	}
	w := NewSimulation(policy, r.Seed, r.Size+r.Spare, r.Drain, r.Reboot, []*config.Template{objects[0].Template()})
	w.SetWaves([]assign.WaveOrder{{Wave: &config.Wave{Name: "wave", Template: "pool", State: config.WaveRun}, Version: 1}})
	start := w.Now()
	for w.Now().Sub(start) < maxDuration {
		if r.MeanTimeBetweenFailures > 0 && w.rng.Float64() < float64(step)/float64(r.MeanTimeBetweenFailures) {
			w.Fail(w.rng.IntN(len(w.machines)), r.FailureDuration)
		}
		w.Step(step)
		if wave, ok := w.State().Wave("wave"); ok && !wave.Ended.IsZero() {
			return Outcome{w.Now().Sub(start), r.bound(w), w.Stats()}, nil
		}
	}
	return Outcome{}, fmt.Errorf("the roll-out %s did not end in %v", r.Name, maxDuration)
}

// bound returns the shortest roll-out that the budget allows: all the time that
// instances were out, spread evenly over as many as may be out at once.
func (r *RollOut) bound(w *Simulation) time.Duration {
	return w.Stats().Work / time.Duration(r.Budget+r.Spare)
}
