package peerlease

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// This file models one task whose first run an owner starts without recording it, and the
// successors of that owner, which hold the task back, adopt the run, and count its end.
//
// It models: instances that obey only the highest fence they have seen, refuse numbers of runs they
// have seen, end runs whose execution lease has passed, restart, and lose their registration, with
// or without a connection to the successor; a start that is carried out late; an owner that
// dies before it has recorded the run; a successor that dies while it holds the task back. What a
// successor knows of unrecorded starts comes from a Vacancy, as in model_test.go.
//
// It leaves out: how a successor treats runs that are recorded (as without peer leases), several
// tasks, and late answers to polls. An owner acts only until its successor takes the pool, which the
// other model checks. Time passes in steps of a second.

const (
	instances      = 2
	taskLease      = 4 // steps until an execution lease has passed
	lateStart      = 1 // steps after which a start is carried out at most
	readableFor    = 2 // steps for which a successor must have read the registrations
	surelyExpired  = 6 // steps after which all that a former owner has extended has ended
	lastSuccessor  = 3 // its fence
	maxTaskRun     = 2
	unrecordedOnly = 1 // the number of a run that may be unrecorded
)

// A taskEnd is how a run has ended.
type taskEnd uint8

const (
	notEnded taskEnd = iota
	endedDone
	endedFailed
)

// An instance runs the task.
type instance struct {
	fence, running, seen uint8 // the highest fence, the run, the highest number of a run
	left                 uint8 // of the execution lease
	ended                taskEnd
	endedRun             uint8
	registered           bool
	cut                  bool // from the successor and the store
}

// A startOrder is on its way to an instance.
type startOrder struct{ fence, run, instance, age uint8 }

// A taskWorld is the state of the model.
type taskWorld struct {
	instances [instances]instance
	order     startOrder // no order if run is zero
	restarts  uint8
	cuts      uint8

	// What the store holds: the number of the last recorded run, whether it is known to have
	// ended, and whether the task is done.
	run         uint8
	runOver     bool
	done        bool
	documentSet bool // Document.Unrecorded

	fence    uint8 // of the present owner
	started  bool  // it has started the task without recording it
	holding  bool  // it holds the task back
	answered uint8 // instances that have answered it, as bits
	since    uint8 // steps since it took the pool
	noted    bool  // the truth: a successor was told that the task is done
	fault    bool
}

// taskOptions take guards out.
type taskOptions struct {
	noHold, noAdoption, noEnds, noAnswers, noReadable, noExpiry bool
	documentForgets, anyFence, answersOutliveRestart            bool
}

func (o taskOptions) initial() taskWorld {
	w := taskWorld{fence: 1, restarts: 1, cuts: 1}
	for i := range w.instances {
		w.instances[i] = instance{fence: 1, registered: true}
	}
	return w
}

func (o taskOptions) violation(w taskWorld) string {
	running := 0
	for _, i := range w.instances {
		if i.running > 0 {
			running++
		}
	}
	switch {
	case running > 1:
		return "two runs of the task at once"
	case w.fault:
		return "a run has started after the task was noted as done"
	}
	return ""
}

// A taskStep is the label of a transition.
type taskStep struct {
	what string
	at   int // an instance; negative for none
}

func (s taskStep) String() string {
	if s.at < 0 {
		return s.what
	}
	return fmt.Sprintf("%s, instance %d", s.what, s.at)
}

func (o taskOptions) next(w taskWorld, emit func(taskStep, taskWorld)) {
	emit(taskStep{"time passes", -1}, w.elapse())
	if w.order.run > 0 {
		emit(taskStep{"start is carried out or refused", int(w.order.instance)}, o.carryOut(w))
	}
	if w.fence < lastSuccessor {
		emit(taskStep{"a successor takes the pool", -1}, o.takeOver(w))
	}
	if w.started && !w.runOver {
		n := w
		n.run, n.started = unrecordedOnly, false
		emit(taskStep{"owner records its start", -1}, n)
	}
	if w.holding && o.mayStop(w) {
		n := w
		n.holding, n.documentSet = false, false
		emit(taskStep{"successor holds back no longer", -1}, n)
	}
	for i := range w.instances {
		o.instanceSteps(w, i, emit)
		o.ownerSteps(w, i, emit)
	}
}

