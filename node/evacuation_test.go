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

// This file tests availability zones that are evacuated. The fleet is the reference: it knows
// since when which availability zones are to be left empty, and judges each start by when it
// was sent.

// shortWork is what tasks of a load do.
func shortWork(pointport.StartOrder) testbed.Work {
	return testbed.Work{Reservation: pointport.Shape{CPUMilli: 500, MemoryMiB: 128}, Duration: 500 * time.Millisecond}
}

// A zoneLoad hands in a job of so many tasks each tenth of a second.
type zoneLoad struct {
	cluster *cluster
	tasks   int
	jobs    int
}

func (l *zoneLoad) run(lasts time.Duration) {
	step := workload.Step{Count: l.tasks, Need: pointport.Shape{CPUMilli: 500, MemoryMiB: 128}, Estimate: 500 * time.Millisecond}
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		l.submit(&workload.Spec{Steps: []workload.Step{step}})
	}
}

// submit hands a job in, at another node if one gives no answer.
func (l *zoneLoad) submit(spec *workload.Spec) {
	c := l.cluster
	id := jobID(l.jobs)
	for try := range 100 {
		n := c.any(l.jobs + try)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := n.Intake().Submit(ctx, queue(c.t, n, "shift-close"), id, spec)
		cancel()
		if err == nil {
			l.jobs++
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Errorf("job %s is not taken", id)
}

// finish waits until all jobs are done.
func (l *zoneLoad) finish(within time.Duration) {
	c := l.cluster
	n := c.any(0)
	for i := range l.jobs {
		c.eventually(n, queue(c.t, n, "shift-close"), jobID(i), workload.Completed, within)
	}
}

// hideEvacuations has the store refuse to tell which availability zones are evacuated, and
// nothing else, until its fate is set anew.
func (c *cluster) hideEvacuations() {
	asked := ""
	c.mu.Lock()
	c.onStore = func(_, _, key string) { asked = key }
	c.mu.Unlock()
	c.setStoreFate(func(string, string) memory.Fault {
		if strings.HasPrefix(asked, evacuationPrefix) {
			return memory.FaultDown
		}
		return memory.FaultNone
	})
}

// Nothing starts in an evacuated availability zone, jobs go on in the other one, and the zone
// is used again once it is open. Its pools' owners stay, are killed or stop as planned
// meanwhile: a new owner starts nothing before it knows what is asked.
func TestEvacuatedZoneIsLeftEmpty(t *testing.T) {
	for _, owners := range []string{"stay", "are killed", "stop"} {
		t.Run("owners "+owners, func(t *testing.T) {
			bubble(t, 3, func(c *cluster) {
				l := &zoneLoad{cluster: c, tasks: 2}
				l.run(2 * time.Second)
				if c.fleet.StartsIn("north") == 0 || c.fleet.StartsIn("south") == 0 {
					t.Fatal("one availability zone is not used to begin with")
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
						t.Errorf("%d runs have begun in the evacuated availability zone", got)
					}
				}
				c.open("north")
				l.tasks = 8 // more than the other availability zone holds
				before := c.fleet.StartsIn("north")
				l.run(4 * time.Second)
				if c.fleet.StartsIn("north") == before {
					t.Error("the availability zone is not used again although it is open")
				}
				l.finish(10 * time.Second)
			}, withWork(shortWork))
		})
	}
}

// Instances of other availability zones come to a pool as soon as one is evacuated, before
// those that are left are full, and idle ones leave the evacuated one.
func TestOtherZonesGetInstancesAtOnce(t *testing.T) {
	bubble(t, 3, func(c *cluster) {
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

// While the store does not tell which availability zones are evacuated, and all else goes on,
// nothing is started once what is known is too old, in any of them; jobs go on as soon as it
// is known. A release that was not heard is heard then.
func TestNothingStartsWhileEvacuationsAreUnknown(t *testing.T) {
	bubble(t, 3, func(c *cluster) {
		l := &zoneLoad{cluster: c, tasks: 2}
		l.run(2 * time.Second)
		c.evacuate("north")
		l.run(2 * time.Second)
		c.hideEvacuations()
		c.open("north")
		time.Sleep(4 * time.Second)
		before := c.fleet.Starts()
		l.run(time.Second)
		if got := c.fleet.Starts() - before; got != 0 {
			t.Errorf("%d runs have begun while it is not known which availability zones are evacuated", got)
		}
		c.checkSaysWhyUnknown(t)
		c.setStoreFate(storeWorks)
		inNorth := c.fleet.StartsIn("north")
		l.tasks = 8
		l.run(4 * time.Second)
		l.finish(10 * time.Second)
		if c.fleet.StartsIn("north") == inNorth {
			t.Error("an availability zone whose release was not heard at first is not used again")
		}
	}, withWork(shortWork))
}

// An owner that is new, and has not been told yet which availability zones are evacuated,
// starts nothing, although it knows its jobs and its instances: some may be.
func TestNewOwnerStartsNothingBeforeItKnowsEvacuations(t *testing.T) {
	bubble(t, 2, func(c *cluster) {
		c.evacuate("north")
		time.Sleep(6 * time.Second)
		c.hideEvacuations()
		for n := range 2 {
			c.kill(fmt.Sprintf("n%d", n))
			c.start(fmt.Sprintf("n%d", n))
		}
		time.Sleep(3 * time.Second)
		l := &zoneLoad{cluster: c, tasks: 2}
		l.run(2 * time.Second)
		if got := c.fleet.Starts(); got != 0 {
			t.Errorf("%d runs have begun", got)
		}
		c.checkSaysWhyUnknown(t)
		c.setStoreFate(storeWorks)
		l.finish(10 * time.Second)
	}, withWork(shortWork))
}

// checkSaysWhyUnknown reports it if the log does not say that nothing is started because the
// store does not tell which availability zones are evacuated, and what it answers.
func (c *cluster) checkSaysWhyUnknown(t *testing.T) {
	t.Helper()
	lines := c.logs.about("evacuations unknown")
	if lines == "" {
		t.Error("the log does not say that it is not known which availability zones are evacuated")
	}
	for line := range strings.Lines(lines) {
		if !strings.Contains(line, "error=") || strings.Contains(line, "error=<nil>") {
			t.Errorf("the log does not say why: %s", line)
		}
	}
}

// drawEvacuations adds evacuations to the troubles of a script.
func drawEvacuations(t *rapid.T, s *script) {
	for range rapid.IntRange(1, 3).Draw(t, "evacuations") {
		s.troubles = append(s.troubles, trouble{
			at:    drawTime(t, "evacuation"),
			lasts: time.Duration(rapid.IntRange(0, 6000).Draw(t, "lasts")) * time.Millisecond,
			kind:  "evacuate", index: rapid.IntRange(0, 9).Draw(t, "zone"),
		})
	}
}

// Whatever else goes wrong, nothing starts in an evacuated availability zone, and all jobs
// end as they should once it is open.
func TestZonesAreLeftEmptyUnderRandomTroubles(t *testing.T) {
	t.Parallel()
	checkScripts(t, func(t *rapid.T) script {
		s := drawScript(t)
		drawEvacuations(t, &s)
		return s
	})
}

// The same while pools change hands between members that stand still and are cut off.
func TestZonesAreLeftEmptyWhilePoolsChangeHands(t *testing.T) {
	t.Parallel()
	checkScripts(t, func(t *rapid.T) script {
		s := drawHandOverScript(t)
		drawEvacuations(t, &s)
		return s
	})
}

// A node that owns nothing does not ask which availability zones are evacuated.
func TestOnlyOwnersAskForEvacuations(t *testing.T) {
	bubble(t, 3, func(c *cluster) {
		time.Sleep(10 * time.Second)
		asked := make(map[string]int)
		c.mu.Lock()
		c.onStore = func(node, _, key string) {
			if strings.HasPrefix(key, evacuationPrefix) {
				asked[node]++
			}
		}
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		owners := make(map[string]bool)
		for _, post := range []string{"shift", "payout", "/steward"} {
			owners[c.owner(post)] = true
		}
		const most = 11 // once a second
		for node, n := range asked {
			if n > most || !owners[node] {
				t.Errorf("%s, which owns something: %v, has asked %d times in 10 s", node, owners[node], n)
			}
		}
		if len(asked) != len(owners) {
			t.Errorf("%v have asked, owners are %v", asked, owners)
		}
	})
}
