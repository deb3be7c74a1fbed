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

// This file defines how an owner keeps to customers' caps: it follows their accounts, tells
// its book what may be used, and moves parts of caps to its pool.

const (
	// capsEntries is how many entries of a transaction that moves parts of caps do not
	// belong to an account: the condition on the ownership.
	capsEntries = 1
	// accountEntries is how many belong to each: a condition and a put.
	accountEntries = 2
	// capsAtOnce is how many accounts one transaction changes.
	capsAtOnce = (pointport.MaxTxnEntries - capsEntries) / accountEntries
)

// caps is what an owner knows of customers' caps.
type caps struct {
	ledger *quota.Ledger
	// moving says that a change of accounts is under way.
	moving bool
}

// applyCaps tells the book what customers may use, by the newest that is known.
//
// Nothing of a customer with a cap starts while the configuration may be out of date: a
// lowered cap would be passed by what this owner starts, and nobody else would know.
func (o *Owner) applyCaps(ctx context.Context) {
	if o.quotas == nil {
		return
	}
	policy, fresh := o.quotas()
	o.book.SetWeights(policy.Weights())
	if o.caps == nil && !policy.Limited() {
		return
	}
	if o.caps == nil {
		o.caps = &caps{ledger: quota.NewLedger(o.own.Pool)}
		go o.followCaps(ctx)
	}
	o.caps.ledger.SetPolicy(policy)
	allowed := o.caps.ledger.Allowed()
	if !fresh {
		for name := range allowed {
			allowed[name] = pointport.Shape{}
		}
	}
	o.book.SetAllowed(allowed)
}

// followCaps follows the accounts until ctx ends.
func (o *Owner) followCaps(ctx context.Context) {
	take := func(how func(*quota.Ledger, []pointport.Entry) error) func([]pointport.Entry) {
		return func(entries []pointport.Entry) {
			o.do(func(time.Time) { o.noteAccounts(how(o.caps.ledger, entries)) })
		}
	}
	member.Follow(ctx, o.kv, o.clock, quota.Prefix, take((*quota.Ledger).Reset), take((*quota.Ledger).Apply))
}

// noteAccounts logs that an account cannot be read, if err is not nil.
func (o *Owner) noteAccounts(err error) {
	if err != nil {
		event.QuotaUnreadable.Log(o.logger, slog.Any("error", err))
	}
}

// moveCaps stores what the pool should hold of customers' caps, one transaction at a time.
func (o *Owner) moveCaps(ctx context.Context, now time.Time) {
	if o.caps == nil || o.caps.moving {
		return
	}
	o.book.Uses(func(u schedule.CustomerUse) {
		o.caps.ledger.SetUse(u.Customer, quota.Use{Used: u.Used, Wanted: u.HeldBack})
	})
	changes := o.caps.ledger.Changes(now, capsAtOnce)
	if len(changes) == 0 {
		return
	}
	o.caps.moving = true
	txn := pointport.Txn{If: []pointport.Condition{{Key: member.OwnerKey(o.own.Pool), Revision: o.own.Revision}}}
	for _, c := range changes {
		txn.If = append(txn.If, pointport.Condition{Key: c.Key, Revision: c.Revision})
		txn.Put = append(txn.Put, pointport.Put{Key: c.Key, Value: c.Value})
	}
	go func() {
		at, err := o.kv.Commit(ctx, txn)
		o.do(func(done time.Time) {
			o.caps.moving = false
			o.capsMoved(changes, at, err, done.Sub(now))
		})
	}()
}

// capsMoved takes in what became of a change of accounts.
func (o *Owner) capsMoved(changes []quota.Change, at pointport.Revision, err error, took time.Duration) {
	var conflict *pointport.TxnConflictError
	if errors.As(err, &conflict) {
		o.noteAccounts(o.caps.ledger.Apply(conflict.Entries))
	}
	for _, c := range changes {
		o.caps.ledger.Changed(c, at, outcomeOf(err))
		event.CapMoved.Log(o.logger, slog.String("customer", c.Customer), slog.String("account", string(c.Value)),
			slog.Int64("from", int64(c.Revision)), slog.Bool("made", err == nil), slog.Duration("took", took), slog.Any("error", err))
	}
}

// outcomeOf says what an error tells of a change.
func outcomeOf(err error) quota.Outcome {
	var conflict *pointport.TxnConflictError
	var unavailable *pointport.UnavailableError
	switch {
	case err == nil:
		return quota.Made
	case errors.As(err, &conflict):
		return quota.NotMade
	case errors.As(err, &unavailable) && !unavailable.Ambiguous:
		return quota.NotMade
	}
	return quota.Unsure
}
