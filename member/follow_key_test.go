package member_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
)

// This file tests FollowKey.

// followTest follows a key and records what FollowKey reports of it.
type followTest struct {
	store *memory.Store

	mu     sync.Mutex
	values []string
	fault  memory.Fault
	calls  int
	writes int // requests that count as writes at the store
}

// follow follows the key k of a new store until ctx ends.
func follow(ctx context.Context, options ...member.KeyOption) *followTest {
	f := &followTest{store: memory.New(clock.System{})}
	injectFault := func(op, _ string) memory.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calls++
		if op == "commit" {
			f.writes++
		}
		return f.fault
	}
	onChange := func(e pointport.Entry) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.values = append(f.values, string(e.Value()))
	}
	kv := f.store.KV(memory.WithFaults(injectFault), memory.WithLatency(time.Millisecond))
	go member.FollowKey(ctx, kv, clock.System{}, "k", onChange, func(error) {}, options...)
	return f
}

func (f *followTest) put(t interface{ Fatal(...any) }, value string) {
	if _, err := f.store.KV().Commit(context.Background(), pointport.Txn{Put: []pointport.Put{{Key: "k", Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

func (f *followTest) setFault(fault memory.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// lastValue returns the newest value reported, and the number of values reported.
func (f *followTest) lastValue() (string, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.values) == 0 {
		return "", 0
	}
	return f.values[len(f.values)-1], len(f.values)
}

// requestCount returns how many requests were sent to the store.
func (f *followTest) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// writeCount returns how many of the requests count as writes.
func (f *followTest) writeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes
}

// TestFollowKeyDeliversNewestValue guards against a follower that misses the newest value,
// goes back to an older one or transfers a value twice, after any sequence of failures of the
// store. The newest value must be known two seconds after the store has recovered.
func TestFollowKeyDeliversNewestValue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"put", "put", "wait", "pause", "drop changes", "send changes", "compact", "lose answers", "refuse", "recover"}), 1, 30).Draw(rt, "steps")
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := follow(ctx)
			last := 0
			for _, step := range steps {
				switch step {
				case "put":
					last++
					f.put(rt, strconv.Itoa(last))
				case "wait":
					time.Sleep(30 * time.Millisecond)
				case "pause":
					time.Sleep(700 * time.Millisecond)
				case "drop changes", "send changes":
					f.store.DropWatchEvents(step == "drop changes")
				case "compact":
					f.store.Compact()
				case "lose answers":
					f.setFault(memory.FaultLostAnswer)
				case "refuse":
					f.setFault(memory.FaultDown)
				case "recover":
					f.setFault(memory.FaultNone)
				}
			}
			f.setFault(memory.FaultNone)
			f.store.DropWatchEvents(false)
			time.Sleep(2 * time.Second)
			if got, _ := f.lastValue(); last > 0 && got != strconv.Itoa(last) {
				rt.Errorf("newest value is %q, want %d", got, last)
			}
			cancel()
			synctest.Wait()
			for i := range f.values[:max(len(f.values)-1, 0)] {
				before, _ := strconv.Atoi(f.values[i])
				after, _ := strconv.Atoi(f.values[i+1])
				if after <= before {
					rt.Errorf("value %d was reported after %d", after, before)
				}
			}
		})
	})
}

// TestFollowKeySendsFewRequestsWithoutChanges guards against needless load on the store: while
// a key does not change, its follower sends two requests a second, one of them a watch that
// waits.
func TestFollowKeySendsFewRequestsWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t.Context())
		time.Sleep(time.Second)
		before := f.requestCount()
		time.Sleep(10 * time.Second)
		if got := f.requestCount() - before; got > 22 {
			t.Errorf("%d requests in ten seconds, want 20", got)
		}
	})
}

// TestRecheckIntervalLimitsWrites guards against needless writes: the conditional check of a
// key counts as a write, so a follower with a long recheck interval must send few of them.
func TestRecheckIntervalLimitsWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t.Context(), member.RecheckInterval(func() time.Duration { return 15 * time.Second }))
		time.Sleep(time.Second)
		requests, writes := f.requestCount(), f.writeCount()
		time.Sleep(60 * time.Second)
		if got := f.writeCount() - writes; got > 5 {
			t.Errorf("%d conditional checks in a minute, want 4", got)
		}
		if got := f.requestCount() - requests; got > 66 {
			t.Errorf("%d requests in a minute, want 64", got)
		}
	})
}

// TestFollowKeyDeliversChangeMissedByWatch guards against a change that stays unknown until
// the next check. It is made during a second in which the store sends no changes to watches,
// and has been compacted when the store sends changes again. It must be known within two
// seconds, however long the recheck interval is.
func TestFollowKeyDeliversChangeMissedByWatch(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 170 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := follow(t.Context(), member.RecheckInterval(func() time.Duration { return 15 * time.Second }))
			f.put(t, "1")
			time.Sleep(3*time.Second + offset)
			f.store.DropWatchEvents(true)
			f.put(t, "2")
			time.Sleep(time.Second)
			f.store.DropWatchEvents(false)
			f.store.Compact()
			time.Sleep(time.Second)
			if got, _ := f.lastValue(); got != "2" {
				t.Errorf("offset %v: value is %q two seconds after the change, want \"2\"", offset, got)
			}
		})
	}
}

// TestFollowKeyBacksOffFromBusyStore guards against a follower that keeps up the load on a
// store that refuses calls because it receives too many.
func TestFollowKeyBacksOffFromBusyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t.Context())
		time.Sleep(time.Second)
		f.setFault(memory.FaultBusy)
		time.Sleep(5 * time.Second)
		before := f.requestCount()
		time.Sleep(20 * time.Second)
		if got := f.requestCount() - before; got > 30 {
			t.Errorf("%d requests in 20 s to a busy store, want about 1 a second", got)
		}
		f.setFault(memory.FaultNone)
		f.put(t, "1")
		time.Sleep(2 * time.Second)
		if got, _ := f.lastValue(); got != "1" {
			t.Errorf("value is %q two seconds after the store accepts calls again, want \"1\"", got)
		}
	})
}
