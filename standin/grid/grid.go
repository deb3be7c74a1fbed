// Package grid simulates the users' platform on loopback addresses: the store, the machines and
// their instances, and the service that moves and maintains them. Entry instances (pointportd
// join) run against it as separate processes, in trials and in the soak.
//
// The model: it serves package memory's store and package testbed's fleet through package
// platform's encodings. Each instance has an address of its own, which its next incarnation takes
// over. Most faults come from outside, as on the real platform: whoever runs the entry instances
// puts proxies between them and the addresses.
//
// The fleet counts as calm while machines are moved or maintained by order (testbed.WithCalmDuringOrders),
// since a steward under changing load nearly always moves some.
//
// Invariant: the violations that the fleet finds in the orders that it receives are kept and can
// be read.
package grid

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file defines the grid.

// SparePool is the pool whose machines are off.
const SparePool = "spare"

// reusePercent is the percentage of boots at which an instance keeps its previous addressee.
const reusePercent = 50

// loopback is the address at which everything listens, with a port that the system chooses.
const loopback = "127.0.0.1:0"

// Settings configure a grid.
type Settings struct {
	// Pools are the pools that run tasks. Each has a queue of the same name.
	Pools []string
	// PerPool is how many machines each pool, including the spare pool, has at first.
	PerPool int
	Zones   []pointport.ZoneID
	// Capacity is the capacity of each machine.
	Capacity pointport.Shape
	// Host is the host name that clients call.
	Host string
	// MinHolderInterval is the minimum time between orders of two different holders for one machine.
	MinHolderInterval time.Duration
	// Customers are the customers whose keys are valid, and Keys holds their keys by customer
	// name. Without customers, no caller needs a key. Callers without a key are served in any
	// case.
	Customers []customer.Customer
	Keys      map[string][]string
	// Work is what tasks do. If nil, the tasks' payloads define it.
	Work testbed.WorkSource
	// AdvertisedAddress returns the address that an instance registers instead of its own, for
	// example that of a proxy. If nil, instances register their own addresses.
	AdvertisedAddress func(id pointport.InstanceID, address string) (string, error)
}

// A Grid is a running stand-in. It is safe for concurrent use.
type Grid struct {
	clock    pointport.Clock
	settings Settings
	logger   *slog.Logger
	store    *memory.Store
	kv       pointport.KV
	fleet    *testbed.Fleet
	list     *laggingList
	version  int64

	mu              sync.Mutex
	servers         []*http.Server
	addresses       map[pointport.InstanceID]string
	refusalPercent  map[pointport.InstanceID]int // percentage of orders that are refused
	random          *rand.Rand
	storeAddress    string
	machinesAddress string
	onCommit        func(key string) // is called with the first key of each transaction of a member
}

