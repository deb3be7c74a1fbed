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

// A peer is a member with its session and its roster.
type peer struct {
	session *member.Session
	roster  *member.Roster
	end     context.CancelFunc
}

func join(store *memory.Store, name string, strength float64) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	kv := store.KV()
	s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
	r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: name, Strength: strength}, quiet)
	return &peer{s, r, cancel}
}

// settle lets go of everything that peers have begun.
func settle(peers ...*peer) {
	for _, p := range peers {
		p.end()
	}
	time.Sleep(10 * time.Second)
}

func TestOneOwnerAtATimeWithRisingFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		a, b := join(store, "a", 1), join(store, "b", 1)
		time.Sleep(time.Second)
		ctx := context.Background()
		first, err := a.roster.Take(ctx, "p")
		if err != nil {
			t.Fatal(err)
		}
		var conflict *pointport.TxnConflictError
		if _, err := b.roster.Take(ctx, "p"); !errors.As(err, &conflict) {
			t.Errorf("second owner: %v, want a conflict", err)
		}
		if !first.Proven() {
			t.Error("a fresh ownership is not proven")
		}
		a.end()
		time.Sleep(member.DefaultTTL + time.Second)
		if first.Proven() {
			t.Error("an ownership is proven after its lease")
		}
		second, err := b.roster.Take(ctx, "p")
		if err != nil || second.Fence <= first.Fence {
			t.Errorf("fence %d after %d, error %v", second.Fence, first.Fence, err)
		}
		if err := a.roster.Check(ctx, first); !errors.Is(err, member.ErrNotOwner) {
			t.Errorf("check of a lost ownership: %v", err)
		}
		settle(b)
	})
}

func TestPoolsGoToStrongMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		weak, strong := join(store, "weak", 0.1), join(store, "strong", 0.8)
		time.Sleep(time.Second)
		if w, s := weak.roster.Rank("p"), strong.roster.Rank("p"); w != 1 || s != 0 {
			t.Errorf("ranks %d and %d, want 1 and 0", w, s)
		}
		if _, err := weak.roster.Take(context.Background(), "p"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if !weak.roster.Outweighed() {
			t.Error("the weak member keeps the pool")
		}
		if weak.roster.Outweighed() {
			t.Error("the weak member gives two away at once")
		}
		settle(weak, strong)
	})
}

// The changes of an ownership are made in order and wholly, whatever answers are
// lost or late, and none after another owner took over.
func TestWriterKeepsOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]memory.Fault{
			memory.FaultNone, memory.FaultNone, memory.FaultDown, memory.FaultLostAnswer, memory.FaultLostCall, memory.FaultLate,
		}), 1, 30).Draw(rt, "faults")
		deposedAt := rapid.IntRange(0, 12).Draw(rt, "deposedAt")
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = playWriter(faults, deposedAt) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

func playWriter(faults []memory.Fault, deposedAt int) string {
	store := memory.New(clock.System{})
	p := join(store, "a", 1)
	defer settle(p)
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
		if i == deposedAt {
			store.ExpireKey(member.OwnerKey("p"))
		}
		limited, cancel := context.WithTimeout(ctx, 4*time.Second)
		next := fmt.Sprint(i)
		err := w.Commit(limited, pointport.Txn{Put: []pointport.Put{{Key: "k", Value: []byte(next)}}})
		cancel()
		switch {
		case i >= deposedAt && err == nil:
			return fmt.Sprintf("change %d was made by an owner that lost its key", i)
		case err == nil:
			last = next
		case errors.Is(err, member.ErrNotOwner) && i < deposedAt:
			return fmt.Sprintf("change %d: %v, and nobody else took over", i, err)
		}
		if got := value(); err == nil && got != last {
			return fmt.Sprintf("value is %q after change %q", got, last)
		}
	}
	before := value()
	time.Sleep(10 * time.Second)
	if got := value(); deposedAt > 10 && got != before {
		return fmt.Sprintf("value went from %q to %q when late changes came", before, got)
	}
	return ""
}

// A follower hears of every change, though watches go deaf and history is
// forgotten.
func TestFollowerHearsOfEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		kv := store.KV()
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		known := make(map[string]string)
		take := func(entries []pointport.Entry) {
			for _, e := range entries {
				if e.Exists() {
					known[e.Key()] = string(e.Value())
				} else {
					delete(known, e.Key())
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
			clear(known)
			take(entries)
		}
		knows := func() map[string]string {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(known)
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
		if got := knows(); len(got) != 1 || got["x/2"] != "b" {
			t.Errorf("while deaf it knows %v", got)
		}
		store.DropWatchEvents(false)
		store.Compact()
		put("x/3", "c")
		time.Sleep(2 * time.Second)
		if got := knows(); len(got) != 2 || got["x/3"] != "c" {
			t.Errorf("it knows %v", got)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// What a deaf watch has missed is known soon after the store hears again, without waiting
// for the next reading of all keys: from the next watch, or because the store says that it
// has forgotten it.
func TestFollowerCatchesUpWithDeafWatches(t *testing.T) {
	for name, forgets := range map[string]bool{"kept": false, "forgotten": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New(clock.System{})
				kv := store.KV()
				ctx, cancel := context.WithCancel(context.Background())
				var heard atomic.Bool
				take := func(entries []pointport.Entry) {
					for _, e := range entries {
						heard.Store(heard.Load() || e.Key() == "x/2")
					}
				}
				go member.Follow(ctx, kv, clock.System{}, "x/", take, take)
				time.Sleep(100 * time.Millisecond)
				store.DropWatchEvents(true)
				if _, err := kv.Commit(ctx, pointport.Txn{Put: []pointport.Put{{Key: "x/2", Value: []byte("b")}}}); err != nil {
					t.Error(err)
				}
				time.Sleep(1500 * time.Millisecond)
				if forgets {
					store.Compact()
				}
				store.DropWatchEvents(false)
				time.Sleep(1200 * time.Millisecond) // a watch's wait and some
				if !heard.Load() {
					t.Error("a change that a deaf watch missed is not known after the next watch")
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// At rest, all keys are read a few times a minute and not twenty: on a fleet of 3,000
// instances each reading of their registrations is 2 MB.
func TestFollowerAtRestReadsSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		kv := store.KV()
		ctx, cancel := context.WithCancel(context.Background())
		take := func([]pointport.Entry) {}
		go member.Follow(ctx, kv, clock.System{}, "x/", take, take)
		time.Sleep(time.Minute)
		if reads := store.Counts().Reads; reads > 5 {
			t.Errorf("%d readings of all keys in a minute without changes, want 5 at most", reads)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}
