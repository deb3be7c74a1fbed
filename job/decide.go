package job

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
)

// This file defines how the next steps of a zone's jobs are decided.

const (
	// maxFailedInstances is the number of instances on which a job may fail. At
	// that number it ends as failed.
	maxFailedInstances = 3
	// maxSteps limits the steps of one change, so that its encoded size stays far
	// below the store's limit on a value.
	maxSteps = 500
	// endedRetention is how long an ended job is kept in the state.
	endedRetention = 24 * time.Hour
	// DefaultLease is how long a task may keep running after its instance was cut
	// off from the platform.
	DefaultLease = time.Minute
	// lostTimeout is how long a task may be unknown to the platform, beyond twice
	// its run time and its lease, before it counts as lost.
	lostTimeout = 5 * time.Minute
)

// An Input is everything that a decision depends on.
type Input struct {
	Now     time.Time
	State   *State
	Members []assign.Member
	// Services maps each pool to its service.
	Services map[string]string
	// Tasks are the tasks that the instances report.
	Tasks []pointport.Task
	// Quotas limits the CPU that each customer's jobs use at a time, in
	// thousandths of a core. A missing or zero quota is no limit.
	Quotas map[string]int64
	// Evacuated means that the availability zone is being evacuated, so no job
	// starts.
	Evacuated bool
}

type decision struct {
	in        *Input
	jobs      map[string]Job
	steps     []Step
	stepIndex map[string]int // by job
	tasks     map[pointport.TaskID]pointport.Task
	free      map[pointport.InstanceID]pointport.Shape
	used      map[string]int64 // by customer
	jobIDs    []string
	// inService lists the members that serve each service.
	inService map[string][]assign.Member
	// unplaceable lists, for each service, needs for which no instance had free
	// capacity. Free capacity only shrinks during placement, so another job with
	// the same need cannot be placed either.
	unplaceable map[string][]unplaceableNeed
}

// An unplaceableNeed is a need for which no instance had free capacity.
type unplaceableNeed struct {
	need        pointport.Shape
	largeEnough int // number of instances that could hold it when empty
}

// Decide returns the next steps, at most maxSteps of them. Further steps may
// follow from the next call, after these have been applied.
func Decide(in Input) []Step {
	d := &decision{
		in: &in, jobs: make(map[string]Job), stepIndex: make(map[string]int),
		tasks:       make(map[pointport.TaskID]pointport.Task),
		free:        make(map[pointport.InstanceID]pointport.Shape),
		used:        make(map[string]int64),
		inService:   make(map[string][]assign.Member),
		unplaceable: make(map[string][]unplaceableNeed),
	}
	for _, t := range in.Tasks {
		d.tasks[t.ID] = t
	}
	for _, j := range in.State.Jobs() {
		d.jobs[j.ID] = j
		d.jobIDs = append(d.jobIDs, j.ID)
	}
	d.updateFromTasks()
	d.countUsage()
	d.placeWaiting()
	return d.steps
}

// addStep replaces a job, in the step that it already has if there is one.
func (d *decision) addStep(j Job) {
	d.jobs[j.ID] = j
	if n, ok := d.stepIndex[j.ID]; ok {
		d.steps[n].After = &j
		return
	}
	d.stepIndex[j.ID] = len(d.steps)
	d.steps = append(d.steps, Step{Job: j.ID, After: &j})
}

// atStepLimit reports whether the decision has as many steps as one change may
// hold. The remaining jobs are handled by the next decision.
func (d *decision) atStepLimit() bool { return len(d.steps) >= maxSteps }

// updateFromTasks updates jobs that have started from the state of their tasks,
// ends cancelled jobs that wait, and removes jobs that ended long ago.
func (d *decision) updateFromTasks() {
	for _, id := range d.jobIDs {
		if d.atStepLimit() {
			return
		}
		j := d.jobs[id]
		switch {
		case j.Phase.Ended():
			if d.in.Now.Sub(j.Ended) >= endedRetention {
				d.steps = append(d.steps, Step{Job: id})
				delete(d.jobs, id)
			}
		case j.Phase == Waiting && j.Cancel:
			d.endJob(j, Cancelled, "cancelled before it ran")
		case j.Phase == Running || j.Phase == Stopping:
			d.updateFromTask(j)
		}
	}
}

func (d *decision) endJob(j Job, p Phase, reason string) {
	j.Phase, j.Ended, j.Reason = p, d.in.Now, reason
	d.addStep(j)
}

func (d *decision) updateFromTask(j Job) {
	t, known := d.tasks[j.Task]
	if !known {
		d.handleMissingTask(j)
		return
	}
	switch t.State {
	case pointport.TaskRunning:
		if j.Cancel && j.Phase == Running {
			j.Phase, j.Reason = Stopping, "its customer cancelled it"
			d.addStep(j)
		}
	case pointport.TaskDone:
		j.Result = t.Result
		d.endJob(j, Done, "ran on "+string(j.Instance))
	case pointport.TaskStopped:
		d.endJob(j, Cancelled, "stopped on "+string(j.Instance)+"; it may have run in part")
	case pointport.TaskFailed:
		d.handleFailure(j, t)
	}
}