// elapse lets a step of time pass.
func (w taskWorld) elapse() taskWorld {
	w.since = min(w.since+1, surelyExpired)
	if w.order.run > 0 {
		if w.order.age++; w.order.age > lateStart {
			w.order = startOrder{}
		}
	}
	for i := range w.instances {
		in := &w.instances[i]
		if in.left > 0 {
			in.left--
		}
		if in.left == 0 && in.running > 0 {
			in.endedRun, in.ended, in.running = in.running, endedFailed, 0
		}
		if w.since >= readableFor && !in.cut {
			in.registered = true
		}
	}
	return w
}

// carryOut delivers a start to its instance.
func (o taskOptions) carryOut(w taskWorld) taskWorld {
	in := &w.instances[w.order.instance]
	if (w.order.fence >= in.fence || o.anyFence) && w.order.run > in.seen {
		in.fence = max(in.fence, w.order.fence)
		in.running, in.seen, in.left = w.order.run, w.order.run, taskLease
		w.fault = w.noted
	}
	w.order = startOrder{}
	return w
}

// takeOver makes a successor owner. The former owner's memory is lost.
func (o taskOptions) takeOver(w taskWorld) taskWorld {
	d := NewDocument(proc(0, 0).process(), 1, []Process{proc(1, 0).process()}, time.Second, time.Second)
	d.Unrecorded = w.documentSet
	// The standby has granted leases to the first owner only, which needs them to start without
	// recording.
	v := Vacancy{Document: &d, Since: epoch, Granted: w.fence == 1}
	recorded := v.Verdict(epoch, proc(1, 0).process(), epoch).Recorded
	w.fence++
	w.started, w.answered, w.since = false, 0, 0
	w.holding = !recorded && w.run == 0 && !w.done && !o.noHold
	w.documentSet = !recorded && !o.documentForgets
	return w
}

// mayStop reports whether the successor need not hold the task back any more.
func (o taskOptions) mayStop(w taskWorld) bool {
	for i, in := range w.instances {
		if in.registered && w.answered&(1<<i) == 0 && !o.noAnswers {
			return false
		}
		if !in.registered && w.since < surelyExpired && !o.noExpiry {
			return false
		}
	}
	return w.since >= readableFor || o.noReadable
}

// instanceSteps are what happens to an instance.
func (o taskOptions) instanceSteps(w taskWorld, i int, emit func(taskStep, taskWorld)) {
	in := w.instances[i]
	if in.running > 0 {
		for _, end := range []taskEnd{endedDone, endedFailed} {
			n := w
			n.instances[i].running, n.instances[i].ended, n.instances[i].endedRun = 0, end, in.running
			emit(taskStep{[]string{"", "run is done", "run fails"}[end], i}, n)
		}
	}
	if w.restarts > 0 {
		n := w
		n.restarts--
		n.instances[i] = instance{registered: in.registered, cut: in.cut}
		if !o.answersOutliveRestart {
			n.answered &^= 1 << i
		}
		emit(taskStep{"restarts", i}, n)
	}
	if in.registered && w.since < readableFor {
		n := w
		n.instances[i].registered = false
		emit(taskStep{"registration expires in the outage", i}, n)
		if w.cuts > 0 {
			n.cuts--
			n.instances[i].cut = true
			emit(taskStep{"is cut off, registration expires", i}, n)
		}
	}
}

