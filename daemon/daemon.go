// Package daemon puts together an entry instance: the gateway for callers, the
// operators' API, metrics and health, and its part in planning and placement.
//
// Invariants: everything is checked before anything starts; a planned stop
// turns readiness off first, and ends after the last request in flight or the
// bound that was set.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/choose"
	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/elect"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/gateway"
	"github.com/pointport/pointport/job"
	"github.com/pointport/pointport/operator"
	"github.com/pointport/pointport/placer"
	"github.com/pointport/pointport/planner"
	"github.com/pointport/pointport/query"
	"github.com/pointport/pointport/relay"
	"github.com/pointport/pointport/remote"
)

// This file defines the entry instance and its start.

const (
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's unused connection is kept.
	idleTimeout = 2 * time.Minute
	// configName is the name of the configuration's log.
	configName = "config"
)

// An Entry is a running entry instance.
type Entry struct {
	settings *Settings
	logger   *slog.Logger
	clock    pointport.Clock
	platform *remote.Client
	holder   string

	registry *prometheus.Registry
	configs  *changelog.Log[*config.State, config.Change]
	assigns  map[pointport.ZoneID]*planner.AssignLog
	jobs     map[pointport.ZoneID]*placer.JobLog
	claims   *claim.Book
	gateway  *gateway.Gateway
	shares   *shares
	feeder   *feeder
	election *elect.Candidate

	addresses map[string]string // URL by role, such as "callers"
	listeners map[string]net.Listener
	servers   []*http.Server
	callers   *http.Server
	stopping  atomic.Bool
	stopOnce  sync.Once
	inFlight  atomic.Int64
}

