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

// This file defines the state of a scheduler and how it learns of jobs and of workers.

// Settings are the time limits and factors of a scheduler.
type Settings struct {
	// Lease is the duration by which each order extends the lease of everything on a worker.
	Lease time.Duration
	// PredecessorBound is how long after the takeover an order of the previous owner may keep
	// something running.
	PredecessorBound time.Duration
	// KeepEnded is how long the result of an ended job is kept in memory.
	KeepEnded time.Duration
	// Early is how long before its due time an occurrence may begin.
	Early time.Duration
	// MaxHold is how long an instance runs anything without a further order.
	MaxHold time.Duration
	// GangTimeout is how long an instance waits for the other members of a gang.
	GangTimeout time.Duration
	// RemoteDataSlowdown is the ratio of a task's duration away from its data to its duration near it.
	RemoteDataSlowdown float64
	// PredecessorUnrecorded is whether the previous owner may have started tasks unrecorded.
	PredecessorUnrecorded bool
}

// An entry holds a job and the scheduling state of its tasks.
type entry struct {
	job *workload.Job
	// account is that of the job's customer, nil if the job has no customer.
	account *account
	runs    map[workload.TaskRef]*Run
	// ready lists the pending tasks whose predecessors are done. It must be rebuilt before use
	// while stale is set.
	ready []waitingTask
	stale bool
	// rank is the job's rank in the last plan.
	rank rank
	// criticalPaths holds the critical path of each step, as computed at criticalPathsAt.
	criticalPaths   []time.Duration
	criticalPathsAt time.Time
	// stalled counts the runs of a task that were stopped because they made no progress or were too
	// slow.
	stalled map[workload.TaskRef]int
	// restarts holds when serving tasks that have ended as done soon after their start may start again.
	restarts map[workload.TaskRef]restart
	// avoidUntil holds until when a failed task is not placed again on the instance on which it
	// failed.
	avoidUntil map[workload.TaskRef]time.Time
	// crashed holds the instance crashes that this owner has seen under tasks. A task under which
	// instances had crashed before the takeover has at least an empty entry.
	crashed map[workload.TaskRef]*crashes
	// replacedRuns counts the runs of a task that were replaced while their instance was silent and
	// whose outcome is not known yet.
	replacedRuns map[workload.TaskRef]int
	// durations holds the durations of the tasks that are done, by step.
	durations map[stepKey]stepDurations
	// advice is the advisor's answers about the job's steps.
	advice map[stepKey]*advice
	// starved is the time since which no task of the job could be placed; preempted is when the job
	// last tried to preempt others.
	starved, preempted time.Time
	// waitLoggedAt is when the reason for the job's wait was last logged.
	waitLoggedAt time.Time
	// away holds the absences of the job's serving tasks that are away.
	away map[workload.TaskRef]*absence
	// reservations holds the workers that are reserved for the job's displaced tasks.
	reservations map[workload.TaskRef]*reservation
	// endedOn holds one worker for each end of a task of the job since the job was last taken into
	// a batch.
	endedOn []*Worker
	// begun reports whether a run of the job is known to have started, under this owner or an
	// earlier one.
	begun bool
	// begunStored reports whether the job is stored as begun.
	begunStored bool
	// ended is the job's final status, empty while the job is open.
	ended workload.Status
}

