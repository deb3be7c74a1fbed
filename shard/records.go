package shard

import (
	"context"
	"slices"

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

// maxRemovals is how many of them may delete cancellation keys, so that room for records
// remains.
const maxRemovals = maxEntries / 2

// storeRecords stores records and deletes the given keys, in as many transactions as needed.
func (o *Owner) storeRecords(ctx context.Context, records []schedule.Record, remove []string) error {
	txn := pointport.Txn{Delete: slices.Clone(remove)}
	for _, r := range records {
		if txn.Entries()+r.Entries() > maxEntries {
			if err := o.writer.Commit(ctx, txn); err != nil {
				return err
			}
			txn = pointport.Txn{}
		}
		if err := o.addRecord(&txn, r); err != nil {
			return err
		}
	}
	if txn.Entries() == 0 {
		return nil
	}
	return o.writer.Commit(ctx, txn)
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
