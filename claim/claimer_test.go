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

// The tests run in bubbles of testing/synctest, whose clock advances only while
// every goroutine is blocked.

func key(n int) claim.Key { return claim.NewKey("payout", "bistro", fmt.Sprint(n)) }

// TestSecondClaimReturnsOutcome checks that a claimed key cannot be claimed again,
// at the same entry instance or at another one, and that the error has the state
// and status of the first request.
func TestSecondClaimReturnsOutcome(t *testing.T) {
	for _, c := range []struct {
		state  claim.State
		status int
	}{
		{claim.Ran, 201}, {claim.Unknown, 0}, {claim.InProgress, 0},
	} {
		t.Run(string(c.state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New(clock.System{})
				a := claim.Start(t.Context(), store, clock.System{}, "a")
				b := claim.Start(t.Context(), store, clock.System{}, "b")
				ticket, err := a.Claim(t.Context(), key(1))
				if err != nil {
					t.Fatal(err)
				}
				if c.state != claim.InProgress {
					ticket.RecordOutcome(c.state, c.status)
				}
				time.Sleep(3 * time.Second)
				for name, claimer := range map[string]*claim.Claimer{"the same": a, "another": b} {
					_, err = claimer.Claim(t.Context(), key(1))
					var taken *claim.TakenError
					if !errors.As(err, &taken) || taken.State != c.state || taken.Status != c.status {
						t.Errorf("at %s entry instance: got %v, want %s", name, err, c.state)
					}
				}
			})
		})
	}
}

// TestInProgressBecomesUnknown checks that a claim whose entry instance stopped
// before it recorded an outcome is reported as unknown after InProgressTimeout.
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

// TestGroupCommit checks that claims made at the same time share one write.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		claimer := claim.Start(t.Context(), store, clock.System{}, "a")
		const claims = 200
		var wg sync.WaitGroup
		for n := range claims {
			wg.Go(func() {
				if _, err := claimer.Claim(t.Context(), key(n)); err != nil {
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

// TestWriteRateIsBounded checks that claims that come faster than the write rate
// are all granted, and that the writes stay within that rate.
func TestWriteRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		claimer := claim.Start(t.Context(), store, clock.System{}, "a", claim.WithWriteRate(5, time.Millisecond))
		const seconds, perSecond = 20, 100
		for n := range seconds * perSecond {
			go func() {
				if _, err := claimer.Claim(t.Context(), key(n)); err != nil {
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
		if n := claimer.Counts().Claims; n != seconds*perSecond {
			t.Errorf("%d claims granted, want %d", n, seconds*perSecond)
		}
	})
}

// TestLostAnswer checks that a claim is granted exactly once if the answer of its
// write, or the call itself, is lost. The claimer reads the segment again to find
// out whether the write took effect.
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
			claimer := claim.Start(t.Context(), store, clock.System{}, "a")
			if _, err := claimer.Claim(t.Context(), key(1)); err != nil {
				t.Errorf("fault %d: the claim failed: %v", fault, err)
			}
			if _, err := claimer.Claim(t.Context(), key(1)); err == nil {
				t.Errorf("fault %d: the claim was granted twice", fault)
			}
		})
	}
}

// TestAbandonedClaimIsReleased checks that a key is free again after its claim was
// refused although the write took effect. That happens if the answer of the write
// is lost and the store is unreachable afterwards.
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
		claimer := claim.Start(t.Context(), store, clock.System{}, "a")
		_, err := claimer.Claim(t.Context(), key(1))
		var unavailable *pointport.UnavailableError
		if !errors.As(err, &unavailable) {
			t.Fatalf("got %v, want unavailable", err)
		}
		time.Sleep(time.Minute)
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
		if _, err := claimer.Claim(t.Context(), key(2)); err != nil {
			t.Fatalf("with the store back: %v", err)
		}
		time.Sleep(5 * time.Second)
		other := claim.Start(t.Context(), store, clock.System{}, "b")
		if _, err := other.Claim(t.Context(), key(1)); err != nil {
			t.Errorf("the abandoned key is not free: %v", err)
		}
	})
}

// TestCallerCancelsWhileClaiming checks that a claim is released if its caller's
// context ends before the write.
func TestCallerCancelsWhileClaiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		claimer := claim.Start(t.Context(), store, clock.System{}, "a", claim.WithWriteRate(1000, 10*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := claimer.Claim(ctx, key(1)); err == nil {
			t.Fatal("a claim was granted after its context ended")
		}
		time.Sleep(5 * time.Second)
		if _, err := claimer.Claim(t.Context(), key(1)); err != nil {
			t.Errorf("the key is not free: %v", err)
		}
	})
}

// TestSlowStore checks that a claim is refused, and its key released, if every call
// to the store takes longer than a batch is retried.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		store.SetInjector(func(string, string) memory.Fault {
			time.Sleep(5 * time.Second)
			return memory.FaultNone
		})
		claimer := claim.Start(t.Context(), store, clock.System{}, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := claimer.Claim(ctx, key(1)); err == nil {
			t.Error("a claim was granted after its caller's deadline")
		}
		time.Sleep(time.Minute)
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
		if _, err := claimer.Claim(t.Context(), key(1)); err != nil {
			t.Errorf("the key is not free: %v", err)
		}
	})
}

