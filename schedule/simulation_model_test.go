package schedule_test

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file models what is between an owner and its instances in simulated time: delivery of
// orders and answers, faults, and the checks of what must never happen.

// A fault is a kind of failure that may occur in a simulation.
type fault int

const (
	lateOrders     fault = iota // orders are carried out up to seconds after their sender gave up
	lateAnswers                 // answers take longer than their caller waits, or nearly so
	lateHandling                // answers are handled up to seconds after they arrived
	lostAnswers                 // answers never arrive
	notSent                     // orders find no connection, so their sender knows that they were not sent
	longWait                    // the sender waits longer than its timeout, because its process was paused
	slowStore                   // batches take up to half a second
	unhealthy                   // instances refuse to start and stop tasks
	pausedInstance              // an instance is paused, then handles all orders at once
	pausedOwner                 // the owner's event loop is paused
	unregistered                // registrations lapse while the instance is up, and come back
	crashes                     // instances crash and come back as another incarnation
	shrinks                     // instances lose capacity for a while
	closures                    // instances are closed to new tasks for a while
	cancels                     // customers cancel jobs
	faultKinds
)

// String returns the name of the fault.
func (k fault) String() string {
	return [...]string{
		"late orders", "late answers", "late handling", "lost answers", "not sent", "long wait", "slow store", "unhealthy", "paused instance",
		"paused owner", "unregistered", "crashes", "shrinks", "closures", "cancels",
	}[k]
}

// A simulation holds simulated time, an owner, its instances and all pending events.
type simulation struct {
	t             *rapid.T
	now           time.Time
	events        eventHeap
	instances     []*modelInstance
	incarnations  []*modelIncarnation
	owner         *modelOwner
	work          map[string]modelWork // by task
	steps         map[string]workload.Step
	faultExponent [faultKinds]int // by fault: 0 for never, else it occurs once in 2^n times
	started       map[string][]time.Time
	done          map[string]time.Time // when tasks were completed whose completed end was acknowledged
	knownDone     map[string]bool      // tasks of which the owner has handled a completed end
	eventCount    int
	violation     string
	// handover is set if owners crash and successors take over; see handover_model_test.go.
	handover  bool
	storeAway int       // outages of the store that have not ended
	storeBack time.Time // when the store was available again
	store     map[string]*modelStoredJob
	seen      eventCounter
	// sharedAddressees is set if incarnations of an instance may share an addressee.
	sharedAddressees bool
}

// An event is something that happens at a time. Events at the same time happen in the order of
// their numbers.
type event struct {
	at     time.Time
	number int
	do     func()
}

// An eventHeap is a heap of events, the earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	return h[i].at.Before(h[k].at) || h[i].at.Equal(h[k].at) && h[i].number < h[k].number
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// since returns the simulated time since start.
func (w *simulation) since() time.Duration { return w.now.Sub(start) }

// after schedules an event.
func (w *simulation) after(d time.Duration, do func()) {
	w.eventCount++
	heap.Push(&w.events, event{w.now.Add(d), w.eventCount, do})
}

// run carries out the events until a time, or until a check has failed.
func (w *simulation) run(until time.Time) {
	for len(w.events) > 0 && w.violation == "" && !w.events[0].at.After(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// fail records the first violation of a rule.
func (w *simulation) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.since()) + fmt.Sprintf(format, args...)
	}
}

// rarely draws true once in 2^n times.
func (w *simulation) rarely(label string, n int) bool {
	for range n {
		if !rapid.Bool().Draw(w.t, label) {
			return false
		}
	}
	return true
}

// faultOccurs draws whether a fault occurs.
func (w *simulation) faultOccurs(k fault) bool {
	return w.faultExponent[k] > 0 && w.rarely("occurs", w.faultExponent[k])
}

// drawDuration draws a duration up to most. Each sixteenth of the range is equally likely;
// rapid's own ranges prefer values near their beginning.
func (w *simulation) drawDuration(label string, most time.Duration) time.Duration {
	const parts = 16
	part, n := most/parts, 0
	for range 4 {
		n *= 2
		if rapid.Bool().Draw(w.t, label) {
			n++
		}
	}
	return time.Duration(n)*part + time.Duration(rapid.IntRange(0, int(part/time.Millisecond)).Draw(w.t, label))*time.Millisecond
}

