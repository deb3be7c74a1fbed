package standin

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/memory"
)

// This file defines the platform's HTTP service. docs/PLATFORM.md describes it.

// maxValue is the largest request body that the service accepts, and so the largest value in the
// store, in bytes.
const maxValue = 1 << 20

// A Platform serves a store and a fleet over HTTP.
type Platform struct {
	store *memory.Store
	fleet *Fleet
	mux   *http.ServeMux

	mu    sync.Mutex
	delay time.Duration // added to every call except control calls
	down  bool          // whether every call except control calls is refused
}

// NewPlatform returns the service of store and fleet.
func NewPlatform(store *memory.Store, fleet *Fleet) *Platform {
	p := &Platform{store: store, fleet: fleet, mux: http.NewServeMux()}
	p.mux.HandleFunc("GET /v1/kv/{key}", p.get)
	p.mux.HandleFunc("PUT /v1/kv/{key}", p.put)
	p.mux.HandleFunc("DELETE /v1/kv/{key}", p.remove)
	p.mux.HandleFunc("PUT /v1/leases/{name}", p.lease)
	p.mux.HandleFunc("DELETE /v1/leases/{name}", p.release)
	p.mux.HandleFunc("GET /v1/instances", p.instances)
	p.mux.HandleFunc("POST /v1/instances/{id}/drain", p.fencedByBoots(fleet.Drain))
	p.mux.HandleFunc("POST /v1/instances/{id}/restore", p.fencedByBoots(fleet.Restore))
	p.mux.HandleFunc("POST /v1/instances/{id}/reboot", p.fencedByBoots(fleet.Reboot))
	p.mux.HandleFunc("POST /v1/tasks", p.startTask)
	p.mux.HandleFunc("GET /v1/tasks", p.tasks)
	p.mux.HandleFunc("POST /v1/tasks/{id}/stop", p.stopTask)
	p.mux.HandleFunc("GET /standin/counts", p.counts)
	p.mux.HandleFunc("GET /standin/runs", p.runs)
	p.mux.HandleFunc("POST /standin/outage", p.outage)
	p.mux.HandleFunc("POST /standin/instances/{id}/mode", p.mode)
	p.mux.HandleFunc("POST /standin/instances/{id}/kill", p.kill)
	return p
}

// Listen serves the platform on addr until ctx ends, and returns the address.
func (p *Platform) Listen(ctx context.Context, addr string) (net.Addr, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	return l.Addr(), nil
}

// SetOutage makes the service refuse every call, if down, and delays every call by delay.
func (p *Platform) SetOutage(down bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.delay = down, delay
}

// ServeHTTP answers one call. During an outage it delays or refuses every call except control
// calls.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down, delay := p.down, p.delay
	p.mu.Unlock()
	if !isControl(r) {
		time.Sleep(delay)
		if down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
	}
	p.mux.ServeHTTP(w, r)
}

// isControl reports whether a call controls the stand-in itself.
func isControl(r *http.Request) bool {
	const prefix = "/standin/"
	return len(r.URL.Path) > len(prefix) && r.URL.Path[:len(prefix)] == prefix
}

type valueAnswer struct {
	Revision pointport.Revision `json:"revision"`
	Value    []byte             `json:"value,omitempty"`
}