// TestSegments checks that segments past the retention are removed and their keys
// are free again, and that a claimer that starts later reads the others.
func TestSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		options := []claim.Option{claim.WithSegmentSize(4), claim.WithRetention(4 * time.Hour), claim.WithWriteRate(1000, 0)}
		claimer := claim.Start(t.Context(), store, clock.System{}, "a", options...)
		for n := range 100 {
			if _, err := claimer.Claim(t.Context(), key(n)); err != nil {
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

// TestSuspendedProcess guards against a key that is granted twice after a process
// was suspended for longer than the retention. Meanwhile others have filled,
// sealed and removed the segment that it would write to next, so that it could
// create that segment again.
func TestSuspendedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		options := []claim.Option{claim.WithSegmentSize(2), claim.WithRetention(time.Hour), claim.WithWriteRate(1000, 0)}
		suspended := claim.Start(t.Context(), store, clock.System{}, "suspended", options...)
		busy := claim.Start(t.Context(), store, clock.System{}, "busy", options...)
		for n := range 2 {
			if _, err := suspended.Claim(t.Context(), key(n)); err != nil {
				t.Fatal(err)
			}
		}
		for n := 2; n < 40; n++ {
			if _, err := busy.Claim(t.Context(), key(n)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Minute)
		}
		if _, err := suspended.Claim(t.Context(), key(39)); err == nil {
			t.Error("the suspended process was granted a key that is in use")
		}
	})
}

// An op is one attempt to run a key in an interleaving.
type op struct {
	Claimer int  // index of the entry instance
	Key     int  // number of the key
	Wait    int  // milliseconds before the next attempt
	Timeout int  // milliseconds that the caller waits for its claim
	End     int  // outcome: 0 released, 1 ran, 2 unknown
	Restart bool // whether the entry instance restarts first
}

// TestAtMostOnce checks that each key runs at most once in any interleaving of
// attempts at three entry instances, store faults, callers that time out and
// processes that restart.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
			return op{
				Claimer: rapid.IntRange(0, 2).Draw(t, "claimer"), Key: rapid.IntRange(0, 3).Draw(t, "key"),
				Wait: rapid.IntRange(0, 50).Draw(t, "wait"), Timeout: rapid.SampledFrom([]int{1, 5, 50, 5000}).Draw(t, "timeout"),
				End: rapid.IntRange(0, 2).Draw(t, "end"), Restart: rapid.IntRange(0, 9).Draw(t, "restart") == 0,
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

// runOps executes ops and returns the number of runs of each key. The store
// applies faults to its calls in order, until they are used up.
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
	claimers := make([]*claim.Claimer, 3)
	stop := make([]context.CancelFunc, 3)
	start := func(n, incarnation int) {
		ctx, cancel := context.WithCancel(t.Context())
		claimers[n], stop[n] = claim.Start(ctx, store, clock.System{}, fmt.Sprintf("%d.%d", n, incarnation),
			claim.WithSegmentSize(3), claim.WithWriteRate(1000, time.Millisecond)), cancel
	}
	for n := range claimers {
		start(n, 0)
	}
	var wg sync.WaitGroup
	for i, o := range ops {
		if o.Restart {
			stop[o.Claimer]()
			start(o.Claimer, i+1)
		}
		claimer := claimers[o.Claimer]
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(o.Timeout)*time.Millisecond)
			defer cancel()
			ticket, err := claimer.Claim(ctx, key(o.Key))
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

// TestOutcomeSurvivesOutage checks that an outcome that is recorded while the store
// is down is written once the store is back, so that another entry instance
// returns it.
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
			t.Errorf("a key whose claim was refused during the outage is not free: %v", err)
		}
	})
}

// TestOutcomeIsVisibleBeforeWrite checks that the entry instance that recorded an
// outcome returns it to a second claim even before the outcome is written.
func TestOutcomeIsVisibleBeforeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimer := claim.Start(t.Context(), memory.New(clock.System{}), clock.System{}, "a")
		ticket, err := claimer.Claim(t.Context(), key(1))
		if err != nil {
			t.Fatal(err)
		}
		ticket.RecordOutcome(claim.Ran, 200)
		_, err = claimer.Claim(t.Context(), key(1))
		var taken *claim.TakenError
		if !errors.As(err, &taken) || taken.State != claim.Ran {
			t.Errorf("got %v, want that it ran", err)
		}
	})
}

// Guards against claims that are refused because too many wait and are in no count, so that an overload
// does not show in the metrics.
func TestEveryClaimIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		store.SetInjector(func(string, string) memory.Fault {
			time.Sleep(time.Second)
			return memory.FaultDown
		})
		claimer := claim.Start(t.Context(), store, clock.System{}, "a")
		const calls = 5000 // more than may wait and be written at once
		var wg sync.WaitGroup
		for n := range calls {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, _ = claimer.Claim(ctx, key(n))
			})
		}
		wg.Wait()
		if c := claimer.Counts(); c.Failed != calls {
			t.Errorf("%d of %d refused claims are counted", c.Failed, calls)
		}
	})
}

// Guards against a claim that is made after its claimer has stopped and waits until its caller's
// deadline.
func TestClaimAfterStopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		claimer := claim.Start(ctx, memory.New(clock.System{}), clock.System{}, "a")
		stop()
		synctest.Wait()
		from := time.Now()
		caller, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := claimer.Claim(caller, key(1))
		var unavailable *pointport.UnavailableError
		if !errors.As(err, &unavailable) || time.Since(from) > 0 {
			t.Errorf("%v after %v, want an *UnavailableError at once", err, time.Since(from))
		}
	})
}
