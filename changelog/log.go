// Package changelog keeps a state in the platform's store as a log of changes,
// which is also the audit trail of who changed what. The configuration, the
// assignment of instances and the jobs are kept this way.
//
// Changes are appended to a small tail segment, which is one key. A segment is
// sealed once it is full, and the next key begins. After every so many segments
// the whole state is written as a snapshot, and segments past the retention are
// removed. A node follows the log by watching the tail segment.
//
// Invariants:
//
//   - A change and its audit record are written by one compare-and-swap.
//   - Versions increase by one, without a gap.
//   - A node never applies a version lower than the one that it has.
//   - The outcome of a change whose answer was lost is found by reading its ID
//     back. Only the same compare-and-swap on the same revision is ever retried.
package changelog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the log, its stored form and how a node follows it.

const (
	// DefaultSegmentSize is the number of changes in a segment. A following node
	// reads the whole tail segment again at every change, so a small segment saves
	// bytes.
	DefaultSegmentSize = 8
	// maxSegmentBytes is the size from which a segment is sealed, in bytes. Like
	// the number of changes in a segment it is part of the stored form, so it must
	// not change while nodes of an older version run.
	maxSegmentBytes = 8 << 10
	// DefaultSnapshotEvery is the number of segments between snapshots.
	DefaultSnapshotEvery = 64
	// DefaultRetention is the number of segments that are kept for the audit trail.
	DefaultRetention = 4096
	// maxRemovedPerCompaction limits how many old segments one compaction removes.
	maxRemovedPerCompaction = 2 * DefaultSnapshotEvery
	// maxSilence is the time without an answer from the store after which a node
	// checks whether it can still read the log on from its position. A watch ends
	// sooner than that, and segments are kept far longer.
	maxSilence = 5 * time.Minute
	// behindLogDelay is how long a node may read only versions lower than the one
	// that it has applied before that is logged.
	behindLogDelay = 5 * time.Second
	// retryDelay is how long a following node waits after a failed call.
	retryDelay = 500 * time.Millisecond
)

// A Store holds the segments and the snapshot of a log.
type Store interface {
	pointport.Store
	pointport.Watcher
	pointport.Deleter
}

// A Change is one entry of a log.
type Change interface {
	// ChangeID returns an identifier that no other change has. It shows whether
	// a change whose answer was lost has taken effect.
	ChangeID() string
	// ChangeVersion returns the version of the state that the change leads to.
	ChangeVersion() pointport.Version
}

// A State is the result of applying a log's changes in order. It is immutable.
type State[S any, C Change] interface {
	// Version returns the version of the state.
	Version() pointport.Version
	// Apply returns the state after c. It fails if c's version does not follow the
	// version of the state.
	Apply(c C) (S, error)
}

// segment is the stored form of consecutive changes of a log.
type segment[C any] struct {
	Changes []C `json:"changes"`
}

// snapshot is the stored form of the whole state.
type snapshot[S any] struct {
	State S `json:"state"`
	// Next is the first segment whose changes the state does not include.
	Next int64 `json:"next"`
	// Oldest is the first segment that still exists.
	Oldest int64 `json:"oldest"`
}

// tail is a node's position in the log, and the state there.
type tail[S any, C any] struct {
	state    S
	number   int64              // of the segment to read next
	revision pointport.Revision // of that segment when it was read; zero if it was not
	changes  []C                // in that segment
}

// A Log is one node's view of a state that is stored as a log of changes. It is
// safe for concurrent use.
type Log[S State[S, C], C Change] struct {
	settings
	name  string
	store Store
	clock pointport.Clock
	empty S

	state atomic.Pointer[S]

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced when the state changes
	lastAnswerAt time.Time
	// behindSince is when the first of an uninterrupted series of lower versions
	// was read; zero if the last version read was not lower.
	behindSince time.Time
	furthest    *tail[S, C] // the latest tail that was read, where the next load begins
}

// settings hold what options set.
type settings struct {
	logger        *slog.Logger
	segmentSize   int
	snapshotEvery int64
	retention     int64
}

// An Option changes a Log.
type Option func(*settings)

// WithLogger sets the logger of events. By default they are discarded.
func WithLogger(l *slog.Logger) Option { return func(s *settings) { s.logger = l } }

// WithSegmentPolicy sets the number of changes in a segment, the number of
// segments between snapshots, and the number of segments that are kept. The
// number of changes must be the same on all nodes that use the log.
func WithSegmentPolicy(changes int, snapshotEvery, retention int64) Option {
	return func(s *settings) { s.segmentSize, s.snapshotEvery, s.retention = changes, snapshotEvery, retention }
}

