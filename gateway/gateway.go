package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/dispatch"
	"github.com/pointport/pointport/route"
)

// This file defines the gateway and its current configuration.

// A Claimer claims idempotency keys. It is implemented by *claim.Claimer.
type Claimer interface {
	Claim(ctx context.Context, key claim.Key) (claim.Ticket, error)
}

// A Gateway is the HTTP handler for callers' requests. It is safe for concurrent
// use.
type Gateway struct {
	clock    pointport.Clock
	logger   *slog.Logger
	claims   Claimer
	zone     pointport.ZoneID
	share    func(pointport.ZoneID) int
	chooser  func() pointport.Chooser
	registry prometheus.Registerer
	metrics  *metrics

	table   atomic.Pointer[route.Table]
	weights atomic.Pointer[map[string]float64]

	mu        sync.RWMutex
	services  map[string]*dispatch.Service
	upstreams map[upstreamKey]*upstream
}

var _ http.Handler = (*Gateway)(nil)

// An Option configures a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger for events. By default they are discarded.
func WithLogger(l *slog.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithZone sets the availability zone of this entry instance.
func WithZone(z pointport.ZoneID) Option { return func(g *Gateway) { g.zone = z } }

// WithConnectionShare sets the function that returns how many connections this entry
// instance may have to one upstream of an availability zone. The default is maxIdle
// for every zone.
func WithConnectionShare(share func(pointport.ZoneID) int) Option {
	return func(g *Gateway) { g.share = share }
}

// WithChooser sets the function that makes the chooser of upstreams of each
// service.
func WithChooser(c func() pointport.Chooser) Option { return func(g *Gateway) { g.chooser = c } }

// WithRegistry sets the registry for metrics. By default they are not exported.
func WithRegistry(r prometheus.Registerer) Option { return func(g *Gateway) { g.registry = r } }

// New returns a gateway without routes, which refuses all requests until the first
// call of Update.
func New(clock pointport.Clock, claims Claimer, options ...Option) *Gateway {
	g := &Gateway{
		clock: clock, claims: claims, logger: slog.New(slog.DiscardHandler),
		registry:  prometheus.NewRegistry(),
		services:  make(map[string]*dispatch.Service),
		upstreams: make(map[upstreamKey]*upstream),
	}
	for _, o := range options {
		o(g)
	}
	g.metrics = newMetrics(g.registry)
	g.table.Store(route.New(nil))
	g.weights.Store(&map[string]float64{})
	return g
}

// Update replaces the templates, the customers' weights, and the targets of each
// service by its name. Requests in progress continue with the template and weight
// that they began with.
func (g *Gateway) Update(templates []*config.Template, weights map[string]float64, targets map[string][]dispatch.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.weights.Store(&weights)
	current := make(map[upstreamKey]pointport.Instance)
	configured := make(map[string]bool)
	for _, t := range templates {
		configured[t.Service] = true
		s := g.services[t.Service]
		if s == nil {
			s = g.newService(t)
			g.services[t.Service] = s
		}
		s.Update(t, targets[t.Service])
		for _, target := range targets[t.Service] {
			current[upstreamKeyOf(target.Instance)] = target.Instance
		}
	}
	for name := range g.services {
		if !configured[name] {
			delete(g.services, name)
		}
	}
	g.updateUpstreams(current)
	g.table.Store(route.New(templates))
}

// newService returns the dispatch service of a template.
func (g *Gateway) newService(t *config.Template) *dispatch.Service {
	options := []dispatch.Option{dispatch.WithZone(g.zone), dispatch.WithLogger(g.logger)}
	if g.share != nil {
		options = append(options, dispatch.WithConnectionShare(g.share))
	}
	if g.chooser != nil {
		options = append(options, dispatch.WithChooser(g.chooser()))
	}
	return dispatch.New(t.Service, g.clock, t, options...)
}

// updateUpstreams creates transports for new instances and removes those of
// instances that are not in current. A transport is kept while it has connections,
// so that an instance that returns to the list does not get a second share of
// connections.
func (g *Gateway) updateUpstreams(current map[upstreamKey]pointport.Instance) {
	for k, u := range g.upstreams {
		if _, ok := current[k]; ok {
			continue
		}
		u.transport.CloseIdleConnections()
		if u.conns() == 0 {
			delete(g.upstreams, k)
		}
	}
	for k, i := range current {
		if g.upstreams[k] == nil {
			g.upstreams[k] = newUpstream(i, func() int { return g.connectionLimit(i.Zone) })
		}
	}
}

// connectionLimit returns how many connections this entry instance may have to one
// upstream of zone.
func (g *Gateway) connectionLimit(zone pointport.ZoneID) int {
	if g.share == nil {
		return maxIdle
	}
	return g.share(zone)
}

// CloseIdle closes the idle connections to the upstreams of zone. It is called after
// this entry instance's share of them has been lowered.
func (g *Gateway) CloseIdle(zone pointport.ZoneID) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, u := range g.upstreams {
		if u.instance.Zone == zone {
			u.transport.CloseIdleConnections()
		}
	}
}

// MostConnections returns the highest number of connections that this entry
// instance has to any one upstream of zone.
func (g *Gateway) MostConnections(zone pointport.ZoneID) int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	most := 0
	for _, u := range g.upstreams {
		if u.instance.Zone == zone {
			most = max(most, u.conns())
		}
	}
	return most
}

// SaturatedAt returns when a request last found no upstream with free capacity, or the
// zero time if none has.
func (g *Gateway) SaturatedAt() time.Time {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var last time.Time
	for _, s := range g.services {
		if at := s.SaturatedAt(); at.After(last) {
			last = at
		}
	}
	return last
}

// Status returns the state of every service.
func (g *Gateway) Status() []dispatch.Status {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var out []dispatch.Status
	for _, s := range g.services {
		out = append(out, s.Status())
	}
	return out
}

// service returns the service with this name, or nil.
func (g *Gateway) service(name string) *dispatch.Service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.services[name]
}

// upstreamOf returns the upstream of an instance, or nil if the instance is not
// in the targets.
func (g *Gateway) upstreamOf(i pointport.Instance) *upstream {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.upstreams[upstreamKeyOf(i)]
}

// weight returns the weight of a customer; the default is 1.
func (g *Gateway) weight(customer string) float64 {
	if w, ok := (*g.weights.Load())[customer]; ok {
		return w
	}
	return 1
}
