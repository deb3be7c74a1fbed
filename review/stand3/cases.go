package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the cases and the checks that they share.

// A caseOf is a case: its deployment and its play, which returns the exit code.
type caseOf struct {
	settings bedSettings
	play     func(*bed) int
}

var cases = map[string]caseOf{
	"gang-retired":    {onePool, gangRetired},
	"leaving-runner":  {onePool, leavingRunner},
	"wave-of-new":     {onePool, waveOfNew},
	"advised-retired": {bedSettings{entries: 4, pools: []string{"floor-app"}, machines: 8, spare: 8, mayRun: inSecondRack}, advisedRetired},
}

// onePool is a deployment with one pool.
var onePool = bedSettings{entries: 4, pools: []string{"floor-app"}, machines: 8, spare: 8}

// settle is the time from the start of the machines until traffic starts.
const settle = 6 * time.Second

// checkStart records what a start breaks in any case. The lock is held.
func (b *bed) checkStart(at *life, r *run, o order) {
	if most := r.step.AntiAffinity; most > 0 {
		for task := range at.runs {
			if gangName(task) == gangName(r.task) {
				most--
			}
		}
		if most <= 0 {
			b.record("ROUTE %s run %d starts on %s beyond anti_affinity", r.task, r.number, at.machine.name)
		}
	}
	if o.Spec != "spec of "+r.job.id {
		b.record("UNASKED %s run %d starts with another task_spec", r.task, r.number)
	}
	if r.job.noted[r.task] {
		b.record("TWICE %s run %d starts after its end as done was taken note of", r.task, r.number)
	}
	for _, m := range b.machines {
		if m.life != nil && m.life != at && m.life.runs[r.task] != nil {
			b.record("TWICE %s run %d starts on %s while run %d is on %s", r.task, r.number, at.machine.name, m.life.runs[r.task].number, m.name)
		}
	}
}

