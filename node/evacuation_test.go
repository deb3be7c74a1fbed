package node_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests the evacuation of availability zones. The fleet is the reference: it knows
// since when each availability zone must be left empty, and checks each start by the time at
// which it was sent.

// shortWork is the work of the tasks of a zoneLoad.
func shortWork(pointport.StartOrder) testbed.Work {
	return testbed.Work{Reservation: pointport.Shape{CPUMilli: 500, MemoryMiB: 128}, Duration: 500 * time.Millisecond}
}

// A zoneLoad submits one job with the given number of tasks every tenth of a second.
type zoneLoad struct {
	cluster *cluster
	tasks   int
	jobs    int
}

func (l *zoneLoad) run(duration time.Duration) {
	step := workload.Step{Count: l.tasks, Need: pointport.Shape{CPUMilli: 500, MemoryMiB: 128}, Estimate: 500 * time.Millisecond}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		l.submit(&workload.Spec{Steps: []workload.Step{step}})
	}
}

// submit submits a job, and retries at another node if one does not answer.
func (l *zoneLoad) submit(spec *workload.Spec) {
	c := l.cluster
	id := jobID(l.jobs)
	for try := range 100 {
		n := c.anyNode(l.jobs + try)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := n.Intake().Submit(ctx, queue(c.t, n, "shift-close"), id, spec)
		cancel()
		if err == nil {
			l.jobs++
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("no node accepts job %s", id)
}

// finish waits until all submitted jobs have completed.
func (l *zoneLoad) finish(within time.Duration) {
	c := l.cluster
	n := c.anyNode(0)
	for i := range l.jobs {
		c.waitForStatus(n, queue(c.t, n, "shift-close"), jobID(i), workload.Completed, within)
	}
}

// failEvacuationReads makes the store refuse reads of the evacuation requests, and no other
// calls, until setStoreFault is called again.
func (c *cluster) failEvacuationReads() {
	lastKey := ""
	c.mu.Lock()
	c.onStoreCall = func(_, _, key string) { lastKey = key }
	c.mu.Unlock()
	c.setStoreFault(func(string, string) memory.Fault {
		if strings.HasPrefix(lastKey, evacuationPrefix) {
			return memory.FaultDown
		}
		return memory.FaultNone
	})
}

// Nothing starts in an evacuated availability zone, jobs continue in the other one, and the
// zone is used again once it is reopened. Meanwhile the owners of the pools stay, are killed,
// or stop as planned: a new owner must not start anything before it knows the requests.
func TestEvacuatedZoneIsLeftEmpty(t *testing.T) {
	for _, owners := range []string{"stay", "are killed", "stop"} {
		t.Run("owners "+owners, func(t *testing.T) {
			simulate(t, 3, func(c *cluster) {
				l := &zoneLoad{cluster: c, tasks: 2}
				l.run(2 * time.Second)
				if c.fleet.StartsIn("north") == 0 || c.fleet.StartsIn("south") == 0 {
					t.Fatal("one availability zone is not used before the evacuation")
				}
				c.evacuate("north")
				l.run(3 * time.Second)
				for range 3 {
					before := c.fleet.StartsIn("north")
					switch name := c.owner("shift"); owners {
					case "are killed":
						c.kill(name)
						c.start(name)
					case "stop":
						c.stop(name)
						c.start(name)
					}
					l.run(4 * time.Second)
					if got := c.fleet.StartsIn("north") - before; got != 0 {
						t.Errorf("%d runs have started in the evacuated availability zone", got)
					}
				}
				c.reopen("north")
				l.tasks = 8 // more than the other availability zone can hold
				before := c.fleet.StartsIn("north")
				l.run(4 * time.Second)
				if c.fleet.StartsIn("north") == before {
					t.Error("the availability zone is not used again after it was reopened")
				}
				l.finish(10 * time.Second)
			}, withWork(shortWork))
		})
	}
}

// As soon as an availability zone is evacuated, a pool gets instances of other zones, before
// those that it still has there are full, and its idle instances leave the evacuated zone.
func TestPoolGetsInstancesOfOtherZonesDuringEvacuation(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		l := &zoneLoad{cluster: c, tasks: 2}
		l.run(4 * time.Second)
		c.evacuate("north")
		l.run(4 * time.Second)
		in := func(pool string, zone pointport.ZoneID) int {
			n := 0
			for _, id := range c.fleet.IDs() {
				if c.fleet.Where(id) == (testbed.Place{Pool: pool, Zone: zone}) {
					n++
				}
			}
			return n
		}
		if got := in("shift", "north"); got != 0 {
			t.Errorf("%d instances of the evacuated availability zone are still in the pool", got)
		}
		if in("shift", "south") == 0 {
			t.Error("the pool has no instance of the other availability zone")
		}
		l.finish(10 * time.Second)
	}, withWork(shortWork))
}

