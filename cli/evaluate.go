package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pointport/pointport/evaluate"
)

// This file defines the subcommand that evaluates the decisions about waves in a simulation.

// rollOuts returns the simulated roll-outs: one availability zone's part of each user's
// fleet, and of the larger fleet that the system is designed for.
func rollOuts() []evaluate.RollOut {
	const drain, reboot = time.Minute, 3 * time.Minute
	return []evaluate.RollOut{
		{Name: "12 instances, budget 1", Size: 12, Budget: 1, Drain: drain, Reboot: reboot, Seed: 1},
		{Name: "12 instances, budget 1, spare 1", Size: 12, Spare: 1, Budget: 1, Drain: drain, Reboot: reboot, Seed: 1},
		{Name: "40 instances, budget 4", Size: 40, Budget: 4, Drain: drain, Reboot: reboot, Seed: 1},
		{Name: "40 instances, budget 4, a failure each 10 min", Size: 40, Budget: 4, Drain: drain, Reboot: reboot, MeanTimeBetweenFailures: 10 * time.Minute, FailureDuration: 4 * time.Minute, Seed: 1},
		{Name: "250 instances, budget 25", Size: 250, Budget: 25, Drain: drain, Reboot: reboot, Seed: 1},
		{Name: "2000 instances, budget 200", Size: 2000, Budget: 200, Drain: drain, Reboot: reboot, Seed: 1},
	}
}

// Evaluate returns the subcommand that simulates waves with a fake clock and compares the
// policies that decide about them.
func Evaluate() *Command {
	c := newCommand("evaluate", "", "measure the decisions about waves alone, by a fake clock, against baselines")
	var seed, largest int
	c.set.Int(&seed, "seed", 1, "seed of drain times, reboot times and failures", 0, 1<<30)
	c.set.Int(&largest, "largest", 2000, "leave out cases with more instances", 1, 20000)
	c.run = func(_ context.Context, out io.Writer, args []string) error {
		if err := requireArgs(args, 0, "no arguments"); err != nil {
			return err
		}
		fmt.Fprintln(out, "| roll-out | policy | took | times its bound | worst budget left | steps over budget | spare instance-hours | failures | writes |")
		fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, r := range rollOuts() {
			if r.Size > largest {
				continue
			}
			r.Seed = uint64(seed)
			if err := evaluateOne(out, r); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

// maxSequentialSize is the largest number of instances for which the policy "one at a time"
// is simulated.
const maxSequentialSize = 100

// evaluateOne simulates a roll-out with each policy and prints a table row for each.
func evaluateOne(out io.Writer, r evaluate.RollOut) error {
	for _, name := range []string{"window", "barrier", "one at a time"} {
		if name == "one at a time" && r.Size > maxSequentialSize {
			continue // would simulate days without any new finding
		}
		o, err := r.Run(evaluate.Policies()[name])
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %s | %s | %v | %.2f | %d | %d | %.1f | %d | %d |\n", r.Name, name, o.Duration.Round(time.Second),
			float64(o.Duration)/float64(o.LowerBound), o.MinBudgetLeft, o.BudgetViolations, o.SpareHours, o.Failures, o.Changes)
	}
	return nil
}
