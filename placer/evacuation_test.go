package placer_test

import (
	"context"
	"errors"
	"testing"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// TestCommittedStartIsNotSentInAnEvacuatedZone guards against a task that starts
// in an availability zone after the zone was evacuated. A job is assigned to an
// instance and the assignment is committed, but the order to start the task is
// lost. After the evacuation the placer sends the orders for the committed state
// again. The start must be sent only once the zone is open.
func TestCommittedStartIsNotSentInAnEvacuatedZone(t *testing.T) {
	g := newFixture(t)
	j, err := g.submit("a", 1000, false)
	if err != nil {
		t.Fatal(err)
	}
	runner := &unreachableRunner{fakeRunner: g.runner, unavailable: true}
	p, log := g.placerWith(runner)
	round := func() {
		t.Helper()
		if err := log.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := p.Round(t.Context()); err != nil && !runner.unavailable {
			t.Fatal(err)
		}
	}
	round()
	open := g.config
	o := config.NewObject(&config.Evacuation{Name: "zone-a"})
	if g.config, err = open.Apply(config.Change{ID: "e", Version: open.Version() + 1, Object: &o}); err != nil {
		t.Fatal(err)
	}
	runner.unavailable = false
	round()
	if n := g.runner.starts[j.ID]; n != 0 {
		t.Fatalf("the job has started %d times in the evacuated zone, want 0", n)
	}
	g.config = open
	round()
	if n := g.runner.starts[j.ID]; n != 1 {
		t.Errorf("the job has started %d times after the zone was opened, want 1", n)
	}
}

// An unreachableRunner is a fakeRunner that starts nothing while it is
// unavailable.
type unreachableRunner struct {
	*fakeRunner
	unavailable bool
}

var errNoRoute = errors.New("no route")

// StartTask starts a task unless the runner is unavailable.
func (u *unreachableRunner) StartTask(ctx context.Context, task pointport.Task) error {
	if u.unavailable {
		return &pointport.UnavailableError{Op: "start", Err: errNoRoute}
	}
	return u.fakeRunner.StartTask(ctx, task)
}