// drawBelow draws a number below n, a power of two, uniformly.
func (w *simulation) drawBelow(label string, n int) int {
	k := 0
	for ; n > 1; n /= 2 {
		k *= 2
		if rapid.Bool().Draw(w.t, label) {
			k++
		}
	}
	return k
}

// drawClockRate draws the speed of a clock.
func (w *simulation) drawClockRate() float64 {
	return 1 - float64(rapid.IntRange(0, 20).Draw(w.t, "slow"))/1000
}

// call delivers an order to an instance and its answer, or an error in place of the answer, to
// handle. Faults may delay or lose either. The sender waits for timeout.
func (w *simulation) call(op string, run pointport.TaskRun, to pointport.Endpoint, timeout time.Duration, carryOut func(*modelIncarnation, func(any, error)), handle func(any, error)) {
	maxTransit := timeout // maximum time until the order reaches an incarnation
	out, back, handled := time.Millisecond, time.Millisecond, time.Duration(0)
	if w.faultOccurs(lateOrders) {
		out += w.drawDuration("out", longestDelay)
	}
	if w.faultOccurs(lateAnswers) {
		back += w.drawDuration("back", time.Second)
	}
	if w.faultOccurs(lateHandling) {
		handled = w.drawDuration("handled", 4*time.Second)
	}
	if w.faultOccurs(longWait) {
		timeout += w.drawDuration("timeout", 3*time.Second)
	}
	lost := w.faultOccurs(lostAnswers)
	answered := false
	deliver := func(a any, err error) {
		if answered {
			return
		}
		answered = true
		w.after(handled, func() { handle(a, err) })
	}
	w.t.Logf("%v sent: %s %v to %s, there in %v, back in %v (lost: %v), handled after %v", w.since(), op, run, to.Incarnation, out, back, lost, handled)
	if w.faultOccurs(notSent) {
		w.after(out, func() { deliver(nil, &pointport.UnavailableError{Op: op, Err: errModel}) })
		return
	}
	w.after(timeout, func() {
		deliver(nil, &pointport.UnavailableError{Op: op, Ambiguous: true, Err: errModel})
	})
	w.after(min(out, maxTransit), func() {
		// The order has reached the incarnation that is up, or none, since its sender withdraws it
		// after that time. Any further delay happens within that incarnation and ends with it.
		receiver := w.instanceAt(to.Address).current
		w.after(max(0, out-maxTransit), func() {
			if w.sharedAddressees && (receiver == nil || receiver.dead) {
				return // a new incarnation may have the same addressee
			}
			w.arrive(op, run, to, carryOut, func(a any, err error) {
				if !lost {
					w.after(back, func() { deliver(a, err) })
				}
			})
		})
	})
}

// arrive has an order carried out by the incarnation at its address.
func (w *simulation) arrive(op string, run pointport.TaskRun, to pointport.Endpoint, carryOut func(*modelIncarnation, func(any, error)), answer func(any, error)) {
	at := w.instanceAt(to.Address)
	switch {
	case at.current == nil:
		return // nobody answers
	case at.current.id.Addressee() != to.Incarnation.Addressee():
		answer(nil, &pointport.GoneError{Incarnation: to.Incarnation})
		return
	case w.now.Before(at.blockedUntil):
		w.after(at.blockedUntil.Sub(w.now), func() { w.arrive(op, run, to, carryOut, answer) })
		return
	}
	at.current.advance()
	carryOut(at.current, func(a any, err error) {
		w.t.Logf("%v %s answers %s %v: %v", w.since(), to.Incarnation, op, run, err)
		answer(a, err)
	})
	if at.current != nil {
		at.current.answerHeldPolls()
	}
}

// instanceAt returns the instance with an address.
func (w *simulation) instanceAt(address string) *modelInstance {
	for _, m := range w.instances {
		if m.address() == address {
			return m
		}
	}
	panic("no instance at " + address)
}

