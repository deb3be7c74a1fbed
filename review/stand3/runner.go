package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines machines, their runners and the work units that run there. The lock of the
// bed guards all of it.

// capacity is that of each machine, as the sheet of tippijako-prod gives it.
const (
	machineCPU      = 16000
	machineMemoryMB = 32768
	machinesPerRack = 4
)

// A machine is a machine of a pool. Its present runner is life, nil while there is none.
type machine struct {
	bed     *bed
	name    string
	pool    string
	state   string // up, moving, upkeep or down
	zone    string
	rack    string
	address string
	life    *life
	server  *http.Server
	holder  string
	fence   int64
	// upkeepDone holds the waves for which it had its upkeep.
	upkeepDone map[int64]bool
}

// A life is one boot of a runner.
type life struct {
	machine  *machine
	id       string
	pool     string
	bootAt   time.Time
	fence    int64
	lease    time.Time
	runs     map[string]*run
	ruledOut map[string]int
	ended    []endRow
	last     int64
	seen     int64 // the highest last_seen
	beats    int
	draining time.Time // until when it stays, zero if it does not drain
	gone     bool
}

// A run is a run of a work unit.
type run struct {
	task       string
	number     int
	checkpoint string
	job        *job
	step       *step
	arrived    time.Time
	// works is from when it works, zero while its gang is not complete.
	works  time.Time
	base   time.Duration // the work that it resumed with
	stopAt time.Time     // when it will have stopped, zero if nobody has asked
}

type endRow struct {
	n      int64
	task   string
	number int
	how    string
	saved  string
}

// A startSeen is a start, an endSeen the end of a run, as the runners saw it.
type startSeen struct {
	at         time.Time
	task       string
	number     int
	machine    string
	fence      int64
	checkpoint string
}

type endSeen struct {
	at      time.Time
	task    string
	number  int
	machine string
	how     string
}

func newMachine(b *bed, n int, pool string) *machine {
	return &machine{
		bed: b, name: fmt.Sprintf("m-%02d", n), pool: pool, state: "up", zone: zones[n%len(zones)], rack: fmt.Sprintf("r1-%d", n/machinesPerRack),
		address: fmt.Sprintf("%s%d:8621", b.network, 100+n), upkeepDone: make(map[int64]bool),
	}
}

// boot starts a new runner on the machine.
func (m *machine) boot() error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.bed.mu.Lock()
	defer m.bed.mu.Unlock()
	if m.bed.closed {
		_ = l.Close()
		return errClosed
	}
	m.bed.boots++
	life := &life{machine: m, id: fmt.Sprintf("i-%04x%04x", m.bed.boots, m.bed.seed.IntN(1<<16)), pool: m.pool, bootAt: time.Now(), runs: make(map[string]*run), ruledOut: make(map[string]int)}
	m.life, m.state = life, "up"
	m.server = &http.Server{Handler: life.handler()}
	server := m.server
	go func() { _ = server.Serve(l) }() // ends with the life
	m.bed.record("%s boots as %s in %s", m.name, life.id, m.pool)
	go life.beat()
	return nil
}

// shut ends the runner of the machine without a word. The lock is held.
func (m *machine) shut() {
	if m.life == nil {
		return
	}
	m.life.gone = true
	m.life = nil
	server := m.server
	go func() { _ = server.Close() }()
}

// crash ends the runner, and boots another one after a while, or never if down is zero.
func (m *machine) crash(down time.Duration) {
	b := m.bed
	b.mu.Lock()
	if m.life == nil {
		b.mu.Unlock()
		return
	}
	life := m.life
	b.record("%s (%s) crashes, down for %v (0s: lost for good)", m.name, life.id, down)
	m.state = "down"
	b.endLife(life)
	m.shut()
	b.mu.Unlock()
	go func() {
		time.Sleep(3 * heartbeat) // three pings of silence
		b.remove(life.id)
	}()
	if down == 0 {
		m.lost()
		return
	}
	go func() {
		time.Sleep(down)
		b.bootAgain(m)
	}()
}

