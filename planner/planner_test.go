package planner_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/planner"
)

// A fakeFleet simulates the platform's list and its instances.
type fakeFleet struct {
	clock     *clock.Fake
	order     []pointport.InstanceID
	instances map[pointport.InstanceID]*pointport.Instance
	back      map[pointport.InstanceID]time.Time
	busy      map[pointport.InstanceID]bool // never becomes idle
	dead      map[pointport.InstanceID]bool // does not come back from a reboot
	calls     int
	commands  int // calls that change an instance
	failAt    int // the first call that fails, as do all after it; zero for none
	lostAt    int // the call of a command that fails and takes effect; zero for none
	// firstFailedIsCommand reports whether the first call that failed was a command.
	firstFailedIsCommand bool
	reboots              map[pointport.InstanceID]int
}

var errFleet = errors.New("the platform is unavailable")

func newFakeFleet(c *clock.Fake, n int) *fakeFleet {
	f := &fakeFleet{
		clock: c, instances: make(map[pointport.InstanceID]*pointport.Instance), back: make(map[pointport.InstanceID]time.Time),
		busy: make(map[pointport.InstanceID]bool), dead: make(map[pointport.InstanceID]bool), reboots: make(map[pointport.InstanceID]int),
	}
	for i := range n {
		id := pointport.InstanceID(fmt.Sprint("i", i))
		f.order = append(f.order, id)
		f.instances[id] = &pointport.Instance{ID: id, Address: fmt.Sprint("10.0.0.1:", i), Zone: "zone-a", Rack: fmt.Sprint("r", i/2), Boots: 1, State: pointport.InstanceLive}
	}
	return f
}

func (f *fakeFleet) call() error {
	f.calls++
	if f.failAt > 0 && f.calls >= f.failAt {
		return &pointport.UnavailableError{Op: "fleet", Err: errFleet}
	}
	return nil
}

func (f *fakeFleet) Instances(context.Context, pointport.ZoneID) ([]pointport.Instance, error) {
	if err := f.call(); err != nil {
		return nil, err
	}
	var out []pointport.Instance
	for _, id := range f.order {
		i := f.instances[id]
		if back, down := f.back[id]; down && !f.clock.Now().Before(back) && !f.dead[id] {
			delete(f.back, id)
			i.State = pointport.InstanceLive
			i.Boots++
		}
		i.Reported = f.clock.Now()
		i.InFlight = 0
		if f.busy[id] {
			i.InFlight = 1
		}
		out = append(out, *i)
	}
	return out, nil
}

func (f *fakeFleet) command(id pointport.InstanceID, boots int64, act func(*pointport.Instance)) error {
	f.commands++
	err := f.call()
	if err != nil && f.calls == f.failAt {
		f.firstFailedIsCommand = true
	}
	if err != nil && f.calls != f.lostAt {
		return err
	}
	if i := f.instances[id]; i.Boots == boots && i.State != pointport.InstanceDown {
		act(i)
	}
	return err
}

func (f *fakeFleet) Drain(_ context.Context, id pointport.InstanceID, boots int64) error {
	return f.command(id, boots, func(i *pointport.Instance) { i.State = pointport.InstanceLeaving })
}

func (f *fakeFleet) Restore(_ context.Context, id pointport.InstanceID, boots int64) error {
	return f.command(id, boots, func(i *pointport.Instance) { i.State = pointport.InstanceLive })
}

func (f *fakeFleet) Reboot(_ context.Context, id pointport.InstanceID, boots int64) error {
	return f.command(id, boots, func(i *pointport.Instance) {
		i.State = pointport.InstanceDown
		f.reboots[id]++
		f.back[id] = f.clock.Now().Add(10 * time.Second)
	})
}

// fakeConfig is a configuration without change notifications.
type fakeConfig struct{ state *config.State }

func (f *fakeConfig) State() *config.State       { return f.state }
func (*fakeConfig) Changed() <-chan struct{}     { return nil }
func (f *fakeConfig) add(t *testing.T, s string) { f.state = applyConfig(t, f.state, s) }

