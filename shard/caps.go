package shard

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/quota"
	"github.com/pointport/pointport/schedule"
)

// This file defines how an owner enforces customers' caps: it follows the customers' accounts,
// passes the resulting limits to its scheduler, and transfers shares of caps to its pool.

const (
	// ownershipEntries is how many entries of a transaction that transfers shares of caps
	// do not belong to an account: the condition on the pool's ownership.
	ownershipEntries = 1
	// accountEntries is how many entries belong to each account: a condition and a put.
	accountEntries = 2
	// accountsPerTxn is the most accounts that one transaction changes.
	accountsPerTxn = (pointport.MaxTxnEntries - ownershipEntries) / accountEntries
)

// caps is the owner's view of the customers' caps.
type caps struct {
	ledger *quota.Ledger
	// transferring reports whether a transaction that changes accounts is in flight.
	transferring bool
}

// applyCaps passes to the scheduler the customers' weights, and what each customer may use under
// the latest configuration.
//
// While the configuration may be out of date, no task of a customer with a cap starts: if the
// cap has been lowered, this owner's starts would exceed it, and no other member would notice.
func (o *Owner) applyCaps(ctx context.Context) {
	if o.quotas == nil {
		return
	}
	policy, fresh := o.quotas()
	o.scheduler.SetWeights(policy.Weights())
	if o.caps == nil && !policy.HasCaps() {
		return
	}
	if o.caps == nil {
		o.caps = &caps{ledger: quota.NewLedger(o.ownership.Pool)}
		go o.watchAccounts(ctx)
	}
	o.caps.ledger.SetPolicy(policy)
	allowed := o.caps.ledger.Allowed()
	if !fresh {
		for name := range allowed {
			allowed[name] = pointport.Shape{}
		}
	}
	o.scheduler.SetAllowed(allowed)
	o.scheduler.SetReachable(o.caps.ledger.Reachable())
}

// watchAccounts follows the accounts until ctx ends.
func (o *Owner) watchAccounts(ctx context.Context) {
	handler := func(apply func(*quota.Ledger, []pointport.Entry) error) func([]pointport.Entry) {
		return func(entries []pointport.Entry) {
			o.enqueue(func(time.Time) { o.logUnreadableAccount(apply(o.caps.ledger, entries)) })
		}
	}
	member.Follow(ctx, o.kv, o.clock, quota.Prefix, handler((*quota.Ledger).Reset), handler((*quota.Ledger).Apply))
}

// logUnreadableAccount logs a non-nil error from decoding an account.
func (o *Owner) logUnreadableAccount(err error) {
	if err != nil {
		event.QuotaUnreadable.Log(o.logger, slog.Any("error", err))
	}
}

// transferCaps stores the shares of customers' caps that the pool should have. At most one
// transaction is in flight. It waits while customers may have runs that the scheduler, or that of a
// successor, does not know, because shares that these use could be transferred to other pools: a
// successor starts displaced tasks within what the pool holds. It also waits while the store does not
// prove the ownership: it would not answer.
func (o *Owner) transferCaps(ctx context.Context, now time.Time) {
	if o.caps == nil || o.caps.transferring || !o.scheduler.UsageStored() || !o.ownership.ProvenByStore() {
		return
	}
	o.scheduler.VisitUsage(func(u schedule.CustomerUsage) {
		o.caps.ledger.SetUsage(u.Customer, quota.Usage{Used: u.Used, Wanted: u.Wanted()})
	})
	changes := o.caps.ledger.Changes(now, accountsPerTxn)
	if len(changes) == 0 {
		return
	}
	o.caps.transferring = true
	txn := pointport.Txn{If: []pointport.Condition{{Key: member.OwnerKey(o.ownership.Pool), Revision: o.ownership.Revision}}}
	for _, c := range changes {
		txn.If = append(txn.If, pointport.Condition{Key: c.Key, Revision: c.Revision})
		txn.Put = append(txn.Put, pointport.Put{Key: c.Key, Value: c.Value})
	}
	go func() {
		at, err := o.kv.Commit(ctx, txn)
		o.enqueue(func(done time.Time) {
			o.caps.transferring = false
			o.transferDone(changes, at, err, done.Sub(now))
		})
	}()
}

// transferDone handles the result of a transaction that changes accounts.
func (o *Owner) transferDone(changes []quota.Change, at pointport.Revision, err error, took time.Duration) {
	var conflict *pointport.TxnConflictError
	if errors.As(err, &conflict) {
		o.logUnreadableAccount(o.caps.ledger.Apply(conflict.Entries))
	}
	for _, c := range changes {
		o.caps.ledger.HandleOutcome(c, at, outcomeOf(err))
		event.CapMoved.Log(o.logger, slog.String("customer", c.Customer), slog.String("account", string(c.Value)),
			slog.Any("used", c.Usage.Used), slog.Any("wanted", c.Usage.Wanted), slog.Int64("from", int64(c.Revision)), slog.Bool("made", err == nil), slog.Duration("took", took), slog.Any("error", err))
	}
}

// outcomeOf returns what the error of a transaction implies about its effect.
func outcomeOf(err error) quota.Outcome {
	var conflict *pointport.TxnConflictError
	var unavailable *pointport.UnavailableError
	switch {
	case err == nil:
		return quota.Committed
	case errors.As(err, &conflict):
		return quota.NotCommitted
	case errors.As(err, &unavailable) && !unavailable.Ambiguous:
		return quota.NotCommitted
	}
	return quota.Ambiguous
}
