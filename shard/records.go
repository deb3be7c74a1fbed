package shard

import (
	"context"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file defines how the records of a batch are written.

// maxEntries is how many entries of a transaction remain beside those that member.Writer adds.
const maxEntries = pointport.MaxTxnEntries - member.TxnOverhead

// fastBatchEntries is the most entries of a batch while the store is fast: ten transactions.
const fastBatchEntries = 10 * maxEntries

// storeRecords stores records and then deletes keys, in as many transactions as needed. It may fail
// after any of them.
func (o *Owner) storeRecords(ctx context.Context, records []schedule.Record, deleteKeys []string) error {
	var txn pointport.Txn
	for _, r := range records {
		if err := o.makeRoom(ctx, &txn, r.Entries()); err != nil {
			return err
		}
		if err := o.addRecord(&txn, r); err != nil {
			return err
		}
	}
	for _, key := range deleteKeys {
		if err := o.makeRoom(ctx, &txn, 1); err != nil {
			return err
		}
		txn.Delete = append(txn.Delete, key)
	}
	if txn.Entries() == 0 {
		return nil
	}
	return o.writer.Commit(ctx, txn)
}

// makeRoom commits and clears a transaction unless so many more entries fit into it.
func (o *Owner) makeRoom(ctx context.Context, txn *pointport.Txn, entries int) error {
	if txn.Entries()+entries <= maxEntries {
		return nil
	}
	full := *txn
	*txn = pointport.Txn{}
	return o.writer.Commit(ctx, full)
}

func (o *Owner) addRecord(txn *pointport.Txn, r schedule.Record) error {
	pool := o.ownership.Pool
	if r.Ended == "" {
		txn.Put = append(txn.Put, pointport.Put{Key: workload.ProgressKey(pool, r.ID), Value: r.Progress})
		return nil
	}
	value, err := workload.Record{Pool: pool, Queue: r.Queue, Customer: r.Customer, Ended: r.Ended}.Encode()
	if err != nil {
		return err
	}
	txn.Put = append(txn.Put, pointport.Put{Key: workload.RecordKey(r.ID), Value: value})
	txn.Delete = append(txn.Delete, workload.OpenKey(pool, r.ID), workload.ProgressKey(pool, r.ID))
	return nil
}
