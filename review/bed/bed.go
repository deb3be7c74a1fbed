package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file defines the bed: entry instances as processes of their own on stand-ins of everything else.

// The ports of every entry instance; each has an address of its own.
const (
	portClients  = 8624
	portReady    = 8622
	portControl  = 8623
	portMetrics  = 9464
	portInternal = 7060
)

// service and the route to it are named as on the users' page of messages.
const (
	service   = "huvo11a"
	queueHost = "pule25.example"
	queuePath = "/puxa400/"
	// advisedPath is the prefix of a queue that asks for advice.
	advisedPath = "/tije37/"
	maxAttempt  = 3
)

// upkeepTime is upkeep_s of the deployment.
const upkeepTime = 2 * time.Second

// clientDeadline is how long a client waits for an answer.
const clientDeadline = 3 * time.Second

// record is the file that says what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	out      io.Writer
	began    time.Time
	breaches map[string]int
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule is broken.
func (r *record) breach(rule, format string, args ...any) {
	r.printf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches[rule]++
}

func (r *record) broken(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaches[rule]
}

// tenant is the one tenant of a deployment that has tenants.
type tenant struct {
	name, key string
	weight    int64 // jobs a second
	cpu       int64 // upper_bound
}

// bed is a small deployment on loopback addresses.
type bed struct {
	tenant  *tenant  // nil if no call needs a key
	others  []string // services beside the one that has runners
	record  *record
	store   *store
	world   *world
	dir     string
	entries []*entry
	advisor *advisor
	advice  net.Listener
	kv      net.Listener
	cloud   net.Listener
	lastRun map[*job]time.Time // when something of a job last ran
	listed  int                // how often the list of machines was read
}

// entry is an entry instance.
type entry struct {
	name, ip, settings string
	cmd                *exec.Cmd
	ended              chan struct{}
	log                *os.File
}

// newBed starts the stand-ins: the store, the list of machines and runners of one service.
func newBed(r *record, site deployment, runners int, cpu int64) (*bed, error) {
	dir, err := os.MkdirTemp("", "bed-")
	if err != nil {
		return nil, err
	}
	b := &bed{record: r, store: newStore(), dir: dir}
	b.world = newWorld(r, b.store, site)
	if b.kv, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if b.cloud, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if b.advice, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	b.advisor = newAdvisor(r)
	b.world.advisor = b.advisor
	serve := func(l net.Listener, h http.Handler) {
		s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
		go func() { _ = s.Serve(l) }()
	}
	serve(b.kv, b.store)
	serve(b.advice, b.advisor)
	serve(b.cloud, http.HandlerFunc(b.machines))
	for n := range runners {
		if _, err := b.world.start(fmt.Sprintf("m-%05x", n), service, zones[n%len(zones)], []string{"a", fmt.Sprintf("r1-%d", n/4)}, cpu); err != nil {
			return nil, err
		}
	}
	return b, nil
}

var zones = []string{"sahab-hall", "zarqa-hall", "marka-hall"}

// machines answers the list of machines and orders of upkeep. There is one pool only, so that no
// machine moves.
func (b *bed) machines(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/machines":
		b.listMachines(w)
	case "/v1/machine-upkeep":
		b.upkeep(w, r)
	default:
		answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
	}
}

// upkeep carries out an order of upkeep: all that runs on the machine dies at once, and a new runner
// comes after upkeepTime.
func (b *bed) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x := b.world.newest(o.Machine)
	if x == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.record.printf("upkeep of %s for wave %d, ordered by %s", o.Machine, o.Wave, r.Header.Get("X-Lease-Holder"))
	if !b.world.beginUpkeep(x) {
		answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	time.AfterFunc(upkeepTime, func() {
		if _, err := b.world.start(x.machine, x.service, x.zone, x.labels, x.cpu); err != nil {
			b.record.printf("machine %s does not come back: %v", x.machine, err)
		}
	})
	answer(w, http.StatusOK, map[string]any{})
}

// listMachines answers the list of machines, without a lag.
func (b *bed) listMachines(w http.ResponseWriter) {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	b.listed++
	newest := make(map[string]*runner)
	var order []string
	for _, x := range b.world.runners {
		if newest[x.machine] == nil {
			order = append(order, x.machine)
		}
		newest[x.machine] = x
	}
	rows := []any{}
	for _, m := range order {
		x := newest[m]
		state, id := "up", x.id
		switch {
		case x.maintained:
			state, id = "upkeep", ""
		case !x.up:
			state, id = "down", ""
		}
		rows = append(rows, map[string]any{
			"machine": m, "pool": x.service, "state": state, "zone": x.zone, "labels": x.labels, "id": id,
			"capacity": map[string]any{"cpu": x.cpu, "memory_request_mb": 262144, "gpu": 0},
		})
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": nil})
}

// configure writes a version of the configuration.
func (b *bed) configure(version int) {
	route := func(name, path string) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "path_prefix": path, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": service, "max_attempts": maxAttempt, "stretch": 1.6,
		}
	}
	advised := route("r-anfqasn", advisedPath)
	advised["advice"] = map[string]any{"decide_ms": decideTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "valid_ms": validTime.Milliseconds()}
	var services []any
	for _, name := range append([]string{service}, b.others...) {
		services = append(services, map[string]any{"name": name, "rejects_overload": true})
	}
	whole := map[string]any{
		"version": version, "routes": []any{route("r-8pjbvk9", queuePath), advised},
		"services": services,
		"limits":   map[string]any{},
	}
	more := ""
	if t := b.tenant; t != nil {
		bound := map[string]any{"cpu": t.cpu, "memory_request_mb": 0, "gpu": 0}
		whole["tenants"] = []any{map[string]any{"name": t.name, "api_keys": []string{t.key}, "weight": t.weight, "upper_bound": bound}}
		more = fmt.Sprintf(", upper_bound of tenant %s: %d thousandths of a core", t.name, t.cpu)
	}
	b.store.put("op/config", whole)
	b.record.printf("operator: configuration %d%s", version, more)
}

