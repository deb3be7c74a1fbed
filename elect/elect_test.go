package elect_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/elect"
	"github.com/pointport/pointport/memory"
)

const ttl = 9 * time.Second

func start(ctx context.Context, store *memory.Store, name string) *elect.Candidate {
	return elect.Start(ctx, store, clock.System{}, "planner", name, ttl)
}

// TestTakeOver lets a holder die, stop as planned and be cut off.
func TestTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		firstCtx, stop := context.WithCancel(t.Context())
		first := start(firstCtx, store, "first")
		time.Sleep(time.Millisecond)
		second := start(t.Context(), store, "second")
		time.Sleep(time.Minute)
		if !first.Held() || second.Held() || second.OtherHolder() != "first" {
			t.Errorf("first %v, second %v, the second knows %q", first.Held(), second.Held(), second.OtherHolder())
		}
		stop()
		time.Sleep(ttl + time.Millisecond)
		if first.Held() || !second.Held() {
			t.Errorf("after the planned stop: first %v, second %v", first.Held(), second.Held())
		}
	})
}

// TestHolderCutOff keeps a holder from counting on a lease that may have lapsed.
func TestHolderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		c := start(t.Context(), store, "first")
		time.Sleep(time.Millisecond)
		if !c.Held() {
			t.Fatal("the lease was not granted")
		}
		store.SetInjector(func(string, string) memory.Fault { return memory.FaultLostAnswer })
		time.Sleep(ttl)
		if c.Held() {
			t.Error("the lease is counted on although no answer came")
		}
	})
}

// TestCallsOfOtherCandidates counts what candidates without the lease cost.
func TestCallsOfOtherCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
			start(t.Context(), store, name)
		}
		time.Sleep(time.Second)
		before := store.Counts().Leases
		time.Sleep(90 * time.Second)
		const want = 30 + 8*10 // the holder thrice in its time, the others once
		if n := store.Counts().Leases - before; n < want-9 || n > want+9 {
			t.Errorf("nine candidates cost %d calls in ten times the lease, want about %d", n, want)
		}
	})
}
