// Package relay lets the entry instances of an availability zone wait for
// changes through one of them, so that the store does not carry a waiting watch
// for each.
//
// The model: the holder of the zone's planner lease relays. It keeps one watch
// on each key that anyone waits for, and answers the others. They know its
// address from the lease. Whoever gets no fresh answer from the relay watches
// the store itself for a while.
//
// Invariants: a relay answers only while it has itself heard from the store a
// moment ago, so a relay that is cut off from the store holds nobody back; it
// answers with what the store said, and never with a revision below the one that
// was asked about.
package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the relay's side.

const (
	// Path starts the path of a relayed watch.
	Path = "/v1/relay/"
	// StoreWait is how long the relay's own watches should be held by the store.
	// It bounds how late the relay notices that it is cut off.
	StoreWait = time.Second
	// maxAge is how long ago the relay may have heard from the store.
	maxAge = 2 * StoreWait
	// maxWait bounds how long a relayed watch waits.
	maxWait = 30 * time.Second
	// idleTimeout is how long a key is watched after the last one waited for it.
	idleTimeout = time.Minute
	// retryDelay is how long the relay waits after a failed watch.
	retryDelay = 250 * time.Millisecond
)

// A Server answers relayed watches.
type Server struct {
	ctx   context.Context
	store pointport.Watcher
	clock pointport.Clock

	mu      sync.Mutex
	watches map[string]*keyWatch
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a relay over store, whose watches should be held for
// StoreWait. It works until ctx ends.
func NewServer(ctx context.Context, store pointport.Watcher, clock pointport.Clock) *Server {
	return &Server{ctx: ctx, store: store, clock: clock, watches: make(map[string]*keyWatch)}
}

// A keyWatch watches one key for all who wait for it.
type keyWatch struct {
	mu          sync.Mutex
	entry       pointport.Entry
	answeredAt  time.Time
	requestedAt time.Time
	changed     chan struct{} // closed and replaced at every answer of the store
}

// reply is an answer on the wire.
type reply struct {
	Revision pointport.Revision `json:"revision"`
	Value    []byte             `json:"value,omitempty"`
}

// ServeHTTP answers one relayed watch. To HEAD it answers at once, which says
// that the process is alive.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodHead {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: must be a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 {
		http.Error(w, "wait: must be a duration", http.StatusBadRequest)
		return
	}
	e, ok := s.await(r.Context(), r.URL.Query().Get("key"), pointport.Revision(after), min(wait, maxWait))
	if !ok {
		http.Error(w, "not heard from the store", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	a := reply{e.Revision(), e.Value()}
	if int64(a.Revision) == after {
		a.Value = nil // the caller has it
	}
	_ = json.NewEncoder(w).Encode(a)
}

// await waits for a revision above after. It reports false as soon as the relay
// is not fresh.
func (s *Server) await(ctx context.Context, key string, after pointport.Revision, wait time.Duration) (pointport.Entry, bool) {
	h := s.watchOf(key)
	start := s.clock.Now()
	end := s.clock.After(wait)
	for {
		now := s.clock.Now()
		e, heard, changed := h.state(now)
		isFresh := !heard.IsZero() && now.Sub(heard) <= maxAge
		if isFresh && e.Revision() > after {
			return e, true
		}
		// By now the relay should have heard, and what the other has seen.
		if now.Sub(start) > maxAge && (!isFresh || e.Revision() < after) {
			return e, false
		}
		select {
		case <-changed:
		case <-s.clock.After(maxAge):
		case <-end:
			return e, isFresh && e.Revision() >= after
		case <-ctx.Done():
			return e, false
		}
	}
}

func (h *keyWatch) state(now time.Time) (pointport.Entry, time.Time, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requestedAt = now
	return h.entry, h.answeredAt, h.changed
}

func (s *Server) watchOf(key string) *keyWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.watches[key]
	if h == nil {
		h = &keyWatch{changed: make(chan struct{}), requestedAt: s.clock.Now()}
		s.watches[key] = h
		go func() { s.watch(key, h) }()
	}
	return h
}

// watch follows a key while anyone waits for it.
func (s *Server) watch(key string, h *keyWatch) {
	for s.ctx.Err() == nil && s.inUse(key, h) {
		e, err := s.store.Watch(s.ctx, key, h.revision())
		if err != nil {
			select {
			case <-s.clock.After(retryDelay):
			case <-s.ctx.Done():
			}
			continue
		}
		h.update(e, s.clock.Now())
	}
}

// inUse reports whether a key is still waited for, and forgets it if not.
func (s *Server) inUse(key string, h *keyWatch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.clock.Now().Sub(h.requestedAt) < idleTimeout {
		return true
	}
	delete(s.watches, key)
	return false
}

func (h *keyWatch) revision() pointport.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entry.Revision()
}

func (h *keyWatch) update(e pointport.Entry, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Revision() != h.entry.Revision() {
		h.entry = e // an unchanged answer need not hold the value
	}
	h.answeredAt = now
	close(h.changed)
	h.changed = make(chan struct{})
}
