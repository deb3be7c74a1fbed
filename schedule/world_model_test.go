package schedule_test

import (
	"container/heap"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file models the world between an owner and instances in simulated time: what
// becomes of orders and answers, what goes wrong, and what must never happen.

// A trouble is a kind of thing that may go wrong in a series.
type trouble int

const (
	lateOrders     trouble = iota // carried out up to seconds after their caller gave up
	lateAnswers                   // on their way for longer than their caller waits, or nearly
	lateHandling                  // taken in up to seconds after they came
	lostAnswers                   // never come
	unsent                        // orders find no connection, so their caller knows that they were not sent
	patience                      // the caller waits longer, because its process stood still
	slowStore                     // batches take up to half a second
	unwell                        // instances refuse what they are told to start or stop
	pausedInstance                // an instance stands still, then handles all orders at once
	pausedOwner                   // the owner's loop stands still
	unregistered                  // registrations go while the instance lives, and come back
	crashes                       // instances crash and come back as another life
	shrinks                       // instances hold less, and more again
	closures                      // instances are closed to new tasks for a while
	cancels                       // customers cancel jobs
	troubles
)

func (k trouble) String() string {
	return [...]string{
		"late orders", "late answers", "late handling", "lost answers", "unsent", "patience", "slow store", "unwell", "paused instance",
		"paused owner", "unregistered", "crashes", "shrinks", "closures", "cancels",
	}[k]
}

// A world is simulated time and all that happens in it.
type world struct {
	t         *rapid.T
	now       time.Time
	events    eventHeap
	instances []*modelInstance
	lives     []*modelLife
	owner     *modelOwner
	works     map[string]modelWork // by task
	steps     map[string]workload.Step
	often     [troubles]int // 0 for never, else one in 2^n
	started   map[string][]time.Time
	done      map[string]time.Time // when tasks ended of which an end as done was acknowledged
	heard     map[string]bool      // the tasks of which the owner has taken in an end as done
	number    int
	wrong     string
	// sharing says that instances may come back under the addressee that they had.
	sharing bool
}

// An event is something that happens at a time; events of one time happen in turn.
type event struct {
	at     time.Time
	number int
	do     func()
}

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

func (w *world) since() time.Duration { return w.now.Sub(start) }

// after lets something happen.
func (w *world) after(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, event{w.now.Add(d), w.number, do})
}

// run lets happen what happens until a time, or until something is wrong.
func (w *world) run(until time.Time) {
	for len(w.events) > 0 && w.wrong == "" && !w.events[0].at.After(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf("%v: ", w.since()) + fmt.Sprintf(format, args...)
	}
}

// seldom draws true once in 2^n times.
func (w *world) seldom(label string, n int) bool {
	for range n {
		if !rapid.Bool().Draw(w.t, label) {
			return false
		}
	}
	return true
}

// troubled draws whether a trouble strikes.
func (w *world) troubled(k trouble) bool {
	return w.often[k] > 0 && w.seldom("strikes", w.often[k])
}

