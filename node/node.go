package node

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/delegate"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/hedge"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/peer"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/shard"
	"github.com/pointport/pointport/steward"
	"github.com/pointport/pointport/workload"
)

// This file defines the node, its start and its planned stop.

const (
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a client's unused connection is kept.
	idleTimeout = 15 * time.Second
	// maxIdlePeerConns is how many idle connections are kept to each peer.
	maxIdlePeerConns = 4
	// drainTime is how long a stopping node goes on answering, so that the
	// balancer, which asks every second and believes the second miss, has
	// noticed.
	drainTime = 2500 * time.Millisecond
	// stopReserve is kept of the time until a node is killed.
	stopReserve = 700 * time.Millisecond
)

// Addresses are where a node listens, host:port each. It does not listen where
// there is none.
type Addresses struct {
	Clients, Readiness, Peers, Metrics string
}

// Services are what a node stands on.
type Services struct {
	KV            pointport.KV
	Executor      pointport.Executor
	Advisor       pointport.Advisor // nil if there is none
	Clock         pointport.Clock
	Config        Source[*workload.Catalog]
	Registrations Source[pointport.Incarnation]
	// Machines moves and maintains instances; nil if nobody does.
	Machines pointport.Machines
	Waves    WaveSource
	// Evacuations are the operators' requests that availability zones be left empty; without
	// a prefix nobody makes any.
	Evacuations Source[evacuation.Request]
	// Ingress makes the handler of the calls of a node's clients.
	Ingress func(n *Node) http.Handler
	// Metrics serves the node's figures, Brief the most telling of them; nil for none.
	Metrics, BriefMetrics http.Handler
	// OperatorAPI makes the handler of the operators' API, which is served beside the
	// figures; nil for none.
	OperatorAPI func(*intake.Service, *peer.Owners, func() *workload.Catalog) http.Handler
	// PeerTransport carries questions to peers; nil for the network.
	PeerTransport http.RoundTripper
}

// Parameters are the settings of a node.
type Parameters struct {
	Name      string
	Zone      pointport.ZoneID
	Addresses Addresses
	// PeerName is the address by which peers reach the node, if it is not where
	// the node listens for them.
	PeerName string
	// Strength says how much work the node can do, beside others.
	Strength float64
	// LeaseTTL is how long the node's lease lasts unrenewed.
	LeaseTTL time.Duration
	// TaskLease is how far ahead tasks are extended.
	TaskLease time.Duration
	// MaxHold is for how long an instance runs anything without a further order.
	MaxHold time.Duration
	// GangTimeout is how long an instance waits for the others of a gang.
	GangTimeout time.Duration
	// RemoteDataSlowdown is how many times as long a task takes away from its data.
	RemoteDataSlowdown float64
	// Grace is the time between the signal to stop and the end by force.
	Grace time.Duration
	// HolderTime must lie between the orders of two holders of an instance.
	HolderTime time.Duration
	// ConfigApplyTime is within which time a change of the configuration must be in force.
	ConfigApplyTime time.Duration
	// EvacuationTime is within which time nothing more may be started in an availability
	// zone that operators ask to be left empty.
	EvacuationTime time.Duration
	// MachineOrdersPerSecond is how many orders about instances the platform takes in a second from all
	// members, zero if it does not say.
	MachineOrdersPerSecond float64
	Capacity               capacity.Settings
	Keys                   KeyPolicy
	// LowMemory reports whether the node can hold no more, so that new jobs are better kept
	// by a peer; nil if it always can.
	LowMemory func() bool
}

// A KeyPolicy says how customers' keys are judged while the newest configuration is not
// known.
type KeyPolicy struct {
	// Strict says that a key that may have been taken away is refused rather than let in.
	Strict bool
	// MaxConfigAge is for how long a configuration may be out of date before that begins.
	MaxConfigAge time.Duration
}

