// Package changelog keeps a state in the platform's service as a log of
// changes, which is also the audit trail of who changed what. The
// configuration, the assignment of instances and the jobs are kept this way.
//
// The model: changes are appended to a small tail segment, one key. A full
// segment is sealed by its length and the next key begins. Now and then the
// whole state is written as a snapshot, and segments past the retention are
// removed. A node follows the log by waiting on the tail segment.
//
// Invariants: a change and its audit record are one compare-and-swap; versions
// follow each other without a gap; a node never applies a version lower than
// the one it has; a change whose answer was lost is settled by reading its ID
// back, and the only thing ever repeated is the same compare-and-swap on the
// same revision.
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

// This file defines the log, its stored form and the follower.

const (
	// DefaultSegmentSize is how many changes a segment holds. A waiting node reads
	// the tail again at every change, so a small segment saves bytes.
	DefaultSegmentSize = 8
	// maxSegmentBytes is the size from which a segment takes no more changes, in bytes.
	// Like the segment's length it belongs to the stored form, and must not change
	// while nodes of an older version run.
	maxSegmentBytes = 8 << 10
	// DefaultSnapshotEvery is how many segments pass between snapshots.
	DefaultSnapshotEvery = 64
	// DefaultRetention is how many segments are kept for the audit trail.
	DefaultRetention = 4096
	// maxRemovedPerCompaction bounds how many old segments one compaction removes.
	maxRemovedPerCompaction = 2 * DefaultSnapshotEvery
	// maxSilence is the time without an answer after which a node looks if the
	// log can still be read on from where it is. Waits are shorter, and segments
	// are kept far longer.
	maxSilence = 5 * time.Minute
	// behindLogDelay is how long only lower versions may be read before it is said.
	behindLogDelay = 5 * time.Second
	// retryDelay is how long the follower waits after a failed call.
	retryDelay = 500 * time.Millisecond
)

// A Store is what the log needs of the platform's service.
type Store interface {
	pointport.Store
	pointport.Watcher
	pointport.Deleter
}

// A Change is one entry of a log.
type Change interface {
	// ChangeID returns a name that no other change has. It settles whether a
	// change whose answer was lost has taken effect.
	ChangeID() string
	// ChangeVersion returns the version that the change makes.
	ChangeVersion() pointport.Version
}

// A State is what a log's changes add up to. It is never changed itself.
type State[S any, C Change] interface {
	// Version returns the version of the state.
	Version() pointport.Version
	// Apply returns the state after c. It fails if c is not the next version.
	Apply(c C) (S, error)
}

// segment is the stored form of a part of a log.
type segment[C any] struct {
	Changes []C `json:"changes"`
}

// snapshot is the stored form of the whole state.
type snapshot[S any] struct {
	State S `json:"state"`
	// Next is the first segment whose changes the state does not hold.
	Next int64 `json:"next"`
	// Oldest is the first segment that still exists.
	Oldest int64 `json:"oldest"`
}

// tail is what a node knows of the log.
type tail[S any, C any] struct {
	state    S
	number   int64              // the segment to read next
	revision pointport.Revision // the revision at which it was read
	changes  []C                // what it held
}

// A Log is one node's view of a state. It is safe for concurrent use.
type Log[S State[S, C], C Change] struct {
	settings
	name  string
	store Store
	clock pointport.Clock
	empty S

	state atomic.Pointer[S]

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when the state changes
	lastAnswerAt time.Time
	// behindSince is since when only lower versions were read; zero if not.
	behindSince time.Time
	furthest        *tail[S, C] // the furthest that was read, where the next load begins
}

// settings are what options change.
type settings struct {
	logger        *slog.Logger
	segmentSize   int
	snapshotEvery int64
	retention     int64
}

// An Option changes a Log.
type Option func(*settings)

// WithLogger sets where events go.
func WithLogger(l *slog.Logger) Option { return func(s *settings) { s.logger = l } }

// WithSegmentPolicy sets how many changes a segment holds, how many segments pass
// between snapshots and how many are kept.
func WithSegmentPolicy(changes int, snapshotEvery, retention int64) Option {
	return func(s *settings) { s.segmentSize, s.snapshotEvery, s.retention = changes, snapshotEvery, retention }
}

// New returns the log called name over store, which has read nothing yet. The
// name starts the keys that the log uses. The log begins with the state empty.
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