// ownerSteps are what the owner does with an instance.
func (o taskOptions) ownerSteps(w taskWorld, i int, emit func(taskStep, taskWorld)) {
	if w.fence == 1 && w.run == 0 && !w.started && w.order.run == 0 && w.since == 0 {
		n := w
		n.started = true
		n.order = startOrder{fence: 1, run: unrecordedOnly, instance: uint8(i)}
		emit(taskStep{"owner starts the task without recording it", i}, n)
	}
	in := w.instances[i]
	if !in.cut && in.fence <= w.fence && (in.registered || w.fence == 1) {
		emit(taskStep{"owner polls", i}, o.poll(w, i))
	}
	next := w.run + 1
	pending := w.run == 0 || w.runOver
	if w.fence > 1 && pending && !w.done && !w.holding && next <= maxTaskRun && w.order.run == 0 && in.registered {
		n := w
		n.run, n.runOver = next, false
		n.order = startOrder{fence: w.fence, run: next, instance: uint8(i)}
		emit(taskStep{"successor records and starts a run", i}, n)
	}
}

// poll extends what runs on an instance, and handles its answer.
func (o taskOptions) poll(w taskWorld, i int) taskWorld {
	in := &w.instances[i]
	in.fence = w.fence
	if in.running > 0 {
		in.left = taskLease
	}
	w.answered |= 1 << i
	if w.fence == 1 {
		return w // ends are noted in memory only
	}
	if in.running == unrecordedOnly && w.run == 0 && !o.noAdoption {
		w.run = unrecordedOnly
	}
	w.noted = w.noted || in.ended == endedDone
	if in.ended != notEnded && !o.noEnds {
		w = w.countEnd(in.endedRun, in.ended)
	}
	return w
}

// countEnd handles the end of a run that an instance lists.
func (w taskWorld) countEnd(run uint8, end taskEnd) taskWorld {
	if w.run < run {
		w.run = run
	}
	if w.run == run {
		w.runOver = true
	}
	w.done = w.done || end == endedDone
	return w
}

// TestUnrecordedStartRunsOnce guards against two runs of a task at once, and against a run after a
// successor was told that the task is done, in all states of the model.
func TestUnrecordedStartRunsOnce(t *testing.T) {
	begin := time.Now()
	depth, states := boundsOf(t, math.MaxInt, 12)
	r := explore[taskWorld, taskStep](taskOptions{}, depth, states)
	t.Logf("%v, %v", r, time.Since(begin))
	if r.violation != "" {
		t.Error("the model breaks an invariant")
	}
}

// TestUnrecordedStartRunsOnceRandomWalks checks the same in longer series of steps.
func TestUnrecordedStartRunsOnceRandomWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { walk[taskWorld, taskStep](t, taskOptions{}, 100) })
}

// TestUnrecordedStartNeedsItsGuards guards against a model that finds nothing.
func TestUnrecordedStartNeedsItsGuards(t *testing.T) {
	for _, m := range []struct {
		guard   string
		options taskOptions
	}{
		{"successor holds the task back", taskOptions{noHold: true}},
		{"successor adopts the run", taskOptions{noAdoption: true}},
		{"successor counts the end", taskOptions{noEnds: true}},
		{"successor waits for every instance to answer", taskOptions{noAnswers: true}},
		{"successor waits for the present incarnation to answer", taskOptions{answersOutliveRestart: true}},
		{"successor reads the registrations for long enough", taskOptions{noReadable: true, noExpiry: true}},
		{"successor waits for the execution leases where an instance is gone", taskOptions{noExpiry: true}},
		{"document says that earlier starts may be unrecorded", taskOptions{documentForgets: true}},
		{"instance obeys only the highest fence", taskOptions{anyFence: true}},
	} {
		t.Run(m.guard, func(t *testing.T) {
			r := explore[taskWorld, taskStep](m.options, 30, 5_000_000)
			t.Logf("%v", r)
			if r.violation == "" {
				t.Error("the model does not need the guard")
			}
		})
	}
}
