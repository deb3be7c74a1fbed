package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/event"
)

// This file defines how the evacuation of an availability zone affects a pool.
//
// Nothing is placed in the zone, and no start that was ordered before is sent or resent. What runs
// there runs to its end: the operators ask only that nothing new be sent, and stopping a run would
// lose its work or, for a serving task, make it unavailable to its callers.

// SetEvacuations sets which availability zones are evacuated.
func (s *Scheduler) SetEvacuations(z evacuation.Zones) { *s.zones = z }

// zoneState returns whether tasks may be started in the worker's availability zone.
func (w *Worker) zoneState() evacuation.ZoneState { return w.zones.State(w.inc.Zone()) }

// evacuated reports whether the worker's availability zone is evacuated.
func (w *Worker) evacuated() bool { return w.zoneState() == evacuation.Evacuated }

// skipStartInZone reports whether a start is not sent because of its instance's availability zone.
// If the zone is evacuated, the task waits again: at once if the start was never sent, otherwise
// after a stop has ruled out that the unanswered start is carried out later. While the operators'
// request is not known, the start is kept and retried later.
func (s *Scheduler) skipStartInZone(now time.Time, r *Run) bool {
	state := r.worker.zoneState()
	if state == evacuation.Open {
		return false
	}
	event.StartSkipped.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number), slog.String("incarnation", string(r.worker.inc.ID())),
		slog.String("zone", string(r.worker.inc.Zone())), slog.String("standing", state.String()), slog.Bool("sentBefore", r.startSent))
	if state == evacuation.Unknown {
		r.resendAt = now.Add(startRetryDelay)
		return true
	}
	s.stop(now, r, "its availability zone is evacuated, and it is not known to run there")
	return true
}
