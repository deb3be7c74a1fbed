package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file defines the simulated customers, the jobs that they submit and the answers that they
// get.

// An outcome is the result of a submission as its customer knows it.
type outcome int

const (
	accepted outcome = iota
	refused          // by every entry instance that was tried
	ambiguous
)

// A submission is a job and what its customer knows of it.
type submission struct {
	id              string
	customer        string // name of the customer that submitted the job
	queue           *workload.Queue
	spec            *workload.Spec
	crashes         bool // whether its first task crashes the instance that starts it
	endsAsDone      bool // whether its serving tasks end as done after servingTime, again and again
	outcome         outcome
	cancelRequested bool // whether its customer has requested a cancellation
	cancelled       bool // whether the cancellation was confirmed
	// completedSeenAt is when the customer first saw the job as completed, zero until then.
	completedSeenAt time.Time
}

// jobs holds all submissions. It is safe for concurrent use.
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

// all returns the submissions in no particular order.
func (j *jobs) all() []*submission {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]*submission, 0, len(j.byJobID))
	for _, t := range j.byJobID {
		out = append(out, t)
	}
	return out
}

// workOf returns what the task of a start order does, as a testbed.WorkSource.
func (j *jobs) workOf(o pointport.StartOrder) testbed.Work {
	id, ref, err := workload.ParseTaskName(o.Task)
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.byJobID[id]
	if err != nil || t == nil {
		return testbed.Work{}
	}
	step := &t.spec.Steps[ref.Step]
	w := testbed.Work{Reservation: step.Reservation(), Duration: step.Estimate, Service: step.Service, Label: step.Label, MaxPerInstance: step.MaxPerInstance}
	if t.endsAsDone {
		w.DoneAfter = servingTime
	}
	w.Crashes = t.crashes && ref == workload.TaskRef{}
	w.Checkpoint = checkpointText(id)
	for _, a := range step.After {
		for i := range t.spec.Steps[a].Count {
			w.After = append(w.After, workload.TaskName(id, workload.TaskRef{Step: a, Index: i}))
		}
	}
	return w
}

