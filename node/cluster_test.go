package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file defines a cluster of nodes in one process, with a store and a fleet in memory, for
// tests in simulated time.

// A cluster is a set of nodes with the store and the fleet that they share.
type cluster struct {
	t     *testing.T
	store *memory.Store
	kv    pointport.KV // injects no faults
	fleet *testbed.Fleet
	// mu guards the injected faults, from storeFault to peersSilent, and nodes.
	mu          sync.Mutex
	storeFault  func(node, op string) memory.Fault
	onStoreCall func(node, op, key string) // is called with each store call before it is carried out
	network     testbed.Network
	peersCut    map[string]bool
	// advice is the advisor, which has adviceSettings; nil if there is none.
	advice         *testbed.AdviceService
	adviceSettings *testbed.AdvisorSettings
	peersSilent    bool // whether requests between nodes get no response
	nodes          map[string]*running
	// endOutage ends the disturbance that no node runs; nil while there is one or none was started.
	endOutage func()
	logs      *logs
	jsonLogs  *logs // the same lines in JSON, as nodes write them; nil unless a test reads them
	// noSteward means that no node moves or maintains instances.
	noSteward bool
	// lowMemory holds the nodes that are short of memory; guarded by mu.
	lowMemory map[string]bool
	// storeLatency is the duration of each call to the store.
	storeLatency time.Duration
	// listLag is the age of the machine list, and listExtraLag the additional age of every
	// second read of it.
	listLag, listExtraLag time.Duration
	keyPolicy             node.KeyPolicy
	// machineOrdersPerSecond is the rate of orders about instances that the platform accepts;
	// machineCounter counts them.
	machineOrdersPerSecond float64
	machineCounter         *countingMachines
	// configApplyTime is the time within which a change of the configuration must be in force.
	configApplyTime time.Duration
	// looseClocks sets machineClock.ownersOnly of all nodes.
	looseClocks bool
	// deadlineAge means that jobs count from their first submission.
	deadlineAge bool
	// peerLeaseLimit is for how long owners may rely on peer leases.
	peerLeaseLimit time.Duration
	// machinePools holds the pool of each machine at the beginning.
	machinePools []string
	// platformRegistrations means that registrations are encoded as on the platform.
	platformRegistrations bool
	// maxHold is how long nodes assume that an instance runs tasks without another order, zero for
	// no longer than the lease that they ask for.
	maxHold time.Duration
}

type running struct {
	node   *node.Node
	cancel context.CancelFunc
	clock  *machineClock
}

// newCluster returns a cluster without nodes, with two pools of four instances each and two
// spare instances, unless withMachinesIn sets other ones.
func newCluster(t *testing.T, options ...clusterOption) *cluster {
	c := &cluster{
		t: t, store: memory.New(clock.System{}), network: testbed.Reliable,
		storeFault: func(string, string) memory.Fault { return memory.FaultNone },
		peersCut:   make(map[string]bool), lowMemory: make(map[string]bool), nodes: make(map[string]*running), logs: &logs{}, storeLatency: time.Millisecond,
	}
	c.kv = c.store.KV()
	c.machinePools = slices.Repeat([]string{"shift", "payout", "shift", "payout", sparePool}, 2)
	fleetOptions := []testbed.Option{testbed.WithSparePool(sparePool), testbed.WithRegistrationObserver(c.register), testbed.WithAddresseeReuse(defaultAddresseeReuse)}
	for _, o := range options {
		o(c, &fleetOptions)
	}
	c.fleet = testbed.New(clock.System{}, fleetOptions...)
	if c.adviceSettings != nil {
		c.advice = c.fleet.NewAdviceService(*c.adviceSettings)
	}
	size := pointport.Shape{CPUMilli: 4000, MemoryMiB: 8192}
	for n, pool := range c.machinePools {
		zone := pointport.ZoneID([]string{"north", "south"}[n%2])
		c.fleet.Add(pointport.InstanceID(fmt.Sprintf("m-%02d", n)), pool, zone, fmt.Sprintf("r-%d", n/4), size)
	}
	c.configure(&workload.Catalog{Version: 1})
	return c
}

