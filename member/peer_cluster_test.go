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
	"github.com/pointport/pointport/hedge"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/peerlease"
)

// This file defines a cluster of members that grant each other peer leases, for tests in simulated
// time.

// leaseLimit is the limit of the cluster's owners.
const leaseLimit = 8 * time.Second

var errUnreachable = errors.New("unreachable")

// leaseCluster is a set of members with a store, which call each other without a network.
type leaseCluster struct {
	t     *testing.T
	store *memory.Store
	pools []string
	limit time.Duration

	mu      sync.Mutex
	members map[string]*leaseMember
	cut     map[string]bool // members that no other reaches
	lost    func(name string) bool
	// fakes holds what addresses without a member answer about takeovers.
	fakes map[string]func(pointport.TakeoverRequest) pointport.TakeoverReply
	// acting holds the violations of the rule that one member acts for a pool at a time.
	acting []string
	// unproven counts the samples in which no member acted for a pool.
	unproven map[string]int
	changes  map[string]int // by pool, how often a controller was started
	done     chan struct{}
}

// leaseMember is one process of a member.
type leaseMember struct {
	roster  *member.Roster
	manager *member.PoolManager[*fakeController]
	session *member.Session
	cancel  context.CancelFunc
}

// simulateLeases runs a test with a cluster that has the given members, once they own the pools. The
// zone of a member is the first letter of its name.
func simulateLeases(t *testing.T, limit time.Duration, names []string, test func(c *leaseCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &leaseCluster{
			t: t, store: memory.New(clock.System{}), pools: []string{"p", "q"}, limit: limit, members: make(map[string]*leaseMember),
			cut: make(map[string]bool), lost: func(string) bool { return false }, unproven: make(map[string]int), changes: make(map[string]int), fakes: make(map[string]func(pointport.TakeoverRequest) pointport.TakeoverReply), done: make(chan struct{}),
		}
		for _, name := range names {
			c.start(name)
		}
		go c.sample()
		time.Sleep(6 * time.Second)
		defer c.close() // also after a failure that ends the test, or its goroutines would never end
		test(c)
	})
}

// close fails the test if two members have acted for a pool at once, and ends all members.
func (c *leaseCluster) close() {
	close(c.done)
	c.mu.Lock()
	if len(c.acting) > 0 {
		c.t.Errorf("%d times two members acted for a pool, at first %s", len(c.acting), c.acting[0])
	}
	for _, m := range c.members {
		m.cancel()
	}
	c.mu.Unlock()
	time.Sleep(20 * time.Second)
}

// start starts a process of a member.
func (c *leaseCluster) start(name string) *leaseMember {
	ctx, cancel := context.WithCancel(context.Background())
	fault := func(string, string) memory.Fault {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.lost(name) {
			return memory.FaultLostCall
		}
		return memory.FaultNone
	}
	kv := hedge.New(c.store.KV(memory.WithFaults(fault), memory.WithLatency(2*time.Millisecond)), clock.System{})
	s := member.StartSession(ctx, kv, clock.System{}, member.DefaultTTL, quiet)
	r := member.StartRoster(ctx, kv, clock.System{}, s, member.Member{Name: name, Peer: name, Zone: pointport.ZoneID(name[:1]), Strength: 1}, quiet, member.WithPeerLeases(c, c.limit))
	k := member.StartPoolManager(ctx, clock.System{}, s, r, c.poolNames, func(own member.Ownership) *fakeController {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changes[own.Pool]++
		ctl := newFakeController(own)
		context.AfterFunc(ctx, ctl.stop) // a killed process does nothing any more
		return ctl
	}, quiet, member.UsePeerLeases())
	m := &leaseMember{r, k, s, cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[name] = m
	return m
}

// kill ends the process of a member without a planned stop.
func (c *leaseCluster) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[name].cancel()
	delete(c.members, name)
}

// reach returns the member at an address.
func (c *leaseCluster) reach(address string) (*leaseMember, error) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[address]
	if m == nil || c.cut[address] {
		return nil, errUnreachable
	}
	return m, nil
}

