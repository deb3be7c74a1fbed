package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// This file defines the cases.

const (
	// contactTimeout is for how long after an impairment one counts as near.
	contactTimeout = 3000 * time.Millisecond
	// settleTime is how long a pool is left alone before a case begins.
	settleTime = 4 * time.Second
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// findRun returns a run whose work unit belongs to a job, and its runner.
func (w *world) findRun(j *job) (*run, *runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.runners {
		if !x.up {
			continue
		}
		for _, r := range x.sorted() {
			if r.unit.job == j && !r.since.IsZero() {
				return r, x
			}
		}
	}
	return nil, nil
}

// gangCheckpoint: a runner crashes under a gang whose step checkpoints its progress.
func gangCheckpoint(b *bed, trouble bool) (string, error) {
	const rule = "GANG"
	time.Sleep(settleTime)
	j := newJob(newID(), "plates", &step{Count: 3, CPU: 40000, MemoryMB: 20000, Estimate: 6000, Saves: true, Gang: true, Apart: 1, duration: 8 * time.Second})
	if err := b.submit(j); err != nil {
		return rule, err
	}
	time.Sleep(4500 * time.Millisecond)
	if trouble {
		_, x := b.world.findRun(j)
		if x == nil {
			return rule, fmt.Errorf("the gang does not run")
		}
		b.world.mu.Lock()
		b.world.impairedUntil = time.Now().Add(heartbeats + contactTimeout)
		b.world.mu.Unlock()
		b.world.crash(x)
		time.Sleep(heartbeats)
		if _, err := b.world.start(x.machine, x.service, x.zone, x.labels, x.cpu); err != nil {
			return rule, err
		}
	}
	const longest = 60 * time.Second
	state := ""
	for began := time.Now(); time.Since(began) < longest && state != "completed"; time.Sleep(5 * time.Second) {
		state = b.state(j)
	}
	b.record.printf("the job, which needs 8 s of work, is %s", state)
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	for _, a := range b.world.alone {
		if a.calm {
			b.record.breach(rule, "%s run %d ended alone with no impairment near; it was started with the checkpoint %q", a.task, a.run, a.given)
		}
	}
	return rule, nil
}

// lastingDone: a work unit that lasts ends by itself.
func lastingDone(b *bed, trouble bool) (string, error) {
	const rule = "LOST"
	time.Sleep(settleTime)
	ended := false
	ends := func(r *run, worked time.Duration) string {
		if trouble && !ended && r.unit.index == 0 && worked > 5*time.Second {
			ended = true
			return "done"
		}
		return ""
	}
	j := newJob(newID(), "listener", &step{Count: 3, CPU: 5000, MemoryMB: 20000, Estimate: 500, Lasts: true, Apart: 1, MayMiss: 1, ends: ends})
	if err := b.submit(j); err != nil {
		return rule, err
	}
	time.Sleep(25 * time.Second)
	b.state(j)
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	for _, u := range j.units {
		running := false
		for _, x := range b.world.runners {
			running = running || x.up && x.runs[u.name] != nil
		}
		if !running {
			b.record.breach(rule, "%s has had no run for %v, and its job is not cancelled", u.name, time.Since(u.lastEnd).Round(time.Millisecond))
		}
	}
	return rule, nil
}

// waitingCount: the only runner of a kind refuses all starts for a while, with 503.
func waitingCount(b *bed, trouble bool) (string, error) {
	const rule = "MIXED"
	const jobs, kind, refusing = 6, "b", 6500 * time.Millisecond
	// With one more runner of the other kind, the one of this kind is a tenth of the service's runners.
	if _, err := b.world.start("m-00008", service, zones[1], []string{"a", "r1-2"}, 64000); err != nil {
		return rule, err
	}
	x, err := b.world.start("m-00009", service, zones[0], []string{kind, "r1-2"}, 64000)
	if err != nil {
		return rule, err
	}
	time.Sleep(settleTime)
	if trouble {
		b.world.mu.Lock()
		x.refusing = true
		b.world.mu.Unlock()
		b.record.printf("runner %s, the only one with the label %s, refuses starts for %v", x.id, kind, refusing)
		time.AfterFunc(refusing, func() {
			b.world.mu.Lock()
			defer b.world.mu.Unlock()
			x.refusing = false
		})
	}
	var all []*job
	for range jobs {
		j := newJob(newID(), "check", &step{Count: 1, CPU: 4000, MemoryMB: 17000, Estimate: 800, Needs: kind, duration: 800 * time.Millisecond})
		if err := b.submit(j); err != nil {
			return rule, err
		}
		all = append(all, j)
	}
	// visible_ms + 2 s after the last of them was accepted.
	time.Sleep(5100 * time.Millisecond)
	for _, e := range b.entries {
		waits := b.notBegun(all)
		status, text := b.call(e, http.MethodGet, "", nil)
		var body struct {
			Waiting int `json:"waiting"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
			continue
		}
		if 2*body.Waiting < waits {
			b.record.breach(rule, "%s gives %d jobs as waiting, and %d have not begun", e.name, body.Waiting, waits)
		}
	}
	return rule, nil
}

// notBegun returns how many of some jobs have had no start.
func (b *bed) notBegun(all []*job) int { return len(b.notBegunSet(all)) }

// notBegunSet returns the jobs among some that have had no start.
func (b *bed) notBegunSet(all []*job) map[*job]bool {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	out := make(map[*job]bool)
	for _, j := range all {
		starts := 0
		for _, u := range j.units {
			starts += u.starts
		}
		if starts == 0 {
			out[j] = true
		}
	}
	return out
}

// adviceBurst: many jobs come at once to a queue that asks for advice.
func adviceBurst(b *bed, trouble bool) (string, error) {
	const rule = "LOST"
	// The usual rate is that of quick-proof, and the burst is the largest dose of the site file.
	const usual, burst, burstTime, wholeTime = 5.67, 2.6, 4 * time.Second, 10 * time.Second
	time.Sleep(settleTime)
	var all []*job
	var sent sync.WaitGroup
	for began := time.Now(); time.Since(began) < wholeTime; {
		j := newJob(newID(), "proof", &step{Count: 2, CPU: 1000, MemoryMB: 1000, Estimate: 800, duration: 800 * time.Millisecond})
		j.advised = true
		all = append(all, j)
		sent.Go(func() { _ = b.submit(j) })
		rate := usual
		if since := time.Since(began); trouble && since > time.Second && since < time.Second+burstTime {
			rate = usual * burst
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	sent.Wait()
	b.record.printf("end of the traffic: %d jobs, %d have not begun; %s", len(all), b.notBegun(all), b.advisor.summary())
	const finish = 14 * time.Second
	time.Sleep(finish)
	before := b.notBegunSet(all)
	b.record.printf("%v later: %d have not begun; %s", finish, len(before), b.advisor.summary())
	const still = 3 * time.Second
	time.Sleep(still)
	used := b.usedShare()
	for j := range b.notBegunSet(all) {
		if before[j] && !j.acknowledged.IsZero() && used < 0.5 {
			b.record.breach(rule, "job %s was accepted and has had nothing running for %v; %.2f of the capacity is in use", j.id, still, used)
		}
	}
	const rest = 20 * time.Second
	time.Sleep(rest)
	b.record.printf("%v later: %d have not begun; %s", rest, b.notBegun(all), b.advisor.summary())
	return rule, nil
}

// usedShare returns the share of the runners' processors that is in use.
func (b *bed) usedShare() float64 {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	used, whole := int64(0), int64(0)
	for _, x := range b.world.runners {
		if !x.up {
			continue
		}
		whole += x.cpu
		for _, r := range x.runs {
			used += r.unit.step.CPU
		}
	}
	return float64(used) / float64(whole)
}

// waveOfNewMachine: a wave asks for the upkeep of a machine that has just been added.
func waveOfNewMachine(b *bed, trouble bool) (string, error) {
	const rule, machine, wave = "MIXED", "m-00008", 1
	if !trouble {
		if _, err := b.world.start(machine, service, zones[0], []string{"a", "r1-2"}, 64000); err != nil {
			return rule, err
		}
	}
	time.Sleep(2 * settleTime)
	if trouble {
		b.awaitList()
		if _, err := b.world.start(machine, service, zones[0], []string{"a", "r1-2"}, 64000); err != nil {
			return rule, err
		}
		b.record.printf("machine %s is added, and is listed from now on", machine)
	}
	time.Sleep(300 * time.Millisecond)
	b.store.put("op/wave/1", map[string]any{"wave": wave, "machines": []string{machine}, "duration_s": 26, "upper_bound": 1})
	b.record.printf("operator: wave %d, of machine %s", wave, machine)
	const longest = 16 * time.Second
	last, said := "", 0
	for began := time.Now(); time.Since(began) < longest; time.Sleep(20 * time.Millisecond) {
		text := b.store.value("status/wave/1")
		if text == last {
			continue
		}
		last = text
		begun := b.world.upkeepBegun(machine)
		b.record.printf("status/wave/1 is %s, the upkeep of %s has begun: %v", text, machine, begun)
		if strings.Contains(text, "completed") {
			said++
			if !begun {
				b.record.breach(rule, "the wave is said to be completed, and machine %s, which stays, has not begun its upkeep", machine)
			}
		}
	}
	if said == 0 {
		return rule, fmt.Errorf("the wave was never completed")
	}
	return rule, nil
}

// upkeepBegun reports whether a machine has begun its upkeep.
func (w *world) upkeepBegun(machine string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.runners {
		if x.machine == machine && x.maintained {
			return true
		}
	}
	return false
}

// awaitList waits until the list of machines has just been read.
func (b *bed) awaitList() {
	count := func() int {
		b.world.mu.Lock()
		defer b.world.mu.Unlock()
		return b.listed
	}
	for first := count(); count() == first; {
		time.Sleep(tick)
	}
	time.Sleep(50 * time.Millisecond)
}

// lostAnswer: a start of a work unit that lasts gets no answer, and its runner crashes for good some
// seconds later.
func lostAnswer(b *bed, trouble bool) (string, error) {
	const rule = "LOST"
	const atWork, longest = 6 * time.Second, 30 * time.Second
	time.Sleep(settleTime)
	if trouble {
		b.world.mu.Lock()
		for _, x := range b.world.runners {
			x.unanswered = 1
		}
		b.world.mu.Unlock()
	}
	j := newJob(newID(), "ledger", &step{Count: 1, CPU: 5000, MemoryMB: 20000, Estimate: 700, Lasts: true, MayMiss: 1})
	if err := b.submit(j); err != nil {
		return rule, err
	}
	time.Sleep(time.Second)
	b.world.mu.Lock()
	for _, x := range b.world.runners {
		x.unanswered = 0
	}
	b.world.mu.Unlock()
	time.Sleep(atWork)
	_, x := b.world.findRun(j)
	if x == nil {
		return rule, fmt.Errorf("the work unit does not run")
	}
	if !trouble {
		time.Sleep(longest)
		if _, still := b.world.findRun(j); still == nil {
			b.record.breach(rule, "the work unit does not run any more")
		}
		return rule, nil
	}
	b.world.crash(x)
	// From 6 s after the last run, in 3 s without a run that come after 4 calm ones. The entry of the
	// runner goes after 4.5 s, which is taken for a part of the crash.
	crashed, empty := time.Now(), time.Time{}
	for time.Since(crashed) < longest {
		time.Sleep(20 * time.Millisecond)
		if r, _ := b.world.findRun(j); r != nil {
			b.record.printf("the work unit runs again %v after the crash", time.Since(crashed).Round(time.Millisecond))
			break
		}
		if empty.IsZero() && time.Since(crashed) >= heartbeats+4*time.Second {
			empty = time.Now()
		}
		if !empty.IsZero() && time.Since(empty) >= 3*time.Second && b.record.broken(rule) == 0 {
			b.record.breach(rule, "nothing of the work unit has run for %v, the last 3 s and the 4 s before them were calm, and seven of eight runners are idle", time.Since(crashed).Round(time.Millisecond))
		}
	}
	return rule, nil
}

// unknownCancel: a client cancels a job that nobody has submitted.
func unknownCancel(b *bed, trouble bool) (string, error) {
	const rule = "MIXED"
	time.Sleep(settleTime)
	j := newJob(newID(), "x")
	if trouble {
		b.call(b.entries[0], http.MethodDelete, j.id, nil)
	}
	time.Sleep(time.Second)
	if s := b.state(j); s != "unknown" && s != "" {
		b.record.breach(rule, "job %s, which nobody submitted, is shown as %s", j.id, s)
	}
	return rule, nil
}

// wideJob: a job with many work units comes.
func wideJob(b *bed, trouble bool) (string, error) {
	const rule = "LOST"
	const usual, wide = 24, 1000
	const finish, still, longest = 14 * time.Second, 3 * time.Second, 40 * time.Second
	time.Sleep(settleTime)
	lasting := newJob(newID(), "watch", &step{Count: 3, CPU: 5000, MemoryMB: 20000, Estimate: 500, Lasts: true, Apart: 1, MayMiss: 1})
	if err := b.submit(lasting); err != nil {
		return rule, err
	}
	time.Sleep(2 * time.Second)
	units := usual
	if trouble {
		units = wide
	}
	checks := newJob(newID(), "checks", &step{Count: units, CPU: 200, MemoryMB: 200, Estimate: 10000, duration: 10 * time.Second})
	if err := b.submit(checks); err != nil {
		return rule, err
	}
	accepted := time.Now()
	for began := time.Now(); time.Since(began) < finish; time.Sleep(tick) {
		b.watchGaps(lasting, checks)
	}
	b.record.printf("%v after the end of the traffic; %s", finish, b.lapseCount())
	state := b.state(checks)
	for began := time.Now(); time.Since(began) < longest && state != "completed"; time.Sleep(tick) {
		b.watchGaps(lasting, checks)
		// The job has been asked for; a gap counts only from now on.
		gap := time.Since(later(b.lastRun[checks], began))
		if gap >= still && b.usedShare() < 0.5 {
			b.record.breach(rule, "nothing of the job with %d work units has run for %v, %.2f of the capacity is in use; it was accepted %v ago",
				units, gap.Round(time.Millisecond), b.usedShare(), time.Since(accepted).Round(time.Second))
			break
		}
	}
	b.record.printf("%s", b.lapseCount())
	b.state(checks)
	b.state(lasting)
	return rule, nil
}

// watchGaps notes for each of some jobs when something of it last ran, and records gaps.
func (b *bed) watchGaps(jobs ...*job) {
	if b.lastRun == nil {
		b.lastRun = make(map[*job]time.Time)
	}
	for _, j := range jobs {
		r, _ := b.world.findRun(j)
		if r == nil {
			continue
		}
		last, ok := b.lastRun[j]
		if gap := time.Since(last); ok && gap > time.Second {
			b.record.printf("something of job %s (%s) runs again after %v with nothing", j.id, j.text, gap.Round(time.Millisecond))
		}
		b.lastRun[j] = time.Now()
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// lapseCount returns how many runs have lapsed, as text.
func (b *bed) lapseCount() string {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	return fmt.Sprintf("%d runs have lapsed so far", b.world.lapses)
}
