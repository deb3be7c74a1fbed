package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file defines the customers: the jobs that they hand in and what they are
// told.

// An outcome is what a customer was told of a submission.
type outcome int

const (
	accepted outcome = iota
	refused          // by every entry that was asked
	ambiguous
)

// A submission is a job and what its customer knows of it.
type submission struct {
	id              string
	customer        string // the name of whose it is
	queue           *workload.Queue
	spec            *workload.Spec
	crashes         bool // its first task crashes the instance that starts it
	outcome         outcome
	cancelRequested bool // its customer has asked to cancel it
	cancelled       bool // and was told that it is cancelled
	// completedSeenAt is when the customer was first told that the job is completed.
	completedSeenAt time.Time
}

// Jobs is what customers have handed in. It is safe for concurrent use.
type jobs struct {
	mu      sync.Mutex
	byJobID map[string]*submission
}

func (j *jobs) add(t *submission) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byJobID[t.id] = t
}

func (j *jobs) update(change func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change()
}

// all returns the tickets.
func (j *jobs) all() []*submission {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]*submission, 0, len(j.byJobID))
	for _, t := range j.byJobID {
		out = append(out, t)
	}
	return out
}

// workOf tells the fleet what a task does.
func (j *jobs) workOf(o pointport.StartOrder) testbed.Work {
	id, ref, err := workload.ParseTaskName(o.Task)
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.byJobID[id]
	if err != nil || t == nil {
		return testbed.Work{}
	}
	step := &t.spec.Steps[ref.Step]
	w := testbed.Work{Reservation: step.Reservation(), Duration: step.Estimate, Service: step.Service}
	w.Crashes = t.crashes && ref == workload.TaskRef{}
	for _, a := range step.After {
		for i := range t.spec.Steps[a].Count {
			w.After = append(w.After, workload.TaskName(id, workload.TaskRef{Step: a, Index: i}))
		}
	}
	return w
}

