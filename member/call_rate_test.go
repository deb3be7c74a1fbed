package member_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
)

// This file tests how many calls to the store members make among many.

// When 300 members start together, the roster is not told to each of them at every change.
func TestMembersThatStartTogetherSendFewWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, most = 300, 6000 // calls, in 3 s, what a small store takes
		ctx, cancel := context.WithCancel(context.Background())
		kv := newLimitedStore(memory.New(clock.System{}), false)
		for n := range members {
			s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
			member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: fmt.Sprintf("m%03d", n), Strength: 1}, quiet)
			time.Sleep(300 * time.Millisecond / members)
		}
		time.Sleep(3 * time.Second)
		t.Logf("%d watches within 3 s of the start", kv.count("watch"))
		if got := kv.count("watch"); got > most {
			t.Errorf("%d watches, want %d at most", got, most)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// A member that owns nothing takes its first pool under a short lease: once it is gone the
// pool is free as soon as if it had owned one before.
func TestFirstPoolIsTakenUnderShortLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		p := startMember(store, "a", 1)
		time.Sleep(5 * time.Second)
		if _, err := p.roster.Take(context.Background(), "p"); err != nil {
			t.Fatal(err)
		}
		p.stop()
		time.Sleep(member.DefaultTTL + 50*time.Millisecond)
		e, err := store.KV().Get(context.Background(), member.OwnerKey("p"))
		if err != nil || e.Exists() {
			t.Errorf("the pool is owned %v after its owner is gone: %v", member.DefaultTTL, err)
		}
		stopMembers(p)
	})
}

// The lease under which something is owned is not exchanged, however long it is since
// anybody asked for a short one.
func TestOwnersLeaseIsNotExchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		p := startMember(store, "a", 1)
		time.Sleep(5 * time.Second)
		own, err := p.roster.Take(context.Background(), "p")
		if err != nil {
			t.Fatal(err)
		}
		lease := p.session.Lease()
		time.Sleep(time.Minute)
		if held, ok := p.roster.Holding("p"); !ok || !held.Mine || p.session.Lease() != lease {
			t.Errorf("held %v by %+v; lease %d, was %d", ok, held, p.session.Lease(), lease)
		}
		if err := p.roster.Release(context.Background(), own); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if p.session.Lease() == lease {
			t.Error("the short lease is kept by a member that owns nothing")
		}
		stopMembers(p)
	})
}

// A managedMember is a member that looks after pools.
type managedMember struct {
	keeper *member.PoolManager[*fakeController]
	cancel context.CancelFunc
}

// startManagedMember starts a worker.
func startManagedMember(kv pointport.KV, name string, pools []string) *managedMember {
	ctx, cancel := context.WithCancel(context.Background())
	s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
	r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: name, Strength: 1}, quiet)
	k := member.StartPoolManager(ctx, clock.System{}, s, r, func() []string { return pools }, newFakeController, quiet)
	return &managedMember{k, cancel}
}

// While members that own nothing come and go, leases are exchanged to and fro, and no
// ownership ends or is unproven because of that.
func TestLeaseExchangesLoseNoOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, replaced, steps, step = 24, 8, 10, 13 * time.Second
		pools := []string{"p", "q"}
		kv := newLimitedStore(memory.New(clock.System{}), false)
		var workers []*managedMember
		started := 0
		start := func(n int) {
			for range n {
				started++
				workers = append(workers, startManagedMember(kv, fmt.Sprintf("m%03d", started), pools))
			}
		}
		start(members)
		time.Sleep(5 * time.Second)
		before := fences(t, workers)
		for range steps {
			start(replaced)
			left := replaced
			workers = slices.DeleteFunc(workers, func(w *managedMember) bool {
				if left == 0 || w.keeper.Count() > 0 {
					return false
				}
				left--
				w.cancel()
				return true
			})
			for from := time.Now(); time.Since(from) < step; time.Sleep(10 * time.Millisecond) {
				if now := fences(t, workers); !maps.Equal(now, before) {
					t.Fatalf("pools are owned under %v, and were under %v", now, before)
				}
			}
		}
		if got := kv.count("grant") - started; got < 2*steps {
			t.Errorf("%d leases were exchanged", got)
		}
		for _, w := range workers {
			w.keeper.Stop()
			w.cancel()
		}
		time.Sleep(10 * time.Second)
	})
}

// fences returns under which fence each pool is owned. Each must be proven, and by one.
func fences(t *testing.T, workers []*managedMember) map[string]pointport.Fence {
	t.Helper()
	out := make(map[string]pointport.Fence)
	for _, w := range workers {
		for _, tenant := range w.keeper.Controllers() {
			own := tenant.Ownership()
			if _, ok := out[own.Pool]; ok {
				t.Errorf("%s is owned twice", own.Pool)
			}
			if !own.Proven() {
				t.Errorf("the ownership of %s is unproven", own.Pool)
			}
			out[own.Pool] = own.Fence
		}
	}
	return out
}

// A limitedStore is a store that counts its calls and, if it is limited, refuses those beyond a
// number of reading and of writing ones a second, as a small store does.
type limitedStore struct {
	pointport.KV
	limited bool

	mu         sync.Mutex
	refilledAt time.Time
	budget     map[bool]float64 // by whether calls write
	calls      map[string]int   // by what is asked
	refused    int
}

