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

// This file defines the plan: the assignment of waiting tasks to workers.

// Plan decides what to do at now: it expires runs and gangs, sends overdue orders again, begins due
// occurrences, moves serving tasks, and places waiting tasks as far as they fit.
func (s *Scheduler) Plan(now time.Time) {
	s.sweep(now)
	s.reviewHold(now)
	s.ruleOutStarts(now)
	s.resendOrders(now)
	s.beginDueOccurrences(now)
	s.relocate(now)
	s.emptyClaimed(now)
	s.expireGangs(now)
	s.checkAway(now)
	s.watchStarts(now)
	s.expireReservations(now)
	s.resetWaiting()
	s.advice.tasks = nil
	if len(s.waitingJobs) == 0 {
		return
	}
	workers := s.usableWorkers(now)
	queue := s.rankedJobs(now)
	capNeeds := s.capNeedsOfDisplaced()
	noteDisplaced(capNeeds)
	avoided := s.avoidedWorkers(now)
	if len(workers) == 0 && len(avoided) == 0 {
		for _, e := range queue {
			s.logWait(now, e.ready[0])
		}
		return
	}
	p := placement{
		scheduler: s, now: now, workers: workers, allWorkers: workers, avoided: avoided,
		reclaim: reclaimPlan{now: now}, heldForDisplaced: capNeeds,
	}
	s.scarceLabels = labelsRequired(queue)
	s.visitInOrder(s.sharesOf(workers, queue), queue, func(e *entry) bool {
		if s.placementsFull() {
			return false
		}
		p.placeJob(e)
		return true
	})
}

