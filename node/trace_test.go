package node_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/trace"
	"github.com/pointport/pointport/workload"
)

// This file tests that the cause of a failed request is found from its identity
// and the logs alone. docs/OPERATIONS.md shows the same by example.

// story returns what the logs of all nodes tell of a job.
func (c *cluster) story(id string) string {
	c.t.Helper()
	log := &trace.Log{}
	if err := log.Read(strings.NewReader(c.written.about(""))); err != nil {
		c.t.Fatal(err)
	}
	story := log.Timeline(id)
	var out strings.Builder
	if err := story.Write(&out); err != nil {
		c.t.Fatal(err)
	}
	return out.String()
}

// wantStory makes sure that a story has lines with these words, in their order.
func (c *cluster) wantStory(id string, lines ...[]string) {
	c.t.Helper()
	story := c.story(id)
	rest := strings.Split(story, "\n")
	for _, words := range lines {
		found := false
		for !found && len(rest) > 0 {
			found = hasAll(rest[0], words)
			rest = rest[1:]
		}
		if !found {
			c.t.Errorf("the story lacks, in its place, a line with %q:\n%s", words, story)
			return
		}
	}
}

func hasAll(line string, words []string) bool {
	for _, w := range words {
		if !strings.Contains(line, w) {
			return false
		}
	}
	return true
}

func TestTraceRefused(t *testing.T) {
	bubble(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		c.setStoreFate(func(string, string) memory.Fault { return memory.FaultDown })
		time.Sleep(2 * time.Second)
		if err := n.Intake().Submit(context.Background(), q, "00000000000000aa", twoSteps(time.Second)); err == nil {
			t.Fatal("a job is accepted without the store")
		}
		c.setStoreFate(storeWorks)
		time.Sleep(3 * time.Second)
		c.wantStory("00000000000000aa",
			[]string{"n0", "store lost"},
			[]string{"n0", "job refused", "queue=shift-close", "sure=true", "the store gives no answer", "nor does a peer store it"},
			[]string{"n0", "store back"})
	})
}

func TestTraceLate(t *testing.T) {
	bubble(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		for i := range 40 {
			submit(t, n, q, fmt.Sprintf("%016x", i), twoSteps(2*time.Second))
		}
		submit(t, n, q, "00000000000000aa", twoSteps(200*time.Millisecond))
		c.eventually(n, q, "00000000000000aa", workload.Completed, time.Minute)
		c.wantStory("00000000000000aa",
			[]string{"job accepted", "known=false"},
			[]string{"job waits", "each needs 500 thousandths of a core"},
			[]string{"task placed"},
			[]string{"job begun"},
			[]string{"run ended", "how=done"},
			[]string{"job ended", "state=completed", "objective="})
	}, withoutSteward())
}

func TestTraceOwnerLost(t *testing.T) {
	bubble(t, 4, func(c *cluster) {
		owner := c.owner("shift")
		other := ""
		for name := range c.nodes {
			if name != owner {
				other = name
			}
		}
		n := c.nodes[other].node
		q := queue(t, n, "shift-close")
		submit(t, n, q, "00000000000000aa", &workload.Spec{
			Payload: "duration=6s cpu=500", Steps: []workload.Step{{Count: 2, Need: pointport.Shape{CPUMilli: 500}, Estimate: 6 * time.Second}},
		})
		time.Sleep(time.Second)
		c.kill(owner)
		c.eventually(n, q, "00000000000000aa", workload.Completed, 30*time.Second)
		c.wantStory("00000000000000aa",
			[]string{other, "job accepted"},
			[]string{owner, "job begun"},
			[]string{other, "status read", "state=running", "no route to " + owner},
			[]string{"pool taken", "pool=shift"},
			[]string{"job taken", "inherited=true"},
			[]string{"run ended", "how=done"},
			[]string{"job ended", "state=completed"})
	})
}

// A job fails because a task of it crashes its instances: the story names each crash, and
// that the last one hit that task alone.
func TestTraceGivenUp(t *testing.T) {
	bubble(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		submit(t, n, q, poison, &workload.Spec{Steps: []workload.Step{{Count: crashTasks, Need: crashRoom, Estimate: 800 * time.Millisecond}}})
		c.eventually(n, q, poison, workload.Failed, 20*time.Second)
		c.wantStory(poison,
			[]string{"task placed", "task=.0.0.0", "run=1"},
			[]string{"run lost", "task=.0.0.0", "cause=crashed", "crashes=1"},
			[]string{"run lost", "task=.0.0.0", "cause=crashed", "crashes=2"},
			[]string{"run lost", "task=.0.0.0", "cause=crashed", "beside=0", "crashes="},
			[]string{"task given up", "task=.0.0.0", "alone=true", "jobFails=true"},
			[]string{"job ended", "state=failed"})
	}, withWork(crashing(func(*testbed.Work) {})))
}
