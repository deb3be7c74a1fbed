package schedule_test

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file models the store, its outages, and the change from one owner to the next.

const (
	// modelOutage is how long the store is unavailable at most. Its owner goes on meanwhile.
	modelOutage = 5 * time.Second
	// modelTakeover is how long after an owner's end, or the store's return, a successor takes over at
	// least: the lease of the former owner.
	modelTakeover = time.Second
	// modelRegistersAgain is within which time after an outage an instance whose registration has
	// expired meanwhile is registered again.
	modelRegistersAgain = 1900 * time.Millisecond
)

// A modelStoredJob is what the store has of a job.
type modelStoredJob struct {
	spec      *workload.Spec
	submitted time.Time
	cancelled bool // there is a cancellation of which an owner must learn
	progress  []byte
	ended     workload.Status
}

// An eventCounter is a log handler that counts log lines by their message.
type eventCounter map[string]int

// Enabled reports that everything is counted.
func (eventCounter) Enabled(context.Context, slog.Level) bool { return true }

// Handle counts a line.
func (c eventCounter) Handle(_ context.Context, r slog.Record) error {
	c[r.Message]++
	return nil
}

// WithAttrs returns the handler itself.
func (c eventCounter) WithAttrs([]slog.Attr) slog.Handler { return c }

// WithGroup returns the handler itself.
func (c eventCounter) WithGroup(string) slog.Handler { return c }

// newOwner returns an owner that has no jobs yet.
func (w *simulation) newOwner(fence pointport.Fence, predecessorUnrecorded bool) *modelOwner {
	kept := settings
	kept.KeepEnded = time.Hour // so that all jobs are known at the end of a simulation
	kept.PredecessorUnrecorded = predecessorUnrecorded
	return &modelOwner{
		sim: w, fence: fence, scheduler: schedule.NewScheduler(w.now, kept, slog.New(w.seen)), queues: make(map[*schedule.Worker]*modelQueue),
		polls: make(map[*schedule.Worker]*modelPoll), cancelled: make(map[string]bool),
	}
}

// submit stores a job and passes it to the owner. While the store is unavailable the customer tries
// again.
func (w *simulation) submit(id string, spec *workload.Spec) {
	if w.storeAway > 0 {
		w.after(time.Second, func() { w.submit(id, spec) })
		return
	}
	w.store[id] = &modelStoredJob{spec: spec, submitted: w.now}
	j := workload.New(id, "q", policy, spec, w.now)
	w.owner.handle(func() { w.owner.scheduler.Add(w.now, j) })
}

// cancel cancels a job that the owner knows.
func (o *modelOwner) cancel(id string) {
	if o.scheduler.Cancel(o.sim.now, id) {
		o.cancelled[id] = true
	}
}

// drawHandovers draws two outages of the store and the ends of two owners, the first of them during
// the first outage or soon after it.
func (w *simulation) drawHandovers() {
	at, lasts := 500*time.Millisecond+w.drawDuration("outage", activePeriod/2), time.Second+w.drawDuration("outageLasts", modelOutage-time.Second)
	w.after(at, func() { w.outage(lasts) })
	w.after(at+w.drawDuration("crash", lasts+time.Second), w.crashOwner)
	next := at + lasts + w.drawDuration("nextOutage", 2*modelOutage)
	w.after(next, func() { w.outage(w.drawDuration("nextLasts", modelOutage)) })
	if w.rarely("second crash", 1) {
		w.after(at+lasts+modelTakeover+w.drawDuration("nextCrash", 2*modelOutage), w.crashOwner)
	}
}

// outage makes the store unavailable for a while. Registrations may expire meanwhile.
func (w *simulation) outage(lasts time.Duration) {
	w.t.Logf("%v the store is unavailable for %v", w.since(), lasts)
	w.storeAway++
	w.after(lasts, func() {
		w.storeAway--
		w.storeBack = w.now
		for _, m := range w.instances {
			switch {
			case !m.listed:
			case w.rarely("cut off", 2): // from the store, not from the owner
				w.expireRegistration(m, longestFault)
			case w.rarely("expired", 1):
				w.expireRegistration(m, modelRegistersAgain)
			}
		}
		w.register()
	})
}

// expireRegistration removes an instance's registration, which comes back within a time.
func (w *simulation) expireRegistration(m *modelInstance, within time.Duration) {
	m.listed = false
	w.after(w.drawDuration("registersAgain", within), func() { m.listed = true; w.register() })
}

// crashOwner ends the process of the owner, and lets a successor take over later.
func (w *simulation) crashOwner() {
	former := w.owner
	if former.dead {
		return
	}
	former.dead = true
	w.t.Logf("%v the owner with fence %d has ended, starts unrecorded: %t", w.since(), former.fence, former.scheduler.Unrecorded())
	w.after(modelTakeover+w.drawDuration("takeover", time.Second), func() { w.takeOver(former) })
}

// takeOver makes a successor read the store and take over, once the store is available.
func (w *simulation) takeOver(former *modelOwner) {
	if w.storeAway > 0 {
		w.after(100*time.Millisecond, func() { w.takeOver(former) })
		return
	}
	unrecorded := former.scheduler.Unrecorded() || w.rarely("unknown", 2)
	w.t.Logf("%v a successor takes over, holds back: %t", w.since(), unrecorded)
	w.owner = w.newOwner(former.fence+1, unrecorded)
	w.knownDone = make(map[string]bool) // what the former owner has not stored, nobody knows
	for _, id := range slices.Sorted(maps.Keys(w.store)) {
		w.owner.load(id, w.store[id])
	}
	w.register()
	w.owner.planSoon()
}

// load adds a job as it is stored.
func (o *modelOwner) load(id string, stored *modelStoredJob) {
	if stored.ended != "" {
		return
	}
	j := workload.New(id, "q", policy, stored.spec, stored.submitted)
	if stored.progress != nil {
		if err := j.RestoreProgress(stored.progress); err != nil {
			panic(err)
		}
	}
	o.scheduler.Add(o.sim.now, j)
	if stored.cancelled {
		o.cancel(id)
	}
}

// readRegistrations passes on the registrations, and since when they can be read, as package shard
// does before each plan.
func (o *modelOwner) readRegistrations() {
	w := o.sim
	switch {
	case !w.handover:
	case w.storeAway > 0:
		o.scheduler.SetRegistryCoverage(schedule.RegistryCoverage{})
	default:
		o.scheduler.SetIncarnations(w.now, w.registrations())
		o.scheduler.SetRegistryCoverage(schedule.RegistryCoverage{Since: w.storeBack, Until: w.now})
	}
}

// releaseUnrecorded releases the starts that may be sent before they are stored.
func (o *modelOwner) releaseUnrecorded() {
	if o.scheduler.MayReleaseUnrecorded(&o.storing) {
		o.scheduler.ReleaseUnrecorded(&o.storing, o.sim.now)
	}
}