// register reports to the owner, some time later, which instances are registered.
func (w *simulation) register() {
	w.after(w.drawDuration("registered", 300*time.Millisecond), func() {
		if w.storeAway > 0 {
			return
		}
		w.owner.handle(func() { w.owner.scheduler.SetIncarnations(w.now, w.registrations()) })
	})
}

// registrations returns the instances that are registered.
func (w *simulation) registrations() []pointport.Incarnation {
	var all []pointport.Incarnation
	for _, m := range w.instances {
		if m.current != nil && m.listed {
			all = append(all, m.registration())
		}
	}
	return all
}

// workOf returns the work of a task, which it draws at the first call.
func (w *simulation) workOf(task string) modelWork {
	if k, ok := w.work[task]; ok {
		return k
	}
	id, _, err := workload.ParseTaskName(task)
	if err != nil {
		panic(err)
	}
	step := w.steps[id]
	k := modelWork{step: &step, duration: step.Estimate + w.drawDuration("takes", time.Second), fails: w.rarely("fails", 4)}
	w.work[task] = k
	return k
}

// checkSending checks that a start that is sent may be sent.
func (w *simulation) checkSending(o schedule.Order) {
	if o.Kind != schedule.OrderStart {
		return
	}
	if w.knownDone[o.TaskRun.Task] {
		w.fail("%v is sent to %s although its owner knows that its task is done", o.TaskRun, o.Worker.Endpoint().Incarnation)
	}
	id, _, _ := workload.ParseTaskName(o.TaskRun.Task)
	if w.owner.cancelled[id] {
		w.fail("%v is sent to %s although its job is cancelled", o.TaskRun, o.Worker.Endpoint().Incarnation)
	}
}

// checkStart checks that a run that begins may begin.
func (w *simulation) checkStart(r *modelRun) {
	w.t.Logf("%v %s starts %v", w.since(), r.on.id, r.TaskRun)
	if r.work.step.Copies {
		return
	}
	if at, ok := w.done[r.Task]; ok {
		w.fail("%v starts on %s although its task was done at %v", r.TaskRun, r.on.id, at.Sub(start))
	}
	w.started[r.Task] = append(w.started[r.Task], w.now)
	for _, l := range w.incarnations {
		if l.dead || l == r.on {
			continue
		}
		l.advance()
		if other := l.runs[r.Task]; other != nil {
			w.fail("%v runs on %s while %v runs on %s", other.TaskRun, l.id, r.TaskRun, r.on.id)
		}
	}
}

// noteEnds records the ends that the owner has handled.
func (w *simulation) noteEnds(ends []pointport.TaskEnd) {
	for _, e := range ends {
		if e.Kind == pointport.EndDone {
			w.knownDone[e.Task] = true
		}
	}
}

// checkFull checks that a start without free capacity goes only to an instance whose capacity
// was reduced. The owner knows the free capacity of all others before it sends a start.
func (w *simulation) checkFull(l *modelIncarnation, run pointport.TaskRun) {
	if !l.instance.shrank {
		w.fail("%v is sent to %s, which has no free capacity for it", run, l.id)
	}
}

// noteAcknowledged records that an end was acknowledged to an incarnation, which may then
// delete it, and checks that no run of a completed task began after its end. A completed end
// is final, unless the execution lease of the incarnation had expired since.
func (w *simulation) noteAcknowledged(l *modelIncarnation, e pointport.TaskEnd) {
	at := l.endedAt[e.Number]
	if e.Kind != pointport.EndDone || w.workOf(e.Task).step.Copies || l.lapsedAt.After(at) {
		return
	}
	w.done[e.Task] = at
	for _, began := range w.started[e.Task] {
		if began.After(at) {
			w.fail("a run of %s began at %v although the task was done at %v, as acknowledged to %s", e.Task, began.Sub(start), at.Sub(start), l.id)
		}
	}
}

// gangPeers returns the other runs of a run's gang, on any instance.
func (w *simulation) gangPeers(r *modelRun) []*modelRun {
	if !r.work.step.Gang {
		return nil
	}
	var out []*modelRun
	for _, l := range w.incarnations {
		if l.dead {
			continue
		}
		for _, o := range l.sorted() {
			if o != r && o.Run == r.Run && stepName(o.Task) == stepName(r.Task) {
				out = append(out, o)
			}
		}
	}
	return out
}