// labelsRequired returns the labels that waiting tasks require.
func labelsRequired(queue []*entry) map[string]bool {
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

// beginDueOccurrences begins the occurrences of recurring jobs that are due.
func (s *Scheduler) beginDueOccurrences(now time.Time) {
	for e := range s.recurring {
		if e.ended == "" && e.job.BeginDue(now.Add(s.settings.Early)) {
			s.markDirty(e, false)
		}
	}
}

// NextDue returns when the next occurrence of any job is due. It returns false if there is none.
func (s *Scheduler) NextDue() (time.Time, bool) {
	var next time.Time
	found := false
	for e := range s.recurring {
		if due, ok := e.job.NextDue(); ok && (!found || due.Before(next)) {
			next, found = due, true
		}
	}
	return next, found
}

// A placement assigns waiting tasks to workers during one plan.
type placement struct {
	scheduler *Scheduler
	now       time.Time
	workers   []*Worker // on which tasks may still be placed
	// allWorkers are the workers at the beginning of the plan.
	allWorkers []*Worker
	// avoided holds the workers that would be usable if they were not avoided. Only serving tasks
	// are placed there, after a while.
	avoided []*Worker
	// promised is what workers are to hold of displaced tasks, promisedSteps how many of each step.
	promised      map[*Worker]pointport.Shape
	promisedSteps map[stepOnWorker]int
	reclaim       reclaimPlan
	// heldForDisplaced is what displaced tasks that wait need of the caps of their customers.
	heldForDisplaced map[*account]pointport.Shape
	// full lists reservations for which no worker has free capacity. Free capacity only shrinks
	// while tasks are placed, so a task that needs at least as much does not fit either.
	full []pointport.Shape
	// gangWaits reports whether workers are already reserved for a gang.
	gangWaits bool
}

// placeJob places the ready tasks of a job as far as they fit. If none fits, it logs the reason and
// may preempt runs of other jobs.
func (p *placement) placeJob(e *entry) {
	placed, missed := false, (*waitingTask)(nil)
	for n := 0; n < len(e.ready); {
		group := gangOf(e.ready[n:])
		n += len(group)
		if !p.scheduler.mayPlace(group[0]) || restartPaused(group, p.now) {
			continue
		}
		if !p.withinCap(group) {
			p.scheduler.noteHeldBack(p.now, group)
			continue
		}
		displaced := group[0].displaced() // before the placement, which counts as a run
		ok := false
		if group[0].step.Gang {
			ok = p.placeGang(group)
		} else {
			ok = p.placeTask(group[0])
		}
		if ok && displaced {
			p.releaseCap(group)
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
	p.scheduler.seekAdvice(*missed)
	if placed {
		return
	}
	p.scheduler.logWait(p.now, *missed)
	p.scheduler.preempt(p.now, *missed, p.workers)
}

// gangOf returns the tasks at the beginning of a list that must be placed together: a gang, or one
// task.
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

// placeTask places a task on the most suitable worker. It returns false if no worker can take it.
func (p *placement) placeTask(t waitingTask) bool {
	reservation := t.step.Reservation()
	full := p.knownFull(reservation)
	if w := p.chooseWorker(t, full); w != nil {
		p.scheduler.assign(p.now, t, w, t.entry.job.Task(t.ref).Run+1, len(p.workers))
		return true
	}
	if !full && t.fitsByCapacityAlone() {
		p.full = slices.DeleteFunc(p.full, func(f pointport.Shape) bool { return f.Fits(reservation) })
		p.full = append(p.full, reservation)
	}
	if !full || t.displaced() {
		p.reserve(t)
	}
	return false
}

// fitsByCapacityAlone reports whether nothing but free capacity decides on which workers a task may be
// placed.
func (t *waitingTask) fitsByCapacityAlone() bool {
	return t.step.MaxPerInstance == 0 && t.step.Label == "" && t.step.DataRack == "" &&
		len(t.entry.avoidUntil) == 0 && len(t.entry.crashed) == 0 && !t.entry.job.Policy().Advised
}

// chooseWorker returns the worker on which to place a task, or nil. full reports whether no worker is
// known to have free capacity for it, except those on which only serving tasks are placed.
func (p *placement) chooseWorker(t waitingTask, full bool) *Worker {
	var w *Worker
	if !full {
		w = p.choose(t)
	}
	if w == nil && t.step.Service {
		w = p.chooseServing(t)
	}
	return w
}

// knownFull reports whether an earlier task with no larger reservation found no worker in this
// plan.
func (p *placement) knownFull(reservation pointport.Shape) bool {
	for _, f := range p.full {
		if reservation.Fits(f) {
			return true
		}
	}
	return false
}

// reserve keeps a worker for a serving task that could not be placed, because smaller tasks would
// otherwise always take the capacity that becomes free. For a displaced task it may also stop tasks that
// end there.
func (p *placement) reserve(t waitingTask) {
	switch {
	case !t.step.Service:
	case t.displaced():
		p.reserveDisplaced([]waitingTask{t})
	default:
		p.reserveFreest(t)
	}
}

// reserveFreest reserves the worker with the most free capacity for a serving task that has not run
// before.
func (p *placement) reserveFreest(t waitingTask) {
	var best *Worker
	for _, w := range p.workers {
		if !p.scheduler.permits(t, w, p.now) || p.scheduler.atStepLimit(t, w) || !w.freeAfterTasks().Fits(t.step.Reservation()) {
			continue
		}
		if best == nil || w.free.CPUMilli > best.free.CPUMilli {
			best = w
		}
	}
	p.exclude(best)
}

// exclude excludes a worker from the rest of the plan.
func (p *placement) exclude(w *Worker) {
	if n := slices.Index(p.workers, w); n >= 0 {
		p.workers = slices.Delete(slices.Clone(p.workers), n, n+1)
	}
}

// choose returns the most suitable worker for a task, or nil. It also returns nil if the task
// should wait for a worker in the rack of its data.
func (p *placement) choose(t waitingTask) *Worker {
	near := p.scheduler.bestWorker(p.now, t, p.workers, p.scheduler.permits)
	if near == nil || t.step.DataRack == "" || near.inc.Rack() == t.step.DataRack || !p.scheduler.waitsForRack(p.now, t) {
		return near
	}
	return nil
}

// usableWorkers returns the workers on which tasks may be placed, sorted by incarnation.
func (s *Scheduler) usableWorkers(now time.Time) []*Worker { return s.workersWith(now, reasonNone) }

// workersWith returns the workers that a reason makes unusable, or the usable ones for reasonNone,
// sorted by incarnation.
func (s *Scheduler) workersWith(now time.Time, unusableReason string) []*Worker {
	var out []*Worker
	for _, w := range s.workers {
		if w.unusableReason(now) == unusableReason && !s.awaitsReport(w) {
			out = append(out, w)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].inc.ID() < out[k].inc.ID() })
	return out
}

// A permission reports whether a worker may run a task apart from its capacity.
type permission func(t waitingTask, w *Worker, now time.Time) bool

// bestWorker returns the worker with the highest score for a task among those that may run it, or
// nil if none can take it.
func (s *Scheduler) bestWorker(now time.Time, t waitingTask, workers []*Worker, may permission) *Worker {
	var best *Worker
	bestScore := 0.0
	reservation := t.step.Reservation()
	for _, w := range workers {
		if !w.free.Fits(reservation) || !may(t, w, now) || s.atStepLimit(t, w) {
			continue
		}
		score := s.score(now, t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// waitsForRack reports whether a task should wait for a worker in the rack of its data: started in
// another rack now, it would end too late, and its rack has usable workers, where it can still end
// in time.
func (s *Scheduler) waitsForRack(now time.Time, t waitingTask) bool {
	rackUsable := false
	for _, w := range s.workers {
		if w.inc.Rack() == t.step.DataRack && w.usable(now) {
			rackUsable = true
			break
		}
	}
	if !rackUsable {
		return false
	}
	duration := s.estimates.duration(t.entry.job.Queue(), t.step)
	extra := time.Duration(float64(duration) * (s.settings.RemoteDataSlowdown - 1))
	latest := t.entry.rank.latest
	return now.Before(latest) && now.Add(extra).After(latest)
}

// atStepLimit reports whether a worker already holds the maximum number of tasks of the step.
func (s *Scheduler) atStepLimit(t waitingTask, w *Worker) bool {
	return t.step.MaxPerInstance > 0 && s.tasksOfStep(t, w) >= t.step.MaxPerInstance
}

// tasksOfStep returns how many tasks of the step a worker holds.
func (s *Scheduler) tasksOfStep(t waitingTask, w *Worker) int {
	return w.steps[stepRef{t.entry, t.ref.Occurrence, t.ref.Step}]
}

const (
	// dataRackScore is the score of being in the rack of the data, in units of a free instance.
	// Elsewhere a task takes two or three times as long.
	dataRackScore = 2.0
	// servingScore is the score of an instance with serving tasks, which keep it in the pool
	// anyway.
	servingScore = 0.5
	// scarceScore is the penalty for using an instance that has a label which waiting tasks
	// require.
	scarceScore = 1.5
	// apartScore is the penalty for each neighbour when a task under which an instance has crashed
	// is placed beside other tasks, or another task beside such tasks. It outweighs any packing, so
	// that the next crash affects few tasks and gives more evidence of its cause.
	apartScore = 3.0
	// soonScore is the penalty for placing a serving task on an instance that is about to be
	// emptied, because the task would have to move again.
	soonScore = 2.0
	// returnedScore is the penalty for placing a serving task on an instance that has just come back
	// under its addressee. Orders for its earlier incarnation may still extend what runs there, so
	// if it crashes again soon, its runs count as ended only after up to 20 s.
	returnedScore = 2.0
	// coldScore is the penalty for a cold instance. It outweighs any packing, so that an
	// availability zone that comes back cold gets only the tasks for which the others have no
	// capacity, and more as it warms up.
	coldScore = 1.2
)

// score returns how well a worker suits a task; higher is better. Work is packed, so that instances
// become empty and can move to pools that need them more.
func (s *Scheduler) score(now time.Time, t waitingTask, w *Worker) float64 {
	score := -freeShare(w.free, w.inc.Capacity())
	if now.Before(w.coldUntil) {
		score -= coldScore
	}
	if t.step.DataRack != "" && w.inc.Rack() == t.step.DataRack {
		score += dataRackScore
	}
	switch {
	case t.step.TailTarget > 0 || t.step.Fills:
		// Tasks on one instance disturb the serving tasks there.
		score -= servingScore * float64(w.serving)
	case w.serving > 0:
		score += servingScore
	}
	score -= apartScore * float64(t.entry.neighboursToAvoid(t, w))
	if t.step.Label == "" && w.hasAnyLabel(s.scarceLabels) {
		score -= scarceScore
	}
	if t.step.Service && s.closingSoon[w.inc.Instance()] {
		score -= soonScore
	}
	if t.step.Service && s.misdirectedMayExtend(w, now) {
		score -= returnedScore
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

// assign places a task on a worker under a run number; candidates is the number of workers
// considered, for the log. The start is sent once the placement is stored.
func (s *Scheduler) assign(now time.Time, t waitingTask, w *Worker, number, candidates int) {
	t.entry.job.Place(t.ref, w.inc.ID(), number)
	r := s.newRun(now, t.entry, t.ref, w, number, runUnstored)
	r.ticket = s.ticketFor(t, w)
	if s.misdirectedMayExtend(w, now) {
		s.storeMisdirected(r)
	}
	if rack := t.step.DataRack; rack != "" && w.inc.Rack() != rack {
		s.rackDemand.add(now, rack, t.step.Reservation())
	}
	s.unstoredStarts = append(s.unstoredStarts, r)
	s.markDirty(t.entry, true)
	event.TaskPlaced.Log(s.logger, slog.String("task", r.name), slog.Int("run", number),
		slog.String("incarnation", string(w.inc.ID())), slog.Int64("freeCPUMilli", w.free.CPUMilli), slog.Int("candidates", candidates),
		slog.String("class", t.entry.rank.class.String()), slog.Duration("expected", s.estimates.duration(t.entry.job.Queue(), t.step)))
}

// A waitingTask is a pending task whose predecessors are done.
type waitingTask struct {
	entry *entry
	ref   workload.TaskRef
	step  *workload.Step
}

func (t *waitingTask) stepRef() stepRef { return stepRef{t.entry, t.ref.Occurrence, t.ref.Step} }
