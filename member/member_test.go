package member_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
)

var quiet = slog.New(slog.DiscardHandler)

// testMember is a member with its session and its roster.
type testMember struct {
	session *member.Session
	roster  *member.Roster
	stop    context.CancelFunc
}

func startMember(store *memory.Store, name string, strength float64) *testMember {
	ctx, cancel := context.WithCancel(context.Background())
	kv := store.KV()
	s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
	r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: name, Strength: strength}, quiet)
	return &testMember{s, r, cancel}
}

// stopMembers stops members and waits until their goroutines have ended.
func stopMembers(peers ...*testMember) {
	for _, p := range peers {
		p.stop()
	}
	time.Sleep(10 * time.Second)
}

// TestOneOwnerAtATimeWithRisingFences guards against two owners of one pool, and against a fence
// that does not increase, when one member takes a pool after the other's lease has ended.
func TestOneOwnerAtATimeWithRisingFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		a, b := startMember(store, "a", 1), startMember(store, "b", 1)
		time.Sleep(time.Second)
		ctx := context.Background()
		first, err := a.roster.Take(ctx, "p")
		if err != nil {
			t.Fatal(err)
		}
		var conflict *pointport.TxnConflictError
		if _, err := b.roster.Take(ctx, "p"); !errors.As(err, &conflict) {
			t.Errorf("Take of an owned pool: %v, want a conflict", err)
		}
		if !first.Proven() {
			t.Error("a new ownership is not proven")
		}
		a.stop()
		time.Sleep(member.DefaultTTL + time.Second)
		if first.Proven() {
			t.Error("an ownership is proven after its lease has ended")
		}
		second, err := b.roster.Take(ctx, "p")
		if err != nil || second.Fence <= first.Fence {
			t.Errorf("fence %d after %d, error %v", second.Fence, first.Fence, err)
		}
		if err := a.roster.Check(ctx, first); !errors.Is(err, member.ErrNotOwner) {
			t.Errorf("Check of a lost ownership: %v, want ErrNotOwner", err)
		}
		stopMembers(b)
	})
}

// TestPoolsGoToStrongMembers guards against a weak member that takes or keeps a pool although a
// much stronger one has none, and against one that hands over two pools at once.
func TestPoolsGoToStrongMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		weak, strong := startMember(store, "weak", 0.1), startMember(store, "strong", 0.8)
		time.Sleep(time.Second)
		if w, s := weak.roster.Rank("p"), strong.roster.Rank("p"); w != 1 || s != 0 {
			t.Errorf("ranks %d and %d, want 1 and 0", w, s)
		}
		if _, err := weak.roster.Take(context.Background(), "p"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if !weak.roster.ShouldHandOver() {
			t.Error("the weak member does not hand over the pool")
		}
		if weak.roster.ShouldHandOver() {
			t.Error("the weak member hands over two pools at once")
		}
		stopMembers(weak, strong)
	})
}

// TestWriterKeepsOrder guards against writes that are made out of order, in part, or after
// another owner has taken over. These come about when calls or answers are lost or late, so
// that a writer does not know whether its last transaction was committed.
func TestWriterKeepsOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]memory.Fault{
			memory.FaultNone, memory.FaultNone, memory.FaultDown, memory.FaultLostAnswer, memory.FaultLostCall, memory.FaultLate,
		}), 1, 30).Draw(rt, "faults")
		lostAt := rapid.IntRange(0, 12).Draw(rt, "lostAt")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runWriter(faults, lostAt) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func runWriter(faults []memory.Fault, lostAt int) string {
	store := memory.New(clock.System{})
	p := startMember(store, "a", 1)
	defer stopMembers(p)
	time.Sleep(time.Second)
	ctx := context.Background()
	own, err := p.roster.Take(ctx, "p")
	if err != nil {
		return err.Error()
	}
	n := 0
	kv := store.KV(memory.WithFaults(func(op, _ string) memory.Fault {
		if op != "commit" {
			return memory.FaultNone
		}
		n++
		return faults[n%len(faults)]
	}))
	w := member.NewWriter(kv, clock.System{}, own, quiet)
	if err := w.Open(ctx); err != nil {
		return err.Error()
	}
	reliable := store.KV()
	value := func() string {
		e, err := reliable.Get(ctx, "k")
		if err != nil {
			return err.Error()
		}
		return string(e.Value())
	}
	last := ""
	for i := range 10 {
		if i == lostAt {
			store.ExpireKey(member.OwnerKey("p"))
		}
		limited, cancel := context.WithTimeout(ctx, 4*time.Second)
		next := fmt.Sprint(i)
		err := w.Commit(limited, pointport.Txn{Put: []pointport.Put{{Key: "k", Value: []byte(next)}}})
		cancel()
		switch {
		case i >= lostAt && err == nil:
			return fmt.Sprintf("change %d was committed by an owner that had lost its key", i)
		case err == nil:
			last = next
		case errors.Is(err, member.ErrNotOwner) && i < lostAt:
			return fmt.Sprintf("change %d: %v, but no other member has taken over", i, err)
		}
		if got := value(); err == nil && got != last {
			return fmt.Sprintf("value is %q, want %q of the last commit", got, last)
		}
	}
	before := value()
	time.Sleep(10 * time.Second)
	if got := value(); lostAt > 10 && got != before {
		return fmt.Sprintf("value changed from %q to %q when delayed transactions arrived", before, got)
	}
	return ""
}

