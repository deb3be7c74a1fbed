package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// This file defines the stand-in of the runners.

// The bounds of the deployment, as its page states them for jlpa-grid. Those in which the
// others differ are in a deployment.
const (
	gangTime    = 3000 * time.Millisecond
	restoreTime = 250 * time.Millisecond
	serveStart  = 300 * time.Millisecond // how long a work unit that lasts takes until it is at work
	// heartbeats is after how long the entry of a runner that is silent goes.
	heartbeats  = 4500 * time.Millisecond
	tick        = 5 * time.Millisecond
	maxEnds     = 500
	fullPercent = 100
)

// deployment holds the bounds in which the small deployments differ.
type deployment struct {
	maxHold, stopTime, saveInterval time.Duration
	farFactor                       int
	// born reports whether runners tell when their life began.
	born bool
}

var (
	jlpaGrid      = deployment{6000 * time.Millisecond, 200 * time.Millisecond, time.Second, 3, false}
	tippijakoProd = deployment{10000 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond, 2, true}
	// tippijakoNow is tippijako-prod-now-grown, the deployment with tenants.
	tippijakoNow = deployment{6000 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond, 2, false}
)

// run is one start of a work unit on a runner.
type run struct {
	task       string
	number     int
	unit       *unit
	checkpoint string // the one that it was started with
	arrived    time.Time
	since      time.Time     // when it began to work, zero while it waits for its gang
	base       time.Duration // work done before, as the checkpoint says
	saved      string        // the last checkpoint
	saves      int
	stopAt     time.Time
}

// end is the end of a run, as a runner lists it.
type end struct {
	number     int64
	task       string
	run        int
	how, saved string
}

// runner is one life of a machine.
type runner struct {
	world   *world
	id      string
	machine string
	service string
	zone    string
	labels  []string
	address string
	server  *http.Server
	born    time.Time

	up bool
	// maintained reports whether the runner has ended for the upkeep of its machine.
	maintained bool
	fence      int64
	until      time.Duration // on its clock
	runs       map[string]*run
	ruledOut   map[string]int
	ends       []end
	lastEnd    int64
	cpu        int64
	changed    chan struct{}

	// refusing makes the runner answer 503 to starts, as an unhealthy one does.
	refusing bool
	// unanswered is how many of the next starts get no answer and are carried out late.
	unanswered int
}

// world holds all runners and the work that clients have submitted. Its lock guards all of it.
type world struct {
	mu          sync.Mutex
	record      *record
	store       *store
	site        deployment
	runners     []*runner
	advisor     *advisor
	jobs        map[string]*job
	checkpoints map[string]saved // by text
	serial      int
	// impairedUntil is until when an impairment counts as near.
	impairedUntil time.Time
	alone         []aloneEnd
	lapses        int // of runs
}

// aloneEnd is the end of a run that waited in vain for its gang.
type aloneEnd struct {
	at    time.Time
	calm  bool // whether no impairment was near
	task  string
	run   int
	given string // the checkpoint that it was started with
}

// saved is what a checkpoint stands for.
type saved struct {
	unit string // the work unit, or for a gang the step
	done time.Duration
}

func newWorld(r *record, s *store, site deployment) *world {
	w := &world{record: r, store: s, site: site, jobs: make(map[string]*job), checkpoints: make(map[string]saved)}
	go func() {
		for {
			time.Sleep(tick)
			w.mu.Lock()
			now := time.Now()
			for _, x := range w.runners {
				if x.up {
					x.advance(now)
				}
			}
			w.mu.Unlock()
		}
	}()
	return w
}

// start boots a machine with a new runner id, at a new address.
func (w *world) start(machine, service, zone string, labels []string, cpu int64) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	x := &runner{
		world: w, id: fmt.Sprintf("i-%08x", 0x7f3a0000+w.serial*0x101), machine: machine, service: service, zone: zone, labels: labels,
		address: l.Addr().String(), born: time.Now(), up: true, cpu: cpu, until: 0,
		runs: make(map[string]*run), ruledOut: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/run-start", x.serve((*runner).startRun))
	mux.HandleFunc("/v1/run-stop", x.serve((*runner).stopRun))
	mux.HandleFunc("/v1/pace", x.serve(func(x *runner, _ order) (int, reply) { return http.StatusOK, x.reply("") }))
	mux.HandleFunc("/v1/hold", x.hold)
	x.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = x.server.Serve(l) }()
	w.runners = append(w.runners, x)
	x.register("ready")
	return x, nil
}