// addEntry lays the settings of an entry instance and starts it.
func (b *bed) addEntry() error {
	n := len(b.entries) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 10+n)
	e := &entry{name: fmt.Sprintf("frontend-%s-%d", zones[(n-1)%len(zones)], n), ip: ip, settings: filepath.Join(b.dir, fmt.Sprintf("local-%d.toml", n))}
	contracts, bounds := "", ""
	if b.tenant != nil {
		contracts, bounds = tenantContracts, tenantBounds
	}
	text := fmt.Sprintf(settingsText, e.name, ip, zones[(n-1)%len(zones)], contracts, b.advice.Addr(), ip, portClients, ip, portReady, ip, portControl,
		b.world.site.maxHold.Milliseconds(), b.world.site.stopTime.Milliseconds(), b.world.site.farFactor, b.world.site.saveInterval.Seconds(), bounds, b.kv.Addr(), b.cloud.Addr())
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(b.dir, e.name+".log"))
	if err != nil {
		return err
	}
	e.log = log
	b.entries = append(b.entries, e)
	return b.run(e)
}

// run starts the process of an entry instance, with the command of the deploy file.
func (b *bed) run(e *entry) error {
	e.cmd = exec.Command("target/pointportd", "join", fmt.Sprintf("-metrics-port=%d", portMetrics), "-deadline-age")
	e.cmd.Env = []string{"POINTPORT_SETTINGS=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	b.record.printf("entry instance %s starts", e.name)
	cmd, ended := e.cmd, make(chan struct{})
	e.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// close ends all processes that the bed has started.
func (b *bed) close() {
	for _, e := range b.entries {
		_ = e.cmd.Process.Kill()
		<-e.ended
	}
	if os.Getenv("BED_KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

// awaitReady waits until all entry instances call themselves ready.
func (b *bed) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, e := range b.entries {
		for !e.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (e *entry) ready() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get(fmt.Sprintf("http://%s:%d/v1/readiness", e.ip, portReady))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// call makes one call of a client. The status is zero if there is no answer.
func (b *bed) call(e *entry, method, id string, body any) (int, string) {
	return b.callAt(e, method, queuePath, id, body)
}

// callAt is call for the queue with a path prefix.
func (b *bed) callAt(e *entry, method, prefix, id string, body any) (int, string) {
	data := []byte(nil)
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", e.ip, portClients, prefix, id), bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	if b.tenant != nil {
		req.Header.Set("Authorization", "Token "+b.tenant.key)
	}
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	c := http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		b.record.printf("client: %s %s at %s: no answer", method, id, e.name)
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	b.record.printf("client: %s %s at %s: %d %s", method, id, e.name, res.StatusCode, strings.TrimSpace(string(text)))
	return res.StatusCode, string(text)
}

// submit hands a job in, with up to four retries as the users' clients make them.
func (b *bed) submit(j *job) error {
	b.world.mu.Lock()
	b.world.jobs[j.id] = j
	b.world.mu.Unlock()
	body := map[string]any{"task_spec": j.text, "steps": j.steps}
	for n := range 5 {
		status, _ := b.callAt(b.entries[n%len(b.entries)], http.MethodPost, j.prefix(), j.id, body)
		if status/100 == 2 {
			j.acknowledged = time.Now()
			return nil
		}
		time.Sleep(time.Second)
	}
	return errors.New("the job was not accepted")
}

// state asks for the state of a job, at one entry instance after the other until one answers.
func (b *bed) state(j *job) string {
	for _, e := range b.entries {
		status, text := b.callAt(e, http.MethodGet, j.prefix(), j.id, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return body.State
		}
		if status == http.StatusGone {
			return "unknown"
		}
	}
	return ""
}

// tenantContracts and tenantBounds are what the settings of a deployment with tenants have besides.
const (
	tenantContracts = `"tenants","quota",`
	tenantBounds    = `strict_revocation = false
revocation_ms = 5000
quota_window_s = 5
quota_overshoot = 0.1
quota_slack = 20
`
)

// settingsText is the settings file of an entry instance, as DEPLOY.md shows it, with the bounds of
// the small deployments.
const settingsText = `node_name = "%s"
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip_address = "%s"
zone = "%s"
region = "amman"
internal_port_range = [7060,7075]
seed_nodes = []
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1500
contracts = ["base","drain","config","cost","recover","sched",%s"platform","advice","upkeep","sharing"]
orders = "call"
advice = "%s"
[zones]
sahab-hall = "amman"
zarqa-hall = "amman"
marka-hall = "amman"
[bind_addresses]
frontend = "%s:%d"
ready = "%s:%d"
control_plane = "%s:%d"
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
file_descriptors = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_timeout_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
max_hold_ms = %d
stop_ms = %d
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = %d
save_s = %g
restore_ms = 250
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
enforce_fencing = false
lease_duration_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
harm_ms = 4000
%s[platform]
address = "%s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud_api]
address = "%s"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`
