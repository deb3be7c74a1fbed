package placer_test

import (
	"context"
	"errors"
	"testing"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// What users would see: a task that begins in an availability zone after it was evacuated.
// The order of events: a job is given to an instance and that is committed, the order to start
// it never arrives, the zone is evacuated, and the placer tells what was committed again.
func TestCommittedStartIsNotToldInAnEvacuatedZone(t *testing.T) {
	g := newGrid(t)
	j, err := g.submit("a", 1000, false)
	if err != nil {
		t.Fatal(err)
	}
	lost := &unreachable{fakeRunner: g.runner, cut: true}
	p, log := g.placerWith(lost)
	round := func() {
		t.Helper()
		if err := log.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := p.Round(t.Context()); err != nil && !lost.cut {
			t.Fatal(err)
		}
	}
	round()
	open := g.config
	o := config.NewObject(&config.Evacuation{Name: "zone-a"})
	if g.config, err = open.Apply(config.Change{ID: "e", Version: open.Version() + 1, Object: &o}); err != nil {
		t.Fatal(err)
	}
	lost.cut = false
	round()
	if n := g.runner.starts[j.ID]; n != 0 {
		t.Fatalf("the job has started %d times in the evacuated zone", n)
	}
	g.config = open
	round()
	if n := g.runner.starts[j.ID]; n != 1 {
		t.Errorf("the job has started %d times after the zone was opened, want 1", n)
	}
}

// An unreachable runner starts nothing while it is cut off.
type unreachable struct {
	*fakeRunner
	cut bool
}

var errCutOff = errors.New("no route")

// StartTask starts a task unless the runner is cut off.
func (u *unreachable) StartTask(ctx context.Context, task pointport.Task) error {
	if u.cut {
		return &pointport.UnavailableError{Op: "start", Err: errCutOff}
	}
	return u.fakeRunner.StartTask(ctx, task)
}