func (x *runner) register(state string) {
	entry := map[string]any{
		"service": x.service, "machine": x.machine, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": x.cpu, "memory_request_mb": 262144, "gpu": 0}, "labels": x.labels, "clock_ms": x.clock().Milliseconds(), "call_sequence": 1,
	}
	if x.world.site.born {
		entry["born"] = x.born.UnixMilli()
	}
	x.world.store.put("servers/"+x.id, entry)
}

// crash ends a runner: it says nothing, all that runs there dies, and its entry goes after three pings
// of silence.
func (w *world) crash(x *runner) {
	w.mu.Lock()
	x.up = false
	gangs := x.runs
	x.runs = make(map[string]*run)
	for _, r := range gangs {
		w.breakGang(r)
	}
	w.mu.Unlock()
	_ = x.server.Close()
	w.record.printf("crash of runner %s on %s with %d runs", x.id, x.machine, len(gangs))
	time.AfterFunc(heartbeats, func() { w.store.remove("servers/" + x.id) })
}

// newest returns the last runner of a machine, nil if there is no such machine.
func (w *world) newest(machine string) *runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found *runner
	for _, x := range w.runners {
		if x.machine == machine {
			found = x
		}
	}
	return found
}

// beginUpkeep ends a runner for the upkeep of its machine. It returns false if the machine is not up.
func (w *world) beginUpkeep(x *runner) bool {
	w.mu.Lock()
	up := x.up
	x.maintained = x.maintained || up
	w.mu.Unlock()
	if up {
		w.crash(x)
	}
	return up
}

func (x *runner) clock() time.Duration { return time.Since(x.born) + 480*time.Second }

// order is the body of an order.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"task_spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	Seen       int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
	Ticket     string `json:"ticket"`
}

