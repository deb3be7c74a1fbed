package grid

import (
	"context"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
)

// This file defines a list of machines that is behind what it lists.

const (
	// listingEvery is how often it is noted how the machines are.
	listingEvery = 50 * time.Millisecond
	// lagMost is for how long that is kept.
	lagMost = 3 * time.Second
)

// A laggingList is the service for machines. It is safe for concurrent use.
type laggingList struct {
	*testbed.Machines
	clock pointport.Clock
	ended chan struct{}

	mu         sync.Mutex
	lag, takes time.Duration
	past       []listing // the oldest first
}

// A listing is how the machines were at a time.
type listing struct {
	at       time.Time
	machines []pointport.Machine
}

func newLaggingList(clock pointport.Clock, machines *testbed.Machines) *laggingList {
	return &laggingList{Machines: machines, clock: clock, ended: make(chan struct{})}
}

// watch notes how the machines are until the list is closed.
func (l *laggingList) watch() {
	for {
		l.note()
		select {
		case <-l.clock.After(listingEvery):
		case <-l.ended:
			return
		}
	}
}

func (l *laggingList) note() {
	now := l.clock.Now()
	rows, err := l.Machines.List(context.Background())
	if err != nil {
		return // the fleet has no errors to tell
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.past = append(l.past, listing{now, rows})
	for now.Sub(l.past[0].at) > lagMost {
		l.past = l.past[1:]
	}
}

func (l *laggingList) set(lag, takes time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag, l.takes = lag, takes
}

func (l *laggingList) close() { close(l.ended) }

// List returns the machines as they were some time ago.
func (l *laggingList) List(ctx context.Context) ([]pointport.Machine, error) {
	rows, err := l.Machines.List(ctx)
	l.mu.Lock()
	takes := l.takes
	if l.lag > 0 {
		rows = l.before(l.clock.Now().Add(-l.lag))
	}
	l.mu.Unlock()
	if takes > 0 {
		<-l.clock.After(takes)
	}
	return rows, err
}

// before returns how the machines were at a time, or at the first one known. The lock is
// held.
func (l *laggingList) before(at time.Time) []pointport.Machine {
	rows := l.past[0].machines
	for _, p := range l.past {
		if p.at.After(at) {
			break
		}
		rows = p.machines
	}
	return rows
}
