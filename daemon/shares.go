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

// This file defines this entry instance's part of the upstreams' connections.

const (
	// shareLook is how often demand for connections is looked at.
	shareLook = time.Second
	// shareKeep is how long elastic connections are kept after demand ended.
	shareKeep = 30 * time.Second
	// minBound is the least time that a request is taken to last.
	minBound = time.Minute
)

// shares holds a share of connections for each availability zone.
type shares struct {
	entry   *Entry
	holders map[pointport.ZoneID]*share.Holder
	last    map[pointport.ZoneID]int       // what was last logged
	renewed map[pointport.ZoneID]time.Time // when the last round was
}

// newShares returns the shares of an entry instance, which are fixed until run.
func newShares(e *Entry) *shares {
	s := &shares{
		entry: e, holders: make(map[pointport.ZoneID]*share.Holder),
		last: make(map[pointport.ZoneID]int), renewed: make(map[pointport.ZoneID]time.Time),
	}
	for _, zone := range e.settings.zoneIDs() {
		used := func() int { return max(0, e.gateway.MostConnections(zone)-s.fixed(zone)) }
		s.holders[zone] = share.New(e.platform, e.clock, zone, e.holder, e.settings.elastic, used, share.WithMaxRequestTime(minBound))
	}
	return s
}

// fixed is how many connections are always allowed.
func (s *shares) fixed(zone pointport.ZoneID) int {
	if zone == pointport.ZoneID(s.entry.settings.zone) {
		return s.entry.settings.ownShare
	}
	return s.entry.settings.otherShare
}

// allowed is how many connections to each upstream of zone are allowed now.
func (s *shares) allowed(zone pointport.ZoneID) int {
	n := s.fixed(zone)
	if h := s.holders[zone]; h != nil {
		n += h.ElasticLimit()
	}
	return n
}

// run follows demand until ctx ends, and then gives everything back.
func (s *shares) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.look(ctx)
		select {
		case <-s.entry.clock.After(shareLook):
		case <-ctx.Done():
		}
	}
	last, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, h := range s.holders {
		// A grant that cannot be given back lapses.
		_ = h.Reconcile(last, 0)
	}
}

func (s *shares) look(ctx context.Context) {
	now := s.entry.clock.Now()
	pressed := now.Sub(s.entry.gateway.SaturatedAt()) < shareKeep
	slots := s.slots()
	for zone, h := range s.holders {
		want := 0
		if pressed {
			want = max(0, min(slots-s.fixed(zone), s.entry.settings.elastic))
		}
		if want != h.ElasticLimit() || now.Sub(s.renewed[zone]) >= share.DefaultTTL/share.RenewalsPerTTL {
			s.renewed[zone] = now
			// A failed round is tried again; the grant lapses by itself.
			_ = h.Reconcile(ctx, want)
		}
		s.settle(zone, h)
	}
}

// slots returns how many requests an instance runs at once.
func (s *shares) slots() int {
	n := 0
	for _, t := range s.entry.configs.State().Templates() {
		n = max(n, t.Upstream.Slots)
	}
	return n
}

// setBound takes in how long a request may last by templates that are about to
// come into force.
func (s *shares) setBound(templates []*config.Template) {
	bound := minBound
	for _, t := range templates {
		for _, r := range t.Routes {
			bound = max(bound, r.Timeout.Value())
		}
	}
	for _, h := range s.holders {
		h.SetMaxRequestTime(bound)
	}
}

// settle closes connections that are not allowed any more, and logs a change.
func (s *shares) settle(zone pointport.ZoneID, h *share.Holder) {
	extra := h.ElasticLimit()
	if s.entry.gateway.MostConnections(zone) > s.fixed(zone)+extra {
		s.entry.gateway.TrimIdle(zone)
	}
	if extra != s.last[zone] {
		event.ShareChanged.Log(s.entry.logger, slog.String("zone", string(zone)), slog.Int("from", s.last[zone]), slog.Int("to", extra))
		s.last[zone] = extra
	}
}