// leave lets the runner say that it leaves, and end after a while. It returns the time at which the store
// had taken that.
func (m *machine) leave(after time.Duration) time.Time {
	b := m.bed
	b.mu.Lock()
	life := m.life
	life.draining = time.Now().Add(after)
	b.mu.Unlock()
	life.write()
	said := time.Now()
	b.record("%s (%s) says that it leaves, and has %v left; the store has taken that", m.name, life.id, after)
	go func() {
		time.Sleep(time.Until(life.draining))
		b.mu.Lock()
		b.record("%s (%s) leaves", m.name, life.id)
		b.endLife(life)
		m.shut()
		b.mu.Unlock()
		b.remove(life.id)
		m.lost()
	}()
	return said
}

// lost removes the machine for good.
func (m *machine) lost() {
	b := m.bed
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machines = slices.DeleteFunc(slices.Clone(b.machines), func(o *machine) bool { return o == m })
}

// bootAgain boots a runner, and tries again while the address is in use.
func (b *bed) bootAgain(m *machine) {
	for range 50 {
		err := m.boot()
		if err == nil || err == errClosed {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.record("%s cannot boot", m.name)
}

// endLife ends all that runs on a runner that is lost. The lock is held.
func (b *bed) endLife(l *life) {
	now := time.Now()
	for _, r := range l.sorted() {
		delete(l.runs, r.task)
		b.noteEnd(now, l, r, "lost")
		b.breakGang(now, r)
	}
}

// remove removes a runner's entry from the store.
func (b *bed) remove(id string) {
	_, _ = b.kv.Commit(context.Background(), pointport.Txn{Delete: []string{"servers/" + id}}) // the store of the bed is always there
}

// beat writes the runner's entry until its end.
func (l *life) beat() {
	for l.write() {
		time.Sleep(heartbeat)
	}
}

// write writes the runner's entry. It returns false once the runner has ended.
func (l *life) write() bool {
	l.machine.bed.mu.Lock()
	gone := l.gone
	l.beats++
	body := map[string]any{
		"service": l.pool, "address": l.machine.address, "zone": l.machine.zone, "version": "4.1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "call_sequence": l.beats, "machine": l.machine.name,
		"capacity": map[string]int{"cpu": machineCPU, "memory_request_mb": machineMemoryMB, "gpu": 0}, "labels": []string{"a", l.machine.rack},
	}
	if !l.draining.IsZero() {
		body["state"], body["remaining_ms"] = "draining", max(0, time.Until(l.draining).Milliseconds())
	}
	l.machine.bed.mu.Unlock()
	if gone {
		return false
	}
	value, _ := json.Marshal(body) // it holds only text and numbers
	_, _ = l.machine.bed.kv.Commit(context.Background(), pointport.Txn{Put: []pointport.Put{{Key: "servers/" + l.id, Value: value}}})
	return true
}

func (l *life) clock(at time.Time) int64 { return 400000 + at.Sub(l.bootAt).Milliseconds() }

func (l *life) timeOf(clock int64) time.Time {
	return l.bootAt.Add(time.Duration(clock-400000) * time.Millisecond)
}

func (l *life) sorted() []*run {
	out := make([]*run, 0, len(l.runs))
	for _, r := range l.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].task < out[k].task })
	return out
}

// An order is the body of any call to a runner.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"task_spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	Ticket     string `json:"ticket"`
	Seen       int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
}

// startPath is the path of the call that starts a work unit.
const startPath = "/v1/run-start"

// lateBy is how much later a runner carries out an order that it leaves unanswered. The pages have 2 to 12 s.
const lateBy = 6 * time.Second

// carryOutLate carries out a start that was left unanswered, if the runner is still there then.
func (l *life) carryOutLate(o order) {
	time.Sleep(lateBy)
	l.machine.bed.mu.Lock()
	defer l.machine.bed.mu.Unlock()
	if !l.gone {
		l.machine.bed.record("%s carries out an order late: start %s run %d", l.machine.name, o.Task, o.Run)
		l.start(o)
	}
}

