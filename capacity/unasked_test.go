package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/schedule"
)

// This file tests what becomes of what an owner has said once it can be asked no more.

// What users saw: tasks died with an instance that was maintained although they ran there. The
// order of events: an instance was empty and closed, and waited for its turn in a wave; its
// pool's owner could not be asked any more, so nothing kept it closed and it was given tasks; its
// turn came. The cause: what an owner had said seconds ago counted as if it held.
func TestNothingIsOrderedOnAnOldSurvey(t *testing.T) {
	p := capacity.NewPlanner(settings)
	now := time.Unix(1000, 0)
	list := make([]pointport.Machine, 2)
	loads := make([]schedule.InstanceLoad, 2)
	all := make([]pointport.InstanceID, 2)
	for n := range list {
		all[n] = pointport.InstanceID(fmt.Sprintf("m-%d", n))
		life := pointport.IncarnationID(fmt.Sprintf("i-%d", n))
		list[n] = pointport.Machine{ID: all[n], Pool: "a", State: pointport.MachineUp, Addressee: life.Addressee(), Capacity: pointport.Shape{CPUMilli: 1000, MemoryMiB: 1000}}
		loads[n] = schedule.InstanceLoad{Instance: all[n], Incarnation: life, Closed: true, Known: time.Hour}
	}
	p.SetMachines(now, list)
	p.SetWaves(now, []capacity.Wave{{ID: 1, Machines: all, Bound: 1, Duration: 20 * time.Second}})
	p.SetSurvey(now, "a", schedule.Survey{Instances: loads})
	d := p.Decide(now)
	if len(d.Orders) != 1 {
		t.Fatalf("orders %+v, want one", d.Orders)
	}
	first := d.Orders[0]
	p.HandleAnswer(now, first, nil, false)
	for n := range list {
		if list[n].ID == first.Machine {
			list[n].Addressee = "i-new"
		}
	}
	now = now.Add(10 * time.Second) // it is back, and nobody could ask the owner meanwhile
	p.SetMachines(now, list)
	p.ForgetSurvey("a")
	if d := p.Decide(now); len(d.Orders) != 0 {
		t.Errorf("%+v is ordered on what the owner said 10 s ago", d.Orders)
	}
	p.SetSurvey(now, "a", schedule.Survey{Instances: loads})
	if d := p.Decide(now); len(d.Orders) != 1 {
		t.Errorf("orders %+v once the owner has answered, want one", d.Orders)
	}
}
