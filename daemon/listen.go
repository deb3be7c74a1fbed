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

// This file defines the listeners, health, and the planned stop.

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
		Config: e.configs, Assign: e.assigns, Jobs: e.jobs, Services: e.gateway, IsPlanner: e.held,
	})
	if err != nil {
		return err
	}
	relayed := remote.New(e.platform.Base(), remote.WithWatchTimeout(relay.StoreWait))
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
	case e.configs.LastAnswer().IsZero():
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
