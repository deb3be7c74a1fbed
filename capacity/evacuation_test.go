package capacity_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/evacuation"
)

// This file tests pools while an availability zone is evacuated.

var northEvacuated = evacuation.NewZones([]evacuation.Request{{Zone: "north"}})

// splitZones assigns the machines of a fleet to two availability zones so that each pool has as
// many in north as in south.
func splitZones(f *fleet, pools int) {
	for n, m := range f.machines {
		m.Zone = "south"
		if n/pools%2 == 0 {
			m.Zone = "north"
		}
	}
}

// inZone returns how many machines of a pool are in an availability zone.
func inZone(f *fleet, pool, zone string) int {
	n := 0
	for _, m := range f.machines {
		if m.Pool == pool && string(m.Zone) == zone {
			n++
		}
	}
	return n
}

// A pool that loses half of its instances to an evacuation gets as many from the other
// availability zone in the next round, although its remaining instances are not full, and none
// from the evacuated zone. Idle instances there go to the spare pool. Once the zone is open, its
// instances are used again.
func TestPoolIsSuppliedFromOtherZones(t *testing.T) {
	f := newFleet(8, "a", "b", spareName)
	splitZones(f, 3)
	p := capacity.NewPlanner(settings)
	f.need["a"] = 5000 // 7 instances with headroom
	for range 40 {
		f.step(p, 100*time.Millisecond, nil)
	}
	if f.count("a") < 7 {
		t.Fatalf("the pool has %d instances at the start", f.count("a"))
	}
	p.SetEvacuations(northEvacuated)
	had := inZone(f, "a", "south")
	f.step(p, 100*time.Millisecond, nil)
	if got := inZone(f, "a", "south"); got < 7 {
		t.Errorf("%d instances of the pool are in south or on their way there one round later, %d before", got, had)
	}
	for range 40 {
		d := f.step(p, 100*time.Millisecond, nil)
		for _, o := range d.Orders {
			if f.machine(o.Machine).Zone == "north" && o.Pool != spareName {
				t.Fatalf("%+v moves an instance of the evacuated availability zone to a pool", o)
			}
		}
	}
	if got := inZone(f, "a", "north"); got != 0 {
		t.Errorf("%d idle instances of the evacuated availability zone are still in the pool", got)
	}
	p.SetEvacuations(evacuation.None)
	f.need["a"] = 12000
	for range 40 {
		f.step(p, 100*time.Millisecond, nil)
	}
	if got := inZone(f, "a", "north"); got == 0 {
		t.Error("no instance of the availability zone comes back although it is open")
	}
}

// Instances of an evacuated availability zone on which tasks run stay in their pool: they
// are not taken for another pool, which could not use them.
func TestBusyInstancesOfAnEvacuatedZoneStay(t *testing.T) {
	f := newFleet(4, "a", "b", spareName)
	splitZones(f, 3)
	for _, m := range f.machines {
		if m.Pool == "a" {
			f.runs[m.ID] = 1
		}
	}
	p := capacity.NewPlanner(settings)
	p.SetEvacuations(northEvacuated)
	f.need["b"] = 12000 // more than the fleet has
	f.waiting["b"] = 12000
	for range 60 {
		d := f.step(p, 100*time.Millisecond, nil)
		for _, o := range d.Orders {
			if m := f.machine(o.Machine); m.Zone == "north" && f.runs[m.ID] > 0 {
				t.Fatalf("%+v interrupts what runs there", o)
			}
		}
		for pool, closures := range d.Closures {
			for _, c := range closures {
				if m := f.machine(c.Instance); m.Zone == "north" && f.runs[m.ID] > 0 {
					t.Fatalf("%s is closed in %s, to be emptied for a pool that could not use it", c.Instance, pool)
				}
			}
		}
	}
}

// A wave continues in an evacuated availability zone, because maintenance starts no task there.
func TestWaveContinuesInEvacuatedZone(t *testing.T) {
	f := newFleet(2, "a", "b", spareName)
	splitZones(f, 3)
	p := capacity.NewPlanner(settings)
	p.SetEvacuations(northEvacuated)
	wave := capacity.Wave{ID: 1, Bound: 2, Duration: 20 * time.Second}
	for _, m := range f.machines {
		wave.Machines = append(wave.Machines, m.ID)
	}
	for range 200 {
		p.SetWaves(f.now, []capacity.Wave{wave})
		f.step(p, 100*time.Millisecond, nil)
	}
	if got := f.maintained[1]; got != len(wave.Machines) {
		t.Errorf("%d machines of %d are maintained", got, len(wave.Machines))
	}
}

// An idle instance with a label in the evacuated availability zone does not count as supply
// for tasks that wait for the label.
func TestLabelIsSuppliedFromOtherZones(t *testing.T) {
	f := newFleet(3, "a", "b", spareName)
	splitZones(f, 3)
	for _, pool := range []string{"a", spareName} {
		for _, m := range f.machines {
			if m.Pool == pool && (m.Zone == "north") == (pool == "a") {
				m.Labels = []string{"gpu"}
				break
			}
		}
	}
	p := capacity.NewPlanner(settings)
	p.SetEvacuations(northEvacuated)
	f.step(p, time.Second, nil)
	s := f.survey("a")
	s.Labels = map[string]pointport.Shape{"gpu": {CPUMilli: 500}}
	p.SetSurvey(f.now, "a", s)
	d := p.Decide(f.now)
	if !slices.ContainsFunc(d.Orders, func(o capacity.Order) bool {
		return o.Pool == "a" && slices.Contains(f.machine(o.Machine).Labels, "gpu")
	}) {
		t.Errorf("orders are %+v, want the instance with the label", d.Orders)
	}
}
