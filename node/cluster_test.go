package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/delegate"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file defines a cluster of nodes in one process, on a store and a fleet in
// memory, for tests in a bubble of simulated time.

// The keys under which the cluster's store holds what nodes follow.
const (
	configKey          = "config"
	registrationPrefix = "registration/"
	wavePrefix         = "wave-request/"
	evacuationPrefix   = "evacuation/"
	spareName          = "spare"
)

// A cluster is some nodes and what they stand on.
type cluster struct {
	t     *testing.T
	store *memory.Store
	kv    pointport.KV // without faults
	fleet *testbed.Fleet
	// Holds who is cut off from what; guarded by mu.
	mu        sync.Mutex
	storeFate func(node, op string) memory.Fault
	onStore   func(node, op, key string) // sees each call to the store as it is carried out
	network   testbed.Network
	peersCut  map[string]bool
	silent    bool // whether questions between nodes get no answer
	nodes     map[string]*running
	logs      *logs
	written   *logs // the same lines as nodes write them
	// still says that nobody moves or maintains instances.
	still bool
	// full names the nodes that are near the limit of their memory; guarded by mu.
	full map[string]bool
	// latency is how long each call to the store takes.
	latency time.Duration
	// listLag is how far the list of machines is behind, listBack by how much every second
	// reading of it is further behind.
	listLag, listBack time.Duration
	keys              node.KeyPolicy
	// perSecond is how many orders about instances the platform says that it takes, counts
	// counts them.
	perSecond float64
	counts    *counted
	// configTime is within which time a change of the configuration must be in force.
	configTime time.Duration
	// loose says that nodes stand still as a loose machineClock does.
	loose bool
}

type running struct {
	node   *node.Node
	cancel context.CancelFunc
	clock  *machineClock
}

// logs keeps what the nodes log, for a test that fails.
type logs struct {
	mu    sync.Mutex
	lines []string
}

// Write takes a line.
func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(p))
	return len(p), nil
}

// about returns the lines that name something.
func (l *logs) about(what string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	for _, line := range l.lines {
		if strings.Contains(line, what) {
			b.WriteString(line)
		}
	}
	return b.String()
}

type clusterOption func(*cluster, *[]testbed.Option)

func withWork(w testbed.WorkSource) clusterOption {
	return func(_ *cluster, o *[]testbed.Option) { *o = append(*o, testbed.WithWork(w)) }
}

// withoutSteward keeps instances where they are.
func withoutSteward() clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.still = true }
}

// withSlowStore has each call to the store take so long.
func withSlowStore(d time.Duration) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.latency = d }
}

// withKeys sets how nodes judge keys while they do not know the newest configuration.
func withKeys(p node.KeyPolicy) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.keys = p }
}

// withConfigTime sets within which time a change of the configuration must be in force.
func withConfigTime(d time.Duration) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.configTime = d }
}

// withOrders has the platform say how many orders about instances it takes in a second, and a
// service count them.
func withOrders(perSecond float64, counts *counted) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.perSecond, c.counts = perSecond, counts }
}

// returns is in how many percent of their returns instances come back under the addressee that they
// had, unless a test says otherwise.
const returns = 50

// withReturns has instances come back under the addressee that they had, in so many percent of
// their returns.
func withReturns(percent int) clusterOption {
	return func(_ *cluster, o *[]testbed.Option) { *o = append(*o, testbed.WithAddresseeReuse(percent)) }
}

// withLinger has the registration of an instance stay for a while that ends without having said so.
func withLinger(d time.Duration) clusterOption {
	return func(_ *cluster, o *[]testbed.Option) { *o = append(*o, testbed.WithDeregistrationDelay(d)) }
}

func withoutGuards() clusterOption {
	return func(_ *cluster, o *[]testbed.Option) { *o = append(*o, testbed.WithCapacityEnforcement(false)) }
}