// Start returns the log called name over store, and follows it until ctx ends.
func Start[S State[S, C], C Change](ctx context.Context, store Store, clock pointport.Clock, name string, empty S, options ...Option) *Log[S, C] {
	g := New[S, C](store, clock, name, empty, options...)
	go func() { g.follow(ctx) }()
	return g
}

// snapshotKey is the key that holds the whole state, from time to time.
func (g *Log[S, C]) snapshotKey() string { return g.name + ".snapshot" }

// segmentKey is the key of segment n.
func (g *Log[S, C]) segmentKey(n int64) string { return fmt.Sprintf("%s.log.%08d", g.name, n) }

// State returns the state in force on this node.
func (g *Log[S, C]) State() S { return *g.state.Load() }

// Changed returns a channel that is closed when the state next changes.
func (g *Log[S, C]) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// LastAnswer returns when the store last answered the follower.
func (g *Log[S, C]) LastAnswer() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastAnswerAt
}

// apply puts state in force unless a higher version already is.
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

// noteBehind notes that a lower version was read than the one in force. For a moment
// that is a reading that this node's own change has overtaken; if it lasts, the
// store has gone back.
func (g *Log[S, C]) noteBehind(read, applied pointport.Version) {
	switch {
	case g.behindSince.IsZero():
		g.behindSince = g.lastAnswerAt
	case g.lastAnswerAt.Sub(g.behindSince) > behindLogDelay:
		event.LogBehind.Log(g.logger, slog.Int64("store", int64(read)), slog.Int64("applied", int64(applied)))
		g.behindSince = g.lastAnswerAt
	}
}

// follow reads the log and waits at its end, until ctx ends.
func (g *Log[S, C]) follow(ctx context.Context) {
	var t *tail[S, C]
	cut := false
	for ctx.Err() == nil {
		if g.clock.Now().Sub(g.LastAnswer()) > maxSilence {
			// What this node waits for may have come and gone meanwhile.
			t = nil
		}
		next, err := g.readNext(ctx, t)
		if err != nil {
			if !cut && ctx.Err() == nil {
				event.LogUnavailable.Log(g.logger, slog.Any("error", err))
			}
			cut = true
			// What was read before an outage may be gone after it.
			t = nil
			g.pause(ctx)
			continue
		}
		if cut {
			cut = false
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

// readNext reads the whole log if t is nil, and else waits for its next change.
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
		// The wait ended. The answer need not hold the value again.
		return t, nil
	case !e.Exists():
		// The segment was removed while this node slept.
		return g.load(ctx)
	}
	return g.advance(t, e)
}

// Refresh reads the log up to its end and puts it in force. It serves queries
// that must see what was accepted before they came.
func (g *Log[S, C]) Refresh(ctx context.Context) error {
	_, err := g.load(ctx)
	return err
}

// load reads what came after the furthest that was read before, or the
// snapshot and every segment after it.
func (g *Log[S, C]) load(ctx context.Context) (*tail[S, C], error) {
	g.mu.Lock()
	t := g.furthest
	g.mu.Unlock()
	fresh, err := g.canResume(ctx, t)
	if err != nil {
		return nil, err
	}
	if !fresh {
		snap, _, err := g.readSnapshot(ctx)
		if err != nil {
			return nil, err
		}
		t = &tail[S, C]{state: snap.State, number: snap.Next}
	}
	t, err = g.readForward(ctx, t)
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

// canResume reports whether the log can be read on from t without a snapshot:
// either t's segment or the one before it still exists.
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

// readForward reads every segment from t on.
func (g *Log[S, C]) readForward(ctx context.Context, t *tail[S, C]) (*tail[S, C], error) {
	for {
		e, err := g.store.Get(ctx, g.segmentKey(t.number))
		if err != nil {
			return nil, err
		}
		if !e.Exists() {
			return t, nil
		}
		at := t.number
		if t, err = g.advance(t, e); err != nil {
			return nil, err
		}
		if t.number == at {
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
	var s snapshot[S]
	if err := json.Unmarshal(e.Value(), &s); err != nil {
		return snapshot[S]{}, 0, fmt.Errorf("%s: %w", g.snapshotKey(), err)
	}
	return s, e.Revision(), nil
}

// advance applies the changes of a segment that t does not hold yet.
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

// sealed reports whether a segment takes no more changes. All nodes must agree
// on it, so it follows from the stored value alone.
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

// isAmbiguous reports whether err leaves open if a change has taken effect.
func isAmbiguous(err error) bool {
	var u *pointport.UnavailableError
	return errors.As(err, &u) && u.Ambiguous
}
