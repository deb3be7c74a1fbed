package command_test

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/command"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/job"
	"github.com/pointport/pointport/memory"
)

// newClock returns a clock for logs that no test waits for.
func newClock() pointport.Clock { return clock.NewFake(time.Unix(1_800_000_000, 0)) }

// Guards against a need that overflows when it is added to what its customer uses: the check of the
// customer's quota would pass.
func TestJobsWithExcessiveNeedsAreRefused(t *testing.T) {
	c := newClock()
	log := changelog.New[*job.State, job.Change](memory.New(c), c, "jobs", job.NewState())
	for name, need := range map[string]pointport.Shape{
		"processor":    {CPUMilli: math.MaxInt64},
		"memory":       {CPUMilli: 1, MemoryMiB: math.MaxInt64},
		"accelerators": {CPUMilli: 1, Accelerators: 1 << 40},
	} {
		_, err := command.Submit(context.Background(), log, c, command.Submission{
			Key: name, Customer: "c", Kind: "k", Service: "s", Need: need, Runtime: config.NewDuration(time.Second),
		})
		var invalid *command.FieldError
		if !errors.As(err, &invalid) || invalid.Field != "need" {
			t.Errorf("%s: %v, want a *FieldError of need", name, err)
		}
	}
}
