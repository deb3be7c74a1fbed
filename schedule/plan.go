package schedule

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines the plan: which waiting task goes where.

// Plan decides what to do at now.
func (b *Scheduler) Plan(now time.Time) {
	b.sweep(now)
	b.ruleOut(now)
	b.repeatOrders(now)
	b.begin(now)
	b.relocate(now)
	b.expireGangs(now)
	b.forgetHeldBack()
	if len(b.waitingJobs) == 0 {
		return
	}
	workers := b.usable(now)
	queue := b.queue(now)
	if len(workers) == 0 {
		for _, e := range queue {
			b.tellWait(now, e.ready[0])
		}
		return
	}
	p := placement{book: b, now: now, workers: workers}
	b.scarce = scarceLabels(queue)
	b.inTurn(b.sharesOf(workers, queue), queue, func(e *entry) bool {
		if b.decidedFull() {
			return false
		}
		p.placeAll(e)
		return true
	})
}

// scarceLabels returns the labels that waiting tasks require.
func scarceLabels(queue []*entry) map[string]bool {
	var out map[string]bool
	for _, e := range queue {
		for _, t := range e.ready {
			if t.step.Label == "" {
				continue
			}
			if out == nil {
				out = make(map[string]bool)
			}
			out[t.step.Label] = true
		}
	}
	return out
}

// begin starts the occurrences that are due.
func (b *Scheduler) begin(now time.Time) {
	for e := range b.recurring {
		if e.ended == "" && e.job.BeginDue(now.Add(b.settings.Early)) {
			b.markDirty(e, false)
		}
	}
}

// NextDue returns when the next occurrence of any job is due; false if there is
// none.
func (b *Scheduler) NextDue() (time.Time, bool) {
	var next time.Time
	found := false
	for e := range b.recurring {
		if due, ok := e.job.NextDue(); ok && (!found || due.Before(next)) {
			next, found = due, true
		}
	}
	return next, found
}

// A placement gives waiting tasks to workers.
type placement struct {
	book    *Scheduler
	now     time.Time
	workers []*Worker
	// full lists rooms that no worker has. Rooms only shrink while tasks are
	// placed, so whoever needs as much finds none either.
	full []pointport.Shape
	// gangWaits says that workers are kept free for a gang already.
	gangWaits bool
}

// placeAll gives the waiting tasks of a job to workers, as far as they fit.
func (p *placement) placeAll(e *entry) {
	placed, missed := false, (*waitingTask)(nil)
	for n := 0; n < len(e.ready); {
		group := gangOf(e.ready[n:])
		n += len(group)
		if !e.account.withinCap(group[0].step.Need.Times(len(group))) {
			p.book.holdBack(p.now, group)
			continue
		}
		ok := false
		if group[0].step.Gang {
			ok = p.placeGang(group)
		} else {
			ok = p.place(group[0])
		}
		if ok {
			placed = true
		} else if missed == nil {
			missed = &group[0]
		}
	}
	if missed == nil {
		e.starved = time.Time{}
		return
	}
	p.book.seekAdvice(p.now, *missed)
	if placed {
		return
	}
	p.book.tellWait(p.now, *missed)
	p.book.preempt(p.now, *missed, p.workers)
}

// gangOf returns the tasks at the beginning of a list that must be placed
// together: a gang, or one task.
func gangOf(tasks []waitingTask) []waitingTask {
	first := tasks[0]
	if !first.step.Gang {
		return tasks[:1]
	}
	n := 1
	for n < len(tasks) && tasks[n].ref.Occurrence == first.ref.Occurrence && tasks[n].ref.Step == first.ref.Step {
		n++
	}
	return tasks[:n]
}

// place gives a task to the worker that suits it best; false if none has room.
func (p *placement) place(t waitingTask) bool {
	room := t.step.Reservation()
	if p.knownFull(room) {
		return false
	}
	w := p.choose(t)
	if w != nil {
		p.book.placeAs(p.now, t, w, t.entry.job.Task(t.ref).Run+1, len(p.workers))
		return true
	}
	if t.step.MaxPerInstance == 0 && t.step.Label == "" && len(t.entry.avoidUntil) == 0 && len(t.entry.crashed) == 0 && t.step.DataRack == "" && !t.entry.job.Policy().Advised {
		p.full = slices.DeleteFunc(p.full, func(f pointport.Shape) bool { return f.Fits(room) })
		p.full = append(p.full, room)
	}
	if t.step.Service {
		p.reserve(t)
	}
	return false
}

// knownFull reports whether no worker has room for as much.
func (p *placement) knownFull(room pointport.Shape) bool {
	for _, f := range p.full {
		if room.Fits(f) {
			return true
		}
	}
	return false
}

// reserve keeps a worker free of other tasks until a serving task fits there,
// because smaller tasks would always take the room that falls free.
func (p *placement) reserve(t waitingTask) {
	best := -1
	for i, w := range p.workers {
		if !p.book.permits(t, w, p.now) || p.book.atStepLimit(t, w) || !w.soonFree().Fits(t.step.Reservation()) {
			continue
		}
		if best < 0 || w.free.CPUMilli > p.workers[best].free.CPUMilli {
			best = i
		}
	}
	if best >= 0 {
		p.workers = slices.Delete(slices.Clone(p.workers), best, best+1)
	}
}

