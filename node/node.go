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
	"github.com/pointport/pointport/internal/drain"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/peer"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/shard"
	"github.com/pointport/pointport/steward"
	"github.com/pointport/pointport/workload"
)

// This file defines the node, its start and its planned stop.

const (
	// headerTimeout is how long a client may take to send its request headers.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long an unused connection of a client is kept open.
	idleTimeout = 15 * time.Second
	// maxIdlePeerConns is the number of idle connections that are kept to each peer.
	maxIdlePeerConns = 4
	// drainTime is how long a stopping node keeps answering. The load balancer probes readiness
	// every second and stops sending after the second failure, which this time covers.
	drainTime = 2500 * time.Millisecond
	// stopReserve is the part of the grace period that Stop does not use.
	stopReserve = 700 * time.Millisecond
)

// Addresses are the addresses, host:port each, on which a node listens. It has no listener for
// an empty address.
type Addresses struct {
	Clients, Readiness, Peers, Metrics string
}

// Services are the services that a node depends on.
type Services struct {
	KV            pointport.KV
	Executor      pointport.Executor
	Advisor       pointport.Advisor // nil if there is none
	Clock         pointport.Clock
	Config        Source[*workload.Catalog]
	Registrations Source[pointport.Incarnation]
	// Machines moves and maintains instances; nil if the node must not do so.
	Machines pointport.Machines
	Waves    WaveSource
	// Evacuations are the operators' requests to leave availability zones empty. Without a
	// prefix there are none.
	Evacuations Source[evacuation.Request]
	// Ingress returns the handler of clients' requests.
	Ingress func(n *Node) http.Handler
	// Metrics serves the node's metrics, and BriefMetrics the most important of them; nil if
	// they are not served.
	Metrics, BriefMetrics http.Handler
	// OperatorAPI returns the handler of the operators' API, which is served on the address of
	// the metrics; nil if it is not served.
	OperatorAPI func(*intake.Service, *peer.OwnerClient, func() *workload.Catalog) http.Handler
	// PeerTransport sends requests to peers; nil for a default HTTP transport.
	PeerTransport http.RoundTripper
}

// Parameters are the settings of a node.
type Parameters struct {
	Name      string
	Zone      pointport.ZoneID
	Addresses Addresses
	// PeerName is the address that peers use to reach the node, if it differs from
	// Addresses.Peers.
	PeerName string
	// Strength is how much work the node can do relative to other members.
	Strength float64
	// LeaseTTL is the time to live of the node's lease in the store.
	LeaseTTL time.Duration
	// PeerLeaseLimit is for how long an owner may rely on peer leases after its proof by the store
	// has ended; zero means that it never does.
	PeerLeaseLimit time.Duration
	// TaskLease is how far into the future the leases of running tasks are extended.
	TaskLease time.Duration
	// MaxHold is how long an instance runs tasks without receiving another order.
	MaxHold time.Duration
	// GangTimeout is how long an instance waits for the other tasks of a gang to start.
	GangTimeout time.Duration
	// RemoteDataSlowdown is the factor by which a task takes longer in another rack than its
	// data.
	RemoteDataSlowdown float64
	// Grace is the time between the signal to stop and the forced end of the process.
	Grace time.Duration
	// MinHolderInterval is the least time between the orders of two different holders of an instance.
	MinHolderInterval time.Duration
	// ConfigApplyTime is the time within which a change of the configuration must be in force.
	ConfigApplyTime time.Duration
	// EvacuationTime is the time after which nothing may start in an availability zone whose
	// evacuation operators have requested.
	EvacuationTime time.Duration
	// MachineOrdersPerSecond is how many orders about instances the platform accepts per second
	// from all members together; zero if it specifies no limit.
	MachineOrdersPerSecond float64
	Capacity               capacity.Settings
	Keys                   KeyPolicy
	// LowMemory reports whether the node is too short of memory to store more jobs, so that a
	// peer should store new ones; nil if that never happens.
	LowMemory func() bool
	// DeadlineAge means that jobs count from when their customers first submitted them, as
	// derived from their clients' deadlines, rather than from their acceptance.
	DeadlineAge bool
}

// A KeyPolicy defines how customers' keys are checked while the newest configuration is not
// known.
type KeyPolicy struct {
	// Strict means that keys which may have been revoked are refused rather than accepted.
	Strict bool
	// MaxConfigAge is how long the configuration may have been unconfirmed before Strict
	// applies.
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
	advisor        *shard.SharedAdvisor // nil if there is none
	intake         *intake.Service
	owners         *peer.OwnerClient
	peerClient     *http.Client // for requests and orders to peers
	peerHandler    http.Handler // of requests and orders from peers
	servers        []*http.Server
	clientServer   *http.Server
	clientConns    *drain.Listener // nil if the node does not listen for clients
	leaving        atomic.Bool
	// reportedReady is the last readiness that a probe was answered with.
	reportedReady atomic.Bool
	stopOnce      sync.Once
}

