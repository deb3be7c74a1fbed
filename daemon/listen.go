package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/operator"
	"github.com/pointport/pointport/query"
	"github.com/pointport/pointport/relay"
	"github.com/pointport/pointport/remote"
)

// This file defines the listeners, the health checks and the planned stop.

// The roles of the listeners.
const (
	roleCallers   = "callers"
	roleOperators = "operators"
	roleMetrics   = "metrics"
)

// openListeners opens all listeners, so that an invalid address makes the start
// fail before anything else has started.
func (e *Entry) openListeners() error {
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

// serveAll starts to serve all listeners.
func (e *Entry) serveAll(ctx context.Context) error {
	s := e.settings
	api, err := operator.New(e.clock, &query.Source{
		Node: s.name, Zone: pointport.ZoneID(s.zone), Zones: s.zoneIDs(), Clock: e.clock,
		Config: e.configs, Assign: e.assignments, Jobs: e.jobs, Services: e.gateway, IsPlanner: e.isPlanner,
	})
	if err != nil {
		return err
	}
	relayStore := remote.New(e.platform.Base(), remote.WithWatchTimeout(relay.StoreWatchTimeout))
	operators := http.NewServeMux()
	operators.Handle(relay.Path, relay.NewServer(ctx, relayStore, e.clock))
	operators.Handle("/", api)
	e.callerServer = &http.Server{
		Handler: e.countCallers(e.gateway), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: s.maxHeaderBytes, ErrorLog: slog.NewLogLogger(e.logger.Handler(), slog.LevelDebug),
	}
	servers := map[string]*http.Server{
		roleCallers:   e.callerServer,
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

// Address returns the URL at which a role is served: callers, operators or
// metrics.
func (e *Entry) Address(role string) string { return e.addresses[role] }

func (e *Entry) serve(role string, srv *http.Server, l net.Listener) {
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		event.Failed.Log(e.logger, slog.String("part", role), slog.Any("error", err))
	}
}

// countCallers counts the requests in flight, which the event at the end of a
// planned stop reports.
func (e *Entry) countCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// isPlanner reports whether this process is the elected planner of its zone.
func (e *Entry) isPlanner() bool { return e.settings.controlEnabled && e.election.Held() }

// health returns the handler of metrics, liveness and readiness.
func (e *Entry) health() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := e.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}

// notReadyReason returns why callers should use other entry instances, or an empty
// string if this one is ready. An outage of the store is no such reason, because
// the configuration in force remains usable.
func (e *Entry) notReadyReason() string {
	switch {
	case e.stopping.Load():
		return "stopping"
	case e.configs.LastAnswer().IsZero():
		return "no configuration has been read yet"
	case !e.updater.ready():
		return "no instances are known yet"
	}
	return ""
}

// Stop shuts the entry instance down as planned: it turns readiness off, waits for
// the notice period so that the load balancer can react, and then waits for the
// requests in flight, at most for the configured time limit. The end of ctx cuts
// the notice period short. Further calls wait until the first one has finished.
func (e *Entry) Stop(ctx context.Context) { e.stopOnce.Do(func() { e.stop(ctx) }) }

func (e *Entry) stop(ctx context.Context) {
	e.stopping.Store(true)
	event.Stopping.Log(e.logger, slog.Duration("notice", e.settings.stopNotice), slog.Duration("bound", e.settings.stopTimeout))
	// From now on, connections are closed after their current response.
	e.callerServer.SetKeepAlivesEnabled(false)
	select {
	case <-e.clock.After(e.settings.stopNotice):
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), e.settings.stopTimeout)
	defer cancel()
	if err := e.callerServer.Shutdown(drainCtx); err != nil {
		event.Failed.Log(e.logger, slog.String("part", "callers"), slog.Any("error", err))
	}
	for _, srv := range e.servers {
		_ = srv.Close()
	}
	event.Stopped.Log(e.logger, slog.Int64("inFlight", e.inFlight.Load()))
}
