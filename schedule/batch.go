package schedule

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines what is stored of a book, and what may be done once it is.

// A Record is a job that must be stored.
type Record struct {
	ID       string
	Queue    string
	Customer string
	// Progress is the stored form of the job's progress; it is empty if the job
	// is over.
	Progress []byte
	// Ended is the state in which the job is over, empty while it is not.
	Ended workload.Status
}

// Entries returns how many entries of a transaction the record takes: the progress,
// or how the job ended in place of what was kept of it while it was open.
func (r Record) Entries() int {
	if r.Ended == "" {
		return 1
	}
	return 3
}

// A Batch is what must be stored together, and what becomes possible with it.
type Batch struct {
	Records []Record
	// Complete says that nothing that had changed was left for the next batch.
	Complete bool
	starts   []*Run
	acks     map[*Worker]int64
	ended    []*entry
	// endedOn holds the workers on which the ends came that the batch stores.
	endedOn []*Worker
}

// Entries returns how many entries the batch takes.
func (b *Batch) Entries() int {
	n := 0
	for _, r := range b.Records {
		n += r.Entries()
	}
	return n
}

// Starts returns how many starts the batch lets be sent.
func (b *Batch) Starts() int { return len(b.starts) }

// Urgent reports whether something waits for the next batch to be stored.
func (b *Scheduler) Urgent() bool { return b.urgent || len(b.decided) > 0 }

// Pending reports whether anything is to be stored.
func (b *Scheduler) Pending() bool { return len(b.dirty) > 0 }

// TakeBatch returns what is to be stored now, as much as fits into so many entries
// of a transaction. The book goes on from there; the batch must be stored before the
// next one is taken. While the store is slow, each transaction takes some tenths of
// a second, and what is placed and not stored holds room and does nothing.
func (b *Scheduler) TakeBatch(entries int) Batch {
	batch := Batch{acks: make(map[*Worker]int64), Complete: true}
	taken := make(map[*entry]bool)
	b.urgent = false
	b.limited = entries <= limitedEntries
	for _, e := range b.changedJobs() {
		record := Record{ID: e.job.ID(), Queue: e.job.Queue(), Customer: e.job.Customer(), Ended: e.ended}
		if record.Entries() > entries {
			batch.Complete = false
			b.urgent = b.urgent || b.dirty[e]
			continue
		}
		entries -= record.Entries()
		if e.ended == "" {
			record.Progress = e.job.EncodeProgress()
		} else {
			batch.ended = append(batch.ended, e)
		}
		batch.Records = append(batch.Records, record)
		batch.endedOn = append(batch.endedOn, e.endedOn...)
		e.endedOn = nil
		taken[e] = true
		delete(b.dirty, e)
	}
	b.decided = slices.DeleteFunc(b.decided, func(r *Run) bool {
		if taken[r.entry] {
			batch.starts = append(batch.starts, r)
		}
		return taken[r.entry]
	})
	if batch.Complete {
		for _, w := range b.workers {
			if w.seen > w.acked {
				batch.acks[w] = w.seen
			}
		}
	}
	return batch
}

// changedJobs returns the jobs that are to be stored, those first for which
// something waits, the most pressing before others.
func (b *Scheduler) changedJobs() []*entry {
	out := make([]*entry, 0, len(b.dirty))
	for e := range b.dirty {
		out = append(out, e)
	}
	sort.Slice(out, func(i, k int) bool {
		if b.dirty[out[i]] != b.dirty[out[k]] {
			return b.dirty[out[i]]
		}
		return out[i].rank.less(out[k].rank)
	})
	return out
}

// decidedMost is of how many jobs tasks may be placed and wait to be stored. One
// transaction takes some more; the rest is for jobs that end.
const decidedMost = 24

// limitedEntries is up to how many entries a batch counts as one that is short of
// room.
const limitedEntries = 64

// LimitUnstoredStarts sets how many tasks may be placed of which the start is not stored yet.
func (b *Scheduler) LimitUnstoredStarts(most int) { b.unsentMost = most }

// decidedFull reports whether so many tasks, or tasks of so many jobs, wait to be
// stored that those of another one would only hold room meanwhile.
func (b *Scheduler) decidedFull() bool {
	if len(b.decided) >= b.unsentMost {
		return true
	}
	if !b.limited || len(b.decided) < decidedMost {
		return false
	}
	jobs := make(map[*entry]bool)
	for _, r := range b.decided {
		jobs[r.entry] = true
	}
	return len(jobs) >= decidedMost
}

// Stored takes in that a batch is stored at now: what follows from it may be
// done. The orders are taken by Orders.
func (b *Scheduler) Stored(batch Batch, now time.Time) {
	for _, w := range batch.endedOn {
		w.unstored--
	}
	for w, n := range batch.acks {
		w.acked = max(w.acked, n)
	}
	for _, e := range batch.ended {
		b.endedJobs[e.job.ID()] = finished{e.ended, e.job.Customer(), now}
		delete(b.jobs, e.job.ID())
		delete(b.waitingJobs, e)
		delete(b.recurring, e)
		event.JobEnded.Log(b.logger, slog.String("job", e.job.ID()), slog.String("queue", e.job.Queue()),
			slog.String("state", string(e.ended)), slog.Duration("after", now.Sub(e.job.Submitted())),
			slog.Duration("objective", b.objective(e)))
	}
	for _, r := range batch.starts {
		if r.worker.runs[r.name] != r || r.state != runUnstored {
			continue
		}
		r.state = runSent
		b.pendingOrders = append(b.pendingOrders, startOrder(r))
	}
}

// TakeOrders returns the orders to send now.
func (b *Scheduler) TakeOrders() []Order {
	orders := b.pendingOrders
	b.pendingOrders = nil
	return orders
}

// TakePolls returns the workers whose report is wanted at once.
func (b *Scheduler) TakePolls() []*Worker {
	var out []*Worker
	for w := range b.pollNow {
		if !w.ended && w.inc.Address() != "" {
			out = append(out, w)
		}
	}
	clear(b.pollNow)
	return out
}
