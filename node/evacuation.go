package node

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pointport/pointport"
	clocks "github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
)

// This file defines how a node learns which availability zones are evacuated.
//
// The requests are few, and a missed one would start tasks in an evacuated zone. They are
// therefore polled while they are in use, rather than watched: a watch may miss events, and the
// store may compact its history. The result of a read is valid for a fraction of the time
// within which a request must be in force. A member that cannot read the requests thus stops
// starting tasks in time, even if it does not notice that it is disconnected. A withdrawn
// request is seen at the next read.

const (
	// DefaultEvacuationTime is the time within which a request must be in force if the platform
	// does not specify one.
	DefaultEvacuationTime = 5 * time.Second
	// evacuationValidFraction is the fraction of that time for which a read is valid. The rest
	// is for starts in flight: an instance refuses them once the lease that they carry has
	// expired.
	evacuationValidFraction = 0.6
	// evacuationReadFraction is the fraction of that time between two reads.
	evacuationReadFraction = 0.2
	// evacuationRetryInterval is the time until the next read after the store did not answer.
	evacuationRetryInterval = 200 * time.Millisecond
	// evacuationIdleTimeout is how long the requests are still read after Zones was last
	// called: most nodes own no pool and start nothing.
	evacuationIdleTimeout = 5 * time.Second
)

// evacuations holds the requests to leave availability zones empty, and reads them while Zones
// is called.
type evacuations struct {
	source    Source[evacuation.Request]
	kv        pointport.KV
	clock     pointport.Clock
	applyTime time.Duration // time within which a request must be in force
	logger    *slog.Logger
	start     func()
	once      sync.Once
	wake      chan struct{} // wakes run when it has stopped reading

	mu            sync.Mutex
	entries       *entries[evacuation.Request]
	zones         evacuation.Zones
	sinceRead     clocks.Interval // since the read that zones comes from was sent; before one, since the first call of Zones
	lastUsed      time.Time       // when Zones was last called
	lastErr       error           // of the last read, nil if it succeeded
	unknownLogged bool            // whether the last log line about it reports that the requests are unknown
}

// newEvacuations returns evacuations that are read from the first call of Zones until ctx ends.
// With a source without a prefix, no availability zone is ever evacuated.
func newEvacuations(ctx context.Context, kv pointport.KV, clock pointport.Clock, source Source[evacuation.Request], within time.Duration, logger *slog.Logger) *evacuations {
	e := &evacuations{
		source: source, kv: kv, clock: clock, applyTime: within, logger: logger, wake: make(chan struct{}, 1),
		entries: newEntries(source.Decode, clock, event.EvacuationUnreadable, logger),
	}
	e.start = func() {
		e.sinceRead = clocks.NewInterval(clock)
		go e.run(ctx)
	}
	return e
}

// Zones returns the state of the availability zones. It is unknown for all of them if the last
// successful read is too old.
func (e *evacuations) Zones() evacuation.Zones {
	if e.source.Prefix == "" {
		return evacuation.None
	}
	e.once.Do(e.start)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastUsed = e.clock.Now()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	if age := e.sinceRead.Age(); age > e.fractionOfApplyTime(evacuationValidFraction) {
		e.logUnknown(age)
		return evacuation.Zones{}
	}
	return e.zones
}

func (e *evacuations) fractionOfApplyTime(fraction float64) time.Duration {
	return time.Duration(fraction * float64(e.applyTime))
}

// Count returns how many availability zones the last successful read shows as evacuated.
func (e *evacuations) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.zones.Requests())
}

// run reads the requests until ctx ends, and pauses while nobody uses them.
func (e *evacuations) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := e.fractionOfApplyTime(evacuationReadFraction)
		if err := e.readAll(ctx); err != nil && ctx.Err() == nil {
			pause = evacuationRetryInterval
		}
		select {
		case <-e.clock.After(pause):
		case <-ctx.Done():
		}
		e.awaitUse(ctx)
	}
}

// awaitUse blocks until Zones has been called within evacuationIdleTimeout, or ctx ends.
func (e *evacuations) awaitUse(ctx context.Context) {
	for {
		e.mu.Lock()
		idle := e.clock.Now().Sub(e.lastUsed) > evacuationIdleTimeout
		e.mu.Unlock()
		if !idle {
			return
		}
		select {
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// readAll reads all requests and applies them. It returns the error of the store.
func (e *evacuations) readAll(ctx context.Context) error {
	sinceSent := clocks.NewInterval(e.clock)
	all, _, err := member.ReadAll(ctx, e.kv, e.source.Prefix)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastErr = err
	if err != nil {
		return err
	}
	e.entries.reset(all)
	requests := make([]evacuation.Request, 0, len(e.entries.byKey))
	for _, r := range e.entries.byKey {
		requests = append(requests, r)
	}
	e.apply(evacuation.NewZones(requests), sinceSent)
	return nil
}

// apply puts the result of a read into force and logs the differences. It must be called with
// the lock held.
func (e *evacuations) apply(zones evacuation.Zones, sinceSent clocks.Interval) {
	for _, r := range zones.Requests() {
		if !slices.Contains(e.zones.Requests(), r) {
			event.ZoneEvacuated.Log(e.logger, slog.String("zone", string(r.Zone)), slog.Int64("revision", int64(r.Revision)), slog.Duration("age", sinceSent.Age()))
		}
	}
	for _, r := range e.zones.Requests() {
		if zones.State(r.Zone) == evacuation.Open {
			event.ZoneOpened.Log(e.logger, slog.String("zone", string(r.Zone)), slog.Int64("revision", int64(r.Revision)), slog.Duration("age", sinceSent.Age()))
		}
	}
	if e.unknownLogged {
		event.EvacuationsKnown.Log(e.logger, slog.Int("evacuated", len(zones.Requests())), slog.Duration("after", e.sinceRead.Age()))
	}
	e.zones, e.sinceRead, e.unknownLogged = zones, sinceSent, false
}

// logUnknown logs, once until the next successful read, that the last result is too old. It
// must be called with the lock held.
func (e *evacuations) logUnknown(age time.Duration) {
	if e.unknownLogged {
		return
	}
	e.unknownLogged = true
	event.EvacuationsUnknown.Log(e.logger, slog.Duration("age", age), slog.Int("evacuated", len(e.zones.Requests())), slog.Any("error", e.lastErr))
}
