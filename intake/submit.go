package intake

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines how a job is accepted or refused.

// A Submission is a job that is to be kept. Its fields are exported because a
// codec reads and writes them.
type Submission struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// By is who hands it in.
	By customer.Caller `json:"by,omitzero"`
	// Accepted is the stored form of the job.
	Accepted json.RawMessage `json:"accepted"`
}

// txn returns the change that keeps the job if its identity is not taken.
func (s Submission) txn() (pointport.Txn, error) {
	record, err := workload.Record{Pool: s.Pool, Queue: s.Queue, Customer: s.By.Name}.Encode()
	if err != nil {
		return pointport.Txn{}, err
	}
	return pointport.Txn{
		If: []pointport.Condition{{Key: workload.RecordKey(s.ID)}},
		Put: []pointport.Put{
			{Key: workload.RecordKey(s.ID), Value: record},
			{Key: workload.OpenKey(s.Pool, s.ID), Value: s.Accepted},
		},
	}, nil
}

// Submit accepts a job. It fails with a *workload.SpecError, a *RefusedError, an
// *ExcessError, a *RevokedError, a *TakenError or an *UnsureError.
func (d *Service) Submit(ctx context.Context, q *workload.Queue, id string, spec *workload.Spec) error {
	if err := d.check(spec); err != nil {
		event.JobInvalid.Log(d.logger, slog.String("job", id), slog.String("queue", q.Name), slog.Any("error", err))
		return err
	}
	if err := d.inExcess(ctx, q, id); err != nil {
		return err
	}
	accepted, err := workload.New(id, q.Name, q.Policy, spec, d.clock.Now(), workload.WithCustomer(d.caller.Name)).EncodeAccepted()
	if err != nil {
		return err
	}
	s := Submission{ID: id, Queue: q.Name, Pool: q.Pool, By: d.caller, Accepted: accepted}
	err = d.StoreJob(ctx, s)
	var refused *RefusedError
	var unsure *AmbiguousError
	if errors.As(err, &refused) || errors.As(err, &unsure) && ctx.Err() == nil {
		err = d.handOn(ctx, s, err)
	}
	if err != nil {
		event.JobRefused.Log(d.logger, slog.String("job", id), slog.String("queue", q.Name),
			slog.String("customer", d.caller.Name), slog.Bool("sure", !errors.As(err, &unsure)), slog.Any("reason", err))
	}
	return err
}

// check returns a *workload.SpecError if the job could never run: as it is, or because its
// customer's cap is below what has to run at once.
func (d *Service) check(spec *workload.Spec) error {
	if err := spec.Check(); err != nil {
		return err
	}
	customers, _ := d.customers()
	c, ok := customers.Find(d.caller.Name)
	if !ok {
		return nil
	}
	for n := range spec.Steps {
		if most := spec.Steps[n].ConcurrentNeed(); !c.CapAllows(most) {
			return &workload.SpecError{Field: fmt.Sprintf("steps[%d].need", n), Value: most, Reason: fmt.Sprintf("must run at once and is beyond the cap of %s, %v", c.Name, c.Cap)}
		}
	}
	return nil
}

// inExcess refuses a job of which its customer has too many already. One that was accepted
// before, and whose customer has not heard so, is none more: what is refused never runs. It
// fails with an *ExcessError.
func (d *Service) inExcess(ctx context.Context, q *workload.Queue, id string) error {
	after := d.owners.Excess(q.Pool, d.caller.Name)
	if after <= 0 {
		return nil
	}
	var unknown *UnknownJobError
	if _, err := d.record(ctx, id); !errors.As(err, &unknown) {
		return nil
	}
	event.JobExcess.Log(d.logger, slog.String("job", id), slog.String("queue", q.Name), slog.String("customer", d.caller.Name), slog.Duration("after", after))
	return &ExcessError{ID: id, Customer: d.caller.Name, RetryAfter: after}
}

// handOn has a peer keep a job that this member could not. cause is why; if it
// leaves open whether the job is kept, only an acceptance makes that sure.
func (d *Service) handOn(ctx context.Context, s Submission, cause error) error {
	peer, err := d.owners.StoreAtPeer(ctx, s)
	var unsure *AmbiguousError
	var refused, refusedHere *RefusedError
	switch {
	case err == nil:
		event.JobHandedOn.Log(d.logger, slog.String("job", s.ID), slog.String("queue", s.Queue), slog.String("peer", peer), slog.Any("reason", cause))
		return nil
	case errors.As(cause, &unsure):
		return cause
	case errors.As(err, &refused) && errors.As(cause, &refusedHere):
		return &RefusedError{ID: s.ID, RetryAfter: refused.RetryAfter, Cause: refusedHere.Cause + "; nor does a peer store it: " + refused.Cause}
	}
	return err
}

