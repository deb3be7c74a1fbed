package changelog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines how changes are appended, found after a lost answer, and
// compacted.

// An AmbiguousError reports that a change may or may not be in force. Proposing
// the same ID again finds out.
type AmbiguousError struct {
	ID  string // of the change
	Err error  // of the last call
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("change %s may or may not be in force; propose the same ID again to settle it: %v", e.ID, e.Err)
}

// Unwrap returns the error of the last call.
func (e *AmbiguousError) Unwrap() error { return e.Err }

// Append appends a change and returns it. The prepare function gets the newest
// state and returns the change with the given id for the next version, or an error
// that ends the attempt. It may be called more than once. If one of the last
// segments already holds a change with that id, Append returns that one and writes
// nothing.
//
// Append fails with prepare's error or with a *pointport.UnavailableError if nothing
// was changed, and otherwise with an *AmbiguousError.
func (g *Log[S, C]) Append(ctx context.Context, id string, prepare func(S) (C, error)) (C, error) {
	var none C
	ambiguous := false
	var written *tail[S, C] // where the last ambiguous write was made
	for {
		t, done, err := g.find(ctx, id)
		if err != nil {
			return none, wrapAmbiguous(ambiguous, id, err)
		}
		if done != nil {
			if ambiguous {
				event.ChangeSettled.Log(g.logger, slog.String("change", id), slog.Int64("version", int64((*done).ChangeVersion())))
			}
			return *done, nil
		}
		c, err := prepare(t.state)
		if err != nil {
			return none, wrapAmbiguous(ambiguous && written.samePosition(t), id, err)
		}
		next, err := t.state.Apply(c)
		if err != nil {
			return none, wrapAmbiguous(ambiguous && written.samePosition(t), id, err)
		}
		bytes, err := g.write(ctx, t, c)
		var conflict *pointport.ConflictError
		switch {
		case err == nil:
			g.apply(next)
			g.maybeCompact(ctx, t, next, bytes)
			return c, nil
		case errors.As(err, &conflict):
			// The segment was changed by another author or by an earlier
			// write of this change. The next iteration finds out which.
		case isAmbiguous(err):
			// The next iteration looks for the change. If it is not there,
			// the retry writes on the same revision, so at most one of the
			// two writes can succeed, even if the first arrives late.
			ambiguous, written = true, t
		default:
			return none, wrapAmbiguous(ambiguous, id, err)
		}
		if ctx.Err() != nil {
			return none, wrapAmbiguous(ambiguous, id, ctx.Err())
		}
	}
}

// samePosition reports whether t and u are at the same revision of the same segment. A write on t
// can no longer take effect once the log is elsewhere, because its revision does not match.
func (t *tail[S, C]) samePosition(u *tail[S, C]) bool {
	return t.number == u.number && t.revision == u.revision
}

// A StaleError reports that a log has changed since the version that a decision
// was based on. Nothing was written.
type StaleError struct {
	Log  string            // name of the log
	Read pointport.Version // version that the decision was based on
	Have pointport.Version // version that the log had
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("log %s: decided on version %d, it has %d", e.Log, e.Read, e.Have)
}

// Commit appends a change that was decided on the version before its own. It fails
// with a *StaleError if the log has another version by now, and otherwise as Append
// does.
func (g *Log[S, C]) Commit(ctx context.Context, c C) error {
	_, err := g.Append(ctx, c.ChangeID(), func(have S) (C, error) {
		if read := c.ChangeVersion() - 1; have.Version() != read {
			var none C
			return none, &StaleError{g.name, read, have.Version()}
		}
		return c, nil
	})
	var stale *StaleError
	if errors.As(err, &stale) {
		event.StepLost.Log(g.logger, slog.Int64("read", int64(stale.Read)), slog.Int64("have", int64(stale.Have)))
	}
	return err
}

// wrapAmbiguous returns err as an *AmbiguousError if an earlier write of the change
// may have taken effect.
func wrapAmbiguous(ambiguous bool, id string, err error) error {
	if ambiguous {
		return &AmbiguousError{id, err}
	}
	return err
}