// drawSpec draws a job.
func drawSpec(r *rand.Rand) *workload.Spec {
	s := &workload.Spec{Payload: "soak"}
	if r.IntN(10) == 0 {
		s.Steps = []workload.Step{{Count: 1 + r.IntN(3), Need: pointport.Shape{CPUMilli: 300, MemoryMiB: 64}, Service: true, MaxPerInstance: 1, MayMiss: 1}}
		return s
	}
	for n := range 1 + r.IntN(3) {
		step := workload.Step{
			Count: 1 + r.IntN(5), Need: pointport.Shape{CPUMilli: 100 + r.Int64N(900), MemoryMiB: 64},
			Estimate: time.Duration(50+r.IntN(900)) * time.Millisecond,
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s
}

// crashEvery is one in how many jobs has a task that crashes its instance, where the fleet
// does odd things. With more, a fleet of eight would hardly stand.
const crashEvery = 30

// crashesInstance reports whether the first task of a job crashes its instance, which hangs on the
// job's name alone.
func (s *soak) crashesInstance(t *submission) bool {
	last := t.id[len(t.id)-4:]
	n, err := strconv.ParseUint(last, 16, 64)
	return s.fleetFaults && err == nil && n%crashEvery == 0 && !t.spec.RunsUntilCancelled()
}

// answerTimeout is how long customers wait for an answer.
const answerTimeout = 3 * time.Second

// A customer hands jobs in, one after the other, over connections that it keeps.
type customer struct {
	name    string
	soak    *soak
	random  *rand.Rand
	clients map[*entry]*platform.Client
}

// submitAttempts is how often a customer asks for one thing.
const submitAttempts = 4

// submit hands a job in, at further entries if it must.
func (c *customer) submit(ctx context.Context, t *submission) {
	t.outcome = ambiguous
	c.soak.jobs.add(t)
	sure := true
	for range submitAttempts {
		e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
		from := time.Now()
		err := c.clients[e].Submit(ctx, t.queue, t.id, t.spec)
		var no *intake.RefusedError
		switch {
		case err == nil:
			c.soak.jobs.update(func() { t.outcome = accepted })
			return
		case errors.As(err, &no):
			time.Sleep(min(no.RetryAfter, time.Second))
			continue
		}
		sure = false
		c.checkCutOff(e, from, err)
		if ctx.Err() != nil {
			return
		}
	}
	if sure {
		c.soak.jobs.update(func() { t.outcome = refused })
	}
}

// checkCutOff reports an answer that an entry owed: one that was told to end as planned
// cuts nothing off.
func (c *customer) checkCutOff(e *entry, from time.Time, err error) {
	var unsure *intake.AmbiguousError
	if !errors.As(err, &unsure) || !strings.Contains(err.Error(), "EOF") && !strings.Contains(err.Error(), "reset") {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping && e.undisturbedSince.Before(from.Add(-answerTimeout)) {
		c.soak.fail("%s cut a request off while it ended as planned: %v", e.name, err)
	}
}

// watch asks for a job's state until ctx ends, now and then.
func (c *customer) checkStatus(ctx context.Context, t *submission) {
	e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
	status, err := c.clients[e].Status(ctx, t.queue, t.id)
	if err != nil || status != workload.Completed || !t.completedSeenAt.IsZero() {
		return
	}
	c.soak.jobs.update(func() { t.completedSeenAt = time.Now() })
	if missing := c.soak.tasksNotDone(t); len(missing) > 0 {
		c.soak.fail("job %s is shown as completed and these tasks have not ended well: %v", t.id, missing)
	}
}

const (
	// maxServices is how many jobs that last a customer has at once, so that they do
	// not fill the machines.
	maxServices = 2
	// maxPauseMs bounds the pause between two jobs, in milliseconds.
	maxPauseMs = 400
)

// run hands jobs in until ctx ends.
func (c *customer) run(ctx context.Context) {
	var mine, open, services []*submission
	for n := 0; ctx.Err() == nil; n++ {
		open = c.awaitOpenWorkBelowLimit(ctx, open)
		queue := c.soak.queues[c.random.IntN(len(c.soak.queues))]
		t := &submission{id: fmt.Sprintf("%016x", c.random.Uint64()), customer: c.name, queue: queue, spec: drawSpec(c.random)}
		t.crashes = c.soak.crashesInstance(t)
		c.submit(ctx, t)
		mine, open = append(mine, t), append(open, t)
		recent := mine[max(0, len(mine)-5):]
		c.checkStatus(ctx, recent[c.random.IntN(len(recent))])
		if n%foreignAccessCheckEvery == 0 {
			c.soak.checkForeignAccess(ctx, t)
		}
		if c.random.IntN(12) == 0 {
			c.cancel(ctx, recent[c.random.IntN(len(recent))])
		}
		if t.spec.RunsUntilCancelled() {
			services = append(services, t)
		}
		if len(services) > maxServices {
			c.cancel(ctx, services[0])
			services = services[1:]
		}
		time.Sleep(time.Duration(c.random.IntN(maxPauseMs)) * time.Millisecond)
	}
}

// cancel cancels a job that was accepted.
func (c *customer) cancel(ctx context.Context, t *submission) {
	if t.outcome != accepted || t.cancelled {
		return
	}
	c.soak.jobs.update(func() { t.cancelRequested = true })
	e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
	if err := c.clients[e].Cancel(ctx, t.queue, t.id); err == nil {
		c.soak.jobs.update(func() { t.cancelled = true })
	}
}

// tasksNotDone returns the tasks of a job that have not ended well.
func (s *soak) tasksNotDone(t *submission) []string {
	var missing []string
	for n := range t.spec.Steps {
		for i := range t.spec.Steps[n].Count {
			name := workload.TaskName(t.id, workload.TaskRef{Step: n, Index: i})
			if !s.grid.Fleet().Done(name) {
				missing = append(missing, name)
			}
		}
	}
	slices.Sort(missing)
	return missing
}

// maxOpenWork is how much work a customer has open, in core-seconds, before it waits for some of
// it to end. Two of the four customers share a cap, so they have 40 open. After faults in
// which many instances have crashed, tasks are kept alone, and no more than 1.7 cores of them
// ran, which makes 76 core-seconds in the 45 s after the last fault.
const maxOpenWork = 20

// workLeft returns how much of a job's work has not ended well, in core-seconds.
func (s *soak) workLeft(t *submission) float64 {
	const thousandth = 1e-3
	var sum float64
	for n := range t.spec.Steps {
		step := &t.spec.Steps[n]
		for i := range step.Count {
			if !step.Service && !s.grid.Fleet().Done(workload.TaskName(t.id, workload.TaskRef{Step: n, Index: i})) {
				sum += float64(step.Need.CPUMilli) * thousandth * step.Estimate.Seconds()
			}
		}
	}
	return sum
}

// openJobs returns those of some jobs that have work left, and how much all of them have.
func (s *soak) openJobs(of []*submission) (still []*submission, work float64) {
	for _, t := range of {
		left := s.workLeft(t)
		if t.outcome == refused || t.cancelRequested || left == 0 {
			continue
		}
		still, work = append(still, t), work+left
	}
	return still, work
}

// awaitOpenWorkBelowLimit waits until a customer may hand in a further job, or until ctx ends, and returns
// its jobs that have work left.
func (c *customer) awaitOpenWorkBelowLimit(ctx context.Context, open []*submission) []*submission {
	for ctx.Err() == nil {
		var work float64
		if open, work = c.soak.openJobs(open); work < maxOpenWork {
			break
		}
		e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
		if status, err := c.clients[e].Status(ctx, open[0].queue, open[0].id); err == nil && status.Ended() {
			open = open[1:] // it has failed
		}
		time.Sleep(maxPauseMs * time.Millisecond)
	}
	return open
}

// openWorkByCustomer returns how much work each customer has left, in whole core-seconds.
func (s *soak) openWorkByCustomer() map[string]int {
	of := make(map[string][]*submission)
	for _, t := range s.jobs.all() {
		of[t.customer] = append(of[t.customer], t)
	}
	out := make(map[string]int)
	for name, tickets := range of {
		_, work := s.openJobs(tickets)
		out[name] = int(work)
	}
	return out
}