// A Node is a running entry instance.
type Node struct {
	services Services
	params   Parameters
	logger   *slog.Logger

	session        *member.Session
	roster         *member.Roster
	configs        *configs
	registrations  *registrations
	evacuations    *evacuations
	poolManager    *member.PoolManager[*shard.Owner]
	stewardManager *member.PoolManager[*steward.Steward]
	intake         *intake.Service
	owners         *peer.Owners
	peerClient     *http.Client // by which questions and orders go to peers
	servers        []*http.Server
	clientServer   *http.Server
	leaving        atomic.Bool
	// reportedReady is what the balancer was told last.
	reportedReady atomic.Bool
	stopOnce      sync.Once
}

// Start starts a node whose background work ends with ctx.
func Start(ctx context.Context, s Services, p Parameters, logger *slog.Logger) (*Node, error) {
	s.KV = hedge.New(s.KV, s.Clock)
	n := &Node{services: s, params: p, logger: logger}
	transport := s.PeerTransport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: idleTimeout}
	}
	n.peerClient = &http.Client{Transport: transport}
	n.session = member.StartSession(ctx, s.KV, s.Clock, p.LeaseTTL, logger)
	self := member.Member{Name: p.Name, Peer: cmp.Or(p.PeerName, p.Addresses.Peers), Zone: p.Zone, Strength: p.Strength}
	n.roster = member.StartRoster(ctx, s.KV, s.Clock, n.session, self, logger)
	n.configs = startConfigs(ctx, s.KV, s.Clock, s.Config, n.roster.Size, cmp.Or(p.ConfigApplyTime, DefaultConfigTime), logger)
	n.registrations = newRegistrations(ctx, s.KV, s.Clock, s.Registrations, logger)
	n.evacuations = newEvacuations(ctx, s.KV, s.Clock, s.Evacuations, cmp.Or(p.EvacuationTime, DefaultEvacuationTime), logger)
	n.poolManager = member.StartPoolManager(ctx, s.Clock, n.session, n.roster, n.configs.workPools, n.startOwner(ctx), logger)
	n.owners = peer.NewOwners(n.poolManager, n.roster, n.peerClient, s.Clock, logger)
	if s.Machines != nil {
		n.startSteward(ctx, n.owners)
	}
	n.intake = intake.NewService(s.KV, n.owners, s.Clock, n.session.Reachable, logger, n.intakeOptions()...)
	if err := n.listen(); err != nil {
		return nil, err
	}
	event.Started.Log(logger, slog.String("zone", string(p.Zone)), slog.Any("addresses", p.Addresses))
	return n, nil
}

// intakeOptions returns what varies of the desk.
func (n *Node) intakeOptions() []intake.Option {
	options := []intake.Option{intake.WithCustomers(n.configs.customers)}
	if n.params.LowMemory != nil {
		options = append(options, intake.WithLowMemory(n.params.LowMemory))
	}
	return options
}

// KeysTrusted reports whether it is known which keys are in force, as far as the operators
// ask for that: a member that is cut off from the store goes on with the keys that it knows
// unless they are strict about it.
func (n *Node) KeysTrusted() bool {
	return !n.params.Keys.Strict || n.configs.age() <= n.params.Keys.MaxConfigAge
}

// KeysNewest reports whether the newest keys are known: whether the configuration was known
// to be the newest so lately that another one is not in force yet.
func (n *Node) KeysNewest() bool { return n.configs.confirmedRecently() }