// newCluster returns a cluster without nodes: two pools of four instances and
// two spare ones.
func newCluster(t *testing.T, options ...clusterOption) *cluster {
	c := &cluster{
		t: t, store: memory.New(clock.System{}), network: testbed.Reliable,
		storeFate: func(string, string) memory.Fault { return memory.FaultNone },
		peersCut:  make(map[string]bool), full: make(map[string]bool), nodes: make(map[string]*running), logs: &logs{}, written: &logs{}, latency: time.Millisecond,
	}
	c.kv = c.store.KV()
	fleetOptions := []testbed.Option{testbed.WithSparePool(spareName), testbed.WithRegistrationObserver(c.register), testbed.WithAddresseeReuse(returns)}
	for _, o := range options {
		o(c, &fleetOptions)
	}
	c.fleet = testbed.New(clock.System{}, fleetOptions...)
	size := pointport.Shape{CPUMilli: 4000, MemoryMiB: 8192}
	for n := range 10 {
		pool := []string{"shift", "payout", "shift", "payout", spareName}[n%5]
		zone := pointport.ZoneID([]string{"north", "south"}[n%2])
		c.fleet.Add(pointport.InstanceID(fmt.Sprintf("m-%02d", n)), pool, zone, fmt.Sprintf("r-%d", n/4), size)
	}
	c.configure(&workload.Catalog{Version: 1})
	return c
}

// configure puts a configuration with the cluster's pools and queues into the
// store.
func (c *cluster) configure(k *workload.Catalog) {
	k.Pools = []workload.PoolInfo{{Name: "shift", EnforcesCapacity: true}, {Name: "payout", EnforcesCapacity: true}, {Name: spareName, Spare: true}}
	for _, pool := range []string{"shift", "payout"} {
		k.Queues = append(k.Queues, workload.Queue{
			Name: pool + "-close", Host: "example", Path: "/" + pool + "/", Pool: pool,
			Policy: workload.Policy{MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond},
		})
	}
	value, err := json.Marshal(k)
	if err != nil {
		c.t.Fatal(err)
	}
	c.put(configKey, value)
}

func (c *cluster) put(key string, value []byte) {
	txn := pointport.Txn{Put: []pointport.Put{{Key: key, Value: value}}}
	if _, err := c.kv.Commit(context.Background(), txn); err != nil {
		c.t.Error(err)
	}
}

// registrationDocument is how the cluster's store holds a registration.
type registrationDocument struct {
	ID       pointport.IncarnationID
	Instance pointport.InstanceID
	Pool     string
	Address  string
	Zone     pointport.ZoneID
	Rack     string
	Labels   []string
	Capacity pointport.Shape
	Draining bool
	Left     time.Duration
}

// register keeps the store's registrations in step with the fleet.
func (c *cluster) register(inc pointport.Incarnation, there bool) {
	key := registrationPrefix + string(inc.ID().Addressee())
	if !there {
		_, _ = c.kv.Commit(context.Background(), pointport.Txn{Delete: []string{key}})
		return
	}
	value, err := json.Marshal(registrationDocument{
		inc.ID(), inc.Instance(), inc.Pool(), inc.Address(), inc.Zone(), inc.Rack(), inc.Labels(), inc.Capacity(), inc.Draining(), inc.Remaining(),
	})
	if err != nil {
		c.t.Error(err)
	}
	c.put(key, value)
}

func decodeRegistration(e pointport.Entry) (pointport.Incarnation, error) {
	var d registrationDocument
	if err := json.Unmarshal(e.Value(), &d); err != nil {
		return pointport.Incarnation{}, err
	}
	options := []pointport.IncarnationOption{
		pointport.WithInstance(d.Instance), pointport.WithZone(d.Zone), pointport.WithRack(d.Rack),
		pointport.WithLabels(d.Labels), pointport.WithCapacity(d.Capacity),
	}
	if d.Draining {
		options = append(options, pointport.WithDraining(d.Left))
	}
	return pointport.NewIncarnation(d.ID, d.Pool, d.Address, options...), nil
}

// RoundTrip carries a question from one node to another without a network.
func (c *cluster) RoundTrip(r *http.Request) (*http.Response, error) {
	name := r.URL.Host
	c.mu.Lock()
	to, cut, silent := c.nodes[name], c.peersCut[name], c.silent
	c.mu.Unlock()
	if to != nil && !to.clock.gateUntil(r.Context().Done()) {
		return nil, r.Context().Err()
	}
	if silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if to == nil || cut {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("no route to " + name)}
	}
	time.Sleep(time.Millisecond)
	if r.URL.Path == delegate.Path {
		return stream(to.node.PeerHandler(), r), nil
	}
	recorder := httptest.NewRecorder()
	to.node.PeerHandler().ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// stream has a handler answer a request while both bodies are still being written.