// CanStore reports whether this member can store a job at present: the platform's store
// answers, and there is memory for it.
func (d *Service) CanStore() bool { return d.reachable() && !d.full() }

// StoreJob stores a job without asking anybody else to. It fails with a *RefusedError, a
// *RevokedError, a *TakenError or an *UnsureError.
//
// A job that a peer hands on was judged by the configuration that the peer knew. A peer that
// the store does not serve may know an old one, so a newer one here has the last word.
func (d *Service) StoreJob(ctx context.Context, s Submission) error {
	if customers, version := d.customers(); s.By.Revoked(customers, version) {
		return &RevokedError{ID: s.ID}
	}
	if !d.reachable() {
		return &RefusedError{ID: s.ID, RetryAfter: RetryAfter, Cause: "the store gives no answer"}
	}
	if d.full() {
		return &RefusedError{ID: s.ID, RetryAfter: RetryAfter, Cause: "the entry instance is short of memory"}
	}
	now := d.clock.Now()
	txn, err := s.txn()
	if err != nil {
		return err
	}
	kept, err := d.commit(ctx, s.ID, txn)
	if err != nil {
		return err
	}
	if kept.before && !s.By.CanAccess(kept.customer) {
		return &TakenError{ID: s.ID}
	}
	event.JobAccepted.Log(d.logger, slog.String("job", s.ID), slog.String("queue", s.Queue), slog.String("pool", s.Pool), slog.String("customer", s.By.Name),
		slog.Bool("known", kept.before), slog.Duration("took", d.clock.Now().Sub(now)))
	if kept.open {
		// A job that was found may be kept by another pool than that which its queue has
		// now, and two owners would run it.
		d.owners.NotifySubmitted(cmp.Or(kept.pool, s.Pool), s.ID, s.By.Name, s.Accepted, kept.at)
	}
	return nil
}

// A keeping says how an identity was taken.
type keeping struct {
	// at is the revision at which it was taken.
	at pointport.Revision
	// before says that it was found taken: by an earlier submission, or by a sending
	// of this one whose answer was lost. Which it was does not matter.
	before bool
	// customer is the name of whose the job is that was found, pool the pool that keeps it.
	customer, pool string
	// open says that its job has not ended, so that the pool's owner must know it.
	// The owner is told even if it may know: if the answer was lost, nobody has told
	// it, and it would learn of the job from its watch some 0.2 s later.
	open bool
}

// commit makes a change that takes an identity.
func (d *Service) commit(ctx context.Context, id string, txn pointport.Txn) (keeping, error) {
	unsure := false
	for {
		at, err := d.kv.Commit(ctx, txn)
		if err == nil {
			return keeping{at: at, open: true}, nil
		}
		var conflict *pointport.TxnConflictError
		if errors.As(err, &conflict) {
			return d.found(id, conflict), nil
		}
		var unavailable *pointport.UnavailableError
		ambiguous := !errors.As(err, &unavailable) || unavailable.Ambiguous
		unsure = unsure || ambiguous
		if !unsure {
			return keeping{}, &RefusedError{ID: id, RetryAfter: RetryAfter, Cause: err.Error()}
		}
		if !d.reachable() {
			return keeping{}, &AmbiguousError{ID: id, Err: err}
		}
		select {
		case <-d.clock.After(unsureRetry):
		case <-ctx.Done():
			return keeping{}, &AmbiguousError{ID: id, Err: err}
		}
	}
}

// found says how an identity stands that was taken already.
func (d *Service) found(id string, conflict *pointport.TxnConflictError) keeping {
	for _, e := range conflict.Entries {
		if e.Key() != workload.RecordKey(id) {
			continue
		}
		record, err := workload.DecodeRecord(id, e.Value())
		if err != nil {
			// Whoever took the identity, no job is begun under it again.
			event.JobUnreadable.Log(d.logger, slog.String("job", id), slog.Int64("revision", int64(e.Revision())), slog.Any("error", err))
		}
		return keeping{at: e.Created(), before: true, customer: record.Customer, pool: record.Pool, open: err == nil && record.Ended == ""}
	}
	return keeping{before: true}
}
