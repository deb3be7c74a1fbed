package schedule

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines what is believed of an incarnation that is over, and of the tasks
// that had runs there.
//
// An instance that crashes lists no ends, so that a run may have crashed it shows only by
// its having been there. Each crash is counted against every task that had a run on the
// instance and is stored with the job's progress, in the record that names the next
// start; so no owner starts a task without the crashes that its predecessors have seen.

// A parting says why an incarnation is over.
type parting string

const (
	// partingCrashed: nobody had announced or ordered it.
	partingCrashed parting = "crashed"
	// partingLeft: it had announced that it leaves, or its registration was gone
	// while it still answered.
	partingLeft parting = "left"
	// partingOrdered: it was empty and closed for a move or for maintenance.
	partingOrdered parting = "ordered"
)

// parting returns why the incarnation is over, judged at the moment at which that is
// learned. An instance is moved or maintained only while nothing runs there, so one
// that has runs has not ended by our order.
func (w *Worker) parting(now time.Time) parting {
	switch {
	case w.inc.Draining(), w.answeredUnlisted:
		return partingLeft
	case len(w.runs) == 0 && (w.closed(now) || w.movedOrMaintained):
		return partingOrdered
	}
	return partingCrashed
}

// EndIncarnation takes in proof that an incarnation is over.
func (b *Scheduler) EndIncarnation(now time.Time, id pointport.IncarnationID) {
	if w := b.workers[id]; w != nil && !w.ended {
		b.endKnown(w, now, "the platform says so")
	}
}

// endKnown takes in that an incarnation is surely over, unless what was ordered to it may be on
// a life that nobody has heard of yet.
func (b *Scheduler) endKnown(w *Worker, now time.Time, why string) {
	later := b.presentLife(w)
	if later == nil && w.anyUncertain() {
		return
	}
	b.workerEnded(w, now, why, later)
}

// orderedAway takes in that an order about the machine of an incarnation was carried out, so
// that its end is no crash. Its registration goes only after some heartbeats have been missed,
// and the list of machines is behind as well: until one of them tells, it would be looked at in
// vain and count as silent, and then as crashed, so that the instance is avoided when it comes
// back.
func (b *Scheduler) orderedAway(now time.Time, end OrderedEnd) {
	w := b.workers[end.Incarnation]
	if w == nil || w.ended {
		return
	}
	w.movedOrMaintained = true
	if end.Sure && len(w.runs) == 0 {
		b.endKnown(w, now, "its machine was moved")
	}
}

// shownOver takes in that whoever reads the list of machines saw an incarnation silent and
// its life gone. If it has answered since, also that it is not well, its own word counts.
func (b *Scheduler) shownOver(now time.Time, id pointport.IncarnationID) {
	w := b.workers[id]
	if w != nil && !w.ended && w.lease.clockKnown() && (!w.silent || w.pollRefused) {
		event.IncarnationLives.Log(b.logger, slog.String("incarnation", string(id)), slog.Int("runs", len(w.runs)), slog.Duration("sinceHeard", w.lease.sinceLastAnswer(now)))
		return
	}
	b.EndIncarnation(now, id)
}

// endEarlierIncarnations takes in that a worker has answered a look that was sent at sent. A machine
// has one life at a time, so its lives that were there before are over: those that the owner
// had known, and not heard of, since then. With this their tasks wait for no list of machines
// nor for their time to pass.
func (b *Scheduler) endEarlierIncarnations(w *Worker, sent, now time.Time) {
	id := w.inc.Instance()
	for _, former := range b.formers(w) {
		if former == w || former.ended || b.workers[former.inc.ID()] != former || !former.lastKnown().Before(sent) {
			continue
		}
		switch {
		case former.sharesWith(w):
			b.workerEnded(former, now, "a later life of its addressee answers", w)
		case id != "" && former.inc.Instance() == id:
			b.workerEnded(former, now, "a later life of its instance answers", nil)
		}
	}
}

// formers returns the workers among which those are that a worker has followed: any when it is
// first heard, and later those that are not registered.
func (b *Scheduler) formers(w *Worker) []*Worker {
	if w.lease.clockKnown() {
		return b.unlisted
	}
	return slices.Collect(maps.Values(b.workers))
}

