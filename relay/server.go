// Package relay lets the entry instances of an availability zone watch the store through one
// of them, so that the store does not hold a waiting watch for each instance.
//
// The holder of the zone's planner lease is the relay. It keeps one watch at the store for
// each key that any client watches, and answers the clients from that. They find its address
// in the lease. A client that gets no up-to-date answer from the relay watches the store
// directly for a while.
//
// Invariants: a relay answers only if the store has answered it recently, so a relay that is
// cut off from the store does not delay its clients. It returns only what the store returned,
// and never a revision lower than the one in the request.
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

// This file defines the relay's server.

const (
	// Path is the path of a relayed watch.
	Path = "/v1/relay/"
	// StoreWatchTimeout is how long the store should hold the relay's own watches. It bounds how late
	// the relay notices that it is cut off from the store.
	StoreWatchTimeout = time.Second
	// maxAge is how old the store's last answer may be when the relay answers from it.
	maxAge = 2 * StoreWatchTimeout
	// maxWait bounds how long a relayed watch waits.
	maxWait = 30 * time.Second
	// idleTimeout is how long a key is watched after the last request for it.
	idleTimeout = time.Minute
	// retryDelay is how long the relay waits after a failed watch.
	retryDelay = 250 * time.Millisecond
)

// Server answers relayed watches.
type Server struct {
	ctx   context.Context
	store pointport.Watcher
	clock pointport.Clock

	mu      sync.Mutex
	watches map[string]*keyWatch
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a relay for store, whose watches should be held for StoreWatchTimeout. It works
// until ctx ends.
func NewServer(ctx context.Context, store pointport.Watcher, clock pointport.Clock) *Server {
	return &Server{ctx: ctx, store: store, clock: clock, watches: make(map[string]*keyWatch)}
}

// keyWatch watches one key for all clients that wait for it.
type keyWatch struct {
	mu          sync.Mutex
	entry       pointport.Entry
	answeredAt  time.Time
	requestedAt time.Time
	changed     chan struct{} // closed and replaced at every answer of the store
}

// reply is the JSON answer to a relayed watch.
type reply struct {
	Revision pointport.Revision `json:"revision"`
	Value    []byte             `json:"value,omitempty"`
}

// ServeHTTP answers one relayed watch. It answers a HEAD request at once, which serves as a
// liveness probe.
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
		a.Value = nil // the client has it
	}
	_ = json.NewEncoder(w).Encode(a)
}

// await waits for a revision above after. It returns false if the store has not answered
// recently, or if the known revision is below after once the store has had time to answer.
func (s *Server) await(ctx context.Context, key string, after pointport.Revision, wait time.Duration) (pointport.Entry, bool) {
	kw := s.watchOf(key)
	start := s.clock.Now()
	end := s.clock.After(wait)
	for {
		now := s.clock.Now()
		e, answeredAt, changed := kw.state(now)
		isFresh := !answeredAt.IsZero() && now.Sub(answeredAt) <= maxAge
		if isFresh && e.Revision() > after {
			return e, true
		}
		// By now the store should have answered, with at least the client's revision.
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

// state returns the latest known entry, when the store last answered, and a channel that is closed
// at its next answer. It also notes that the key is in use.
func (kw *keyWatch) state(now time.Time) (pointport.Entry, time.Time, <-chan struct{}) {
	kw.mu.Lock()
	defer kw.mu.Unlock()
	kw.requestedAt = now
	return kw.entry, kw.answeredAt, kw.changed
}

func (s *Server) watchOf(key string) *keyWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	kw := s.watches[key]
	if kw == nil {
		kw = &keyWatch{changed: make(chan struct{}), requestedAt: s.clock.Now()}
		s.watches[key] = kw
		go func() { s.watch(key, kw) }()
	}
	return kw
}

// watch watches a key at the store as long as clients request it.
func (s *Server) watch(key string, kw *keyWatch) {
	for s.ctx.Err() == nil && s.inUse(key, kw) {
		e, err := s.store.Watch(s.ctx, key, kw.revision())
		if err != nil {
			select {
			case <-s.clock.After(retryDelay):
			case <-s.ctx.Done():
			}
			continue
		}
		kw.update(e, s.clock.Now())
	}
}

// inUse reports whether a key is still requested, and removes its watch if not.
func (s *Server) inUse(key string, kw *keyWatch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	kw.mu.Lock()
	defer kw.mu.Unlock()
	if s.clock.Now().Sub(kw.requestedAt) < idleTimeout {
		return true
	}
	delete(s.watches, key)
	return false
}

func (kw *keyWatch) revision() pointport.Revision {
	kw.mu.Lock()
	defer kw.mu.Unlock()
	return kw.entry.Revision()
}

// update applies an answer of the store.
func (kw *keyWatch) update(e pointport.Entry, now time.Time) {
	kw.mu.Lock()
	defer kw.mu.Unlock()
	if e.Revision() != kw.entry.Revision() {
		kw.entry = e // an answer without a change need not contain the value
	}
	kw.answeredAt = now
	close(kw.changed)
	kw.changed = make(chan struct{})
}
