package shard

import (
	"context"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file defines how the records of a batch are written.

// recordEntries is the most entries that one record takes.
const recordEntries = 3

// maxEntries is how many entries of its own a transaction may have.
const maxEntries = pointport.MaxTxnEntries - member.HeadEntries

// store stores records and removes the keys named, in as many transactions as it
// takes.
func (o *Owner) store(ctx context.Context, records []schedule.Record, remove []string) error {
	txn := pointport.Txn{}
	for _, r := range records {
		if txn.Entries()+recordEntries > maxEntries {
			if err := o.writer.Commit(ctx, txn); err != nil {
				return err
			}
			txn = pointport.Txn{}
		}
		if err := o.addRecord(&txn, r); err != nil {
			return err
		}
	}
	for _, key := range remove {
		if txn.Entries() >= maxEntries {
			if err := o.writer.Commit(ctx, txn); err != nil {
				return err
			}
			txn = pointport.Txn{}
		}
		txn.Delete = append(txn.Delete, key)
	}
	if txn.Entries() == 0 {
		return nil
	}
	return o.writer.Commit(ctx, txn)
}

func (o *Owner) addRecord(txn *pointport.Txn, r schedule.Record) error {
	pool := o.own.Pool
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
