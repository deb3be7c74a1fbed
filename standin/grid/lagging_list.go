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
	// snapshotInterval is how often it is noted how the machines are.
	snapshotInterval = 50 * time.Millisecond
	// maxLag is for how long that is kept.
	maxLag = 3 * time.Second
)

// A laggingList is the service for machines. It is safe for concurrent use.
type laggingList struct {
	*testbed.Machines
	clock  pointport.Clock
	closed chan struct{}

	mu           sync.Mutex
	lag, latency time.Duration
	history      []snapshot // the oldest first
}

// A snapshot is how the machines were at a time.
type snapshot struct {
	at       time.Time
	machines []pointport.Machine
}

func newLaggingList(clock pointport.Clock, machines *testbed.Machines) *laggingList {
	return &laggingList{Machines: machines, clock: clock, closed: make(chan struct{})}
}

// recordUntilClosed notes how the machines are until the list is closed.
func (l *laggingList) recordUntilClosed() {
	for {
		l.record()
		select {
		case <-l.clock.After(snapshotInterval):
		case <-l.closed:
			return
		}
	}
}

func (l *laggingList) record() {
	now := l.clock.Now()
	rows, err := l.Machines.List(context.Background())
	if err != nil {
		return // the fleet has no errors to tell
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, snapshot{now, rows})
	for now.Sub(l.history[0].at) > maxLag {
		l.history = l.history[1:]
	}
}

func (l *laggingList) setFaults(lag, takes time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag, l.latency = lag, takes
}

func (l *laggingList) close() { close(l.closed) }

// List returns the machines as they were some time ago.
func (l *laggingList) List(ctx context.Context) ([]pointport.Machine, error) {
	rows, err := l.Machines.List(ctx)
	l.mu.Lock()
	takes := l.latency
	if l.lag > 0 {
		rows = l.snapshotAt(l.clock.Now().Add(-l.lag))
	}
	l.mu.Unlock()
	if takes > 0 {
		<-l.clock.After(takes)
	}
	return rows, err
}

// snapshotAt returns how the machines were at a time, or at the first one known. The lock is
// held.
func (l *laggingList) snapshotAt(at time.Time) []pointport.Machine {
	rows := l.history[0].machines
	for _, p := range l.history {
		if p.at.After(at) {
			break
		}
		rows = p.machines
	}
	return rows
}