func applyConfig(t *testing.T, s *config.State, text string) *config.State {
	t.Helper()
	objects, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	next, err := s.Apply(config.Change{ID: "c", Version: s.Version() + 1, Object: &objects[0]})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// alwaysElected holds the lease, as a paused holder believes it does.
type alwaysElected struct{}

func (alwaysElected) Held() bool { return true }

// A fixture is a zone with its platform and store.
type fixture struct {
	clock   *clock.Fake
	fleet   *fakeFleet
	store   *memory.Store
	cfg     *fakeConfig
	created int
}

const budget = 2

func newFixture(t *testing.T, instances int) *fixture {
	c := clock.NewFake(time.Unix(1_800_000_000, 0))
	s := &fixture{clock: c, fleet: newFakeFleet(c, instances), store: memory.New(c), cfg: &fakeConfig{config.NewState()}}
	s.cfg.add(t, fmt.Sprintf("kind: Template\nname: pool\npool: {size: %d}\nmaintenance: {budget: \"%d\", speed: \"100%%\", drainQuiet: 2s, drainBound: 1m, returnBound: 1m}\n", instances, budget))
	p := s.planner()
	if err := p.Round(t.Context()); err != nil {
		t.Fatal(err)
	}
	c.Advance(time.Second)
	s.cfg.add(t, "kind: Wave\nname: wave\ntemplate: pool\n")
	return s
}

func (s *fixture) log() *planner.AssignLog {
	return changelog.New[*assign.State, assign.Change](s.store, s.clock, planner.LogName("zone-a"), assign.NewState())
}

// planner returns a new planner of the zone, as after a restart.
func (s *fixture) planner() *planner.Planner {
	s.created++
	return planner.New(s.clock, "zone-a", []pointport.ZoneID{"zone-a"}, s.fleet, s.store, s.cfg, s.log(), alwaysElected{}, planner.WithAuthor(fmt.Sprint("planner-", s.created)))
}

// out returns how many instances actually don't serve.
func (s *fixture) out() int {
	n := 0
	for _, i := range s.fleet.instances {
		if i.State != pointport.InstanceLive {
			n++
		}
	}
	return n
}

// run alternates rounds of the planners until the wave has ended or stopped.
func (s *fixture) run(t *testing.T, planners ...*planner.Planner) assign.Wave {
	t.Helper()
	for n := range 2000 {
		// A failed round is tried again; the tests check the result.
		_ = planners[n%len(planners)].Round(t.Context())
		if s.out() > budget {
			t.Fatalf("%d instances are out, the budget is %d", s.out(), budget)
		}
		s.clock.Advance(time.Second)
		log := s.log()
		if err := log.Refresh(t.Context()); err != nil {
			continue
		}
		if w, ok := log.State().Wave("wave"); ok && (!w.Ended.IsZero() || w.Stopped != "") {
			return w
		}
	}
	t.Fatal("the wave neither ended nor stopped")
	return assign.Wave{}
}

// checkOnce checks that every instance was rebooted once.
func (s *fixture) checkOnce(t *testing.T) {
	t.Helper()
	for _, id := range s.fleet.order {
		if n := s.fleet.reboots[id]; n != 1 {
			t.Errorf("%s was rebooted %d times", id, n)
		}
	}
}

// TestWaveCompletes checks that a wave reboots every instance of a pool exactly once.
func TestWaveCompletes(t *testing.T) {
	s := newFixture(t, 6)
	if w := s.run(t, s.planner()); w.Done != 6 || w.FailedCount != 0 {
		t.Errorf("the wave ended as %+v", w)
	}
	s.checkOnce(t)
}

// TestPlannerCrashesAtAnyCall stops the planner at each of its calls to the store,
// with or without effect, and lets another planner continue.
func TestPlannerCrashesAtAnyCall(t *testing.T) {
	for _, fault := range []memory.Fault{memory.FaultDown, memory.FaultLostAnswer} {
		for at := 1; at < 60; at++ {
			s := newFixture(t, 4)
			calls := 0
			s.store.SetInjector(func(op, _ string) memory.Fault {
				calls++
				if calls < at {
					return memory.FaultNone
				}
				if calls == at && op == "cas" {
					return fault
				}
				return memory.FaultDown
			})
			first := s.planner()
			for range 30 {
				_ = first.Round(t.Context())
				s.clock.Advance(time.Second)
			}
			s.store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
			w := s.run(t, s.planner())
			if w.Done != 4 {
				t.Fatalf("crashed at call %d: the wave ended as %+v", at, w)
			}
			s.checkOnce(t)
		}
	}
}

// TestPlannerCrashesAtAnyPlatformCall stops the planner at each of its calls to the platform, with or
// without effect, and lets another planner continue.
func TestPlannerCrashesAtAnyPlatformCall(t *testing.T) {
	commands := 0 // how many of the calls at which the planner was stopped were commands
	for _, effect := range []bool{false, true} {
		for at := 1; at < 60; at++ {
			s := newFixture(t, 4)
			s.fleet.calls, s.fleet.failAt = 0, at
			if effect {
				s.fleet.lostAt = at
			}
			s.store.SetInjector(func(string, string) memory.Fault {
				if s.fleet.calls >= at {
					return memory.FaultDown
				}
				return memory.FaultNone
			})
			first := s.planner()
			for s.fleet.calls < at {
				_ = first.Round(t.Context())
				s.clock.Advance(time.Second)
			}
			if s.fleet.firstFailedIsCommand {
				commands++
			}
			s.fleet.failAt, s.fleet.lostAt = 0, 0
			s.store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
			if w := s.run(t, s.planner()); w.Done != 4 {
				t.Fatalf("crashed at call %d, effect %v: the wave ended as %+v", at, effect, w)
			}
			s.checkOnce(t)
		}
	}
	if commands < 2*8 { // each of four instances is drained and rebooted
		t.Errorf("the planner was stopped at %d commands, want 16 at least", commands)
	}
}

// TestPlatformFailsAtAnyCall makes the calls to the platform fail from each call
// on, and then succeed again.
func TestPlatformFailsAtAnyCall(t *testing.T) {
	for at := 1; at < 40; at++ {
		s := newFixture(t, 4)
		s.fleet.calls, s.fleet.failAt = 0, at
		p := s.planner()
		for range 30 {
			_ = p.Round(t.Context())
			s.clock.Advance(time.Second)
		}
		s.fleet.failAt = 0
		if w := s.run(t, p); w.Done != 4 {
			t.Fatalf("failed from call %d on: the wave ended as %+v", at, w)
		}
		s.checkOnce(t)
	}
}

// TestTwoPlanners runs two planners at once.
func TestTwoPlanners(t *testing.T) {
	s := newFixture(t, 6)
	if w := s.run(t, s.planner(), s.planner()); w.Done != 6 {
		t.Errorf("the wave ended as %+v", w)
	}
	s.checkOnce(t)
}

// TestPausedPlanner pauses a planner between its decision and its write, while
// another does a round. The write of the paused one must fail.
func TestPausedPlanner(t *testing.T) {
	s := newFixture(t, 6)
	other := s.planner()
	paused := true
	s.store.SetInjector(func(op, _ string) memory.Fault {
		if op == "cas" && paused {
			paused = false
			if err := other.Round(t.Context()); err != nil {
				t.Errorf("the other planner: %v", err)
			}
		}
		return memory.FaultNone
	})
	err := s.planner().Round(t.Context())
	var lost *changelog.StaleError
	if !errors.As(err, &lost) {
		t.Errorf("the paused planner: got %v, want a StaleError", err)
	}
	if n := s.out(); n != budget {
		t.Errorf("%d instances are out, want the %d that the other planner took", n, budget)
	}
}

// TestStoreOutageDuringWave makes the store unavailable. No new command may go to
// the platform until it is back.
func TestStoreOutageDuringWave(t *testing.T) {
	s := newFixture(t, 6)
	p := s.planner()
	for range 3 {
		if err := p.Round(t.Context()); err != nil {
			t.Fatal(err)
		}
		s.clock.Advance(time.Second)
	}
	s.store.SetInjector(func(string, string) memory.Fault { return memory.FaultDown })
	commands := s.fleet.commands
	for range 3600 {
		if err := p.Round(t.Context()); err == nil {
			t.Fatal("a round succeeded without the store")
		}
		s.clock.Advance(time.Second)
	}
	if s.fleet.commands != commands {
		t.Errorf("%d calls changed an instance without the store", s.fleet.commands-commands)
	}
	s.store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
	if w := s.run(t, p); w.Done != 6 {
		t.Errorf("the wave ended as %+v", w)
	}
	s.checkOnce(t)
}

// TestDrainThatNeverEnds checks that a wave passes by an instance that never becomes idle.
func TestDrainThatNeverEnds(t *testing.T) {
	s := newFixture(t, 4)
	s.fleet.busy["i1"] = true
	w := s.run(t, s.planner())
	if w.Done != 3 || w.PassedCount != 1 || s.fleet.reboots["i1"] != 0 {
		t.Errorf("the wave ended as %+v, i1 was rebooted %d times", w, s.fleet.reboots["i1"])
	}
	if i := s.fleet.instances["i1"]; i.State != pointport.InstanceLive {
		t.Errorf("the instance that was passed by is %s", i.State)
	}
}

// TestWaveSpendsBudgetOnFailures reboots two instances that don't come back. They use
// up the budget of two, so the wave reboots no others.
func TestWaveSpendsBudgetOnFailures(t *testing.T) {
	s := newFixture(t, 12)
	s.fleet.dead["i0"], s.fleet.dead["i1"] = true, true
	p := s.planner()
	for range 600 {
		if err := p.Round(t.Context()); err != nil {
			t.Fatal(err)
		}
		s.clock.Advance(time.Second)
	}
	// Two failures use up the whole budget, so no other instance is taken out.
	if n := s.out(); n != budget {
		t.Errorf("%d instances are out", n)
	}
	for id, n := range s.fleet.reboots {
		if n > 1 {
			t.Errorf("%s was rebooted %d times", id, n)
		}
	}
}

// TestListMissesInstances lets the list lack serving instances for 20 s. That must not
// change the assignment.
func TestListMissesInstances(t *testing.T) {
	s := newFixture(t, 4)
	p := s.planner()
	s.run(t, p)
	log := s.log()
	if err := log.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := log.State().Version()
	all := s.fleet.order
	s.fleet.order = all[:1]
	for range 20 {
		if err := p.Round(t.Context()); err != nil {
			t.Fatal(err)
		}
		s.clock.Advance(time.Second)
	}
	s.fleet.order = all
	if err := p.Round(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := log.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if after := log.State().Version(); after != before {
		t.Errorf("a list that missed instances for 20 s made %d changes", after-before)
	}
}

// TestStoppedWaveResumes lets a wave stop after two failures, and an operator resume it.
func TestStoppedWaveResumes(t *testing.T) {
	s := newFixture(t, 12)
	s.cfg.add(t, "kind: Template\nname: pool\npool: {size: 12}\nmaintenance: {budget: \"4\", speed: \"100%\", drainQuiet: 2s, drainBound: 1m, returnBound: 1m, stopAfter: 2}\n")
	s.fleet.dead["i0"], s.fleet.dead["i1"] = true, true
	p := s.planner()
	wave := func(seconds int) assign.Wave {
		for range seconds {
			if err := p.Round(t.Context()); err != nil {
				t.Fatal(err)
			}
			s.clock.Advance(time.Second)
		}
		log := s.log()
		if err := log.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		w, _ := log.State().Wave("wave")
		return w
	}
	stopped := wave(300)
	if stopped.Stopped == "" || stopped.FailedCount != 2 {
		t.Fatalf("the wave is %+v, want it stopped after 2 failures", stopped)
	}
	if later := wave(300); later.Done != stopped.Done {
		t.Errorf("a stopped wave continued from %d to %d", stopped.Done, later.Done)
	}
	delete(s.fleet.dead, "i0")
	delete(s.fleet.dead, "i1")
	s.cfg.add(t, "kind: Wave\nname: wave\ntemplate: pool\n") // as resume does
	if w := wave(600); w.Ended.IsZero() || w.Done < 10 {
		t.Errorf("after resume the wave is %+v", w)
	}
}

// TestRackLostWhileNeighbourDrains loses a whole rack while instances of the next one drain.
// Drains that have begun continue, and none begins until enough of the pool works again.
func TestRackLostWhileNeighbourDrains(t *testing.T) {
	s := newFixture(t, 12)
	p := s.planner()
	round := func(seconds int) {
		for range seconds {
			if err := p.Round(t.Context()); err != nil {
				t.Fatal(err)
			}
			s.clock.Advance(time.Second)
		}
	}
	round(1)
	begun := make(map[pointport.InstanceID]bool)
	for id, i := range s.fleet.instances {
		if i.State == pointport.InstanceLeaving {
			begun[id] = true
		}
	}
	if len(begun) != budget {
		t.Fatalf("%d instances drain, want %d", len(begun), budget)
	}
	affected := make(map[string]bool) // racks with an instance that drains
	for id := range begun {
		affected[s.fleet.instances[id].Rack] = true
	}
	lost := []pointport.InstanceID{}
	rack := ""
	for _, id := range s.fleet.order {
		i := s.fleet.instances[id]
		if rack == "" && !affected[i.Rack] {
			rack = i.Rack
		}
		if i.Rack == rack {
			lost = append(lost, id)
			i.State = pointport.InstanceDown
			s.fleet.dead[id] = true
		}
	}
	if len(lost) != 2 {
		t.Fatalf("rack %q has %d instances, want 2", rack, len(lost))
	}
	for range 300 {
		round(1)
		for id, i := range s.fleet.instances {
			if i.State == pointport.InstanceLeaving && !begun[id] {
				t.Fatalf("%s began to drain while the rack is lost", id)
			}
		}
	}
	for _, id := range s.fleet.order {
		want := 0
		if begun[id] {
			want = 1
		}
		if n := s.fleet.reboots[id]; n != want {
			t.Errorf("%s was rebooted %d times while the rack is lost, want %d", id, n, want)
		}
	}
	for _, id := range lost {
		s.fleet.instances[id].State = pointport.InstanceLive
		s.fleet.instances[id].Boots++
		delete(s.fleet.dead, id)
	}
	if w := s.run(t, p); w.Done != 12 {
		t.Errorf("after the rack came back the wave ended as %+v", w)
	}
}
