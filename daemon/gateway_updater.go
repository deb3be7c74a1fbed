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

// This file defines the gateway updater, which passes the state in force to the
// gateway: the templates, the customers' weights and the instances of each
// service.

// A gatewayUpdater updates the gateway from the logs and the platform's list.
type gatewayUpdater struct {
	entry      *Entry
	versionSum pointport.Version // sum over all logs at the last update; versions only grow
	updatedAt  time.Time

	mu          sync.Mutex
	listed      map[pointport.InstanceID]pointport.Instance // the platform's list
	updated     bool                                        // see ready
	unavailable bool                                        // whether the last read of the list failed
}

// updateInterval is how often the updater compares versions. It adds to the time
// until a change comes into force.
const updateInterval = 50 * time.Millisecond

// startGatewayUpdater returns an updater that runs until ctx ends.
func startGatewayUpdater(ctx context.Context, e *Entry) *gatewayUpdater {
	u := &gatewayUpdater{entry: e, listed: make(map[pointport.InstanceID]pointport.Instance)}
	go func() { u.pollList(ctx) }()
	go func() {
		for ctx.Err() == nil {
			if u.due() {
				u.update()
			}
			select {
			case <-e.clock.After(updateInterval):
			case <-ctx.Done():
			}
		}
	}()
	return u
}

// due reports whether an update is due: if any version has changed since the last
// one, or if the refresh interval has passed. Updates without a change of version
// are needed because parameters come into force, and ejected upstreams are
// restored, at a certain time. If an update is due, due records its versions and
// time.
func (u *gatewayUpdater) due() bool {
	now := u.entry.clock.Now()
	sum := u.entry.configs.State().Version()
	for _, log := range u.entry.assignments {
		sum += log.State().Version()
	}
	if sum == u.versionSum && now.Sub(u.updatedAt) < u.entry.settings.refreshInterval {
		return false
	}
	u.versionSum, u.updatedAt = sum, now
	return true
}

// pollList reads the platform's list for instances that are leaving. The list
// lags behind reality.
func (u *gatewayUpdater) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		// The instances of other zones are known from their planners' logs. While
		// this process is the planner, the lists that the planner reads are used.
		if !u.entry.isPlanner() {
			list, err := u.entry.platform.Instances(ctx, pointport.ZoneID(u.entry.settings.zone))
			u.setList(ctx, list, err)
		}
		select {
		case <-u.entry.clock.After(u.entry.listInterval()):
		case <-ctx.Done():
		}
	}
}

// setPlannerList records a list that the planner in this process has read.
func (u *gatewayUpdater) setPlannerList(list []pointport.Instance) {
	u.setList(context.Background(), list, nil)
}

// setList records the result of a read of the platform's list. It logs the start
// and the end of an outage.
func (u *gatewayUpdater) setList(ctx context.Context, list []pointport.Instance, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		if !u.unavailable && ctx.Err() == nil {
			event.InstanceListUnavailable.Log(u.entry.logger, slog.Any("error", err))
		}
		u.unavailable = true
		return
	}
	if u.unavailable {
		event.InstanceListRecovered.Log(u.entry.logger)
	}
	u.unavailable = false
	u.listed = make(map[pointport.InstanceID]pointport.Instance, len(list))
	for _, i := range list {
		u.listed[i.ID] = i
	}
}

// update passes the current state to the gateway.
func (u *gatewayUpdater) update() {
	e := u.entry
	cfg := e.configs.State()
	templates := cfg.Effective(e.clock.Now())
	services := make(map[string]string, len(templates))
	for _, t := range templates {
		services[t.Name] = t.Service
	}
	targets := make(map[string][]dispatch.Target)
	zones := cfg.Evacuations()
	u.mu.Lock()
	for _, log := range e.assignments {
		for _, m := range log.State().Members() {
			t, ok := u.target(m)
			t.Evacuated = zones.State(m.Zone) != evacuation.Open
			if ok && services[m.Pool] != "" {
				targets[services[m.Pool]] = append(targets[services[m.Pool]], t)
			}
		}
	}
	u.updated = u.updated || len(targets) > 0 || cfg.Version() == 0
	u.mu.Unlock()
	weights := make(map[string]float64)
	for customer, p := range cfg.Customers() {
		weights[customer] = p.Weight
	}
	e.shares.setMaxRequestTime(templates)
	e.gateway.Update(templates, weights, targets)
}

// target returns how the gateway should use a member, and false if it should not
// use it. A member counts as leaving if the assignment or the platform's list
// marks it so; the gateway itself sees what the instance reports.
func (u *gatewayUpdater) target(m assign.Member) (dispatch.Target, bool) {
	if m.Phase != assign.Serving && m.Phase != assign.Draining {
		return dispatch.Target{}, false
	}
	i := pointport.Instance{ID: m.ID, Address: m.Address, Zone: m.Zone, Rack: m.Rack, Shape: m.Shape, Boots: m.Boots}
	leaving := m.Phase == assign.Draining
	if l, ok := u.listed[m.ID]; ok && l.Boots == m.Boots && l.State != pointport.InstanceLive {
		leaving = true
	}
	return dispatch.Target{Instance: i, Leaving: leaving}, true
}

// ready reports whether the gateway has been updated with known instances, or with
// a configuration that is still empty.
func (u *gatewayUpdater) ready() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.updated
}
