package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/platform"
)

// This file defines the platform: the store, for which the project's own stand-in serves, and the
// service that lists and moves machines.

const (
	moveTime = 1500 * time.Millisecond
	// answerTime is how long the store takes to answer, by the sheets of both deployments.
	answerTime = 4 * time.Millisecond
)

// A store is the platform's store. It shows each change that it has made to an observer before it
// answers.
type store struct {
	pointport.KV
	mu sync.Mutex
	// confirmed is called after a change was made and before it is answered.
	confirmed func(txn pointport.Txn)
}

// Commit makes a change.
func (s *store) Commit(ctx context.Context, txn pointport.Txn) (pointport.Revision, error) {
	at, err := s.KV.Commit(ctx, txn)
	s.mu.Lock()
	confirmed := s.confirmed
	s.mu.Unlock()
	if err == nil && confirmed != nil {
		confirmed(txn)
	}
	return at, err
}

// observe sets what is called for each change that was made.
func (s *store) observe(confirmed func(txn pointport.Txn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = confirmed
}

// serve serves a handler at a free loopback port and returns its address.
func serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// newStore returns a store and its address. own is for the platform's own writes, which are not
// shown to the observer.
func newStore() (s *store, own pointport.KV, address string, err error) {
	kept := memory.New(clock.System{})
	s = &store{KV: kept.KV(memory.WithLatency(answerTime))}
	address, err = serve(platform.ServeStore(s))
	return s, kept.KV(), address, err
}

// cloud answers the calls about machines.
func (f *farm) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		rows := []map[string]any{}
		for _, m := range f.machines {
			row := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
				"capacity": map[string]any{"cpu": f.cpu, "memory_request_mb": f.mem, "gpu": 0}, "id": ""}
			if m.life != nil {
				row["id"] = m.life.id
			}
			rows = append(rows, row)
		}
		f.mu.Unlock()
		data, _ := json.Marshal(map[string]any{"machines": rows, "next_page_token": nil})
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	})
	mux.HandleFunc("POST /v1/machine-move", func(w http.ResponseWriter, r *http.Request) {
		var o struct{ Machine, Pool string }
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			http.Error(w, "not understood", http.StatusBadRequest)
			return
		}
		f.move(w, o.Machine, o.Pool)
	})
	return mux
}

// move moves a machine to another pool.
func (f *farm) move(w http.ResponseWriter, name, pool string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.name != name {
			continue
		}
		switch {
		case m.pool == pool:
			f.rec.line("machine %s is in %s already", name, pool)
		case m.state != "up":
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"reason":"busy"}`))
			return
		default:
			l := f.die(m, "moving")
			f.rec.line("machine %s moves from %s to %s; %d work units die", name, m.pool, pool, len(l.runs))
			m.pool = pool
			go func() {
				time.Sleep(moveTime)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.boot(m)
			}()
		}
		_, _ = w.Write([]byte(`{}`))
		return
	}
	http.Error(w, "no such machine", http.StatusBadRequest)
}

// ownerOf returns the name of the process that owns a pool, by the key that it keeps in the store.
func ownerOf(kv pointport.KV, pool string) string {
	e, err := kv.Get(context.Background(), "roster/owner/"+pool)
	if err != nil || !e.Exists() {
		return ""
	}
	var owner struct{ Name string }
	if json.Unmarshal(e.Value(), &owner) != nil {
		return ""
	}
	return owner.Name
}
