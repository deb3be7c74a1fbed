package schedule

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines the book: what it is told of jobs and of workers.

// Settings are the times by which a book decides.
type Settings struct {
	// Lease is how far ahead everything on a worker is extended by each order.
	Lease time.Duration
	// PredecessorBound is for how long after this owner took over an order of
	// its predecessor may keep something running.
	PredecessorBound time.Duration
	// KeepEnded is for how long the end of a job is remembered.
	KeepEnded time.Duration
	// Early is how much before its time an occurrence may begin.
	Early time.Duration
	// MaxHold is for how long an instance runs anything without a further order.
	MaxHold time.Duration
	// GangTime is how long an instance waits for the others of a gang.
	GangTime time.Duration
	// FarFactor is how many times as long a task takes away from its data.
	FarFactor float64
}

// An entry is a job in the book.
type entry struct {
	job *workload.Job
	// account is the customer's, nil for nobody's.
	account *account
	runs    map[workload.TaskRef]*Run
	// ready lists the tasks whose turn has come; stale says that it must be made
	// anew.
	ready []waitingTask
	stale bool
	// rank is how pressing the job was at the last plan.
	rank rank
	// chains are the chains of work of the job's steps as reckoned at chainsAt.
	chains   []time.Duration
	chainsAt time.Time
	// stalled counts the runs of a task that were stopped because they stood still
	// or crawled.
	stalled map[workload.TaskRef]int
	// avoidUntil holds until when tasks that have failed stay away from where they did.
	avoidUntil map[workload.TaskRef]time.Time
	// crashed holds what this owner has seen of the crashes under tasks; of tasks under
	// which instances had crashed before it took over, at least an empty entry.
	crashed map[workload.TaskRef]*crashes
	// abandoned counts the runs of a task that were given up while their instance was
	// silent, and of which it is not known yet what became.
	abandoned map[workload.TaskRef]int
	// durations is how long the tasks durations that are done.
	durations map[stepKey]stepDurations
	// advice is what the advisor has said of the job's steps.
	advice map[stepKey]*advice
	// starved is since when the job has found no room, preempted when it last
	// took some from others.
	starved, preempted time.Time
	// toldWait is when it was last logged why the job finds no room.
	toldWait time.Time
	// endedOn holds the workers on which tasks of the job have ended since it was last
	// taken to be stored, one for each end.
	endedOn []*Worker
	// begun says that the job is known to have begun, by this owner's doing or
	// before it.
	begun bool
	// ended is the state in which the job is over, empty while it is not.
	ended workload.Status
}

// A finished job is remembered for those who ask.
type finished struct {
	status   workload.Status
	customer string
	at       time.Time
}

// A Scheduler is the state of one pool's jobs and workers. It is not safe for
// concurrent use.
type Scheduler struct {
	settings Settings
	logger   *slog.Logger
	taken    time.Time // when this owner took over

	jobs    map[string]*entry
	workers map[pointport.IncarnationID]*Worker
	// unlisted holds the workers that are not registered and not known to be over.
	unlisted []*Worker
	// startsInFlight holds since when starts may be carried out that nothing wants any more, by whichever
	// life of their addressee.
	startsInFlight map[pointport.Addressee]map[pointport.TaskRun]time.Time
	// foreign holds until when orders to lives that are over may extend what a later one runs.
	foreign map[pointport.Addressee]time.Time
	// crashedHealth holds the health of instances that have crashed and are not back.
	crashedHealth map[pointport.InstanceID]health
	endedJobs     map[string]finished

	// accounts holds what is known of customers, allowed how much of their caps may be used
	// here.
	accounts map[string]*account
	allowed  map[string]pointport.Shape
	weights  map[string]float64

	estimates *estimates
	arrivals  arrivals
	far       rackDemand
	// dirty holds the jobs that have changed since they were last taken to be stored,
	// and whether something waits for that.
	dirty map[*entry]bool
	// waitingJobs holds the jobs that may have tasks whose turn has come, recurring
	// those of which further occurrences are due.
	waitingJobs, recurring map[*entry]struct{}
	decided                []*Run // to be stored, then sent
	// limited says that the last batch was short of room.
	limited bool
	// unsentMost is how many tasks may be placed of which the start is not stored yet.
	unsentMost int
	// pendingOrders are orders that need nothing stored: stops and repeated starts.
	pendingOrders []Order
	// urgent says that something waits for the next batch to be stored.
	urgent bool
	// pollNow are workers whose report is wanted at once.
	pollNow map[*Worker]struct{}
	// gangs holds the gangs that are gathering.
	gangs map[*gang]struct{}
	// questions are to be put to the advisor.
	questions []AdviceRequest
	// lowRuns counts the runs of jobs that others may preempt.
	lowRuns int
	// scarce holds the labels that waiting tasks require.
	scarce map[string]bool
	// soon holds the instances that are to be emptied before long.
	soon map[pointport.InstanceID]bool
	// zones says in which availability zones tasks may be started; the workers share it.
	zones *evacuation.Zones
	// sight says how well the registrations are known.
	sight   RegistryCoverage
	hearing reachability
	// fenced says that an instance has seen a higher fence.
	fenced bool
}

