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

// This file tests how many calls to the store the members of a large cluster make.

// TestMembersThatStartTogetherSendFewWatches guards against a flood of watches when 300
// members start together: each of them changes the roster, and without a pause between watches
// the store would send every change to every member.
func TestMembersThatStartTogetherSendFewWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, maxWatches = 300, 6000 // calls in 3 s, as many as a small store accepts
		ctx, cancel := context.WithCancel(context.Background())
		kv := newLimitedStore(memory.New(clock.System{}), false)
		for n := range members {
			s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
			member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: fmt.Sprintf("m%03d", n), Strength: 1}, quiet)
			time.Sleep(300 * time.Millisecond / members)
		}
		time.Sleep(3 * time.Second)
		t.Logf("%d watches within 3 s of the start", kv.count("watch"))
		if got := kv.count("watch"); got > maxWatches {
			t.Errorf("%d watches, want at most %d", got, maxWatches)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestFirstPoolIsTakenUnderShortLease guards against a pool that stays without an owner for a
// long time because a member that owned nothing took it under a long lease. After that member
// is gone, the pool must be free as soon as if it had owned another pool before.
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
			t.Errorf("the pool still has an owner %v after its owner is gone (error %v)", member.DefaultTTL, err)
		}
		stopMembers(p)
	})
}

// TestOwnersLeaseIsNotExchanged guards against an ownership that is lost because its lease is
// exchanged when no short lease has been requested for a long time.
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
		if holding, ok := p.roster.Holding("p"); !ok || !holding.Mine || p.session.Lease() != lease {
			t.Errorf("owned %v: %+v; lease is %d, was %d", ok, holding, p.session.Lease(), lease)
		}
		if err := p.roster.Release(context.Background(), own); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if p.session.Lease() == lease {
			t.Error("a member that owns nothing keeps its short lease")
		}
		stopMembers(p)
	})
}

// managedMember is a member with a pool manager.
type managedMember struct {
	manager *member.PoolManager[*fakeController]
	cancel  context.CancelFunc
}

// startManagedMember starts a member with a pool manager.
func startManagedMember(kv pointport.KV, name string, pools []string) *managedMember {
	ctx, cancel := context.WithCancel(context.Background())
	s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
	r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: name, Strength: 1}, quiet)
	k := member.StartPoolManager(ctx, clock.System{}, s, r, func() []string { return pools }, newFakeController, quiet)
	return &managedMember{k, cancel}
}

// TestLeaseExchangesLoseNoOwnership guards against an ownership that ends or becomes unproven
// because members that own nothing come and go, which makes other members exchange short
// leases for long ones and back.
func TestLeaseExchangesLoseNoOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, replaced, steps, step = 24, 8, 10, 13 * time.Second
		pools := []string{"p", "q"}
		kv := newLimitedStore(memory.New(clock.System{}), false)
		var all []*managedMember
		started := 0
		start := func(n int) {
			for range n {
				started++
				all = append(all, startManagedMember(kv, fmt.Sprintf("m%03d", started), pools))
			}
		}
		start(members)
		time.Sleep(5 * time.Second)
		before := fences(t, all)
		for range steps {
			start(replaced)
			left := replaced
			all = slices.DeleteFunc(all, func(w *managedMember) bool {
				if left == 0 || w.manager.Count() > 0 {
					return false
				}
				left--
				w.cancel()
				return true
			})
			for from := time.Now(); time.Since(from) < step; time.Sleep(10 * time.Millisecond) {
				if now := fences(t, all); !maps.Equal(now, before) {
					t.Fatalf("fences of the pools are %v, were %v", now, before)
				}
			}
		}
		if got := kv.count("grant") - started; got < 2*steps {
			t.Errorf("only %d leases were exchanged", got)
		}
		for _, w := range all {
			w.manager.Stop()
			w.cancel()
		}
		time.Sleep(10 * time.Second)
	})
}

// fences returns the fence under which each pool is owned. It fails the test if an ownership
// is unproven or a pool has more than one owner.
func fences(t *testing.T, all []*managedMember) map[string]pointport.Fence {
	t.Helper()
	out := make(map[string]pointport.Fence)
	for _, w := range all {
		for _, c := range w.manager.Controllers() {
			own := c.Ownership()
			if _, ok := out[own.Pool]; ok {
				t.Errorf("%s has two owners", own.Pool)
			}
			if !own.Proven() {
				t.Errorf("the ownership of %s is unproven", own.Pool)
			}
			out[own.Pool] = own.Fence
		}
	}
	return out
}

// limitedStore is a store that counts its calls. If it is limited, it refuses calls beyond a
// number of reads and a number of writes a second, as a small store does.
type limitedStore struct {
	pointport.KV
	limited bool

	mu         sync.Mutex
	refilledAt time.Time
	budget     map[bool]float64 // by whether calls write
	calls      map[string]int   // by operation
	refused    int
}

// The limits of a small store, in calls a second.
const (
	readsPerSecond  = 2000
	writesPerSecond = 400
)

// newLimitedStore returns a store that can have the limits of a small one; limited sets
// whether they apply from the start.
func newLimitedStore(store *memory.Store, limited bool) *limitedStore {
	return &limitedStore{
		KV: store.KV(memory.WithLatency(4 * time.Millisecond)), limited: limited, refilledAt: time.Now(),
		budget: map[bool]float64{false: readsPerSecond, true: writesPerSecond}, calls: make(map[string]int),
	}
}

// admit counts a call, and returns an error if it exceeds the limit.
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

// count returns how many calls of an operation were made.
func (q *limitedStore) count(op string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.calls[op]
}

// refusals returns how many calls were refused since the last call of refusals.
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

// TestManyMembersStartOnASmallStore guards against members that overload a small store when
// 300 of them start together. The store may refuse calls for a few seconds only, and each pool
// must soon have an owner, which it keeps. No member may own two pools.
func TestManyMembersStartOnASmallStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members = 300
		pools := []string{"a", "b", "c", "d", "e"}
		q := newLimitedStore(memory.New(clock.System{}), true)
		var all []*managedMember
		for n := range members {
			all = append(all, startManagedMember(q, fmt.Sprintf("m%03d", n), pools))
			time.Sleep(300 * time.Millisecond / members)
		}
		time.Sleep(3 * time.Second)
		t.Logf("%d calls refused in the first seconds", q.refusals())
		before := fences(t, all)
		if len(before) != len(pools) {
			t.Errorf("%d of %d pools have an owner", len(before), len(pools))
		}
		for _, w := range all {
			if w.manager.Count() > 1 {
				t.Errorf("a member owns %d pools", w.manager.Count())
			}
		}
		for from := time.Now(); time.Since(from) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
			if now := fences(t, all); !maps.Equal(now, before) {
				t.Fatalf("fences of the pools are %v, were %v", now, before)
			}
		}
		if n := q.refusals(); n > 0 {
			t.Errorf("%d calls were refused after the start", n)
		}
		for _, w := range all {
			w.manager.Stop()
			w.cancel()
		}
		time.Sleep(10 * time.Second)
	})
}

// TestTakeOnBusyStoreRequestsFewLeases guards against a member that requests leases without a
// pause while it tries to take a pool and the store refuses its calls.
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
			t.Errorf("Take while the store refuses all calls: %v, want ErrNoLease", err)
		}
		if got := kv.count("grant") - before; got > 4 {
			t.Errorf("%d leases were requested in half a second", got)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// refuseAll makes the store refuse all calls from now on.
func (q *limitedStore) refuseAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limited = true
	q.budget = map[bool]float64{false: -1e9, true: -1e9}
}