// Start starts a grid, which runs until Close.
func Start(clock pointport.Clock, s Settings, logger *slog.Logger) (*Grid, error) {
	g := &Grid{clock: clock, settings: s, logger: logger, store: memory.New(clock), addresses: make(map[pointport.InstanceID]string), refusalPercent: make(map[pointport.InstanceID]int), random: rand.New(rand.NewPCG(1, 2))}
	g.kv = g.store.KV()
	options := []testbed.Option{testbed.WithSparePool(SparePool), testbed.WithRegistrationObserver(g.register), testbed.WithAddresses(g.addressOf), testbed.WithAddresseeReuse(reusePercent), testbed.WithCalmDuringOrders()}
	if s.Work != nil {
		options = append(options, testbed.WithWork(s.Work))
	}
	g.fleet = testbed.New(clock, options...)
	if err := g.listen(); err != nil {
		g.Close()
		return nil, err
	}
	if err := g.Configure(g.Catalog()); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// listen opens the addresses of the store, of the machines' service and of every instance.
func (g *Grid) listen() error {
	var err error
	members := g.store.KV(memory.WithFaults(g.observe))
	if g.storeAddress, err = g.serve(platform.ServeStore(members)); err != nil {
		return err
	}
	g.list = newLaggingList(g.clock, g.fleet.Machines(g.settings.MinHolderInterval))
	if g.machinesAddress, err = g.serve(platform.ServeMachines(g.list)); err != nil {
		return err
	}
	executor := g.fleet.Executor(g.deliver)
	pools := append(append([]string(nil), g.settings.Pools...), SparePool)
	for n := range g.settings.PerPool * len(pools) {
		id := pointport.InstanceID(fmt.Sprintf("m-%02d", n))
		at, err := g.serve(platform.ServeInstance(executor, func() pointport.IncarnationID { return g.fleet.Incarnation(id) }))
		if err != nil {
			return err
		}
		if g.settings.AdvertisedAddress != nil {
			if at, err = g.settings.AdvertisedAddress(id, at); err != nil {
				return err
			}
		}
		g.mu.Lock()
		g.addresses[id] = at
		g.mu.Unlock()
		const perRack = 4
		zone := g.settings.Zones[n%len(g.settings.Zones)]
		g.fleet.Add(id, pools[n%len(pools)], zone, fmt.Sprintf("r-%d", n/perRack), g.settings.Capacity)
	}
	g.list.record() // so that no list is from before the machines existed
	go g.list.recordUntilClosed()
	return nil
}

// serve serves a handler at a new address, which it returns.
func (g *Grid) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	g.mu.Lock()
	g.servers = append(g.servers, server)
	g.mu.Unlock()
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			event.Failed.Log(g.logger, slog.String("part", "listener"), slog.String("address", l.Addr().String()), slog.Any("error", err))
		}
	}()
	return l.Addr().String(), nil
}

// deliver decides how an order that has reached its instance is handled.
func (g *Grid) deliver(_ string, to pointport.InstanceID) testbed.Delivery {
	const allPercent = 100
	g.mu.Lock()
	defer g.mu.Unlock()
	delivery := testbed.Reliable("", to)
	delivery.Refused = g.refusalPercent[to] > 0 && g.random.IntN(allPercent) < g.refusalPercent[to]
	return delivery
}

// SetRefusalPercent makes an instance refuse this percentage of all orders as unhealthy, without
// carrying them out.
func (g *Grid) SetRefusalPercent(id pointport.InstanceID, percent int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusalPercent[id] = percent
}

// observe shows the transactions of members to the observer of SetCommitObserver.
func (g *Grid) observe(op, key string) memory.Fault {
	g.mu.Lock()
	onCommit := g.onCommit
	g.mu.Unlock()
	if op == "commit" && onCommit != nil {
		onCommit(key)
	}
	return memory.FaultNone
}

// SetCommitObserver sets the function that is called with the first key that a member's transaction
// puts, empty if it puts none, before the transaction is carried out. Nil ends that.
func (g *Grid) SetCommitObserver(onCommit func(key string)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onCommit = onCommit
}

// SetListFaults makes the list of machines show a state from lag ago and take latency to answer.
func (g *Grid) SetListFaults(lag, latency time.Duration) { g.list.setFaults(lag, latency) }

// Close stops the grid and all its servers.
func (g *Grid) Close() {
	if g.list != nil {
		g.list.close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		_ = s.Close() // no client waits for the remaining answers
	}
}

func (g *Grid) addressOf(id pointport.InstanceID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[id]
}

// register updates the registration of an incarnation in the store, and deletes it if registered
// is false.
func (g *Grid) register(inc pointport.Incarnation, registered bool) {
	put := platform.EncodeRegistration(inc)
	txn := pointport.Txn{Put: []pointport.Put{put}}
	if !registered {
		txn = pointport.Txn{Delete: []string{put.Key}}
	}
	g.commit(txn)
}

// commit writes a change of the platform itself to the store.
func (g *Grid) commit(txn pointport.Txn) {
	if _, err := g.kv.Commit(context.Background(), txn); err != nil {
		event.Failed.Log(g.logger, slog.String("part", "store"), slog.Any("error", err))
	}
}