// RequestPeerLease implements pointport.PeerLeaseClient.
func (c *leaseCluster) RequestPeerLease(_ context.Context, address string, r pointport.PeerLeaseRequest) (pointport.PeerLeaseReply, error) {
	m, err := c.reach(address)
	if err != nil {
		return pointport.PeerLeaseReply{}, err
	}
	return m.roster.GrantPeerLease(r), nil
}

// AskTakeover implements pointport.PeerLeaseClient.
func (c *leaseCluster) AskTakeover(_ context.Context, address string, r pointport.TakeoverRequest) (pointport.TakeoverReply, error) {
	c.mu.Lock()
	fake := c.fakes[address]
	c.mu.Unlock()
	if fake != nil {
		return fake(r), nil
	}
	m, err := c.reach(address)
	if err != nil {
		return pointport.TakeoverReply{}, err
	}
	return m.roster.AnswerTakeover(r), nil
}

// sample checks every 5 ms which members act for the pools.
func (c *leaseCluster) sample() {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, pool := range c.poolNames() {
			acting := c.actingFor(pool)
			c.mu.Lock()
			if len(acting) > 1 {
				c.acting = append(c.acting, fmt.Sprint(pool, " ", acting, " at ", time.Now().Format("05.000")))
			}
			if len(acting) == 0 {
				c.unproven[pool]++
			}
			c.mu.Unlock()
		}
	}
}

// actingFor returns the members whose controller of a pool has a proven ownership.
func (c *leaseCluster) actingFor(pool string) []string {
	// A pool manager starts controllers with its lock held, and these take the cluster's.
	c.mu.Lock()
	members := maps.Clone(c.members)
	c.mu.Unlock()
	var out []string
	for name, m := range members {
		if ctl, ok := m.manager.Controller(pool); ok && ctl.Ownership().Proven() {
			out = append(out, name)
		}
	}
	return out
}

// owner returns the member that acts for a pool.
func (c *leaseCluster) owner(pool string) string {
	c.t.Helper()
	acting := c.actingFor(pool)
	if len(acting) != 1 {
		c.t.Fatalf("members %v act for pool %s, want one", acting, pool)
	}
	return acting[0]
}

// ownership returns the ownership of a pool's owner.
func (c *leaseCluster) ownership(pool string) member.Ownership {
	c.t.Helper()
	name := c.owner(pool)
	c.mu.Lock()
	m := c.members[name]
	c.mu.Unlock()
	ctl, _ := m.manager.Controller(pool)
	return ctl.Ownership()
}

// loseStore makes the store unavailable to the members for which lost returns true.
func (c *leaseCluster) loseStore(lost func(name string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = lost
}

// cutOff makes a member unreachable for the others.
func (c *leaseCluster) cutOff(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = true
}

// reset forgets the counts.
func (c *leaseCluster) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.unproven)
	clear(c.changes)
}

// counts returns how long nobody acted for a pool, and how often a controller was started.
func (c *leaseCluster) counts(pool string) (unproven time.Duration, changes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.unproven[pool]) * 5 * time.Millisecond, c.changes[pool]
}

// document returns a pool's standby key, and false if there is none.
func (c *leaseCluster) document(pool string) (peerlease.Document, bool) {
	c.t.Helper()
	e, err := c.store.KV().Get(context.Background(), member.StandbyKey(pool))
	if err != nil || !e.Exists() {
		return peerlease.Document{}, false
	}
	d, err := peerlease.Decode(e)
	if err != nil {
		c.t.Fatal(err)
	}
	return d, true
}

func everyone(string) bool { return true }
func noOne(string) bool    { return false }

// poolNames returns the names of the pools.
func (c *leaseCluster) poolNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.pools)
}

// abandon adds a pool that has a standby key and no owner.
func (c *leaseCluster) abandon(pool string, d peerlease.Document) {
	c.t.Helper()
	value, err := d.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.store.KV().Commit(context.Background(), pointport.Txn{Put: []pointport.Put{{Key: member.StandbyKey(pool), Value: value}}}); err != nil {
		c.t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools = append(c.pools, pool)
}

// timeToTake returns how long it takes until a member acts for a pool, at most 15 s.
func (c *leaseCluster) timeToTake(pool string) time.Duration {
	begun := time.Now()
	for time.Since(begun) < 15*time.Second && len(c.actingFor(pool)) == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}