// startSteward lets the node be the one that moves and maintains instances.
func (n *Node) startSteward(ctx context.Context, pools steward.Pools) {
	s := n.services
	services := steward.Services{
		KV: s.KV, Machines: s.Machines, Clock: s.Clock, Session: n.session, Pools: pools,
		Waves: newWaves(ctx, s.KV, s.Clock, s.Waves, n.logger), Layout: n.configs.layout, Evacuations: n.evacuations.Zones,
	}
	settings := steward.Settings{Name: n.params.Name, HolderTime: n.params.HolderTime, OrdersPerSecond: n.params.MachineOrdersPerSecond, Planner: n.params.Capacity}
	posts := func() []string { return []string{steward.OwnershipName} }
	n.stewardManager = member.StartPoolManager(ctx, s.Clock, n.session, n.roster, posts, func(own member.Ownership) *steward.Steward {
		return steward.Start(ctx, services, settings, own, n.logger)
	}, n.logger)
}

func (n *Node) startOwner(ctx context.Context) func(member.Ownership) *shard.Owner {
	s := n.services
	services := shard.Services{
		KV: s.KV, Executor: s.Executor, Advisor: s.Advisor, Clock: s.Clock, Session: n.session, Fleet: n.registrations,
		Delegates: n.delegates, Quotas: n.configs.caps, Evacuations: n.evacuations.Zones,
	}
	return func(own member.Ownership) *shard.Owner {
		return shard.Start(ctx, services, own, n.logger, shard.WithLease(n.params.TaskLease),
			shard.WithMaxHold(n.params.MaxHold), shard.WithGangTimeout(n.params.GangTimeout), shard.WithRemoteDataSlowdown(n.params.RemoteDataSlowdown))
	}
}

// listen opens the node's listeners and serves on them.
func (n *Node) listen() error {
	a := n.params.Addresses
	n.clientServer = &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if n.services.Ingress != nil {
		n.clientServer.Handler = n.closingConnections(n.services.Ingress(n))
	}
	serve := []struct {
		address string
		server  *http.Server
	}{
		{a.Clients, n.clientServer},
		{a.Readiness, &http.Server{Handler: http.HandlerFunc(n.readiness), ReadHeaderTimeout: headerTimeout}},
		{a.Peers, &http.Server{Handler: n.PeerHandler(), ReadHeaderTimeout: headerTimeout}},
		{a.Metrics, &http.Server{Handler: n.metricsHandler(), ReadHeaderTimeout: headerTimeout}},
	}
	for _, s := range serve {
		if s.server.Handler == nil || s.address == "" {
			continue
		}
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, s.server)
		go func() {
			if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				event.Failed.Log(n.logger, slog.String("part", "listener"), slog.String("address", s.address), slog.Any("error", err))
			}
		}()
	}
	return nil
}

// closingConnections has every answer of a stopping node ask its caller to open another
// connection, so that hardly any is left in use when the rest are closed. A request
// that is under way while its idle connection is closed gets no answer.
func (n *Node) closingConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// metricsHandler returns the handler of the figures and of the operators' API.
func (n *Node) metricsHandler() http.Handler {
	s := n.services
	if s.OperatorAPI == nil || s.Metrics == nil {
		return s.Metrics
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.Metrics)
	if s.BriefMetrics != nil {
		mux.Handle("/metrics/brief", s.BriefMetrics)
	}
	mux.Handle("/v1/", s.OperatorAPI(n.intake, n.owners, n.configs.Catalog))
	return mux
}

// Intake returns what takes jobs.
func (n *Node) Intake() *intake.Service { return n.intake }

// Catalog returns the configuration in force, nil while there is none.
func (n *Node) Catalog() *workload.Catalog { return n.configs.Trusted() }

// PeerHandler answers the questions of peers and carries out orders for them.
func (n *Node) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", peer.Handler(n.poolManager, n.intake, n.logger))
	mux.Handle("POST "+delegate.Path, delegate.Handler(n.services.Executor, n.logger))
	return mux
}

// delegates returns a way to the instances of a pool through peers that own nothing.
func (n *Node) delegates(ctx context.Context, pool string) shard.Delegates {
	helpers := func(most int) []member.Member { return n.roster.Idle(pool, most) }
	return delegate.New(ctx, n.services.Executor, helpers, n.peerClient, n.services.Clock, n.logger)
}