// Start starts an entry instance whose background work ends with ctx.
func Start(ctx context.Context, s *Settings, logger *slog.Logger) (*Entry, error) {
	e := &Entry{settings: s, logger: logger.With(slog.String("node", s.name)), clock: clock.System{}, addresses: make(map[string]string), listeners: make(map[string]net.Listener)}
	// The holder names this process and no other.
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
	if err := e.open(); err != nil {
		return nil, err
	}
	e.startElection(ctx)
	e.startState(ctx)
	if s.platform == Embedded {
		if err := e.seed(ctx); err != nil {
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

// startElection takes part in the election of the zone's planner, which also
// relays the zone's waiting watches.
func (e *Entry) startElection(ctx context.Context) {
	if !e.settings.control {
		e.election = &elect.Candidate{}
		return
	}
	holder := e.holder + holderMark + e.addresses[roleOperators]
	e.election = elect.Start(ctx, e.platform, e.clock, "planner."+e.settings.zone, holder, elect.DefaultTTL)
}

// holderMark stands between the name of a lease's holder and its URL.
const holderMark = "@"

// relayURL returns the URL of the zone's relay, or nothing if this process is
// it or knows none.
func (e *Entry) relayURL() string {
	_, base, _ := strings.Cut(e.election.Other(), holderMark)
	return base
}

// A relayedStore is the platform's store, whose watches wait through the relay.
type relayedStore struct {
	*remote.Client
	watcher pointport.Watcher
}

// Watch waits through the zone's relay.
func (s *relayedStore) Watch(ctx context.Context, key string, after pointport.Revision) (pointport.Entry, error) {
	return s.watcher.Watch(ctx, key, after)
}

// startState follows the logs.
func (e *Entry) startState(ctx context.Context) {
	logged := changelog.WithLogger(e.logger)
	store := &relayedStore{e.platform, relay.NewClient(e.platform, e.clock, e.relayURL)}
	e.configs = changelog.Start[*config.State, config.Change](ctx, store, e.clock, configName, config.NewState(), logged)
	e.assigns = make(map[pointport.ZoneID]*planner.AssignLog)
	e.jobs = make(map[pointport.ZoneID]*placer.JobLog)
	for _, zone := range e.settings.zoneIDs() {
		e.assigns[zone] = changelog.Start[*assign.State, assign.Change](ctx, store, e.clock, planner.LogName(zone), assign.NewState(), logged)
		if zone == pointport.ZoneID(e.settings.zone) {
			e.jobs[zone] = changelog.Start[*job.State, job.Change](ctx, store, e.clock, placer.LogName(zone), job.NewState(), logged)
			continue
		}
		// Other zones' jobs are read when someone asks for them.
		e.jobs[zone] = changelog.New[*job.State, job.Change](store, e.clock, placer.LogName(zone), job.NewState(), logged)
	}
}

// startRequests makes the request path.
func (e *Entry) startRequests(ctx context.Context) {
	s := e.settings
	e.claims = claim.Start(ctx, e.platform, e.clock, e.holder,
		claim.WithLogger(e.logger), claim.WithRetention(s.claimKeep), claim.WithWrites(s.claimRate, claim.DefaultGather))
	e.gateway = gateway.New(e.clock, e.claims,
		gateway.WithLogger(e.logger), gateway.WithZone(pointport.ZoneID(s.zone)),
		gateway.WithShare(func(zone pointport.ZoneID) int { return e.shares.allowed(zone) }), gateway.WithChooser(s.newChooser), gateway.WithRegistry(e.registry))
	e.shares = newShares(e)
	go func() { e.shares.run(ctx) }()
	e.feeder = startFeeder(ctx, e)
}

func (s *Settings) newChooser() pointport.Chooser {
	switch s.chooser {
	case "least-in-flight":
		return choose.LeastInFlight{}
	case "round-robin":
		return &choose.RoundRobin{}
	}
	return choose.Forecast{}
}

// startControl takes part in planning and placement.
func (e *Entry) startControl(ctx context.Context) {
	zone := pointport.ZoneID(e.settings.zone)
	if !e.settings.control {
		return
	}
	planner.Start(ctx, e.clock, zone, e.settings.zoneIDs(), e.platform, e.platform, e.configs, e.assigns[zone], e.election,
		planner.WithLogger(e.logger), planner.WithPause(e.planPause), planner.WithListed(e.feeder.planned), planner.WithAuthor("planner/"+e.holder))
	placer.Start(ctx, e.clock, zone, e.platform,
		placer.Sources{Config: e.configs.State, Assign: e.assigns[zone].State}, e.jobs[zone], e.election,
		placer.WithLogger(e.logger), placer.WithAuthor("placer/"+e.holder))
}

// The roles of the listeners.
const (
	roleCallers   = "callers"
	roleOperators = "operators"
	roleMetrics   = "metrics"
)

// open opens every listener, so that a wrong address ends the start before
// anything else has begun.
func (e *Entry) open() error {
	s := e.settings
	for _, p := range []struct{ role, address string }{
		{roleCallers, s.callers}, {roleOperators, s.operators}, {roleMetrics, s.metrics},
	} {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			for _, opened := range e.listeners {
				_ = opened.Close()
			}
			return merry.Prepend(err, "-"+p.role)
		}
		e.listeners[p.role] = l
		e.addresses[p.role] = "http://" + l.Addr().String()
	}
	return nil
}

// serveAll serves every listener.
func (e *Entry) serveAll(ctx context.Context) error {
	s := e.settings
	api, err := operator.New(e.clock, &query.Source{
		Node: s.name, Zone: pointport.ZoneID(s.zone), Zones: s.zoneIDs(), Clock: e.clock,
		Config: e.configs, Assign: e.assigns, Jobs: e.jobs, Services: e.gateway, Plans: e.held,
	})
	if err != nil {
		return err
	}
	relayed := remote.New(e.platform.Base(), remote.WithWatch(relay.StoreWait))
	operators := http.NewServeMux()
	operators.Handle(relay.Path, relay.NewServer(ctx, relayed, e.clock))
	operators.Handle("/", api)
	e.callers = &http.Server{
		Handler: e.countCallers(e.gateway), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: s.maxHeader, ErrorLog: slog.NewLogLogger(e.logger.Handler(), slog.LevelDebug),
	}
	servers := map[string]*http.Server{
		roleCallers:   e.callers,
		roleOperators: {Handler: operators, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		roleMetrics:   {Handler: e.health(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	attrs := []slog.Attr{slog.String("zone", s.zone), slog.Int("pid", os.Getpid())}
	for _, role := range []string{roleCallers, roleOperators, roleMetrics} {
		e.servers = append(e.servers, servers[role])
		attrs = append(attrs, slog.String(role, e.addresses[role]))
		go e.serve(role, servers[role], e.listeners[role])
	}
	event.Started.Log(e.logger, attrs...)
	return nil
}

// Address returns the URL that serves a role: callers, operators or metrics.
func (e *Entry) Address(role string) string { return e.addresses[role] }

func (e *Entry) serve(role string, srv *http.Server, l net.Listener) {
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		event.Failed.Log(e.logger, slog.String("part", role), slog.Any("error", err))
	}
}

// countCallers counts the requests in flight, for the end of a planned stop.
func (e *Entry) countCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) held() bool { return e.settings.control && e.election.Held() }

// health serves metrics, liveness and readiness.
func (e *Entry) health() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := e.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}

// notReady says why callers should be sent elsewhere, or nothing. An outage of
// the store is no reason: what is in force goes on.
func (e *Entry) notReady() string {
	switch {
	case e.stopping.Load():
		return "stopping"
	case e.configs.Heard().IsZero():
		return "no configuration has been read yet"
	case !e.feeder.ready():
		return "no instances are known yet"
	}
	return ""
}

// Stop ends the entry instance as planned: readiness first, then a notice for
// the balancer, then the requests in flight. The end of ctx cuts the notice
// short. Stopping again waits for the same end.
func (e *Entry) Stop(ctx context.Context) { e.stopOnce.Do(func() { e.stop(ctx) }) }

func (e *Entry) stop(ctx context.Context) {
	e.stopping.Store(true)
	event.Stopping.Log(e.logger, slog.Duration("notice", e.settings.notice), slog.Duration("bound", e.settings.stopBound))
	// Connections close after their current answer from now on.
	e.callers.SetKeepAlivesEnabled(false)
	select {
	case <-e.clock.After(e.settings.notice):
	case <-ctx.Done():
	}
	bound, cancel := context.WithTimeout(context.Background(), e.settings.stopBound)
	defer cancel()
	if err := e.callers.Shutdown(bound); err != nil {
		event.Failed.Log(e.logger, slog.String("part", "callers"), slog.Any("error", err))
	}
	for _, srv := range e.servers {
		_ = srv.Close()
	}
	event.Stopped.Log(e.logger, slog.Int64("inFlight", e.inFlight.Load()))
}
