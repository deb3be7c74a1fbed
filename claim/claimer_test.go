package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/clock"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/memory"
)

// The tests run in bubbles of testing/synctest, in which the machine's clock
// stands still while anything runs.

func key(n int) claim.Key { return claim.NewKey("payout", "bistro", fmt.Sprint(n)) }

func TestSecondRequestLearnsTheFirst(t *testing.T) {
	for _, c := range []struct {
		settle claim.State
		status int
	}{
		{claim.Ran, 201}, {claim.Unknown, 0}, {claim.InProgress, 0},
	} {
		t.Run(string(c.settle), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New(clock.System{})
				a := claim.Start(t.Context(), store, clock.System{}, "a")
				b := claim.Start(t.Context(), store, clock.System{}, "b")
				ticket, err := a.Claim(t.Context(), key(1))
				if err != nil {
					t.Fatal(err)
				}
				if c.settle != claim.InProgress {
					ticket.RecordOutcome(c.settle, c.status)
				}
				time.Sleep(3 * time.Second)
				for name, book := range map[string]*claim.Claimer{"the same": a, "another": b} {
					_, err = book.Claim(t.Context(), key(1))
					var taken *claim.TakenError
					if !errors.As(err, &taken) || taken.State != c.settle || taken.Status != c.status {
						t.Errorf("at %s entry instance: got %v, want %s", name, err, c.settle)
					}
				}
			})
		})
	}
}

// TestInProgressBecomesUnknown covers an entry instance that died between its
// claim and its outcome.
func TestInProgressBecomesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		ctx, die := context.WithCancel(t.Context())
		if _, err := claim.Start(ctx, store, clock.System{}, "a").Claim(ctx, key(1)); err != nil {
			t.Fatal(err)
		}
		die()
		time.Sleep(claim.InProgressTimeout + time.Second)
		_, err := claim.Start(t.Context(), store, clock.System{}, "b").Claim(t.Context(), key(1))
		var taken *claim.TakenError
		if !errors.As(err, &taken) || taken.State != claim.Unknown {
			t.Errorf("got %v, want unknown", err)
		}
	})
}

// TestGroupCommit counts the writes of many claims at once.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		book := claim.Start(t.Context(), store, clock.System{}, "a")
		const claims = 200
		var wg sync.WaitGroup
		for n := range claims {
			wg.Go(func() {
				if _, err := book.Claim(t.Context(), key(n)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if n := store.Counts().Writes; n != 1 {
			t.Errorf("%d claims at once cost %d writes, want 1", claims, n)
		}
	})
}

// TestWritesAreBounded sends claims one after the other, faster than writes may
// be made.
func TestWritesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		book := claim.Start(t.Context(), store, clock.System{}, "a", claim.WithWriteRate(5, time.Millisecond))
		const seconds, perSecond = 20, 100
		for n := range seconds * perSecond {
			go func() {
				if _, err := book.Claim(t.Context(), key(n)); err != nil {
					t.Error(err)
				}
			}()
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(time.Second)
		const most = 5*(seconds+1) + 5 // the burst that was saved up
		if n := store.Counts().Writes; n > most {
			t.Errorf("%d writes in %d seconds, want at most %d", n, seconds, most)
		}
		if n := book.Counts().Claims; n != seconds*perSecond {
			t.Errorf("%d claims granted, want %d", n, seconds*perSecond)
		}
	})
}

// TestLostAnswer loses the answer after the claim took effect. The claim is
// settled by reading back, and granted once.
func TestLostAnswer(t *testing.T) {
	for _, fault := range []memory.Fault{memory.FaultLostAnswer, memory.FaultLostCall} {
		synctest.Test(t, func(t *testing.T) {
			lose := true
			store := memory.New(clock.System{})
			store.SetInjector(func(op, _ string) memory.Fault {
				if op == "cas" && lose {
					lose = false
					return fault
				}
				return memory.FaultNone
			})
			book := claim.Start(t.Context(), store, clock.System{}, "a")
			if _, err := book.Claim(t.Context(), key(1)); err != nil {
				t.Errorf("fault %d: the claim failed: %v", fault, err)
			}
			if _, err := book.Claim(t.Context(), key(1)); err == nil {
				t.Errorf("fault %d: the claim was granted twice", fault)
			}
		})
	}
}

