package evaluate

import (
	"github.com/pointport/pointport/assign"
)

// This file defines the policy in use and the baselines that it is compared with.

// Window is the policy in use: the next instance starts when one returns.
func Window(in assign.Input) assign.Change { return assign.Decide(in) }

// Barrier is a baseline: a batch starts only when the previous one has returned completely.
func Barrier(in assign.Input) assign.Change {
	return filterStarts(in, func(under int) bool { return under == 0 })
}

// OneAtATime is a baseline: one instance is out at a time.
func OneAtATime(in assign.Input) assign.Change {
	started := 0
	return filterStarts(in, func(under int) bool {
		started++
		return under == 0 && started == 1
	})
}

// filterStarts decides as the policy in use does, but drops those starts of wave steps for
// which may returns false, given how many instances of the pool are out in waves.
func filterStarts(in assign.Input, may func(under int) bool) assign.Change {
	under := make(map[string]int)
	for _, m := range in.State.Members() {
		if m.Wave != "" {
			under[m.Pool]++
		}
	}
	c := assign.Decide(in)
	kept := c.Steps[:0]
	for _, s := range c.Steps {
		starts := s.After != nil && s.After.Wave != "" && s.After.Phase == assign.Draining
		if starts && !may(under[s.After.Pool]) {
			continue
		}
		kept = append(kept, s)
	}
	c.Steps = kept
	return c
}

// Policies returns the policies by name.
func Policies() map[string]Policy {
	return map[string]Policy{"window": Window, "barrier": Barrier, "one at a time": OneAtATime}
}
