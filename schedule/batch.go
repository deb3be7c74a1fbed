package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines what is stored of a book, and what may be done once it is.

// A Record is a job that must be stored.
type Record struct {
	ID    string
	Queue string
	// Progress is the stored form of the job's progress; it is empty if the job
	// is over.
	Progress []byte
	// Ended is the state in which the job is over, empty while it is not.
	Ended workload.Status
}

// A Batch is what must be stored together, and what becomes possible with it.
type Batch struct {
	Records []Record
	starts  []*Run
	acks    map[*Worker]int64
	ended   []*entry
}

// Urgent reports whether something waits for the next batch to be stored.
func (b *Book) Urgent() bool { return b.urgent || len(b.decided) > 0 }

// Pending reports whether anything is to be stored.
func (b *Book) Pending() bool { return len(b.dirty) > 0 }

// TakeBatch returns what is to be stored now. The book goes on from there; the
// batch must be stored before the next one is taken.
func (b *Book) TakeBatch() Batch {
	batch := Batch{starts: b.decided, acks: make(map[*Worker]int64)}
	for e := range b.dirty {
		record := Record{ID: e.job.ID(), Queue: e.job.Queue(), Ended: e.ended}
		if e.ended == "" {
			record.Progress = e.job.EncodeProgress()
		} else {
			batch.ended = append(batch.ended, e)
		}
		batch.Records = append(batch.Records, record)
	}
	for _, w := range b.workers {
		if w.seen > w.acked {
			batch.acks[w] = w.seen
		}
	}
	clear(b.dirty)
	b.decided, b.urgent = nil, false
	return batch
}

// Stored takes in that a batch is stored at now: what follows from it may be
// done. The orders are taken by Orders.
func (b *Book) Stored(batch Batch, now time.Time) {
	for w, n := range batch.acks {
		w.acked = max(w.acked, n)
	}
	for _, e := range batch.ended {
		b.over[e.job.ID()] = finished{e.ended, now}
		delete(b.jobs, e.job.ID())
		delete(b.hungry, e)
		delete(b.recurring, e)
		event.JobEnded.Log(b.logger, slog.String("job", e.job.ID()), slog.String("queue", e.job.Queue()),
			slog.String("state", string(e.ended)), slog.Duration("after", now.Sub(e.job.Submitted())),
			slog.Duration("objective", b.objective(e)))
	}
	for _, r := range batch.starts {
		if r.worker.runs[r.name] != r || r.state != runDecided {
			continue
		}
		r.state = runSent
		b.sends = append(b.sends, startOrder(r))
	}
}

// TakeOrders returns the orders to send now.
func (b *Book) TakeOrders() []Order {
	orders := b.sends
	b.sends = nil
	return orders
}

// TakeLooks returns the workers whose report is wanted at once.
func (b *Book) TakeLooks() []*Worker {
	var out []*Worker
	for w := range b.looks {
		if !w.ended && w.inc.Address() != "" {
			out = append(out, w)
		}
	}
	clear(b.looks)
	return out
}
