package schedule_test

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file models the owner of a pool. It drives a scheduler as package shard does, in
// simulated time.

const (
	modelPlanInterval     = 8 * time.Millisecond   // between two plans
	modelIdlePlanInterval = 250 * time.Millisecond // between two plans while nothing happens
	modelWriteInterval    = 25 * time.Millisecond  // between two batches
	modelPollWait         = time.Second
	modelPollRetry        = 150 * time.Millisecond
	modelAckDelay         = 120 * time.Millisecond
	modelMaxInFlight      = 2                  // maximum orders in flight to one worker
	modelFence            = pointport.Fence(7) // of the first owner
	// modelOrderTimeout is how long the owner waits for the answer to an order.
	modelOrderTimeout = 400 * time.Millisecond
)

// A modelOwner models the owner of a pool, which drives a scheduler in its event loop.
type modelOwner struct {
	sim         *simulation
	fence       pointport.Fence
	dead        bool // its process has ended
	scheduler   *schedule.Scheduler
	pausedUntil time.Time // until when its event loop is paused
	inbox       []func()
	lastPlan    time.Time
	nextPlan    time.Time // when the next plan is scheduled
	writing     bool
	storing     schedule.Batch // the batch that is being written
	lastWrite   time.Time
	queues      map[*schedule.Worker]*modelQueue
	polls       map[*schedule.Worker]*modelPoll
	// cancelled holds the jobs that the scheduler knows to be cancelled.
	cancelled map[string]bool
}

// A modelQueue holds the orders to one worker that wait to be sent.
type modelQueue struct {
	queue    []schedule.Order
	inFlight int
}

// A modelPoll is the state of polling one worker.
type modelPoll struct {
	inFlight int
	next     time.Time
}

// handle handles a message, at once or when the event loop goes on.
func (o *modelOwner) handle(f func()) {
	if o.dead {
		return
	}
	if o.sim.now.Before(o.pausedUntil) {
		o.inbox = append(o.inbox, f)
		return
	}
	f()
	o.planSoon()
}

// pause pauses the event loop for a while.
func (o *modelOwner) pause(d time.Duration) {
	until := o.sim.now.Add(d)
	if !until.After(o.pausedUntil) {
		return
	}
	o.pausedUntil = until
	o.sim.t.Logf("%v the owner is paused for %v", o.sim.since(), d)
	o.sim.after(d, func() {
		if o.dead || o.sim.now.Before(o.pausedUntil) {
			return
		}
		o.sim.t.Logf("%v the owner resumes with %d messages", o.sim.since(), len(o.inbox))
		if o.sim.rarely("plansFirst", 1) {
			o.plan()
		}
		all := o.inbox
		o.inbox = nil
		for _, f := range all {
			f()
		}
		o.planSoon()
	})
}

// planSoon schedules the next plan as soon as the minimum interval allows.
func (o *modelOwner) planSoon() {
	at := o.lastPlan.Add(modelPlanInterval)
	if at.Before(o.sim.now) {
		at = o.sim.now
	}
	o.planAt(at)
}

// planAt schedules the next plan, unless an earlier one is scheduled.
func (o *modelOwner) planAt(at time.Time) {
	if !o.nextPlan.IsZero() && !at.Before(o.nextPlan) {
		return
	}
	o.nextPlan = at
	o.sim.after(at.Sub(o.sim.now), func() {
		if o.dead || o.nextPlan != at {
			return // an earlier plan has been scheduled since
		}
		o.nextPlan = time.Time{}
		if !o.sim.now.Before(o.pausedUntil) {
			o.plan()
		}
	})
}

