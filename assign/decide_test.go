package assign_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/evacuation"
)

// TestZoneLossFitsStoreLimit fails all 2000 instances of a zone at once. A change
// that held all their steps could exceed the store's limit of 1 MB for a value, so
// the steps must be spread over several changes that together cover every instance.
func TestZoneLossFitsStoreLimit(t *testing.T) {
	const instances, most = 2000, 300 << 10
	in := inputOf(instances)
	for i := range in.Listed {
		in.Listed[i].State = pointport.InstanceDown
	}
	for round := 0; ; round++ {
		c := assign.Decide(in)
		if c.Empty() {
			break
		}
		if round > 10 {
			t.Fatal("the decisions don't converge")
		}
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > most {
			t.Fatalf("a change takes %d bytes, want at most %d", len(data), most)
		}
		c.Version = in.State.Version() + 1
		if in.State, err = in.State.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range in.State.Members() {
		if m.Phase != assign.Failed {
			t.Fatalf("%s is %s, want it failed", m.ID, m.Phase)
		}
	}
}

// TestLostInstanceIsReplaced removes an instance from the platform's list for good.
// Exactly one spare instance must replace it in its pool, and no other may move.
func TestLostInstanceIsReplaced(t *testing.T) {
	in := inputOf(250) // 51 pools of 4, and 46 spare instances
	before := make(map[pointport.InstanceID]assign.Member)
	for _, m := range in.State.Members() {
		before[m.ID] = m
	}
	lost := in.Listed[0].ID
	pool := before[lost].Pool
	in.Listed = in.Listed[1:]
	in.AbsentSince = map[pointport.InstanceID]time.Time{lost: in.Now}
	in.Now = in.Now.Add(31 * time.Second)
	in.State = settle(in)
	moved := 0
	for _, m := range in.State.Members() {
		if m.Pool != before[m.ID].Pool {
			moved++
			if m.Pool != pool || before[m.ID].Phase != assign.Spare {
				t.Errorf("%s moved from pool %q to %q", m.ID, before[m.ID].Pool, m.Pool)
			}
		}
	}
	if m, _ := in.State.Member(lost); m.Phase != assign.Failed || moved != 1 {
		t.Errorf("the lost instance is %s and %d instances moved", m.Phase, moved)
	}
}

// TestForecast forecasts a pool that grows beyond the spare instances of its zone,
// and a wave over another pool. The forecast must end and must not change the state.
func TestForecast(t *testing.T) {
	in := inputOf(250) // 51 pools of 4, and 46 spare instances
	in.Now = in.Now.Add(time.Hour)
	version := in.State.Version()
	grown := *in.Templates[0]
	grown.Pool.Size = 60
	in.Templates = append([]*config.Template{&grown}, in.Templates[1:]...)
	in.Waves = []assign.WaveOrder{{Wave: &config.Wave{Name: "wave", Template: "pool-1", State: config.WaveRun}, Version: 1}}
	f := assign.NewForecast(in)
	if f.Moves != 46 || f.Reboots != 4 {
		t.Errorf("%d moves and %d reboots, want 46 and 4", f.Moves, f.Reboots)
	}
	if p := f.Pools[0]; p.Before != 4 || p.After != 50 || p.Need != 60 || p.Missing != 10 {
		t.Errorf("the growing pool: %+v", p)
	}
	if in.State.Version() != version {
		t.Error("the forecast changed the state")
	}
}

// TestOtherZonesTakeOverEvacuatedPart evacuates one zone of two. The other zone must add
// spare instances for the evacuated zone's part, and must not release them as soon as that
// zone is open again, but only by the rule for surplus. The evacuated zone must keep its
// instances.
func TestOtherZonesTakeOverEvacuatedPart(t *testing.T) {
	in := inputOf(250)
	in.Zones, in.State = []pointport.ZoneID{"zone-a", "zone-b"}, assign.NewState()
	in.State = settle(in)
	serving := func(in assign.Input) int {
		n := 0
		for _, m := range in.State.Members() {
			if m.Phase == assign.Serving {
				n++
			}
		}
		return n
	}
	before := serving(in)
	if before != 102 {
		t.Fatalf("%d instances serve at first, want half of the pools' 204", before)
	}
	other, own := in, in
	other.Evacuations = evacuation.NewZones([]evacuation.Request{{Zone: "zone-b"}})
	other.State = settle(other)
	if got := serving(other); got != 250-46 {
		t.Errorf("%d instances serve while the other zone is evacuated, %d before; want all 204 of the pools", got, before)
	}
	other.Evacuations = evacuation.None
	other.State = settle(other)
	if got := serving(other); got != 250-46 {
		t.Errorf("%d instances serve right after the other zone was opened, want all 204 kept", got)
	}
	own.Evacuations = evacuation.NewZones([]evacuation.Request{{Zone: "zone-a"}})
	if c := assign.Decide(own); !c.Empty() {
		t.Errorf("%d steps in the evacuated zone", len(c.Steps))
	}
}
