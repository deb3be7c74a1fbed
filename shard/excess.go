package shard

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/schedule"
)

// This file defines how an owner publishes for which customers further jobs are refused.

// backlogRefusalInterval is the time between two updates. Members apply a result for a second or
// longer.
const backlogRefusalInterval = 100 * time.Millisecond

// updateBacklogRefusals computes for which customers further jobs are refused.
func (o *Owner) updateBacklogRefusals(now time.Time) {
	if now.Sub(o.backlogRefusalsAt) < backlogRefusalInterval {
		return
	}
	o.backlogRefusalsAt = now
	o.publishUsage()
	next := o.scheduler.BacklogRefusals(now)
	before := o.backlogRefusals.Swap(&next)
	for name, d := range next {
		if before == nil || (*before)[name] == 0 {
			event.CustomerExcess.Log(o.logger, slog.String("customer", name), slog.Duration("for", d), slog.Bool("refused", true))
		}
	}
	if before == nil {
		return
	}
	for name := range *before {
		if _, ok := next[name]; !ok {
			event.CustomerExcess.Log(o.logger, slog.String("customer", name), slog.Bool("refused", false))
		}
	}
}

// publishUsage publishes what each customer uses.
func (o *Owner) publishUsage() {
	var usage []schedule.CustomerUsage
	o.scheduler.VisitUsage(func(u schedule.CustomerUsage) { usage = append(usage, u) })
	o.usage.Store(&usage)
}

// CustomerUsage returns what each customer uses of the pool, at most about
// backlogRefusalInterval ago.
func (o *Owner) CustomerUsage() []schedule.CustomerUsage {
	if all := o.usage.Load(); all != nil {
		return *all
	}
	return nil
}

// BacklogRefusal returns for how long further jobs of a customer are to be refused, zero if they are
// accepted.
func (o *Owner) BacklogRefusal(customer string) time.Duration {
	all := o.backlogRefusals.Load()
	if all == nil {
		return 0
	}
	return (*all)[customer]
}