// drawSpec returns a random job.
func drawSpec(r *rand.Rand) *workload.Spec {
	s := &workload.Spec{Payload: "soak"}
	if r.IntN(10) == 0 {
		s.Steps = []workload.Step{{Count: 1 + r.IntN(3), Need: pointport.Shape{CPUMilli: 300, MemoryMiB: 64}, Service: true, MaxPerInstance: 1, MayMiss: 1}}
		return s
	}
	for n := range 1 + r.IntN(3) {
		step := workload.Step{
			Count: 1 + r.IntN(5), Need: pointport.Shape{CPUMilli: 100 + r.Int64N(900), MemoryMiB: 64},
			Estimate: time.Duration(50+r.IntN(900)) * time.Millisecond, Checkpoints: true,
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s
}

// checkpointTexts are texts that are escaped in different ways where they are sent and stored.
var checkpointTexts = []string{"k", "\x1f\x00\a\v\x7f", "\U000e0067\U0010fffd", "\u2028\ufeff\ufffd\U0001f600", "\"\\x1f</>\n"}

// checkpointText returns the text of the checkpoints of a job's tasks. It depends on the job's ID
// alone.
func checkpointText(id string) string {
	last := id[len(id)-1]
	return checkpointTexts[int(last)%len(checkpointTexts)]
}

// crashEvery is how many jobs there are for each one with a task that crashes its instance, in
// runs with fleet faults. With more such jobs, too few of the eight instances would be up at a
// time.
const crashEvery = 30

// crashesInstance reports whether the first task of a job crashes its instance. That depends on
// the job's ID alone.
func (s *soak) crashesInstance(t *submission) bool {
	lastDigits := t.id[len(t.id)-4:]
	n, err := strconv.ParseUint(lastDigits, 16, 64)
	return s.fleetFaults && err == nil && n%crashEvery == 0 && !t.spec.RunsUntilCancelled()
}

const (
	// servingTime is how long serving tasks serve of jobs whose tasks end as done.
	servingTime = 3 * time.Second
	// endsAsDoneEvery is how many jobs there are for each such one, in runs with cap faults.
	endsAsDoneEvery = 3
)

// answerTimeout is how long customers wait for an answer.
const answerTimeout = 3 * time.Second

// A customer submits jobs one after another over persistent connections.
type customer struct {
	name    string
	soak    *soak
	random  *rand.Rand
	clients map[*entry]*platform.Client
}

// submitAttempts is how many times a customer tries a submission.
const submitAttempts = 4

// submit submits a job, at further entry instances if the first does not accept it.
func (c *customer) submit(ctx context.Context, t *submission) {
	t.outcome = ambiguous
	c.soak.jobs.add(t)
	allRefused := true
	for range submitAttempts {
		e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
		from := time.Now()
		traced, conn := traceConn(ctx)
		err := c.clients[e].Submit(traced, t.queue, t.id, t.spec)
		c.checkCutOff(e, from, err, conn)
		conn.close()
		var refusal *intake.RefusedError
		switch {
		case err == nil:
			c.soak.jobs.update(func() { t.outcome = accepted })
			c.soak.grid.Fleet().NoteAccepted(t.id, t.queue, t.customer, t.spec)
			return
		case errors.As(err, &refusal):
			time.Sleep(min(refusal.RetryAfter, time.Second))
			continue
		}
		allRefused = false
		if ctx.Err() != nil {
			return
		}
	}
	if allRefused {
		c.soak.jobs.update(func() { t.outcome = refused })
	}
}

// checkCutOff reports a failure if an entry instance that was stopping as planned, and had no
// other disturbance since before the request, read a request and closed its connection without an answer.
// One that arrives at an idle connection just after the instance has closed it is not read, nor is one
// that the client does not send because it finds the connection closed.
func (c *customer) checkCutOff(e *entry, from time.Time, err error, conn *callConn) {
	var noAnswer *intake.AmbiguousError
	if !errors.As(err, &noAnswer) || !connectionClosed(err) || !e.stopsUndisturbed(from) || conn.unread() {
		return
	}
	c.soak.fail("%s closed a connection without an answer during a planned stop: %v", e.name, err)
}

// stopsUndisturbed reports whether the entry instance is stopping as planned, with no other disturbance
// since before a request that was sent at from.
func (e *entry) stopsUndisturbed(from time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping && e.undisturbedSince.Before(from.Add(-answerTimeout))
}

// connectionClosed reports whether the customer's own connection was closed. The text of an answer may
// tell the same of a connection between entry instances.
func connectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// checkStatus queries a job's status once. If it is completed for the first time, all its tasks
// must have ended as done.
func (c *customer) checkStatus(ctx context.Context, t *submission) {
	e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
	status, err := c.clients[e].Status(ctx, t.queue, t.id)
	if err != nil || status != workload.Completed || !t.completedSeenAt.IsZero() {
		return
	}
	c.soak.jobs.update(func() { t.completedSeenAt = time.Now() })
	if missing := c.soak.tasksNotDone(t); len(missing) > 0 {
		c.soak.fail("job %s is shown as completed, but these tasks have not ended as done: %v", t.id, missing)
	}
}

const (
	// maxServices is how many jobs that run until they are cancelled a customer has at once, so
	// that these do not fill the machines.
	maxServices = 2
	// maxPauseMs is the longest pause between two jobs, in milliseconds.
	maxPauseMs = 400
)

// run submits jobs until ctx ends.
func (c *customer) run(ctx context.Context) {
	var submitted, open, services []*submission
	for n := 0; ctx.Err() == nil; n++ {
		open = c.awaitOpenWorkBelowLimit(ctx, open)
		queue := c.soak.queues[c.random.IntN(len(c.soak.queues))]
		t := &submission{id: fmt.Sprintf("%016x", c.random.Uint64()), customer: c.name, queue: queue, spec: drawSpec(c.random)}
		t.crashes = c.soak.crashesInstance(t)
		t.endsAsDone = c.soak.servingTasksEnd && n%endsAsDoneEvery == 0
		c.submit(ctx, t)
		submitted, open = append(submitted, t), append(open, t)
		recent := submitted[max(0, len(submitted)-5):]
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

// cancel requests the cancellation of a job that was accepted.
func (c *customer) cancel(ctx context.Context, t *submission) {
	if t.outcome != accepted || t.cancelled {
		return
	}
	e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
	c.soak.cancel(ctx, c.clients[e], t)
}

// cancel requests the cancellation of a job with its customer's client.
func (s *soak) cancel(ctx context.Context, client *platform.Client, t *submission) {
	s.jobs.update(func() { t.cancelRequested = true })
	s.grid.Fleet().NoteCancelRequested(t.id)
	if err := client.Cancel(ctx, t.queue, t.id); err != nil {
		return
	}
	at, err := s.grid.Store().KV().Commit(context.Background(), pointport.Txn{}) // changes nothing
	if err != nil {
		s.fail("the store's revision cannot be read: %v", err)
		return
	}
	s.grid.Fleet().NoteCancelled(t.id, at)
	s.jobs.update(func() { t.cancelled = true })
}

// tasksNotDone returns the names of a job's tasks that have not ended as done, sorted.
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

// maxOpenWork is how much unfinished work a customer may have, in core-seconds, before it waits to
// submit more. Two of the four customers share a cap, so they have up to 40 core-seconds
// unfinished. After faults in which many instances have crashed, each task is placed alone on its
// instance and no more than 1.7 cores of them ran, which amounts to 76 core-seconds in the 45 s
// after the last fault.
const maxOpenWork = 20

// workLeft returns how much of a job's work has not ended as done, in core-seconds, without
// services.
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

// openJobs returns the given jobs that have work left, and how much work all of these have left in
// core-seconds. Refused jobs and jobs with a requested cancellation have none.
func (s *soak) openJobs(submissions []*submission) (open []*submission, work float64) {
	for _, t := range submissions {
		left := s.workLeft(t)
		if t.outcome == refused || t.cancelRequested || left == 0 {
			continue
		}
		open, work = append(open, t), work+left
	}
	return open, work
}

// awaitOpenWorkBelowLimit waits until a customer has less than maxOpenWork unfinished, or until
// ctx ends. It returns the given jobs that have work left.
func (c *customer) awaitOpenWorkBelowLimit(ctx context.Context, open []*submission) []*submission {
	for ctx.Err() == nil {
		var work float64
		if open, work = c.soak.openJobs(open); work < maxOpenWork {
			break
		}
		e := c.soak.entries[c.random.IntN(len(c.soak.entries))]
		if status, err := c.clients[e].Status(ctx, open[0].queue, open[0].id); err == nil && status.Ended() {
			open = open[1:] // the job has ended with work left, so it has failed
		}
		time.Sleep(maxPauseMs * time.Millisecond)
	}
	return open
}

// openWorkByCustomer returns how much work each customer has left, in whole core-seconds.
func (s *soak) openWorkByCustomer() map[string]int {
	submissions := make(map[string][]*submission)
	for _, t := range s.jobs.all() {
		submissions[t.customer] = append(submissions[t.customer], t)
	}
	out := make(map[string]int)
	for name, ofCustomer := range submissions {
		_, work := s.openJobs(ofCustomer)
		out[name] = int(work)
	}
	return out
}
