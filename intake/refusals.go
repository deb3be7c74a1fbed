package intake

import (
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what is remembered of jobs that were refused, so that their customers
// keep their place when they come back.

const (
	// refusalsKept is for how long a refusal is remembered. Customers try for three
	// times as long as a job should take, 4 to 25 s on the users' queues.
	refusalsKept = 30 * time.Second
	// refusalsMost bounds how many are remembered, at some 100 bytes each: half a
	// minute's worth of the customers of an outage, 500 a second, of whom each asks
	// again each second.
	refusalsMost = 8192
)

// Refusals are the jobs that were refused lately and when their customers first asked. It
// is safe for concurrent use.
//
// When the store returns after some seconds, everybody whom it made wait comes back at
// once, beside those who ask for the first time, and there is room for a third of them.
// The owner of a pool serves first whom it can serve in time; without this it took
// customers who had waited for longer than their jobs may take for new ones.
type Refusals struct {
	clock pointport.Clock

	mu    sync.Mutex
	asked map[string]time.Time // by job
}

// NewRefusals returns an empty memory.
func NewRefusals(clock pointport.Clock) *Refusals {
	return &Refusals{clock: clock, asked: make(map[string]time.Time)}
}

// Note takes in that a job was refused whose customer has asked for it since then. Where
// memory is short, the refusal is not remembered, and the job counts as new when it comes
// back.
func (r *Refusals) Note(id string, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first, ok := r.asked[id]; ok && !since.Before(first) {
		return
	}
	if len(r.asked) >= refusalsMost {
		r.forget()
	}
	if len(r.asked) < refusalsMost {
		r.asked[id] = since
	}
}

// forget drops the refusals that are too old. The lock is held.
func (r *Refusals) forget() {
	oldest := r.clock.Now().Add(-refusalsKept)
	for id, at := range r.asked {
		if at.Before(oldest) {
			delete(r.asked, id)
		}
	}
}

// Asked returns when the customer of a job that was refused first asked for it; false if
// no refusal is remembered.
func (r *Refusals) Asked(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.asked[id]
	return at, ok && r.clock.Now().Sub(at) < refusalsKept
}
