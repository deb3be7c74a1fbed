package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the runners: a machine, its present life, and the calls that a life answers.

const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 6 * time.Second
	gangTime    = 3 * time.Second
	saveEvery   = time.Second
	restoreTime = 250 * time.Millisecond
	// lapsedPings is after how many pings of silence the entry of a crashed runner goes.
	lapsedPings = 3
	stepTime    = 10 * time.Millisecond
)

// work is what a work unit of a step does.
type work struct {
	duration time.Duration
	cpu      int64
	gang     int // members, 0 if it is no gang
	// checkpoint returns the text that a unit saves after a time of work, nil if it saves nothing.
	checkpoint func(task string, done time.Duration) string
}

// A run is one run of a work unit.
type run struct {
	task    string
	number  int
	work    work
	since   time.Time // when it began to work, zero while its gang gathers
	started time.Time
	resumed time.Duration // the work that its checkpoint stands for
	brought string        // the checkpoint that its start brought
	saved   string
	saves   int
	broken  bool // whether its gang is broken
}

// done returns how much work the run has done.
func (r *run) done(now time.Time) time.Duration {
	if r.since.IsZero() {
		return r.resumed
	}
	return r.resumed + now.Sub(r.since)
}

// An end is a row of the list of ends.
type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// A life is a runner: a machine from one start to the next. The farm's lock guards its fields.
type life struct {
	id      string
	machine *machine
	born    time.Time
	dead    bool
	fence   int64
	until   time.Duration // on its clock
	runs    map[string]*run
	over    map[string]int // the highest run that was stopped or has ended, by work unit
	ends    []end
	lastEnd int64
	changed chan struct{} // closed and replaced at each end
	kill    chan struct{} // closed when it dies
}

func (l *life) clock(now time.Time) time.Duration { return now.Sub(l.born) }

// A machine has a fixed address and one life at a time.
type machine struct {
	name, zone, rack, address string
	pool                      string
	state                     string // up, moving, upkeep, down
	life                      *life
	boots                     int
}

// A farm is all machines. It is safe for concurrent use.
type farm struct {
	rec *recorder
	kv  pointport.KV
	cpu int64
	mem int64

	mu       sync.Mutex
	machines []*machine
	// workOf returns the work of a job's step.
	workOf func(job string, step int) (work, bool)
	// onStart is called, with the lock held, for each run that begins.
	onStart func(l *life, r *run)
	// onEnd is called, with the lock held, for each end.
	onEnd  func(l *life, e end)
	closed bool
}

func newFarm(rec *recorder, kv pointport.KV, cpu, mem int64) *farm {
	return &farm{rec: rec, kv: kv, cpu: cpu, mem: mem,
		onStart: func(*life, *run) {}, onEnd: func(*life, end) {}}
}

// add adds a machine and boots it.
func (f *farm) add(n int, pool, zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m := &machine{name: fmt.Sprintf("m-%05d", n), zone: zone, rack: fmt.Sprintf("r1-%d", n/4), pool: pool, address: l.Addr().String()}
	server := &http.Server{Handler: f.handler(m), ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = server.Serve(l) }()
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.boot(m)
	f.mu.Unlock()
	return nil
}

// boot starts a new life of a machine. The lock is held.
func (f *farm) boot(m *machine) {
	m.boots++
	l := &life{id: fmt.Sprintf("i-%s-%02d", strings.TrimPrefix(m.name, "m-"), m.boots), machine: m, born: time.Now(),
		runs: make(map[string]*run), over: make(map[string]int), changed: make(chan struct{}), kill: make(chan struct{})}
	m.life, m.state = l, "up"
	f.rec.line("runner %s of %s is up in %s at %s", l.id, m.name, m.pool, m.address)
	go f.live(l, m.pool)
}

// live writes the life's entry in the store and moves its runs on until it dies.
func (f *farm) live(l *life, pool string) {
	key := "servers/" + l.id
	beat := 0
	next := time.Now()
	for {
		select {
		case <-l.kill:
			time.Sleep(lapsedPings * heartbeat)
			_, _ = f.kv.Commit(context.Background(), pointport.Txn{Delete: []string{key}})
			return
		case <-time.After(stepTime):
		}
		f.mu.Lock()
		dead := l.dead || f.closed
		if !dead {
			f.advance(l, time.Now())
		}
		f.mu.Unlock()
		if dead || time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(heartbeat)
		beat++
		value, _ := json.Marshal(map[string]any{
			"service": pool, "machine": l.machine.name, "address": l.machine.address, "zone": l.machine.zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "capacity": map[string]any{"cpu": f.cpu, "memory_request_mb": f.mem, "gpu": 0},
			"labels": []string{"a", l.machine.rack}, "clock_ms": l.clock(time.Now()).Milliseconds(), "call_sequence": beat,
		})
		_, _ = f.kv.Commit(context.Background(), pointport.Txn{Put: []pointport.Put{{Key: key, Value: value}}})
	}
}

