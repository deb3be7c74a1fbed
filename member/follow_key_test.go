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

// This file tests how a single key is followed.

// A followed key is one that is being followed, with what became known of it.
type followed struct {
	store *memory.Store

	mu     sync.Mutex
	values []string
	fault  memory.Fault
	calls  int
	checks int // calls that are writing calls to the store
}

// follow follows the key k of a new store until ctx ends.
func follow(ctx context.Context, options ...member.KeyOption) *followed {
	f := &followed{store: memory.New(clock.System{})}
	inject := func(op, _ string) memory.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.calls++
		if op == "commit" {
			f.checks++
		}
		return f.fault
	}
	take := func(e pointport.Entry) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.values = append(f.values, string(e.Value()))
	}
	kv := f.store.KV(memory.WithFaults(inject), memory.WithLatency(time.Millisecond))
	go member.FollowKey(ctx, kv, clock.System{}, "k", take, func(error) {}, options...)
	return f
}

func (f *followed) put(t interface{ Fatal(...any) }, value string) {
	if _, err := f.store.KV().Commit(context.Background(), pointport.Txn{Put: []pointport.Put{{Key: "k", Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

func (f *followed) setFault(fault memory.Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// newest returns what is known of the key, and how often it was taken.
func (f *followed) newest() (string, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.values) == 0 {
		return "", 0
	}
	return f.values[len(f.values)-1], len(f.values)
}

// asked returns how many questions the store was asked.
func (f *followed) asked() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// commits returns how many of the questions were writing calls.
func (f *followed) commits() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checks
}

// Whatever the store does, the newest value is known two seconds after it has recovered,
// values never come back older, and none is carried twice.
func TestNewestValueIsKnown(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"put", "put", "wait", "pause", "deaf", "hears", "forgets", "mute", "refuses", "answers"}), 1, 30).Draw(rt, "steps")
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
				case "deaf", "hears":
					f.store.DropWatchEvents(step == "deaf")
				case "forgets":
					f.store.Compact()
				case "mute":
					f.setFault(memory.FaultLostAnswer)
				case "refuses":
					f.setFault(memory.FaultDown)
				case "answers":
					f.setFault(memory.FaultNone)
				}
			}
			f.setFault(memory.FaultNone)
			f.store.DropWatchEvents(false)
			time.Sleep(2 * time.Second)
			if got, _ := f.newest(); last > 0 && got != strconv.Itoa(last) {
				rt.Errorf("%q is known, want %d", got, last)
			}
			cancel()
			synctest.Wait()
			for i := range f.values[:max(len(f.values)-1, 0)] {
				before, _ := strconv.Atoi(f.values[i])
				after, _ := strconv.Atoi(f.values[i+1])
				if after <= before {
					rt.Errorf("%d came after %d", after, before)
				}
			}
		})
	})
}

// At rest two questions a second are asked, one of them waiting.
func TestKeyAtRestIsCheap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t.Context())
		time.Sleep(time.Second)
		before := f.asked()
		time.Sleep(10 * time.Second)
		if got := f.asked() - before; got > 22 {
			t.Errorf("%d questions in ten seconds, want 20", got)
		}
	})
}

// At rest few of the questions of a follower that makes sure seldom are writing calls.
func TestKeyIsMadeSureOfSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t.Context(), member.RecheckInterval(func() time.Duration { return 15 * time.Second }))
		time.Sleep(time.Second)
		all, checks := f.asked(), f.commits()
		time.Sleep(60 * time.Second)
		if got := f.commits() - checks; got > 5 {
			t.Errorf("%d conditional checks in a minute, want 4", got)
		}
		if got := f.asked() - all; got > 66 {
			t.Errorf("%d questions in a minute, want 64", got)
		}
	})
}

// A change that is made while watches hear nothing for a second, after which the store has
// forgotten its changes, is known within two seconds however seldom the key is made sure of.
func TestChangeInADeafSecondIsKnownInTime(t *testing.T) {
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
			if got, _ := f.newest(); got != "2" {
				t.Errorf("%v on: %q is known two seconds after the change", offset, got)
			}
		})
	}
}

// While the store refuses calls because there are too many, it is asked ever less often.
func TestFollowerYieldsToABusyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t.Context())
		time.Sleep(time.Second)
		f.setFault(memory.FaultBusy)
		time.Sleep(5 * time.Second)
		before := f.asked()
		time.Sleep(20 * time.Second)
		if got := f.asked() - before; got > 30 {
			t.Errorf("%d questions in 20 s to a store that is busy, want 1 a second or so", got)
		}
		f.setFault(memory.FaultNone)
		f.put(t, "1")
		time.Sleep(2 * time.Second)
		if got, _ := f.newest(); got != "1" {
			t.Errorf("%q is known two seconds after the store takes calls again", got)
		}
	})
}