// New returns the log called name in store, without reading it. The name is the
// prefix of the keys that the log uses. A log without changes has the state empty.
func New[S State[S, C], C Change](store Store, clock pointport.Clock, name string, empty S, options ...Option) *Log[S, C] {
	g := &Log[S, C]{
		settings: settings{
			logger: slog.New(slog.DiscardHandler), segmentSize: DefaultSegmentSize,
			snapshotEvery: DefaultSnapshotEvery, retention: DefaultRetention,
		},
		name: name, store: store, clock: clock, empty: empty,
		changed: make(chan struct{}),
	}
	for _, o := range options {
		o(&g.settings)
	}
	g.logger = g.logger.With(slog.String("log", name))
	g.state.Store(&empty)
	return g
}

// Start returns the log called name in store, and follows it until ctx ends. See
// New for the arguments.
func Start[S State[S, C], C Change](ctx context.Context, store Store, clock pointport.Clock, name string, empty S, options ...Option) *Log[S, C] {
	g := New[S, C](store, clock, name, empty, options...)
	go func() { g.follow(ctx) }()
	return g
}

// snapshotKey returns the key of the newest snapshot.
func (g *Log[S, C]) snapshotKey() string { return g.name + ".snapshot" }

// segmentKey returns the key of segment n.
func (g *Log[S, C]) segmentKey(n int64) string { return fmt.Sprintf("%s.log.%08d", g.name, n) }

// State returns the newest state that this node has applied.
func (g *Log[S, C]) State() S { return *g.state.Load() }

// Changed returns a channel that is closed when the state next changes.
func (g *Log[S, C]) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// LastAnswer returns when the store last answered a call about the log, or the
// zero time if it never did.
func (g *Log[S, C]) LastAnswer() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastAnswerAt
}

// apply makes state the node's current one, unless that has a higher version.
func (g *Log[S, C]) apply(state S) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastAnswerAt = g.clock.Now()
	have := g.State()
	if state.Version() < have.Version() {
		g.noteBehind(state.Version(), have.Version())
		return
	}
	g.behindSince = time.Time{}
	if state.Version() == have.Version() {
		return
	}
	g.state.Store(&state)
	close(g.changed)
	g.changed = make(chan struct{})
	event.VersionApplied.Log(g.logger, slog.Int64("version", int64(state.Version())))
}

// noteBehind records that the version read is lower than the one applied. For a
// moment this happens when this node appends a change while it reads. If it lasts,
// the store has returned to an older state, and noteBehind logs that. The lock is
// held.
func (g *Log[S, C]) noteBehind(read, applied pointport.Version) {
	switch {
	case g.behindSince.IsZero():
		g.behindSince = g.lastAnswerAt
	case g.lastAnswerAt.Sub(g.behindSince) > behindLogDelay:
		event.LogBehind.Log(g.logger, slog.Int64("store", int64(read)), slog.Int64("applied", int64(applied)))
		g.behindSince = g.lastAnswerAt
	}
}

// follow reads the log and watches its end, until ctx ends.
func (g *Log[S, C]) follow(ctx context.Context) {
	var t *tail[S, C]
	unavailable := false
	for ctx.Err() == nil {
		if g.clock.Now().Sub(g.LastAnswer()) > maxSilence {
			// The segment that this node watches may have been filled and
			// removed meanwhile.
			t = nil
		}
		next, err := g.readNext(ctx, t)
		if err != nil {
			if !unavailable && ctx.Err() == nil {
				event.LogUnavailable.Log(g.logger, slog.Any("error", err))
			}
			unavailable = true
			// The segment read before an outage may be removed after it.
			t = nil
			g.pause(ctx)
			continue
		}
		if unavailable {
			unavailable = false
			event.LogRecovered.Log(g.logger)
		}
		t = next
		g.apply(t.state)
	}
}

func (g *Log[S, C]) pause(ctx context.Context) {
	select {
	case <-g.clock.After(retryDelay):
	case <-ctx.Done():
	}
}

// readNext loads the log if t is nil. Otherwise it waits for a change of the
// segment at t.
func (g *Log[S, C]) readNext(ctx context.Context, t *tail[S, C]) (*tail[S, C], error) {
	if t == nil {
		return g.load(ctx)
	}
	e, err := g.store.Watch(ctx, g.segmentKey(t.number), t.revision)
	if err != nil {
		return nil, err
	}
	switch {
	case e.Revision() == t.revision:
		// The watch ended without a change. Its answer may lack the value.
		return t, nil
	case !e.Exists():
		// The segment was removed while this node was suspended.
		return g.load(ctx)
	}
	return g.advance(t, e)
}

// Refresh reads the log up to its end and applies it. Queries that must see every
// change accepted before them call it first.
func (g *Log[S, C]) Refresh(ctx context.Context) error {
	_, err := g.load(ctx)
	return err
}

// load reads and applies the log up to its end: from the latest tail that was read
// if the log can be read on from there, and otherwise from the snapshot.
func (g *Log[S, C]) load(ctx context.Context) (*tail[S, C], error) {
	g.mu.Lock()
	t := g.furthest
	g.mu.Unlock()
	resume, err := g.canResume(ctx, t)
	if err != nil {
		return nil, err
	}
	if resume {
		t, err = g.readForward(ctx, t)
	} else {
		t, err = g.readFromSnapshot(ctx)
	}
	if errors.Is(err, errSegmentRemoved) {
		t, err = g.readFromSnapshot(ctx)
	}
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	if g.furthest == nil || g.furthest.state.Version() <= t.state.Version() {
		g.furthest = t
	}
	g.mu.Unlock()
	g.apply(t.state)
	return t, nil
}