// upTo draws a time. Each part of the span is as likely as the others; rapid's ranges
// prefer what is near their beginning.
func (w *world) upTo(label string, most time.Duration) time.Duration {
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

// oneOf draws a number below n, a power of two, each as likely as the others.
func (w *world) oneOf(label string, n int) int {
	k := 0
	for ; n > 1; n /= 2 {
		k *= 2
		if rapid.Bool().Draw(w.t, label) {
			k++
		}
	}
	return k
}

// rate draws how fast a clock runs.
func (w *world) rate() float64 { return 1 - float64(rapid.IntRange(0, 20).Draw(w.t, "slow"))/1000 }

// call carries an order to an instance and its answer back, or what stands for it.
func (w *world) call(op string, run pointport.TaskRun, to pointport.Endpoint, patient time.Duration, carryOut func(*modelLife, func(any, error)), taken func(any, error)) {
	onItsWay := patient // at most, until it reaches whoever is there
	out, back, handled := time.Millisecond, time.Millisecond, time.Duration(0)
	if w.troubled(lateOrders) {
		out += w.upTo("out", latest)
	}
	if w.troubled(lateAnswers) {
		back += w.upTo("back", time.Second)
	}
	if w.troubled(lateHandling) {
		handled = w.upTo("handled", 4*time.Second)
	}
	if w.troubled(patience) {
		patient += w.upTo("patient", 3*time.Second)
	}
	lost := w.troubled(lostAnswers)
	answered := false
	deliver := func(a any, err error) {
		if answered {
			return
		}
		answered = true
		w.after(handled, func() { taken(a, err) })
	}
	w.t.Logf("%v sent: %s %v to %s, there in %v, back in %v (lost: %v), handled after %v", w.since(), op, run, to.Incarnation, out, back, lost, handled)
	if w.troubled(unsent) {
		w.after(out, func() { deliver(nil, &pointport.UnavailableError{Op: op, Err: errModel}) })
		return
	}
	w.after(patient, func() {
		deliver(nil, &pointport.UnavailableError{Op: op, Ambiguous: true, Err: errModel})
	})
	w.after(min(out, onItsWay), func() {
		// It has reached whoever is there, or no one: its caller takes it back then. What holds it
		// back longer is the life that it has reached, and ends with that.
		taker := w.instanceAt(to.Address).life
		w.after(max(0, out-onItsWay), func() {
			if w.sharing && (taker == nil || taker.over) {
				return // the life that is there by then may have the same addressee
			}
			w.arrive(op, run, to, carryOut, func(a any, err error) {
				if !lost {
					w.after(back, func() { deliver(a, err) })
				}
			})
		})
	})
}

// arrive has an order carried out by whoever is at its address.
func (w *world) arrive(op string, run pointport.TaskRun, to pointport.Endpoint, carryOut func(*modelLife, func(any, error)), answer func(any, error)) {
	at := w.instanceAt(to.Address)
	switch {
	case at.life == nil:
		return // nobody answers
	case at.life.id.Addressee() != to.Incarnation.Addressee():
		answer(nil, &pointport.GoneError{Incarnation: to.Incarnation})
		return
	case w.now.Before(at.blocked):
		w.after(at.blocked.Sub(w.now), func() { w.arrive(op, run, to, carryOut, answer) })
		return
	}
	at.life.advance()
	carryOut(at.life, func(a any, err error) {
		w.t.Logf("%v %s answers %s %v: %v", w.since(), to.Incarnation, op, run, err)
		answer(a, err)
	})
	if at.life != nil {
		at.life.poke()
	}
}

func (w *world) instanceAt(address string) *modelInstance {
	for _, m := range w.instances {
		if m.address() == address {
			return m
		}
	}
	panic("no instance at " + address)
}

// register tells the owner which instances are listed, some time later.
func (w *world) register() {
	w.after(w.upTo("registered", 300*time.Millisecond), func() {
		w.owner.do(func() {
			var all []pointport.Incarnation
			for _, m := range w.instances {
				if m.life != nil && m.listed {
					all = append(all, m.registration())
				}
			}
			w.owner.book.SetIncarnations(w.now, all)
		})
	})
}

// workOf returns what a task does.
func (w *world) workOf(task string) modelWork {
	if k, ok := w.works[task]; ok {
		return k
	}
	id, _, err := workload.ParseTaskName(task)
	if err != nil {
		panic(err)
	}
	step := w.steps[id]
	k := modelWork{step: &step, takes: step.Estimate + w.upTo("takes", time.Second), fails: w.seldom("fails", 4)}
	w.works[task] = k
	return k
}

// checkSending notes whether an order is sent that must not be.
func (w *world) checkSending(o schedule.Order) {
	if o.Kind != schedule.OrderStart {
		return
	}
	if w.heard[o.TaskRun.Task] {
		w.fail("%v is sent to %s although its owner knows that it is done", o.TaskRun, o.Worker.Endpoint().Incarnation)
	}
	id, _, _ := workload.ParseTaskName(o.TaskRun.Task)
	if w.owner.cancelled[id] {
		w.fail("%v is sent to %s although its job is cancelled", o.TaskRun, o.Worker.Endpoint().Incarnation)
	}
}

// checkStart notes whether a run begins that must not.
func (w *world) checkStart(r *modelRun) {
	w.t.Logf("%v %s starts %v", w.since(), r.at.id, r.TaskRun)
	if r.work.step.Copies {
		return
	}
	if at, ok := w.done[r.Task]; ok {
		w.fail("%v starts on %s although its task was done at %v", r.TaskRun, r.at.id, at.Sub(start))
	}
	w.started[r.Task] = append(w.started[r.Task], w.now)
	for _, l := range w.lives {
		if l.over || l == r.at {
			continue
		}
		l.advance()
		if other := l.runs[r.Task]; other != nil {
			w.fail("%v runs on %s and %v on %s at once", other.TaskRun, l.id, r.TaskRun, r.at.id)
		}
	}
}

// hear notes the ends that the owner has taken in.
func (w *world) hear(ends []pointport.TaskEnd) {
	for _, e := range ends {
		if e.Kind == pointport.EndDone {
			w.heard[e.Task] = true
		}
	}
}

// checkFull notes that a start finds no room, which an owner knows before it sends one,
// unless the instance holds less than it did.
func (w *world) checkFull(l *modelLife, run pointport.TaskRun) {
	if !l.at.shrank {
		w.fail("%v is started on %s, which has no room for it", run, l.id)
	}
}

// noteAcknowledged notes that an instance may forget an end. An end as done stands, unless
// nothing extended what ran there for a moment since.
func (w *world) noteAcknowledged(l *modelLife, e pointport.TaskEnd) {
	at := l.endedAt[e.Number]
	if e.Kind != pointport.EndDone || w.workOf(e.Task).step.Copies || l.lapsed.After(at) {
		return
	}
	w.done[e.Task] = at
	for _, began := range w.started[e.Task] {
		if began.After(at) {
			w.fail("a run of %s began at %v although it was done at %v, which %s is told is taken note of", e.Task, began.Sub(start), at.Sub(start), l.id)
		}
	}
}

// mates returns the other runs of a run's gang, wherever they are.
func (w *world) mates(r *modelRun) []*modelRun {
	if !r.work.step.Gang {
		return nil
	}
	var out []*modelRun
	for _, l := range w.lives {
		if l.over {
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

func stepName(task string) string {
	id, ref, _ := workload.ParseTaskName(task)
	return fmt.Sprint(id, ref.Occurrence, ref.Step)
}

// gather lets a gang work once all of it is there.
func (w *world) gather(r *modelRun) {
	if !r.work.step.Gang {
		return
	}
	r.began = time.Time{}
	mates := w.mates(r)
	if len(mates)+1 < r.work.step.Count {
		return
	}
	for _, m := range append(mates, r) {
		m.began = w.now
	}
}

// breakGang ends the other members of a gang of which one has ended.
func (w *world) breakGang(r *modelRun) {
	for _, m := range w.mates(r) {
		m.at.end(m, w.now, pointport.EndGangBroken)
	}
}

const (
	// span is for how long jobs come and troubles begin.
	span = 12 * time.Second
	// calm is when the last trouble is over: one that begins at the end of the span and lasts
	// longest, a registration that comes back as long after it, and orders that are late.
	calm = span + 2*longest + latest + time.Second
	// longest is how long a trouble lasts at most, latest how late an order is.
	longest = 8 * time.Second
	latest  = 9 * time.Second
)

// newWorld draws a world in which one trouble strikes often, and others may.
func newWorld(t *rapid.T, surely trouble, sharing bool) *world {
	w := &world{
		sharing: sharing,
		t:       t, now: start, works: make(map[string]modelWork), steps: make(map[string]workload.Step),
		started: make(map[string][]time.Time), done: make(map[string]time.Time), heard: make(map[string]bool),
	}
	for range surely {
		rapid.Bool().Draw(t, "other") // so that the series differ from those of other troubles
	}
	for k := range w.often {
		w.often[k] = max(0, rapid.IntRange(-3, 5).Draw(t, "often"))
	}
	w.often[surely] = rapid.IntRange(1, 4).Draw(t, "surely")
	kept := settings
	kept.KeepEnded = time.Hour // so that the end of a series knows of all jobs
	w.owner = &modelOwner{
		world: w, book: schedule.NewScheduler(start, kept, slog.New(slog.DiscardHandler)), lanes: make(map[*schedule.Worker]*modelQueue),
		looking: make(map[*schedule.Worker]*modelLook), cancelled: make(map[string]bool),
	}
	for n := range 2 + w.oneOf("instances", 2) {
		m := &modelInstance{world: w, number: n, room: size, listed: true}
		w.instances = append(w.instances, m)
		m.boot()
	}
	w.register()
	w.drawJobs()
	for n := range 1 + w.oneOf("troubles", 8) {
		k := unwell + trouble(w.oneOf("kind", 8))
		if n < 2 && surely >= unwell {
			k = surely
		}
		at, m, lasts := w.upTo("at", span), w.instances[w.oneOf("instance", 4)%len(w.instances)], w.upTo("lasts", longest)
		w.after(at, func() { w.strike(k, m, lasts) })
	}
	w.after(span, func() { w.often = [troubles]int{} })
	w.after(calm, w.cancelServing)
	w.owner.turnSoon()
	return w
}

// drawJobs draws what customers submit.
func (w *world) drawJobs() {
	for n := range 1 + w.oneOf("jobs", 4) {
		s := step(1+w.oneOf("count", 4), int64(500*(1+w.oneOf("cpu", 4))), func(s *workload.Step) {
			s.Estimate = 100*time.Millisecond + w.upTo("estimate", 5*time.Second)
			switch w.oneOf("sort", 8) {
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
		w.after(w.upTo("submitted", span), func() {
			j := workload.New(id, "q", policy, &workload.Spec{Steps: []workload.Step{s}}, w.now)
			w.owner.do(func() { w.owner.book.Add(w.now, j) })
		})
	}
}

// open returns a job that has not ended, empty if all have.
func (w *world) open() string {
	for id := range w.steps {
		if status, _ := w.owner.book.Status(id); !status.Ended() {
			return id
		}
	}
	return ""
}

// end lets a series go on until all jobs have ended, and notes one that has not although
// nothing has hindered it for so long.
func (w *world) end(within time.Duration) {
	for after := time.Duration(0); w.open() != "" && w.wrong == ""; after += time.Second {
		if after > within {
			w.fail("job %s has not ended, %v after the last trouble", w.open(), within)
		}
		w.run(start.Add(calm + after))
	}
}

// strike lets a trouble begin, and end after a while.
func (w *world) strike(k trouble, m *modelInstance, lasts time.Duration) {
	w.t.Logf("%v %v at instance %d for %v", w.since(), k, m.number, lasts)
	switch k {
	case unwell:
		m.unwell, m.mute = true, w.seldom("mute", 1)
		w.after(lasts, func() { m.unwell = false })
	case pausedInstance:
		m.blocked = later(m.blocked, w.now.Add(lasts))
		if w.seldom("lapses", 1) { // nothing renews its registration
			w.after(w.upTo("lapse", lasts), func() { m.listed = false; w.register() })
			w.after(lasts+w.upTo("back", lasts), func() { m.listed = true; w.register() })
		}
		w.after(lasts, func() {
			if m.life != nil {
				m.life.poke()
			}
		})
	case pausedOwner:
		w.owner.pause(lasts)
	case unregistered:
		m.listed = false
		w.register()
		w.after(lasts, func() { m.listed = true; w.register() })
	case crashes:
		if w.sharing && !w.seldom("long", 1) {
			lasts /= 32 // nobody need notice
		}
		m.crash()
		w.register()
		w.after(lasts+100*time.Millisecond, func() {
			if m.life == nil {
				m.boot()
				w.register()
			}
		})
	case shrinks:
		m.shrank = true
		m.room = pointport.Shape{CPUMilli: size.CPUMilli / 2, MemoryMiB: size.MemoryMiB / 2}
		w.register()
		w.after(lasts, func() { m.room = size; w.register() })
	case closures:
		for d := time.Duration(0); d < lasts; d += time.Second {
			w.after(d, func() { w.survey(m) })
		}
	case cancels:
		w.cancel(fmt.Sprintf("job%d", w.oneOf("job", 4)))
	}
}

// cancel has a customer cancel a job.
func (w *world) cancel(id string) {
	w.owner.do(func() {
		if w.owner.book.Cancel(w.now, id) {
			w.owner.cancelled[id] = true
		}
	})
}

// cancelServing has customers cancel the jobs that would hold room for ever.
func (w *world) cancelServing() {
	for id, s := range w.steps {
		if s.Service {
			w.cancel(id)
		}
	}
}

// survey has the steward close an instance, and tell which lives are known to be over.
func (w *world) survey(m *modelInstance) {
	var over []pointport.IncarnationID
	for _, l := range w.lives {
		if l.over {
			over = append(over, l.id)
		}
	}
	w.owner.do(func() {
		w.owner.book.Survey(w.now, schedule.SurveyRequest{
			Closures: []schedule.Closure{{Instance: pointport.InstanceID(fmt.Sprintf("m-%d", m.number)), Evacuate: true}},
			Over:     slices.Clone(over),
		})
	})
}
