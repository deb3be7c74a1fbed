package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/hedge"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
)

// This file tests how a pool manager handles the pools that its member owns.

// fakeController does nothing until it is stopped.
type fakeController struct {
	own  member.Ownership
	done chan struct{}
	stop context.CancelFunc
}

func newFakeController(own member.Ownership) *fakeController {
	ctx, stop := context.WithCancel(context.Background())
	return &fakeController{own, doneOf(ctx), stop}
}

func doneOf(ctx context.Context) chan struct{} {
	done := make(chan struct{})
	go func() {
		<-ctx.Done()
		close(done)
	}()
	return done
}

func (t *fakeController) Ownership() member.Ownership { return t.own }
func (t *fakeController) Stop()                       { t.stop() }
func (t *fakeController) Done() <-chan struct{}       { return t.done }
func (t *fakeController) Err() error                  { return context.Canceled }

// TestOwnershipStaysProvenOnASlowStore guards against an unproven ownership, during which
// nothing is scheduled in the pool. This happens if the owner key is not checked early enough while
// nothing is written to two pools and the store is slow.
func TestOwnershipStaysProvenOnASlowStore(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				kv := memory.New(clock.System{}).KV(memory.WithLatency(latency))
				s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
				r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: "a", Strength: 1}, quiet)
				pools := func() []string { return []string{"p", "q"} }
				k := member.StartPoolManager(ctx, clock.System{}, s, r, pools, newFakeController, quiet)
				time.Sleep(3 * time.Second)
				unproven := 0
				const samples = 1000
				for range samples {
					time.Sleep(10 * time.Millisecond)
					for _, pool := range pools() {
						if own, ok := k.Controller(pool); !ok || !own.Ownership().Proven() {
							unproven++
						}
					}
				}
				if unproven > 0 {
					t.Errorf("ownership unproven in %d of %d samples", unproven, 2*samples)
				}
				k.Stop()
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// fitnessController is a controller that reports itself unfit on request.
type fitnessController struct {
	*fakeController
	unfit *atomic.Bool
}

func (d fitnessController) ShouldHandOver() bool { return d.unfit.Load() }

// TestPoolOfUnfitControllerIsHandedOver guards against a pool that stays with an unfit
// controller, or returns to it, while there is another member. A member without peers keeps
// the pool, because no other member could run it.
func TestPoolOfUnfitControllerIsHandedOver(t *testing.T) {
	for _, members := range []int{1, 2} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				store := memory.New(clock.System{})
				var managers []*member.PoolManager[fitnessController]
				var unfit []*atomic.Bool
				for n := range members {
					name := string(rune('a' + n))
					kv := store.KV(memory.WithLatency(time.Millisecond))
					s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
					r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: name, Strength: 1}, quiet)
					flag := &atomic.Bool{}
					unfit = append(unfit, flag)
					managers = append(managers, member.StartPoolManager(ctx, clock.System{}, s, r, func() []string { return []string{"p"} }, func(own member.Ownership) fitnessController {
						return fitnessController{newFakeController(own), flag}
					}, quiet))
				}
				time.Sleep(6 * time.Second)
				first := ownerOf(t, managers)
				unfit[first].Store(true)
				time.Sleep(5 * time.Second)
				if now := ownerOf(t, managers); (now != first) != (members > 1) {
					t.Errorf("member %d of %d owns the pool for which member %d was unfit", now, members, first)
				}
				for _, k := range managers {
					k.Stop()
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// ownerOf returns the index of the pool manager that runs the pool's controller.
func ownerOf(t *testing.T, managers []*member.PoolManager[fitnessController]) int {
	t.Helper()
	for n, k := range managers {
		if _, ok := k.Controller("p"); ok {
			return n
		}
	}
	t.Fatal("no member runs a controller of the pool")
	return 0
}

// controllerLog records the controllers of several members, and any violations.
type controllerLog struct {
	mu         sync.Mutex
	running    map[string]int // by member and pool
	fences     map[string]bool
	started    int
	violations []string
}

// starter returns the function that starts a member's controllers. The controllers end by
// themselves after a delay while their owner keys remain, as an owner does whose writes are
// refused.
func (r *controllerLog) starter(name string) func(member.Ownership) *fakeController {
	return func(own member.Ownership) *fakeController {
		t := newFakeController(own)
		place, fence := name+" "+own.Pool, fmt.Sprint(own.Pool, " ", own.Fence)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[place] > 0 {
			r.violations = append(r.violations, place+" has two controllers at once")
		}
		if r.fences[fence] {
			r.violations = append(r.violations, fence+" is the fence of two controllers")
		}
		r.running[place]++
		r.fences[fence] = true
		r.started++
		time.AfterFunc(time.Duration(50+rand.IntN(500))*time.Millisecond, t.stop)
		ended := make(chan struct{})
		go func() {
			<-t.done
			time.Sleep(time.Millisecond)
			r.mu.Lock()
			r.running[place]--
			r.mu.Unlock()
			close(ended)
		}()
		return &fakeController{own, ended, t.stop}
	}
}

// TestPoolHasOneControllerAtATime guards against two controllers of one pool in the same
// member at once, and two under the same fence. Several pool managers run in parallel with
// controllers that end by themselves, on a store that loses calls and answers and from which
// owner keys disappear.
func TestPoolHasOneControllerAtATime(t *testing.T) {
	store := memory.New(clock.System{})
	r := &controllerLog{running: make(map[string]int), fences: make(map[string]bool)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	fault := func(string, string) memory.Fault {
		if rand.IntN(8) > 0 {
			return memory.FaultNone
		}
		return []memory.Fault{memory.FaultDown, memory.FaultLostAnswer, memory.FaultLostCall, memory.FaultLate}[rand.IntN(4)]
	}
	names := []string{"p", "q", "r"}
	for _, name := range []string{"a", "b", "c"} {
		kv := hedge.New(store.KV(memory.WithFaults(fault)), clock.System{})
		s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
		roster := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: name, Strength: 1}, quiet)
		member.StartPoolManager(ctx, clock.System{}, s, roster, func() []string { return names }, r.starter(name), quiet)
	}
	const duration = 4 * time.Second
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		store.ExpireKey(member.OwnerKey(names[rand.IntN(len(names))]))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) > 0 || r.started < 2*len(names) {
		t.Errorf("%d controllers were started; violations: %v", r.started, r.violations)
	}
}