// A Scheduler holds the state of one pool's jobs and workers and decides where and when tasks run.
// It is not safe for concurrent use.
type Scheduler struct {
	settings   Settings
	logger     *slog.Logger
	tookOverAt time.Time // when this owner took over

	jobs    map[string]*entry
	workers map[pointport.IncarnationID]*Worker
	// unlisted holds the workers that are not registered and not known to have ended.
	unlisted []*Worker
	// startsInFlight holds starts that are no longer wanted but may still be carried out by any
	// incarnation with the same addressee, with the time at which each was given up.
	startsInFlight map[pointport.Addressee]map[pointport.TaskRun]time.Time
	// misdirectedLeaseEnds holds until when an order to an ended incarnation may extend the lease of
	// runs on a later incarnation of the same addressee.
	misdirectedLeaseEnds map[pointport.Addressee]time.Time
	// formerTargets holds the incarnations to which the former owner has sent starts of inherited runs.
	formerTargets map[pointport.Addressee]map[pointport.IncarnationID]bool
	// crashedHealth holds the health of instances that have crashed and have not registered again.
	crashedHealth map[pointport.InstanceID]health
	endedJobs     *endedJobs

	// accounts holds the accounts of the customers seen so far, by name; allowed holds how much of
	// each customer's cap may be used in this pool.
	accounts map[string]*account
	allowed  map[string]pointport.Shape
	// reachable holds how much of its cap each customer could use in this pool.
	reachable map[string]pointport.Shape
	weights   map[string]float64

	estimates  *estimates
	arrivals   arrivals
	rackDemand rackDemand
	// dirty holds the jobs that have changed since they were last taken into a batch. The value
	// reports whether something waits for the job to be stored.
	dirty map[*entry]bool
	// waitingJobs holds the jobs that may have ready tasks, recurring those with further
	// occurrences, serving those with serving tasks until their end is stored.
	waitingJobs, recurring, serving map[*entry]struct{}
	// awayCheckedAt is when serving tasks were last checked for absences, awayLines how many were
	// logged then, and awaitsProof whether tasks waited for proof that no run of theirs goes on.
	awayCheckedAt time.Time
	awayLines     int
	awaitsProof   bool
	// startWatchAt is when watched starts are checked next, zero if there are none.
	startWatchAt   time.Time
	unstoredStarts []*Run // placed, but their start is not stored yet
	unrecorded     unrecordedStarts
	// hold keeps back what the previous owner may have started, nil if there is nothing.
	hold *hold
	// batchLimited reports whether the last batch was limited to few entries, which limits further
	// placements.
	batchLimited bool
	// maxUnstoredStarts is how many placed tasks may wait for their start to be stored.
	maxUnstoredStarts int
	// pendingOrders holds the orders that may be sent: stops, repeated starts, changes of pace, and
	// starts that are stored.
	pendingOrders []Order
	// urgent reports whether something waits for the next batch to be stored.
	urgent bool
	// pollNow holds the workers to poll immediately.
	pollNow map[*Worker]struct{}
	// gangs holds the gangs whose members have not all started yet.
	gangs map[*gang]struct{}
	// advice holds the steps that need advice.
	advice adviceNeeds
	// preemptibleRuns counts the runs of jobs that others may preempt.
	preemptibleRuns int
	// scarceLabels holds the labels that waiting tasks require.
	scarceLabels map[string]bool
	// closingSoon holds the instances that are about to be emptied.
	closingSoon map[pointport.InstanceID]bool
	// zones holds the evacuation states of the availability zones; all workers share it.
	zones *evacuation.Zones
	// registryCoverage is the interval in which the registrations could be read.
	registryCoverage RegistryCoverage
	reachability     reachability
	// fenced reports whether an instance has rejected this owner's fencing token as outdated.
	fenced bool
}

// NewScheduler returns an empty scheduler for an owner that took over the pool at now. No
// availability zone is evacuated until SetEvacuations reports one.
func NewScheduler(now time.Time, s Settings, logger *slog.Logger) *Scheduler {
	zones := evacuation.None
	return &Scheduler{
		settings: s, logger: logger, tookOverAt: now, zones: &zones,
		jobs:                 make(map[string]*entry),
		startsInFlight:       make(map[pointport.Addressee]map[pointport.TaskRun]time.Time),
		misdirectedLeaseEnds: make(map[pointport.Addressee]time.Time),
		formerTargets:        make(map[pointport.Addressee]map[pointport.IncarnationID]bool),
		crashedHealth:        make(map[pointport.InstanceID]health),
		workers:              make(map[pointport.IncarnationID]*Worker),
		endedJobs:            newEndedJobs(),
		accounts:             make(map[string]*account),
		estimates:            newEstimates(),
		dirty:                make(map[*entry]bool),
		waitingJobs:          make(map[*entry]struct{}), recurring: make(map[*entry]struct{}), serving: make(map[*entry]struct{}),
		gangs: make(map[*gang]struct{}), hold: newHold(s.PredecessorUnrecorded),
		pollNow: make(map[*Worker]struct{}), maxUnstoredStarts: math.MaxInt,
	}
}

// Fenced reports whether an instance has seen a higher fencing token than this owner's.
func (s *Scheduler) Fenced() bool { return s.fenced }

