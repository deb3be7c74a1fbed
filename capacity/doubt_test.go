package capacity_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
)

// This file tests what the planner does while it is in doubt of what a machine does.

var refusedBusy = &pointport.MachineRefusedError{Reason: pointport.RefuseBusy}

// rise has the need of one pool rise and fall, and that of the other rise a moment later.
func (f *fleet) rise(steps int, step func()) {
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
		f.fill()
	}
}

// checkSpares fails the test if an order ends tasks.
func (f *fleet) checkSpares(t *testing.T, o capacity.Order) {
	t.Helper()
	if m := f.machine(o.Machine); f.runs[o.Machine] > 0 && m.Pool != o.Pool && m.State == pointport.MachineUp {
		t.Errorf("%v: %+v although %d tasks run there", f.now.Sub(time.Unix(1000, 0)), o, f.runs[o.Machine])
	}
}

// What users saw: tasks died with an instance that was moved although they ran there. The order
// of events: an order to move it got no answer and was carried out; given again, it was refused,
// because the machine was moving; the list of machines, some seconds behind, showed it as a spare
// one; it was ordered to another pool, with tasks on it by then. The cause: a refusal counted for the order that had no answer, too.
func TestOrderThatMayBeDoneIsUnderWayThoughItsRepetitionIsRefused(t *testing.T) {
	for _, lag := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			f := newFleet(4, "a", "b", spareName)
			f.lag = lag
			p := capacity.NewPlanner(settings)
			lost, refused := make(map[pointport.InstanceID]bool), 0
			answer := func(o capacity.Order) bool {
				f.checkSpares(t, o)
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
			f.rise(40, func() { f.step(p, 250*time.Millisecond, answer) })
			if refused == 0 {
				t.Error("no repeated order was refused")
			}
		})
	}
}

// ordered returns a planner that has just ordered machines of pool a to be switched off, and
// had no answer.
func ordered(t *testing.T) (*fleet, *capacity.Planner, map[pointport.InstanceID]capacity.Order) {
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

// What users saw: tasks died with an instance that was moved although they ran there. The order
// of events: an order to move it got no answer; its repetition was not given, because the store
// did not take it into the journal; it was needed in its pool, opened and given tasks; the first order was
// carried out. The cause: an order that was not given again counted as never given.
func TestOrderThatIsNotRepeatedIsStillUnderWay(t *testing.T) {
	f, p, given := ordered(t)
	for range 16 {
		f.step(p, 250*time.Millisecond, func(o capacity.Order) bool {
			p.WithdrawUnsent(o)
			f.need["a"], f.need["b"] = 6500, 6500 // it is needed where it is
			return false
		})
		for id := range given {
			if !f.closed[id] {
				t.Fatalf("%v: machine %s is open although an order about it is under way", f.now.Sub(time.Unix(1000, 0)), id)
			}
		}
	}
}

// What users saw: an instance took nothing new for good. The order of events: an order to move
// it got no answer and was carried out; a serving task was placed there before the list showed
// it in its new pool; it was kept closed until the order could be given again, which was never.
func TestOrderThatTheListShowsToBeDoneKeepsNothingClosed(t *testing.T) {
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
			t.Errorf("machine %s is closed although the list has shown for seconds that its order is done", id)
		}
	}
}

// What users saw: tasks died with an instance that was moved although they ran there. The order
// of events: an order to move it got no answer; a list of machines, read in pages while machines
// moved, lacked it; with it its order was forgotten, and it was opened; the order was carried out.
func TestOrderOutlivesAListThatLacksItsMachine(t *testing.T) {
	f, p, given := ordered(t)
	f.need["a"], f.need["b"] = 6500, 6500 // it is needed where it is
	p.SetMachines(f.now, nil)
	f.step(p, 250*time.Millisecond, func(capacity.Order) bool { return false })
	for id := range given {
		if !f.closed[id] {
			t.Errorf("machine %s is open although an order about it is under way", id)
		}
	}
}

// An order about a machine that there is no more is over, although it got no answer before.
func TestOrderAboutAMachineThatIsGoneIsOver(t *testing.T) {
	f, p, given := ordered(t)
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
		t.Errorf("%d orders about %d machines that are gone", gone, len(given))
	}
}
