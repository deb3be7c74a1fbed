package changelog_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/command"
	"github.com/pointport/pointport/config"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/memory"
)

type configLog = changelog.Log[*config.State, config.Change]

func newSmallLog(store *memory.Store) *configLog {
	return changelog.New[*config.State, config.Change](store, clock.System{}, "config", config.NewState(), changelog.WithSegmentPolicy(3, 2, 4))
}

func configure(log *configLog, id, name string, weight int, read config.Version) (config.Change, error) {
	objects, err := config.Parse("test", fmt.Appendf(nil, "kind: Parameters\nname: %s\nweight: %d\n", name, weight))
	if err != nil {
		return config.Change{}, err
	}
	return command.Configure(context.Background(), log, clock.System{}, command.Proposal{ID: id, Author: "ana", Object: &objects[0], ReadVersion: read})
}

// TestConcurrentChanges lets operators change objects through several nodes while
// the store fails and loses answers. It guards against accepted changes that
// disappear, changes accepted although the object changed since their author read
// it, changes made twice by a retry, and nodes that return to a lower version.
func TestConcurrentChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memory.New(clock.System{})
		nodes := []*configLog{newSmallLog(store), newSmallLog(store), newSmallLog(store)}
		last := make([]config.Version, len(nodes))
		accepted := make(map[string]config.Version)
		for n := range rapid.IntRange(1, 40).Draw(t, "changes") {
			faults := rapid.SliceOfN(rapid.SampledFrom([]memory.Fault{
				memory.FaultNone, memory.FaultNone, memory.FaultNone, memory.FaultDown, memory.FaultLostAnswer, memory.FaultLostCall,
			}), 0, 6).Draw(t, "faults")
			store.SetInjector(func(string, string) memory.Fault {
				if len(faults) == 0 {
					return memory.FaultNone
				}
				f := faults[0]
				faults = faults[1:]
				return f
			})
			author := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "object")
			_, read, _ := nodes[author].State().Get(config.KindParameters, name)
			if rapid.Bool().Draw(t, "any version") {
				read = command.AnyVersion
			}
			id := fmt.Sprint("change-", n)
			c, err := configure(nodes[author], id, name, 1+n%100, read)
			var race *config.RaceError
			var ambiguous *changelog.AmbiguousError
			switch {
			case err == nil:
				if read != command.AnyVersion && c.From != read {
					t.Fatalf("%s was accepted on version %d of the object, its author read version %d", id, c.From, read)
				}
				accepted[id] = c.Version
			case errors.As(err, &race), errors.As(err, &ambiguous):
			default:
				var unavailable *pointport.UnavailableError
				if !errors.As(err, &unavailable) {
					t.Fatal(err)
				}
			}
			for i, node := range nodes {
				if v := node.State().Version(); v < last[i] {
					t.Fatalf("node %d returned from version %d to %d", i, last[i], v)
				}
				last[i] = nodes[i].State().Version()
			}
		}
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
		checkAccepted(t, store, accepted)
	})
}

// checkAccepted reads the log with a new node and checks that it holds every accepted
// change at its version, and no change twice.
func checkAccepted(t *rapid.T, store *memory.Store, accepted map[string]config.Version) {
	node := newSmallLog(store)
	if err := node.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	changes, err := node.History(context.Background(), 1000, func(config.Change) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	oldest := config.Version(1)
	if len(changes) > 0 {
		oldest = changes[len(changes)-1].Version
	}
	for _, c := range changes {
		if seen[c.ID] {
			t.Fatalf("%s was made twice", c.ID)
		}
		seen[c.ID] = true
		if v, ok := accepted[c.ID]; ok && v != c.Version {
			t.Fatalf("%s was accepted as version %d and is in the log as %d", c.ID, v, c.Version)
		}
	}
	for id, v := range accepted {
		if v >= oldest && !seen[id] {
			t.Fatalf("%s was accepted as version %d and is not in the log", id, v)
		}
		if v > node.State().Version() {
			t.Fatalf("%s was accepted as version %d, the newest version is %d", id, v, node.State().Version())
		}
	}
}

// TestFollowers checks that following nodes apply each change within a second, also
// across sealed segments and snapshots and after an outage of the store, and that
// they keep their state during the outage.
func TestFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		author := newSmallLog(store)
		var nodes []*configLog
		for range 3 {
			nodes = append(nodes, changelog.Start[*config.State, config.Change](t.Context(), store, clock.System{}, "config", config.NewState(), changelog.WithSegmentPolicy(3, 2, 4)))
		}
		check := func(when string) {
			time.Sleep(time.Second)
			for i, n := range nodes {
				if n.State().Version() != author.State().Version() {
					t.Errorf("%s: node %d has version %d, the author %d", when, i, n.State().Version(), author.State().Version())
				}
			}
		}
		for n := range 20 {
			if _, err := configure(author, "", "a", 1+n, command.AnyVersion); err != nil {
				t.Fatal(err)
			}
			check(fmt.Sprint("change ", n))
		}
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultDown })
		time.Sleep(time.Hour)
		if got := nodes[0].State().Version(); got != 20 {
			t.Errorf("during the outage version %d is applied, want 20", got)
		}
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
		if _, err := configure(author, "", "a", 50, command.AnyVersion); err != nil {
			t.Fatal(err)
		}
		check("after the outage")
	})
}