// NewScheduler returns the empty book of an owner that took over at now. Until it is told
// otherwise, no availability zone is evacuated.
func NewScheduler(now time.Time, s Settings, logger *slog.Logger) *Scheduler {
	zones := evacuation.None
	return &Scheduler{
		settings: s, logger: logger, taken: now, zones: &zones,
		jobs:           make(map[string]*entry),
		startsInFlight: make(map[pointport.Addressee]map[pointport.TaskRun]time.Time),
		foreign:        make(map[pointport.Addressee]time.Time),
		crashedHealth:  make(map[pointport.InstanceID]health),
		workers:        make(map[pointport.IncarnationID]*Worker),
		endedJobs:      make(map[string]finished),
		accounts:       make(map[string]*account),
		estimates:      newEstimates(),
		dirty:          make(map[*entry]bool),
		waitingJobs:    make(map[*entry]struct{}), recurring: make(map[*entry]struct{}),
		gangs:   make(map[*gang]struct{}),
		pollNow: make(map[*Worker]struct{}), unsentMost: math.MaxInt,
	}
}

// Fenced reports whether an instance has seen a higher fence than this owner's.
func (b *Scheduler) Fenced() bool { return b.fenced }

// Add takes in a job. Tasks that are placed already were placed by an earlier
// owner. Adding a job again changes nothing; Add reports whether it was new.
func (b *Scheduler) Add(now time.Time, j *workload.Job) bool {
	if _, ok := b.jobs[j.ID()]; ok {
		return false
	}
	if _, ok := b.endedJobs[j.ID()]; ok {
		return false
	}
	e := &entry{job: j, account: b.accountOf(j.Customer()), runs: make(map[workload.TaskRef]*Run), begun: j.Begun()}
	b.jobs[j.ID()] = e
	if !j.Begun() && j.Spec().Recur.Times == 0 && !e.account.atCap() {
		b.arrivals.add(now, j, b.estimates)
	}
	if j.Spec().Recur.Times > 0 {
		b.recurring[e] = struct{}{}
	}
	b.invalidateReady(e)
	b.inherit(now, e)
	if j.Stopping() {
		b.stopAll(now, e, "its job is over")
	}
	b.endJobIfDone(now, e)
	return true
}

// inheritCrashes notes the tasks under which instances have crashed before this owner.
func (e *entry) inheritCrashes(now time.Time) {
	e.job.Occurrences(func(o *workload.Occurrence) {
		for n, step := range o.Steps {
			for i := range step {
				if step[i].Crashes > 0 {
					e.crashesOf(workload.TaskRef{Occurrence: o.Index, Step: n, Index: i}).last = now
				}
			}
		}
	})
}

// inherit makes runs of the tasks that an earlier owner has placed.
func (b *Scheduler) inherit(now time.Time, e *entry) {
	e.inheritCrashes(now)
	e.job.Occurrences(func(o *workload.Occurrence) {
		for n, step := range o.Steps {
			for i := range step {
				ref := workload.TaskRef{Occurrence: o.Index, Step: n, Index: i}
				if step[i].Phase == workload.Pending && step[i].On != "" {
					e.avoidFailedWorker(ref, now)
				}
				if step[i].Phase != workload.Placed {
					continue
				}
				w := b.worker(now, step[i].On)
				b.newRun(now, e, ref, w, step[i].Run, runInherited)
			}
		}
	})
}

