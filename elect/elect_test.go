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

// TestTakeOver guards against two holders at once and against a lease that is not taken over
// after its holder has stopped.
func TestTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		firstCtx, stop := context.WithCancel(t.Context())
		first := start(firstCtx, store, "first")
		time.Sleep(time.Millisecond)
		second := start(t.Context(), store, "second")
		time.Sleep(time.Minute)
		if !first.Held() || second.Held() || second.OtherHolder() != "first" {
			t.Errorf("first holds %v, second holds %v, second knows the holder %q", first.Held(), second.Held(), second.OtherHolder())
		}
		stop()
		time.Sleep(ttl + time.Millisecond)
		if first.Held() || !second.Held() {
			t.Errorf("after the first has stopped: first holds %v, second holds %v", first.Held(), second.Held())
		}
	})
}

// TestHolderCutOff guards against a holder that relies on a lease that may have expired
// because it gets no answers.
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
			t.Error("the lease is held although its TTL has passed without an answer")
		}
	})
}

// TestCallsOfOtherCandidates guards against candidates that cost too many calls while another
// process holds the lease.
func TestCallsOfOtherCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
			start(t.Context(), store, name)
		}
		time.Sleep(time.Second)
		before := store.Counts().Leases
		time.Sleep(90 * time.Second)
		const want = 30 + 8*10 // the holder renews three times in each TTL, the others try once
		if n := store.Counts().Leases - before; n < want-9 || n > want+9 {
			t.Errorf("nine candidates made %d calls in ten TTLs, want about %d", n, want)
		}
	})
}