// Add adds a job. Its placed tasks were placed by an earlier owner and become inherited runs.
// Adding a known job changes nothing; Add reports whether the job was new.
func (s *Scheduler) Add(now time.Time, j *workload.Job) bool {
	if _, ok := s.jobs[j.ID()]; ok {
		return false
	}
	if _, ok := s.endedJobs.get(j.ID()); ok {
		return false
	}
	e := &entry{job: j, account: s.accountOf(j.Customer()), runs: make(map[workload.TaskRef]*Run), begun: j.HasStarted(), begunStored: j.Begun()}
	s.jobs[j.ID()] = e
	if !j.Begun() && j.Spec().Recur.Times == 0 && !e.account.atCap() {
		s.arrivals.add(now, j, s.estimates)
	}
	if j.Spec().Recur.Times > 0 {
		s.recurring[e] = struct{}{}
	}
	if j.Spec().RunsUntilCancelled() {
		s.serving[e] = struct{}{}
	}
	s.invalidateReady(e)
	s.inheritRuns(now, e)
	s.addToHold(e)
	if j.Stopping() {
		s.stopAll(now, e, "its job was cancelled or has failed")
	}
	s.endJobIfDone(now, e)
	return true
}

// inheritCrashes records the tasks under which instances crashed before this owner took over.
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

// inheritRuns creates runs for the tasks that an earlier owner has placed, and keeps pending tasks
// that failed before away from the instance on which they failed.
func (s *Scheduler) inheritRuns(now time.Time, e *entry) {
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
				w := s.worker(now, step[i].On)
				r := s.newRun(now, e, ref, w, step[i].Run, runInherited)
				r.confirmed = step[i].Confirmed == step[i].Run
				r.listed = r.confirmed
				s.noteFormerOrders(r)
			}
		}
	})
}

func (s *Scheduler) newRun(now time.Time, e *entry, ref workload.TaskRef, w *Worker, number int, state runState) *Run {
	r := &Run{
		entry: e, ref: ref, name: workload.TaskName(e.job.ID(), ref), number: number,
		worker: w, state: state, placedAt: now, pace: fullPace,
	}
	r.suspected, r.quarantined, r.quarantineTime = e.suspected(ref), e.quarantines(ref), e.quarantineTime(ref)
	e.runs[ref] = r
	w.addRun(r)
	e.account.addUse(r.step().Need)
	if e.job.Policy().Priority > 0 {
		s.preemptibleRuns++
	}
	return r
}

// worker returns the worker for an incarnation, and creates it if the incarnation is new.
func (s *Scheduler) worker(now time.Time, id pointport.IncarnationID) *Worker {
	w := s.workers[id]
	if w == nil {
		w = &Worker{
			knownSince:      now,
			inc:             pointport.NewIncarnation(id, "", ""),
			runs:            make(map[string]*Run),
			steps:           make(map[stepRef]int),
			lease:           executionLease{inherited: s.tookOverAt.Add(s.predecessorBound(id)), misdirectedUntil: s.misdirectedLeaseEnds[id.Addressee()]},
			startsToRuleOut: s.startsToRuleOut(id),
			zones:           s.zones,
		}
		s.workers[id] = w
	}
	return w
}

// predecessorBound returns how long after the takeover an order of the predecessor to an
// incarnation may keep something running. Where a later incarnation may share the addressee, it can
// take the order and read the extension by its own clock, so the bound then covers MaxHold, the
// longest time for which an instance runs anything without a further order.
func (s *Scheduler) predecessorBound(id pointport.IncarnationID) time.Duration {
	bound := s.settings.PredecessorBound
	if id.SharesAddressee() && s.settings.MaxHold > s.settings.Lease {
		bound += time.Duration(float64(s.settings.MaxHold-s.settings.Lease) * slowClock)
	}
	return bound
}

// Cancel cancels a job on behalf of its customer. It reports whether the job is known.
func (s *Scheduler) Cancel(now time.Time, id string) bool {
	e, ok := s.jobs[id]
	if !ok {
		return false
	}
	if e.job.Cancelled() || e.ended.Ended() {
		return true
	}
	e.job.Cancel()
	s.markDirty(e, true)
	s.stopAll(now, e, "its customer cancelled it")
	s.endJobIfDone(now, e)
	return true
}

// Status returns the stored status of a job: an end that is not stored yet is reported as running.
func (s *Scheduler) Status(id string) (workload.Status, bool) {
	if f, ok := s.endedJobs.get(id); ok {
		return f.status, true
	}
	e, ok := s.jobs[id]
	if !ok {
		return "", false
	}
	if status := e.job.Status(); !status.Ended() {
		return status, true
	}
	return workload.Running, true
}

// CustomerOf returns the name of a job's customer, empty if the job has none. It returns false if
// the job is not known.
func (s *Scheduler) CustomerOf(id string) (string, bool) {
	if f, ok := s.endedJobs.get(id); ok {
		return f.customer, true
	}
	if e, ok := s.jobs[id]; ok {
		return e.job.Customer(), true
	}
	return "", false
}

