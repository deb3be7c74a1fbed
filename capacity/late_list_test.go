package capacity_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/schedule"
)

// A list with a varying lag goes back in time: it shows an incarnation, and then an earlier state
// of its instance. The incarnation has not ended.
func TestListThatGoesBackEndsNoNewIncarnation(t *testing.T) {
	for _, before := range []pointport.Machine{
		{State: pointport.MachineMoving},
		{State: pointport.MachineDown},
		{State: pointport.MachineUp, Addressee: "i-former"},
	} {
		before.ID, before.Pool = "m-00", "a"
		present := pointport.Machine{ID: "m-00", Pool: "a", State: pointport.MachineUp, Addressee: "i-present"}
		now := time.Unix(1000, 0)
		p := capacity.NewPlanner(settings)
		for _, m := range []pointport.Machine{before, present, before} {
			p.SetMachines(now, []pointport.Machine{m})
			now = now.Add(300 * time.Millisecond)
		}
		p.SetSurvey(now, "a", schedule.Survey{Instances: []schedule.InstanceLoad{
			{Instance: "m-00", Incarnation: "i-present", Runs: 3, Silent: true, Known: time.Second},
		}})
		if ended := p.EndedIncarnations("a"); len(ended) > 0 {
			t.Errorf("the older list shows the instance %s %s: ended incarnations %+v", before.State, before.Addressee, ended)
		}
	}
}

// Guards against moving a machine with running tasks. An earlier planner has moved it out of the
// spare pool, and its new pool's owner reports what runs there. A list from before the move still
// shows it switched off in the spare pool, where it would be free to be ordered elsewhere.
func TestMachineReportedByOwnerIsNotMoved(t *testing.T) {
	f := newFleet(2, "a", "b", spareName)
	p := capacity.NewPlanner(settings)
	f.need["b"] = 20000 // more than the fleet has
	var moved *pointport.Machine
	for _, m := range f.machines {
		if m.Pool == spareName {
			moved = m
		}
	}
	p.SetFormer(map[pointport.InstanceID]capacity.FormerOrder{moved.ID: {At: f.now.Add(-settings.MinHolderInterval)}})
	for range 12 {
		f.now = f.now.Add(250 * time.Millisecond)
		p.SetSpare(spareName)
		p.SetMachines(f.now, f.listed())
		reported := f.survey("a")
		reported.Instances = append(reported.Instances, schedule.InstanceLoad{Instance: moved.ID, Incarnation: "i-present", Runs: 2, Serving: 1, Known: time.Second})
		p.SetSurvey(f.now, "a", reported)
		p.SetSurvey(f.now, "b", f.survey("b"))
		for _, o := range p.Decide(f.now).Orders {
			if o.Machine == moved.ID {
				t.Fatalf("%+v, although the owner of pool a reports what runs there", o)
			}
		}
	}
}
