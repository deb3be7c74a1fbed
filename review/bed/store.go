package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file defines the stand-in of the platform's metadata store.

const (
	// rangeLimit is how many items a page of a range has at most.
	rangeLimit = 500
	// valueBytes is how large a value may be.
	valueBytes = 1 << 20
	// maxTxnEntries is how many entries a transaction has at most.
	maxTxnEntries = 32
	// sweepInterval is how often expired leases are removed.
	sweepInterval = 5 * time.Millisecond
)

// item is an item of the store as encoded on the wire.
type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made"`
	Lease    int64  `json:"lease,omitempty"`
}

// gone marks the removal of a key in a watch.
type gone struct {
	Key      string `json:"private_key"`
	Revision int64  `json:"revision"`
	Gone     bool   `json:"gone"`
}

// change is one entry of the store's history.
type change struct {
	key      string
	revision int64
	event    any
}

// lease is a lease with its keys' end.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a linearizable key-value store with leases and watches, as PROTOCOL.md describes it.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]*item
	history   []change
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{} // closed and replaced at every change
}

func newStore() *store {
	s := &store{revision: 10, items: make(map[string]*item), leases: make(map[int64]*lease), nextLease: 77000, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(sweepInterval)
			s.sweep()
		}
	}()
	return s
}

// sweep removes expired leases.
func (s *store) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

// put writes a key on behalf of the operator or of a runner.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.notify()
	return s.revision
}

// value returns the value of a key, empty if it is missing.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := s.items[key]; i != nil {
		return string(i.Value)
	}
	return ""
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		s.revision++
		s.del(key)
		s.notify()
	}
}

func (s *store) set(key string, value []byte, lease int64) {
	made := s.revision
	if old := s.items[key]; old != nil {
		made = old.Made
	}
	i := &item{key, value, s.revision, made, lease}
	s.items[key] = i
	s.history = append(s.history, change{key, s.revision, *i})
}

func (s *store) del(key string) {
	delete(s.items, key)
	s.history = append(s.history, change{key, s.revision, gone{key, s.revision, true}})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	sort.Strings(keys)
	for _, k := range keys {
		s.del(k)
	}
	s.notify()
}

// ServeHTTP answers the calls of the entry instances.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/v1/kv-key":
		s.get(w, r)
	case path == "/v1/kv-range":
		s.list(w, r)
	case path == "/v1/kv-watch":
		s.watch(w, r)
	case path == "/v1/kv-txn":
		s.txn(w, r)
	case path == "/v1/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/v1/kv-keep/"))
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		s.end(w, strings.TrimPrefix(path, "/v1/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("private_key")]
	if i == nil {
		answer(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after_revision")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []*item{}
	for _, k := range keys[:min(len(keys), rangeLimit)] {
		items = append(items, s.items[k])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": len(keys) > rangeLimit, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := s.since(q.Get("path_prefix"), after)
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []any{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the events under a prefix after a revision. The lock must be held.
func (s *store) since(prefix string, after int64) []any {
	first := sort.Search(len(s.history), func(n int) bool { return s.history[n].revision > after })
	var out []any
	for _, c := range s.history[first:] {
		if strings.HasPrefix(c.key, prefix) {
			out = append(out, c.event)
		}
	}
	return out
}

// txnBody is a transaction.
type txnBody struct {
	If []struct {
		Key      string `json:"private_key"`
		Revision int64  `json:"revision"`
	} `json:"expected_revision"`
	Put []struct {
		Key   string `json:"private_key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var b txnBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || len(b.If)+len(b.Put)+len(b.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range b.Put {
		if len(p.Value) > valueBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	found := []*item{}
	for _, c := range b.If {
		revision := int64(0)
		if i := s.items[c.Key]; i != nil {
			revision = i.Revision
			found = append(found, i)
		}
		holds = holds && revision == c.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": found, "at": s.revision})
		return
	}
	for _, p := range b.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if len(b.Put)+len(b.Remove) > 0 {
		s.revision++
		for _, p := range b.Put {
			s.set(p.Key, p.Value, p.Lease)
		}
		for _, k := range b.Remove {
			if s.items[k] != nil {
				s.del(k)
			}
		}
		s.notify()
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(b.TTL) * time.Millisecond
	s.leases[s.nextLease] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": b.TTL})
}

func (s *store) keep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[n] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(n)
	answer(w, http.StatusOK, map[string]any{})
}
