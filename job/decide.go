package job

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
)

// This file defines the decision about jobs.

const (
	// setAside is on how many instances a job may fail before it is set aside.
	setAside = 3
	// maxSteps bounds the steps of one change, so that its stored value stays far
	// below what the store takes.
	maxSteps = 500
	// keepEnded is how long an ended job is remembered.
	keepEnded = 24 * time.Hour
	// DefaultLease is how long a task may run after its instance was cut off.
	DefaultLease = time.Minute
	// lostAfter is how long a task may be unknown to the platform, beyond its
	// run time and lease, before it counts as lost.
	lostAfter = 5 * time.Minute
)

// An Input is everything that a decision looks at.
type Input struct {
	Now     time.Time
	State   *State
	Members []assign.Member
	// Services gives the service of each pool.
	Services map[string]string
	// Tasks is what the instances say of their tasks.
	Tasks []pointport.Task
	// Quotas bounds what a customer's jobs use at once, in thousandths of a
	// processor.
	Quotas map[string]int64
	// Evacuated says that the availability zone is to be left empty, so that no job starts.
	Evacuated bool
}

type decision struct {
	in    *Input
	jobs  map[string]Job
	steps []Step
	at    map[string]int
	tasks map[pointport.TaskID]pointport.Task
	free  map[pointport.InstanceID]pointport.Shape
	used  map[string]int64 // by customer
	ids   []string
	// inService lists the members that serve each service.
	inService map[string][]assign.Member
	// full lists, for each service, needs that found no room. Room only shrinks
	// while a decision is made, so whoever needs as much finds none either.
	full map[string][]fullNeed
}

// A fullNeed is a need that found no room.
type fullNeed struct {
	need pointport.Shape
	fits int // how many instances are large enough
}

// Decide returns the steps to take next.
func Decide(in Input) []Step {
	d := &decision{
		in: &in, jobs: make(map[string]Job), at: make(map[string]int),
		tasks:     make(map[pointport.TaskID]pointport.Task),
		free:      make(map[pointport.InstanceID]pointport.Shape),
		used:      make(map[string]int64),
		inService: make(map[string][]assign.Member),
		full:      make(map[string][]fullNeed),
	}
	for _, t := range in.Tasks {
		d.tasks[t.ID] = t
	}
	for _, j := range in.State.Jobs() {
		d.jobs[j.ID] = j
		d.ids = append(d.ids, j.ID)
	}
	d.follow()
	d.count()
	d.place()
	return d.steps
}

func (d *decision) set(j Job) {
	d.jobs[j.ID] = j
	if n, ok := d.at[j.ID]; ok {
		d.steps[n].After = &j
		return
	}
	d.at[j.ID] = len(d.steps)
	d.steps = append(d.steps, Step{Job: j.ID, After: &j})
}

// isFull reports whether the decision has as many steps as one change may hold.
// What is left is decided next time.
func (d *decision) isFull() bool { return len(d.steps) >= maxSteps }

// follow moves each job on by what its instance says.
func (d *decision) follow() {
	for _, id := range d.ids {
		if d.isFull() {
			return
		}
		j := d.jobs[id]
		switch {
		case j.Phase.Ended():
			if d.in.Now.Sub(j.Ended) >= keepEnded {
				d.steps = append(d.steps, Step{Job: id})
				delete(d.jobs, id)
			}
		case j.Phase == Waiting && j.Cancel:
			d.end(j, Cancelled, "cancelled before it ran")
		case j.Phase == Running || j.Phase == Stopping:
			d.followTask(j)
		}
	}
}

func (d *decision) end(j Job, p Phase, reason string) {
	j.Phase, j.Ended, j.Reason = p, d.in.Now, reason
	d.set(j)
}

func (d *decision) followTask(j Job) {
	t, known := d.tasks[j.Task]
	if !known {
		d.followLost(j)
		return
	}
	switch t.State {
	case pointport.TaskRunning:
		if j.Cancel && j.Phase == Running {
			j.Phase, j.Reason = Stopping, "its customer cancelled it"
			d.set(j)
		}
	case pointport.TaskDone:
		j.Result = t.Result
		d.end(j, Done, "ran on "+string(j.Instance))
	case pointport.TaskStopped:
		d.end(j, Cancelled, "stopped on "+string(j.Instance)+"; it may have run in part")
	case pointport.TaskFailed:
		d.failed(j, t)
	}
}

