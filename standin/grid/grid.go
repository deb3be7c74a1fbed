// Package grid runs a stand-in of the users' platform on loopback addresses: the
// store, the machines and their instances, and the service that moves and
// maintains them. Entry instances (pointportd join) run against it as separate
// processes, in trials and in the soak.
//
// The model: what it serves is package memory's store and package testbed's fleet,
// translated by package platform. Each instance has an address of its own, which
// its next life takes over. Faults come from outside, as on the real platform:
// whoever runs the entry instances puts proxies between them and the addresses.
//
// Invariant: what the fleet finds wrong with the orders that it gets is kept and
// can be asked for.
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

// returns is in how many percent of their returns instances come back under the addressee that they
// had.
const returns = 50

// loopback is where everything listens.
const loopback = "127.0.0.1:0"

// Settings say how large a grid is.
type Settings struct {
	// Pools are the pools that run tasks. Each has a queue of its name.
	Pools []string
	// PerPool is how many machines each of them, and the spare pool, has at first.
	PerPool int
	Zones   []pointport.ZoneID
	// Capacity is the size of each machine.
	Capacity pointport.Shape
	// Host is by which name clients call.
	Host string
	// MinHolderInterval must lie between the orders of two holders of a machine.
	MinHolderInterval time.Duration
	// Customers are those whose keys are good, and Keys holds their keys by name; without
	// them nobody needs one. Callers that show none are served too.
	Customers []customer.Customer
	Keys      map[string][]string
	// Work is what tasks do; nil reads that from their payload.
	Work testbed.WorkSource
	// AdvertisedAddress returns the address that an instance registers in place of its own, where
	// something stands in front of it; nil leaves its own.
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

	mu        sync.Mutex
	servers   []*http.Server
	addresses map[pointport.InstanceID]string
	refusing  map[pointport.InstanceID]int // percent of the orders that are refused
	random    *rand.Rand
	storeAt   string
	machineAt string
}

// Start starts a grid, which ends with Close.
func Start(clock pointport.Clock, s Settings, logger *slog.Logger) (*Grid, error) {
	g := &Grid{clock: clock, settings: s, logger: logger, store: memory.New(clock), addresses: make(map[pointport.InstanceID]string), refusing: make(map[pointport.InstanceID]int), random: rand.New(rand.NewPCG(1, 2))}
	g.kv = g.store.KV()
	options := []testbed.Option{testbed.WithSparePool(SparePool), testbed.WithRegistrationObserver(g.register), testbed.WithAddresses(g.addressOf), testbed.WithAddresseeReuse(returns)}
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

// listen opens the addresses of the store, of the machines' service and of every
// instance.
func (g *Grid) listen() error {
	var err error
	if g.storeAt, err = g.serve(platform.ServeStore(g.kv)); err != nil {
		return err
	}
	g.list = newLaggingList(g.clock, g.fleet.Machines(g.settings.MinHolderInterval))
	if g.machineAt, err = g.serve(platform.ServeMachines(g.list)); err != nil {
		return err
	}
	executor := g.fleet.Executor(g.fate)
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
	g.list.note() // no list shows the time before there were machines
	go g.list.watch()
	return nil
}

// serve serves a handler at an address of its own, which it returns.
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

// fate decides what becomes of an order that has reached its instance.
func (g *Grid) fate(_ string, to pointport.InstanceID) testbed.Delivery {
	const whole = 100 // percent
	g.mu.Lock()
	defer g.mu.Unlock()
	fate := testbed.Reliable("", to)
	fate.Refused = g.refusing[to] > 0 && g.random.IntN(whole) < g.refusing[to]
	return fate
}

// SetRefusalPercent has an instance answer to so many percent of all orders that it is not well,
// having done nothing.
func (g *Grid) SetRefusalPercent(id pointport.InstanceID, percent int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusing[id] = percent
}

// SetListFaults has the list of machines show how they were so long ago, and take so long.
func (g *Grid) SetListFaults(lag, takes time.Duration) { g.list.set(lag, takes) }

// Close ends the grid.
func (g *Grid) Close() {
	if g.list != nil {
		g.list.close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		_ = s.Close() // nobody waits for what it still says
	}
}

func (g *Grid) addressOf(id pointport.InstanceID) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[id]
}

// register keeps the registrations in the store in step with the fleet.
func (g *Grid) register(inc pointport.Incarnation, there bool) {
	put := platform.EncodeRegistration(inc)
	txn := pointport.Txn{Put: []pointport.Put{put}}
	if !there {
		txn = pointport.Txn{Delete: []string{put.Key}}
	}
	g.commit(txn)
}

// commit makes a change of the platform's own.
func (g *Grid) commit(txn pointport.Txn) {
	if _, err := g.kv.Commit(context.Background(), txn); err != nil {
		event.Failed.Log(g.logger, slog.String("part", "store"), slog.Any("error", err))
	}
}

// Catalog returns the grid's first configuration: a queue for each pool.
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

// Configure puts a configuration in force under the next version.
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

// StartWave asks for a wave of maintenance.
func (g *Grid) StartWave(w capacity.Wave) {
	g.fleet.SetWaveBound(w.ID, w.Bound)
	g.commit(pointport.Txn{Put: []pointport.Put{platform.EncodeWave(w)}})
}

// Evacuate asks that an availability zone be left empty.
func (g *Grid) Evacuate(zone pointport.ZoneID) {
	g.commit(pointport.Txn{Put: []pointport.Put{platform.EncodeEvacuation(zone)}})
	g.fleet.Evacuate(zone)
}

// EndEvacuation takes that back.
func (g *Grid) EndEvacuation(zone pointport.ZoneID) {
	g.fleet.EndEvacuation(zone)
	g.commit(pointport.Txn{Delete: []string{platform.EncodeEvacuation(zone).Key}})
}

// WaveCompleted reports whether a wave is said to be completed.
func (g *Grid) WaveCompleted(id int64) (bool, error) {
	done := platform.EncodeWaveStatus(id, true)
	e, err := g.kv.Get(context.Background(), done.Key)
	return err == nil && string(e.Value()) == string(done.Value), err
}

// Fleet returns the machines.
func (g *Grid) Fleet() *testbed.Fleet { return g.fleet }

// Store returns the store.
func (g *Grid) Store() *memory.Store { return g.store }

// StoreAddress returns where the store is, MachinesAddress where the service for
// machines is, host:port each.
func (g *Grid) StoreAddress() string { return g.storeAt }

// MachinesAddress returns where the service for machines is, host:port.
func (g *Grid) MachinesAddress() string { return g.machineAt }

// EntrySettings returns the settings of an entry instance that listens on four
// ports from first on.
func (g *Grid) EntrySettings(name string, zone pointport.ZoneID, first int) *platform.Settings {
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	return &platform.Settings{
		Name: name, Zone: zone, Store: g.storeAt, Machines: g.machineAt, MachineCalls: 64,
		Clients: at(2), Readiness: at(3), Peers: at(0), Metrics: at(1),
		MemoryBytes: 284 << 20, CPU: 0.4, Bandwidth: 1000,
		MaxHold: testbed.MaxHold, StopTime: testbed.DefaultStopTime, GangTime: testbed.DefaultGangTimeout,
		StatusTime: 2 * time.Minute, Grace: 6 * time.Second, MoveTime: testbed.DefaultMoveTime, UpkeepTime: testbed.DefaultMaintenanceTime,
		Notice: 4500 * time.Millisecond, HolderTime: g.settings.MinHolderInterval, MinLeaseTTL: time.Second, FarFactor: 2,
		EvacuationTime: testbed.EvacuationTime,
	}
}
