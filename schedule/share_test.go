package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// A crowd is a pool of some instances on which customers' tasks take a second each.
type crowd struct {
	book  *schedule.Book
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
	c.book.Add(c.now, workload.New(id, "q", policy, spec, c.now, workload.Of(customer)))
}

// step lets 20 ms pass.
func (c *crowd) step() {
	c.now = c.now.Add(20 * time.Millisecond)
	clock := pointport.InstanceClock(c.now.Sub(start).Milliseconds())
	for _, o := range orders(c.book, c.now) {
		c.book.Answered(o, c.now, clock, nil)
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
	rapid.Check(t, func(t *rapid.T) {
		customers := rapid.SampledFrom([]int{1, 5, 20}).Draw(t, "customers")
		skewed := rapid.Bool().Draw(t, "skewed")
		seed := rapid.IntRange(0, 9).Draw(t, "phase")
		run := func(storm float64) (*crowd, map[string]float64) {
			c := newCrowd(20) // 80 cores
			weights := make(map[string]float64)
			rates := make(map[string]float64) // jobs a second
			sum := 0.0
			for n := range customers {
				name := fmt.Sprintf("c%d", n)
				weights[name] = 1
				if skewed {
					weights[name] = 1 / float64(n+1)
				}
				sum += weights[name]
			}
			const usual = 10 // jobs a second of all: 40 of 80 cores
			for name, w := range weights {
				rates[name] = usual * w / sum
			}
			c.book.SetWeights(weights)
			due := make(map[string]float64)
			for ms := 0; ms < 20_000; ms += 20 {
				for n := range customers {
					name := fmt.Sprintf("c%d", n)
					rate := rates[name]
					if n == 0 && ms >= 4000 && ms < 14_000 {
						rate *= storm
					}
					if ms == 0 {
						due[name] = float64((n+seed)%10) / 10
					}
					for due[name] += rate * 0.02; due[name] >= 1; due[name]-- {
						c.submit(name)
					}
				}
				c.step()
			}
			for range 200 {
				c.step()
			}
			return c, rates
		}
		calm, _ := run(1)
		storm, _ := run(10)
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
