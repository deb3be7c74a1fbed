package schedule

import (
	"log/slog"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines what follows when an instance holds more or less than before.

// resize takes in what an instance says it holds. What runs there goes on, even if that
// takes more than there is: then what is free is below zero, so nothing fits until enough
// has ended.
func (b *Scheduler) resize(w *Worker, capacity pointport.Shape) {
	before := w.inc.Capacity()
	if capacity == before {
		return
	}
	w.free = w.free.Minus(before).Plus(capacity)
	if before == (pointport.Shape{}) {
		return // it is new
	}
	event.InstanceResized.Log(b.logger, slog.String("incarnation", string(w.inc.ID())),
		slog.Int64("cpuMilli", capacity.CPUMilli), slog.Int64("memoryMiB", capacity.MemoryMiB),
		slog.Int64("cpuMilliBefore", before.CPUMilli), slog.Int64("memoryMiBBefore", before.MemoryMiB),
		slog.Int64("freeCPUMilli", w.free.CPUMilli), slog.Int64("freeMemoryMiB", w.free.MemoryMiB), slog.Int("runs", len(w.runs)))
}

// overcommitted reports whether what runs on the worker, or is to, takes more than it holds.
func (w *Worker) overcommitted() bool { return !w.free.Fits(pointport.Shape{}) }
