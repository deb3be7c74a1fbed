package cli

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/internal/heap"
	"github.com/pointport/pointport/internal/suspend"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/meter"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/operator"
	"github.com/pointport/pointport/peer"
	"github.com/pointport/pointport/peerlease"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/shard"
	"github.com/pointport/pointport/workload"
)

// This file defines the subcommand that runs an entry instance on the users'
// platform, with its signals and metrics.

// Join returns the subcommand that runs an entry instance on the users'
// platform.
func Join() *Command {
	c := newCommand("join", "", "run an entry instance on the users' platform")
	var path string
	var metricsPort int
	var deadlineAge bool
	var peerLeaseLimit time.Duration
	c.set.String(&path, "settings", "", "path of the settings file that the platform lays")
	c.set.Int(&metricsPort, "metrics-port", 0, "port on which figures and the operators' API are served at the process's own IP address; 0 takes the second of the internal ports", 0, 65535)
	c.set.Bool(&deadlineAge, "deadline-age", false, "order jobs by when their customers first submitted them, as derived from the deadlines that clients send")
	c.set.Duration(&peerLeaseLimit, "peer-lease-limit", 0, "how long an owner of a pool may go on by leases of its peers while the store is unavailable to all members, counted from the end of its proof by the store; 0 is off", 0, peerlease.MaxLimit)
	c.run = func(ctx context.Context, _ io.Writer, args []string) error {
		if err := requireArgs(args, 0, "no arguments"); err != nil {
			return err
		}
		s, err := platform.ReadSettings(path)
		if err != nil {
			return err
		}
		if metricsPort != 0 {
			s.SetMetricsPort(metricsPort)
		}
		runCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		sink := event.StartSink(os.Stdout, clock.System{})
		defer sink.Close()
		n, err := startNode(runCtx, s, sink, nodeOptions{deadlineAge, peerLeaseLimit})
		if err != nil {
			return err
		}
		go reloadOnSignal(runCtx, path, s, n)
		stopOnSignal(ctx, n)
		return nil
	}
	return c
}

// stopOnSignal waits for SIGINT or SIGTERM, or the end of ctx, and then stops n
// gracefully. Further signals while n stops are ignored: a script that stops instances
// in turn may send the signal twice, and a signal that is not handled would end the
// process and abort its requests, which happened in 2 of 9 runs of the soak test with
// seed 7 under load.
func stopOnSignal(ctx context.Context, n *node.Node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-ctx.Done():
	}
	n.Stop()
}

// reloadOnSignal reads the settings file again at each SIGHUP until ctx ends, and logs
// what has changed. A file that cannot be read or is invalid is logged and ignored.
func reloadOnSignal(ctx context.Context, path string, s *platform.Settings, n *node.Node) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			event.ReloadFailed.Log(n.Logger(), slog.Any("error", err))
			continue
		}
		event.Reloaded.Log(n.Logger(), slog.Any("changed", s.Differences(next)))
		s = next
	}
}

// ownerBandwidthPerCore is the bandwidth that the owner of a busy pool needs for each
// of its cores, in megabits per second.
const ownerBandwidthPerCore = 100

// strength returns how much work the process can do, in cores: the cores that it has, or
// fewer if its bandwidth is not enough for all of them.
func strength(s *platform.Settings) float64 {
	if s.Bandwidth <= 0 {
		return s.CPU
	}
	return min(s.CPU, s.Bandwidth/ownerBandwidthPerCore)
}

// nodeOptions are the options of a node that come from flags.
type nodeOptions struct {
	deadlineAge    bool
	peerLeaseLimit time.Duration
}

