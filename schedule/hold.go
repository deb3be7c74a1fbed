package schedule

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines which tasks an owner holds back because the previous owner may have started them
// without recording it.

// registrationSettleTime is for how long the registrations must be readable until instances whose entries
// expired while the store was unavailable are registered again.
const registrationSettleTime = 2 * time.Second

// A hold keeps tasks from starting until every instance that may have a run of them has reported, or
// everything that ran there has certainly ended.
type hold struct {
	// jobs holds the jobs that were stored as begun at the takeover and have tasks that the previous
	// owner may have started.
	jobs map[*entry]struct{}
	// tasks is how many such tasks are not adopted yet.
	tasks int
	// customers holds the customers of these jobs.
	customers map[*account]struct{}
	// usageKnown reports whether everything that these customers use of the pool is known.
	usageKnown bool
	// logged reports whether the beginning of the hold was logged.
	logged bool
}

// newHold returns the hold of a new owner, nil if the previous one has recorded all starts.
func newHold(predecessorUnrecorded bool) *hold {
	if !predecessorUnrecorded {
		return nil
	}
	return &hold{jobs: make(map[*entry]struct{}), customers: make(map[*account]struct{})}
}

// addToHold adds a job that was read at the takeover to the hold, if the previous owner may have
// started tasks of it unrecorded.
func (s *Scheduler) addToHold(e *entry) {
	if s.hold == nil || !e.begunStored {
		return
	}
	s.hold.jobs[e] = struct{}{}
	tasks := len(s.heldTasks(e))
	if tasks == 0 {
		delete(s.hold.jobs, e)
		return
	}
	s.hold.tasks += tasks
	if e.account != nil {
		s.hold.customers[e.account] = struct{}{}
	}
}

// heldBack reports whether a task is held back.
func (s *Scheduler) heldBack(e *entry, ref workload.TaskRef) bool {
	if !s.holds(e) {
		return false
	}
	t := e.job.Task(ref)
	return t != nil && t.Phase == workload.Pending && t.Run == 0 && startsUnrecorded(e.job, &e.job.Spec().Steps[ref.Step])
}

// holds reports whether the previous owner may have unrecorded runs of a job.
func (s *Scheduler) holds(e *entry) bool {
	if s.hold == nil {
		return false
	}
	_, ok := s.hold.jobs[e]
	return ok
}

// heldTasks returns the tasks of a job that are held back.
func (s *Scheduler) heldTasks(e *entry) []workload.TaskRef {
	if !s.holds(e) {
		return nil
	}
	var out []workload.TaskRef
	e.job.Occurrences(func(o *workload.Occurrence) {
		for n, step := range o.Steps {
			for i := range step {
				ref := workload.TaskRef{Occurrence: o.Index, Step: n, Index: i}
				if s.heldBack(e, ref) {
					out = append(out, ref)
				}
			}
		}
	})
	return out
}

// usageUnknown reports whether a customer with a cap may have unrecorded runs, with which other tasks of
// the customer could exceed the cap.
func (s *Scheduler) usageUnknown(a *account) bool {
	if s.UsageKnown() || a == nil || !a.capped {
		return false
	}
	_, ok := s.hold.customers[a]
	return ok
}

// awaitsUsage reports whether a task may exceed the cap of its customer with unrecorded runs that are not
// known yet. A displaced task cannot: the previous owner has kept what it needs of the cap from all tasks
// that it started unrecorded; see capNeedsOfSuccessor.
func (s *Scheduler) awaitsUsage(t waitingTask) bool {
	return !t.displaced() && s.usageUnknown(t.entry.account)
}

// HoldsBack reports whether tasks are held back because the previous owner may have started them.
func (s *Scheduler) HoldsBack() bool { return s.hold != nil }

// UsageKnown reports whether everything that customers use of the pool is known: no unrecorded run of
// the previous owner can still go on anywhere unknown to this owner. That may be so before the hold
// ends, which waits to learn how such runs have ended.
func (s *Scheduler) UsageKnown() bool { return s.hold == nil || s.hold.usageKnown }

// UsageStored reports whether a successor would know everything that customers use of the pool: this
// owner knows it, and no run is unrecorded.
func (s *Scheduler) UsageStored() bool { return s.UsageKnown() && s.unrecorded.unstored == 0 }

// awaitsReport reports whether a worker may have unrecorded runs of which this owner does not know.
// Nothing is placed there, because its free capacity is not known.
func (s *Scheduler) awaitsReport(w *Worker) bool { return s.hold != nil && !w.fullyReported }