// start starts a node. An earlier node of that name must have ended.
func (c *cluster) start(name string) *node.Node {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c.fleet.NoteDisturbance(time.Now())
	machine := &machineClock{ownersOnly: c.looseClocks, beginDisturbance: c.fleet.BeginDisturbance}
	inject := func(op, key string) memory.Fault {
		machine.gate()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.onStoreCall != nil {
			c.onStoreCall(name, op, key)
		}
		fault := c.storeFault(name, op)
		if fault != memory.FaultNone {
			c.fleet.NoteDisturbance(time.Now())
		}
		return fault
	}
	network := func(op string, to pointport.InstanceID) testbed.Delivery {
		machine.gate()
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.network(name+" "+op, to)
	}
	services := node.Services{
		KV:       c.store.KV(memory.WithFaults(inject), memory.WithLatency(c.storeLatency)),
		Executor: c.fleet.Executor(network), Clock: machine,
		Config: node.Source[*workload.Catalog]{Prefix: configKey, Decode: func(e pointport.Entry) (*workload.Catalog, error) {
			var k workload.Catalog
			return &k, json.Unmarshal(e.Value(), &k)
		}},
		Registrations: node.Source[pointport.Incarnation]{Prefix: registrationPrefix, Decode: decodeRegistration},
		Machines:      &gatedMachines{c.machines(ctx), machine},
		Waves: node.WaveSource{
			Source: node.Source[capacity.Wave]{Prefix: wavePrefix, Decode: func(e pointport.Entry) (capacity.Wave, error) {
				var w capacity.Wave
				return w, json.Unmarshal(e.Value(), &w)
			}},
			Status: func(wave int64, completed bool) pointport.Put {
				return pointport.Put{Key: fmt.Sprintf("wave-status/%d", wave), Value: fmt.Append(nil, completed)}
			},
		},
		Evacuations: node.Source[evacuation.Request]{Prefix: evacuationPrefix, Decode: func(e pointport.Entry) (evacuation.Request, error) {
			return evacuation.Request{Zone: pointport.ZoneID(strings.TrimPrefix(e.Key(), evacuationPrefix)), Revision: e.Revision()}, nil
		}},
		PeerTransport: c,
	}
	if c.platformRegistrations {
		services.Registrations = node.Source[pointport.Incarnation]{Prefix: platform.RegistrationPrefix, Decode: platform.DecodeRegistration, MaxValue: platform.MaxRegistrationBytes}
	}
	if c.advice != nil {
		services.Advisor = c.advice.Advisor(name)
	}
	if c.noSteward {
		services.Machines = nil
	}
	n, err := node.Start(ctx, services, node.Parameters{
		Name: name, Zone: "north", Addresses: node.Addresses{Peers: ""}, LeaseTTL: member.DefaultTTL,
		TaskLease: 4 * time.Second, MaxHold: c.maxHold, Grace: 6 * time.Second, MinHolderInterval: minHolderInterval, PeerName: name, MachineOrdersPerSecond: c.machineOrdersPerSecond,
		GangTimeout: testbed.DefaultGangTimeout, RemoteDataSlowdown: 2,
		ConfigApplyTime: c.configApplyTime,
		Capacity:        capacity.Settings{MoveTime: testbed.DefaultMoveTime, MaintenanceTime: testbed.DefaultMaintenanceTime}, Keys: c.keyPolicy,
		DeadlineAge: c.deadlineAge, PeerLeaseLimit: c.peerLeaseLimit,
		LowMemory: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.lowMemory[name]
		},
	}, slog.New(c.logHandler()).With(slog.String("node", name)))
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = &running{n, cancel, machine}
	if c.endOutage != nil {
		c.endOutage()
		c.endOutage = nil
	}
	return n
}

