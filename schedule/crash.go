package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines what is believed of an incarnation that is over, and of the tasks
// that had runs there.

// A parting says why an incarnation is over.
type parting string

const (
	// partingCrashed: nobody had announced or ordered it.
	partingCrashed parting = "crashed"
	// partingLeft: it had announced that it leaves, or its registration was gone
	// while it still answered.
	partingLeft parting = "left"
	// partingOrdered: it was empty and closed for a move or for maintenance.
	partingOrdered parting = "ordered"
)

// parting returns why the incarnation is over, judged at the moment at which that is
// learned. An instance is moved or maintained only while nothing runs there, so one
// that has runs has not ended by our order.
func (w *Worker) parting(now time.Time) parting {
	switch {
	case w.inc.Draining(), w.answeredUnlisted:
		return partingLeft
	case len(w.runs) == 0 && w.closed(now):
		return partingOrdered
	}
	return partingCrashed
}

// workerEnded takes in that an incarnation is over; what ran there has died.
func (b *Book) workerEnded(w *Worker, now time.Time, why string) {
	cause := w.parting(now)
	event.WorkerEnded.Log(b.logger, slog.String("incarnation", string(w.inc.ID())),
		slog.Int("runs", len(w.runs)), slog.String("cause", string(cause)), slog.String("reason", why))
	w.ended = true
	for _, r := range w.runs {
		if r.state != runDecided {
			b.runLost(now, r, cause)
		}
	}
	b.dropAll(w, now, "its incarnation is over")
}

// runLost notes that a run has died with its instance.
func (b *Book) runLost(now time.Time, r *Run, cause parting) {
	event.RunLost.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.String("cause", string(cause)),
		slog.Duration("sinceSeen", sinceSeen(now, r)), slog.Int("beside", len(r.worker.runs)-1))
}

// sinceSeen returns for how long a run was known to run, zero if it never was.
func sinceSeen(now time.Time, r *Run) time.Duration {
	if r.liveAt.IsZero() {
		return 0
	}
	return now.Sub(r.liveAt)
}

// EndIncarnation takes in proof that an incarnation is over.
func (b *Book) EndIncarnation(now time.Time, id pointport.IncarnationID) {
	if w := b.workers[id]; w != nil && !w.ended {
		b.workerEnded(w, now, "the platform says so")
	}
}