// readFromSnapshot reads the snapshot and every segment after it.
func (g *Log[S, C]) readFromSnapshot(ctx context.Context) (*tail[S, C], error) {
	snap, _, err := g.readSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return g.readForward(ctx, &tail[S, C]{state: snap.State, number: snap.Next})
}

// errSegmentRemoved reports that a segment which was read before no longer exists, so that the log
// cannot be read on from there.
var errSegmentRemoved = errors.New("the segment was removed")

// canResume reports whether the log can be read on from t without a snapshot:
// t's segment was already read, is the first one, or the one before it still exists.
func (g *Log[S, C]) canResume(ctx context.Context, t *tail[S, C]) (bool, error) {
	if t == nil {
		return false, nil
	}
	if t.revision != 0 || t.number == 1 {
		return true, nil
	}
	e, err := g.store.Get(ctx, g.segmentKey(t.number-1))
	return e.Exists(), err
}

// readForward reads every segment from t to the end of the log. It fails with errSegmentRemoved if
// t's segment was read before and no longer exists.
func (g *Log[S, C]) readForward(ctx context.Context, t *tail[S, C]) (*tail[S, C], error) {
	for {
		e, err := g.store.Get(ctx, g.segmentKey(t.number))
		if err != nil {
			return nil, err
		}
		if !e.Exists() && t.revision != 0 {
			return nil, fmt.Errorf("%s: %w", e.Key(), errSegmentRemoved)
		}
		if !e.Exists() {
			return t, nil
		}
		current := t.number
		if t, err = g.advance(t, e); err != nil {
			return nil, err
		}
		if t.number == current {
			return t, nil
		}
	}
}

func (g *Log[S, C]) readSnapshot(ctx context.Context) (snapshot[S], pointport.Revision, error) {
	e, err := g.store.Get(ctx, g.snapshotKey())
	if err != nil {
		return snapshot[S]{}, 0, err
	}
	if !e.Exists() {
		return snapshot[S]{State: g.empty, Next: 1, Oldest: 1}, 0, nil
	}
	s, err := decodeSnapshot[S](e)
	return s, e.Revision(), err
}

// decodeSnapshot decodes a stored snapshot. It rejects one without a state, which would be a nil
// pointer, and one with positions that the log cannot have.
func decodeSnapshot[S any](e pointport.Entry) (snapshot[S], error) {
	var stored snapshot[*S]
	if err := json.Unmarshal(e.Value(), &stored); err != nil {
		return snapshot[S]{}, fmt.Errorf("%s: %w", e.Key(), err)
	}
	if stored.State == nil {
		return snapshot[S]{}, fmt.Errorf("%s: state is missing: must be present", e.Key())
	}
	if stored.Oldest < 1 || stored.Next < stored.Oldest {
		return snapshot[S]{}, fmt.Errorf("%s: next is %d and oldest is %d: must be above 0 and in order", e.Key(), stored.Next, stored.Oldest)
	}
	return snapshot[S]{State: *stored.State, Next: stored.Next, Oldest: stored.Oldest}, nil
}

// advance applies those changes of the segment at t, which e holds, that t's state
// does not include yet. If the segment is sealed, the tail that it returns is at the
// next one.
func (g *Log[S, C]) advance(t *tail[S, C], e pointport.Entry) (*tail[S, C], error) {
	changes, err := decodeSegment[C](e)
	if err != nil {
		return nil, err
	}
	next := &tail[S, C]{state: t.state, number: t.number, revision: e.Revision(), changes: changes}
	for _, c := range changes {
		if c.ChangeVersion() <= next.state.Version() {
			continue
		}
		if next.state, err = next.state.Apply(c); err != nil {
			return nil, fmt.Errorf("%s: %w", e.Key(), err)
		}
	}
	if g.sealed(len(changes), len(e.Value())) {
		return &tail[S, C]{state: next.state, number: t.number + 1}, nil
	}
	return next, nil
}

// sealed reports whether a segment takes no more changes. All nodes must agree on
// that, so it depends on the stored value alone.
func (g *Log[S, C]) sealed(changes, bytes int) bool {
	return changes >= g.segmentSize || bytes >= maxSegmentBytes
}

func decodeSegment[C any](e pointport.Entry) ([]C, error) {
	var s segment[C]
	if err := json.Unmarshal(e.Value(), &s); err != nil {
		return nil, fmt.Errorf("%s: %w", e.Key(), err)
	}
	return s.Changes, nil
}

// isAmbiguous reports whether err leaves open whether a change has taken effect.
func isAmbiguous(err error) bool {
	var u *pointport.UnavailableError
	return errors.As(err, &u) && u.Ambiguous
}