// lastKnown returns when the owner last had a sign of the incarnation: an answer, or that it
// was there.
func (w *Worker) lastKnown() time.Time {
	if w.lease.heard.After(w.since) {
		return w.lease.heard
	}
	return w.since
}

// workerEnded takes in that an incarnation is over; what ran there has died, but for what may be
// on the later life of its addressee, nil if none is known.
func (b *Scheduler) workerEnded(w *Worker, now time.Time, why string, later *Worker) {
	cause, there := w.parting(now), w.begunRuns()
	if later != nil {
		b.follow(now, w, later, cause)
	}
	died := w.begunRuns()
	for _, r := range died {
		r.uncertainty = nil // the end of this life counts, and once
	}
	event.WorkerEnded.Log(b.logger, slog.String("incarnation", string(w.inc.ID())),
		slog.Int("runs", len(w.runs)), slog.String("cause", string(cause)), slog.String("reason", why), slog.Duration("sinceHeard", w.lease.sinceLastAnswer(now)))
	w.ended, w.endedAt = true, now
	b.noteForeign(w)
	b.dropAll(w, now, "its incarnation is over")
	if cause == partingCrashed {
		b.noteCrashOf(w, now)
		b.countCrashes(now, w.expiredRuns, w.expiredRuns, nil)
		b.countCrashes(now, died, there, w)
		return
	}
	for _, r := range died {
		b.tellLost(now, r, cause, len(died)-1)
	}
}

// noteAnswerAfterEnd takes in that an incarnation answers that counts as over, and says so once.
func (b *Scheduler) noteAnswerAfterEnd(w *Worker, now time.Time) {
	if w.answeredOver {
		return
	}
	w.answeredOver = true
	event.WorkerBack.Log(b.logger, slog.String("incarnation", string(w.inc.ID())), slog.Duration("since", now.Sub(w.endedAt)))
}

// begunRuns returns the runs that may have begun on the worker: those that were ordered,
// or found in the store.
func (w *Worker) begunRuns() []*Run {
	var out []*Run
	for _, r := range w.runs {
		if r.mayHaveBegun() {
			out = append(out, r)
		}
	}
	return out
}

// MarkSending takes in that an order is sent now.
func (b *Scheduler) MarkSending(o Order) {
	if o.Kind == OrderStart {
		o.Run.startSent = true
	}
}

// countCrashes counts the crash of an instance against the tasks of runs that died there, beside
// others that were there or may have been. At is nil if it is not known what else was.
func (b *Scheduler) countCrashes(now time.Time, died, there []*Run, at *Worker) {
	for _, r := range died {
		b.countCrash(now, r, crashCase(there, r, at), len(there)-1)
	}
}

// crashCase returns what the crash of an instance counts as against the task of one of the runs
// there. At is nil if it is not known what else was there.
func crashCase(there []*Run, r *Run, at *Worker) workload.CrashCase {
	switch {
	case at != nil && at.strays == 0 && len(at.startsToRuleOut) == 0 && allOfGang(there, r):
		return workload.CrashAlone
	case r.justStarted():
		return workload.CrashAtStart
	}
	return workload.CrashShared
}

// justStarted reports whether a run was not known to run for long when its instance last
// answered, to this owner or to one before it.
func (r *Run) justStarted() bool {
	t := r.task()
	return r.lived() < quarantineFor && (t == nil || t.Settled != r.number)
}

// justStarted returns the runs of which that is so.
func justStarted(runs []*Run) []*Run {
	var out []*Run
	for _, r := range runs {
		if r.justStarted() {
			out = append(out, r)
		}
	}
	return out
}

// lived returns for how long a run was known to run while its instance still answered.
func (r *Run) lived() time.Duration {
	if r.liveAt.IsZero() {
		return 0
	}
	return r.worker.lease.heard.Sub(r.liveAt)
}

// allOfGang reports whether runs are all of one run's gang, or that run alone.
func allOfGang(runs []*Run, r *Run) bool {
	for _, o := range runs {
		if o != r && (!r.step().Gang || o.stepRef() != r.stepRef()) {
			return false
		}
	}
	return true
}

