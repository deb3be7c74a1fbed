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
	fx := newFixture(t)
	j, err := fx.submit("a", 1000, false)
	if err != nil {
		t.Fatal(err)
	}
	runner := &unreachableRunner{fakeRunner: fx.runner, unavailable: true}
	p, log := fx.placerWith(runner)
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
	open := fx.config
	o := config.NewObject(&config.Evacuation{Name: "zone-a"})
	if fx.config, err = open.Apply(config.Change{ID: "e", Version: open.Version() + 1, Object: &o}); err != nil {
		t.Fatal(err)
	}
	runner.unavailable = false
	round()
	if n := fx.runner.starts[j.ID]; n != 0 {
		t.Fatalf("the job has started %d times in the evacuated zone, want 0", n)
	}
	fx.config = open
	round()
	if n := fx.runner.starts[j.ID]; n != 1 {
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