// reply is the body of an answer.
type reply struct {
	Clock   int64   `json:"clock_ms"`
	Born    int64   `json:"born,omitempty"` // in lists of runs
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

func (x *runner) reply(reason string) reply {
	return reply{Clock: x.clock().Milliseconds(), Reason: reason}
}

// meant reads an order, and reports whether it is for this boot.
func (x *runner) meant(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (x *runner) serve(handle func(*runner, order) (int, reply)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := x.meant(w, r)
		if !ok {
			return
		}
		x.world.mu.Lock()
		if !x.up {
			x.world.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if x.unanswered > 0 && r.URL.Path == "/v1/run-start" {
			x.unanswered--
			x.world.record.printf("start of %s run %d on %s gets no answer, and is carried out %v later", o.Task, o.Run, x.id, lateBy)
			x.world.mu.Unlock()
			time.AfterFunc(lateBy, func() { x.carryOut(o, handle) })
			<-r.Context().Done()
			return
		}
		x.advance(time.Now())
		status, body := http.StatusConflict, x.reply("fence")
		if o.Fence >= x.fence {
			x.fence = o.Fence
			status, body = handle(x, o)
		}
		x.world.mu.Unlock()
		answer(w, status, body)
	}
}

// lateBy is after which time an order without an answer is carried out.
const lateBy = 3 * time.Second

// carryOut carries out an order that got no answer.
func (x *runner) carryOut(o order, handle func(*runner, order) (int, reply)) {
	x.world.mu.Lock()
	defer x.world.mu.Unlock()
	if !x.up || o.Fence < x.fence {
		return
	}
	x.advance(time.Now())
	status, _ := handle(x, o)
	x.world.record.printf("the late start of %s run %d on %s is carried out: %d", o.Task, o.Run, x.id, status)
}

// extend moves the end of the runner's lease.
func (x *runner) extend(deadline int64) {
	to := min(time.Duration(deadline)*time.Millisecond, x.clock()+x.world.site.maxHold)
	x.until = max(x.until, to)
}

func (x *runner) startRun(o order) (int, reply) {
	w := x.world
	if x.refusing {
		w.record.printf("start of %s run %d on %s refused with 503, nothing is done", o.Task, o.Run, x.id)
		return http.StatusServiceUnavailable, x.reply("")
	}
	x.extend(o.Deadline)
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, x.reply("")
	}
	switch {
	case time.Duration(o.Deadline)*time.Millisecond <= x.clock():
		return http.StatusConflict, x.reply("late")
	case x.ruledOut[o.Task] >= o.Run || x.runs[o.Task] != nil:
		return http.StatusConflict, x.reply("old")
	}
	u := w.unit(o.Task)
	if u == nil || u.job.text != o.Spec {
		w.record.breach("UNASKED", "start of %s run %d that no client sent, or with another text", o.Task, o.Run)
		return http.StatusBadRequest, x.reply("")
	}
	if u.job.advised && !w.advisor.holds(u.group, x.id, o.Ticket) {
		return http.StatusConflict, x.reply("ticket")
	}
	used := int64(0)
	for _, r := range x.runs {
		used += r.unit.step.CPU
	}
	if used+u.step.CPU > x.cpu {
		return http.StatusConflict, x.reply("room")
	}
	r := &run{task: o.Task, number: o.Run, unit: u, checkpoint: o.Checkpoint, saved: o.Checkpoint, arrived: time.Now()}
	if o.Checkpoint != "" {
		c, ok := w.checkpoints[o.Checkpoint]
		if !ok || c.unit != u.owner() {
			w.record.breach("UNASKED", "start of %s run %d with the checkpoint %q, which is not the work unit's", o.Task, o.Run, o.Checkpoint)
		}
		r.base = max(0, c.done-restoreTime)
	}
	w.noteStart(x, r)
	x.runs[o.Task] = r
	if !u.step.Gang {
		r.since = time.Now()
	}
	w.startGang(r)
	return http.StatusOK, x.reply("")
}

func (x *runner) stopRun(o order) (int, reply) {
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		if r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(x.world.site.stopTime / 2)
			x.world.record.printf("stop of %s run %d on %s", o.Task, o.Run, x.id)
		}
		return http.StatusOK, x.reply("")
	}
	x.ruledOut[o.Task] = max(x.ruledOut[o.Task], o.Run)
	return http.StatusOK, x.reply("")
}

