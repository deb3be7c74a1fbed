package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/event"
)

// This file defines what follows for a pool when an availability zone is evacuated.
//
// Nothing is placed in it, and no start that was ordered before is sent, first or again. What
// runs there runs to its end: the operators ask only that nothing more be sent, and stopping
// it would lose its work or, for a serving task, take it away from those whom it serves.

// SetEvacuations takes in which availability zones are evacuated.
func (b *Scheduler) SetEvacuations(z evacuation.Zones) { *b.zones = z }

// standing says whether tasks may be started in the worker's availability zone.
func (w *Worker) standing() evacuation.ZoneState { return w.zones.State(w.inc.Zone()) }

// evacuated reports whether the worker's availability zone is evacuated.
func (w *Worker) evacuated() bool { return w.standing() == evacuation.Evacuated }

// forgoInZone reports whether a start is not sent because of its instance's availability
// zone. Its task waits again, at once if the start was never sent; one that was sent without
// an answer is ruled out by a stop first, so that it is not carried out later. While it is
// not known what the operators ask, it is left as it is.
func (b *Scheduler) forgoInZone(now time.Time, r *Run) bool {
	standing := r.worker.standing()
	if standing == evacuation.Open {
		return false
	}
	event.StartForgone.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number), slog.String("incarnation", string(r.worker.inc.ID())),
		slog.String("zone", string(r.worker.inc.Zone())), slog.String("standing", standing.String()), slog.Bool("sentBefore", r.startSent))
	if standing == evacuation.Unknown {
		r.resendAt = now.Add(startAgain)
		return true
	}
	b.stop(now, r, "its availability zone is evacuated, and it is not known to run there")
	return true
}
