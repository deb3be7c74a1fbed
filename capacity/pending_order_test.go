package capacity_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
)

// This file tests orders whose outcome is unknown.

var refusedBusy = &pointport.MachineRefusedError{Reason: pointport.RefuseBusy}

// loadPeaks lets the need of pool a rise and fall, and that of pool b rise a moment later.
func (f *fleet) loadPeaks(steps int, step func()) {
	const falls, later = 5, 8
	for n := range steps {
		f.need["a"], f.need["b"] = 6500, 500
		if n >= falls {
			f.need["a"] = 2500
		}
		if n >= later {
			f.need["b"] = 6500
		}
		step()
		f.assignTasks()
	}
}

// checkInterruptsNothing fails the test if an order interrupts tasks.
func (f *fleet) checkInterruptsNothing(t *testing.T, o capacity.Order) {
	t.Helper()
	if m := f.machine(o.Machine); f.runs[o.Machine] > 0 && m.Pool != o.Pool && m.State == pointport.MachineUp {
		t.Errorf("%v: %+v although %d tasks run there", f.now.Sub(time.Unix(1000, 0)), o, f.runs[o.Machine])
	}
}

// Guards against moving an instance with running tasks. A move got no answer but was carried out.
// Its retry was refused because the machine was already moving, and the refusal counted for the
// first attempt too. The list lagged by some seconds and still showed the machine as spare, so it
// was ordered to another pool although it had tasks by then.
func TestRefusedRetryKeepsUnansweredOrderPending(t *testing.T) {
	for _, lag := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			f := newFleet(4, "a", "b", spareName)
			f.lag = lag
			p := capacity.NewPlanner(settings)
			lost, refused := make(map[pointport.InstanceID]bool), 0
			answer := func(o capacity.Order) bool {
				f.checkInterruptsNothing(t, o)
				switch {
				case f.machine(o.Machine).State != pointport.MachineUp:
					refused++
					p.HandleAnswer(f.now, o, refusedBusy, true)
				case !lost[o.Machine]:
					lost[o.Machine] = true
					f.carryOut(o)
				default:
					return true
				}
				return false
			}
			f.loadPeaks(40, func() { f.step(p, 250*time.Millisecond, answer) })
			if refused == 0 {
				t.Error("no retried order was refused")
			}
		})
	}
}

// fleetWithPendingOrders returns a planner that has just ordered machines of pool a to the spare
// pool and got no answer, with these orders.
func fleetWithPendingOrders(t *testing.T) (*fleet, *capacity.Planner, map[pointport.InstanceID]capacity.Order) {
	t.Helper()
	f := newFleet(4, "a", "b", spareName)
	p := capacity.NewPlanner(settings)
	f.need["a"], f.need["b"] = 100, 100
	given := make(map[pointport.InstanceID]capacity.Order)
	for range 40 {
		f.step(p, 250*time.Millisecond, func(o capacity.Order) bool {
			given[o.Machine] = o
			return false
		})
		if len(given) > 0 {
			return f, p, given
		}
	}
	t.Fatal("nothing was ordered")
	return nil, nil, nil
}

// Guards against moving an instance with running tasks. A move got no answer, and its retry was
// not sent because the store did not accept it into the journal. The order then counted as never
// sent, so the instance was opened and got tasks before the first attempt was carried out.
func TestUnsentRetryKeepsUnansweredOrderPending(t *testing.T) {
	f, p, given := fleetWithPendingOrders(t)
	for range 16 {
		f.step(p, 250*time.Millisecond, func(o capacity.Order) bool {
			p.WithdrawUnsent(o)
			f.need["a"], f.need["b"] = 6500, 6500 // the machine is needed in its pool
			return false
		})
		for id := range given {
			if !f.closed[id] {
				t.Fatalf("%v: machine %s is open while an order for it is pending", f.now.Sub(time.Unix(1000, 0)), id)
			}
		}
	}
}

// Guards against an instance that stays closed for good. A move got no answer but was carried
// out, and a serving task was placed on the instance before the list showed it in its new pool.
// The instance was kept closed until the order could be retried, which the task prevented.
func TestConfirmedOrderOpensInstance(t *testing.T) {
	f := newFleet(4, "a", "b", spareName)
	p := capacity.NewPlanner(settings)
	given := make(map[pointport.InstanceID]bool)
	for range 40 {
		f.need["a"], f.need["b"] = 6500, 500
		f.step(p, 250*time.Millisecond, func(o capacity.Order) bool {
			if o.Pool == "a" && !given[o.Machine] {
				given[o.Machine] = true
				f.carryOut(o)
			}
			return false
		})
		for _, m := range f.machines {
			if m.Pool == "a" && m.Addressee != "" {
				f.runs[m.ID], f.serving[m.ID] = 1, 1
			}
		}
	}
	if len(given) == 0 {
		t.Fatal("nothing was ordered")
	}
	for id := range given {
		if f.closed[id] {
			t.Errorf("machine %s is closed although the list has confirmed its order for seconds", id)
		}
	}
}

// Guards against moving an instance with running tasks. A move got no answer. A list that was read
// in pages while machines moved lacked the machine, so the planner dropped the machine and its
// order and later opened the instance. Then the order was carried out.
func TestPendingOrderSurvivesIncompleteList(t *testing.T) {
	f, p, given := fleetWithPendingOrders(t)
	f.need["a"], f.need["b"] = 6500, 6500 // the machine is needed in its pool
	p.SetMachines(f.now, nil)
	f.step(p, 250*time.Millisecond, func(capacity.Order) bool { return false })
	for id := range given {
		if !f.closed[id] {
			t.Errorf("machine %s is open while an order for it is pending", id)
		}
	}
}

// An order for a machine that no longer exists is settled by a refusal, although an earlier
// attempt got no answer.
func TestOrderForRemovedMachineIsSettled(t *testing.T) {
	f, p, given := fleetWithPendingOrders(t)
	gone := 0
	for range 24 {
		f.step(p, 250*time.Millisecond, func(o capacity.Order) bool {
			if _, ok := given[o.Machine]; ok {
				f.need["a"], f.need["b"] = 6500, 6500 // it is not ordered away again
				gone++
				p.HandleAnswer(f.now, o, &pointport.MachineRefusedError{Machine: o.Machine, Reason: pointport.RefuseUnknown}, true)
			}
			return false
		})
	}
	if gone != len(given) {
		t.Errorf("%d orders for %d removed machines", gone, len(given))
	}
}