// machines returns the service for machines, with a machine list of the configured age, until
// ctx ends.
func (c *cluster) machines(ctx context.Context) pointport.Machines {
	exact := c.fleet.Machines(minHolderInterval)
	if c.machineCounter != nil {
		c.machineCounter.Machines = exact
		return c.machineCounter
	}
	if c.listLag == 0 {
		return exact
	}
	l := &laggingList{Machines: exact, lag: c.listLag, extraLag: c.listExtraLag}
	go l.record(ctx)
	return l
}

// minHolderInterval is the least time between the orders of two holders of a machine.
const minHolderInterval = 3 * time.Second

// setStoreFault sets the function that decides the fault of each store call by a node.
func (c *cluster) setStoreFault(fate func(node, op string) memory.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFault = fate
}

// setNetwork sets the network that decides the fate of orders. The name of an order begins with
// the name of the node that sends it.
func (c *cluster) setNetwork(n testbed.Network) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network = n
}

// setLowMemory makes the named nodes, and no others, short of memory.
func (c *cluster) setLowMemory(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.lowMemory)
	for _, name := range names {
		c.lowMemory[name] = true
	}
}

// noStoreFault lets all calls to the store succeed.
func noStoreFault(string, string) memory.Fault { return memory.FaultNone }

// owner returns the name of the node that owns a pool or is the steward.
func (c *cluster) owner(pool string) string {
	c.t.Helper()
	name, owned := c.ownerIfAny(pool)
	if !owned {
		c.t.Fatalf("no node owns %s", pool)
	}
	return name
}

// ownerIfAny returns the name of the node that owns a pool or is the steward, and false if
// there is none.
func (c *cluster) ownerIfAny(pool string) (string, bool) {
	e, err := c.kv.Get(context.Background(), member.OwnerKey(pool))
	if err != nil || !e.Exists() {
		return "", false
	}
	var m member.Member
	if err := json.Unmarshal(e.Value(), &m); err != nil {
		c.t.Error(err)
	}
	return m.Name, true
}

// kill ends a node without a planned stop.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	r := c.nodes[name]
	delete(c.nodes, name)
	if r != nil && len(c.nodes) == 0 {
		c.endOutage = c.fleet.BeginDisturbance()
	}
	c.mu.Unlock()
	if r != nil {
		c.fleet.NoteDisturbance(time.Now())
		r.cancel()
	}
}

// otherNode returns a node that is not the one named. Tests use it after a node was started
// anew: that node has no lease yet and refuses jobs for now.
func (c *cluster) otherNode(name string) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, r := range c.nodes {
		if other != name {
			return r.node
		}
	}
	c.t.Fatalf("there is no node except %s", name)
	return nil
}

// anyNode returns one of the running nodes; different n select different nodes.
func (c *cluster) anyNode(n int) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := slices.Sorted(maps.Keys(c.nodes))
	return c.nodes[names[n%len(names)]].node
}

// stop ends a node with a planned stop.
func (c *cluster) stop(name string) {
	c.mu.Lock()
	r := c.nodes[name]
	c.mu.Unlock()
	if r != nil {
		defer c.fleet.BeginDisturbance()()
		r.node.Stop()
		c.kill(name)
	}
}

// close kills all nodes and waits until everything that they started has ended.
func (c *cluster) close() {
	c.mu.Lock()
	var names []string
	for name := range c.nodes {
		names = append(names, name)
	}
	c.mu.Unlock()
	for _, name := range names {
		c.kill(name)
	}
	time.Sleep(time.Minute)
}

// idleJobCheckInterval is how often the accepted jobs are observed.
const idleJobCheckInterval = 250 * time.Millisecond

// checkIdleJobs makes the fleet observe the accepted jobs until stop is called.
func (c *cluster) checkIdleJobs() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			c.fleet.CheckIdleJobs()
			time.Sleep(idleJobCheckInterval)
		}
	}()
	return cancel
}

// checkViolations fails the test for each violation that the fleet has recorded.
func (c *cluster) checkViolations() {
	c.t.Helper()
	for _, v := range c.fleet.Violations() {
		c.t.Errorf("%v\n%s", v, c.logs.containing(v.Task))
	}
}
