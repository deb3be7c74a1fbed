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

// This file defines the gateway and what is in force in it.

// A Claimer claims keys. It is what the gateway needs of a claim.Book.
type Claimer interface {
	Claim(ctx context.Context, key claim.Key) (claim.Ticket, error)
}

// A Gateway is the handler of callers' requests.
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

	mu       sync.RWMutex
	services map[string]*dispatch.Service
	peers    map[peerKey]*peer
}

var _ http.Handler = (*Gateway)(nil)

// An Option changes a Gateway.
type Option func(*Gateway)

// WithLogger sets where events go.
func WithLogger(l *slog.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithZone sets the availability zone of this entry instance.
func WithZone(z pointport.ZoneID) Option { return func(g *Gateway) { g.zone = z } }

// WithShare sets how many connections this entry instance may have to one
// upstream of an availability zone.
func WithShare(share func(pointport.ZoneID) int) Option { return func(g *Gateway) { g.share = share } }

// WithChooser sets the choice among upstreams, made anew for each service.
func WithChooser(c func() pointport.Chooser) Option { return func(g *Gateway) { g.chooser = c } }

// WithRegistry sets where metrics are registered.
func WithRegistry(r prometheus.Registerer) Option { return func(g *Gateway) { g.registry = r } }

// New returns a gateway without routes.
func New(clock pointport.Clock, claims Claimer, options ...Option) *Gateway {
	g := &Gateway{
		clock: clock, claims: claims, logger: slog.New(slog.DiscardHandler),
		registry: prometheus.NewRegistry(),
		services: make(map[string]*dispatch.Service),
		peers:    make(map[peerKey]*peer),
	}
	for _, o := range options {
		o(g)
	}
	g.metrics = newMetrics(g.registry)
	g.table.Store(route.New(nil))
	g.weights.Store(&map[string]float64{})
	return g
}

// Update puts templates, customers' weights and each service's targets in
// force. Requests that are under way go on by what they began with.
func (g *Gateway) Update(templates []*config.Template, weights map[string]float64, targets map[string][]dispatch.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.weights.Store(&weights)
	live := make(map[peerKey]pointport.Instance)
	named := make(map[string]bool)
	for _, t := range templates {
		named[t.Service] = true
		s := g.services[t.Service]
		if s == nil {
			s = g.newService(t)
			g.services[t.Service] = s
		}
		s.Update(t, targets[t.Service])
		for _, target := range targets[t.Service] {
			live[keyOf(target.Instance)] = target.Instance
		}
	}
	for name := range g.services {
		if !named[name] {
			delete(g.services, name)
		}
	}
	g.updatePeers(live)
	g.table.Store(route.New(templates))
}

func (g *Gateway) newService(t *config.Template) *dispatch.Service {
	options := []dispatch.Option{dispatch.WithZone(g.zone), dispatch.WithLogger(g.logger)}
	if g.share != nil {
		options = append(options, dispatch.WithShare(g.share))
	}
	if g.chooser != nil {
		options = append(options, dispatch.WithChooser(g.chooser()))
	}
	return dispatch.New(t.Service, g.clock, t, options...)
}

// updatePeers makes transports for new instances and lets go of old ones. An
// old one is kept while it has connections, so that an instance that comes back
// into the list is not given a second share of them.
func (g *Gateway) updatePeers(live map[peerKey]pointport.Instance) {
	for k, p := range g.peers {
		if _, ok := live[k]; ok {
			continue
		}
		p.transport.CloseIdleConnections()
		if p.conns() == 0 {
			delete(g.peers, k)
		}
	}
	for k, i := range live {
		if g.peers[k] == nil {
			g.peers[k] = newPeer(i, func() int { return g.connections(i.Zone) })
		}
	}
}

// connections returns how many connections an upstream of zone may get.
func (g *Gateway) connections(zone pointport.ZoneID) int {
	if g.share == nil {
		return maxIdle
	}
	return g.share(zone)
}

// TrimIdle closes unused connections to the upstreams of zone, after this
// entry instance's share of them has fallen.
func (g *Gateway) TrimIdle(zone pointport.ZoneID) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, p := range g.peers {
		if p.instance.Zone == zone {
			p.transport.CloseIdleConnections()
		}
	}
}

// MostConnections returns the most connections that any upstream of zone has
// from this entry instance.
func (g *Gateway) MostConnections(zone pointport.ZoneID) int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	most := 0
	for _, p := range g.peers {
		if p.instance.Zone == zone {
			most = max(most, p.conns())
		}
	}
	return most
}

// SaturatedAt returns when a request last found no upstream with room.
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

func (g *Gateway) service(name string) *dispatch.Service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.services[name]
}

func (g *Gateway) peer(i pointport.Instance) *peer {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.peers[keyOf(i)]
}

func (g *Gateway) weight(customer string) float64 {
	if w, ok := (*g.weights.Load())[customer]; ok {
		return w
	}
	return 1
}