// While the evacuation requests cannot be read, and everything else works, nothing starts in
// any availability zone once the last read is too old. Jobs continue as soon as the requests
// can be read, and a request that was withdrawn meanwhile is no longer in force then.
func TestNothingStartsWhileEvacuationsAreUnknown(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		l := &zoneLoad{cluster: c, tasks: 2}
		l.run(2 * time.Second)
		c.evacuate("north")
		l.run(2 * time.Second)
		c.failEvacuationReads()
		c.reopen("north")
		time.Sleep(4 * time.Second)
		before := c.fleet.Starts()
		l.run(time.Second)
		if got := c.fleet.Starts() - before; got != 0 {
			t.Errorf("%d runs have started while the evacuation requests are unknown", got)
		}
		c.checkUnknownReasonLogged(t)
		c.setStoreFault(noStoreFault)
		inNorth := c.fleet.StartsIn("north")
		l.tasks = 8
		l.run(4 * time.Second)
		l.finish(10 * time.Second)
		if c.fleet.StartsIn("north") == inNorth {
			t.Error("the availability zone whose request was withdrawn during the outage is not used again")
		}
	}, withWork(shortWork))
}

// A new owner that has not read the evacuation requests yet starts nothing, although it knows
// its jobs and instances: some of the instances may be in an evacuated zone.
func TestNewOwnerStartsNothingWhileEvacuationsAreUnknown(t *testing.T) {
	simulate(t, 2, func(c *cluster) {
		c.evacuate("north")
		time.Sleep(6 * time.Second)
		c.failEvacuationReads()
		for n := range 2 {
			c.kill(fmt.Sprintf("n%d", n))
			c.start(fmt.Sprintf("n%d", n))
		}
		time.Sleep(3 * time.Second)
		l := &zoneLoad{cluster: c, tasks: 2}
		l.run(2 * time.Second)
		if got := c.fleet.Starts(); got != 0 {
			t.Errorf("%d runs have started, want none", got)
		}
		c.checkUnknownReasonLogged(t)
		c.setStoreFault(noStoreFault)
		l.finish(10 * time.Second)
	}, withWork(shortWork))
}

// checkUnknownReasonLogged fails the test unless the log states that the evacuation requests are
// unknown, with the error of the store.
func (c *cluster) checkUnknownReasonLogged(t *testing.T) {
	t.Helper()
	lines := c.logs.containing("evacuations unknown")
	if lines == "" {
		t.Error("the log does not say that the evacuation requests are unknown")
	}
	for line := range strings.Lines(lines) {
		if !strings.Contains(line, "error=") || strings.Contains(line, "error=<nil>") {
			t.Errorf("the log line has no error: %s", line)
		}
	}
}

// drawEvacuations adds evacuations to the faults of a script.
func drawEvacuations(t *rapid.T, s *script) {
	for range rapid.IntRange(1, 3).Draw(t, "evacuations") {
		s.faults = append(s.faults, scriptedFault{
			at:       drawTime(t, "evacuation"),
			duration: time.Duration(rapid.IntRange(0, 6000).Draw(t, "duration")) * time.Millisecond,
			kind:     "evacuate", index: rapid.IntRange(0, 9).Draw(t, "zone"),
		})
	}
}

// Whatever other faults occur, nothing starts in an evacuated availability zone, and all jobs
// end as expected once it is reopened.
func TestEvacuationsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	checkScripts(t, func(t *rapid.T) script {
		s := drawScript(t)
		drawEvacuations(t, &s)
		return s
	})
}

// The same while pools change owners, with members that are paused or isolated.
func TestEvacuationsDuringRandomHandovers(t *testing.T) {
	t.Parallel()
	checkScripts(t, func(t *rapid.T) script {
		s := drawHandoverScript(t)
		drawEvacuations(t, &s)
		return s
	})
}

// A node that owns nothing does not read the evacuation requests.
func TestOnlyOwnersReadEvacuations(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		time.Sleep(10 * time.Second)
		reads := make(map[string]int)
		c.mu.Lock()
		c.onStoreCall = func(node, _, key string) {
			if strings.HasPrefix(key, evacuationPrefix) {
				reads[node]++
			}
		}
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		owners := make(map[string]bool)
		for _, ownership := range []string{"shift", "payout", "/steward"} {
			owners[c.owner(ownership)] = true
		}
		const most = 11 // one read a second
		for node, n := range reads {
			if n > most || !owners[node] {
				t.Errorf("%s (owns something: %v) has read the requests %d times in 10 s", node, owners[node], n)
			}
		}
		if len(reads) != len(owners) {
			t.Errorf("reads by node are %v, owners are %v", reads, owners)
		}
	})
}
