package schedule

import (
	"slices"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file defines how the cap of a customer is kept for its displaced tasks, so that neither its other
// tasks nor other pools use what these need to start again.

// capNeedsOfDisplaced returns what the displaced tasks that wait need of the caps of their customers, and
// what the members of a gang need that have ended while others are being stopped. It leaves out a task or
// gang that needs more than its customer may use in the pool at all, which would hold back all others for
// as long as that is so. While starts may be unrecorded, it leaves out none.
func (s *Scheduler) capNeedsOfDisplaced() map[*account]pointport.Shape {
	if s.unrecorded.peerLeased || s.unrecorded.unstored > 0 {
		return s.capNeedsOfSuccessor()
	}
	return s.capNeedsOfAbsent((*entry).startsAgain)
}

// capNeedsOfSuccessor returns what the serving tasks that have run before and have no run now need of the
// caps of their customers. A successor may start all of them while it does not know the unrecorded runs;
// see awaitsUsage. That includes tasks that were cancelled, have failed or were given up, as long as this
// may not be stored.
func (s *Scheduler) capNeedsOfSuccessor() map[*account]pointport.Shape {
	return s.capNeedsOfAbsent(func(*entry, *workload.Step, []workload.Task, int) bool { return true })
}

// capNeedsOfAbsent returns what some serving tasks that have run before and have no run now need of the
// caps of their customers: those for which counts returns true, which gets the job, the step, its tasks and
// the index of the task.
func (s *Scheduler) capNeedsOfAbsent(counts func(*entry, *workload.Step, []workload.Task, int) bool) map[*account]pointport.Shape {
	needs := make(map[*account]pointport.Shape)
	for e := range s.serving {
		if e.account == nil || !e.account.capped {
			continue
		}
		e.visitStarted(func(ref workload.TaskRef, step *workload.Step, tasks []workload.Task) {
			if counts(e, step, tasks, ref.Index) && e.runs[ref] == nil {
				needs[e.account] = needs[e.account].Plus(step.Need)
			}
		})
	}
	return needs
}

// visitStarted calls visit for each of the job's serving tasks that have run before, with the tasks of its
// step.
func (e *entry) visitStarted(visit func(ref workload.TaskRef, step *workload.Step, tasks []workload.Task)) {
	e.job.Occurrences(func(o *workload.Occurrence) {
		for n, tasks := range o.Steps {
			step := &e.job.Spec().Steps[n]
			if !step.Service {
				continue
			}
			for i := range tasks {
				if tasks[i].Run > 0 {
					visit(workload.TaskRef{Occurrence: o.Index, Step: n, Index: i}, step, tasks)
				}
			}
		}
	})
}

// startsAgain reports whether a task without a run starts again, as far as its customer may use enough of
// the cap in the pool for it or its gang.
func (e *entry) startsAgain(step *workload.Step, tasks []workload.Task, index int) bool {
	if e.ended != "" || e.job.Stopping() || tasks[index].Phase != workload.Pending {
		return false
	}
	if !step.Gang {
		return e.account.allowed.Fits(step.Need)
	}
	givenUp := slices.ContainsFunc(tasks, func(t workload.Task) bool { return t.Phase == workload.GivenUp })
	return !givenUp && e.account.allowed.Fits(step.Need.Times(len(tasks)))
}

// withinCap reports whether the cap of a customer allows a group of tasks that are placed together,
// beside what displaced tasks of the customer need that wait. Otherwise smaller tasks of the customer
// would use up its cap while a displaced one waits.
func (p *placement) withinCap(group []waitingTask) bool {
	a, need := group[0].entry.account, group[0].step.Need.Times(len(group))
	if !group[0].displaced() {
		need = need.Plus(p.heldForDisplaced[a])
	}
	return a.withinCap(need)
}

// releaseCap records that displaced tasks which are placed together wait no more.
func (p *placement) releaseCap(group []waitingTask) {
	a := group[0].entry.account
	if held, ok := p.heldForDisplaced[a]; ok {
		p.heldForDisplaced[a] = held.Minus(group[0].step.Need.Times(len(group)))
		a.displaced = p.heldForDisplaced[a]
	}
}
