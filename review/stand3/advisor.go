package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// This file defines the advisor, which alone knows which runners may run a step.

// The figures of the queues that need advice.
const (
	decideTime = 20 * time.Millisecond
	eachTime   = 2 * time.Millisecond
	validTime  = 3 * time.Second
)

// A ticket lets a life of a runner run a step until a time.
type ticket struct {
	step  string
	life  *life
	until time.Time
}

// advisor serves the calls for advice. It works on them in turn.
func (b *bed) advisor() http.Handler {
	mux := http.NewServeMux()
	turn := make(chan struct{}, 1)
	mux.HandleFunc("POST /v1/advise", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		turn <- struct{}{}
		time.Sleep(decideTime + time.Duration(len(q.Workers))*eachTime)
		<-turn
		b.mu.Lock()
		good := [][]string{}
		for _, id := range q.Workers {
			for _, m := range b.machines {
				if m.life == nil || m.life.id != id || !b.mayRun(q.Step, m) {
					continue
				}
				text := fmt.Sprintf("t%d", len(b.tickets)+1)
				b.tickets[text] = ticket{q.Step, m.life, time.Now().Add(validTime)}
				good = append(good, []string{id, text})
			}
		}
		b.mu.Unlock()
		b.record("advice on %s: %d of %d runners may run it", q.Step, len(good), len(q.Workers))
		reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": validTime.Milliseconds()})
	})
	return mux
}

// ticketHolds reports whether a start on a life brings a ticket that holds. The lock is held.
func (b *bed) ticketHolds(now time.Time, o order, l *life) bool {
	t, ok := b.tickets[o.Ticket]
	return ok && t.step == gangName(o.Task) && t.life == l && now.Before(t.until)
}
