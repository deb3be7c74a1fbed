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

// This file tests what is believed of an instance on the word of the platform's list of
// machines, which is behind reality.

// A laggingList is a list of machines that shows them as they were some time ago.
type laggingList struct {
	pointport.Machines
	lag time.Duration
	// back is by how much every second reading is further behind.
	back time.Duration

	mu       sync.Mutex
	shown    []listing
	readings int
}

// A listing is a list of machines as it was at a time.
type listing struct {
	at   time.Time
	list []pointport.Machine
}

// record notes the list ten times a second until ctx ends.
func (l *laggingList) record(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		list, err := l.Machines.List(context.Background())
		if err != nil {
			continue // the fleet's own list does not fail
		}
		l.mu.Lock()
		l.shown = append(l.shown, listing{time.Now(), list})
		l.mu.Unlock()
	}
}

// List returns the newest list that is as old as the lag, and before there is one none.
func (l *laggingList) List(context.Context) ([]pointport.Machine, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lag := l.lag
	if l.readings++; l.readings%2 == 0 {
		lag += l.back
	}
	var out []pointport.Machine
	for _, s := range l.shown {
		if time.Since(s.at) >= lag {
			out = s.list
		}
	}
	if out == nil {
		return nil, &pointport.UnavailableError{Op: "machines", Err: fmt.Errorf("no list is as old as %v", lag)}
	}
	return out, nil
}

// Users saw tasks with two runs at once, several at a time and all on one instance beside
// others: an instance has just come to its pool, and the list of machines still shows it
// without it. It is busy for a moment, carries its starts out and answers too late to count.
// Then the owner heard from whoever moves instances that the incarnation was over, and
// started all that ran there elsewhere, at once, while it ran on.
//
// The evidence: 427 with the life of before and a list that lags, 514 "the platform says so",
// then both runs of the tasks, then 511 or 549 of the instance that lives.
func TestBusyInstanceIsNotOverBecauseTheListLags(t *testing.T) {
	for _, lag := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			bubble(t, 2, func(c *cluster) { c.busyAfterItsArrival(t, lag) }, withLaggingList(lag))
		})
	}
}

// Users saw nothing of this yet. The list of machines is read from copies of which some are
// further behind: it shows the instances that have just come, and then, once more, the lives
// before them. The instances are busy for a moment and answer too late to count. They counted
// as over, as lives that the list had shown and showed no more, and what ran there was started
// elsewhere while it ran on.
func TestBusyInstanceIsNotOverBecauseTheListGoesBack(t *testing.T) {
	for _, back := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second} {
		t.Run(back.String(), func(t *testing.T) {
			goesBack := func(c *cluster, _ *[]testbed.Option) { c.listLag, c.listBack = 200*time.Millisecond, back }
			bubble(t, 2, func(c *cluster) { c.busyAfterItsArrival(t, back+time.Second) }, goesBack)
		})
	}
}

// withLaggingList has the list of machines be so far behind.
func withLaggingList(lag time.Duration) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.listLag = lag }
}

// busyAfterItsArrival brings all instances of a pool back as new lives, has them run a job,
// and answer nothing for a moment while the list shows their former lives.
func (c *cluster) busyAfterItsArrival(t *testing.T, lag time.Duration) {
	const job = "00000000000000cc"
	n := c.nodes["n0"].node
	q := queue(t, n, "shift-close")
	time.Sleep(lag) // until there is a list
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
		t.Errorf("job is %s (%v)", status, err)
	}
}
