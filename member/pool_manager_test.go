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

// This file tests how a keeper looks after the pools that it owns.

// A tenant does nothing until it is stopped.
type tenant struct {
	own  member.Ownership
	done chan struct{}
	stop context.CancelFunc
}

func newTenant(own member.Ownership) *tenant {
	ctx, stop := context.WithCancel(context.Background())
	return &tenant{own, doneOf(ctx), stop}
}

func doneOf(ctx context.Context) chan struct{} {
	done := make(chan struct{})
	go func() {
		<-ctx.Done()
		close(done)
	}()
	return done
}

func (t *tenant) Ownership() member.Ownership { return t.own }
func (t *tenant) Stop()                       { t.stop() }
func (t *tenant) Done() <-chan struct{}       { return t.done }
func (t *tenant) Err() error                  { return context.Canceled }

// Two pools stay proven without a break while nothing is written and the store takes
// its time; a pool that is unproven stands still.
func TestOwnershipStaysProvenOnASlowStore(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				kv := memory.New(clock.System{}).KV(memory.WithLatency(latency))
				s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
				r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: "a", Strength: 1}, quiet)
				pools := func() []string { return []string{"p", "q"} }
				k := member.StartPoolManager(ctx, clock.System{}, s, r, pools, newTenant, quiet)
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
					t.Errorf("unproven in %d of %d samples", unproven, 2*samples)
				}
				k.Stop()
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// A doubter is a tenant that says whether it is unfit.
type doubter struct {
	*tenant
	unfit *atomic.Bool
}

func (d doubter) Unfit() bool { return d.unfit.Load() }

// A pool whose tenant says that it is unfit goes to the other member and stays there; a
// member that is alone keeps it, as there is nobody who could do better.
func TestUnfitTenantsPoolGoesToAnotherMember(t *testing.T) {
	for _, members := range []int{1, 2} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				store := memory.New(clock.System{})
				var keepers []*member.PoolManager[doubter]
				var unfit []*atomic.Bool
				for n := range members {
					name := string(rune('a' + n))
					kv := store.KV(memory.WithLatency(time.Millisecond))
					s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
					r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: name, Strength: 1}, quiet)
					says := &atomic.Bool{}
					unfit = append(unfit, says)
					keepers = append(keepers, member.StartPoolManager(ctx, clock.System{}, s, r, func() []string { return []string{"p"} }, func(own member.Ownership) doubter {
						return doubter{newTenant(own), says}
					}, quiet))
				}
				time.Sleep(6 * time.Second)
				first := holderOf(t, keepers)
				unfit[first].Store(true)
				time.Sleep(5 * time.Second)
				if now := holderOf(t, keepers); (now != first) != (members > 1) {
					t.Errorf("member %d of %d has the pool that member %d was unfit for", now, members, first)
				}
				for _, k := range keepers {
					k.Stop()
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// holderOf returns which of some keepers has the pool.
func holderOf(t *testing.T, keepers []*member.PoolManager[doubter]) int {
	t.Helper()
	for n, k := range keepers {
		if _, ok := k.Controller("p"); ok {
			return n
		}
	}
	t.Fatal("nobody has the pool")
	return 0
}

// A register knows the tenants of several members.
type register struct {
	mu     sync.Mutex
	live   map[string]int // by member and pool
	fences map[string]bool
	begun  int
	wrong  []string
}

// starter returns what starts a member's tenants. They end by themselves while their keys
// stay, as owners do whose changes are refused, and take their time.
func (r *register) starter(name string) func(member.Ownership) *tenant {
	return func(own member.Ownership) *tenant {
		t := newTenant(own)
		place, fence := name+" "+own.Pool, fmt.Sprint(own.Pool, " ", own.Fence)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.live[place] > 0 {
			r.wrong = append(r.wrong, place+" has two tenants at once")
		}
		if r.fences[fence] {
			r.wrong = append(r.wrong, fence+" is the fence of two tenants")
		}
		r.live[place]++
		r.fences[fence] = true
		r.begun++
		time.AfterFunc(time.Duration(50+rand.IntN(500))*time.Millisecond, t.stop)
		ended := make(chan struct{})
		go func() {
			<-t.done
			time.Sleep(time.Millisecond)
			r.mu.Lock()
			r.live[place]--
			r.mu.Unlock()
			close(ended)
		}()
		return &tenant{own, ended, t.stop}
	}
}

// Keepers that run in parallel, on a store that loses calls and answers and from which keys
// vanish, with tenants that end by themselves, never have two tenants of one pool at once, nor two with one fence.
func TestPoolHasOneTenantAtATime(t *testing.T) {
	store := memory.New(clock.System{})
	r := &register{live: make(map[string]int), fences: make(map[string]bool)}
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
	const lasts = 4 * time.Second
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		store.ExpireKey(member.OwnerKey(names[rand.IntN(len(names))]))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.wrong) > 0 || r.begun < 2*len(names) {
		t.Errorf("%d tenants have begun; wrong: %v", r.begun, r.wrong)
	}
}
