package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines how tasks that fill spare capacity are slowed down where they disturb tasks that
// serve. How much one image disturbs another is not known and changes within seconds, so the pace is
// found by feedback: it is lowered fast and raised slowly.

const (
	// fullPace is the pace, in percent, at which a task does all its work.
	fullPace = 100
	// tailHigh and tailLow are shares of a serving task's tail latency target: above tailHigh the
	// pace is lowered, below tailLow it is raised.
	tailHigh = 0.85
	tailLow  = 0.6
	// paceStep is by how much a pace is raised at a time, in percent.
	paceStep = 10
	// paceEvery is the least time between two changes on a worker: a change takes a tenth of a
	// second to have effect, and the reported tail is that of the last half second.
	paceEvery = 600 * time.Millisecond
)

// adjustPace sets the pace of the filling tasks on a worker by the tail latencies of those that
// serve there.
func (s *Scheduler) adjustPace(now time.Time, w *Worker) {
	if now.Sub(w.paced) < paceEvery {
		return
	}
	worst := 0.0
	var fills []*Run
	for _, r := range w.runs {
		if r.state != runLive || r.stopping {
			continue
		}
		if target := r.step().TailTarget; target > 0 && r.step().Service && r.progress >= atWork {
			worst = max(worst, float64(r.load)/float64(target.Milliseconds()))
		}
		if r.step().Fills {
			fills = append(fills, r)
		}
	}
	for _, r := range fills {
		pace := r.pace
		switch {
		case worst >= 1:
			pace = 0
		case worst > tailHigh:
			pace /= 2
		case worst < tailLow:
			pace = min(fullPace, pace+paceStep)
		}
		if pace == r.pace {
			continue
		}
		event.PaceSet.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
			slog.String("incarnation", string(w.inc.ID())), slog.Int("percent", pace), slog.Float64("tailOfTarget", worst))
		r.pace, w.paced = pace, now
		s.pendingOrders = append(s.pendingOrders, Order{Kind: OrderPace, Run: r, Worker: w, TaskRun: r.TaskRun(), Percent: pace})
	}
}
