// Package heap bounds the garbage that a process accumulates on top of the memory in use,
// and reports when the process comes near its memory limit.
//
// The Go runtime starts a collection when the garbage reaches a given percentage of the
// live heap. No fixed percentage fits every heap size: a small one collects a small heap
// many times a second, and a large one lets a large heap grow to several times its live
// size. The percentage therefore depends on the live heap, such that the garbage is bounded
// by a number of bytes.
package heap

import (
	"context"
	"log/slog"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

const (
	// maxGarbageBytes bounds the garbage, except that it may always be minGCPercent of the
	// live heap. With this bound, and with registrations read every 15 s, the owner of a
	// pool of 120 instances peaks at 53 MB; with garbage of up to four times the live heap
	// it peaks at 120 MB.
	maxGarbageBytes = 16 << 20
	// maxGCPercent and minGCPercent bound the garbage in percent of the live heap. Without
	// the upper bound, a live heap of a few megabytes would be collected many times a
	// second, and processor time is scarce on entry instances. The lower bound limits the
	// work of collecting a large heap.
	maxGCPercent = 400
	minGCPercent = 40
	// minGCPercentChange is how far the percentage must be from the desired one, in
	// percent of itself, to be set again: setting it stops the process for a moment.
	minGCPercentChange = 15
	// sampleInterval is how often the heap is measured. At peaks it doubles in a second.
	sampleInterval = 500 * time.Millisecond
	// softLimitShare is the share of the memory limit that is set as the runtime's soft
	// limit, above which it collects as often as it can. The rest is for stacks and for
	// sudden allocations.
	softLimitShare = 0.6
	// nearLimitShare is the share of the memory limit from which on the process is near
	// it, and accepts no more work that another process can do. recoveredShare is the
	// share below which it is no longer near the limit.
	nearLimitShare = 0.8
	recoveredShare = 0.7
)

// Monitor measures a process's memory and adjusts its garbage collection. It is safe for
// concurrent use.
type Monitor struct {
	limit     int64 // bytes, zero for none
	logger    *slog.Logger
	used      atomic.Int64
	nearLimit atomic.Bool

	// The fields below are used only by the goroutine that Start starts.
	gcPercent int
	samples   []metrics.Sample
}

// Start returns a monitor that runs until ctx ends. limit is how many bytes the process
// may use, zero if that is not known.
func Start(ctx context.Context, clock pointport.Clock, limit int64, logger *slog.Logger) *Monitor {
	m := &Monitor{limit: limit, logger: logger, gcPercent: maxGCPercent, samples: []metrics.Sample{
		{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
	}}
	debug.SetGCPercent(maxGCPercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(softLimitShare * float64(limit)))
	}
	go func() {
		for {
			select {
			case <-clock.After(sampleInterval):
				m.sample()
			case <-ctx.Done():
				return
			}
		}
	}()
	return m
}

// Used returns how many bytes the process had from the operating system at the last
// measurement.
func (m *Monitor) Used() int64 { return m.used.Load() }

// NearLimit reports whether the process is near its memory limit.
func (m *Monitor) NearLimit() bool { return m.nearLimit.Load() }

// sample measures the heap and sets the garbage percentage for its live size.
func (m *Monitor) sample() {
	metrics.Read(m.samples)
	live, total, released := m.samples[0].Value.Uint64(), m.samples[1].Value.Uint64(), m.samples[2].Value.Uint64()
	if p := gcPercentFor(live); abs(p-m.gcPercent)*100 > minGCPercentChange*m.gcPercent {
		m.gcPercent = p
		debug.SetGCPercent(p)
	}
	m.record(int64(total-released), int64(live))
}

// record stores how many bytes the process has from the operating system, and logs when it
// comes near its limit or recovers. live is the size of the live heap, for the log.
func (m *Monitor) record(used, live int64) {
	m.used.Store(used)
	if m.limit == 0 {
		return
	}
	share := float64(used) / float64(m.limit)
	switch near := m.nearLimit.Load(); {
	case !near && share >= nearLimitShare:
		m.nearLimit.Store(true)
		event.MemoryLow.Log(m.logger, slog.Int64("used", used), slog.Int64("live", live), slog.Int64("limit", m.limit))
	case near && share < recoveredShare:
		m.nearLimit.Store(false)
		event.MemoryRecovered.Log(m.logger, slog.Int64("used", used), slog.Int64("live", live), slog.Int64("limit", m.limit))
	}
}

// gcPercentFor returns the garbage percentage for a live heap of this many bytes.
func gcPercentFor(live uint64) int {
	if live == 0 {
		return maxGCPercent
	}
	return int(min(max(maxGarbageBytes*100/live, minGCPercent), maxGCPercent))
}

func abs(n int) int { return max(n, -n) }
