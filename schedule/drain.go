package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines what happens to the runs on an instance that is about to leave.

// drainReserve is how long before its instance leaves a run must be expected to be done, for it to
// be left running.
const drainReserve = 300 * time.Millisecond

// handleDraining handles the announcement that an instance is about to leave: serving tasks move
// off, and so do those that would not be done in time.
func (s *Scheduler) handleDraining(now time.Time, w *Worker) {
	event.WorkerDraining.Log(s.logger, slog.String("incarnation", string(w.inc.ID())),
		slog.Duration("left", w.inc.Remaining()), slog.Int("runs", len(w.runs)))
	for _, r := range w.runs {
		if r.step().Service {
			s.stop(now, r, "its instance is leaving")
			continue
		}
		if r.state != runLive {
			continue
		}
		left := s.remaining(now, r)
		if left > w.inc.Remaining()-drainReserve {
			s.stop(now, r, "its instance is leaving before it would be done")
		}
	}
}