// startNode starts a node that uses the services named in the settings, and registers the
// node's metrics.
func startNode(ctx context.Context, s *platform.Settings, sink *event.Sink, options nodeOptions) (*node.Node, error) {
	m := meter.New(clock.System{})
	limiter := event.NewRateLimiter(slog.NewJSONHandler(sink, nil), clock.System{})
	logger := slog.New(m.Events(limiter)).With(slog.String("node", s.Name))
	memory := heap.Start(ctx, clock.System{}, s.MemoryBytes, logger)
	services := node.Services{
		KV:       m.KV(platform.NewStore(s.Store, platform.WithReceiveObserver(m.AddStoreBytes))),
		Executor: m.Executor(platform.NewExecutor()),
		Clock:    suspend.Clock(logger),
		Config: node.Source[*workload.Catalog]{
			Prefix: platform.ConfigKey,
			Decode: func(e pointport.Entry) (*workload.Catalog, error) { return platform.DecodeConfig(e.Value()) },
		},
		Registrations: node.Source[pointport.Incarnation]{
			Prefix: platform.RegistrationPrefix, Decode: platform.DecodeRegistration, MaxValue: platform.MaxRegistrationBytes,
		},
		Waves: node.WaveSource{
			Source: node.Source[capacity.Wave]{Prefix: platform.WavePrefix, Decode: platform.DecodeWave},
			Status: platform.EncodeWaveStatus,
		},
		Evacuations: evacuationSource(s),
		Ingress: func(n *node.Node) http.Handler {
			forCaller := func(c customer.Caller) platform.JobService { return n.Intake().ForCaller(c) }
			keys := platform.KeyState{Trusted: n.KeysTrusted, UpToDate: n.KeysNewest}
			return platform.NewIngress(forCaller, n.Catalog, logger, platform.WithKeyState(keys))
		},
	}
	if s.Machines != "" {
		onUnusable := platform.OnUnusableLine(func(err error) {
			event.MachineUnreadable.Log(logger, slog.Any("error", err))
		})
		services.Machines = m.Machines(platform.NewMachines(s.Machines, onUnusable))
	}
	if s.Advisor != "" {
		services.Advisor = m.Advisor(platform.NewAdvisor(s.Advisor))
	}
	services.Metrics, services.BriefMetrics = m.Handler(), m.BriefHandler()
	services.OperatorAPI = func(jobs *intake.Service, owners *peer.OwnerClient, catalog func() *workload.Catalog) http.Handler {
		return operator.NewWorkloads(jobs.ForCaller(customer.Operator()), owners, catalog)
	}
	n, err := node.Start(ctx, services, node.Parameters{
		Name: s.Name, Zone: s.Zone, Strength: strength(s),
		Addresses: node.Addresses{Clients: s.Clients, Readiness: s.Readiness, Peers: s.Peers, Metrics: s.Metrics},
		LeaseTTL:  max(member.DefaultTTL, s.MinLeaseTTL), PeerLeaseLimit: options.peerLeaseLimit, TaskLease: min(shard.DefaultLease, s.MaxHold), MaxHold: s.MaxHold, Grace: s.Grace,
		GangTimeout: s.GangTime, RemoteDataSlowdown: s.FarFactor, MinHolderInterval: s.HolderTime, MachineOrdersPerSecond: s.MachineCalls,
		Capacity: capacity.Settings{MoveTime: s.MoveTime, MaintenanceTime: s.UpkeepTime}, LowMemory: memory.NearLimit,
		Keys: node.KeyPolicy{Strict: s.StrictKeys, MaxConfigAge: s.KeyTime}, ConfigApplyTime: s.ConfigTime, EvacuationTime: s.EvacuationTime,
		DeadlineAge: options.deadlineAge,
	}, logger)
	if err != nil {
		event.Failed.Log(logger, slog.String("part", "start"), slog.Any("error", err))
		return nil, err
	}
	addGauges(m, n, limiter, sink)
	m.Gauge("pointport_memory_bytes", "Memory that the process has taken from the system.", func() float64 { return float64(memory.Used()) })
	m.Gauge("pointport_memory_limit_bytes", "Memory that the process may take, by the settings.", func() float64 { return float64(s.MemoryBytes) })
	return n, nil
}