// choose returns the worker that suits a task best, or nil. A task that would
// take too long away from its data waits for a worker near it.
func (p *placement) choose(t waitingTask) *Worker {
	near := p.book.bestWorker(p.now, t, p.workers)
	if near == nil || t.step.DataRack == "" || near.inc.Rack() == t.step.DataRack || !p.book.waitsForRack(p.now, t) {
		return near
	}
	return nil
}

// usable returns the workers on which tasks may be placed.
func (b *Scheduler) usable(now time.Time) []*Worker {
	var out []*Worker
	for _, w := range b.workers {
		if w.usable(now) {
			out = append(out, w)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].inc.ID() < out[k].inc.ID() })
	return out
}

// bestWorker returns the worker that suits a task best, or nil.
func (b *Scheduler) bestWorker(now time.Time, t waitingTask, workers []*Worker) *Worker {
	var best *Worker
	bestScore := 0.0
	room := t.step.Reservation()
	for _, w := range workers {
		if !w.free.Fits(room) || !b.permits(t, w, now) || b.atStepLimit(t, w) {
			continue
		}
		score := b.score(now, t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// waitsForRack reports whether a task should rather wait for a worker near its
// data than start away from it now: there it can still end in time, and here it
// could not.
func (b *Scheduler) waitsForRack(now time.Time, t waitingTask) bool {
	rackHas := false
	for _, w := range b.workers {
		if w.inc.Rack() == t.step.DataRack && w.usable(now) {
			rackHas = true
			break
		}
	}
	if !rackHas {
		return false
	}
	duration := b.estimates.duration(t.entry.job.Queue(), t.step)
	more := time.Duration(float64(duration) * (b.settings.FarFactor - 1))
	latest := t.entry.rank.latest
	return now.Before(latest) && now.Add(more).After(latest)
}

// atStepLimit reports whether a worker holds as many tasks of the step as one may.
func (b *Scheduler) atStepLimit(t waitingTask, w *Worker) bool {
	return t.step.MaxPerInstance > 0 && b.crowd(t, w) >= t.step.MaxPerInstance
}

// crowd returns how many tasks of the step a worker holds.
func (b *Scheduler) crowd(t waitingTask, w *Worker) int {
	return w.steps[stepRef{t.entry, t.ref.Occurrence, t.ref.Step}]
}

const (
	// dataRackScore is what being near the data is worth, in shares of a free
	// instance: elsewhere a task takes twice or three times as long.
	dataRackScore = 2.0
	// servingScore is what it is worth that an instance has serving tasks, which
	// keep it in the pool anyway.
	servingScore = 0.5
	// scarceScore is what it is worth that an instance stays free for tasks that
	// require one of its labels.
	scarceScore = 1.5
	// apartScore is what it is worth to keep a task under which an instance has crashed
	// from each other one: more than any packing, so that the next crash hits few and
	// tells more of who causes it.
	apartScore = 3.0
	// soonScore is what it is worth that a serving task need not move again.
	soonScore = 2.0
	// coldScore is what it is worth that an instance is warm: more than any packing, so that an
	// availability zone that comes back cold gets what the others have no room for, and more as
	// it warms up.
	coldScore = 1.2
)

// score says how well a worker suits a task; more is better. Work is packed, so
// that instances fall empty and can go where they are needed more.
func (b *Scheduler) score(now time.Time, t waitingTask, w *Worker) float64 {
	score := -freeShare(w.free, w.inc.Capacity())
	if now.Before(w.coldUntil) {
		score -= coldScore
	}
	if t.step.DataRack != "" && w.inc.Rack() == t.step.DataRack {
		score += dataRackScore
	}
	switch {
	case t.step.TailTarget > 0 || t.step.Fills:
		// Tasks on one instance disturb those that serve there.
		score -= servingScore * float64(w.serving)
	case w.serving > 0:
		score += servingScore
	}
	score -= apartScore * float64(t.entry.neighboursToAvoid(t, w))
	if t.step.Label == "" && w.hasAny(b.scarce) {
		score -= scarceScore
	}
	if t.step.Service && b.soon[w.inc.Instance()] {
		score -= soonScore
	}
	return score
}

// freeShare returns the smaller of the free shares of processors and memory.
func freeShare(free, all pointport.Shape) float64 {
	return min(ratio(free.CPUMilli, all.CPUMilli), ratio(free.MemoryMiB, all.MemoryMiB))
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// placeAs gives a task to a worker, one of some candidates, under a run number; it
// is sent once that is stored.
func (b *Scheduler) placeAs(now time.Time, t waitingTask, w *Worker, number, candidates int) {
	t.entry.job.Place(t.ref, w.inc.ID(), number)
	r := b.newRun(now, t.entry, t.ref, w, number, runUnstored)
	r.ticket = b.ticketFor(t, w)
	if rack := t.step.DataRack; rack != "" && w.inc.Rack() != rack {
		b.far.add(now, rack, t.step.Reservation())
	}
	b.decided = append(b.decided, r)
	b.markDirty(t.entry, true)
	event.TaskPlaced.Log(b.logger, slog.String("task", r.name), slog.Int("run", number),
		slog.String("incarnation", string(w.inc.ID())), slog.Int64("freeCPUMilli", w.free.CPUMilli), slog.Int("candidates", candidates),
		slog.String("class", t.entry.rank.class.String()), slog.Duration("expected", b.estimates.duration(t.entry.job.Queue(), t.step)))
}

// A waitingTask task is one whose turn has come.
type waitingTask struct {
	entry *entry
	ref   workload.TaskRef
	step  *workload.Step
}
