package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// This file defines the service that lists, moves and maintains machines.

// cloud serves the calls about machines.
func (b *bed) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, _ *http.Request) {
		b.mu.Lock()
		b.listReads++
		var rows []map[string]any
		for _, m := range b.machines {
			row := map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
				"capacity": map[string]int{"cpu": machineCPU, "memory_request_mb": machineMemoryMB, "gpu": 0},
			}
			if m.life != nil {
				row["id"] = m.life.id
			}
			rows = append(rows, row)
		}
		b.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"machines": rows})
	})
	mux.HandleFunc("POST /v1/machine-move", func(w http.ResponseWriter, r *http.Request) { b.duty(w, r, false) })
	mux.HandleFunc("POST /v1/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { b.duty(w, r, true) })
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs no answer
}

// duty carries out a move or an upkeep.
func (b *bed) duty(w http.ResponseWriter, r *http.Request, upkeep bool) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	b.mu.Lock()
	defer b.mu.Unlock()
	var m *machine
	for _, o2 := range b.machines {
		if o2.name == o.Machine {
			m = o2
		}
	}
	if m == nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	b.record("duty  %s pool %q wave %d by %s fence %d", o.Machine, o.Pool, o.Wave, r.Header.Get("X-Lease-Holder"), fence)
	if fence < m.fence {
		b.record("ONE   %s: fence %d after %d", m.name, fence, m.fence)
	}
	m.holder, m.fence = r.Header.Get("X-Lease-Holder"), max(m.fence, fence)
	switch {
	case !upkeep && m.pool == o.Pool, upkeep && m.upkeepDone[o.Wave]:
		reply(w, http.StatusOK, map[string]any{})
		return
	case m.state != "up" || m.life != nil && !m.life.draining.IsZero():
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	if m.life != nil {
		id := m.life.id
		b.endLife(m.life)
		m.shut()
		go b.remove(id)
	}
	down := moveTime
	m.state = "moving"
	if upkeep {
		down, m.state = upkeepTime, "upkeep"
		m.upkeepDone[o.Wave] = true
	} else {
		m.pool = o.Pool
	}
	go func() {
		time.Sleep(down)
		b.mu.Lock()
		off := m.pool == sparePool
		m.state = "up"
		b.mu.Unlock()
		if !off {
			b.bootAgain(m)
		}
	}()
	reply(w, http.StatusOK, map[string]any{})
}
