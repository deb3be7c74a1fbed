package main

import (
	"fmt"
	"sync"
	"time"
)

// This file defines the case of a tenant's upper_bound.

const (
	// usualBound and loweredBound are the tenant's upper_bound, in thousandths of a core.
	usualBound, loweredBound = 40000, 38400
)

// capLowered: the upper_bound of a tenant is lowered by a 25th while the tenant has all running that it
// may have, and more waiting.
func capLowered(b *bed, trouble bool) (string, error) {
	const rule = "LOST"
	// Jobs as those of shift-close: 8 work units of 1.5 cores and 0.64 s.
	const rate, wholeTime, lowerAfter, units, each = 7, 10 * time.Second, 5 * time.Second, 8, 640 * time.Millisecond
	time.Sleep(settleTime)
	var all []*job
	var sent sync.WaitGroup
	lowered := false
	for began := time.Now(); time.Since(began) < wholeTime; time.Sleep(time.Second / rate) {
		if trouble && !lowered && time.Since(began) >= lowerAfter {
			lowered = true
			b.setBound(loweredBound)
		}
		j := newJob(newID(), "close", &step{Count: units, CPU: 1500, MemoryMB: 500, Estimate: each.Milliseconds(), duration: each})
		all = append(all, j)
		sent.Go(func() { _ = b.submit(j) })
	}
	sent.Wait()
	b.record.printf("end of the traffic: %s", b.progress(all))
	const finish = 14 * time.Second
	time.Sleep(finish)
	b.record.printf("%v later: %s", finish, b.progress(all))
	states := make(map[string]int)
	for _, j := range all {
		if !j.acknowledged.IsZero() {
			states[b.state(j)]++
		}
	}
	b.record.printf("the jobs accepted are shown as %v", states)
	const still = 3 * time.Second
	idle, most := b.idleFor(all, still)
	if most < loweredBound/2 && b.usedShare() < 0.5 {
		for _, j := range idle {
			b.record.breach(rule, "job %s was accepted %v ago and has had nothing running for %v, though %d of its %d work units are not done; its tenant held %d thousandths of a core at most, and %.2f of the service's room is in use",
				j.id, time.Since(j.acknowledged).Round(time.Second), still, b.open(j), units, most, b.usedShare())
		}
	}
	const rest = 20 * time.Second
	time.Sleep(rest)
	b.record.printf("%v later: %s", rest, b.progress(all))
	return rule, nil
}

// gangNearCap: a gang comes that needs nearly all of its tenant's upper_bound, where there are four
// services. With trouble left out, it needs three quarters.
func gangNearCap(b *bed, trouble bool) (string, error) {
	const rule = "LOST"
	const members, nearly, less, longest = 3, 12000, 10000, 25 * time.Second
	time.Sleep(settleTime)
	cpu := int64(less)
	if trouble {
		cpu = nearly
	}
	j := newJob(newID(), "plates", &step{Count: members, CPU: cpu, MemoryMB: 500, Estimate: 2000, Gang: true, duration: 2 * time.Second})
	if err := b.submit(j); err != nil {
		return rule, err
	}
	time.Sleep(longest)
	b.record.printf("%v later: %s, shown as %s", longest, b.progress([]*job{j}), b.state(j))
	if b.open(j) > 0 {
		b.record.breach(rule, "the gang needs %d of %d thousandths of a core and has not run, though all runners are idle", members*cpu, int64(usualBound))
	}
	return rule, nil
}

// setBound writes a configuration with another upper_bound of the tenant.
func (b *bed) setBound(cpu int64) {
	t := *b.tenant
	t.cpu = cpu
	b.tenant = &t
	const second = 2
	b.configure(second)
}

// open returns how many work units of a job are not done.
func (b *bed) open(j *job) int {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	n := 0
	for _, u := range j.units {
		if u.doneAt.IsZero() {
			n++
		}
	}
	return n
}

// progress returns what is done of some jobs, as text.
func (b *bed) progress(all []*job) string {
	accepted, complete := 0, 0
	for _, j := range all {
		if j.acknowledged.IsZero() {
			continue
		}
		accepted++
		if b.open(j) == 0 {
			complete++
		}
	}
	return fmt.Sprintf("%d jobs sent, %d accepted, %d of them with all work units done, %d thousandths of a core in use", len(all), accepted, complete, b.inUse())
}

// inUse returns how much runs, in thousandths of a core. All of it is the tenant's.
func (b *bed) inUse() int64 {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	used := int64(0)
	for _, x := range b.world.runners {
		for _, r := range x.runs {
			used += r.unit.step.CPU
		}
	}
	return used
}

// idleFor watches for a time, and returns the jobs accepted before that are not done and had nothing
// running all the while, and the most that ran at any moment.
func (b *bed) idleFor(all []*job, watch time.Duration) ([]*job, int64) {
	waits := make(map[*job]bool)
	for _, j := range all {
		waits[j] = !j.acknowledged.IsZero() && b.open(j) > 0
	}
	most := int64(0)
	for began := time.Now(); time.Since(began) < watch; time.Sleep(tick) {
		most = max(most, b.inUse())
		b.world.mu.Lock()
		for _, x := range b.world.runners {
			for _, r := range x.runs {
				waits[r.unit.job] = false
			}
		}
		b.world.mu.Unlock()
	}
	var idle []*job
	for _, j := range all {
		if waits[j] && b.open(j) > 0 {
			idle = append(idle, j)
		}
	}
	return idle, most
}