// find loads the log and looks for the change with the given id in its last
// segments. It returns nil for the change if it is not there.
func (g *Log[S, C]) find(ctx context.Context, id string) (*tail[S, C], *C, error) {
	t, err := g.load(ctx)
	if err != nil {
		return nil, nil, err
	}
	if c := findChange(t.changes, id); c != nil {
		return t, c, nil
	}
	// The segment of the change may be sealed by now.
	for n := t.number - 1; n >= 1 && n >= t.number-maxSearchedSegments; n-- {
		e, err := g.store.Get(ctx, g.segmentKey(n))
		if err != nil {
			return nil, nil, err
		}
		if !e.Exists() {
			break
		}
		changes, err := decodeSegment[C](e)
		if err != nil {
			return nil, nil, err
		}
		if c := findChange(changes, id); c != nil {
			return t, c, nil
		}
	}
	return t, nil, nil
}

// maxSearchedSegments limits how many sealed segments are searched for a change
// whose answer was lost.
const maxSearchedSegments = 4

func findChange[C Change](changes []C, id string) *C {
	for i := range changes {
		if changes[i].ChangeID() == id {
			return &changes[i]
		}
	}
	return nil
}

// write appends c to the segment at t and returns the segment's new size in bytes.
func (g *Log[S, C]) write(ctx context.Context, t *tail[S, C], c C) (int, error) {
	changes := append(append([]C(nil), t.changes...), c)
	data, err := json.Marshal(segment[C]{changes})
	if err != nil {
		return 0, err
	}
	_, err = g.store.CompareAndSwap(ctx, g.segmentKey(t.number), t.revision, data)
	return len(data), err
}

// maybeCompact writes a snapshot if the change just appended sealed a segment and
// enough segments were sealed since the last snapshot. It may fail, or compete with
// another author's: a later author compacts again.
func (g *Log[S, C]) maybeCompact(ctx context.Context, t *tail[S, C], state S, bytes int) {
	if !g.sealed(len(t.changes)+1, bytes) || t.number%g.snapshotEvery != 0 {
		return
	}
	if err := g.compact(ctx, t.number+1, state); err != nil {
		event.LogUnavailable.Log(g.logger, slog.Any("error", err))
		return
	}
	event.LogCompacted.Log(g.logger, slog.Int64("next", t.number+1))
}

// compact writes a snapshot of state, which includes all segments before next, and
// removes segments past the retention.
func (g *Log[S, C]) compact(ctx context.Context, next int64, state S) error {
	old, rev, err := g.readSnapshot(ctx)
	if err != nil {
		return err
	}
	if old.Next >= next {
		return nil
	}
	oldest := max(old.Oldest, min(next-g.retention, old.Oldest+maxRemovedPerCompaction))
	data, err := json.Marshal(snapshot[S]{State: state, Next: next, Oldest: oldest})
	if err != nil {
		return err
	}
	if _, err := g.store.CompareAndSwap(ctx, g.snapshotKey(), rev, data); err != nil {
		return err
	}
	return g.remove(ctx, old.Oldest, oldest)
}

// remove deletes the segments from first up to but not including end.
func (g *Log[S, C]) remove(ctx context.Context, first, end int64) error {
	for n := first; n < end; n++ {
		e, err := g.store.Get(ctx, g.segmentKey(n))
		if err != nil {
			return err
		}
		if !e.Exists() {
			continue
		}
		if err := g.store.Delete(ctx, g.segmentKey(n), e.Revision()); err != nil {
			return err
		}
	}
	return nil
}

// History returns up to limit changes for which keep returns true, newest first.
// It reads backwards through the segments that still exist.
func (g *Log[S, C]) History(ctx context.Context, limit int, keep func(C) bool) ([]C, error) {
	t, err := g.load(ctx)
	if err != nil {
		return nil, err
	}
	var out []C
	changes := t.changes
	for n := t.number; n >= 1; n-- {
		if n != t.number {
			e, err := g.store.Get(ctx, g.segmentKey(n))
			if err != nil {
				return nil, err
			}
			if !e.Exists() {
				break
			}
			if changes, err = decodeSegment[C](e); err != nil {
				return nil, err
			}
		}
		for i := len(changes) - 1; i >= 0; i-- {
			if !keep(changes[i]) {
				continue
			}
			if out = append(out, changes[i]); len(out) >= limit {
				return out, nil
			}
		}
	}
	return out, nil
}