// TestAbandonedClaimIsReleased loses the answer and then the store. The claim
// is refused as not run, and the key must be free again once the store is back.
func TestAbandonedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		down := false
		store := memory.New(clock.System{})
		store.SetInjector(func(op, _ string) memory.Fault {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case down:
				return memory.FaultDown
			case op == "cas":
				down = true
				return memory.FaultLostAnswer
			}
			return memory.FaultNone
		})
		book := claim.Start(t.Context(), store, clock.System{}, "a")
		_, err := book.Claim(t.Context(), key(1))
		var unavailable *pointport.UnavailableError
		if !errors.As(err, &unavailable) {
			t.Fatalf("got %v, want unavailable", err)
		}
		time.Sleep(time.Minute)
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
		if _, err := book.Claim(t.Context(), key(2)); err != nil {
			t.Fatalf("with the store back: %v", err)
		}
		time.Sleep(5 * time.Second)
		other := claim.Start(t.Context(), store, clock.System{}, "b")
		if _, err := other.Claim(t.Context(), key(1)); err != nil {
			t.Errorf("the abandoned key is not free: %v", err)
		}
	})
}

// TestCallerGoneWhileClaiming releases a claim that nobody waits for.
func TestCallerGoneWhileClaiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		book := claim.Start(t.Context(), store, clock.System{}, "a", claim.WithWriteRate(1000, 10*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := book.Claim(ctx, key(1)); err == nil {
			t.Fatal("a claim that nobody waits for was granted")
		}
		time.Sleep(5 * time.Second)
		if _, err := book.Claim(t.Context(), key(1)); err != nil {
			t.Errorf("the key is not free: %v", err)
		}
	})
}

// TestSlowStore lets every call take longer than a batch may.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		store.SetInjector(func(string, string) memory.Fault {
			time.Sleep(5 * time.Second)
			return memory.FaultNone
		})
		book := claim.Start(t.Context(), store, clock.System{}, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := book.Claim(ctx, key(1)); err == nil {
			t.Error("a claim was granted after its caller's time")
		}
		time.Sleep(time.Minute)
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
		if _, err := book.Claim(t.Context(), key(1)); err != nil {
			t.Errorf("the key is not free: %v", err)
		}
	})
}

// TestSegments fills many segments and lets them grow old. A book that starts
// later must know the young ones, and the old ones must be gone.
func TestSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		options := []claim.Option{claim.WithSegmentSize(4), claim.WithRetention(4 * time.Hour), claim.WithWriteRate(1000, 0)}
		book := claim.Start(t.Context(), store, clock.System{}, "a", options...)
		for n := range 100 {
			if _, err := book.Claim(t.Context(), key(n)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Minute)
		}
		late := claim.Start(t.Context(), store, clock.System{}, "b", options...)
		for n := 80; n < 100; n++ {
			if _, err := late.Claim(t.Context(), key(n)); err == nil {
				t.Errorf("key %d was granted twice within the retention", n)
			}
		}
		if n := store.KeyCount(); n > 10 {
			t.Errorf("the store holds %d keys, want old segments removed", n)
		}
		if _, err := late.Claim(t.Context(), key(0)); err != nil {
			t.Errorf("a key past the retention is not free: %v", err)
		}
	})
}

// TestLongSleeper stops a book past the retention while others fill, seal and
// drop the segment that it would write next.
func TestLongSleeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		options := []claim.Option{claim.WithSegmentSize(2), claim.WithRetention(time.Hour), claim.WithWriteRate(1000, 0)}
		sleeper := claim.Start(t.Context(), store, clock.System{}, "sleeper", options...)
		busy := claim.Start(t.Context(), store, clock.System{}, "busy", options...)
		for n := range 2 {
			if _, err := sleeper.Claim(t.Context(), key(n)); err != nil {
				t.Fatal(err)
			}
		}
		for n := 2; n < 40; n++ {
			if _, err := busy.Claim(t.Context(), key(n)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Minute)
		}
		if _, err := sleeper.Claim(t.Context(), key(39)); err == nil {
			t.Error("the sleeper was granted a key that is in use")
		}
	})
}

// An op is one act in an interleaving.
type op struct {
	Book  int // which entry instance
	Key   int // which key
	Wait  int // milliseconds before the next act
	Keep  int // milliseconds that the caller waits for its claim
	End   int // how the work ends
	Reset bool
}

