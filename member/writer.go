package member

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines how an owner writes to the store. Each transaction depends on the owner
// key, so that nothing is written after another owner has taken over, and on the pool's head
// key, so that a delayed transaction cannot undo a later one.

const (
	// TxnOverhead is how many entries of a transaction the keys of the pool use: conditions on the
	// owner key and the head key, and puts of the head key and of the standby key.
	TxnOverhead = 4
	// minWriteRetryDelay is the delay before a transaction is first sent again to a store that
	// gave no answer. It doubles with each delay, up to maxWriteRetryDelay.
	minWriteRetryDelay = 20 * time.Millisecond
	maxWriteRetryDelay = 300 * time.Millisecond
	// headPrefix is the prefix of head keys.
	headPrefix = "head/"
)

// HeadKey returns the key that changes with every write of a pool's owner.
func HeadKey(pool string) string { return headPrefix + pool }

// Writer commits the transactions of one ownership, in order. It is not safe for concurrent
// use.
type Writer struct {
	kv     pointport.KV
	clock  pointport.Clock
	logger *slog.Logger
	own    Ownership
	opened bool
	head   pointport.Revision
	seq    int64
	// pending is the last transaction while it is not known whether it was committed.
	pending     *pointport.Txn
	pendingHead string // value of the head key that pending writes
	// change is the change of the standby key that pending contains; nil if there is none.
	change *documentChange
}

// NewWriter returns a writer for an ownership.
func NewWriter(kv pointport.KV, clock pointport.Clock, own Ownership, logger *slog.Logger) *Writer {
	return &Writer{kv: kv, clock: clock, own: own, logger: logger}
}

// headDocument is the stored value of a pool's head key.
type headDocument struct {
	Fence pointport.Fence `json:"fence"`
	Seq   int64           `json:"seq"`
}

// Open reads the pool's head key. It must succeed before the first Commit.
func (w *Writer) Open(ctx context.Context) error {
	if w.opened {
		return nil
	}
	e, err := w.kv.Get(ctx, HeadKey(w.own.Pool))
	if err != nil {
		return err
	}
	w.head, w.opened = e.Revision(), true
	return nil
}

// Commit commits a transaction, and retries until the outcome is known. It fails with
// ErrNotOwner if the pool has another owner. If ctx ends first, the transaction may still be
// committed; the next Commit resolves its outcome before it sends its own.
func (w *Writer) Commit(ctx context.Context, txn pointport.Txn) error {
	if w.pending != nil {
		if err := w.sendPending(ctx); err != nil {
			return err
		}
	}
	w.seq++
	pendingHead, err := json.Marshal(headDocument{w.own.Fence, w.seq})
	if err != nil {
		return err
	}
	txn.If = append(txn.If,
		pointport.Condition{Key: OwnerKey(w.own.Pool), Revision: w.own.Revision},
		pointport.Condition{Key: HeadKey(w.own.Pool), Revision: w.head})
	txn.Put = append(txn.Put, pointport.Put{Key: HeadKey(w.own.Pool), Value: pendingHead})
	if leases := w.own.proof.leases; leases != nil {
		var known pointport.Revision
		if w.change, known = leases.begin(w.own); w.change != nil {
			w.change.addTo(&txn, known)
		}
	}
	w.pending, w.pendingHead = &txn, string(pendingHead)
	return w.sendPending(ctx)
}

// sendPending sends the pending transaction until its outcome is known.
func (w *Writer) sendPending(ctx context.Context) error {
	delay := minWriteRetryDelay
	for {
		from := w.clock.Steady()
		revision, err := w.kv.Commit(ctx, *w.pending)
		if err == nil {
			w.own.prove(from)
			w.committed(revision)
			return nil
		}
		var conflict *pointport.TxnConflictError
		if errors.As(err, &conflict) {
			return w.resolveConflict(conflict)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		event.ChangeAmbiguous.Log(w.logger, slog.Int64("seq", w.seq), slog.Any("error", err))
		sleep(ctx, w.clock, delay)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		delay = min(2*delay, maxWriteRetryDelay)
	}
}

// committed notes that the pending transaction was committed at a revision.
func (w *Writer) committed(at pointport.Revision) {
	w.head, w.pending = at, nil
	if w.change != nil {
		w.own.proof.leases.end(w.change, at)
		w.change = nil
	}
}

// resolveConflict determines whether an earlier attempt has committed the pending transaction
// or another owner has taken over.
func (w *Writer) resolveConflict(conflict *pointport.TxnConflictError) error {
	for _, e := range conflict.Entries {
		if e.Key() == HeadKey(w.own.Pool) && string(e.Value()) == w.pendingHead {
			w.committed(e.Revision())
			return nil
		}
	}
	return ErrNotOwner
}
