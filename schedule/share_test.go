package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// A crowd is a pool of some instances on which customers' tasks take a second each.
type crowd struct {
	book  *schedule.Scheduler
	now   time.Time
	ends  map[*schedule.Worker][]end
	owner map[string]string
	sent  map[string]time.Time
	// inTime and asked count the jobs of each customer that ended in time, and all.
	inTime, asked map[string]int
	number        int64
}

type end struct {
	at  time.Time
	run pointport.TaskRun
}

const crowdTask = time.Second

func newCrowd(instances int) *crowd {
	c := &crowd{
		book: newBook(), now: start, ends: make(map[*schedule.Worker][]end), owner: make(map[string]string),
		sent: make(map[string]time.Time), inTime: make(map[string]int), asked: make(map[string]int),
	}
	var all []pointport.Incarnation
	for n := range instances {
		all = append(all, incarnation(n))
	}
	hear(c.book, c.now, all...)
	return c
}

// submit hands in a job of four tasks of a core each.
func (c *crowd) submit(customer string) {
	id := fmt.Sprintf("%016x", len(c.owner))
	c.owner[id], c.sent[id] = customer, c.now
	c.asked[customer]++
	spec := &workload.Spec{Steps: []workload.Step{{Count: 4, Need: pointport.Shape{CPUMilli: 1000, MemoryMiB: 10}, Estimate: crowdTask}}}
	c.book.Add(c.now, workload.New(id, "q", policy, spec, c.now, workload.WithCustomer(customer)))
}

// step lets 20 ms pass.
func (c *crowd) step() {
	c.now = c.now.Add(20 * time.Millisecond)
	clock := pointport.InstanceClock(c.now.Sub(start).Milliseconds())
	for _, o := range orders(c.book, c.now) {
		c.book.OrderAnswered(o, c.now, clock, nil)
		if o.Kind == schedule.OrderStart {
			c.ends[o.Worker] = append(c.ends[o.Worker], end{c.now.Add(crowdTask), o.TaskRun})
		}
	}
	for w, all := range c.ends {
		var report pointport.Report
		report.Clock = clock
		var left []end
		for _, e := range all {
			if e.at.After(c.now) {
				left = append(left, e)
				report.Running = append(report.Running, pointport.RunningTask{TaskRun: e.run})
				continue
			}
			c.number++
			report.Ended = append(report.Ended, pointport.TaskEnd{Number: c.number, TaskRun: e.run, Kind: pointport.EndDone})
		}
		c.ends[w] = left
		c.book.Report(w, c.now, c.now, report)
	}
	for id, at := range c.sent {
		status, _ := c.book.Status(id)
		if !status.Ended() {
			continue
		}
		if objective := time.Duration(policy.Stretch*float64(crowdTask)) + policy.Target; c.now.Sub(at) <= objective {
			c.inTime[c.owner[id]]++
		}
		delete(c.sent, id)
	}
}

// One customer sends ten times its usual into a pool that is half full: what it takes from
// any other's served share is at most 0.05, whether there are five customers or twenty, of
// like size or not. Without shares the four others of five lost 0.20 to 0.32 of theirs.
func TestStormTakesNothingFromOthers(t *testing.T) {
	for _, customers := range []int{1, 5, 20} {
		for _, skewed := range []bool{false, true} {
			for _, phase := range []int{0, 3} {
				t.Run(fmt.Sprintf("%d customers, skewed %v, phase %d", customers, skewed, phase), func(t *testing.T) {
					calm, storm := playCrowd(customers, skewed, phase, 1), playCrowd(customers, skewed, phase, 10)
					for n := 1; n < customers; n++ {
						name := fmt.Sprintf("c%d", n)
						if calm.asked[name] < 20 {
							continue // one job more or less is more than the bound
						}
						before := float64(calm.inTime[name]) / float64(calm.asked[name])
						after := float64(storm.inTime[name]) / float64(storm.asked[name])
						if after < before-0.05 {
							t.Errorf("customer %s has %.2f of %d jobs in time, %.2f while another storms", name, before, calm.asked[name], after)
						}
					}
				})
			}
		}
	}
}

// playCrowd plays twenty seconds of customers, of which the first sends so many times its
// usual for ten.
func playCrowd(customers int, skewed bool, phase int, storm float64) *crowd {
	const (
		tick  = 20 * time.Millisecond
		usual = 10.0 // jobs a second of all: 40 of 80 cores
	)
	c := newCrowd(20)
	weights := make(map[string]float64)
	due := make([]float64, customers)
	sum := 0.0
	for n := range customers {
		w := 1.0
		if skewed {
			w = 1 / float64(n+1)
		}
		weights[fmt.Sprintf("c%d", n)] = w
		sum += w
		due[n] = float64((n+phase)%10) / 10
	}
	c.book.SetWeights(weights)
	for at := time.Duration(0); at < 24*time.Second; at += tick {
		for n := range customers {
			name := fmt.Sprintf("c%d", n)
			rate := usual * weights[name] / sum
			if n == 0 && at >= 4*time.Second && at < 14*time.Second {
				rate *= storm
			}
			for due[n] += rate * tick.Seconds(); due[n] >= 1 && at < 20*time.Second; due[n]-- {
				c.submit(name)
			}
		}
		c.step()
	}
	return c
}

// While a customer storms, the book says after a while that no more of its jobs are of use,
// says so of nobody else, and stops when the backlog has gone.
func TestExcessIsToldOfTheStormAlone(t *testing.T) {
	c := newCrowd(20)
	weights := map[string]float64{"c0": 1, "c1": 1, "c2": 1, "c3": 1, "c4": 1}
	c.book.SetWeights(weights)
	first, last := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < 40*time.Second; at += 20 * time.Millisecond {
		if at%(500*time.Millisecond) == 0 && at < 20*time.Second {
			for name := range weights {
				c.submit(name)
			}
		}
		excess := c.book.Excess(c.now)
		if at >= 4*time.Second && at < 14*time.Second && excess["c0"] == 0 {
			c.submit("c0") // 50 a second, where the pool ends 20
		}
		for name, d := range excess {
			if name != "c0" {
				t.Fatalf("after %v, no more jobs of %s are wanted for %v", at, name, d)
			}
			if first == 0 {
				first = at
			}
			last = at
		}
		c.step()
	}
	if first < 4*time.Second || first > 8*time.Second || last > 25*time.Second {
		t.Errorf("no more jobs of the storm are wanted from %v to %v, want from after 4 s and soon to its end", first, last)
	}
}