// Waiting returns how many jobs of a queue have not begun, as far as is known: a job whose tasks were placed
// waits until an instance is seen to have started one, since starts may be refused.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, e := range s.jobs {
		if e.job.Queue() == queue && !e.begun && !e.job.Stopping() {
			n++
		}
	}
	return n
}

// invalidateReady marks the list of a job's ready tasks as outdated and the job as possibly
// waiting.
func (s *Scheduler) invalidateReady(e *entry) {
	e.stale = true
	s.waitingJobs[e] = struct{}{}
}

// markDirty marks a job as changed and to be stored; urgent reports whether something waits for
// that.
func (s *Scheduler) markDirty(e *entry, urgent bool) {
	s.invalidateReady(e)
	s.dirty[e] = s.dirty[e] || urgent
	s.urgent = s.urgent || urgent
}

// endJobIfDone records the end of a job once its status is final and it has no runs left.
func (s *Scheduler) endJobIfDone(now time.Time, e *entry) {
	if e.ended != "" {
		return
	}
	e.job.BeginDue(now.Add(s.settings.Early))
	status := e.job.Status()
	if !status.Ended() || len(e.runs) > 0 || s.holds(e) && e.job.Stopping() {
		return
	}
	e.ended = status
	s.markDirty(e, true)
}

// stopAll orders every run of a job to stop.
func (s *Scheduler) stopAll(now time.Time, e *entry, reason string) {
	for _, r := range e.runs {
		s.stop(now, r, reason)
	}
}

// stop orders a run to stop, or drops it if its start was never sent.
func (s *Scheduler) stop(now time.Time, r *Run, reason string) {
	if r.state == runUnstored || r.state == runSent && !r.startSent {
		s.drop(now, r, reason)
		return
	}
	if r.stopping {
		return
	}
	r.stopping, r.stopAgainAt, r.stopReason = true, now.Add(stopRetryDelay), reason
	if r.worker.inc.Address() != "" {
		s.pendingOrders = append(s.pendingOrders, Order{Kind: OrderStop, Run: r, Worker: r.worker, TaskRun: r.TaskRun()})
	}
}

// drop removes a run that has ended or will never start, and requeues its task.
func (s *Scheduler) drop(now time.Time, r *Run, reason string) {
	detached := r.detached()
	if r.state != runUnstored {
		event.TaskReturned.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
			slog.String("incarnation", string(r.worker.inc.ID())), slog.String("reason", reason),
			slog.Int("unanswered", r.unanswered), slog.Duration("sinceHeard", r.worker.lease.sinceLastAnswer(now)))
	}
	s.removeRun(now, r)
	if t := r.task(); !detached && t != nil && t.Phase == workload.Placed && t.Run == r.number {
		r.entry.job.Requeue(r.ref)
		s.markDirty(r.entry, false)
	}
	if r.uncertainty != nil {
		s.recordEarlierLoss(now, r)
	}
	if detached {
		return
	}
	if r.step().Gang {
		s.stopRestOfGang(now, r, "another member of its gang has ended")
	}
	s.endJobIfDone(now, r.entry)
}

// detach removes a run from its job. The run stays on its worker and keeps its capacity reserved
// there until it is known to have ended.
func (s *Scheduler) detach(r *Run) {
	if r.entry.runs[r.ref] == r {
		delete(r.entry.runs, r.ref)
	}
}

// detached reports whether the run no longer belongs to its job.
func (r *Run) detached() bool { return r.entry.runs[r.ref] != r }

// removeRun removes a run from its job and its worker. It remembers a start that may still be in
// flight.
func (s *Scheduler) removeRun(now time.Time, r *Run) {
	if r.startInFlight() {
		s.rememberStart(now, r.worker, r.TaskRun())
	}
	if r.worker.runs[r.name] == r {
		r.entry.account.removeUse(r.step().Need)
		if r.entry.job.Policy().Priority > 0 {
			s.preemptibleRuns--
		}
	}
	if r.replaced {
		r.entry.replacedRuns[r.ref]--
	}
	r.worker.removeRun(r)
	if r.entry.runs[r.ref] == r {
		delete(r.entry.runs, r.ref)
	}
}

// Workers returns the workers to poll, sorted by incarnation.
func (s *Scheduler) Workers() []*Worker {
	var out []*Worker
	for _, w := range s.workers {
		if w.polled() {
			out = append(out, w)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].inc.ID() < out[k].inc.ID() })
	return out
}

// WorkerCount returns how many incarnations are known.
func (s *Scheduler) WorkerCount() int { return len(s.workers) }
