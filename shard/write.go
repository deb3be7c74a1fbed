package shard

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/schedule"
)

// This file defines when what has changed is written, and who is told of it.

// A waiter is told once what has changed of a job is stored.
type waiter struct {
	job  string
	tell func()
}

func (o *Owner) gap() time.Duration {
	if o.book.Urgent() || len(o.waiters) > 0 {
		return writeGap
	}
	return lazyGap
}

// write stores what has changed, one batch at a time.
func (o *Owner) write(ctx context.Context, now time.Time) {
	if o.writing || !o.book.Pending() && len(o.waiters) == 0 && len(o.removals) == 0 || now.Sub(o.wrote) < o.gap() {
		return
	}
	removals := o.removals[:min(len(o.removals), maxRemovals)]
	batch := o.book.TakeBatch(o.batchEntries() - len(removals))
	if batch.Complete {
		o.removals = o.removals[len(removals):]
	} else {
		removals = nil // what they stand for may be left for the next batch
	}
	waiters := o.takeWaiters(batch)
	transactions := 1 + batch.Entries()/maxEntries
	o.writing, o.wrote, o.storing = true, now, batch.Starts()
	go func() {
		err := o.store(ctx, batch.Records, removals)
		o.do(func(now time.Time) {
			o.writing, o.storing, o.took = false, 0, now.Sub(o.wrote)/time.Duration(transactions)
			if err != nil {
				o.lost(err)
				return
			}
			o.book.Stored(batch, now)
			for _, w := range waiters {
				w.tell()
			}
		})
	}()
}

// quickWrite is within how long a transaction is made for the next batch to take all
// that has changed, in several transactions if need be: at a peak of 145 jobs a second no batch
// of one transaction is whole, and ends are acknowledged only once one is.
const quickWrite = 60 * time.Millisecond

// batchEntries returns how many entries the next batch may have.
func (o *Owner) batchEntries() int {
	if o.took <= quickWrite {
		return quickEntries
	}
	return maxEntries
}

// takeWaiters returns those who wait for what a batch stores.
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

// lost ends the owner.
func (o *Owner) lost(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	event.StoreRefused.Log(o.logger, slog.Any("error", err))
	o.err = err
	o.cancel()
}

// consult puts the questions that are due to the advisor.
func (o *Owner) consult(ctx context.Context, asked time.Time) {
	for _, q := range o.book.TakeAdviceRequests() {
		go func() {
			var tickets map[pointport.IncarnationID]string
			var valid time.Duration
			err := errNoAdvisor
			if o.advisor != nil {
				tickets, valid, err = o.advisor.Advise(ctx, q.Step, q.Incarnations)
			}
			o.do(func(now time.Time) { o.book.AdviceAnswered(q, asked, now, tickets, valid, err) })
		}()
	}
}

// errNoAdvisor says that a queue asks for advice and there is nobody to give it.
var errNoAdvisor = errors.New("there is no advisor")
