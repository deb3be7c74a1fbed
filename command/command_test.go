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

// Guards against a cancelled wave that can no longer be written once its template was removed, which
// cancelled waves do not prevent.
func TestCancelledWaveNeedsNoTemplate(t *testing.T) {
	c := newClock()
	log := changelog.New[*config.State, config.Change](memory.New(c), c, "config", config.NewState())
	configure := func(document, removed string) error {
		p := command.Proposal{Author: "operator", Removed: removed, ReadVersion: command.AnyVersion}
		if document != "" {
			objects, err := config.Parse("test", []byte(document))
			if err != nil {
				t.Fatal(err)
			}
			p.Object = &objects[0]
		}
		_, err := command.Configure(context.Background(), log, c, p)
		return err
	}
	const template, wave = "kind: Template\nname: proof\npool: {size: 3}\n", "kind: Wave\nname: kernel\ntemplate: proof\nstate: "
	for _, document := range []string{template, wave + "run\n"} {
		if err := configure(document, ""); err != nil {
			t.Fatal(err)
		}
	}
	var dangling *command.ReferenceError
	if err := configure("", config.ID(config.KindTemplate, "proof")); !errors.As(err, &dangling) {
		t.Errorf("removing the template of a running wave: %v, want a *ReferenceError", err)
	}
	if err := configure(wave+"cancel\n", ""); err != nil {
		t.Fatal(err)
	}
	if err := configure("", config.ID(config.KindTemplate, "proof")); err != nil {
		t.Fatalf("removing the template of a cancelled wave: %v", err)
	}
	if err := configure(wave+"cancel\n", ""); err != nil {
		t.Errorf("writing the cancelled wave again: %v", err)
	}
	if err := configure(wave+"run\n", ""); !errors.As(err, &dangling) {
		t.Errorf("starting the wave again: %v, want a *ReferenceError", err)
	}
}