// TestAtMostOnce runs keys over any interleaving of attempts at three entry
// instances, faults of the store, callers that go and processes that die. Each
// key may run once.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
			return op{
				Book: rapid.IntRange(0, 2).Draw(t, "book"), Key: rapid.IntRange(0, 3).Draw(t, "key"),
				Wait: rapid.IntRange(0, 50).Draw(t, "wait"), Keep: rapid.SampledFrom([]int{1, 5, 50, 5000}).Draw(t, "keep"),
				End: rapid.IntRange(0, 2).Draw(t, "end"), Reset: rapid.IntRange(0, 9).Draw(t, "reset") == 0,
			}
		}), 1, 30).Draw(rt, "ops")
		faults := rapid.SliceOfN(rapid.SampledFrom([]memory.Fault{
			memory.FaultNone, memory.FaultNone, memory.FaultNone, memory.FaultDown, memory.FaultLostAnswer, memory.FaultLostCall,
		}), 0, 40).Draw(rt, "faults")
		var runs map[int]int
		synctest.Test(t, func(t *testing.T) { runs = runOps(t, ops, faults) })
		for k, n := range runs {
			if n > 1 {
				rt.Fatalf("key %d ran %d times", k, n)
			}
		}
	})
}

// runOps plays ops and returns how often each key ran.
func runOps(t *testing.T, ops []op, faults []memory.Fault) map[int]int {
	var mu sync.Mutex
	runs := make(map[int]int)
	store := memory.New(clock.System{})
	store.SetInjector(func(string, string) memory.Fault {
		time.Sleep(3 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		if len(faults) == 0 {
			return memory.FaultNone
		}
		f := faults[0]
		faults = faults[1:]
		return f
	})
	books := make([]*claim.Claimer, 3)
	stop := make([]context.CancelFunc, 3)
	start := func(n, life int) {
		ctx, cancel := context.WithCancel(t.Context())
		books[n], stop[n] = claim.Start(ctx, store, clock.System{}, fmt.Sprintf("%d.%d", n, life),
			claim.WithSegmentSize(3), claim.WithWriteRate(1000, time.Millisecond)), cancel
	}
	for n := range books {
		start(n, 0)
	}
	var wg sync.WaitGroup
	for life, o := range ops {
		if o.Reset {
			stop[o.Book]()
			start(o.Book, life+1)
		}
		book := books[o.Book]
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(o.Keep)*time.Millisecond)
			defer cancel()
			ticket, err := book.Claim(ctx, key(o.Key))
			if err != nil {
				return
			}
			if o.End == 0 {
				ticket.RecordOutcome(claim.Released, 0)
				return
			}
			mu.Lock()
			runs[o.Key]++
			mu.Unlock()
			ticket.RecordOutcome([]claim.State{"", claim.Ran, claim.Unknown}[o.End], 200)
		})
		time.Sleep(time.Duration(o.Wait) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	for n := range stop {
		stop[n]()
	}
	return runs
}

// TestOutcomeSurvivesOutage settles a claim while the store is down. Another
// entry instance must learn the outcome once it is back.
func TestOutcomeSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		a := claim.Start(t.Context(), store, clock.System{}, "a")
		ticket, err := a.Claim(t.Context(), key(1))
		if err != nil {
			t.Fatal(err)
		}
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultDown })
		ticket.RecordOutcome(claim.Ran, 201)
		if _, err := a.Claim(t.Context(), key(2)); err == nil {
			t.Error("a key was claimed while the store is down")
		}
		time.Sleep(time.Hour)
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
		time.Sleep(time.Minute)
		b := claim.Start(t.Context(), store, clock.System{}, "b")
		_, err = b.Claim(t.Context(), key(1))
		var taken *claim.TakenError
		if !errors.As(err, &taken) || taken.State != claim.Ran || taken.Status != 201 {
			t.Errorf("got %v, want that it ran with status 201", err)
		}
		if _, err := b.Claim(t.Context(), key(2)); err != nil {
			t.Errorf("the key that was refused during the outage: %v", err)
		}
	})
}

// TestOutcomeIsKnownAtOnce asks for a key again right after its work ended, at
// the entry instance that ran it.
func TestOutcomeIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := claim.Start(t.Context(), memory.New(clock.System{}), clock.System{}, "a")
		ticket, err := book.Claim(t.Context(), key(1))
		if err != nil {
			t.Fatal(err)
		}
		ticket.RecordOutcome(claim.Ran, 200)
		_, err = book.Claim(t.Context(), key(1))
		var taken *claim.TakenError
		if !errors.As(err, &taken) || taken.State != claim.Ran {
			t.Errorf("got %v, want that it ran", err)
		}
	})
}
