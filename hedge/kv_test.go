package hedge_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/hedge"
	"github.com/pointport/pointport/memory"
)

// play has a store treat its first calls by some faults, in order, and all later ones
// well.
func play(t *testing.T, test func(ctx context.Context, kv, reliable pointport.KV, calls *atomic.Int64), faults ...memory.Fault) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		var calls atomic.Int64
		inject := func(string, string) memory.Fault {
			if n := calls.Add(1); int(n) <= len(faults) {
				return faults[n-1]
			}
			return memory.FaultNone
		}
		kv := hedge.New(store.KV(memory.WithFaults(inject)), clock.System{})
		test(t.Context(), kv, store.KV(), &calls)
		time.Sleep(time.Minute) // until late calls are done
	})
}

var create = pointport.Txn{
	If:  []pointport.Condition{{Key: "k"}},
	Put: []pointport.Put{{Key: "k", Value: []byte("v")}},
}

// soon is within which time an answer comes although the first one is lost.
const soon = 100 * time.Millisecond

func TestLostAnswersAreFoundOutSoon(t *testing.T) {
	for name, fault := range map[string]memory.Fault{"never made": memory.FaultLostCall, "made later": memory.FaultLate} {
		t.Run(name, func(t *testing.T) {
			play(t, func(ctx context.Context, kv, _ pointport.KV, _ *atomic.Int64) {
				from := time.Now()
				if _, err := kv.Commit(ctx, create); err != nil || time.Since(from) > soon {
					t.Errorf("%v after %v, want success within %v", err, time.Since(from), soon)
				}
			}, fault)
		})
	}
	t.Run("made", func(t *testing.T) {
		play(t, func(ctx context.Context, kv, _ pointport.KV, _ *atomic.Int64) {
			from := time.Now()
			_, err := kv.Commit(ctx, create)
			var conflict *pointport.TxnConflictError
			if !errors.As(err, &conflict) || len(conflict.Entries) != 1 || string(conflict.Entries[0].Value()) != "v" || time.Since(from) > soon {
				t.Errorf("%v after %v, want a conflict that shows the change within %v", err, time.Since(from), soon)
			}
		}, memory.FaultLostAnswer)
	})
	t.Run("read", func(t *testing.T) {
		play(t, func(ctx context.Context, kv, _ pointport.KV, _ *atomic.Int64) {
			from := time.Now()
			if _, err := kv.Get(ctx, "k"); err != nil || time.Since(from) > soon {
				t.Errorf("%v after %v, want an answer within %v", err, time.Since(from), soon)
			}
		}, memory.FaultLostCall)
	})
}

// A change that nothing keeps from being made twice is sent once.
func TestUnconditionalChangeIsSentOnce(t *testing.T) {
	play(t, func(ctx context.Context, kv, _ pointport.KV, calls *atomic.Int64) {
		_, err := kv.Commit(ctx, pointport.Txn{Put: create.Put})
		var unavailable *pointport.UnavailableError
		if !errors.As(err, &unavailable) || calls.Load() != 1 {
			t.Errorf("%v after %d calls, want no answer after one", err, calls.Load())
		}
	}, memory.FaultLostAnswer)
}

// Whichever of two calls is refused, a change that may have been made is not reported
// as not made.
func TestDoubtIsKept(t *testing.T) {
	for _, faults := range [][]memory.Fault{
		{memory.FaultLostAnswer, memory.FaultDown, memory.FaultDown, memory.FaultDown},
		{memory.FaultLostCall, memory.FaultLostCall, memory.FaultLostCall, memory.FaultLostCall},
		{memory.FaultLate, memory.FaultDown, memory.FaultDown, memory.FaultDown},
	} {
		play(t, func(ctx context.Context, kv, _ pointport.KV, _ *atomic.Int64) {
			_, err := kv.Commit(ctx, create)
			var unavailable *pointport.UnavailableError
			if !errors.As(err, &unavailable) || !unavailable.Ambiguous {
				t.Errorf("faults %v: %v, want an answer that leaves it open", faults, err)
			}
		}, faults...)
	}
}

// A store that is slow as such is asked once, when that is known.
func TestSlowStoreIsNotAskedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		count := func(string, string) memory.Fault { calls.Add(1); return memory.FaultNone }
		store := memory.New(clock.System{})
		kv := hedge.New(store.KV(memory.WithFaults(count), memory.WithLatency(150*time.Millisecond)), clock.System{})
		for range 20 {
			if _, err := kv.Get(t.Context(), "k"); err != nil {
				t.Fatal(err)
			}
		}
		if got := calls.Load(); got > 26 {
			t.Errorf("%d calls for 20 questions", got)
		}
	})
}