func (x *runner) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := x.meant(w, r)
	if !ok {
		return
	}
	wd := x.world
	timeout := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	first := true
	for {
		wd.mu.Lock()
		if !x.up {
			wd.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		x.advance(time.Now())
		if o.Fence < x.fence {
			body := x.reply("fence")
			wd.mu.Unlock()
			answer(w, http.StatusConflict, body)
			return
		}
		if first {
			first = false
			x.fence = o.Fence
			x.extend(o.Deadline)
			x.acknowledge(o.Seen)
		}
		body, changed := x.lists(), x.changed
		wd.mu.Unlock()
		if len(body.Ended) > 0 || o.Wait == 0 {
			answer(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			o.Wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (x *runner) acknowledge(seen int64) {
	kept := x.ends[:0]
	for _, e := range x.ends {
		if e.number > seen {
			kept = append(kept, e)
		} else {
			x.world.noted(e)
		}
	}
	x.ends = kept
}

// lists returns what runs on the runner and what has ended there.
func (x *runner) lists() reply {
	body := x.reply("")
	if x.world.site.born {
		body.Born = x.born.UnixMilli()
	}
	for _, r := range x.sorted() {
		body.Running = append(body.Running, []any{r.task, r.number, r.saved, r.percent(), 0})
	}
	for _, e := range x.ends[:min(len(x.ends), maxEnds)] {
		body.Ended = append(body.Ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return body
}

func (x *runner) sorted() []*run {
	out := make([]*run, 0, len(x.runs))
	for _, r := range x.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].task < out[b].task })
	return out
}

func (r *run) percent() int {
	whole := r.unit.step.duration
	if r.unit.step.Lasts {
		whole = serveStart
	}
	if r.since.IsZero() {
		return 0
	}
	return int(min(fullPercent, fullPercent*(r.base+time.Since(r.since))/whole))
}

// advance carries out what is due on a runner.
func (x *runner) advance(now time.Time) {
	lapsed := x.clock() >= x.until
	for _, r := range x.sorted() {
		if x.runs[r.task] != r {
			continue // it ended with its gang
		}
		switch {
		case lapsed:
			x.endRun(r, "lapsed")
		case !r.stopAt.IsZero():
			if !now.Before(r.stopAt) {
				x.endRun(r, "stopped")
			}
		case r.since.IsZero():
			if now.Sub(r.arrived) >= gangTime {
				x.world.alone = append(x.world.alone, aloneEnd{now, now.After(x.world.impairedUntil), r.task, r.number, r.checkpoint})
				x.endRun(r, "alone")
			}
		default:
			x.work(r, now)
		}
	}
}

// work saves the progress of a run that works, and ends it when it is done.
func (x *runner) work(r *run, now time.Time) {
	s := r.unit.step
	worked := now.Sub(r.since)
	if s.Saves && int(worked/x.world.site.saveInterval) > r.saves {
		r.saves = int(worked / x.world.site.saveInterval)
		x.save(r, now)
	}
	if how := r.unit.endsBy(r, worked); how != "" {
		x.endRun(r, how)
	}
}

// save renews the checkpoint of a run.
func (x *runner) save(r *run, now time.Time) {
	w := x.world
	w.serial++
	r.saved = fmt.Sprintf("%016x", uint64(w.serial)*0x9e3779b97f4a7c15)
	w.checkpoints[r.saved] = saved{r.unit.owner(), r.base + now.Sub(r.since)}
}

// endRun ends a run and lists its end.
func (x *runner) endRun(r *run, how string) {
	now := time.Now()
	if how == "lapsed" {
		x.world.lapses++
	}
	if r.unit.step.Saves && how == "stopped" && !r.since.IsZero() {
		x.save(r, now)
	}
	delete(x.runs, r.task)
	x.ruledOut[r.task] = max(x.ruledOut[r.task], r.number)
	x.lastEnd++
	left := ""
	if how != "done" {
		left = r.saved
	}
	x.ends = append(x.ends, end{x.lastEnd, r.task, r.number, how, left})
	close(x.changed)
	x.changed = make(chan struct{})
	x.world.noteEnd(x, r, how)
	if how == "done" {
		x.world.finishGang(r)
	} else {
		x.world.breakGang(r)
	}
}

// gang returns the runs of a gang that are present, with their runners.
func (w *world) gang(r *run) map[*run]*runner {
	out := make(map[*run]*runner)
	if !r.unit.step.Gang {
		return out
	}
	for _, x := range w.runners {
		if !x.up {
			continue
		}
		for _, o := range x.runs {
			if o.unit.owner() == r.unit.owner() && o.number == r.number {
				out[o] = x
			}
		}
	}
	return out
}

// startGang begins the work of a gang of which all members are present and have brought the same
// checkpoint.
func (w *world) startGang(r *run) {
	members := w.gang(r)
	if len(members) < r.unit.step.Count || len(members) == 0 {
		return
	}
	for o := range members {
		if o.checkpoint != r.checkpoint {
			return
		}
	}
	for o := range members {
		o.since = time.Now()
	}
	w.record.printf("gang %s run %d works, resumed from %q", r.unit.owner(), r.number, r.checkpoint)
}

func (w *world) breakGang(r *run) {
	for o, x := range w.gang(r) {
		if x.runs[o.task] == o {
			x.endRun(o, "broken")
		}
	}
}

func (w *world) finishGang(r *run) {
	for o, x := range w.gang(r) {
		if x.runs[o.task] == o {
			x.endRun(o, "done")
		}
	}
}