// Logger returns where the node logs.
func (n *Node) Logger() *slog.Logger { return n.logger }

// Ready reports whether the node should get new connections.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.configs.Trusted() != nil && n.session.Reachable()
}

func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	ready := n.Ready()
	if n.reportedReady.Swap(ready) != ready {
		event.ReadyChanged.Log(n.logger, slog.Bool("ready", ready), slog.Int64("version", n.ConfigVersion()),
			slog.Bool("store", n.session.Reachable()), slog.Bool("leaving", n.leaving.Load()))
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ConfigVersion returns the version of the configuration in force, zero while
// there is none.
func (n *Node) ConfigVersion() int64 { return n.configs.version() }

// ConfigAge returns how long ago the version in force was last known to be the newest.
func (n *Node) ConfigAge() time.Duration { return n.configs.age() }

// LeaseProven reports whether the node's lease at the store has surely not ended.
func (n *Node) LeaseProven() bool { return n.session.Proven() }

// Members returns how many members the node knows, itself among them.
func (n *Node) Members() int { return len(n.roster.Peers()) + 1 }

// Owned returns how many pools the node owns, and the steward's post as one.
func (n *Node) Owned() int {
	owned := n.poolManager.Count()
	if n.stewardManager != nil {
		owned += n.stewardManager.Count()
	}
	return owned
}

// EvacuatedZones returns how many availability zones are evacuated, as far as the node knows; it
// reads that while it owns something.
func (n *Node) EvacuatedZones() int { return n.evacuations.Count() }

// Load returns what the owners of this node's pools carry: the worst lag, the smallest
// window of starts, and whether any sends its orders through peers; zero if there is none.
func (n *Node) Load() shard.Load {
	var sum shard.Load
	for i, o := range n.poolManager.Controllers() {
		l := o.Load()
		sum.Lag = max(sum.Lag, l.Lag)
		sum.Delegating = sum.Delegating || l.Delegating
		if i == 0 || l.Window < sum.Window {
			sum.Window = l.Window
		}
	}
	return sum
}

// CustomerUses returns what customers use of the pools that this node owns, summed up over
// them.
func (n *Node) CustomerUses() []schedule.CustomerUse {
	sum := make(map[string]schedule.CustomerUse)
	for _, o := range n.poolManager.Controllers() {
		for _, u := range o.Uses() {
			was := sum[u.Customer]
			sum[u.Customer] = schedule.CustomerUse{Customer: u.Customer, Used: was.Used.Plus(u.Used), HeldBack: was.HeldBack.Plus(u.HeldBack)}
		}
	}
	return slices.Collect(maps.Values(sum))
}

// Stop ends the node as planned: its pools go to others at once, and it goes on
// answering until the balancer has noticed.
func (n *Node) Stop() {
	n.stopOnce.Do(n.stop)
}

func (n *Node) stop() {
	n.leaving.Store(true)
	event.Stopping.Log(n.logger)
	ctx, cancel := context.WithTimeout(context.Background(), n.params.Grace-stopReserve)
	defer cancel()
	if n.stewardManager != nil {
		n.stewardManager.Stop()
	}
	n.poolManager.Stop()
	n.roster.Leave()
	// The session has a new lease granted, which tells that the store can be
	// reached while the node still answers; no key goes with it.
	if err := n.session.End(ctx); err != nil {
		event.Failed.Log(n.logger, slog.String("part", "lease"), slog.Any("error", err))
	}
	select {
	case <-n.services.Clock.After(min(drainTime, n.params.Grace/2)):
	case <-ctx.Done():
	}
	if err := n.clientServer.Shutdown(ctx); err != nil {
		event.Failed.Log(n.logger, slog.String("part", "clients"), slog.Any("error", err))
	}
	for _, s := range n.servers {
		_ = s.Close() // whoever asks another listener asks again elsewhere
	}
	event.Stopped.Log(n.logger)
}