// TestLowerVersionIsIgnored checks that a node keeps its version when the store
// returns to an older state.
func TestLowerVersionIsIgnored(t *testing.T) {
	store := memory.New(clock.System{})
	node := newSmallLog(store)
	for n := range 2 {
		if _, err := configure(node, "", "a", 1+n, command.AnyVersion); err != nil {
			t.Fatal(err)
		}
	}
	e, err := store.Get(t.Context(), "config.log.00000001")
	if err != nil {
		t.Fatal(err)
	}
	older := newSmallLog(memory.New(clock.System{}))
	if _, err := configure(older, "", "b", 9, command.AnyVersion); err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(t.Context(), e.Key(), e.Revision(), []byte(`{"changes":[]}`)); err != nil {
		t.Fatal(err)
	}
	if err := node.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if v := node.State().Version(); v != 2 {
		t.Errorf("the node returned to version %d, want 2", v)
	}
}

// Guards against a node that takes a segment which it has read, and which was removed past the
// retention meanwhile, for the end of the log: it would keep its old state, and an append or a
// follower would go on for ever without a pause.
func TestNodeBehindRetentionCatchesUp(t *testing.T) {
	store := memory.New(clock.System{})
	author, behind := newSmallLog(store), newSmallLog(store)
	if _, err := configure(author, "", "a", 1, command.AnyVersion); err != nil {
		t.Fatal(err)
	}
	if err := behind.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	for n := range 40 {
		if _, err := configure(author, "", "a", 2+n, command.AnyVersion); err != nil {
			t.Fatal(err)
		}
	}
	if e, err := store.Get(t.Context(), "config.log.00000001"); err != nil || e.Exists() {
		t.Fatalf("the first segment must have been removed: %v, %v", e, err)
	}
	if err := behind.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if have, want := behind.State().Version(), author.State().Version(); have != want {
		t.Errorf("the node has version %d, want %d", have, want)
	}
}

// Guards against an error that says that nothing was changed although a write may still take effect:
// a write lost its answer, its change is not in the log, and the change can then not be made a second
// time. If another change was made meanwhile, the write cannot take effect any more.
func TestErrorAfterAmbiguousWriteIsAmbiguous(t *testing.T) {
	errRefused := errors.New("refused")
	for name, c := range map[string]struct{ other, ambiguous bool }{
		"log unchanged":        {other: false, ambiguous: true},
		"another change since": {other: true, ambiguous: false},
	} {
		store := memory.New(clock.System{})
		node := newSmallLog(store)
		if _, err := configure(node, "", "a", 1, command.AnyVersion); err != nil {
			t.Fatal(err)
		}
		lost := false // whether the write has lost its answer
		store.SetInjector(func(op, _ string) memory.Fault {
			if op != "cas" || lost {
				return memory.FaultNone
			}
			lost = true
			if c.other {
				if _, err := configure(newSmallLog(store), "", "b", 1, command.AnyVersion); err != nil {
					t.Error(err)
				}
			}
			return memory.FaultLostCall
		})
		attempts := 0
		_, err := node.Append(t.Context(), "id", func(s *config.State) (config.Change, error) {
			if attempts++; attempts > 1 {
				return config.Change{}, errRefused
			}
			return config.Change{ID: "id", Version: s.Version() + 1}, nil
		})
		var ambiguous *changelog.AmbiguousError
		if !errors.Is(err, errRefused) || errors.As(err, &ambiguous) != c.ambiguous {
			t.Errorf("%s: %v, want ambiguous %v", name, err, c.ambiguous)
		}
	}
}
