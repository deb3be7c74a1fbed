package node_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
)

// This file tests what an owner concludes about an instance from the platform's machine list,
// which lags behind.

// A laggingList is a machine list that shows the machines as they were some time ago.
type laggingList struct {
	pointport.Machines
	lag time.Duration
	// extraLag is the additional age of every second read.
	extraLag time.Duration

	mu        sync.Mutex
	snapshots []machineSnapshot
	reads     int
}

// A machineSnapshot is the machine list at a time.
type machineSnapshot struct {
	at   time.Time
	list []pointport.Machine
}

// record takes a snapshot ten times a second until ctx ends.
func (l *laggingList) record(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		list, err := l.Machines.List(context.Background())
		if err != nil {
			continue // the fleet's list does not fail
		}
		l.mu.Lock()
		l.snapshots = append(l.snapshots, machineSnapshot{time.Now(), list})
		l.mu.Unlock()
	}
}

// List returns the newest snapshot that is at least as old as the lag, or an error if there is
// none.
func (l *laggingList) List(context.Context) ([]pointport.Machine, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lag := l.lag
	if l.reads++; l.reads%2 == 0 {
		lag += l.extraLag
	}
	var out []pointport.Machine
	for _, s := range l.snapshots {
		if time.Since(s.at) >= lag {
			out = s.list
		}
	}
	if out == nil {
		return nil, &pointport.UnavailableError{Op: "machines", Err: fmt.Errorf("no snapshot is %v old", lag)}
	}
	return out, nil
}

// A machine list that lags behind still shows the previous incarnation of an instance that has
// just joined its pool. The instance is busy for a moment: it carries out its starts but
// answers too late. If the owner then counts the new incarnation as ended because of the list,
// it starts all tasks of the instance elsewhere while they still run there, so several tasks
// have two runs at once. The log shows event 427 with the earlier incarnation and an old list,
// event 514, then both runs of the tasks, and events 511 or 549 of the instance.
func TestLaggingMachineListEndsNoRunningIncarnation(t *testing.T) {
	for _, lag := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			simulate(t, 2, func(c *cluster) { c.unansweredPollsAfterReplacement(t, lag) }, withLaggingList(lag))
		})
	}
}

// The machine list is read from replicas, some of which lag further behind: it shows the
// instances that have just joined, and then their previous incarnations again. The instances
// are busy for a moment and answer too late. The new incarnations must not count as ended
// because the list has shown them and no longer does: their tasks would start elsewhere while
// they still run.
func TestMachineListGoingBackEndsNoRunningIncarnation(t *testing.T) {
	for _, back := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second} {
		t.Run(back.String(), func(t *testing.T) {
			goesBack := func(c *cluster, _ *[]testbed.Option) { c.listLag, c.listExtraLag = 200*time.Millisecond, back }
			simulate(t, 2, func(c *cluster) { c.unansweredPollsAfterReplacement(t, back+time.Second) }, goesBack)
		})
	}
}

// withLaggingList sets how far the machine list lags behind.
func withLaggingList(lag time.Duration) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.listLag = lag }
}

// unansweredPollsAfterReplacement restarts all instances of a pool as new incarnations, has
// them run a job, and leaves polls unanswered for a moment while the list shows the previous
// incarnations.
func (c *cluster) unansweredPollsAfterReplacement(t *testing.T, lag time.Duration) {
	const job = "00000000000000cc"
	n := c.nodes["n0"].node
	q := queue(t, n, "shift-close")
	time.Sleep(lag) // until the list has a snapshot
	for _, id := range c.fleet.IDs() {
		c.fleet.Crash(id, 300*time.Millisecond)
	}
	time.Sleep(time.Second)
	submit(t, n, q, job, twoSteps(5*time.Second))
	time.Sleep(400 * time.Millisecond)
	if got := c.fleet.Running(); got != 4 {
		t.Fatalf("%d tasks run, want 4", got)
	}
	c.setNetwork(func(op string, _ pointport.InstanceID) testbed.Delivery {
		return testbed.Delivery{Latency: time.Millisecond, AnswerLost: strings.HasSuffix(op, " hold")}
	})
	time.Sleep(3 * time.Second)
	c.setNetwork(testbed.Reliable)
	time.Sleep(15 * time.Second)
	if status, err := n.Intake().Status(context.Background(), q, job); err != nil || !status.Ended() {
		t.Errorf("the job has status %s (error %v), want it ended", status, err)
	}
}