// Catalog returns the grid's initial configuration: one queue for each pool.
func (g *Grid) Catalog() *workload.Catalog {
	k := &workload.Catalog{Pools: []workload.PoolInfo{{Name: SparePool, Spare: true}}}
	if g.settings.Customers != nil {
		k.Customers = customer.NewDirectory(g.settings.Customers)
	}
	for _, pool := range g.settings.Pools {
		k.Pools = append(k.Pools, workload.PoolInfo{Name: pool, EnforcesCapacity: true})
		k.Queues = append(k.Queues, workload.Queue{
			Name: pool, Host: g.settings.Host, Path: "/" + pool + "/", Pool: pool, AllowAnonymous: true,
			Policy: workload.Policy{MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond},
		})
	}
	return k
}

// Configure applies a configuration under the next version number.
func (g *Grid) Configure(k *workload.Catalog) error {
	g.mu.Lock()
	g.version++
	next := *k
	next.Version = g.version
	g.mu.Unlock()
	_, err := g.kv.Commit(context.Background(), pointport.Txn{
		Put: []pointport.Put{{Key: platform.ConfigKey, Value: platform.EncodeConfig(&next, g.settings.Keys)}},
	})
	return err
}

// StartWave requests a maintenance wave.
func (g *Grid) StartWave(w capacity.Wave) {
	g.fleet.SetWaveBound(w.ID, w.Bound)
	g.commit(pointport.Txn{Put: []pointport.Put{platform.EncodeWave(w)}})
}

// Evacuate requests the evacuation of an availability zone.
func (g *Grid) Evacuate(zone pointport.ZoneID) {
	g.commit(pointport.Txn{Put: []pointport.Put{platform.EncodeEvacuation(zone)}})
	g.fleet.Evacuate(zone)
}

// EndEvacuation withdraws the request for an evacuation.
func (g *Grid) EndEvacuation(zone pointport.ZoneID) {
	g.fleet.EndEvacuation(zone)
	g.commit(pointport.Txn{Delete: []string{platform.EncodeEvacuation(zone).Key}})
}

// WaveCompleted reports whether the stored status of a wave is completed.
func (g *Grid) WaveCompleted(id int64) (bool, error) {
	done := platform.EncodeWaveStatus(id, true)
	e, err := g.kv.Get(context.Background(), done.Key)
	return err == nil && string(e.Value()) == string(done.Value), err
}

// Fleet returns the machines.
func (g *Grid) Fleet() *testbed.Fleet { return g.fleet }

// Store returns the store.
func (g *Grid) Store() *memory.Store { return g.store }

// StoreAddress returns the address of the store as host:port.
func (g *Grid) StoreAddress() string { return g.storeAddress }

// MachinesAddress returns the address of the machines' service as host:port.
func (g *Grid) MachinesAddress() string { return g.machinesAddress }

// EntrySettings returns the settings of an entry instance that listens on four consecutive ports,
// beginning with first.
func (g *Grid) EntrySettings(name string, zone pointport.ZoneID, first int) *platform.Settings {
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	return &platform.Settings{
		Name: name, Zone: zone, Store: g.storeAddress, Machines: g.machinesAddress, MachineCalls: 64,
		Clients: at(2), Readiness: at(3), Peers: at(0), Metrics: at(1),
		MemoryBytes: 284 << 20, CPU: 0.4, Bandwidth: 1000,
		MaxHold: testbed.MaxHold, StopTime: testbed.DefaultStopTime, GangTime: testbed.DefaultGangTimeout,
		StatusTime: 2 * time.Minute, Grace: 6 * time.Second, MoveTime: testbed.DefaultMoveTime, UpkeepTime: testbed.DefaultMaintenanceTime,
		Notice: 4500 * time.Millisecond, HolderTime: g.settings.MinHolderInterval, MinLeaseTTL: time.Second, FarFactor: 2,
		EvacuationTime: testbed.EvacuationTime,
	}
}
