package shard

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file defines how an owner writes: each transaction depends on the owner's
// key, so that nothing is written after another owner took over, and on the
// pool's head, so that a transaction that was delayed cannot undo a later one.

const (
	// headEntries is how many entries of a transaction the owner's key and the
	// head take: two conditions and a put.
	headEntries = 3
	// recordEntries is the most entries that one record takes.
	recordEntries = 3
	// writeRetryFirst is how long to wait before a change is sent again to a
	// store that gave no answer, writeRetryMost the bound of its doubling.
	writeRetryFirst = 20 * time.Millisecond
	writeRetryMost  = 300 * time.Millisecond
)

// ErrDeposed says that another member owns the pool.
var ErrDeposed = errors.New("another member owns the pool")

// A writer writes the records of one pool for its owner. It is not safe for
// concurrent use.
type writer struct {
	kv     pointport.KV
	clock  pointport.Clock
	logger *slog.Logger
	own    member.Ownership
	head   pointport.Revision
	seq    int64
}

// headDocument is the value of a pool's head.
type headDocument struct {
	Fence pointport.Fence `json:"fence"`
	Seq   int64           `json:"seq"`
}

// open reads the pool's head.
func (w *writer) open(ctx context.Context) error {
	e, err := w.kv.Get(ctx, workload.HeadKey(w.own.Pool))
	if err != nil {
		return err
	}
	w.head = e.Revision()
	return nil
}

// write stores the records and removes the keys named. It returns when all is
// stored, or with ErrDeposed, or when ctx ends.
func (w *writer) write(ctx context.Context, records []schedule.Record, remove []string) error {
	txn := pointport.Txn{}
	for _, r := range records {
		if txn.Entries()+recordEntries > pointport.MaxTxnEntries-headEntries {
			if err := w.commit(ctx, txn); err != nil {
				return err
			}
			txn = pointport.Txn{}
		}
		if err := w.add(&txn, r); err != nil {
			return err
		}
	}
	for _, key := range remove {
		if txn.Entries() >= pointport.MaxTxnEntries-headEntries {
			if err := w.commit(ctx, txn); err != nil {
				return err
			}
			txn = pointport.Txn{}
		}
		txn.Delete = append(txn.Delete, key)
	}
	if txn.Entries() == 0 {
		return nil
	}
	return w.commit(ctx, txn)
}

func (w *writer) add(txn *pointport.Txn, r schedule.Record) error {
	pool := w.own.Pool
	if r.Ended == "" {
		txn.Put = append(txn.Put, pointport.Put{Key: workload.ProgressKey(pool, r.ID), Value: r.Progress})
		return nil
	}
	value, err := workload.Record{Pool: pool, Queue: r.Queue, Ended: r.Ended}.Encode()
	if err != nil {
		return err
	}
	txn.Put = append(txn.Put, pointport.Put{Key: workload.RecordKey(r.ID), Value: value})
	txn.Delete = append(txn.Delete, workload.OpenKey(pool, r.ID), workload.ProgressKey(pool, r.ID))
	return nil
}

// commit makes one transaction, again and again until it is known to be made.
func (w *writer) commit(ctx context.Context, txn pointport.Txn) error {
	w.seq++
	mark, err := json.Marshal(headDocument{w.own.Fence, w.seq})
	if err != nil {
		return err
	}
	txn.If = append(txn.If,
		pointport.Condition{Key: member.OwnerKey(w.own.Pool), Revision: w.own.Revision},
		pointport.Condition{Key: workload.HeadKey(w.own.Pool), Revision: w.head})
	txn.Put = append(txn.Put, pointport.Put{Key: workload.HeadKey(w.own.Pool), Value: mark})
	retry := writeRetryFirst
	for {
		revision, err := w.kv.Commit(ctx, txn)
		if err == nil {
			w.head = revision
			return nil
		}
		var conflict *pointport.TxnConflictError
		if errors.As(err, &conflict) {
			return w.conflict(conflict, string(mark))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		event.StoreUnsure.Log(w.logger, slog.Int64("seq", w.seq), slog.Any("error", err))
		select {
		case <-w.clock.After(retry):
		case <-ctx.Done():
			return ctx.Err()
		}
		retry = min(2*retry, writeRetryMost)
	}
}

// conflict finds out whether the transaction was made by an earlier sending, or
// another owner has taken over.
func (w *writer) conflict(conflict *pointport.TxnConflictError, mark string) error {
	for _, e := range conflict.Entries {
		if e.Key() == workload.HeadKey(w.own.Pool) && string(e.Value()) == mark {
			w.head = e.Revision()
			return nil
		}
	}
	return ErrDeposed
}