func (b *Scheduler) newRun(now time.Time, e *entry, ref workload.TaskRef, w *Worker, number int, s runState) *Run {
	r := &Run{
		entry: e, ref: ref, name: workload.TaskName(e.job.ID(), ref), number: number,
		worker: w, state: s, placedAt: now, pace: fullPace,
	}
	r.suspected, r.quarantined, r.apartFor = e.suspected(ref), e.quarantines(ref), e.quarantineTime(ref)
	e.runs[ref] = r
	w.addRun(r)
	e.account.started(r.step().Need)
	if e.job.Policy().Priority > 0 {
		b.lowRuns++
	}
	return r
}

// worker returns what is known of an incarnation, which may be nothing.
func (b *Scheduler) worker(now time.Time, id pointport.IncarnationID) *Worker {
	w := b.workers[id]
	if w == nil {
		w = &Worker{
			since:           now,
			inc:             pointport.NewIncarnation(id, "", ""),
			runs:            make(map[string]*Run),
			steps:           make(map[stepRef]int),
			lease:           executionLease{inherited: b.taken.Add(b.predecessorBound(id)), misdirectedUntil: b.foreign[id.Addressee()]},
			startsToRuleOut: b.startsToRuleOut(id),
			zones:           b.zones,
		}
		b.workers[id] = w
	}
	return w
}

// predecessorBound returns for how long after this owner took over an order of its predecessor
// to an incarnation may keep something running: on a later life of the same addressee, to whose clock
// the predecessor's extension says something else, for as long as an instance grants.
func (b *Scheduler) predecessorBound(id pointport.IncarnationID) time.Duration {
	bound := b.settings.PredecessorBound
	if id.Shares() && b.settings.MaxHold > b.settings.Lease {
		bound += time.Duration(float64(b.settings.MaxHold-b.settings.Lease) * slowClock)
	}
	return bound
}

// Cancel takes in that the customer does not want a job any more. It reports
// whether the job is in the book.
func (b *Scheduler) Cancel(now time.Time, id string) bool {
	e, ok := b.jobs[id]
	if !ok {
		return false
	}
	if e.job.Cancelled() || e.ended.Ended() {
		return true
	}
	e.job.Cancel()
	b.markDirty(e, true)
	b.stopAll(now, e, "its customer cancelled it")
	b.endJobIfDone(now, e)
	return true
}

// Status returns what is known of a job: what is stored, and not what is only
// decided.
func (b *Scheduler) Status(id string) (workload.Status, bool) {
	if f, ok := b.endedJobs[id]; ok {
		return f.status, true
	}
	e, ok := b.jobs[id]
	if !ok {
		return "", false
	}
	if s := e.job.Status(); !s.Ended() {
		return s, true
	}
	return workload.Running, true
}

// CustomerOf returns the name of the customer whose a job is, empty if it is nobody's; false if
// the job is not in the book.
func (b *Scheduler) CustomerOf(id string) (string, bool) {
	if f, ok := b.endedJobs[id]; ok {
		return f.customer, true
	}
	if e, ok := b.jobs[id]; ok {
		return e.job.Customer(), true
	}
	return "", false
}

// Waiting returns how many jobs of a queue have not begun.
func (b *Scheduler) Waiting(queue string) int {
	n := 0
	for _, e := range b.jobs {
		if e.job.Queue() == queue && !e.job.Begun() && !e.job.Stopping() {
			n++
		}
	}
	return n
}

// invalidateReady notes that other tasks of a job may be ready than before.
func (b *Scheduler) invalidateReady(e *entry) {
	e.stale = true
	b.waitingJobs[e] = struct{}{}
}

// markDirty marks a job as changed and to be stored.
func (b *Scheduler) markDirty(e *entry, urgent bool) {
	b.invalidateReady(e)
	b.dirty[e] = b.dirty[e] || urgent
	b.urgent = b.urgent || urgent
}

// endJobIfDone notes that a job is over, if it is.
func (b *Scheduler) endJobIfDone(now time.Time, e *entry) {
	if e.ended != "" {
		return
	}
	e.job.BeginDue(now.Add(b.settings.Early))
	s := e.job.Status()
	if !s.Ended() || len(e.runs) > 0 {
		return
	}
	e.ended = s
	b.markDirty(e, true)
}

