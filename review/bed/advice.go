package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

// This file defines the stand-in of the advice service.

const (
	// decideTime, eachTime and validTime are the queue's decide_ms, each_ms and valid_ms.
	decideTime = 60 * time.Millisecond
	eachTime   = 10 * time.Millisecond
	validTime  = 3000 * time.Millisecond
	// maxWaiting is how many calls may wait.
	maxWaiting = 32
	// ticketSlack is how much longer than validTime a runner takes a ticket.
	ticketSlack = 50 * time.Millisecond
)

// advisor tells which runners may run a step. It works on one call at a time for each calling machine,
// in turn, and passes over calls whose caller has left.
type advisor struct {
	record *record

	mu                   sync.Mutex
	queues               map[string][]chan struct{} // by calling machine; the first is that of the call the one worked on
	waiting              int
	tickets              map[string]time.Time // until when a ticket holds, by step, runner and text
	serial               int
	calls, refused, left int
}

func newAdvisor(r *record) *advisor {
	return &advisor{record: r, queues: make(map[string][]chan struct{}), tickets: make(map[string]time.Time)}
}

// good reports whether a runner may run a step: every second one may.
func good(step, runner string) bool {
	h := fnv.New32a()
	h.Write([]byte(step))
	return (h.Sum32()+uint32(runner[len(runner)-1]))%2 == 0
}

// ServeHTTP answers a call for advice.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	machine, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	turn := make(chan struct{})
	if !a.enter(machine, turn) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	<-turn
	defer a.next(machine)
	if r.Context().Err() != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.left++
		return
	}
	time.Sleep(decideTime + time.Duration(len(b.Workers))*eachTime)
	answer(w, http.StatusOK, map[string]any{"good": a.issue(b.Step, b.Workers), "valid_ms": validTime.Milliseconds()})
}

// enter puts a call into the queue of its machine. It returns false if too many wait.
func (a *advisor) enter(machine string, turn chan struct{}) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting >= maxWaiting {
		a.refused++
		return false
	}
	a.calls++
	a.waiting++
	a.queues[machine] = append(a.queues[machine], turn)
	if len(a.queues[machine]) == 1 {
		close(turn)
	}
	return true
}

// next ends the call that was worked on and begins the next one of the machine.
func (a *advisor) next(machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	a.queues[machine] = a.queues[machine][1:]
	if len(a.queues[machine]) > 0 {
		close(a.queues[machine][0])
	}
}

// issue returns a row of id and ticket for each runner that may run a step.
func (a *advisor) issue(step string, runners []string) [][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	rows := [][]string{}
	for _, id := range runners {
		if !good(step, id) {
			continue
		}
		a.serial++
		text := fmt.Sprintf("c81e-%08x", a.serial)
		a.tickets[step+" "+id+" "+text] = time.Now().Add(validTime + ticketSlack)
		rows = append(rows, []string{id, text})
	}
	return rows
}

// holds reports whether a ticket for a step on a runner holds.
func (a *advisor) holds(step, runner, text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[step+" "+runner+" "+text])
}

// summary returns what the service has seen, as text.
func (a *advisor) summary() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprintf("advice: %d calls taken, %d answered 429, %d whose caller had left before their turn", a.calls, a.refused, a.left)
}