// Start starts a node whose background work ends with ctx. It returns an error if the node
// cannot listen on one of its addresses.
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
	n.roster = member.StartRoster(ctx, s.KV, s.Clock, n.session, self, logger, member.WithPeerLeases(peer.NewLeaseClient(n.peerClient), p.PeerLeaseLimit))
	n.configs = startConfigs(ctx, s.KV, s.Clock, s.Config, n.roster.Size, cmp.Or(p.ConfigApplyTime, DefaultConfigApplyTime), logger)
	n.registrations = newRegistrations(ctx, s.KV, s.Clock, s.Registrations, logger)
	n.evacuations = newEvacuations(ctx, s.KV, s.Clock, s.Evacuations, cmp.Or(p.EvacuationTime, DefaultEvacuationTime), logger)
	if s.Advisor != nil {
		n.advisor = shard.NewSharedAdvisor(s.Advisor, s.Clock)
	}
	n.poolManager = member.StartPoolManager(ctx, s.Clock, n.session, n.roster, n.configs.workPools, n.startOwner(ctx), logger, member.UsePeerLeases())
	n.owners = peer.NewOwnerClient(n.poolManager, n.roster, n.peerClient, s.Clock, logger)
	if s.Machines != nil {
		n.startSteward(ctx, n.owners)
	}
	n.intake = intake.NewService(s.KV, n.owners, s.Clock, n.session.Reachable, logger, n.intakeOptions()...)
	n.peerHandler = n.newPeerHandler()
	if err := n.listen(); err != nil {
		return nil, err
	}
	event.Started.Log(logger, slog.String("zone", string(p.Zone)), slog.Any("addresses", p.Addresses))
	return n, nil
}

// intakeOptions returns the options of the intake service that depend on the node's parameters.
func (n *Node) intakeOptions() []intake.Option {
	options := []intake.Option{intake.WithCustomers(n.configs.customers), intake.WithCaps(n.configs.newestCaps)}
	if n.params.LowMemory != nil {
		options = append(options, intake.WithLowMemory(n.params.LowMemory))
	}
	if n.params.DeadlineAge {
		options = append(options, intake.WithSubmissionAges(intake.NewSubmissionAges(n.services.Clock.Now())))
	}
	return options
}

// KeysTrusted reports whether customers' keys may be checked against the configuration in
// force. A member that is disconnected from the store continues with the keys that it knows;
// under a strict key policy it does so only for the policy's MaxConfigAge.
func (n *Node) KeysTrusted() bool {
	return !n.params.Keys.Strict || n.configs.age() <= n.params.Keys.MaxConfigAge
}

// KeysNewest reports whether the newest keys are known: the configuration in force was
// confirmed so recently that no other version can have come into force since.
func (n *Node) KeysNewest() bool { return n.configs.confirmedRecently() }

// startSteward makes the node a candidate for the steward, which moves and maintains instances.
func (n *Node) startSteward(ctx context.Context, pools steward.Pools) {
	s := n.services
	services := steward.Services{
		KV: s.KV, Machines: s.Machines, Clock: s.Clock, Session: n.session, Pools: pools,
		Waves: newWaves(ctx, s.KV, s.Clock, s.Waves, n.logger), Layout: n.configs.layout, Evacuations: n.evacuations.Zones,
	}
	settings := steward.Settings{Name: n.params.Name, MinHolderInterval: n.params.MinHolderInterval, OrdersPerSecond: n.params.MachineOrdersPerSecond, Planner: n.params.Capacity}
	ownerships := func() []string { return []string{steward.OwnershipName} }
	n.stewardManager = member.StartPoolManager(ctx, s.Clock, n.session, n.roster, ownerships, func(own member.Ownership) *steward.Steward {
		return steward.Start(ctx, services, settings, own, n.logger)
	}, n.logger)
}

func (n *Node) startOwner(ctx context.Context) func(member.Ownership) *shard.Owner {
	s := n.services
	services := shard.Services{
		KV: s.KV, Executor: s.Executor, Advisor: n.advisor, AdviceFigures: n.configs.adviceFigures, Clock: s.Clock, Session: n.session, Fleet: n.registrations,
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
		{a.Peers, &http.Server{Handler: n.peerHandler, ReadHeaderTimeout: headerTimeout}},
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
		if s.server == n.clientServer {
			n.clientConns = drain.NewListener(l, n.services.Clock)
			n.clientServer.ConnState = n.clientConns.ConnState
			l = n.clientConns
		}
		n.servers = append(n.servers, s.server)
		go func() {
			// Serve also fails when a stop closes the listener; see drain.Listener.
			if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !n.leaving.Load() {
				event.Failed.Log(n.logger, slog.String("part", "listener"), slog.String("address", s.address), slog.Any("error", err))
			}
		}()
	}
	return nil
}