// advance ends, saves and lapses what is due on a life. The lock is held.
func (f *farm) advance(l *life, now time.Time) {
	if len(l.runs) > 0 && l.clock(now) > l.until {
		for _, r := range l.runs {
			f.endRun(l, r, "lapsed")
		}
		return
	}
	for _, r := range l.runs {
		if r.since.IsZero() {
			if now.Sub(r.started) > gangTime {
				f.endRun(l, r, "alone")
			}
			continue
		}
		if r.work.checkpoint != nil && int(now.Sub(r.since)/saveEvery) > r.saves {
			r.saves = int(now.Sub(r.since) / saveEvery)
			r.save(now)
		}
		if r.done(now) < r.work.duration {
			continue
		}
		if r.work.gang > 0 {
			for _, m := range f.members(r) {
				f.endRun(m.life, m.run, "done")
			}
			continue
		}
		f.endRun(l, r, "done")
	}
}

// endRun ends a run. The lock is held.
func (f *farm) endRun(l *life, r *run, how string) {
	delete(l.runs, r.task)
	l.over[r.task] = max(l.over[r.task], r.number)
	l.lastEnd++
	if how == "stopped" {
		r.save(time.Now())
	}
	e := end{l.lastEnd, r.task, r.number, how, r.saved}
	l.ends = append(l.ends, e)
	f.onEnd(l, e)
	f.rec.line("end %s run %d on %s: %s saved %q", r.task, r.number, l.id, how, r.saved)
	close(l.changed)
	l.changed = make(chan struct{})
	if how != "done" {
		f.breakGang(r)
	}
}

// A member is a run of a gang and its life.
type member struct {
	life *life
	run  *run
}

// members returns the runs of the gang that a run belongs to. The lock is held.
func (f *farm) members(r *run) []member {
	var out []member
	step := r.task[:strings.LastIndexByte(r.task, '.')]
	for _, m := range f.machines {
		if m.life == nil || m.life.dead {
			continue
		}
		for _, o := range m.life.runs {
			if o.number == r.number && o.task[:strings.LastIndexByte(o.task, '.')] == step {
				out = append(out, member{m.life, o})
			}
		}
	}
	return out
}

// breakGang ends the other members of a gang. The lock is held.
func (f *farm) breakGang(r *run) {
	if r.work.gang == 0 || r.broken {
		return
	}
	others := f.members(r)
	for _, m := range others {
		m.run.broken = true
	}
	for _, m := range others {
		if m.run == r {
			continue
		}
		m.run.save(time.Now())
		f.endRun(m.life, m.run, "broken")
	}
}

// save renews the checkpoint of a run that has worked.
func (r *run) save(now time.Time) {
	if r.work.checkpoint != nil && !r.since.IsZero() {
		r.saved = r.work.checkpoint(r.task, r.done(now))
	}
}

// crash ends a machine's life without a word, and starts the next one after down.
func (f *farm) crash(m *machine, down time.Duration) {
	f.mu.Lock()
	l := f.die(m, "down")
	f.mu.Unlock()
	if l == nil {
		return
	}
	f.rec.line("DISRUPTION runner %s crashes, with %d work units; %s is down for %v", l.id, len(l.runs), m.name, down)
	go func() {
		time.Sleep(down)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.boot(m)
	}()
}

// die ends a life; what runs there is gone. The lock is held.
func (f *farm) die(m *machine, state string) *life {
	l := m.life
	if l == nil {
		return nil
	}
	l.dead, m.life, m.state = true, nil, state
	close(l.kill)
	for _, r := range l.runs {
		if r.work.gang > 0 {
			f.breakGang(r)
		}
	}
	return l
}

// order is the body of each call to a runner.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"task_spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// handler answers the calls to a machine's address.
func (f *farm) handler(m *machine) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var o order
		err := json.NewDecoder(r.Body).Decode(&o)
		f.mu.Lock()
		l := m.life
		f.mu.Unlock()
		if l == nil {
			panic(http.ErrAbortHandler) // a dead port resets
		}
		if r.URL.Path == "/health" {
			return
		}
		if err != nil || r.Method != http.MethodPost {
			http.Error(w, "not understood", http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != l.id {
			http.Error(w, "another boot", http.StatusMisdirectedRequest)
			return
		}
		switch r.URL.Path {
		case "/v1/run-start":
			f.answer(w, l, func() (int, map[string]any) { return f.start(l, o) })
		case "/v1/run-stop":
			f.answer(w, l, func() (int, map[string]any) { return f.stop(l, o) })
		case "/v1/pace":
			f.answer(w, l, func() (int, map[string]any) { return http.StatusOK, map[string]any{} })
		case "/v1/hold":
			f.hold(w, l, o)
		default:
			http.NotFound(w, r)
		}
	})
}

