package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines which tasks an owner may start before their start is stored.
//
// An owner that is proven by peer leases alone cannot store anything. It sends some starts
// nevertheless, and stores them once the store is available again. If it crashes before, its
// successor finds such tasks stored as never started. So the tasks are limited to those for which the
// successor can tell this, and which it holds back until the instances have reported; see hold.go.

// firstRun is the number of a task's first run, the only one that may start unrecorded. A successor
// cannot tell a later unrecorded run from an earlier one whose end is stored.
const firstRun = 1

// An unrecordedStarts is the state of the starts that are sent before they are stored.
type unrecordedStarts struct {
	// peerLeased reports whether the owner is proven by peer leases alone.
	peerLeased bool
	// releasedUnstored is how many of the scheduler's unstoredStarts need not be released any more.
	releasedUnstored int
	// unstored is how many released or adopted runs no stored batch contains yet.
	unstored int
	// assumed holds the jobs with first runs that were assumed at the end of a hold and that no batch
	// contains yet.
	assumed map[*entry]struct{}
	// assumedInBatch is how many such jobs are in a batch that is not stored yet.
	assumedInBatch int
}

// noteAssumed records that a first run of a job was assumed.
func (u *unrecordedStarts) noteAssumed(e *entry) {
	if u.assumed == nil {
		u.assumed = make(map[*entry]struct{})
	}
	u.assumed[e] = struct{}{}
}

// takeAssumed records that a job was taken into a batch, and reports whether the batch stores
// assumed first runs of it.
func (u *unrecordedStarts) takeAssumed(e *entry) bool {
	_, ok := u.assumed[e]
	if ok {
		delete(u.assumed, e)
		u.assumedInBatch++
	}
	return ok
}

// SetPeerLeased sets whether the owner is proven by peer leases alone. While it is, only tasks are
// placed that may start unrecorded, and no run is stopped in favour of another: what would start in
// its place may have to wait for the store.
func (s *Scheduler) SetPeerLeased(peerLeased bool) { s.unrecorded.peerLeased = peerLeased }

// Unrecorded reports whether this owner, or the previous one as far as this owner knows, may have
// started tasks that are stored as never started.
func (s *Scheduler) Unrecorded() bool {
	u := &s.unrecorded
	return u.unstored > 0 || len(u.assumed) > 0 || u.assumedInBatch > 0 || s.hold != nil
}

// startsUnrecorded reports whether the job's tasks in a step are of the kind that may start
// unrecorded. An owner and its successor must agree on this, so it depends only on what is stored
// when the job is accepted.
func startsUnrecorded(j *workload.Job, step *workload.Step) bool {
	return !step.Gang && !step.Service && !step.Copies && !j.Policy().Advised && j.Spec().Recur.Times == 0
}

// mayStartUnrecorded reports whether a task with the given run number may be started before that is
// stored. The job must be stored as begun, because a successor holds back the tasks of such jobs
// only.
func (e *entry) mayStartUnrecorded(step *workload.Step, number int) bool {
	return number == firstRun && e.begunStored && startsUnrecorded(e.job, step)
}

// mayRelease reports whether the start of a run may be sent before it is stored; kept is what is kept of
// the caps of customers. A run that was dropped, with its job or its worker, is not on its worker any more.
func (s *Scheduler) mayRelease(r *Run, kept map[*account]pointport.Shape) bool {
	return r.state == runUnstored && r.worker.runs[r.name] == r &&
		r.entry.mayStartUnrecorded(r.step(), r.number) && r.entry.account.withinCap(kept[r.entry.account])
}

// MayReleaseUnrecorded reports whether ReleaseUnrecorded would release a start.
func (s *Scheduler) MayReleaseUnrecorded(writing *Batch) bool {
	if !s.unrecorded.peerLeased {
		return false
	}
	kept := s.capNeedsOfSuccessor()
	for _, starts := range [][]*Run{writing.starts, s.unstoredStarts} {
		for _, r := range starts {
			if s.mayRelease(r, kept) {
				return true
			}
		}
	}
	return false
}

// ReleaseUnrecorded releases the starts that may be sent before they are stored; writing is the batch
// that is being written, if any. TakeOrders returns the released orders. The caller must have noted
// with its ownership that it sends unrecorded starts.
//
// A released start stays in its batch, or in the list from which the next batch is taken, until it is
// stored.
func (s *Scheduler) ReleaseUnrecorded(writing *Batch, now time.Time) {
	if !s.unrecorded.peerLeased {
		return
	}
	kept := s.capNeedsOfSuccessor()
	for _, r := range writing.starts {
		if s.mayRelease(r, kept) {
			s.release(r, now)
		}
	}
	for _, r := range s.unstoredStarts {
		if s.mayRelease(r, kept) {
			s.release(r, now)
			s.unrecorded.releasedUnstored++
		}
	}
}

// release releases the start of a run before it is stored.
func (s *Scheduler) release(r *Run, now time.Time) {
	r.state, r.unrecorded = runSent, true
	s.unrecorded.unstored++
	s.pendingOrders = append(s.pendingOrders, startOrder(r))
	event.StartUnrecorded.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.Duration("after", now.Sub(r.placedAt)))
}

// noteMovedToBatch records that a run was moved from unstoredStarts to a batch.
func (s *Scheduler) noteMovedToBatch(r *Run) {
	if r.unrecorded {
		s.unrecorded.releasedUnstored--
	}
}

// noteRecorded records that a batch with a run was stored.
func (s *Scheduler) noteRecorded(r *Run) {
	if r.unrecorded {
		r.unrecorded = false
		s.unrecorded.unstored--
	}
}

// unsentStarts returns how many placed tasks wait for their start to be stored.
func (s *Scheduler) unsentStarts() int {
	return len(s.unstoredStarts) - s.unrecorded.releasedUnstored
}

// waitsForStore reports whether a ready task may not be placed because the owner is proven by peer
// leases alone and the task's next run may not start unrecorded.
func (s *Scheduler) waitsForStore(t waitingTask) bool {
	return s.unrecorded.peerLeased && !t.entry.mayStartUnrecorded(t.step, t.entry.job.Task(t.ref).Run+1)
}

// mayPlace reports whether a ready task may be placed as far as unrecorded starts are concerned: its
// own while the owner is proven by peer leases alone, or those of the previous owner.
func (s *Scheduler) mayPlace(t waitingTask) bool {
	if s.waitsForStore(t) {
		return false
	}
	return !s.heldBack(t.entry, t.ref) && !s.awaitsUsage(t)
}
