package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/share"
)

// This file defines how this entry instance leases its share of the connections
// to upstreams.

const (
	// shareInterval is the interval at which the demand for connections is checked.
	shareInterval = time.Second
	// elasticRetention is how long elastic connections are kept after a request
	// last found no upstream with free capacity.
	elasticRetention = 30 * time.Second
	// minRequestTime is the lower limit of the assumed maximum duration of a
	// request.
	minRequestTime = time.Minute
)

// connectionShares holds the share of connections for each availability zone.
type connectionShares struct {
	entry      *Entry
	holders    map[pointport.ZoneID]*share.Holder
	lastLogged map[pointport.ZoneID]int       // elastic limit that was last logged
	renewedAt  map[pointport.ZoneID]time.Time // time of the last Reconcile
}

// newShares returns the shares of an entry instance. Only the fixed connections
// are allowed until run is called.
func newShares(e *Entry) *connectionShares {
	s := &connectionShares{
		entry: e, holders: make(map[pointport.ZoneID]*share.Holder),
		lastLogged: make(map[pointport.ZoneID]int), renewedAt: make(map[pointport.ZoneID]time.Time),
	}
	for _, zone := range e.settings.zoneIDs() {
		used := func() int { return max(0, e.gateway.MostConnections(zone)-s.fixed(zone)) }
		s.holders[zone] = share.New(e.platform, e.clock, zone, e.holder, e.settings.elasticConnections, used, share.WithMaxRequestTime(minRequestTime))
	}
	return s
}

// fixed returns how many connections to each upstream of zone are always allowed.
func (s *connectionShares) fixed(zone pointport.ZoneID) int {
	if zone == pointport.ZoneID(s.entry.settings.zone) {
		return s.entry.settings.ownZoneConnections
	}
	return s.entry.settings.otherZoneConnections
}

// allowed returns how many connections to each upstream of zone are currently
// allowed.
func (s *connectionShares) allowed(zone pointport.ZoneID) int {
	n := s.fixed(zone)
	if h := s.holders[zone]; h != nil {
		n += h.ElasticLimit()
	}
	return n
}

// run adjusts the shares to demand until ctx ends, and then releases them.
func (s *connectionShares) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.adjust(ctx)
		select {
		case <-s.entry.clock.After(shareInterval):
		case <-ctx.Done():
		}
	}
	releaseCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for zone, h := range s.holders {
		// A grant is not released while connections that it covers are open.
		s.entry.gateway.CloseIdle(zone)
		// A grant that cannot be released expires by itself.
		_ = h.Reconcile(releaseCtx, 0)
	}
}

// adjust requests the elastic connections that demand calls for, and renews the
// grants.
func (s *connectionShares) adjust(ctx context.Context) {
	now := s.entry.clock.Now()
	saturated := now.Sub(s.entry.gateway.SaturatedAt()) < elasticRetention
	slots := s.slots()
	for zone, h := range s.holders {
		want := 0
		if saturated {
			want = max(0, min(slots-s.fixed(zone), s.entry.settings.elasticConnections))
		}
		if want != h.ElasticLimit() || now.Sub(s.renewedAt[zone]) >= share.DefaultTTL/share.RenewalsPerTTL {
			s.renewedAt[zone] = now
			// A failed call is repeated later; the grant expires by itself.
			_ = h.Reconcile(ctx, want)
		}
		s.applyLimit(zone, h)
	}
}

// slots returns how many requests an instance runs concurrently, as the maximum
// over all templates.
func (s *connectionShares) slots() int {
	n := 0
	for _, t := range s.entry.configs.State().Templates() {
		n = max(n, t.Upstream.Slots)
	}
	return n
}

// setMaxRequestTime passes the maximum duration of a request, the longest timeout
// of all routes, on to the holders. It must be called before the templates come
// into force.
func (s *connectionShares) setMaxRequestTime(templates []*config.Template) {
	longest := minRequestTime
	for _, t := range templates {
		for _, r := range t.Routes {
			longest = max(longest, r.Timeout.Value())
		}
	}
	for _, h := range s.holders {
		h.SetMaxRequestTime(longest)
	}
}

// applyLimit closes idle connections if more are open than allowed, and logs a
// change of the limit.
func (s *connectionShares) applyLimit(zone pointport.ZoneID, h *share.Holder) {
	limit := h.ElasticLimit()
	if s.entry.gateway.MostConnections(zone) > s.fixed(zone)+limit {
		s.entry.gateway.CloseIdle(zone)
	}
	if limit != s.lastLogged[zone] {
		event.ShareChanged.Log(s.entry.logger, slog.String("zone", string(zone)), slog.Int("from", s.lastLogged[zone]), slog.Int("to", limit))
		s.lastLogged[zone] = limit
	}
}