// evacuationSource returns where operators' requests to evacuate availability zones are. There are
// none if the settings do not say how soon one must be in force: owners then need not read them, nor
// stop starting tasks while they cannot.
func evacuationSource(s *platform.Settings) node.Source[evacuation.Request] {
	if s.EvacuationTime == 0 {
		return node.Source[evacuation.Request]{}
	}
	return node.Source[evacuation.Request]{Prefix: platform.EvacuationPrefix, Decode: platform.DecodeEvacuation}
}

// addGauges adds the metrics whose values are read when the metrics are requested.
func addGauges(m *meter.Meter, n *node.Node, limiter *event.RateLimiter, sink *event.Sink) {
	boolGauge := func(value func() bool) func() float64 {
		return func() float64 {
			if value() {
				return 1
			}
			return 0
		}
	}
	m.Gauge("pointport_config_version", "Version of the configuration in force.", func() float64 { return float64(n.ConfigVersion()) })
	m.Gauge("pointport_config_age_seconds", "Time since the version in force was last known to be the newest.", func() float64 { return n.ConfigAge().Seconds() })
	m.Gauge("pointport_ready", "Whether the balancer should send new connections.", boolGauge(n.Ready))
	m.Gauge("pointport_lease_proven", "Whether the lease at the store has surely not ended.", boolGauge(n.LeaseProven))
	m.Gauge("pointport_members", "Entry instances that this one knows, itself among them.", func() float64 { return float64(n.Members()) })
	m.Gauge("pointport_pools_owned", "Pools that this entry instance owns, the steward's post among them.", func() float64 { return float64(n.Owned()) })
	peerLeases := func(choose func(granted, refused, inUse int64) int64) func() float64 {
		return func() float64 { return float64(choose(n.PeerLeases())) }
	}
	m.Gauge("pointport_pools_peer_leased", "Pools that this entry instance owns by peer leases, because the store does not confirm it.", peerLeases(func(_, _, inUse int64) int64 { return inUse }))
	m.Counter("pointport_peer_leases_granted_total", "Peer leases that this entry instance has granted.", peerLeases(func(granted, _, _ int64) int64 { return granted }))
	m.Counter("pointport_peer_leases_refused_total", "Requests for peer leases that this entry instance has refused.", peerLeases(func(_, refused, _ int64) int64 { return refused }))
	m.Gauge("pointport_zones_evacuated", "Availability zones in which this entry instance starts nothing because operators ask for it, as far as it needs to know.", func() float64 { return float64(n.EvacuatedZones()) })
	m.Gauge("pointport_owner_lag_seconds", "Longest time in the last second that something waited for the owner of a pool here.", func() float64 { return n.Load().Lag.Seconds() })
	m.Gauge("pointport_starts_window", "Starts that an owner here may have under way, the smallest of its pools; 0 without one.", func() float64 { return float64(n.Load().Window) })
	m.Gauge("pointport_orders_delegated", "Whether an owner here sends its orders through peers.", boolGauge(func() bool { return n.Load().Delegating }))
	m.Customers(func() []meter.Customer { return customerMetrics(n.CustomerUsage()) })
	m.Counter("pointport_log_lines_left_out_total", "Lines left out because there were too many of their event.", func() float64 { return float64(limiter.LeftOut()) })
	m.Counter("pointport_log_lines_dropped_total", "Lines dropped because the log took no more.", func() float64 { return float64(sink.Dropped()) })
}

const milliPerCore = 1000

// customerMetrics converts the processor use of customers from thousandths of a core to
// cores.
func customerMetrics(uses []schedule.CustomerUsage) []meter.Customer {
	out := make([]meter.Customer, 0, len(uses))
	for _, u := range uses {
		out = append(out, meter.Customer{Name: u.Customer, Used: float64(u.Used.CPUMilli) / milliPerCore, HeldBack: float64(u.HeldBack.CPUMilli) / milliPerCore})
	}
	return out
}
