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

// withFaults runs test with a hedged store whose first calls meet the given faults, in
// order; later calls succeed. The store reliable holds the same data without faults.
func withFaults(t *testing.T, test func(ctx context.Context, kv, reliable pointport.KV, calls *atomic.Int64), faults ...memory.Fault) {
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
		time.Sleep(time.Minute) // until late calls have ended
	})
}

var create = pointport.Txn{
	If:  []pointport.Condition{{Key: "k"}},
	Put: []pointport.Put{{Key: "k", Value: []byte("v")}},
}

// maxDelay bounds the time until an answer although the first one is lost.
const maxDelay = 100 * time.Millisecond

// TestLostAnswerIsReplacedQuickly loses the first call or its answer. The repeated call
// must give a result long before the first one times out: success, or a conflict that
// shows that the first call's change was made.
func TestLostAnswerIsReplacedQuickly(t *testing.T) {
	for name, fault := range map[string]memory.Fault{"call lost": memory.FaultLostCall, "call delayed": memory.FaultLate} {
		t.Run(name, func(t *testing.T) {
			withFaults(t, func(ctx context.Context, kv, _ pointport.KV, _ *atomic.Int64) {
				from := time.Now()
				if _, err := kv.Commit(ctx, create); err != nil || time.Since(from) > maxDelay {
					t.Errorf("%v after %v, want success within %v", err, time.Since(from), maxDelay)
				}
			}, fault)
		})
	}
	t.Run("answer lost", func(t *testing.T) {
		withFaults(t, func(ctx context.Context, kv, _ pointport.KV, _ *atomic.Int64) {
			from := time.Now()
			_, err := kv.Commit(ctx, create)
			var conflict *pointport.TxnConflictError
			if !errors.As(err, &conflict) || len(conflict.Entries) != 1 || string(conflict.Entries[0].Value()) != "v" || time.Since(from) > maxDelay {
				t.Errorf("%v after %v, want a conflict that shows the change within %v", err, time.Since(from), maxDelay)
			}
		}, memory.FaultLostAnswer)
	})
	t.Run("read", func(t *testing.T) {
		withFaults(t, func(ctx context.Context, kv, _ pointport.KV, _ *atomic.Int64) {
			from := time.Now()
			if _, err := kv.Get(ctx, "k"); err != nil || time.Since(from) > maxDelay {
				t.Errorf("%v after %v, want an answer within %v", err, time.Since(from), maxDelay)
			}
		}, memory.FaultLostCall)
	})
}

// TestUnconditionalChangeIsSentOnce checks that a change without a condition is not
// repeated, since a repeated call could make it twice.
func TestUnconditionalChangeIsSentOnce(t *testing.T) {
	withFaults(t, func(ctx context.Context, kv, _ pointport.KV, calls *atomic.Int64) {
		_, err := kv.Commit(ctx, pointport.Txn{Put: create.Put})
		var unavailable *pointport.UnavailableError
		if !errors.As(err, &unavailable) || calls.Load() != 1 {
			t.Errorf("%v after %d calls, want it unavailable after one call", err, calls.Load())
		}
	}, memory.FaultLostAnswer)
}

// TestAmbiguityIsKept loses or delays the first call or its answer, and refuses or loses
// the repeated calls. The change may have been made by the first call, so the error must be
// ambiguous whichever call ends last.
func TestAmbiguityIsKept(t *testing.T) {
	for _, faults := range [][]memory.Fault{
		{memory.FaultLostAnswer, memory.FaultDown, memory.FaultDown, memory.FaultDown},
		{memory.FaultLostCall, memory.FaultLostCall, memory.FaultLostCall, memory.FaultLostCall},
		{memory.FaultLate, memory.FaultDown, memory.FaultDown, memory.FaultDown},
	} {
		withFaults(t, func(ctx context.Context, kv, _ pointport.KV, _ *atomic.Int64) {
			_, err := kv.Commit(ctx, create)
			var unavailable *pointport.UnavailableError
			if !errors.As(err, &unavailable) || !unavailable.Ambiguous {
				t.Errorf("faults %v: %v, want an ambiguous error", faults, err)
			}
		}, faults...)
	}
}

// TestSlowStoreGetsFewRepeatedCalls reads from a store that answers reliably but slower
// than the initial overdue time. Once its latency is learned, calls must not be repeated.
func TestSlowStoreGetsFewRepeatedCalls(t *testing.T) {
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
			t.Errorf("%d calls for 20 reads, want at most 26", got)
		}
	})
}
