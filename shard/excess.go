package shard

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/schedule"
)

// This file defines how an owner publishes for which customers further jobs are refused.

// excessInterval is the time between two updates. Members apply a result for a second or
// longer.
const excessInterval = 100 * time.Millisecond

// updateExcess computes for which customers further jobs are refused.
func (o *Owner) updateExcess(now time.Time) {
	if now.Sub(o.excessAt) < excessInterval {
		return
	}
	o.excessAt = now
	o.publishUses()
	next := o.scheduler.Excess(now)
	before := o.excess.Swap(&next)
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

// publishUses publishes what each customer uses.
func (o *Owner) publishUses() {
	var uses []schedule.CustomerUse
	o.scheduler.Uses(func(u schedule.CustomerUse) { uses = append(uses, u) })
	o.uses.Store(&uses)
}

// Uses returns what each customer uses of the pool, at most about excessInterval ago.
func (o *Owner) Uses() []schedule.CustomerUse {
	if all := o.uses.Load(); all != nil {
		return *all
	}
	return nil
}

// Excess returns for how long further jobs of a customer are to be refused, zero if they are
// accepted.
func (o *Owner) Excess(customer string) time.Duration {
	all := o.excess.Load()
	if all == nil {
		return 0
	}
	return (*all)[customer]
}