// plan plans, writes what has changed, sends orders and polls.
func (o *modelOwner) plan() {
	now := o.sim.now
	o.nextPlan, o.lastPlan = time.Time{}, now
	o.readRegistrations()
	o.scheduler.SetPeerLeased(o.sim.storeAway > 0)
	o.scheduler.Plan(now)
	o.write()
	o.releaseUnrecorded()
	o.send()
	o.pollAll()
	next := now.Add(modelIdlePlanInterval)
	if o.scheduler.Pending() && !o.writing {
		next = later(now.Add(modelPlanInterval), o.lastWrite.Add(modelWriteInterval))
	}
	for _, l := range o.polls {
		if l.inFlight == 0 && l.next.Before(next) {
			next = later(now.Add(modelPlanInterval), l.next)
		}
	}
	o.planAt(next)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// write stores what has changed, if no write is in progress and the last one is long enough
// ago.
func (o *modelOwner) write() {
	now := o.sim.now
	if o.writing || !o.scheduler.Pending() || now.Sub(o.lastWrite) < modelWriteInterval {
		return
	}
	batch := o.scheduler.TakeBatch(everything)
	o.writing, o.lastWrite, o.storing = true, now, batch
	took := 3 * time.Millisecond
	if o.sim.faultOccurs(slowStore) {
		took += o.sim.drawDuration("store", 500*time.Millisecond)
	}
	o.sim.after(took, func() { o.commit(batch) })
}

// commit stores a batch once the store is available, unless another owner has taken over.
func (o *modelOwner) commit(batch schedule.Batch) {
	if o.sim.storeAway > 0 {
		o.sim.after(modelWriteInterval, func() { o.commit(batch) })
		return
	}
	if o.sim.owner != o {
		return
	}
	for _, r := range batch.Records {
		o.sim.store[r.ID].progress, o.sim.store[r.ID].ended = r.Progress, r.Ended
	}
	o.handle(func() {
		o.writing, o.storing = false, schedule.Batch{}
		o.scheduler.Stored(batch, o.sim.now)
	})
}

// send queues new orders and sends those that are due.
func (o *modelOwner) send() {
	for _, w := range slices.SortedFunc(maps.Keys(o.queues), byID) {
		o.sendQueued(o.queues[w])
	}
	all := o.scheduler.TakeOrders()
	slices.SortStableFunc(all, byTask) // a simulation can be repeated only if the order is deterministic
	for _, order := range all {
		l := o.queues[order.Worker]
		if l == nil {
			l = &modelQueue{}
			o.queues[order.Worker] = l
		}
		l.queue = append(l.queue, order)
		o.sendQueued(l)
	}
}

// sendQueued sends queued orders up to the limit in flight. Starts wait while an
// acknowledgement is in flight.
func (o *modelOwner) sendQueued(l *modelQueue) {
	for len(l.queue) > 0 && l.inFlight < modelMaxInFlight {
		n := 0
		if l.queue[0].Worker.AckInFlight(o.sim.now) {
			n = slices.IndexFunc(l.queue, func(o schedule.Order) bool { return o.Kind != schedule.OrderStart })
		}
		if n < 0 {
			return // continues with the next plan
		}
		order := l.queue[n]
		l.queue = slices.Delete(l.queue, n, n+1)
		if !o.scheduler.SkipStart(o.sim.now, order) {
			o.sendOne(l, order)
		}
	}
}

// sendOne sends an order and handles its answer.
func (o *modelOwner) sendOne(l *modelQueue, order schedule.Order) {
	w := o.sim
	l.inFlight++
	o.scheduler.MarkSending(order)
	until := order.Worker.ExtendLease(w.now, settings.Lease)
	w.checkSending(order)
	handleAnswer := func(clock pointport.InstanceTime, err error) {
		w.t.Logf("%v handled: %s of %v at %s: %v", w.since(), kindName(order.Kind), order.TaskRun, order.Worker.Endpoint().Incarnation, err)
		l.inFlight--
		o.scheduler.OrderAnswered(order, w.now, clock, err)
		o.sendQueued(l)
	}
	w.call(kindName(order.Kind), order.TaskRun, order.Worker.Endpoint(), modelOrderTimeout, func(at *modelIncarnation, answer func(any, error)) {
		switch order.Kind {
		case schedule.OrderStart:
			err := at.start(pointport.StartOrder{TaskRun: order.TaskRun, Fence: o.fence, LeaseUntil: millis(until)})
			answer(millis(at.clock(w.now)), err)
		case schedule.OrderStop:
			err := at.stop(pointport.StopOrder{TaskRun: order.TaskRun, Fence: o.fence})
			answer(millis(at.clock(w.now)), err)
		default:
			answer(pointport.InstanceTime(0), at.admit(o.fence, 0))
		}
	}, func(a any, err error) {
		clock, _ := a.(pointport.InstanceTime)
		if err != nil {
			clock = 0
		}
		o.handle(func() { handleAnswer(clock, err) })
	})
}

// millis returns a clock reading as it is encoded in messages, in whole milliseconds.
func millis(c pointport.InstanceTime) pointport.InstanceTime {
	return pointport.InstanceTime(time.Duration(c).Truncate(time.Millisecond))
}

// kindName returns the name of a kind of order.
func kindName(k schedule.OrderKind) string {
	return [...]string{"start", "stop", "pace"}[k]
}

// pollAll polls every worker without a poll in flight that is due, and at once those from
// which a report is wanted.
func (o *modelOwner) pollAll() {
	now := o.sim.now
	urgent := o.scheduler.TakePolls()
	slices.SortFunc(urgent, byID)
	for _, w := range urgent {
		o.poll(w, 0)
	}
	seen := make(map[*schedule.Worker]bool)
	for _, w := range o.scheduler.Workers() {
		seen[w] = true
		if l := o.pollOf(w); l.inFlight == 0 && !now.Before(l.next) {
			o.poll(w, modelPollWait)
		}
	}
	for w, l := range o.polls {
		if !seen[w] && l.inFlight == 0 {
			delete(o.polls, w)
		}
	}
}

// byTask compares orders by worker, task, run and kind.
func byTask(a, b schedule.Order) int {
	return cmp.Or(byID(a.Worker, b.Worker), strings.Compare(a.TaskRun.Task, b.TaskRun.Task), a.TaskRun.Run-b.TaskRun.Run, int(a.Kind)-int(b.Kind))
}

// byID compares workers by incarnation ID.
func byID(a, b *schedule.Worker) int {
	return strings.Compare(string(a.Incarnation().ID()), string(b.Incarnation().ID()))
}

// pollOf returns the state of polling a worker.
func (o *modelOwner) pollOf(w *schedule.Worker) *modelPoll {
	l := o.polls[w]
	if l == nil {
		l = &modelPoll{}
		o.polls[w] = l
	}
	return l
}

// poll polls a worker, which may delay its answer by wait until a run ends.
func (o *modelOwner) poll(w *schedule.Worker, wait time.Duration) {
	sim, sent, l := o.sim, o.sim.now, o.pollOf(w)
	l.inFlight++
	if !w.HasAnswered() || w.Silent() {
		wait = 0
	}
	plan := w.NextPoll()
	if !plan.MayWait {
		wait = 0
	}
	order := pointport.PollOrder{Fence: o.fence, LeaseUntil: millis(w.ExtendLease(sent, settings.Lease)), Acknowledged: plan.Acknowledged, Wait: wait}
	sim.call("poll", pointport.TaskRun{}, w.Endpoint(), modelOrderTimeout+wait, func(at *modelIncarnation, answer func(any, error)) {
		at.hold(w.Endpoint().Incarnation, order, func(r pointport.Report, err error) {
			r.Clock = millis(r.Clock)
			answer(r, err)
		})
	}, func(a any, err error) {
		report, _ := a.(pointport.Report)
		o.handle(func() {
			l.inFlight--
			if err != nil {
				sim.t.Logf("%v handled: poll of %s sent at %v: %v", sim.since(), w.Endpoint().Incarnation, sent.Sub(start), err)
				w.PollDone(plan, sim.now, false)
				o.scheduler.PollFailed(w, sim.now, err)
				l.next = sim.now.Add(modelPollRetry)
				return
			}
			sim.t.Logf("%v handled: poll of %s sent at %v: %v, ended %v", sim.since(), w.Endpoint().Incarnation, sent.Sub(start), names(report.Running), report.Ended)
			o.scheduler.Report(w, sent, sim.now, report)
			sim.noteEnds(report.Ended)
			switch {
			case w.PollDone(plan, sim.now, true):
				l.next = sim.now
			case len(report.Ended) > 0:
				l.next = sim.now.Add(modelAckDelay)
			}
		})
	})
}

// names returns the runs that are listed as running.
func names(running []pointport.RunningTask) []pointport.TaskRun {
	var out []pointport.TaskRun
	for _, r := range running {
		out = append(out, r.TaskRun)
	}
	return out
}

// errModel is the cause of the error of an order without an answer.
var errModel = errors.New("no answer")
