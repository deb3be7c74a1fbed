package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines what becomes of the runs on an instance that is about to
// leave.

// drainReserve is how much sooner than the instance leaves a run must probably
// be done to be left alone.
const drainReserve = 300 * time.Millisecond

// handleDraining takes in that an instance is about to leave: serving tasks move
// off, and so do those that would not be done in time.
func (b *Scheduler) handleDraining(now time.Time, w *Worker) {
	event.WorkerDraining.Log(b.logger, slog.String("incarnation", string(w.inc.ID())),
		slog.Duration("left", w.inc.Left()), slog.Int("runs", len(w.runs)))
	for _, r := range w.runs {
		if r.step().Service {
			b.stop(now, r, "its instance is leaving")
			continue
		}
		if r.state != runLive {
			continue
		}
		left := b.remaining(now, r)
		if left > w.inc.Left()-drainReserve {
			b.stop(now, r, "its instance is leaving before it would be done")
		}
	}
}