func stream(h http.Handler, r *http.Request) *http.Response {
	body, out := io.Pipe()
	w := &streamWriter{out: out, begun: make(chan struct{})}
	go func() {
		h.ServeHTTP(w, r)
		_ = out.Close() // it never fails
	}()
	<-w.begun
	return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: body, Request: r}
}

// A streamWriter is a response whose body is read while it is written.
type streamWriter struct {
	out   *io.PipeWriter
	once  sync.Once
	begun chan struct{}
}

// Header returns headers that nobody reads.
func (w *streamWriter) Header() http.Header { return make(http.Header) }

// WriteHeader begins the answer.
func (w *streamWriter) WriteHeader(int) { w.once.Do(func() { close(w.begun) }) }

// Write writes to the body.
func (w *streamWriter) Write(p []byte) (int, error) { return w.out.Write(p) }

// FlushError begins the answer; nothing is held back.
func (w *streamWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	return nil
}

// EnableFullDuplex changes nothing: the bodies are independent.
func (w *streamWriter) EnableFullDuplex() error { return nil }

// start starts a node. A node of that name that ran before must have ended.
func (c *cluster) start(name string) *node.Node {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	machine := &machineClock{loose: c.loose}
	inject := func(op, key string) memory.Fault {
		machine.gate()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.onStore != nil {
			c.onStore(name, op, key)
		}
		return c.storeFate(name, op)
	}
	network := func(op string, to pointport.InstanceID) testbed.Delivery {
		machine.gate()
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.network(name+" "+op, to)
	}
	services := node.Services{
		KV:       c.store.KV(memory.WithFaults(inject), memory.WithLatency(c.latency)),
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
	if c.still {
		services.Machines = nil
	}
	n, err := node.Start(ctx, services, node.Parameters{
		Name: name, Zone: "north", Addresses: node.Addresses{Peers: ""}, LeaseTTL: member.DefaultTTL,
		TaskLease: 4 * time.Second, Grace: 6 * time.Second, HolderTime: holderTime, PeerName: name, MachineOrdersPerSecond: c.perSecond,
		GangTimeout: testbed.DefaultGangTimeout, RemoteDataSlowdown: 2,
		ConfigApplyTime: c.configTime,
		Capacity:        capacity.Settings{MoveTime: testbed.DefaultMoveTime, UpkeepTime: testbed.DefaultUpkeepTime}, Keys: c.keys,
		LowMemory: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.full[name]
		},
	}, slog.New(slog.NewMultiHandler(slog.NewTextHandler(c.logs, nil), slog.NewJSONHandler(c.written, nil))).With(slog.String("node", name)))
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = &running{n, cancel, machine}
	return n
}

// machines returns the service for machines until ctx ends, with a list that is as far behind as
// it is to be.
func (c *cluster) machines(ctx context.Context) pointport.Machines {
	exact := c.fleet.Machines(holderTime)
	if c.counts != nil {
		c.counts.Machines = exact
		return c.counts
	}
	if c.listLag == 0 {
		return exact
	}
	l := &laggingList{Machines: exact, lag: c.listLag, back: c.listBack}
	go l.record(ctx)
	return l
}

// holderTime must lie between two holders' orders about a machine.
const holderTime = 3 * time.Second

// setStoreFate sets what becomes of the calls of nodes to the store.
func (c *cluster) setStoreFate(fate func(node, op string) memory.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFate = fate
}

// setNetwork sets what becomes of orders; their names begin with the node's.
func (c *cluster) setNetwork(n testbed.Network) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network = n
}

// cutPeers has questions to the nodes named, and to no other, go astray.
func (c *cluster) cutPeers(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.peersCut)
	for _, name := range names {
		c.peersCut[name] = true
	}
}

// fill has the nodes named, and no other, be near the limit of their memory.
func (c *cluster) fill(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.full)
	for _, name := range names {
		c.full[name] = true
	}
}