// TestFollowerDeliversEveryChange guards against a change that is lost because the store did
// not send it to watches, or has compacted it.
func TestFollowerDeliversEveryChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		kv := store.KV()
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		values := make(map[string]string)
		take := func(entries []pointport.Entry) {
			for _, e := range entries {
				if e.Exists() {
					values[e.Key()] = string(e.Value())
				} else {
					delete(values, e.Key())
				}
			}
		}
		apply := func(entries []pointport.Entry) {
			mu.Lock()
			defer mu.Unlock()
			take(entries)
		}
		reset := func(entries []pointport.Entry) {
			mu.Lock()
			defer mu.Unlock()
			clear(values)
			take(entries)
		}
		snapshot := func() map[string]string {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(values)
		}
		go member.Follow(ctx, kv, clock.System{}, "x/", reset, apply)
		put := func(key, value string) {
			if _, err := kv.Commit(ctx, pointport.Txn{Put: []pointport.Put{{Key: key, Value: []byte(value)}}}); err != nil {
				t.Error(err)
			}
		}
		put("x/1", "a")
		put("y/1", "other")
		time.Sleep(100 * time.Millisecond)
		store.DropWatchEvents(true)
		put("x/2", "b")
		if _, err := kv.Commit(ctx, pointport.Txn{Delete: []string{"x/1"}}); err != nil {
			t.Error(err)
		}
		time.Sleep(member.DefaultRereadInterval + 2*time.Second)
		if got := snapshot(); len(got) != 1 || got["x/2"] != "b" {
			t.Errorf("without watches the follower knows %v, want only x/2", got)
		}
		store.DropWatchEvents(false)
		store.Compact()
		put("x/3", "c")
		time.Sleep(2 * time.Second)
		if got := snapshot(); len(got) != 2 || got["x/3"] != "c" {
			t.Errorf("the follower knows %v, want x/2 and x/3", got)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestFollowerRecoversMissedChanges guards against a change that stays unknown until all keys
// are read again, after the store has not sent it to a watch. The next watch must return it
// or, if it has been compacted, fail, which makes the follower read all keys.
func TestFollowerRecoversMissedChanges(t *testing.T) {
	for name, compacted := range map[string]bool{"kept": false, "compacted": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New(clock.System{})
				kv := store.KV()
				ctx, cancel := context.WithCancel(context.Background())
				var seen atomic.Bool
				take := func(entries []pointport.Entry) {
					for _, e := range entries {
						seen.Store(seen.Load() || e.Key() == "x/2")
					}
				}
				go member.Follow(ctx, kv, clock.System{}, "x/", take, take)
				time.Sleep(100 * time.Millisecond)
				store.DropWatchEvents(true)
				if _, err := kv.Commit(ctx, pointport.Txn{Put: []pointport.Put{{Key: "x/2", Value: []byte("b")}}}); err != nil {
					t.Error(err)
				}
				time.Sleep(1500 * time.Millisecond)
				if compacted {
					store.Compact()
				}
				store.DropWatchEvents(false)
				time.Sleep(1200 * time.Millisecond) // a little more than the timeout of a watch
				if !seen.Load() {
					t.Error("a change that a watch missed is not known after the next watch")
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestFollowerRarelyRereadsWithoutChanges guards against reading all keys twenty times a
// minute instead of a few times: with 3,000 instances, each read of their registrations is 2
// MB.
func TestFollowerRarelyRereadsWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		kv := store.KV()
		ctx, cancel := context.WithCancel(context.Background())
		take := func([]pointport.Entry) {}
		go member.Follow(ctx, kv, clock.System{}, "x/", take, take)
		time.Sleep(time.Minute)
		if reads := store.Counts().Reads; reads > 5 {
			t.Errorf("%d reads of all keys in a minute without changes, want at most 5", reads)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}