// handler serves the calls to a runner.
func (l *life) handler() http.Handler {
	b := l.machine.bed
	mux := http.NewServeMux()
	serve := func(path string, act func(context.Context, order) (int, map[string]any)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if want := r.Header.Get("X-Expect-Instance"); want != "" && want != l.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			b.mu.Lock()
			if l.gone {
				b.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			if path == startPath && b.leavesUnanswered != nil && b.leavesUnanswered(l, o) {
				b.mu.Unlock()
				go l.carryOutLate(o)
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			status, body := act(r.Context(), o) // unlocks
			if body == nil {
				body = make(map[string]any)
			}
			body["clock_ms"] = l.clock(time.Now())
			b.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs no answer
		})
	}
	serve(startPath, func(_ context.Context, o order) (int, map[string]any) { return l.start(o) })
	serve("/v1/run-stop", func(_ context.Context, o order) (int, map[string]any) { return l.stop(o) })
	serve("/v1/pace", func(context.Context, order) (int, map[string]any) { return http.StatusOK, nil })
	serve("/v1/hold", l.hold)
	return mux
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// admit checks the fence of an order and extends the lease.
func (l *life) admit(o order) bool {
	if o.Fence < l.fence {
		return false
	}
	l.fence = o.Fence
	l.extend(o.Deadline)
	return true
}

func (l *life) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := l.timeOf(deadline)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
	}
	if until.After(l.lease) {
		l.lease = until
	}
}

// start carries out a start. The lock is held.
func (l *life) start(o order) (int, map[string]any) {
	b, now := l.machine.bed, time.Now()
	if !l.admit(o) {
		return refuse("fence")
	}
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, nil
	}
	if l.ruledOut[o.Task] >= o.Run || l.runs[o.Task] != nil {
		return refuse("old")
	}
	if !l.lease.After(now) {
		return refuse("late")
	}
	j, st := b.unit(o.Task)
	if j == nil {
		b.record("UNASKED %s: nobody sent it", o.Task)
		return http.StatusBadRequest, nil
	}
	cpu, memory := st.CPU, st.Memory
	for _, r := range l.runs {
		cpu, memory = cpu+r.step.CPU, memory+r.step.Memory
	}
	if cpu > machineCPU || memory > machineMemoryMB {
		return refuse("room")
	}
	if b.mayRun != nil && !b.ticketHolds(now, o, l) {
		return refuse("ticket")
	}
	r := &run{task: o.Task, number: o.Run, checkpoint: o.Checkpoint, job: j, step: st, arrived: now}
	r.base = savedWork(o.Checkpoint)
	b.starts = append(b.starts, startSeen{now, o.Task, o.Run, l.machine.name, o.Fence, o.Checkpoint})
	b.record("start %s run %d on %s (%s) fence %d checkpoint %q", o.Task, o.Run, l.machine.name, l.id, o.Fence, o.Checkpoint)
	b.checkStart(l, r, o)
	l.runs[o.Task] = r
	if !st.Gang {
		r.works = now.Add(restore(o.Checkpoint))
	} else {
		b.gather(now, r)
	}
	b.wake()
	return http.StatusOK, nil
}

func restore(checkpoint string) time.Duration {
	if checkpoint == "" {
		return 0
	}
	return restoreTime
}

// stop carries out a stop. The lock is held.
func (l *life) stop(o order) (int, map[string]any) {
	if !l.admit(order{Fence: o.Fence}) {
		return refuse("fence")
	}
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		if r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime / 2)
			l.machine.bed.record("stop %s run %d on %s", o.Task, o.Run, l.machine.name)
		}
		return http.StatusOK, nil
	}
	l.ruledOut[o.Task] = max(l.ruledOut[o.Task], o.Run)
	return http.StatusOK, nil
}

