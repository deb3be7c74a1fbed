package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/workload"
)

// This file defines faults of entries, the platform and instances, and how they are drawn.

// A fault is one kind of fault. Its run function injects it for a duration and then ends it.
type fault struct {
	name string
	run  func(s *soak, t *testing.T, r *rand.Rand, d time.Duration)
}

// basicFaults are the kinds of faults that every run has, each equally likely.
var basicFaults = []fault{
	{"kill", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		s.drawEntry(r).signal(syscall.SIGKILL, d/4)
	}},
	{"planned stop", func(s *soak, _ *testing.T, r *rand.Rand, _ time.Duration) {
		s.entries[r.IntN(len(s.entries))].signal(syscall.SIGTERM, 0)
	}},
	{"planned stop of all in turn", func(s *soak, _ *testing.T, _ *rand.Rand, d time.Duration) {
		for _, e := range s.entries {
			e.signal(syscall.SIGTERM, 0)
			time.Sleep(d / 2)
		}
	}},
	{"suspend", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		e := s.drawEntry(r)
		e.signal(syscall.SIGSTOP, 0)
		time.Sleep(d)
		e.noteDisturbance()
		e.signal(syscall.SIGCONT, 0)
	}},
	{"settings rewritten", func(s *soak, t *testing.T, r *rand.Rand, _ time.Duration) {
		e := s.entries[r.IntN(len(s.entries))]
		if err := e.writeSettings(); err != nil {
			t.Error(err)
		}
		e.signal(syscall.SIGHUP, 0)
	}},
	{"store connection of one entry disturbed", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		e := s.drawEntry(r)
		e.store.set(connMode(1 + r.IntN(int(platformModes)-1)))
		time.Sleep(d)
		e.noteDisturbance()
		e.store.set(passThrough)
	}},
	{"store connections of all entries disturbed", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		mode := connMode(1 + r.IntN(int(platformModes)-1))
		for _, e := range s.entries {
			e.noteDisturbance()
			e.store.set(mode)
		}
		time.Sleep(d)
		for _, e := range s.entries {
			e.noteDisturbance()
			e.store.set(passThrough)
		}
	}},
	{"connection to the machines' service disturbed", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		e := s.entries[r.IntN(len(s.entries))]
		e.machines.set(connMode(1 + r.IntN(int(platformModes)-1)))
		time.Sleep(d)
		e.machines.set(passThrough)
	}},
	{"store compacted", func(s *soak, _ *testing.T, _ *rand.Rand, d time.Duration) {
		s.grid.Store().DropWatchEvents(true)
		time.Sleep(min(d, time.Second))
		s.grid.Store().DropWatchEvents(false)
		s.grid.Store().Compact()
	}},
	{"instance crashes", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		ids := s.grid.Fleet().IDs()
		s.grid.Fleet().Crash(ids[r.IntN(len(ids))], d)
	}},
	{"instance drains", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		ids := s.grid.Fleet().IDs()
		s.grid.Fleet().Drain(ids[r.IntN(len(ids))], 2*time.Second, d)
	}},
	{"instance fails every run", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		ids := s.grid.Fleet().IDs()
		id := ids[r.IntN(len(ids))]
		s.grid.Fleet().SetFailing(id, true)
		time.Sleep(d)
		s.grid.Fleet().SetFailing(id, false)
	}},
	{"wave", func(s *soak, _ *testing.T, r *rand.Rand, _ time.Duration) {
		s.startWave(r)
	}},
	{"new configuration", func(s *soak, t *testing.T, _ *rand.Rand, _ time.Duration) {
		s.configure(t)
	}},
	{"all entries killed", func(s *soak, _ *testing.T, _ *rand.Rand, d time.Duration) {
		for _, e := range s.entries {
			e.noteDisturbance()
			e.signal(syscall.SIGKILL, d/4)
		}
	}},
}

// drawEntry returns a random entry and records that a fault is about to be injected into it.
func (s *soak) drawEntry(r *rand.Rand) *entry {
	e := s.entries[r.IntN(len(s.entries))]
	e.noteDisturbance()
	return e
}

// evacuateZones evacuates random availability zones, one after another, until ctx ends.
func (s *soak) evacuateZones(ctx context.Context, r *rand.Rand) {
	const spread = 5000 // milliseconds; nothing may be started after testbed.EvacuationTime
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
		zone := soakZones[r.IntN(len(soakZones))]
		s.record("zone %s evacuated", zone)
		s.grid.Evacuate(zone)
		pause(ctx, time.Duration(4000+r.IntN(spread))*time.Millisecond)
		s.record("zone %s open", zone)
		s.grid.EndEvacuation(zone)
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// startWave requests a maintenance wave for a random third of the machines.
func (s *soak) startWave(r *rand.Rand) {
	ids := s.grid.Fleet().IDs()
	r.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	s.mu.Lock()
	s.waves++
	wave := capacity.Wave{ID: s.waves, Machines: append([]pointport.InstanceID(nil), ids[:len(ids)/3]...), Bound: 2, Duration: 20 * time.Second}
	s.mu.Unlock()
	s.grid.StartWave(wave)
}

// configure applies a configuration with one more queue.
func (s *soak) configure(t *testing.T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.catalog
	next.Queues = append(append([]workload.Queue(nil), next.Queues...), workload.Queue{
		Name: "extra", Host: host, Path: "/extra" + string(rune('a'+len(next.Queues))) + "/", Pool: s.queues[0].Pool, Policy: s.queues[0].Policy, AllowAnonymous: true,
	})
	s.catalog = &next
	if err := s.grid.Configure(s.catalog); err != nil {
		t.Error(err)
	}
}