// stopAll orders every run of a job to stop.
func (b *Scheduler) stopAll(now time.Time, e *entry, reason string) {
	for _, r := range e.runs {
		b.stop(now, r, reason)
	}
}

// stop orders a run to stop, or drops it if it was never sent.
func (b *Scheduler) stop(now time.Time, r *Run, reason string) {
	if r.state == runUnstored || r.state == runSent && !r.startSent {
		b.drop(now, r, reason)
		return
	}
	if r.stopping {
		return
	}
	r.stopping, r.stopAgainAt, r.stopReason = true, now.Add(stopAgain), reason
	if r.worker.inc.Address() != "" {
		b.pendingOrders = append(b.pendingOrders, Order{Kind: OrderStop, Run: r, Worker: r.worker, TaskRun: r.TaskRun()})
	}
}

// drop removes a run that has ended, or never started, and puts its task back.
func (b *Scheduler) drop(now time.Time, r *Run, reason string) {
	detached := r.detached()
	if r.state != runUnstored {
		event.TaskReturned.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
			slog.String("incarnation", string(r.worker.inc.ID())), slog.String("reason", reason),
			slog.Int("unanswered", r.unanswered), slog.Duration("sinceHeard", r.worker.lease.sinceLastAnswer(now)))
	}
	b.removeRun(now, r)
	if t := r.task(); !detached && t != nil && t.Phase == workload.Placed && t.Run == r.number {
		r.entry.job.Requeue(r.ref)
		b.markDirty(r.entry, false)
	}
	if r.uncertainty != nil {
		b.recordEarlierLoss(now, r)
	}
	if detached {
		return
	}
	if r.step().Gang {
		b.stopRestOfGang(now, r, "another of its gang has ended")
	}
	b.endJobIfDone(now, r.entry)
}

// detach takes a run from its job. It stays on its worker, and takes its room
// there, until it is known to have ended.
func (b *Scheduler) detach(r *Run) {
	if r.entry.runs[r.ref] == r {
		delete(r.entry.runs, r.ref)
	}
}

// detached reports whether a run's job has no use for it any more.
func (r *Run) detached() bool { return r.entry.runs[r.ref] != r }

// removeRun removes a run from its job and its worker.
func (b *Scheduler) removeRun(now time.Time, r *Run) {
	if r.startInFlight() {
		b.rememberStart(now, r.worker, r.TaskRun())
	}
	if r.worker.runs[r.name] == r {
		r.entry.account.ended(r.step().Need)
		if r.entry.job.Policy().Priority > 0 {
			b.lowRuns--
		}
	}
	if r.abandoned {
		r.entry.abandoned[r.ref]--
	}
	r.worker.removeRun(r)
	if r.entry.runs[r.ref] == r {
		delete(r.entry.runs, r.ref)
	}
}

// SetIncarnations takes in the registrations of the pool's instances.
func (b *Scheduler) SetIncarnations(now time.Time, all []pointport.Incarnation) {
	listed := make(map[pointport.IncarnationID]bool, len(all))
	for _, inc := range all {
		listed[inc.ID()] = true
		b.register(now, inc)
	}
	b.updateListed(now, listed)
	b.sweep(now)
}

func (b *Scheduler) register(now time.Time, inc pointport.Incarnation) {
	w := b.worker(now, inc.ID())
	if !w.registered {
		w.registered = true
		b.pollNow[w] = struct{}{}
		b.restoreHealth(w, inc.Instance())
	}
	b.resize(w, inc.Capacity())
	leaving := inc.Draining() && !w.inc.Draining()
	if inc.Cold() != w.inc.Cold() { // it is told anew with each change of the registration
		w.coldUntil = now.Add(inc.Cold())
	}
	w.inc = inc
	if leaving {
		b.handleDraining(now, w)
	}
}

// Workers returns every worker that takes orders, by incarnation.
func (b *Scheduler) Workers() []*Worker {
	var out []*Worker
	for _, w := range b.workers {
		if w.lookedAt() {
			out = append(out, w)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].inc.ID() < out[k].inc.ID() })
	return out
}

// WorkerCount returns how many incarnations the book knows.
func (b *Scheduler) WorkerCount() int { return len(b.workers) }
