package evaluate_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/evaluate"
	_ "github.com/pointport/pointport/internal/fixedseed"
)

func template(t interface{ Fatal(...any) }, name string, size, spare, budget int) *config.Template {
	text := fmt.Sprintf("kind: Template\nname: %s\npool: {size: %d, spare: \"%d\"}\nmaintenance: {budget: \"%d\", speed: \"50%%\", drainQuiet: 1s, drainBound: 5m, returnBound: 5m}\n", name, size, spare, budget)
	objects, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return objects[0].Template()
}

func order(name, pool string, state config.WaveState, version int) assign.WaveOrder {
	return assign.WaveOrder{Wave: &config.Wave{Name: name, Template: pool, State: state}, Version: config.Version(version)}
}

// TestBudgetHolds runs waves, moves, bursts and failures in any interleaving.
// No step may start that the budget does not allow. Each instance has one pool and
// changes it only while it is not serving. Without further events the
// moves stop, and each wave ends or explains what it waits for.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := func() []*config.Template {
			return []*config.Template{
				template(t, "a", rapid.IntRange(0, 8).Draw(t, "size a"), rapid.IntRange(0, 2).Draw(t, "spare a"), rapid.IntRange(0, 3).Draw(t, "budget a")),
				template(t, "b", rapid.IntRange(0, 8).Draw(t, "size b"), rapid.IntRange(0, 2).Draw(t, "spare b"), rapid.IntRange(0, 3).Draw(t, "budget b")),
			}
		}
		sim := evaluate.NewSimulation(checkPoolChanges(t), 1, rapid.IntRange(1, 16).Draw(t, "instances"), 20*time.Second, time.Minute, sizes())
		version := 1
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			version++
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				sim.SetTemplates(sizes())
			case 1:
				states := []config.WaveState{config.WaveRun, config.WavePause, config.WaveCancel}
				sim.SetWaves([]assign.WaveOrder{
					order("one", "a", rapid.SampledFrom(states).Draw(t, "one"), version),
					order("two", "b", rapid.SampledFrom(states).Draw(t, "two"), version),
				})
			case 2, 3:
				sim.Fail(rapid.IntRange(0, 15).Draw(t, "instance"), time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds"))*time.Second)
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				sim.Step(time.Second)
			}
		}
		if n := sim.Stats().BudgetViolations; n > 0 {
			t.Fatalf("%d changes violated a budget", n)
		}
		checkSettles(t, sim)
	})
}

// checkPoolChanges returns the policy in use, and checks that no serving instance changes its pool.
func checkPoolChanges(t *rapid.T) evaluate.Policy {
	return func(in assign.Input) assign.Change {
		c := assign.Decide(in)
		for _, s := range c.Steps {
			before, known := in.State.Member(s.Instance)
			if s.After == nil || !known || s.After.Pool == before.Pool {
				continue
			}
			if before.Phase == assign.Serving {
				t.Fatalf("%s changes from pool %q to %q while it serves: %s", s.Instance, before.Pool, s.After.Pool, s.Reason)
			}
		}
		return c
	}
}

// checkSettles checks that the simulation settles once no more events happen.
func checkSettles(t *rapid.T, sim *evaluate.Simulation) {
	for range 200 {
		sim.Step(time.Minute)
	}
	before := sim.Stats()
	for range 60 {
		sim.Step(time.Minute)
	}
	if after := sim.Stats(); after.Changes != before.Changes {
		t.Fatalf("%d changes long after the last event", after.Changes-before.Changes)
	}
	for _, wave := range sim.State().Waves() {
		if e := assign.ExplainWave(sim.State(), wave); wave.Ended.IsZero() && e.Stands == "" {
			t.Fatalf("wave %s neither ended nor explains what it waits for", wave.Name)
		}
	}
}

// TestRollOutIsNearItsBound compares the roll-out with the shortest that the
// budget allows, and with the baselines.
func TestRollOutIsNearItsBound(t *testing.T) {
	r := evaluate.RollOut{Name: "test", Size: 60, Spare: 0, Budget: 6, Drain: time.Minute, Reboot: 3 * time.Minute, Seed: 1}
	took := make(map[string]float64)
	for name, policy := range evaluate.Policies() {
		o, err := r.Run(policy)
		if err != nil {
			t.Fatal(err)
		}
		if o.BudgetViolations > 0 || o.MinBudgetLeft < 0 {
			t.Errorf("%s: %+v", name, o)
		}
		took[name] = float64(o.Duration) / float64(o.LowerBound)
	}
	if took["window"] > 1.25 {
		t.Errorf("the roll-out takes %.2f times its lower bound", took["window"])
	}
	if took["window"] >= took["barrier"] || took["window"] >= took["one at a time"] {
		t.Errorf("a baseline is as fast: %v", took)
	}
}