// followLost handles a task that the platform does not know, or not yet.
func (d *decision) followLost(j Job) {
	if d.in.Now.Sub(j.Started) < 2*j.Runtime+DefaultLease+lostAfter {
		return
	}
	if j.Billed {
		d.end(j, Lost, fmt.Sprintf("instance %s went away with it; it is billed and may have run, so it is not tried again", j.Instance))
		return
	}
	d.retry(j, fmt.Sprintf("instance %s went away with it", j.Instance))
}

func (d *decision) failed(j Job, t pointport.Task) {
	if j.Billed {
		d.end(j, Failed, fmt.Sprintf("failed on %s: %s; it is billed and not tried again", j.Instance, t.Result))
		return
	}
	d.retry(j, fmt.Sprintf("failed on %s: %s", j.Instance, t.Result))
}

// retry puts a job back to wait, unless it has failed too often.
func (d *decision) retry(j Job, reason string) {
	j.Tried = append(slices.Clone(j.Tried), j.Instance)
	if len(j.Tried) >= setAside {
		d.end(j, Failed, fmt.Sprintf("set aside after %d instances: %s", len(j.Tried), reason))
		return
	}
	j.Phase, j.Instance, j.Task, j.Reason = Waiting, "", "", reason
	d.set(j)
}

// count works out what is free on each instance and used by each customer.
func (d *decision) count() {
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

// place gives waiting jobs to instances, urgent ones first.
func (d *decision) place() {
	var waiting []Job
	for _, id := range d.ids {
		if j, ok := d.jobs[id]; ok && j.Phase == Waiting {
			waiting = append(waiting, j)
		}
	}
	sort.SliceStable(waiting, func(a, b int) bool { return waiting[a].Priority.Rank() < waiting[b].Priority.Rank() })
	for _, j := range waiting {
		if d.isFull() {
			return
		}
		if d.in.Evacuated {
			d.wait(j, "its availability zone is evacuated")
			continue
		}
		d.placeOne(j)
	}
}

func (d *decision) placeOne(j Job) {
	if q := d.in.Quotas[j.Customer]; q > 0 && d.used[j.Customer]+j.Need.CPUMilli > q {
		// What is used now is left out: a reason that changed with it would be
		// written again and again.
		d.wait(j, fmt.Sprintf("customer %s has too little left of its quota of %d thousandths of a processor", j.Customer, q))
		return
	}
	best, fits := d.bestFit(j)
	if best == "" {
		d.wait(j, noRoom(j, fits))
		return
	}
	d.free[best] = d.free[best].Minus(j.Need)
	d.used[j.Customer] += j.Need.CPUMilli
	j.Phase, j.Instance, j.Started = Running, best, d.in.Now
	j.Task = pointport.TaskID(fmt.Sprintf("%s.%d", j.ID, len(j.Tried)))
	j.Reason = fmt.Sprintf("given to %s", best)
	d.set(j)
}

func noRoom(j Job, fits int) string {
	if fits == 0 {
		return fmt.Sprintf("no instance of service %s is large enough for it", j.Service)
	}
	return fmt.Sprintf("%d instances of service %s are large enough; none has room now", fits, j.Service)
}

// wait records what a job waits for, if that has changed.
func (d *decision) wait(j Job, reason string) {
	if j.Reason != reason {
		j.Reason = reason
		d.set(j)
	}
}

// bestFit returns the instance that the job fills best, and how many are large
// enough for it when they are empty.
func (d *decision) bestFit(j Job) (pointport.InstanceID, int) {
	if f, known := d.knownFull(j); known {
		return "", f.fits
	}
	var best pointport.InstanceID
	fits := 0
	for _, m := range d.inService[j.Service] {
		if !m.Shape.Fits(j.Need) {
			continue
		}
		fits++
		if slices.Contains(j.Tried, m.ID) || !d.free[m.ID].Fits(j.Need) {
			continue
		}
		if best == "" || d.free[m.ID].CPUMilli < d.free[best].CPUMilli {
			best = m.ID
		}
	}
	if best == "" && len(j.Tried) == 0 {
		d.full[j.Service] = append(d.full[j.Service], fullNeed{j.Need, fits})
	}
	return best, fits
}

// knownFull reports whether a need that was no larger found no room before.
func (d *decision) knownFull(j Job) (fullNeed, bool) {
	for _, f := range d.full[j.Service] {
		if j.Need == f.need {
			return f, true
		}
	}
	return fullNeed{}, false
}