// silencePeers has no question between nodes get an answer, or all again.
func (c *cluster) silencePeers(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// storeWorks is the fate of calls to a store without faults.
func storeWorks(string, string) memory.Fault { return memory.FaultNone }

// wave asks for the maintenance of machines, so many at once.
func (c *cluster) wave(id int64, machines []pointport.InstanceID, bound int) {
	value, err := json.Marshal(capacity.Wave{ID: id, Machines: machines, Bound: bound, Duration: 20 * time.Second})
	if err != nil {
		c.t.Error(err)
	}
	c.fleet.SetWaveBound(id, bound)
	c.put(fmt.Sprintf("%s%d", wavePrefix, id), value)
}

// evacuate asks that an availability zone be left empty.
func (c *cluster) evacuate(zone pointport.ZoneID) {
	c.put(evacuationPrefix+string(zone), []byte("{}"))
	c.fleet.Evacuate(zone)
}

// open takes that back.
func (c *cluster) open(zone pointport.ZoneID) {
	c.fleet.EndEvacuation(zone)
	if _, err := c.kv.Commit(context.Background(), pointport.Txn{Delete: []string{evacuationPrefix + string(zone)}}); err != nil {
		c.t.Error(err)
	}
}

// owner returns the node that owns a pool, or the steward's post.
func (c *cluster) owner(pool string) string {
	c.t.Helper()
	name, owned := c.ownerIfAny(pool)
	if !owned {
		c.t.Fatalf("nobody owns %s", pool)
	}
	return name
}

// ownerIfAny returns the node that owns a pool, or the steward's post; false if none does.
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

// kill ends a node without notice.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	r := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	if r != nil {
		r.cancel()
	}
}

// another returns a node that is not the one named. One that has just been started has no
// lease yet, and rightly tells customers to come back.
func (c *cluster) another(name string) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, r := range c.nodes {
		if other != name {
			return r.node
		}
	}
	c.t.Fatalf("there is no node but %s", name)
	return nil
}

// any returns one of the nodes that run.
func (c *cluster) any(n int) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := slices.Sorted(maps.Keys(c.nodes))
	return c.nodes[names[n%len(names)]].node
}

// stop ends a node as planned.
func (c *cluster) stop(name string) {
	c.mu.Lock()
	r := c.nodes[name]
	c.mu.Unlock()
	if r != nil {
		r.node.Stop()
		c.kill(name)
	}
}

// close ends all nodes and lets what they began run out.
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

// check fails the test if the fleet was treated wrongly.
func (c *cluster) check() {
	c.t.Helper()
	for _, v := range c.fleet.Violations() {
		c.t.Errorf("%v\n%s", v, c.logs.about(v.Task))
	}
}

// queue returns a queue as a node knows it.
func queue(t *testing.T, n *node.Node, name string) *workload.Queue {
	t.Helper()
	for range 100 {
		if k := n.Catalog(); k != nil {
			for i := range k.Queues {
				if k.Queues[i].Name == name {
					return &k.Queues[i]
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("node has no queue %s", name)
	return nil
}

// eventually waits until a job is in a state, at most for some time.
func (c *cluster) eventually(n *node.Node, q *workload.Queue, id string, want workload.Status, within time.Duration) {
	c.t.Helper()
	var last workload.Status
	var lastErr error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		last, lastErr = n.Intake().Status(ctx, q, id)
		cancel()
		if lastErr == nil && last == want {
			return
		}
	}
	c.t.Errorf("job %s is %q (%v) after %v, want %q\n%s", id, last, lastErr, within, want, c.logs.about(id))
}

func submit(t *testing.T, n *node.Node, q *workload.Queue, id string, spec *workload.Spec) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := n.Intake().Submit(ctx, q, id, spec); err != nil {
		t.Fatalf("submit %s: %v", id, err)
	}
}

// twoSteps is a job of two steps whose tasks take d each.
func twoSteps(d time.Duration) *workload.Spec {
	need := pointport.Shape{CPUMilli: 500, MemoryMiB: 128}
	return &workload.Spec{
		Payload: fmt.Sprintf("duration=%v cpu=500 memory=128", d),
		Steps: []workload.Step{
			{Count: 4, Need: need, Estimate: d},
			{Count: 3, Need: need, Estimate: d, After: []int{0}},
		},
	}
}