// handleMissingTask handles a job whose task the platform does not know, or does
// not know yet.
func (d *decision) handleMissingTask(j Job) {
	if d.in.Now.Sub(j.Started) < 2*j.Runtime+DefaultLease+lostTimeout {
		return
	}
	if j.Billed {
		d.endJob(j, Lost, fmt.Sprintf("instance %s went away with it; it is billed and may have run, so it is not tried again", j.Instance))
		return
	}
	d.retry(j, fmt.Sprintf("instance %s went away with it", j.Instance))
}

func (d *decision) handleFailure(j Job, t pointport.Task) {
	if j.Billed {
		d.endJob(j, Failed, fmt.Sprintf("failed on %s: %s; it is billed and not tried again", j.Instance, t.Result))
		return
	}
	d.retry(j, fmt.Sprintf("failed on %s: %s", j.Instance, t.Result))
}

// retry lets a job wait for another instance. After maxFailedInstances instances
// it ends the job as failed.
func (d *decision) retry(j Job, reason string) {
	j.Tried = append(slices.Clone(j.Tried), j.Instance)
	if len(j.Tried) >= maxFailedInstances {
		d.endJob(j, Failed, fmt.Sprintf("set aside after %d instances: %s", len(j.Tried), reason))
		return
	}
	j.Phase, j.Instance, j.Task, j.Reason = Waiting, "", "", reason
	d.addStep(j)
}

// countUsage computes the free capacity of each instance and the usage of each
// customer.
func (d *decision) countUsage() {
	for _, m := range d.in.Members {
		if m.Phase == assign.Serving {
			d.free[m.ID] = m.Shape
			service := d.in.Services[m.Pool]
			d.inService[service] = append(d.inService[service], m)
		}
	}
	for _, j := range d.jobs {
		if j.Phase != Running && j.Phase != Stopping {
			continue
		}
		d.used[j.Customer] += j.Need.CPUMilli
		if free, ok := d.free[j.Instance]; ok {
			d.free[j.Instance] = free.Minus(j.Need)
		}
	}
}

// placeWaiting assigns waiting jobs to instances, urgent jobs first.
func (d *decision) placeWaiting() {
	var waiting []Job
	for _, id := range d.jobIDs {
		if j, ok := d.jobs[id]; ok && j.Phase == Waiting {
			waiting = append(waiting, j)
		}
	}
	sort.SliceStable(waiting, func(a, b int) bool { return waiting[a].Priority.Rank() < waiting[b].Priority.Rank() })
	for _, j := range waiting {
		if d.atStepLimit() {
			return
		}
		if d.in.Evacuated {
			d.setWaitReason(j, "its availability zone is evacuated")
			continue
		}
		d.placeOne(j)
	}
}

func (d *decision) placeOne(j Job) {
	if q := d.in.Quotas[j.Customer]; q > 0 && d.used[j.Customer]+j.Need.CPUMilli > q {
		// The reason omits the current usage: each change of the usage would change
		// the reason, which would then be stored again.
		d.setWaitReason(j, fmt.Sprintf("customer %s has too little left of its quota of %d thousandths of a processor", j.Customer, q))
		return
	}
	best, largeEnough := d.bestFit(j)
	if best == "" {
		d.setWaitReason(j, noCapacityReason(j, largeEnough))
		return
	}
	d.free[best] = d.free[best].Minus(j.Need)
	d.used[j.Customer] += j.Need.CPUMilli
	j.Phase, j.Instance, j.Started = Running, best, d.in.Now
	j.Task = pointport.TaskID(fmt.Sprintf("%s.%d", j.ID, len(j.Tried)))
	j.Reason = fmt.Sprintf("given to %s", best)
	d.addStep(j)
}

func noCapacityReason(j Job, largeEnough int) string {
	if largeEnough == 0 {
		return fmt.Sprintf("no instance of service %s is large enough for it", j.Service)
	}
	return fmt.Sprintf("%d instances of service %s are large enough; none has room now", largeEnough, j.Service)
}

// setWaitReason records what a job waits for. It adds no step if the reason is
// unchanged.
func (d *decision) setWaitReason(j Job, reason string) {
	if j.Reason != reason {
		j.Reason = reason
		d.addStep(j)
	}
}

// bestFit returns the instance with the least free CPU among those that can hold
// the job now, empty if there is none, and the number of instances that could
// hold it when empty.
func (d *decision) bestFit(j Job) (pointport.InstanceID, int) {
	if f, known := d.knownUnplaceable(j); known {
		return "", f.largeEnough
	}
	var best pointport.InstanceID
	largeEnough := 0
	for _, m := range d.inService[j.Service] {
		if !m.Shape.Fits(j.Need) {
			continue
		}
		largeEnough++
		if slices.Contains(j.Tried, m.ID) || !d.free[m.ID].Fits(j.Need) {
			continue
		}
		if best == "" || d.free[m.ID].CPUMilli < d.free[best].CPUMilli {
			best = m.ID
		}
	}
	if best == "" && len(j.Tried) == 0 {
		d.unplaceable[j.Service] = append(d.unplaceable[j.Service], unplaceableNeed{j.Need, largeEnough})
	}
	return best, largeEnough
}

// knownUnplaceable reports whether a job with the same need could not be placed
// earlier in this decision.
func (d *decision) knownUnplaceable(j Job) (unplaceableNeed, bool) {
	for _, f := range d.unplaceable[j.Service] {
		if j.Need == f.need {
			return f, true
		}
	}
	return unplaceableNeed{}, false
}