// hostsOf returns the machines that run units of a job.
func (b *bed) hostsOf(j *job) []*machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*machine
	for _, m := range b.machines {
		if m.life == nil {
			continue
		}
		for task := range m.life.runs {
			if strings.HasPrefix(task, j.id+".") {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

// working reports whether all units of a gang work.
func (b *bed) working(j *job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, m := range b.machines {
		if m.life == nil {
			continue
		}
		for task, r := range m.life.runs {
			if strings.HasPrefix(task, j.id+".") && !r.works.IsZero() {
				n++
			}
		}
	}
	return n == j.steps[0].Count
}

// A gangPlay is a play in which a runner crashes under gangs.
type gangPlay struct {
	jobs []*job
	// calm is from when no impairment is near.
	calm time.Time
}

// crashUnderGangs hands gangs in, crashes one runner under them once they have saved progress, and asks
// for the jobs until all are done, or for 60 s. It returns nil if that could not be played.
func crashUnderGangs(b *bed, n int, s step) *gangPlay {
	time.Sleep(settle)
	p := &gangPlay{}
	for i := range n {
		j := b.newJob("floor-app", s)
		if !b.submit(j, i) {
			return nil
		}
		p.jobs = append(p.jobs, j)
		if !eventually(10*time.Second, func() bool { return b.working(j) }) {
			return nil
		}
	}
	time.Sleep(3600 * time.Millisecond)
	const down = 4500 * time.Millisecond
	if b.trouble {
		b.hostsOf(p.jobs[0])[0].crash(down)
	}
	p.calm = time.Now().Add(down + contactTime + gangTime)
	open := p.jobs
	for end := time.Now().Add(60 * time.Second); len(open) > 0 && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		var left []*job
		for _, j := range open {
			if b.ask(j) != "completed" {
				left = append(left, j)
			}
		}
		open = left
	}
	return p
}

// gangRetired: a runner crashes under gangs whose members must be on different runners. The other
// runners are idle then, and there are twice as many as a gang needs.
func gangRetired(b *bed) int {
	p := crashUnderGangs(b, 3, step{Count: 4, CPU: 1900, Memory: 2700, EstimatedMS: 8000, Gang: true, AntiAffinity: 1, Work: 8 * time.Second})
	if p == nil {
		return exitNotRun
	}
	broken := false
	for _, j := range p.jobs {
		idle := b.idleSince(j, p.calm)
		b.record("job %s is %s; it had nothing running for the last %v", j.id, j.state, idle.Round(time.Millisecond))
		if j.state != "completed" && idle > 20*time.Second {
			b.record("LOST  broken by job %s: its turn has come, and nothing of it runs", j.id)
			broken = true
		}
	}
	b.recordMachines()
	if broken {
		return exitBroken
	}
	return exitHeld
}

// idleSince returns for how long a job has had nothing running, from a time on.
func (b *bed) idleSince(j *job, from time.Time) time.Duration {
	if len(b.hostsOf(j)) > 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.ends {
		if strings.HasPrefix(e.task, j.id+".") && e.at.After(from) {
			from = e.at
		}
	}
	return time.Since(from)
}

// recordMachines records where the machines are and how much of each is in use.
func (b *bed) recordMachines() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.machines {
		cpu := 0
		if m.life != nil {
			for _, r := range m.life.runs {
				cpu += r.step.CPU
			}
		}
		b.record("%s is in pool %s, %s, with %d of %d cpu in use", m.name, m.pool, m.state, cpu, machineCPU)
	}
}

// inSecondRack is a policy that lets only the second rack run a step.
func inSecondRack(_ string, m *machine) bool { return m.rack == "r1-1" }

// advisedRetired: the runner of a job's only work unit is lost for good. Others may run it, by the policy of
// its queue.
func advisedRetired(b *bed) int {
	time.Sleep(settle)
	j := b.newJob("floor-app", step{Count: 1, CPU: 1900, Memory: 2700, EstimatedMS: 8000, Work: 8 * time.Second})
	if !b.submit(j, 0) {
		return exitNotRun
	}
	var hosts []*machine
	if !eventually(15*time.Second, func() bool { hosts = b.hostsOf(j); return len(hosts) > 0 }) {
		return exitNotRun
	}
	time.Sleep(5 * time.Second)
	if b.trouble {
		hosts[0].crash(0)
	}
	calm := time.Now().Add(contactTime + 3*heartbeat)
	for end := time.Now().Add(60 * time.Second); b.ask(j) != "completed" && time.Now().Before(end); {
		time.Sleep(500 * time.Millisecond)
	}
	idle := b.idleSince(j, calm)
	b.recordMachines()
	b.record("job %s is %s; it had nothing running for the last %v", j.id, j.state, idle.Round(time.Millisecond))
	if j.state != "completed" && idle > 20*time.Second {
		b.record("LOST  broken by job %s", j.id)
		return exitBroken
	}
	return exitHeld
}

// The bounds and figures of leavingRunner.
const (
	drainTimeout = 2 * time.Second
	// leaveAfter is how long a runner stays once it has said that it leaves: drainTimeout and a little longer.
	leaveAfter = 4 * time.Second
	// unansweredFor is how long the runner leaves the starts of one work unit unanswered.
	unansweredFor = 2500 * time.Millisecond
)

// leavingRunner: a runner says that it leaves while it has left the start of a work unit unanswered. Without
// the disruption it leaves all the same, and answers.
func leavingRunner(b *bed) int {
	time.Sleep(settle)
	var late string // the work unit whose starts get no answer
	var at *life
	var first time.Time
	unanswered, orders := 0, 0
	b.mu.Lock()
	b.leavesUnanswered = func(l *life, o order) bool {
		orders++
		if late == "" {
			late, at, first = o.Task, l, time.Now()
		}
		if !b.trouble || l != at || o.Task != late || time.Since(first) > unansweredFor {
			return false
		}
		unanswered++
		b.record("%s leaves an order unanswered: start %s run %d", l.machine.name, o.Task, o.Run)
		return true
	}
	b.mu.Unlock()
	j := b.newJob("floor-app", step{Count: 12, CPU: 1900, Memory: 2700, EstimatedMS: 1700, Work: 1700 * time.Millisecond})
	if !b.submit(j, 0) {
		return exitNotRun
	}
	if !eventually(15*time.Second, func() bool { b.mu.Lock(); defer b.mu.Unlock(); return at != nil }) {
		return exitNotRun
	}
	time.Sleep(300 * time.Millisecond)
	said := at.machine.leave(leaveAfter)
	eventually(40*time.Second, func() bool { return b.ask(j) == "completed" && time.Since(said) > leaveAfter+time.Second })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record("job %s is %s; %d of %d starts sent were left unanswered", j.id, j.state, unanswered, orders)
	broken := false
	for _, s := range b.starts {
		if s.machine == at.machine.name && s.at.Sub(said) > drainTimeout {
			b.record("DRAIN broken: %s run %d starts on %s %v after the store took that it leaves", s.task, s.number, s.machine, s.at.Sub(said).Round(time.Millisecond))
			broken = true
		}
	}
	for _, e := range b.ends {
		if e.machine == at.machine.name && e.how == "lost" {
			b.record("%s run %d was lost with %s", e.task, e.number, e.machine)
		}
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}

// waveOfNew: a machine is added, and a wave of it is asked for soon after.
func waveOfNew(b *bed) int {
	time.Sleep(settle)
	name := b.machines[0].name
	reads := b.readings()
	if !eventually(5*time.Second, func() bool { return b.readings() > reads }) {
		return exitNotRun // the system has not read the list of machines
	}
	if b.trouble {
		m := newMachine(b, len(b.machines), "floor-app")
		b.mu.Lock()
		b.machines = append(b.machines, m)
		b.mu.Unlock()
		if err := m.boot(); err != nil {
			return exitNotRun
		}
		name = m.name
	}
	time.Sleep(300 * time.Millisecond)
	if err := b.askWave(1, 26, 1, name); err != nil {
		return exitNotRun
	}
	early := false
	eventually(20*time.Second, func() bool {
		state, done := b.waveState(1), b.hadUpkeep(1, name)
		if state == "completed" && !done && !early {
			early = true
			b.record("MIXED broken: the wave is said to be completed, and %s has not begun its upkeep", name)
		}
		return state == "completed" && done
	})
	b.record("wave 1 is %q, upkeep of %s begun: %v", b.waveState(1), name, b.hadUpkeep(1, name))
	if early {
		return exitBroken
	}
	return exitHeld
}

// readings returns how often the list of machines was read.
func (b *bed) readings() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listReads
}

// askWave writes the request of a wave.
func (b *bed) askWave(number, seconds, bound int, machines ...string) error {
	value, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "duration_s": seconds, "upper_bound": bound})
	if err != nil {
		return err
	}
	b.record("the operator asks for wave %d of %v", number, machines)
	_, err = b.kv.Commit(context.Background(), pointport.Txn{Put: []pointport.Put{{Key: fmt.Sprintf("op/wave/%d", number), Value: value}}})
	return err
}

// waveState returns the state of a wave as the operator reads it, empty if there is none.
func (b *bed) waveState(number int) string {
	item, err := b.kv.Get(context.Background(), fmt.Sprintf("status/wave/%d", number))
	if err != nil || !item.Exists() {
		return ""
	}
	var body struct {
		State string `json:"state"`
	}
	if json.Unmarshal(item.Value(), &body) != nil {
		return "unreadable"
	}
	return body.State
}

// hadUpkeep reports whether a machine has begun its upkeep for a wave.
func (b *bed) hadUpkeep(number int64, name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.machines {
		if m.name == name {
			return m.upkeepDone[number]
		}
	}
	return false
}
