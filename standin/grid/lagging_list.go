package grid

import (
	"context"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
)

// This file defines a list of machines that lags behind the fleet.

const (
	// snapshotInterval is the time between two snapshots of the machines.
	snapshotInterval = 50 * time.Millisecond
	// maxLag is how long a snapshot is kept.
	maxLag = 3 * time.Second
)

// A laggingList is the service for machines with a list that can lag and be slow. It is safe for
// concurrent use.
type laggingList struct {
	*testbed.Machines
	clock  pointport.Clock
	closed chan struct{}

	mu           sync.Mutex
	lag, latency time.Duration
	history      []snapshot // oldest first
}

// A snapshot is the list of machines at a point in time.
type snapshot struct {
	at       time.Time
	machines []pointport.Machine
}

func newLaggingList(clock pointport.Clock, machines *testbed.Machines) *laggingList {
	return &laggingList{Machines: machines, clock: clock, closed: make(chan struct{})}
}

// recordUntilClosed records a snapshot every snapshotInterval until the list is closed.
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

// record records a snapshot and drops those that are older than maxLag.
func (l *laggingList) record() {
	now := l.clock.Now()
	rows, err := l.Machines.List(context.Background())
	if err != nil {
		return // does not happen: the fleet's list returns no errors
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, snapshot{now, rows})
	for now.Sub(l.history[0].at) > maxLag {
		l.history = l.history[1:]
	}
}

func (l *laggingList) setFaults(lag, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag, l.latency = lag, latency
}

func (l *laggingList) close() { close(l.closed) }

// List returns the machines as they were lag ago, after latency.
func (l *laggingList) List(ctx context.Context) ([]pointport.Machine, error) {
	rows, err := l.Machines.List(ctx)
	l.mu.Lock()
	latency := l.latency
	if l.lag > 0 {
		rows = l.snapshotAt(l.clock.Now().Add(-l.lag))
	}
	l.mu.Unlock()
	if latency > 0 {
		<-l.clock.After(latency)
	}
	return rows, err
}

// snapshotAt returns the latest snapshot that is not after a time, or the oldest one kept. The
// lock is held.
func (l *laggingList) snapshotAt(at time.Time) []pointport.Machine {
	machines := l.history[0].machines
	for _, p := range l.history {
		if p.at.After(at) {
			break
		}
		machines = p.machines
	}
	return machines
}
