package schedule

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines the batches of changes to store and what their storage permits.

// A Record is a changed job to store.
type Record struct {
	ID       string
	Queue    string
	Customer string
	// Progress is the encoded progress of the job, empty if the job has ended.
	Progress []byte
	// Ended is the job's final status, empty while the job is open.
	Ended workload.Status
}

// Entries returns how many entries of a transaction the record takes: one for the progress of an
// open job, three for the end of a job, which also replaces what was stored while the job was open.
func (r Record) Entries() int {
	if r.Ended == "" {
		return 1
	}
	return 3
}

// A Batch holds changes that must be stored together, and the actions that their storage permits.
type Batch struct {
	Records []Record
	// Complete reports whether the batch contains all pending changes.
	Complete bool
	starts   []*Run
	acks     map[*Worker]int64
	ended    []*entry
	// begun holds the jobs that the batch stores as begun.
	begun []*entry
	// assumed holds the jobs whose assumed first runs the batch stores.
	assumed []*entry
	// endedOn holds one worker for each end of a run that the batch stores.
	endedOn []*Worker
}

// Entries returns how many entries of a transaction the batch takes.
func (b *Batch) Entries() int {
	n := 0
	for _, r := range b.Records {
		n += r.Entries()
	}
	return n
}

// Starts returns how many starts may be sent once the batch is stored.
func (b *Batch) Starts() int {
	n := 0
	for _, r := range b.starts {
		if r.state == runUnstored {
			n++
		}
	}
	return n
}

// Urgent reports whether something waits for the next batch to be stored.
func (s *Scheduler) Urgent() bool { return s.urgent || len(s.unstoredStarts) > 0 }

// Pending reports whether there are changes to store.
func (s *Scheduler) Pending() bool { return len(s.dirty) > 0 }

// TakeBatch returns the changes to store now, limited to a number of transaction entries. The
// scheduler may be used further in the meantime, but the batch must be stored before the next one
// is taken. The limit matters while the store is slow: each transaction then takes some tenths of a
// second, and tasks whose placement is not stored reserve capacity without running.
func (s *Scheduler) TakeBatch(entries int) Batch {
	batch := Batch{acks: make(map[*Worker]int64), Complete: true}
	taken := make(map[*entry]bool)
	s.urgent = false
	s.batchLimited = entries <= smallBatchEntries
	for _, e := range s.changedJobs() {
		record := Record{ID: e.job.ID(), Queue: e.job.Queue(), Customer: e.job.Customer(), Ended: e.ended}
		if record.Entries() > entries {
			batch.Complete = false
			s.urgent = s.urgent || s.dirty[e]
			continue
		}
		entries -= record.Entries()
		if e.job.Begun() {
			batch.begun = append(batch.begun, e)
		}
		if s.unrecorded.takeAssumed(e) {
			batch.assumed = append(batch.assumed, e)
		}
		if e.ended == "" {
			record.Progress = e.job.EncodeProgress()
		} else {
			batch.ended = append(batch.ended, e)
		}
		batch.Records = append(batch.Records, record)
		batch.endedOn = append(batch.endedOn, e.endedOn...)
		e.endedOn = nil
		taken[e] = true
		delete(s.dirty, e)
	}
	s.unstoredStarts = slices.DeleteFunc(s.unstoredStarts, func(r *Run) bool {
		if taken[r.entry] {
			batch.starts = append(batch.starts, r)
			s.noteMovedToBatch(r)
		}
		return taken[r.entry]
	})
	if batch.Complete {
		for _, w := range s.workers {
			if w.lastEnd > w.acked {
				batch.acks[w] = w.lastEnd
			}
		}
	}
	return batch
}

// changedJobs returns the jobs to store: those for which something waits first, and then by rank.
func (s *Scheduler) changedJobs() []*entry {
	out := make([]*entry, 0, len(s.dirty))
	for e := range s.dirty {
		out = append(out, e)
	}
	sort.Slice(out, func(i, k int) bool {
		if s.dirty[out[i]] != s.dirty[out[k]] {
			return s.dirty[out[i]]
		}
		return out[i].rank.less(out[k].rank)
	})
	return out
}

// maxUnstoredJobs is the number of jobs with placements waiting to be stored at which placing
// stops, after a small batch. One transaction takes slightly more jobs; the rest is left for jobs
// that end.
const maxUnstoredJobs = 24

// smallBatchEntries is the entry limit up to which a batch counts as small.
const smallBatchEntries = 64

// LimitUnstoredStarts sets how many placed tasks may wait for their start to be stored.
func (s *Scheduler) LimitUnstoredStarts(limit int) { s.maxUnstoredStarts = limit }

// placementsFull reports whether so many tasks, or tasks of so many jobs, wait to be stored that
// further placements would only reserve capacity without running.
func (s *Scheduler) placementsFull() bool {
	if s.unsentStarts() >= s.maxUnstoredStarts {
		return true
	}
	if !s.batchLimited || s.unsentStarts() < maxUnstoredJobs {
		return false
	}
	jobs := make(map[*entry]bool)
	for _, r := range s.unstoredStarts {
		if !r.unrecorded {
			jobs[r.entry] = true
		}
	}
	return len(jobs) >= maxUnstoredJobs
}

// Stored records that a batch was stored at now, and releases the actions that depend on it.
// TakeOrders returns the released orders.
func (s *Scheduler) Stored(batch Batch, now time.Time) {
	for _, w := range batch.endedOn {
		w.unstored--
	}
	for w, n := range batch.acks {
		w.acked = max(w.acked, n)
	}
	for _, e := range batch.ended {
		s.endedJobs.add(e.job.ID(), endedJob{e.ended, e.job.Customer(), now})
		delete(s.jobs, e.job.ID())
		delete(s.waitingJobs, e)
		delete(s.recurring, e)
		delete(s.serving, e)
		event.JobEnded.Log(s.logger, slog.String("job", e.job.ID()), slog.String("queue", e.job.Queue()),
			slog.String("state", string(e.ended)), slog.Duration("after", now.Sub(e.job.FirstSubmitted())),
			slog.Duration("objective", s.objective(e)))
	}
	for _, e := range batch.begun {
		e.begunStored = true
	}
	s.unrecorded.assumedInBatch -= len(batch.assumed)
	for _, r := range batch.starts {
		s.noteRecorded(r)
		if r.worker.runs[r.name] != r || r.state != runUnstored {
			continue
		}
		r.state = runSent
		s.pendingOrders = append(s.pendingOrders, startOrder(r))
	}
}

// TakeOrders returns and clears the orders to send now.
func (s *Scheduler) TakeOrders() []Order {
	orders := s.pendingOrders
	s.pendingOrders = nil
	return orders
}

// TakePolls returns and clears the workers to poll immediately.
func (s *Scheduler) TakePolls() []*Worker {
	var out []*Worker
	for w := range s.pollNow {
		if !w.ended && w.inc.Address() != "" {
			out = append(out, w)
		}
	}
	clear(s.pollNow)
	return out
}