// unreportedWorkers returns the incarnations that have not reported yet and are not known to have
// ended, sorted. An incarnation that is gone is not among the workers any more, unless late starts
// there must still be ruled out: one that is not registered counts only until everything on it has
// certainly ended.
func (s *Scheduler) unreportedWorkers(now time.Time) []pointport.IncarnationID {
	var out []pointport.IncarnationID
	for id, w := range s.workers {
		if !w.ended && !w.fullyReported && (w.listed || !now.After(s.executionExpiry(w))) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// unreportedHaveExpired reports whether everything has certainly ended on all incarnations that have
// not reported. One that answers without a complete list of ends runs on.
func (s *Scheduler) unreportedHaveExpired(now time.Time) bool {
	for _, id := range s.unreportedWorkers(now) {
		if w := s.workers[id]; !w.silent || !now.After(s.executionExpiry(w)) {
			return false
		}
	}
	return true
}

// registrationsComplete reports whether the registrations have been readable for so long since the
// takeover that every instance that can reach the store is registered.
func (s *Scheduler) registrationsComplete() bool {
	since := s.registryCoverage.Since
	if since.IsZero() {
		return false
	}
	return s.registryCoverage.Until.Sub(laterTime(since, s.tookOverAt)) >= registrationSettleTime
}

// unregisteredExpired reports whether everything has ended that the previous owner has started on
// instances that are not registered. An instance that is cut off from the store, but not from the
// members, runs on unseen until its execution lease expires.
func (s *Scheduler) unregisteredExpired(now time.Time) bool {
	bound := s.settings.PredecessorBound
	for id := range s.workers {
		bound = max(bound, s.predecessorBound(id))
	}
	return now.After(s.tookOverAt.Add(bound))
}

// reviewHold ends the hold once no unrecorded run of the previous owner can be unknown.
func (s *Scheduler) reviewHold(now time.Time) {
	h := s.hold
	if h == nil {
		return
	}
	if h.tasks == 0 {
		s.endHold(now)
		return
	}
	if !h.logged {
		h.logged = true
		s.logHold(now, true)
	}
	known := s.registrationsComplete() && s.unregisteredExpired(now)
	h.usageKnown = known && s.unreportedHaveExpired(now)
	if known && len(s.unreportedWorkers(now)) == 0 {
		s.endHold(now)
	}
}

// endHold releases the tasks that are held back. Their first run may have ended without leaving a
// trace, so their next start has number 2. That is stored, because a later owner that is not told of
// unrecorded starts would otherwise start run 1 again.
func (s *Scheduler) endHold(now time.Time) {
	h := s.hold
	if h.logged {
		s.logHold(now, false)
	}
	for e := range h.jobs {
		for _, ref := range s.heldTasks(e) {
			e.job.AssumeStarted(ref)
			s.unrecorded.noteAssumed(e)
			s.markDirty(e, false)
		}
	}
	s.hold = nil
	for e := range h.jobs {
		s.invalidateReady(e)
		s.endJobIfDone(now, e)
	}
}

func (s *Scheduler) logHold(now time.Time, begins bool) {
	event.TasksHeldBack.Log(s.logger, slog.Bool("begins", begins), slog.Int("tasks", s.hold.tasks),
		slog.Int("instances", len(s.unreportedWorkers(now))), slog.Duration("after", now.Sub(s.tookOverAt)))
}

// adopt makes a run the run of its task if the previous owner may have started it unrecorded: it is
// the first run of a task that is held back. It returns nil if the run is not adopted.
func (s *Scheduler) adopt(w *Worker, now time.Time, run pointport.TaskRun) *Run {
	if s.hold == nil || run.Run != firstRun {
		return nil
	}
	id, ref, err := workload.ParseTaskName(run.Task)
	e := s.jobs[id]
	if err != nil || e == nil || workload.TaskName(id, ref) != run.Task {
		return nil
	}
	if e.ended != "" || e.job.Stopping() || !s.heldBack(e, ref) {
		return nil
	}
	s.hold.tasks--
	e.job.Place(ref, w.inc.ID(), run.Run)
	r := s.newRun(now, e, ref, w, run.Run, runInherited)
	r.unrecorded = true
	s.unrecorded.unstored++
	s.unrecorded.releasedUnstored++
	s.unstoredStarts = append(s.unstoredStarts, r)
	s.markDirty(e, true)
	event.RunAdopted.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(w.inc.ID())), slog.Duration("after", now.Sub(s.tookOverAt)))
	return r
}

// explainHold returns why ready tasks of the step of t are not placed if unrecorded starts are the
// reason, otherwise the empty string; tasks is their number.
func (s *Scheduler) explainHold(now time.Time, t waitingTask, tasks int) string {
	held := 0
	for _, ref := range s.heldTasks(t.entry) {
		if ref.Occurrence == t.ref.Occurrence && ref.Step == t.ref.Step {
			held++
		}
	}
	switch {
	case held > 0:
		return fmt.Sprintf("%d tasks are held back: the previous owner may have started them%s", held, s.explainUnreported(now))
	case s.awaitsUsage(t):
		return fmt.Sprintf("%d tasks are held back: the previous owner may have started others of %s, which has a cap%s", tasks, t.entry.account.name, s.explainUnreported(now))
	case s.waitsForStore(t):
		return fmt.Sprintf("%d tasks wait for the store, which is unavailable: they may not start before that is stored", tasks)
	}
	return ""
}

// explainUnreported returns what the hold waits for, as text.
func (s *Scheduler) explainUnreported(now time.Time) string {
	const most = 5 // keeps the text short in a large pool
	ids := s.unreportedWorkers(now)
	if len(ids) == 0 {
		return "; instances that are not registered may still run them"
	}
	names := make([]string, 0, most)
	for _, id := range ids[:min(len(ids), most)] {
		names = append(names, string(id))
	}
	if len(ids) > most {
		names = append(names, "...")
	}
	return fmt.Sprintf("; %d instances have not reported: %s", len(ids), strings.Join(names, ", "))
}
