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

// This file defines how a node knows which availability zones are evacuated.
//
// The requests are few and must be known for sure, so they are read again and again while
// anybody asks for them: a watch may be deaf, and the store may forget its history. What
// was read is believed for a share of the time within which a request must be in force, so
// a member that cannot read them starts nothing by then, whether or not it can tell that it
// is cut off; and a request that was taken back is known at the next reading.

const (
	// DefaultEvacuationTime is the time within which a request must be in force where the
	// platform does not tell.
	DefaultEvacuationTime = 5 * time.Second
	// evacuationValidFraction is the share of that time for which a reading is believed. The
	// rest is for starts that are on their way: they are refused once the lease that they
	// bring is over.
	evacuationValidFraction = 0.6
	// evacuationReadFraction is the share of it from one reading to the next.
	evacuationReadFraction = 0.2
	// evacuationRetryInterval is how soon the requests are read again after the store gave no answer.
	evacuationRetryInterval = 200 * time.Millisecond
	// evacuationIdleTimeout is for how long after the last question the requests are still read:
	// most nodes own nothing and start nothing.
	evacuationIdleTimeout = 5 * time.Second
)

// evacuations keeps the requests that availability zones be left empty, while anybody asks.
type evacuations struct {
	source    Source[evacuation.Request]
	kv        pointport.KV
	clock     pointport.Clock
	applyTime time.Duration // the time within which a request must be in force
	logger    *slog.Logger
	start     func()
	once      sync.Once
	wake      chan struct{} // wakes the reader

	mu            sync.Mutex
	entries       *entries[evacuation.Request]
	zones         evacuation.Zones
	readAt        clocks.Interval // since what is known was asked for, or the first question
	lastUsed      time.Time       // when it was last wanted
	lastErr       error           // of the last reading, nil if it was answered
	unknownLogged bool            // whether the log says that nothing is known
}

// newEvacuations returns evacuations that are read from the first question until ctx ends.
// A source without a prefix says that nobody evacuates availability zones.
func newEvacuations(ctx context.Context, kv pointport.KV, clock pointport.Clock, source Source[evacuation.Request], within time.Duration, logger *slog.Logger) *evacuations {
	e := &evacuations{
		source: source, kv: kv, clock: clock, applyTime: within, logger: logger, wake: make(chan struct{}, 1),
		entries: newEntries(source.Decode, event.EvacuationUnreadable, logger),
	}
	e.start = func() {
		e.readAt = clocks.NewInterval(clock)
		go e.run(ctx)
	}
	return e
}

// Zones returns what is known of evacuated availability zones, nothing if it is too old.
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
	if age := e.readAt.Age(); age > e.fractionOfApplyTime(evacuationValidFraction) {
		e.logUnknown(age)
		return evacuation.Zones{}
	}
	return e.zones
}

func (e *evacuations) fractionOfApplyTime(part float64) time.Duration {
	return time.Duration(part * float64(e.applyTime))
}

// Count returns how many availability zones are evacuated, as far as is known.
func (e *evacuations) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.zones.Requests())
}

// run reads the requests until ctx ends.
func (e *evacuations) run(ctx context.Context) {
	for ctx.Err() == nil {
		rest := e.fractionOfApplyTime(evacuationReadFraction)
		if err := e.readAll(ctx); err != nil && ctx.Err() == nil {
			rest = evacuationRetryInterval
		}
		select {
		case <-e.clock.After(rest):
		case <-ctx.Done():
		}
		e.awaitUse(ctx)
	}
}

// awaitUse waits until the requests have been asked for lately.
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

// readAll reads the requests.
func (e *evacuations) readAll(ctx context.Context) error {
	asked := clocks.NewInterval(e.clock)
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
	e.apply(evacuation.NewZones(requests), asked)
	return nil
}

// apply puts what was read in force, and logs what differs. The lock is held.
func (e *evacuations) apply(now evacuation.Zones, asked clocks.Interval) {
	for _, r := range now.Requests() {
		if !slices.Contains(e.zones.Requests(), r) {
			event.ZoneEvacuated.Log(e.logger, slog.String("zone", string(r.Zone)), slog.Int64("revision", int64(r.Revision)), slog.Duration("age", asked.Age()))
		}
	}
	for _, r := range e.zones.Requests() {
		if now.State(r.Zone) == evacuation.Open {
			event.ZoneOpened.Log(e.logger, slog.String("zone", string(r.Zone)), slog.Int64("revision", int64(r.Revision)), slog.Duration("age", asked.Age()))
		}
	}
	if e.unknownLogged {
		event.EvacuationsKnown.Log(e.logger, slog.Int("evacuated", len(now.Requests())), slog.Duration("after", e.readAt.Age()))
	}
	e.zones, e.readAt, e.unknownLogged = now, asked, false
}

// logUnknown logs once that what is known has become too old. The lock is held.
func (e *evacuations) logUnknown(age time.Duration) {
	if e.unknownLogged {
		return
	}
	e.unknownLogged = true
	event.EvacuationsUnknown.Log(e.logger, slog.Duration("age", age), slog.Int("evacuated", len(e.zones.Requests())), slog.Any("error", e.lastErr))
}