// The quotas of a small store, in calls a second.
const (
	readsPerSecond  = 2000
	writesPerSecond = 400
)

// newLimitedStore returns a store with the quotas of a small one, or without any.
func newLimitedStore(store *memory.Store, limited bool) *limitedStore {
	return &limitedStore{
		KV: store.KV(memory.WithLatency(4 * time.Millisecond)), limited: limited, refilledAt: time.Now(),
		budget: map[bool]float64{false: readsPerSecond, true: writesPerSecond}, calls: make(map[string]int),
	}
}

// admit counts a call and returns an error if it is beyond the quota.
func (q *limitedStore) admit(op string, writes bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls[op]++
	passed := time.Since(q.refilledAt).Seconds()
	q.refilledAt = time.Now()
	q.budget[false] = min(q.budget[false]+passed*readsPerSecond, readsPerSecond)
	q.budget[true] = min(q.budget[true]+passed*writesPerSecond, writesPerSecond)
	if q.limited && q.budget[writes] < 1 {
		q.refused++
		return &pointport.UnavailableError{Op: op, Busy: true, Err: errors.New("too many calls")}
	}
	q.budget[writes]--
	return nil
}

// count returns how many calls of a kind were made.
func (q *limitedStore) count(op string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.calls[op]
}

// refusals returns how many calls were refused since it was asked last.
func (q *limitedStore) refusals() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.refused
	q.refused = 0
	return n
}

func (q *limitedStore) Get(ctx context.Context, key string) (pointport.Entry, error) {
	if err := q.admit("get", false); err != nil {
		return pointport.Entry{}, err
	}
	return q.KV.Get(ctx, key)
}

func (q *limitedStore) Range(ctx context.Context, prefix, after string) (pointport.Page, error) {
	if err := q.admit("range", false); err != nil {
		return pointport.Page{}, err
	}
	return q.KV.Range(ctx, prefix, after)
}

func (q *limitedStore) WatchPrefix(ctx context.Context, prefix string, after pointport.Revision, wait time.Duration) (pointport.Changes, error) {
	if err := q.admit("watch", false); err != nil {
		return pointport.Changes{}, err
	}
	return q.KV.WatchPrefix(ctx, prefix, after, wait)
}

func (q *limitedStore) Renew(ctx context.Context, lease pointport.LeaseID) error {
	if err := q.admit("renew", false); err != nil {
		return err
	}
	return q.KV.Renew(ctx, lease)
}

func (q *limitedStore) Commit(ctx context.Context, txn pointport.Txn) (pointport.Revision, error) {
	if err := q.admit("commit", true); err != nil {
		return 0, err
	}
	return q.KV.Commit(ctx, txn)
}

func (q *limitedStore) Grant(ctx context.Context, ttl time.Duration) (pointport.LeaseID, error) {
	if err := q.admit("grant", true); err != nil {
		return 0, err
	}
	return q.KV.Grant(ctx, ttl)
}

func (q *limitedStore) Revoke(ctx context.Context, lease pointport.LeaseID) error {
	if err := q.admit("revoke", true); err != nil {
		return err
	}
	return q.KV.Revoke(ctx, lease)
}

// When 300 members start together on a small store, it refuses calls for some seconds at
// most, each pool has an owner soon, none changes hands and no member has two.
func TestManyMembersStartOnASmallStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members = 300
		pools := []string{"a", "b", "c", "d", "e"}
		q := newLimitedStore(memory.New(clock.System{}), true)
		var workers []*managedMember
		for n := range members {
			workers = append(workers, startManagedMember(q, fmt.Sprintf("m%03d", n), pools))
			time.Sleep(300 * time.Millisecond / members)
		}
		time.Sleep(3 * time.Second)
		t.Logf("%d calls refused in the first seconds", q.refusals())
		before := fences(t, workers)
		if len(before) != len(pools) {
			t.Errorf("%d of %d pools are owned", len(before), len(pools))
		}
		for _, w := range workers {
			if w.keeper.Count() > 1 {
				t.Errorf("a member owns %d pools", w.keeper.Count())
			}
		}
		for from := time.Now(); time.Since(from) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
			if now := fences(t, workers); !maps.Equal(now, before) {
				t.Fatalf("pools are owned under %v, and were under %v", now, before)
			}
		}
		if n := q.refusals(); n > 0 {
			t.Errorf("%d calls are refused after that", n)
		}
		for _, w := range workers {
			w.keeper.Stop()
			w.cancel()
		}
		time.Sleep(10 * time.Second)
	})
}

// A member that tries to take a pool while the store refuses its calls does not ask for a
// lease without a break.
func TestTakeOnBusyStoreRequestsFewLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		kv := newLimitedStore(memory.New(clock.System{}), false)
		s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
		r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: "a", Strength: 1}, quiet)
		time.Sleep(2 * time.Second)
		kv.refuseAll()
		before := kv.count("grant")
		_, err := r.Take(ctx, "p")
		if !errors.Is(err, member.ErrNoLease) {
			t.Errorf("a pool is taken while the store refuses all calls: %v", err)
		}
		if got := kv.count("grant") - before; got > 4 {
			t.Errorf("%d leases were asked for in half a second", got)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// refuseAll has all calls refused from now on.
func (q *limitedStore) refuseAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limited = true
	q.budget = map[bool]float64{false: -1e9, true: -1e9}
}
