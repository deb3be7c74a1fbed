package shard

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines when an owner sends all orders through peers.

// delegateFor is for how long orders go through peers after the window of starts was last
// narrowed. If the load persists, switching back fills the link again for some tenths of a
// second.
const delegateFor = 30 * time.Second

// updateDelegating decides whether orders go through peers from now on.
func (o *Owner) updateDelegating(now time.Time) {
	if o.delegates == nil {
		return
	}
	next := !o.window.narrowedAt.IsZero() && now.Sub(o.window.narrowedAt) < delegateFor
	if next == o.delegating {
		return
	}
	o.delegating = next
	event.OrdersDelegated.Log(o.logger, slog.Bool("through", next), slog.Int("workers", o.scheduler.WorkerCount()), slog.Int("window", int(o.window.size)))
}