// stepName returns what identifies the step of a task: its job, occurrence and step.
func stepName(task string) string {
	id, ref, _ := workload.ParseTaskName(task)
	return fmt.Sprint(id, ref.Occurrence, ref.Step)
}

// gather lets the runs of a gang begin once all of them are there.
func (w *simulation) gather(r *modelRun) {
	if !r.work.step.Gang {
		return
	}
	r.began = time.Time{}
	peers := w.gangPeers(r)
	if len(peers)+1 < r.work.step.Count {
		return
	}
	for _, m := range append(peers, r) {
		m.began = w.now
	}
}

// breakGang ends the other runs of a gang of which one has ended.
func (w *simulation) breakGang(r *modelRun) {
	for _, m := range w.gangPeers(r) {
		m.on.end(m, w.now, pointport.EndGangBroken)
	}
}

const (
	// activePeriod is the period in which jobs are submitted and faults begin.
	activePeriod = 12 * time.Second
	// faultsOver is when the last fault is over: one that begins at the end of the active period
	// and lasts longest, a registration that comes back equally long after it, and orders that
	// are late.
	faultsOver = activePeriod + 2*longestFault + longestDelay + time.Second
	// longestFault is how long a fault lasts at most, longestDelay how late an order is at most.
	longestFault = 8 * time.Second
	longestDelay = 9 * time.Second
)

// newSimulation draws a simulation in which one kind of fault is frequent, and others may
// occur.
func newSimulation(t *rapid.T, frequent fault, sharedAddressees, handover bool) *simulation {
	w := &simulation{
		sharedAddressees: sharedAddressees, handover: handover, storeBack: start, store: make(map[string]*modelStoredJob), seen: make(eventCounter),
		t: t, now: start, work: make(map[string]modelWork), steps: make(map[string]workload.Step),
		started: make(map[string][]time.Time), done: make(map[string]time.Time), knownDone: make(map[string]bool),
	}
	for range frequent {
		rapid.Bool().Draw(t, "other") // so that the simulations of different faults differ
	}
	for k := range w.faultExponent {
		w.faultExponent[k] = max(0, rapid.IntRange(-3, 5).Draw(t, "often"))
	}
	w.faultExponent[frequent] = rapid.IntRange(1, 4).Draw(t, "frequent")
	w.owner = w.newOwner(modelFence, false)
	for n := range 2 + w.drawBelow("instances", 2) {
		m := &modelInstance{sim: w, number: n, capacity: size, listed: true}
		w.instances = append(w.instances, m)
		m.boot()
	}
	w.register()
	w.drawJobs()
	for n := range 1 + w.drawBelow("faults", 8) {
		k := unhealthy + fault(w.drawBelow("kind", 8))
		if n < 2 && frequent >= unhealthy {
			k = frequent
		}
		at, m, lasts := w.drawDuration("at", activePeriod), w.instances[w.drawBelow("instance", 4)%len(w.instances)], w.drawDuration("lasts", longestFault)
		w.after(at, func() { w.injectFault(k, m, lasts) })
	}
	w.after(activePeriod, func() { w.faultExponent = [faultKinds]int{} })
	w.after(faultsOver, w.cancelServing)
	if handover {
		w.drawHandovers()
	}
	w.owner.planSoon()
	return w
}

// drawJobs draws the jobs that customers submit.
func (w *simulation) drawJobs() {
	for n := range 1 + w.drawBelow("jobs", 4) {
		s := step(1+w.drawBelow("count", 4), int64(500*(1+w.drawBelow("cpu", 4))), func(s *workload.Step) {
			s.Estimate = 100*time.Millisecond + w.drawDuration("estimate", 5*time.Second)
			switch w.drawBelow("sort", 8) {
			case 5:
				s.Service = true
			case 6:
				s.Copies = true
			case 7:
				s.Gang = true
			}
		})
		id := fmt.Sprintf("job%d", n)
		w.steps[id] = s
		steps := []workload.Step{s}
		if w.handover {
			second := s
			second.After = []int{0}
			steps = append(steps, second)
		}
		w.after(w.drawDuration("submitted", activePeriod), func() { w.submit(id, &workload.Spec{Steps: steps}) })
	}
}

