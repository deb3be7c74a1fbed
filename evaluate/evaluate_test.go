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
// No step may be started that the budget does not allow; each instance has one
// pool and changes it only when it is not serving; and without events the
// moves stop and the waves end or say what they wait for.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := func() []*config.Template {
			return []*config.Template{
				template(t, "a", rapid.IntRange(0, 8).Draw(t, "size a"), rapid.IntRange(0, 2).Draw(t, "spare a"), rapid.IntRange(0, 3).Draw(t, "budget a")),
				template(t, "b", rapid.IntRange(0, 8).Draw(t, "size b"), rapid.IntRange(0, 2).Draw(t, "spare b"), rapid.IntRange(0, 3).Draw(t, "budget b")),
			}
		}
		w := evaluate.NewSimulation(watch(t), 1, rapid.IntRange(1, 16).Draw(t, "instances"), 20*time.Second, time.Minute, sizes())
		version := 1
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			version++
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				w.SetTemplates(sizes())
			case 1:
				states := []config.WaveState{config.WaveRun, config.WavePause, config.WaveCancel}
				w.SetWaves([]assign.WaveOrder{
					order("one", "a", rapid.SampledFrom(states).Draw(t, "one"), version),
					order("two", "b", rapid.SampledFrom(states).Draw(t, "two"), version),
				})
			case 2, 3:
				w.Fail(rapid.IntRange(0, 15).Draw(t, "instance"), time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds"))*time.Second)
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				w.Step(time.Second)
			}
		}
		if n := w.Stats().BudgetViolations; n > 0 {
			t.Fatalf("%d steps broke a budget", n)
		}
		checkRest(t, w)
	})
}

// watch returns the policy in use, and checks what it does to pools.
func watch(t *rapid.T) evaluate.Policy {
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

// checkRest lets events stop.
func checkRest(t *rapid.T, w *evaluate.Simulation) {
	for range 200 {
		w.Step(time.Minute)
	}
	before := w.Stats()
	for range 60 {
		w.Step(time.Minute)
	}
	if after := w.Stats(); after.Changes != before.Changes {
		t.Fatalf("%d changes long after the last event", after.Changes-before.Changes)
	}
	for _, wave := range w.State().Waves() {
		if e := assign.ExplainWave(w.State(), wave); wave.Ended.IsZero() && e.Stands == "" {
			t.Fatalf("wave %s neither ended nor says what it waits for", wave.Name)
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
		t.Errorf("the roll-out takes %.2f times its bound", took["window"])
	}
	if took["window"] >= took["barrier"] || took["window"] >= took["one at a time"] {
		t.Errorf("a baseline is as fast: %v", took)
	}
}
