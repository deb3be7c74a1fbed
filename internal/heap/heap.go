// Package heap bounds the memory that a process fills beside what it uses, and says
// when the process comes near its limit.
//
// The model: the runtime collects garbage when there is a given share of what is in
// use. A small share collects a small heap many times a second, and a large one lets
// a large heap fill memory several times over. So the share follows the heap: garbage
// may take some megabytes, whatever is in use.
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
	// garbageMost is how many bytes of garbage may lie about. With it, and registrations
	// read every 15 s, the owner of a pool of 120 instances peaks at 53 MB, at 120 MB
	// with four times what is in use.
	garbageMost = 16 << 20
	// percentMost is the share of garbage, in percent of what is in use, that a small
	// heap may have: a live heap of a few megabytes would be collected many times a
	// second otherwise, and processor time is dear on entry instances. percentLeast
	// bounds the work that a large one makes.
	percentMost  = 400
	percentLeast = 40
	// percentStep is by how much the share must be off to be set anew, in percent of
	// itself: setting it stops the process for a moment.
	percentStep = 15
	// lookEvery is how often the heap is looked at. At peaks it doubles in a second.
	lookEvery = 500 * time.Millisecond
	// limitShare is the share of the limit above which the runtime collects as hard as
	// it may; the rest is for stacks and for what comes in at once.
	limitShare = 0.6
	// nearShare is the share of the limit above which the process is near it, and
	// takes nothing more in that may go elsewhere. clearShare is the one below which
	// it no longer is.
	nearShare  = 0.8
	clearShare = 0.7
)

// A Guard watches a process's memory. It is safe for concurrent use.
type Guard struct {
	limit  int64 // bytes, zero for none
	logger *slog.Logger
	used   atomic.Int64
	near   atomic.Bool

	// What follows belongs to the loop.
	percent int
	samples []metrics.Sample
}

// Start returns a guard that works until ctx ends. limit is how many bytes the process
// may take, zero if that is not known.
func Start(ctx context.Context, clock pointport.Clock, limit int64, logger *slog.Logger) *Guard {
	g := &Guard{limit: limit, logger: logger, percent: percentMost, samples: []metrics.Sample{
		{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
	}}
	debug.SetGCPercent(percentMost)
	if limit > 0 {
		debug.SetMemoryLimit(int64(limitShare * float64(limit)))
	}
	go func() {
		for {
			select {
			case <-clock.After(lookEvery):
				g.look()
			case <-ctx.Done():
				return
			}
		}
	}()
	return g
}

// Used returns how many bytes the process has taken from the system, as of the last look.
func (g *Guard) Used() int64 { return g.used.Load() }

// Near reports whether the process is near its limit.
func (g *Guard) Near() bool { return g.near.Load() }

// look sets the share of garbage by what is in use.
func (g *Guard) look() {
	metrics.Read(g.samples)
	live, total, released := g.samples[0].Value.Uint64(), g.samples[1].Value.Uint64(), g.samples[2].Value.Uint64()
	if p := percentFor(live); abs(p-g.percent)*100 > percentStep*g.percent {
		g.percent = p
		debug.SetGCPercent(p)
	}
	g.take(int64(total-released), int64(live))
}

// take takes in how many bytes the process has taken, and how many are in use.
func (g *Guard) take(used, live int64) {
	g.used.Store(used)
	if g.limit == 0 {
		return
	}
	share := float64(used) / float64(g.limit)
	switch near := g.near.Load(); {
	case !near && share >= nearShare:
		g.near.Store(true)
		event.MemoryLow.Log(g.logger, slog.Int64("used", used), slog.Int64("live", live), slog.Int64("limit", g.limit))
	case near && share < clearShare:
		g.near.Store(false)
		event.MemoryRecovered.Log(g.logger, slog.Int64("used", used), slog.Int64("live", live), slog.Int64("limit", g.limit))
	}
}

// percentFor returns the share of garbage for so many bytes in use.
func percentFor(live uint64) int {
	if live == 0 {
		return percentMost
	}
	return int(min(max(garbageMost*100/live, percentLeast), percentMost))
}

func abs(n int) int { return max(n, -n) }