// openJob returns a job that has not ended, or the empty string if all have.
func (w *simulation) openJob() string {
	for id := range w.steps {
		if j := w.store[id]; j != nil && j.ended != "" {
			continue
		}
		if status, _ := w.owner.scheduler.Status(id); !status.Ended() {
			return id
		}
	}
	return ""
}

// end runs the simulation until all jobs have ended, and records a violation if one has not
// within a time after the last fault.
func (w *simulation) end(within time.Duration) {
	for after := time.Duration(0); w.openJob() != "" && w.violation == ""; after += time.Second {
		if after > within {
			w.fail("job %s has not ended %v after the last fault", w.openJob(), within)
		}
		w.run(start.Add(faultsOver + after))
	}
}

// injectFault begins a fault and schedules its end.
func (w *simulation) injectFault(k fault, m *modelInstance, lasts time.Duration) {
	w.t.Logf("%v %v at instance %d for %v", w.since(), k, m.number, lasts)
	switch k {
	case unhealthy:
		m.unhealthy, m.refusesPolls = true, w.rarely("refusesPolls", 1)
		w.after(lasts, func() { m.unhealthy = false })
	case pausedInstance:
		m.blockedUntil = later(m.blockedUntil, w.now.Add(lasts))
		if w.rarely("lapses", 1) { // its registration is not renewed meanwhile
			w.after(w.drawDuration("lapse", lasts), func() { m.listed = false; w.register() })
			w.after(lasts+w.drawDuration("back", lasts), func() { m.listed = true; w.register() })
		}
		w.after(lasts, func() {
			if m.current != nil {
				m.current.answerHeldPolls()
			}
		})
	case pausedOwner:
		w.owner.pause(lasts)
	case unregistered:
		m.listed = false
		w.register()
		w.after(lasts, func() { m.listed = true; w.register() })
	case crashes:
		if w.sharedAddressees && !w.rarely("long", 1) {
			lasts /= 32 // so short that possibly nobody notices
		}
		m.crash()
		w.register()
		w.after(lasts+100*time.Millisecond, func() {
			if m.current == nil {
				m.boot()
				w.register()
			}
		})
	case shrinks:
		m.shrank = true
		m.capacity = pointport.Shape{CPUMilli: size.CPUMilli / 2, MemoryMiB: size.MemoryMiB / 2}
		w.register()
		w.after(lasts, func() { m.capacity = size; w.register() })
	case closures:
		for d := time.Duration(0); d < lasts; d += time.Second {
			w.after(d, func() { w.survey(m) })
		}
	case cancels:
		w.cancel(fmt.Sprintf("job%d", w.drawBelow("job", 4)))
	}
}

// cancel has a customer cancel a job.
func (w *simulation) cancel(id string) {
	if w.storeAway > 0 {
		w.after(time.Second, func() { w.cancel(id) }) // until then the customer is refused
		return
	}
	if j := w.store[id]; j != nil {
		j.cancelled = true
	}
	w.owner.handle(func() { w.owner.cancel(id) })
}

// cancelServing cancels the jobs of serving tasks, which would use capacity forever.
func (w *simulation) cancelServing() {
	for id, s := range w.steps {
		if s.Service {
			w.cancel(id)
		}
	}
}

// survey has the steward close an instance, and reports to the scheduler which incarnations are
// known to have ended.
func (w *simulation) survey(m *modelInstance) {
	var over []pointport.IncarnationID
	for _, l := range w.incarnations {
		if l.dead {
			over = append(over, l.id)
		}
	}
	w.owner.handle(func() {
		w.owner.scheduler.Survey(w.now, schedule.SurveyRequest{
			Closures: []schedule.Closure{{Instance: pointport.InstanceID(fmt.Sprintf("m-%d", m.number)), Evacuate: true}},
			Ended:    slices.Clone(over),
		})
	})
}
