package schedule

import (
	"log/slog"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines how a change of an instance's capacity is handled.

// resize records the capacity that an instance reports. What runs there continues even if it takes
// more than the new capacity: the free capacity is then negative, so nothing fits until enough runs
// have ended.
func (s *Scheduler) resize(w *Worker, capacity pointport.Shape) {
	before := w.inc.Capacity()
	if capacity == before {
		return
	}
	w.free = w.free.Minus(before).Plus(capacity)
	if before == (pointport.Shape{}) {
		return // its first registration
	}
	event.InstanceResized.Log(s.logger, slog.String("incarnation", string(w.inc.ID())),
		slog.Int64("cpuMilli", capacity.CPUMilli), slog.Int64("memoryMiB", capacity.MemoryMiB),
		slog.Int64("cpuMilliBefore", before.CPUMilli), slog.Int64("memoryMiBBefore", before.MemoryMiB),
		slog.Int64("freeCPUMilli", w.free.CPUMilli), slog.Int64("freeMemoryMiB", w.free.MemoryMiB), slog.Int("runs", len(w.runs)))
}

// overcommitted reports whether the runs on the worker, including those that are yet to start, take
// more than its capacity.
func (w *Worker) overcommitted() bool { return !w.free.Fits(pointport.Shape{}) }