// closingConnections wraps the clients' handler. While the node is stopping, each response asks
// the client to open another connection, so that few connections are in use when the servers
// are closed: a request that arrives while its idle connection is being closed gets no
// response.
func (n *Node) closingConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// metricsHandler returns the handler of the metrics and of the operators' API.
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

// Intake returns the service that accepts, cancels and reports on jobs.
func (n *Node) Intake() *intake.Service { return n.intake }

// Catalog returns the configuration in force. It returns nil if there is none, or if the
// machine has been suspended since the configuration was last confirmed.
func (n *Node) Catalog() *workload.Catalog { return n.configs.Trusted() }

// PeerHandler returns the handler of peers' requests, and of the orders that the node forwards
// to instances for them.
func (n *Node) PeerHandler() http.Handler { return n.peerHandler }

func (n *Node) newPeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", peer.Handler(n.poolManager, n.intake, n.roster, n.logger))
	mux.Handle("POST "+delegate.Path, delegate.Handler(n.services.Executor, n.logger))
	return mux
}

// delegates returns an executor that sends orders to the instances of a pool through peers that
// own nothing.
func (n *Node) delegates(ctx context.Context, pool string) shard.Delegates {
	idlePeers := func(limit int) []member.Member { return n.roster.Idle(pool, limit) }
	return delegate.New(ctx, n.services.Executor, idlePeers, n.peerClient, n.services.Clock, n.logger)
}

// Logger returns the node's logger.
func (n *Node) Logger() *slog.Logger { return n.logger }

// Ready reports whether the load balancer should open new connections to the node.
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

// ConfigVersion returns the version of the configuration in force, or zero if there is none.
func (n *Node) ConfigVersion() int64 { return n.configs.version() }

// ConfigAge returns the time since the version in force was last known to be the newest.
func (n *Node) ConfigAge() time.Duration { return n.configs.age() }

// LeaseProven reports whether the node's lease at the store is certain not to have expired.
func (n *Node) LeaseProven() bool { return n.session.Proven() }

// Members returns the number of members that the node knows, including itself.
func (n *Node) Members() int { return len(n.roster.Peers()) + 1 }

// Owned returns how many pools the node owns, with the steward's ownership counted as one.
func (n *Node) Owned() int {
	owned := n.poolManager.Count()
	if n.stewardManager != nil {
		owned += n.stewardManager.Count()
	}
	return owned
}

// PeerLeases returns how many peer leases the node has granted and refused, and how many of its pools
// are owned only by peer leases at present.
func (n *Node) PeerLeases() (granted, refused, inUse int64) { return n.roster.PeerLeaseCounts() }

// EvacuatedZones returns how many availability zones are evacuated according to the last read
// of the requests. The node reads them only while it owns something.
func (n *Node) EvacuatedZones() int { return n.evacuations.Count() }

// Load returns the load of the owners of this node's pools: the largest lag, the smallest
// window of starts, and whether any owner sends its orders through peers. It is zero if the
// node owns no pool.
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

// CustomerUsage returns each customer's usage, summed over the pools that this node owns.
func (n *Node) CustomerUsage() []schedule.CustomerUsage {
	sum := make(map[string]schedule.CustomerUsage)
	for _, o := range n.poolManager.Controllers() {
		for _, u := range o.CustomerUsage() {
			was := sum[u.Customer]
			sum[u.Customer] = schedule.CustomerUsage{Customer: u.Customer, Used: was.Used.Plus(u.Used), HeldBack: was.HeldBack.Plus(u.HeldBack)}
		}
	}
	return slices.Collect(maps.Values(sum))
}

// Stop stops the node as planned: it hands the node's pools to other members at once and keeps
// answering until the load balancer has noticed. Only the first call has an effect.
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
	// Ending the session grants the node a new lease, which holds no key. It shows that the
	// store can be reached while the node still answers.
	if err := n.session.End(ctx); err != nil {
		event.Failed.Log(n.logger, slog.String("part", "lease"), slog.Any("error", err))
	}
	select {
	case <-n.services.Clock.After(min(drainTime, n.params.Grace/2)):
	case <-ctx.Done():
	}
	if n.clientConns != nil {
		n.clientConns.Drain(ctx)
	}
	// Closes what is left if ctx has ended before all connections were drained.
	if err := n.clientServer.Shutdown(ctx); err != nil {
		event.Failed.Log(n.logger, slog.String("part", "clients"), slog.Any("error", err))
	}
	for _, s := range n.servers {
		_ = s.Close() // a caller of another listener retries at another node
	}
	event.Stopped.Log(n.logger)
}
