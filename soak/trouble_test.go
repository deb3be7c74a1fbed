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

// This file defines the faults and how they are drawn.

// A fault is one kind of fault. It lasts for a while and ends what it began.
type fault struct {
	name string
	run  func(s *soak, t *testing.T, r *rand.Rand, d time.Duration)
}

// processFaults are the kinds of faults, each as likely as any other.
var processFaults = []fault{
	{"kill", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		s.drawEntry(r).signal(syscall.SIGKILL, d/4)
	}},
	{"stop as planned", func(s *soak, _ *testing.T, r *rand.Rand, _ time.Duration) {
		s.entries[r.IntN(len(s.entries))].signal(syscall.SIGTERM, 0)
	}},
	{"stop as planned in turn", func(s *soak, _ *testing.T, _ *rand.Rand, d time.Duration) {
		for _, e := range s.entries {
			e.signal(syscall.SIGTERM, 0)
			time.Sleep(d / 2)
		}
	}},
	{"freeze", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		e := s.drawEntry(r)
		e.signal(syscall.SIGSTOP, 0)
		time.Sleep(d)
		e.noteDisturbance()
		e.signal(syscall.SIGCONT, 0)
	}},
	{"new settings", func(s *soak, t *testing.T, r *rand.Rand, _ time.Duration) {
		e := s.entries[r.IntN(len(s.entries))]
		if err := e.writeSettings(); err != nil {
			t.Error(err)
		}
		e.signal(syscall.SIGHUP, 0)
	}},
	{"store treated badly for one", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		e := s.drawEntry(r)
		e.store.set(connMode(1 + r.IntN(int(platformModes)-1)))
		time.Sleep(d)
		e.noteDisturbance()
		e.store.set(passThrough)
	}},
	{"store treated badly for all", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		treat := connMode(1 + r.IntN(int(platformModes)-1))
		for _, e := range s.entries {
			e.noteDisturbance()
			e.store.set(treat)
		}
		time.Sleep(d)
		for _, e := range s.entries {
			e.noteDisturbance()
			e.store.set(passThrough)
		}
	}},
	{"machines' service treated badly", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		e := s.entries[r.IntN(len(s.entries))]
		e.machines.set(connMode(1 + r.IntN(int(platformModes)-1)))
		time.Sleep(d)
		e.machines.set(passThrough)
	}},
	{"store forgets its history", func(s *soak, _ *testing.T, _ *rand.Rand, d time.Duration) {
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
	{"instance fails all", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
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
	{"all killed", func(s *soak, _ *testing.T, _ *rand.Rand, d time.Duration) {
		for _, e := range s.entries {
			e.noteDisturbance()
			e.signal(syscall.SIGKILL, d/4)
		}
	}},
}

// drawEntry returns an entry to which something is about to be done.
func (s *soak) drawEntry(r *rand.Rand) *entry {
	e := s.entries[r.IntN(len(s.entries))]
	e.noteDisturbance()
	return e
}

// evacuateZones has one availability zone after the other left empty until ctx ends.
func (s *soak) evacuateZones(ctx context.Context, r *rand.Rand) {
	const most = 5000 // milliseconds; nothing may be started after testbed.EvacuationTime
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
		zone := soakZones[r.IntN(len(soakZones))]
		s.record("zone %s evacuated", zone)
		s.grid.Evacuate(zone)
		pause(ctx, time.Duration(4000+r.IntN(most))*time.Millisecond)
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

// startWave asks that some machines be maintained.
func (s *soak) startWave(r *rand.Rand) {
	ids := s.grid.Fleet().IDs()
	r.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	s.mu.Lock()
	s.waves++
	wave := capacity.Wave{ID: s.waves, Machines: append([]pointport.InstanceID(nil), ids[:len(ids)/3]...), Bound: 2, Duration: 20 * time.Second}
	s.mu.Unlock()
	s.grid.StartWave(wave)
}

// configure puts a configuration with one more queue in force.
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