// hold answers both lists, after an end or the time to wait. The lock is held.
func (l *life) hold(ctx context.Context, o order) (int, map[string]any) {
	b := l.machine.bed
	if !l.admit(o) {
		return refuse("fence")
	}
	kept := l.ended[:0]
	for _, e := range l.ended {
		if e.n > o.Seen {
			kept = append(kept, e)
		} else if j, _ := b.unit(e.task); j != nil && e.how == "done" {
			j.noted[e.task] = true
		}
	}
	l.ended = kept
	if o.Seen > l.seen {
		l.seen = o.Seen
	}
	until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for last := l.last; o.Wait > 0 && l.last == last && len(l.ended) == 0 && !l.gone && time.Now().Before(until); {
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			b.mu.Lock()
			return http.StatusOK, nil
		}
		b.mu.Lock()
	}
	if l.gone {
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for _, r := range l.sorted() {
		running = append(running, []any{r.task, r.number, r.saved(now), r.percent(now), r.step.CPU})
	}
	for n, e := range l.ended {
		if n == 500 {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.number, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// work returns how much of its work a run has done.
func (r *run) work(now time.Time) time.Duration {
	if r.works.IsZero() || now.Before(r.works) {
		return r.base
	}
	return min(r.base+now.Sub(r.works), r.step.Work)
}

func (r *run) percent(now time.Time) int {
	return int(100 * r.work(now) / max(r.step.Work, time.Millisecond))
}

// saved returns the last saved progress: the work done in whole save intervals.
func (r *run) saved(now time.Time) string {
	if !r.step.Checkpointing {
		return ""
	}
	done := r.work(now)
	done -= (done - r.base) % saveTime
	return r.text(done)
}

// text returns the saved progress for an amount of work, in the form of the pages' examples: the
// work and a part of the job's ID.
func (r *run) text(done time.Duration) string {
	if done == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", done.Milliseconds(), r.job.id[4:12])
}

// savedWork returns the work that a saved progress stands for.
func savedWork(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	n, err := strconv.ParseInt(checkpoint[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// end ends a run on a runner that is up. The lock is held.
func (b *bed) end(now time.Time, l *life, r *run, how string) {
	saved := r.saved(now)
	if how == "stopped" && r.step.Checkpointing {
		saved = r.text(r.work(now))
	}
	if how == "done" {
		saved = ""
	}
	delete(l.runs, r.task)
	l.ruledOut[r.task] = max(l.ruledOut[r.task], r.number)
	l.last++
	l.ended = append(l.ended, endRow{l.last, r.task, r.number, how, saved})
	b.noteEnd(now, l, r, how)
	b.wake()
}

func (b *bed) noteEnd(now time.Time, l *life, r *run, how string) {
	b.ends = append(b.ends, endSeen{now, r.task, r.number, l.machine.name, how})
	b.record("end   %s run %d on %s %s", r.task, r.number, l.machine.name, how)
	if how == "done" {
		r.job.done[r.task] = true
	}
}

// wake wakes the polls that wait. The lock is held.
func (b *bed) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// gangName returns the name that the members of a gang share.
func gangName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// A member is a run of a gang and where it is.
type member struct {
	life *life
	run  *run
}

// members returns the runs of the same gang and start as a run.
func (b *bed) members(r *run) []member {
	var out []member
	for _, m := range b.machines {
		if m.life == nil {
			continue
		}
		for _, o := range m.life.sorted() {
			if gangName(o.task) == gangName(r.task) && o.number == r.number {
				out = append(out, member{m.life, o})
			}
		}
	}
	return out
}

// gather starts a gang at the moment at which all of one run are present.
func (b *bed) gather(now time.Time, r *run) {
	all := b.members(r)
	if len(all) < r.step.Count {
		return
	}
	for _, m := range all {
		m.run.works = now.Add(restore(r.checkpoint))
	}
}

// breakGang ends the other members of a run that has ended.
func (b *bed) breakGang(now time.Time, r *run) {
	if !r.step.Gang {
		return
	}
	for _, m := range b.members(r) {
		if m.run.works.IsZero() {
			continue // it goes on waiting for the others
		}
		b.end(now, m.life, m.run, "broken")
	}
}

// tick lets time pass on the runners.
func (b *bed) tick() {
	for {
		time.Sleep(5 * time.Millisecond)
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			return
		}
		now := time.Now()
		for _, m := range b.machines {
			if m.life != nil {
				b.advance(now, m.life)
			}
		}
		b.mu.Unlock()
	}
}

// advance ends the runs whose time has come. The lock is held.
func (b *bed) advance(now time.Time, l *life) {
	for _, r := range l.sorted() {
		if l.runs[r.task] != r {
			continue // it ended with its gang
		}
		how := ""
		switch {
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case r.step.Gang && r.works.IsZero() && now.Sub(r.arrived) > gangTime:
			how = "alone"
		case !r.works.IsZero() && r.work(now) >= r.step.Work:
			how = "done"
		case now.After(l.lease):
			how = "lapsed"
		}
		switch {
		case how == "":
		case how == "done" && r.step.Gang:
			for _, m := range b.members(r) {
				b.end(now, m.life, m.run, "done")
			}
		default:
			b.end(now, l, r, how)
			b.breakGang(now, r)
		}
	}
}
