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

// This file defines how an owner writes. Each transaction depends on the owner's
// key, so that nothing is written after another owner took over, and on the
// pool's head, so that a transaction that was delayed cannot undo a later one.

const (
	// TxnOverhead is how many entries of a transaction the owner's key and the
	// head take: two conditions and a put.
	TxnOverhead = 3
	// writeRetryFirst is how long to wait before a change is sent again to a
	// store that gave no answer, writeRetryMost the bound of its doubling.
	writeRetryFirst = 20 * time.Millisecond
	writeRetryMost  = 300 * time.Millisecond
	// headPrefix starts the keys of heads.
	headPrefix = "head/"
)

// HeadKey returns the key that changes with every write of a pool's owner.
func HeadKey(pool string) string { return headPrefix + pool }

// A Writer makes the changes of one ownership, in order. It is not safe for
// concurrent use.
type Writer struct {
	kv     pointport.KV
	clock  pointport.Clock
	logger *slog.Logger
	own    Ownership
	opened bool
	head   pointport.Revision
	seq    int64
	// unsure is the last change, if it is not known whether it was made.
	unsure *pointport.Txn
	mark   string // the head's value by that change
}

// NewWriter returns a writer for an ownership.
func NewWriter(kv pointport.KV, clock pointport.Clock, own Ownership, logger *slog.Logger) *Writer {
	return &Writer{kv: kv, clock: clock, own: own, logger: logger}
}

// headDocument is the value of a pool's head.
type headDocument struct {
	Fence pointport.Fence `json:"fence"`
	Seq   int64           `json:"seq"`
}

// Open reads the pool's head. It must have succeeded before the first Commit.
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

// Commit makes a change, again and again until it is known to be made. It fails
// with ErrLost if the pool has another owner. If ctx ends first, the change may
// still be made; the next Commit finds out before it makes its own.
func (w *Writer) Commit(ctx context.Context, txn pointport.Txn) error {
	if w.unsure != nil {
		if err := w.settle(ctx); err != nil {
			return err
		}
	}
	w.seq++
	mark, err := json.Marshal(headDocument{w.own.Fence, w.seq})
	if err != nil {
		return err
	}
	txn.If = append(txn.If,
		pointport.Condition{Key: OwnerKey(w.own.Pool), Revision: w.own.Revision},
		pointport.Condition{Key: HeadKey(w.own.Pool), Revision: w.head})
	txn.Put = append(txn.Put, pointport.Put{Key: HeadKey(w.own.Pool), Value: mark})
	w.unsure, w.mark = &txn, string(mark)
	return w.settle(ctx)
}

// settle sends the last change until it is known to be made.
func (w *Writer) settle(ctx context.Context) error {
	retry := writeRetryFirst
	for {
		from := w.clock.Steady()
		revision, err := w.kv.Commit(ctx, *w.unsure)
		if err == nil {
			w.own.prove(from)
			w.head, w.unsure = revision, nil
			return nil
		}
		var conflict *pointport.TxnConflictError
		if errors.As(err, &conflict) {
			return w.conflict(conflict)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		event.ChangeAmbiguous.Log(w.logger, slog.Int64("seq", w.seq), slog.Any("error", err))
		sleep(ctx, w.clock, retry)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		retry = min(2*retry, writeRetryMost)
	}
}

// conflict finds out whether the last change was made by an earlier sending, or
// another owner has taken over.
func (w *Writer) conflict(conflict *pointport.TxnConflictError) error {
	for _, e := range conflict.Entries {
		if e.Key() == HeadKey(w.own.Pool) && string(e.Value()) == w.mark {
			w.head, w.unsure = e.Revision(), nil
			return nil
		}
	}
	return ErrNotOwner
}