// countCrash counts the crash of an instance against a task that had a run there, beside
// so many others.
func (b *Scheduler) countCrash(now time.Time, r *Run, how workload.CrashCase, beside int) {
	e, t := r.entry, r.task()
	if t == nil || t.Phase == workload.Done || e.ended != "" || e.job.Stopping() {
		b.tellLost(now, r, partingCrashed, beside)
		return
	}
	seen := e.crashesOf(r.ref)
	if how == workload.CrashAlone && seen.on[r.worker.inc.Instance()] {
		how = workload.CrashAtStart // it may be the instance's own doing
	}
	seen.note(now, r.worker.inc.Instance())
	b.markDirty(e, true)
	verdict := e.job.Crash(r.ref, how)
	b.tellLost(now, r, partingCrashed, beside)
	if verdict == workload.CrashRetried {
		return
	}
	event.TaskGivenUp.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.Int("crashes", t.Crashes), slog.Bool("alone", how == workload.CrashAlone), slog.Bool("jobFails", verdict == workload.CrashFailed))
	if verdict == workload.CrashFailed {
		b.stopAll(now, e, "instances have crashed under another task of its job")
	}
	b.endJobIfDone(now, e)
}

// tellLost logs that a run has died with its instance, beside so many others.
func (b *Scheduler) tellLost(now time.Time, r *Run, cause parting, beside int) {
	crashes := 0
	if t := r.task(); t != nil {
		crashes = t.Crashes
	}
	event.RunLost.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.String("cause", string(cause)),
		slog.Duration("sinceSeen", r.sinceSeen(now)), slog.Int("beside", beside), slog.Int("crashes", crashes))
}

// sinceSeen returns for how long a run was known to run, zero if it never was.
func (r *Run) sinceSeen(now time.Time) time.Duration {
	if r.liveAt.IsZero() {
		return 0
	}
	return now.Sub(r.liveAt)
}

// crashes is what an owner has seen of the crashes under a task.
type crashes struct {
	last time.Time
	// on holds the instances that have crashed. What happens twice on one of them and
	// nowhere else is likely its own fault.
	on map[pointport.InstanceID]bool
}

func (c *crashes) note(now time.Time, on pointport.InstanceID) {
	c.last = now
	if on == "" {
		return // its registration was never seen
	}
	if c.on == nil {
		c.on = make(map[pointport.InstanceID]bool)
	}
	c.on[on] = true
}

func (e *entry) crashesOf(ref workload.TaskRef) *crashes {
	if e.crashed == nil {
		e.crashed = make(map[workload.TaskRef]*crashes)
	}
	if e.crashed[ref] == nil {
		e.crashed[ref] = &crashes{}
	}
	return e.crashed[ref]
}

// noteCrashOf counts a crash against the instance as a failed run would be, so that one
// that crashes under whatever it is given is avoided in its next life.
func (b *Scheduler) noteCrashOf(w *Worker, now time.Time) {
	if w.health.failed(now) {
		event.SuspectWorker.Log(b.logger, slog.String("incarnation", string(w.inc.ID())),
			slog.Int("failures", w.health.failures), slog.Duration("avoidedFor", w.health.avoidFor))
	}
	if id := w.inc.Instance(); id != "" {
		b.crashedHealth[id] = w.health
	}
}

// restoreHealth gives the next life of an instance that has crashed the health of its last.
func (b *Scheduler) restoreHealth(w *Worker, id pointport.InstanceID) {
	if h, ok := b.crashedHealth[id]; ok {
		w.health = h
		delete(b.crashedHealth, id)
	}
}

// mayAbandon reports whether a task may be given to another instance although it is not
// known what became of its present run. Where an instance may have crashed under it
// before, its next start waits until that is known: else a task that crashes instances
// would crash one each half second before the first is found to be over.
func (e *entry) mayAbandon(ref workload.TaskRef) bool {
	return e.job.Task(ref).Crashes == 0 && e.abandoned[ref] == 0
}

func (e *entry) noteAbandoned(r *Run) {
	if e.abandoned == nil {
		e.abandoned = make(map[workload.TaskRef]int)
	}
	r.abandoned = true
	e.abandoned[r.ref]++
}
