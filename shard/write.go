package shard

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/schedule"
)

// This file defines when changed state is written, and who is notified of it.

// A waiter is notified once the change of its job is stored.
type waiter struct {
	job    string
	notify func()
}

func (o *Owner) writeInterval() time.Duration {
	if o.scheduler.Urgent() || len(o.waiters) > 0 {
		return urgentWriteInterval
	}
	return lazyWriteInterval
}

// writeDue reports whether there is something to write, and time for it.
func (o *Owner) writeDue(now time.Time) bool {
	if o.writing || now.Sub(o.lastWrite) < o.writeInterval() {
		return false
	}
	return o.scheduler.Pending() || len(o.waiters) > 0 || len(o.cancellations.pending) > 0
}

// write stores changed state. At most one batch is being written.
func (o *Owner) write(ctx context.Context, now time.Time) {
	if !o.writeDue(now) {
		return
	}
	limit := o.maxBatchEntries()
	batch := o.scheduler.TakeBatch(limit)
	var cancellations []string
	if batch.Complete { // otherwise the records of the cancelled jobs may be left for later batches
		cancellations = o.cancellations.take(limit - batch.Entries())
	}
	waiters := o.takeWaiters(batch)
	transactions := 1 + (batch.Entries()+len(cancellations))/maxEntries
	o.writing, o.lastWrite, o.storing = true, now, batch
	go func() {
		err := o.storeRecords(ctx, batch.Records, cancellations)
		o.enqueue(func(now time.Time) {
			o.writing, o.storing, o.writeTime = false, schedule.Batch{}, now.Sub(o.lastWrite)/time.Duration(transactions)
			if err != nil {
				o.fail(err)
				return
			}
			o.scheduler.Stored(batch, now)
			o.cancellations.deleted(cancellations)
			for _, w := range waiters {
				w.notify()
			}
		})
	}()
}

// fastWrite is the time for one transaction up to which the next batch takes all changes, in
// several transactions if necessary. At a peak of 145 jobs a second, a batch of one transaction
// never holds all changes, and ended runs are acknowledged only after a batch that does.
const fastWrite = 60 * time.Millisecond

// maxBatchEntries returns how many entries the next batch may have.
func (o *Owner) maxBatchEntries() int {
	if o.writeTime <= fastWrite {
		return fastBatchEntries
	}
	return maxEntries
}

// takeWaiters removes and returns the waiters whose change a batch stores.
func (o *Owner) takeWaiters(batch schedule.Batch) []waiter {
	stored := make(map[string]bool, len(batch.Records))
	for _, r := range batch.Records {
		stored[r.ID] = true
	}
	var taken []waiter
	o.waiters = slices.DeleteFunc(o.waiters, func(w waiter) bool {
		due := batch.Complete || stored[w.job]
		if due {
			taken = append(taken, w)
		}
		return due
	})
	return taken
}

// fail ends the owner because of an error of the store.
func (o *Owner) fail(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	event.ChangeRefused.Log(o.logger, slog.Any("error", err))
	o.err = err
	o.cancel()
}
