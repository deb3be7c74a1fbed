package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/schedule"
)

// This file tests surveys that are outdated because the pool's owner does not answer.

// Guards against maintaining an instance with running tasks. An empty, closed instance waited for
// its turn in a wave. Its pool's owner stopped answering, so the closure expired and the instance
// got tasks. When its turn came, the owner's old survey still counted.
func TestNoOrderOnOutdatedSurvey(t *testing.T) {
	p := capacity.NewPlanner(settings)
	now := time.Unix(1000, 0)
	list := make([]pointport.Machine, 2)
	loads := make([]schedule.InstanceLoad, 2)
	all := make([]pointport.InstanceID, 2)
	for n := range list {
		all[n] = pointport.InstanceID(fmt.Sprintf("m-%d", n))
		incarnation := pointport.IncarnationID(fmt.Sprintf("i-%d", n))
		list[n] = pointport.Machine{ID: all[n], Pool: "a", State: pointport.MachineUp, Addressee: incarnation.Addressee(), Capacity: pointport.Shape{CPUMilli: 1000, MemoryMiB: 1000}}
		loads[n] = schedule.InstanceLoad{Instance: all[n], Incarnation: incarnation, Closed: true, Known: time.Hour}
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
	now = now.Add(10 * time.Second) // it is back, and the owner has not answered in the meantime
	p.SetMachines(now, list)
	p.ForgetSurvey("a")
	if d := p.Decide(now); len(d.Orders) != 0 {
		t.Errorf("%+v is ordered on a survey from 10 s ago", d.Orders)
	}
	p.SetSurvey(now, "a", schedule.Survey{Instances: loads})
	if d := p.Decide(now); len(d.Orders) != 1 {
		t.Errorf("orders %+v once the owner has answered, want one", d.Orders)
	}
}