type refusal struct {
	Have   pointport.Revision `json:"have,omitempty"`
	Want   pointport.Revision `json:"want,omitempty"`
	Holder string             `json:"holder,omitempty"`
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if !r.URL.Query().Has("after") {
		e, err := p.store.Get(r.Context(), key)
		reply(w, valueAnswer{e.Revision(), e.Value()}, err)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	e, err := p.store.Watch(ctx, key, pointport.Revision(after))
	a := valueAnswer{e.Revision(), e.Value()}
	if int64(a.Revision) == after {
		a.Value = nil // the caller already has the value
	}
	reply(w, a, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	have, err := strconv.ParseInt(r.URL.Query().Get("have"), 10, 64)
	if err != nil {
		http.Error(w, "have: "+err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "value: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	rev, err := p.store.CompareAndSwap(r.Context(), r.PathValue("key"), pointport.Revision(have), body)
	reply(w, valueAnswer{Revision: rev}, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	have, err := strconv.ParseInt(r.URL.Query().Get("have"), 10, 64)
	if err != nil {
		http.Error(w, "have: "+err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, struct{}{}, p.store.Delete(r.Context(), r.PathValue("key"), pointport.Revision(have)))
}

func (p *Platform) lease(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil {
		http.Error(w, "ttl: "+err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, struct{}{}, p.store.Lease(r.Context(), r.PathValue("name"), r.URL.Query().Get("holder"), ttl))
}

func (p *Platform) release(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, p.store.Release(r.Context(), r.PathValue("name"), r.URL.Query().Get("holder")))
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	list, err := p.fleet.Instances(r.Context(), pointport.ZoneID(r.URL.Query().Get("zone")))
	if err != nil || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		reply(w, list, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_ = json.NewEncoder(z).Encode(list)
	_ = z.Close()
}

// fencedByBoots returns the handler of a call that takes effect only if the instance has the given
// boot count.
func (p *Platform) fencedByBoots(act func(context.Context, pointport.InstanceID, int64) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		boots, err := strconv.ParseInt(r.URL.Query().Get("boots"), 10, 64)
		if err != nil {
			http.Error(w, "boots: "+err.Error(), http.StatusBadRequest)
			return
		}
		reply(w, struct{}{}, act(r.Context(), pointport.InstanceID(r.PathValue("id")), boots))
	}
}

func (p *Platform) startTask(w http.ResponseWriter, r *http.Request) {
	var task pointport.Task
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValue)).Decode(&task); err != nil {
		http.Error(w, "task: "+err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, struct{}{}, p.fleet.StartTask(r.Context(), task))
}

func (p *Platform) tasks(w http.ResponseWriter, r *http.Request) {
	list, err := p.fleet.Tasks(r.Context(), pointport.ZoneID(r.URL.Query().Get("zone")))
	reply(w, list, err)
}

func (p *Platform) stopTask(w http.ResponseWriter, r *http.Request) {
	instance := pointport.InstanceID(r.URL.Query().Get("instance"))
	reply(w, struct{}{}, p.fleet.StopTask(r.Context(), instance, pointport.TaskID(r.PathValue("id"))))
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) { reply(w, p.store.Counts(), nil) }

// runsAnswer sums up the requests that the fleet ran.
type runsAnswer struct {
	Twice    []string `json:"twice"`    // keys that ran more than once
	Keys     int      `json:"keys"`     // keys that ran
	MaxConns int64    `json:"maxConns"` // most connections on one instance
	CutOff   int64    `json:"cutOff"`   // requests in flight at a reboot
	Served   int64    `json:"served"`   // requests that ran
}

func (p *Platform) runs(w http.ResponseWriter, _ *http.Request) {
	a := runsAnswer{Twice: []string{}}
	for key, n := range p.fleet.Runs() {
		a.Keys++
		if n > 1 {
			a.Twice = append(a.Twice, key)
		}
	}
	for _, i := range p.fleet.All() {
		a.MaxConns = max(a.MaxConns, i.MaxConns())
		a.CutOff += i.Interrupted()
		a.Served += i.Served()
	}
	reply(w, a, nil)
}

func (p *Platform) outage(w http.ResponseWriter, r *http.Request) {
	delay := time.Duration(0)
	if v := r.URL.Query().Get("delay"); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			http.Error(w, "delay: "+err.Error(), http.StatusBadRequest)
			return
		}
		delay = d
	}
	p.SetOutage(r.URL.Query().Get("down") == "true", delay)
	reply(w, struct{}{}, nil)
}

func (p *Platform) mode(w http.ResponseWriter, r *http.Request) {
	i, err := p.fleet.Instance(pointport.InstanceID(r.PathValue("id")))
	if err == nil {
		i.SetMode(Mode(r.URL.Query().Get("mode")))
	}
	reply(w, struct{}{}, err)
}

func (p *Platform) kill(w http.ResponseWriter, r *http.Request) {
	i, err := p.fleet.Instance(pointport.InstanceID(r.PathValue("id")))
	if err == nil {
		i.Kill()
	}
	reply(w, struct{}{}, err)
}

// reply writes v as JSON, or the HTTP status for err.
func reply(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	var conflict *pointport.ConflictError
	var held *pointport.HeldError
	var missing *pointport.NotFoundError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		status, v = http.StatusConflict, refusal{Have: conflict.Have, Want: conflict.Want}
	case errors.As(err, &held):
		status, v = http.StatusConflict, refusal{Holder: held.Holder}
	case errors.As(err, &missing):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
