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

// This file defines how a change is appended, settled and compacted.

// An AmbiguousError says that a change may or may not be in force. Proposing
// the same ID again settles it.
type AmbiguousError struct {
	ID  string // the change
	Err error  // what came last
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("change %s may or may not be in force; propose the same ID again to settle it: %v", e.ID, e.Err)
}

// Unwrap returns what came last.
func (e *AmbiguousError) Unwrap() error { return e.Err }

// Append makes a change. The prepare function is given the newest state and
// returns the change called id for its next version, or an error that ends the
// attempt; it may be called more than once. If a change called id was made
// before and is still in reach, that one is returned and nothing is changed.
//
// Append fails with prepare's error, with an *UnsettledError, or with an
// *pointport.UnavailableError if nothing was changed.
func (g *Log[S, C]) Append(ctx context.Context, id string, prepare func(S) (C, error)) (C, error) {
	var none C
	unsettled := false
	for {
		t, done, err := g.find(ctx, id)
		if err != nil {
			return none, wrapAmbiguous(unsettled, id, err)
		}
		if done != nil {
			if unsettled {
				event.ChangeSettled.Log(g.logger, slog.String("change", id), slog.Int64("version", int64((*done).ChangeVersion())))
			}
			return *done, nil
		}
		c, err := prepare(t.state)
		if err != nil {
			return none, err
		}
		next, err := t.state.Apply(c)
		if err != nil {
			return none, err
		}
		bytes, err := g.write(ctx, t, c)
		var conflict *pointport.ConflictError
		switch {
		case err == nil:
			g.apply(next)
			g.maybeCompact(ctx, t, next, bytes)
			return c, nil
		case errors.As(err, &conflict):
			// Another author was first, or an earlier write of this very
			// change was. Reading again tells which.
		case isAmbiguous(err):
			// The loop reads back. If the change is not there, the same
			// revision is written again, so a late first write must fail.
			unsettled = true
		default:
			return none, wrapAmbiguous(unsettled, id, err)
		}
		if ctx.Err() != nil {
			return none, wrapAmbiguous(unsettled, id, ctx.Err())
		}
	}
}

// A StaleError says that a log has moved on since a decision was made on it.
// Nothing was done.
type StaleError struct {
	Log  string            // the name of the log
	Read pointport.Version // the version that the decision read
	Have pointport.Version // the version that the log had
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("log %s: decided on version %d, it has %d", e.Log, e.Read, e.Have)
}

// Commit makes a change that was decided on the version before its own. It fails
// with a *StaleError if the log has moved on, and else as Append does.
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

func wrapAmbiguous(unsettled bool, id string, err error) error {
	if unsettled {
		return &AmbiguousError{id, err}
	}
	return err
}

// find reads the log and looks for the change called id near its end.
func (g *Log[S, C]) find(ctx context.Context, id string) (*tail[S, C], *C, error) {
	t, err := g.load(ctx)
	if err != nil {
		return nil, nil, err
	}
	if c := findChange(t.changes, id); c != nil {
		return t, c, nil
	}
	// The change may have filled its segment, or others may have since.
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

// maxSearchedSegments is how many sealed segments are searched for a change whose
// answer was lost.
const maxSearchedSegments = 4

func findChange[C Change](changes []C, id string) *C {
	for i := range changes {
		if changes[i].ChangeID() == id {
			return &changes[i]
		}
	}
	return nil
}

// write appends c to the tail and returns the size of the segment then.
func (g *Log[S, C]) write(ctx context.Context, t *tail[S, C], c C) (int, error) {
	changes := append(append([]C(nil), t.changes...), c)
	data, err := json.Marshal(segment[C]{changes})
	if err != nil {
		return 0, err
	}
	_, err = g.store.CompareAndSwap(ctx, g.segmentKey(t.number), t.revision, data)
	return len(data), err
}

// maybeCompact writes a snapshot when enough segments have been sealed since
// the last. It may fail or race: the next author tries again.
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

// compact writes a snapshot of state, which holds all segments before next,
// and removes segments past the retention.
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

// remove deletes the segments from first up to, not including, end.
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

// History returns the changes that keep accepts, newest first, at most limit.
// It reads backwards through the segments that are still kept.
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
