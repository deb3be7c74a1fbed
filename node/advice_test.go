package node_test

import (
	"context"
	"hash/fnv"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests queues that require advice on complete nodes, with an advisor that answers one request of
// each member at a time.

// everySecond lets every second instance run a step.
func everySecond(step string, id pointport.InstanceID) bool {
	h := fnv.New32a()
	h.Write([]byte(step))
	return (h.Sum32()+uint32(id[len(id)-1]))%2 == 0
}

// adviceCase is a burst of jobs on queues that require advice.
type adviceCase struct {
	name     string
	settings testbed.AdvisorSettings
	nodes    int
	queues   []string // the queues to which the jobs are sent in turn
	// jobs is how many jobs are sent, one each interval.
	jobs     int
	interval time.Duration
	step     workload.Step
	// during happens after the first half of the jobs was sent.
	during func(c *cluster, q *workload.Queue)
	// within is how long after the last job was sent all must be completed.
	within time.Duration
}

// usualAdvice takes 0.1 s for the four instances of a pool.
var usualAdvice = testbed.AdvisorSettings{Base: 60 * time.Millisecond, PerInstance: 10 * time.Millisecond, ValidFor: 3 * time.Second, MayRun: everySecond}

// adviceWith returns the usual settings of the advisor with some changes.
func adviceWith(change func(*testbed.AdvisorSettings)) testbed.AdvisorSettings {
	s := usualAdvice
	change(&s)
	return s
}

// smallStep is a step of two tasks of half a second.
var smallStep = workload.Step{Count: 2, Need: pointport.Shape{CPUMilli: 100, MemoryMiB: 16}, Estimate: 500 * time.Millisecond}

var adviceCases = []adviceCase{
	{name: "burst", settings: usualAdvice, jobs: 80, interval: 20 * time.Millisecond, step: smallStep, within: 14 * time.Second},
	{name: "burst on the pools of one node", settings: usualAdvice, nodes: 1, queues: []string{"shift-advised", "payout-advised"}, jobs: 80, interval: 20 * time.Millisecond, step: smallStep, within: 14 * time.Second},
	{name: "slow for each instance", settings: adviceWith(func(s *testbed.AdvisorSettings) { s.PerInstance = 140 * time.Millisecond }), jobs: 15, interval: 50 * time.Millisecond, step: smallStep, within: 14 * time.Second},
	{name: "slower than tickets are valid", settings: adviceWith(func(s *testbed.AdvisorSettings) { s.Base, s.ValidFor = 700*time.Millisecond, 600*time.Millisecond }), jobs: 6, interval: 20 * time.Millisecond, step: smallStep, within: 20 * time.Second},
	{name: "tickets that are valid briefly", settings: adviceWith(func(s *testbed.AdvisorSettings) { s.ValidFor = 400 * time.Millisecond }), jobs: 40, interval: 20 * time.Millisecond, step: smallStep, within: 14 * time.Second},
	{name: "a request without an answer", settings: adviceWith(func(s *testbed.AdvisorSettings) {
		s.Delay = func(n int) time.Duration {
			if n == 5 {
				return 6 * time.Second
			}
			return 0
		}
	}), jobs: 40, interval: 20 * time.Millisecond, step: smallStep, within: 20 * time.Second},
	{name: "gangs", settings: usualAdvice, jobs: 20, interval: 100 * time.Millisecond, within: 14 * time.Second,
		step: workload.Step{Count: 2, Need: pointport.Shape{CPUMilli: 500, MemoryMiB: 16}, Estimate: 500 * time.Millisecond, Gang: true, MaxPerInstance: 1}},
	{name: "tasks that fill an instance", settings: usualAdvice, jobs: 16, interval: 20 * time.Millisecond, within: 20 * time.Second,
		step: workload.Step{Count: 1, Need: pointport.Shape{CPUMilli: 3000, MemoryMiB: 16}, Estimate: 500 * time.Millisecond}},
	{name: "jobs cancelled meanwhile", settings: usualAdvice, jobs: 80, interval: 20 * time.Millisecond, step: smallStep, within: 14 * time.Second, during: func(c *cluster, q *workload.Queue) {
		for k := range 20 {
			c.fleet.NoteCancelRequested(jobID(k + 20))
			_ = c.anyNode(0).Intake().Cancel(context.Background(), q, jobID(k+20))
		}
	}},
	{name: "owner killed", settings: usualAdvice, nodes: 3, jobs: 80, interval: 20 * time.Millisecond, step: smallStep, within: 25 * time.Second, during: func(c *cluster, _ *workload.Queue) {
		name := c.owner("shift")
		c.kill(name)
		c.start(name)
	}},
}

// Guards against accepted jobs that are never started because their tickets expire while requests for others
// wait at the advisor.
func TestJobsThatNeedAdviceAreDoneAfterBurst(t *testing.T) {
	for _, k := range adviceCases {
		t.Run(k.name, func(t *testing.T) { k.play(t) })
	}
}

func (k *adviceCase) play(t *testing.T) {
	step := k.step
	work := func(pointport.StartOrder) testbed.Work {
		w := testbed.Work{Reservation: step.Need, Duration: step.Estimate, MaxPerInstance: step.MaxPerInstance, Advised: true}
		if step.Gang {
			w.Gang = step.Count
		}
		return w
	}
	simulate(t, max(k.nodes, 1), func(c *cluster) {
		time.Sleep(2 * time.Second)
		queues := k.advisedQueues(c)
		defer c.checkIdleJobs()()
		for n := range k.jobs {
			q := queues[n%len(queues)]
			spec := &workload.Spec{Steps: []workload.Step{step}}
			submitUntilAccepted(c, q, jobID(n), spec)
			c.fleet.NoteAccepted(jobID(n), q, "", spec)
			time.Sleep(k.interval)
			if n == k.jobs/2 && k.during != nil {
				k.during(c, q)
			}
		}
		time.Sleep(k.within)
		k.checkEnded(c, queues)
	}, withAdvice(k.settings), withWork(work), withoutSteward())
}

// submitUntilAccepted submits a job at one node after the other until one accepts it.
func submitUntilAccepted(c *cluster, q *workload.Queue, id string, spec *workload.Spec) {
	var err error
	for try := range 100 {
		if err = c.anyNode(try).Intake().Submit(context.Background(), q, id, spec); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("job %s is not accepted: %v", id, err)
}

// checkEnded checks that all jobs have ended.
func (k *adviceCase) checkEnded(c *cluster, queues []*workload.Queue) {
	open := 0
	for n := range k.jobs {
		if s, _ := c.anyNode(0).Intake().Status(context.Background(), queues[n%len(queues)], jobID(n)); !s.Ended() {
			open++
		}
	}
	if open > 0 {
		all, refused := c.advice.Calls()
		c.t.Errorf("%d of %d jobs are open %v after the last one was sent; the advisor had %d requests and refused %d", open, k.jobs, k.within, all, refused)
	}
}

// advisedQueues makes all queues require advice, and returns those to which the jobs are sent.
func (k *adviceCase) advisedQueues(c *cluster) []*workload.Queue {
	names := k.queues
	if names == nil {
		names = []string{"shift-advised"}
	}
	catalog := &workload.Catalog{Version: 2}
	for _, pool := range []string{"shift", "payout"} {
		catalog.Queues = append(catalog.Queues, workload.Queue{
			Name: pool + "-advised", Host: "example", Path: "/advised-" + pool + "/", Pool: pool,
			Policy: workload.Policy{MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond, Advised: true},
			Advice: workload.Advice{Base: k.settings.Base, PerInstance: k.settings.PerInstance, ValidFor: k.settings.ValidFor},
		})
	}
	c.configure(catalog)
	var queues []*workload.Queue
	for _, name := range names {
		queues = append(queues, queue(c.t, c.anyNode(0), name))
	}
	return queues
}
