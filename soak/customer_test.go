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
	unsure
)

// A ticket is a job and what its customer knows of it.
type ticket struct {
	id        string
	customer  string // the name of whose it is
	queue     *workload.Queue
	spec      *workload.Spec
	crashes   bool // its first task crashes the instance that starts it
	outcome   outcome
	asked     bool // its customer has asked to cancel it
	cancelled bool // and was told that it is cancelled
	// shownDone is when the customer was first told that the job is completed.
	shownDone time.Time
}

// Jobs is what customers have handed in. It is safe for concurrent use.
type jobs struct {
	mu   sync.Mutex
	byID map[string]*ticket
}

func (j *jobs) add(t *ticket) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byID[t.id] = t
}

func (j *jobs) update(change func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change()
}

// all returns the tickets.
func (j *jobs) all() []*ticket {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]*ticket, 0, len(j.byID))
	for _, t := range j.byID {
		out = append(out, t)
	}
	return out
}

// work tells the fleet what a task does.
func (j *jobs) work(o pointport.StartOrder) testbed.Work {
	id, ref, err := workload.ParseTaskName(o.Task)
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.byID[id]
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

// crashes reports whether the first task of a job crashes its instance, which hangs on the
// job's name alone.
func (s *soak) crashes(t *ticket) bool {
	last := t.id[len(t.id)-4:]
	n, err := strconv.ParseUint(last, 16, 64)
	return s.odd && err == nil && n%crashEvery == 0 && !t.spec.RunsUntilCancelled()
}

// answerTime is how long customers wait for an answer.
const answerTime = 3 * time.Second

// A customer hands jobs in, one after the other, over connections that it keeps.
type customer struct {
	name    string
	soak    *soak
	random  *rand.Rand
	clients map[*entry]*platform.Client
}

// tries is how often a customer asks for one thing.
const tries = 4

// submit hands a job in, at further entries if it must.
func (c *customer) submit(ctx context.Context, t *ticket) {
	t.outcome = unsure
	c.soak.jobs.add(t)
	sure := true
	for range tries {
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
		c.judge(e, from, err)
		if ctx.Err() != nil {
			return
		}
	}
	if sure {
		c.soak.jobs.update(func() { t.outcome = refused })
	}
}

// judge reports an answer that an entry owed: one that was told to end as planned
// cuts nothing off.
func (c *customer) judge(e *entry, from time.Time, err error) {
	var unsure *intake.AmbiguousError
	if !errors.As(err, &unsure) || !strings.Contains(err.Error(), "EOF") && !strings.Contains(err.Error(), "reset") {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping && e.calm.Before(from.Add(-answerTime)) {
		c.soak.fail("%s cut a request off while it ended as planned: %v", e.name, err)
	}
}

// watch asks for a job's state until ctx ends, now and then.
func (c *customer) look(ctx context.Context, t *ticket) {
	e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
	status, err := c.clients[e].Status(ctx, t.queue, t.id)
	if err != nil || status != workload.Completed || !t.shownDone.IsZero() {
		return
	}
	c.soak.jobs.update(func() { t.shownDone = time.Now() })
	if missing := c.soak.undone(t); len(missing) > 0 {
		c.soak.fail("job %s is shown as completed and these tasks have not ended well: %v", t.id, missing)
	}
}

const (
	// servicesMost is how many jobs that last a customer has at once, so that they do
	// not fill the machines.
	servicesMost = 2
	// pauseMost bounds the pause between two jobs, in milliseconds.
	pauseMost = 400
)

// run hands jobs in until ctx ends.
func (c *customer) run(ctx context.Context) {
	var mine, open, services []*ticket
	for n := 0; ctx.Err() == nil; n++ {
		open = c.catchUp(ctx, open)
		queue := c.soak.queues[c.random.IntN(len(c.soak.queues))]
		t := &ticket{id: fmt.Sprintf("%016x", c.random.Uint64()), customer: c.name, queue: queue, spec: drawSpec(c.random)}
		t.crashes = c.soak.crashes(t)
		c.submit(ctx, t)
		mine, open = append(mine, t), append(open, t)
		recent := mine[max(0, len(mine)-5):]
		c.look(ctx, recent[c.random.IntN(len(recent))])
		if n%strangerEvery == 0 {
			c.soak.askAsStrangers(ctx, t)
		}
		if c.random.IntN(12) == 0 {
			c.cancel(ctx, recent[c.random.IntN(len(recent))])
		}
		if t.spec.RunsUntilCancelled() {
			services = append(services, t)
		}
		if len(services) > servicesMost {
			c.cancel(ctx, services[0])
			services = services[1:]
		}
		time.Sleep(time.Duration(c.random.IntN(pauseMost)) * time.Millisecond)
	}
}

// cancel cancels a job that was accepted.
func (c *customer) cancel(ctx context.Context, t *ticket) {
	if t.outcome != accepted || t.cancelled {
		return
	}
	c.soak.jobs.update(func() { t.asked = true })
	e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
	if err := c.clients[e].Cancel(ctx, t.queue, t.id); err == nil {
		c.soak.jobs.update(func() { t.cancelled = true })
	}
}

// undone returns the tasks of a job that have not ended well.
func (s *soak) undone(t *ticket) []string {
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

// workMost is how much work a customer has open, in core-seconds, before it waits for some of
// it to end. Two of the four customers share a cap, so they have 40 open. After faults in
// which many instances have crashed, tasks are kept alone, and no more than 1.7 cores of them
// ran, which makes 76 core-seconds in the 45 s after the last fault.
const workMost = 20

// left returns how much of a job's work has not ended well, in core-seconds.
func (s *soak) left(t *ticket) float64 {
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

// open returns those of some jobs that have work left, and how much all of them have.
func (s *soak) open(of []*ticket) (still []*ticket, work float64) {
	for _, t := range of {
		left := s.left(t)
		if t.outcome == refused || t.asked || left == 0 {
			continue
		}
		still, work = append(still, t), work+left
	}
	return still, work
}

// catchUp waits until a customer may hand in a further job, or until ctx ends, and returns
// its jobs that have work left.
func (c *customer) catchUp(ctx context.Context, open []*ticket) []*ticket {
	for ctx.Err() == nil {
		var work float64
		if open, work = c.soak.open(open); work < workMost {
			break
		}
		e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
		if status, err := c.clients[e].Status(ctx, open[0].queue, open[0].id); err == nil && status.Ended() {
			open = open[1:] // it has failed
		}
		time.Sleep(pauseMost * time.Millisecond)
	}
	return open
}

// toDo returns how much work each customer has left, in whole core-seconds.
func (s *soak) toDo() map[string]int {
	of := make(map[string][]*ticket)
	for _, t := range s.jobs.all() {
		of[t.customer] = append(of[t.customer], t)
	}
	out := make(map[string]int)
	for name, tickets := range of {
		_, work := s.open(tickets)
		out[name] = int(work)
	}
	return out
}
