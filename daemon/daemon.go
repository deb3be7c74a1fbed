// Package daemon assembles an entry instance: the gateway for callers, the
// operators' API, metrics and health checks, and its part in planning and
// placement.
//
// Invariants: all settings are checked before anything starts; a planned stop
// turns readiness off first, and ends after the last request in flight or after
// the configured time limit.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/choose"
	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/elect"
	"github.com/pointport/pointport/gateway"
	"github.com/pointport/pointport/internal/suspend"
	"github.com/pointport/pointport/job"
	"github.com/pointport/pointport/placer"
	"github.com/pointport/pointport/planner"
	"github.com/pointport/pointport/relay"
	"github.com/pointport/pointport/remote"
)

// This file defines the entry instance and its start.

const (
	// headerTimeout limits how long a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a client is kept open.
	idleTimeout = 2 * time.Minute
	// configName is the name of the configuration log.
	configName = "config"
)

// An Entry is a running entry instance.
type Entry struct {
	settings *Settings
	logger   *slog.Logger
	clock    pointport.Clock
	platform *remote.Client
	holder   string

	registry    *prometheus.Registry
	configs     *changelog.Log[*config.State, config.Change]
	assignments map[pointport.ZoneID]*planner.AssignLog
	jobs        map[pointport.ZoneID]*placer.JobLog
	claims      *claim.Claimer
	gateway     *gateway.Gateway
	shares      *connectionShares
	updater     *gatewayUpdater
	election    *elect.Candidate

	addresses    map[string]string // URL by role, such as "callers"
	listeners    map[string]net.Listener
	servers      []*http.Server
	callerServer *http.Server
	stopping     atomic.Bool
	stopOnce     sync.Once
	inFlight     atomic.Int64
}

// Start starts an entry instance. Its background work ends with ctx.
func Start(ctx context.Context, s *Settings, logger *slog.Logger) (*Entry, error) {
	logger = logger.With(slog.String("node", s.name))
	e := &Entry{
		settings: s, logger: logger, clock: suspend.Clock(logger),
		addresses: make(map[string]string), listeners: make(map[string]net.Listener),
	}
	// The holder identifies this process, so another run of the same instance has
	// another one.
	e.holder = fmt.Sprintf("%s.%s", s.name, uuid.NewString()[:8])
	base := s.platform
	if base == Embedded {
		var err error
		if base, err = startEmbedded(ctx, s, e.logger); err != nil {
			return nil, err
		}
	}
	e.platform = remote.New(base)
	e.registry = prometheus.NewRegistry()
	e.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := e.openListeners(); err != nil {
		return nil, err
	}
	e.startElection(ctx)
	e.startState(ctx)
	if s.platform == Embedded {
		if err := e.createDemoTemplate(ctx); err != nil {
			return nil, err
		}
	}
	e.startRequests(ctx)
	e.startControl(ctx)
	e.registerMetrics()
	if err := e.serveAll(ctx); err != nil {
		return nil, err
	}
	return e, nil
}

// startElection joins the election of the zone's planner. The elected process
// also relays the watches of the other processes in the zone.
func (e *Entry) startElection(ctx context.Context) {
	if !e.settings.controlEnabled {
		e.election = &elect.Candidate{}
		return
	}
	holder := e.holder + holderSeparator + e.addresses[roleOperators]
	e.election = elect.Start(ctx, e.platform, e.clock, "planner."+e.settings.zone, holder, elect.DefaultTTL)
}

// holderSeparator separates the name of a lease's holder from its URL.
const holderSeparator = "@"

// relayURL returns the URL of the zone's relay. It is empty if this process is
// the relay or does not know one.
func (e *Entry) relayURL() string {
	_, base, _ := strings.Cut(e.election.OtherHolder(), holderSeparator)
	return base
}

// A relayedStore is the platform's store with watches that go through the relay.
type relayedStore struct {
	*remote.Client
	watcher pointport.Watcher
}

// Watch watches a key through the zone's relay.
func (s *relayedStore) Watch(ctx context.Context, key string, after pointport.Revision) (pointport.Entry, error) {
	return s.watcher.Watch(ctx, key, after)
}

// startState starts to follow the logs of the configuration, of the assignments
// of all zones and of the own zone's jobs.
func (e *Entry) startState(ctx context.Context) {
	withLogger := changelog.WithLogger(e.logger)
	store := &relayedStore{e.platform, relay.NewClient(e.platform, e.clock, e.relayURL)}
	e.configs = changelog.Start[*config.State, config.Change](ctx, store, e.clock, configName, config.NewState(), withLogger)
	e.assignments = make(map[pointport.ZoneID]*planner.AssignLog)
	e.jobs = make(map[pointport.ZoneID]*placer.JobLog)
	for _, zone := range e.settings.zoneIDs() {
		e.assignments[zone] = changelog.Start[*assign.State, assign.Change](ctx, store, e.clock, planner.LogName(zone), assign.NewState(), withLogger)
		if zone == pointport.ZoneID(e.settings.zone) {
			e.jobs[zone] = changelog.Start[*job.State, job.Change](ctx, store, e.clock, placer.LogName(zone), job.NewState(), withLogger)
			continue
		}
		// The jobs of other zones are only read when a query asks for them.
		e.jobs[zone] = changelog.New[*job.State, job.Change](store, e.clock, placer.LogName(zone), job.NewState(), withLogger)
	}
}

// startRequests starts the request path: claims, the gateway, the connection
// shares and the gateway's updates.
func (e *Entry) startRequests(ctx context.Context) {
	s := e.settings
	e.claims = claim.Start(ctx, e.platform, e.clock, e.holder,
		claim.WithLogger(e.logger), claim.WithRetention(s.claimRetention), claim.WithWriteRate(s.claimWriteRate, claim.DefaultBatchDelay))
	e.gateway = gateway.New(e.clock, e.claims,
		gateway.WithLogger(e.logger), gateway.WithZone(pointport.ZoneID(s.zone)),
		gateway.WithConnectionShare(func(zone pointport.ZoneID) int { return e.shares.allowed(zone) }), gateway.WithChooser(s.newChooser), gateway.WithRegistry(e.registry))
	e.shares = newShares(e)
	go func() { e.shares.run(ctx) }()
	e.updater = startGatewayUpdater(ctx, e)
}

// newChooser returns the chooser that the settings name.
func (s *Settings) newChooser() pointport.Chooser {
	switch s.chooser {
	case "least-in-flight":
		return choose.LeastInFlight{}
	case "round-robin":
		return &choose.RoundRobin{}
	}
	return choose.Forecast{}
}

// startControl starts the zone's planner and placer, which act while this process
// holds the election.
func (e *Entry) startControl(ctx context.Context) {
	zone := pointport.ZoneID(e.settings.zone)
	if !e.settings.controlEnabled {
		return
	}
	planner.Start(ctx, e.clock, zone, e.settings.zoneIDs(), e.platform, e.platform, e.configs, e.assignments[zone], e.election,
		planner.WithLogger(e.logger), planner.WithInterval(e.planInterval), planner.WithListObserver(e.updater.setPlannerList), planner.WithAuthor("planner/"+e.holder))
	placer.Start(ctx, e.clock, zone, e.platform,
		placer.Sources{Config: e.configs.State, Assign: e.assignments[zone].State}, e.jobs[zone], e.election,
		placer.WithLogger(e.logger), placer.WithAuthor("placer/"+e.holder))
}