// answer makes a call under the lock and answers it, unless the life is over.
func (f *farm) answer(w http.ResponseWriter, l *life, call func() (int, map[string]any)) {
	f.mu.Lock()
	if l.dead {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	f.advance(l, time.Now())
	status, body := call()
	body["clock_ms"] = l.clock(time.Now()).Milliseconds()
	f.mu.Unlock()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// admit checks an order's fence and takes its lease. The lock is held.
func (l *life) admit(o order) bool {
	if o.Fence < l.fence {
		return false
	}
	l.fence = o.Fence
	if o.DeadlineMS > 0 {
		until := time.Duration(o.DeadlineMS) * time.Millisecond
		l.until = max(l.until, min(until, l.clock(time.Now())+maxHold))
	}
	return true
}

// start begins a run. The lock is held.
func (f *farm) start(l *life, o order) (int, map[string]any) {
	now := time.Now()
	if !l.admit(o) {
		return refusal("fence")
	}
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, map[string]any{}
	} else if r != nil || o.Run <= l.over[o.Task] {
		return refusal("old")
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= l.clock(now) {
		return refusal("late")
	}
	job, step := parseTask(o.Task)
	w, ok := f.workOf(job, step)
	if !ok {
		f.rec.line("start %s run %d on %s: nobody sent the job", o.Task, o.Run, l.id)
		return http.StatusBadRequest, map[string]any{}
	}
	used := int64(0)
	for _, r := range l.runs {
		used += r.work.cpu
	}
	if used+w.cpu > f.cpu {
		return refusal("room")
	}
	r := &run{task: o.Task, number: o.Run, work: w, started: now, brought: o.Checkpoint, saved: o.Checkpoint}
	l.runs[o.Task] = r
	if w.gang == 0 {
		r.begin(now)
	} else if all := f.members(r); len(all) == w.gang {
		f.gather(all, now)
	}
	f.rec.line("start %s run %d on %s fence %d last_checkpoint %q task_spec %q", o.Task, o.Run, l.id, o.Fence, o.Checkpoint, o.Spec)
	f.onStart(l, r)
	return http.StatusOK, map[string]any{}
}

// begin makes a run work, from its checkpoint if it brought one.
func (r *run) begin(now time.Time) {
	r.since = now
	if r.brought != "" {
		r.resumed = doneIn(r.brought) - restoreTime
	}
}

// gather makes a gang work, once all of one run are present. The lock is held.
func (f *farm) gather(all []member, now time.Time) {
	for _, m := range all {
		if m.run.brought != all[0].run.brought {
			f.rec.line("gang of %s run %d: members bring different checkpoints, so there is none that all resume from", m.run.task, m.run.number)
			return
		}
	}
	for _, m := range all {
		m.run.begin(now)
	}
}

// stop ends a run. The lock is held.
func (f *farm) stop(l *life, o order) (int, map[string]any) {
	if !l.admit(o) {
		return refusal("fence")
	}
	f.rec.line("stop %s run %d on %s", o.Task, o.Run, l.id)
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		f.endRun(l, r, "stopped")
	}
	l.over[o.Task] = max(l.over[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

// hold answers both lists, after an end if the call waits for one.
func (f *farm) hold(w http.ResponseWriter, l *life, o order) {
	f.mu.Lock()
	if l.dead {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	f.advance(l, time.Now())
	if !l.admit(o) {
		f.mu.Unlock()
		f.answer(w, l, func() (int, map[string]any) { return refusal("fence") })
		return
	}
	for len(l.ends) > 0 && l.ends[0].number <= o.LastSeen {
		f.rec.line("seen end %d of %s: %s run %d %s", l.ends[0].number, l.id, l.ends[0].task, l.ends[0].run, l.ends[0].how)
		l.ends = l.ends[1:]
	}
	changed, wait := l.changed, len(l.ends) == 0
	f.mu.Unlock()
	if wait && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-l.kill:
			panic(http.ErrAbortHandler)
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
	}
	f.answer(w, l, func() (int, map[string]any) {
		running, ended := [][]any{}, [][]any{}
		for _, r := range l.runs {
			percent := min(99, int(100*r.done(time.Now())/r.work.duration))
			running = append(running, []any{r.task, r.number, r.saved, percent, r.work.cpu})
		}
		for _, e := range l.ends[:min(len(l.ends), 500)] {
			ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
		}
		return http.StatusOK, map[string]any{"running": running, "ended": ended}
	})
}

// parseTask returns the job and the step of a work unit's name, ID.K.STEP.INDEX.
func parseTask(task string) (string, int) {
	parts := strings.Split(task, ".")
	step := 0
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &step)
	}
	return parts[0], step
}

// runsOf returns how many runs of a job there are now.
func (f *farm) runsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.machines {
		if m.life == nil {
			continue
		}
		for task := range m.life.runs {
			if strings.HasPrefix(task, job+".") {
				n++
			}
		}
	}
	return n
}

// usedCPU returns how much of a pool's capacity is in use, and the whole.
func (f *farm) usedCPU(pool string) (used, all int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.life == nil || m.pool != pool {
			continue
		}
		all += f.cpu
		for _, r := range m.life.runs {
			used += r.work.cpu
		}
	}
	return used, all
}

// holding returns the machine on which a work unit runs, nil if there is none.
func (f *farm) holding(task string) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.life != nil && m.life.runs[task] != nil {
			return m
		}
	}
	return nil
}
