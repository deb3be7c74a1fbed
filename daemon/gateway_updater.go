package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/dispatch"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/event"
)

// This file defines the feeder, which tells the gateway what is in force: the
// templates, the customers' weights and the instances of each service.

// A feeder watches the logs and the platform's list.
type feeder struct {
	entry  *Entry
	fedSum pointport.Version // of all logs at the last feed; versions only grow
	fedAt  time.Time

	mu     sync.Mutex
	listed map[pointport.InstanceID]pointport.Instance
	fed    bool
	cut    bool
}

// look is how often the feeder compares versions. It adds to the time in which
// a change comes into force.
const look = 50 * time.Millisecond

// startFeeder returns a feeder that works until ctx ends.
func startFeeder(ctx context.Context, e *Entry) *feeder {
	f := &feeder{entry: e, listed: make(map[pointport.InstanceID]pointport.Instance)}
	go func() { f.pollList(ctx) }()
	go func() {
		for ctx.Err() == nil {
			if f.due() {
				f.feed()
			}
			select {
			case <-e.clock.After(look):
			case <-ctx.Done():
			}
		}
	}()
	return f
}

// due reports whether any version has changed since the last feed, or enough
// time has passed: parameters come into force by time alone, and ejected
// upstreams come back by it.
func (f *feeder) due() bool {
	now := f.entry.clock.Now()
	sum := f.entry.configs.State().Version()
	for _, log := range f.entry.assigns {
		sum += log.State().Version()
	}
	if sum == f.fedSum && now.Sub(f.fedAt) < f.entry.settings.refresh {
		return false
	}
	f.fedSum, f.fedAt = sum, now
	return true
}

// pollList reads the platform's list, which lags, for signs of leaving.
func (f *feeder) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		// Other zones' instances are known by their planners' logs. While this
		// process plans, the planner's own readings do.
		if !f.entry.held() {
			list, err := f.entry.platform.Instances(ctx, pointport.ZoneID(f.entry.settings.zone))
			f.take(ctx, list, err)
		}
		select {
		case <-f.entry.clock.After(f.entry.listPause()):
		case <-ctx.Done():
		}
	}
}

// planned takes in a reading of the planner in this process.
func (f *feeder) planned(list []pointport.Instance) { f.take(context.Background(), list, nil) }

func (f *feeder) take(ctx context.Context, list []pointport.Instance, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		if !f.cut && ctx.Err() == nil {
			event.InstanceListUnavailable.Log(f.entry.logger, slog.Any("error", err))
		}
		f.cut = true
		return
	}
	if f.cut {
		event.InstanceListRecovered.Log(f.entry.logger)
	}
	f.cut = false
	f.listed = make(map[pointport.InstanceID]pointport.Instance, len(list))
	for _, i := range list {
		f.listed[i.ID] = i
	}
}

// feed puts what is known now in force.
func (f *feeder) feed() {
	e := f.entry
	cfg := e.configs.State()
	templates := cfg.Effective(e.clock.Now())
	services := make(map[string]string, len(templates))
	for _, t := range templates {
		services[t.Name] = t.Service
	}
	targets := make(map[string][]dispatch.Target)
	zones := cfg.Evacuations()
	f.mu.Lock()
	for _, log := range e.assigns {
		for _, m := range log.State().Members() {
			t, ok := f.target(m)
			t.Evacuated = zones.State(m.Zone) != evacuation.Open
			if ok && services[m.Pool] != "" {
				targets[services[m.Pool]] = append(targets[services[m.Pool]], t)
			}
		}
	}
	f.fed = f.fed || len(targets) > 0 || cfg.Version() == 0
	f.mu.Unlock()
	weights := make(map[string]float64)
	for customer, p := range cfg.Customers() {
		weights[customer] = p.Weight
	}
	e.shares.setBound(templates)
	e.gateway.Update(templates, weights, targets)
}

// target returns how a member is to be used. Any sign of leaving suffices: the
// assignment's, the platform's list's, or the instance's own, which the
// gateway sees.
func (f *feeder) target(m assign.Member) (dispatch.Target, bool) {
	if m.Phase != assign.Serving && m.Phase != assign.Draining {
		return dispatch.Target{}, false
	}
	i := pointport.Instance{ID: m.ID, Address: m.Address, Zone: m.Zone, Rack: m.Rack, Shape: m.Shape, Boots: m.Boots}
	leaving := m.Phase == assign.Draining
	if l, ok := f.listed[m.ID]; ok && l.Boots == m.Boots && l.State != pointport.InstanceLive {
		leaving = true
	}
	return dispatch.Target{Instance: i, Leaving: leaving}, true
}

// ready reports whether the gateway has been told anything.
func (f *feeder) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fed
}
