package intake

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines the submission of jobs.

// A Submission is a job to be stored. Its fields are exported because they are
// encoded in JSON.
type Submission struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// By is the caller that submits the job.
	By customer.Caller `json:"by,omitzero"`
	// Accepted is the job in its stored form.
	Accepted json.RawMessage `json:"accepted"`
	// age is how long ago the job was first submitted, derived from its client's remaining time.
	// Both are only logged: a peer gets the time of the first submission in Accepted.
	age, remaining time.Duration
}

// ageAttr returns the attributes of an event about the submission for its age, if it has one.
func (s Submission) ageAttr() slog.Attr {
	if s.age == 0 {
		return slog.Attr{}
	}
	return slog.GroupAttrs("", slog.Duration("age", s.age), slog.Duration("remaining", s.remaining))
}

// txn returns the transaction that stores the job if its identity is not in use.
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

// Submit checks a job and stores it, at a peer if this member cannot. It fails with a
// *workload.SpecError, a *RefusedError, a *BacklogError, a *RevokedError, a *TakenError or
// an *AmbiguousError.
func (svc *Service) Submit(ctx context.Context, q *workload.Queue, id string, spec *workload.Spec) error {
	return svc.submit(ctx, q, id, spec, 0, 0)
}

// SubmitWithin is like Submit for a client that waits for the remaining time, zero if that is not
// known. If the service derives ages, the job counts from when its customer first submitted it.
func (svc *Service) SubmitWithin(ctx context.Context, q *workload.Queue, id string, spec *workload.Spec, remaining time.Duration) error {
	if svc.ages == nil {
		return svc.Submit(ctx, q, id, spec)
	}
	age := svc.ages.Age(svc.clock.Now(), svc.caller.Name, q.Name, remaining)
	err := svc.submit(ctx, q, id, spec, age, remaining)
	svc.ages.Observe(svc.clock.Now(), svc.caller.Name, q.Name, remaining, err)
	return err
}

// submit submits a job that was first submitted age ago, by its client's remaining time.
func (svc *Service) submit(ctx context.Context, q *workload.Queue, id string, spec *workload.Spec, age, remaining time.Duration) error {
	if err := svc.checkSpec(spec); err != nil {
		event.JobInvalid.Log(svc.logger, slog.String("job", id), slog.String("queue", q.Name), slog.Any("error", err))
		return err
	}
	if err := svc.checkBacklog(ctx, q, id); err != nil {
		return err
	}
	now := svc.clock.Now()
	job := workload.New(id, q.Name, q.Policy, spec, now, workload.WithCustomer(svc.caller.Name), workload.WithFirstSubmitted(now.Add(-age)))
	accepted, err := job.EncodeAccepted()
	if err != nil {
		return err
	}
	s := Submission{ID: id, Queue: q.Name, Pool: q.Pool, By: svc.caller, Accepted: accepted, age: age, remaining: remaining}
	err = svc.StoreJob(ctx, s)
	var refused *RefusedError
	var ambiguous *AmbiguousError
	if errors.As(err, &refused) || errors.As(err, &ambiguous) && ctx.Err() == nil {
		err = svc.storeAtPeer(ctx, s, err)
	}
	if err != nil {
		event.JobRefused.Log(svc.logger, slog.String("job", id), slog.String("queue", q.Name),
			slog.String("customer", svc.caller.Name), slog.Bool("sure", !errors.As(err, &ambiguous)), slog.Any("reason", err))
	}
	return err
}

// checkSpec returns a *workload.SpecError if the job could never run: because it is
// invalid, or because a step's tasks that must run at the same time need more of its
// customer's cap than one pool may use.
func (svc *Service) checkSpec(spec *workload.Spec) error {
	if err := spec.Check(); err != nil {
		return err
	}
	limits, capped := svc.caps().Limits(svc.caller.Name)
	if !capped {
		return nil
	}
	for n := range spec.Steps {
		if need := spec.Steps[n].ConcurrentNeed(); !limits.CanUse(need) {
			return &workload.SpecError{Field: fmt.Sprintf("steps[%d].need", n), Value: need, Reason: fmt.Sprintf("must run at once, and %s may use at most %v of its cap of %v in one pool", svc.caller.Name, limits.Usable(), limits.Cap)}
		}
	}
	return nil
}

// checkBacklog returns a *BacklogError if the customer's backlog is too long already. It does
// not refuse a job that was accepted by an earlier submission whose answer was lost: such a
// job does not add to the backlog, and it runs, which a refused job never does.
func (svc *Service) checkBacklog(ctx context.Context, q *workload.Queue, id string) error {
	after := svc.owners.BacklogRefusal(q.Pool, svc.caller.Name)
	if after <= 0 {
		return nil
	}
	var unknown *UnknownJobError
	if _, err := svc.record(ctx, id); !errors.As(err, &unknown) {
		return nil
	}
	event.JobExcess.Log(svc.logger, slog.String("job", id), slog.String("queue", q.Name), slog.String("customer", svc.caller.Name), slog.Duration("after", after))
	return &BacklogError{ID: id, Customer: svc.caller.Name, RetryAfter: after}
}

// storeAtPeer asks a peer to store a job that this member could not store, because of
// cause. If cause leaves open whether the job is stored, a failure at the peer leaves
// it open too, so cause is returned unless the peer accepts the job.
func (svc *Service) storeAtPeer(ctx context.Context, s Submission, cause error) error {
	peer, err := svc.owners.StoreAtPeer(ctx, s)
	var ambiguous *AmbiguousError
	var refused, refusedHere *RefusedError
	switch {
	case err == nil:
		event.JobHandedOn.Log(svc.logger, slog.String("job", s.ID), slog.String("queue", s.Queue), slog.String("peer", peer), slog.Any("reason", cause), s.ageAttr())
		return nil
	case errors.As(cause, &ambiguous):
		return cause
	case errors.As(err, &refused) && errors.As(cause, &refusedHere):
		return &RefusedError{ID: s.ID, RetryAfter: refused.RetryAfter, Cause: refusedHere.Cause + "; nor does a peer store it: " + refused.Cause}
	}
	return err
}

// CanStore reports whether this member can store a job at present: the platform's store
// answers, and the member is not low on memory.
func (svc *Service) CanStore() bool { return svc.reachable() && !svc.lowMemory() }

// StoreJob stores a job without the help of a peer. It fails with a *RefusedError, a
// *RevokedError, a *TakenError or an *AmbiguousError.
//
// A job from a peer was checked against the peer's configuration, which may be out of date
// if the peer cannot reach the store. So the caller's key is checked again here, against
// this member's configuration if that is newer.
func (svc *Service) StoreJob(ctx context.Context, s Submission) error {
	if customers, version := svc.customers(); s.By.Revoked(customers, version) {
		return &RevokedError{ID: s.ID}
	}
	if !svc.reachable() {
		return &RefusedError{ID: s.ID, RetryAfter: RetryAfter, Cause: "the store gives no answer"}
	}
	if svc.lowMemory() {
		return &RefusedError{ID: s.ID, RetryAfter: RetryAfter, Cause: "the entry instance is short of memory"}
	}
	now := svc.clock.Now()
	txn, err := s.txn()
	if err != nil {
		return err
	}
	result, err := svc.commit(ctx, s.ID, txn)
	if err != nil {
		return err
	}
	if result.existed && !s.By.CanAccess(result.customer) {
		return &TakenError{ID: s.ID}
	}
	event.JobAccepted.Log(svc.logger, slog.String("job", s.ID), slog.String("queue", s.Queue), slog.String("pool", s.Pool), slog.String("customer", s.By.Name),
		slog.Bool("known", result.existed), slog.Duration("took", svc.clock.Now().Sub(now)), s.ageAttr())
	switch {
	case result.existed && result.open:
		svc.notifyExisting(ctx, s, result)
	case result.open:
		svc.owners.NotifySubmitted(s.Pool, s.ID, s.By.Name, s.Accepted, result.revision)
	}
	return nil
}

// notifyExisting notifies the owner of a job that was stored before s. The owner gets the stored
// job, in the pool in which it was stored: s may differ from it in everything but the identity, and
// its queue may have been assigned to another pool since, whose owner would run the job as well. If
// the stored job cannot be read, the owner gets it from its watch.
func (svc *Service) notifyExisting(ctx context.Context, s Submission, result commitResult) {
	ctx, cancel := context.WithTimeout(ctx, existingReadTimeout)
	defer cancel()
	pool := cmp.Or(result.pool, s.Pool)
	stored, err := svc.kv.Get(ctx, workload.OpenKey(pool, s.ID))
	if err != nil || !stored.Exists() {
		return
	}
	svc.owners.NotifySubmitted(pool, s.ID, s.By.Name, stored.Value(), result.revision)
}

// existingReadTimeout bounds how long the answer to a repeated submission waits for the stored job.
// After that time the owner has the job from its watch.
const existingReadTimeout = 200 * time.Millisecond

// A commitResult is the result of a change that reserves a job's identity.
type commitResult struct {
	// revision is the revision at which the identity was reserved.
	revision pointport.Revision
	// existed reports whether the identity was in use already: by an earlier
	// submission, or by an earlier attempt of this one whose answer was lost. The two
	// need not be distinguished.
	existed bool
	// customer and pool are the names of the customer and the pool of the job that
	// has the identity, if existed is set.
	customer, pool string
	// open reports whether the job has not ended, so that the pool's owner must know
	// it. The owner is notified even if it may know the job already: if the answer was
	// lost, no notification was sent, and the owner would get the job from its watch
	// only some 0.2 s later.
	open bool
}

// commit commits a transaction that reserves a job's identity, and retries while its
// effect is unknown. It fails with a *RefusedError if the transaction had no effect, and
// with an *AmbiguousError if its effect remains unknown because the store is unreachable
// or ctx ended.
func (svc *Service) commit(ctx context.Context, id string, txn pointport.Txn) (commitResult, error) {
	mayHaveApplied := false
	for {
		at, err := svc.kv.Commit(ctx, txn)
		if err == nil {
			return commitResult{revision: at, open: true}, nil
		}
		var conflict *pointport.TxnConflictError
		if errors.As(err, &conflict) {
			return svc.existingResult(id, conflict), nil
		}
		var unavailable *pointport.UnavailableError
		ambiguous := !errors.As(err, &unavailable) || unavailable.Ambiguous
		mayHaveApplied = mayHaveApplied || ambiguous
		if !mayHaveApplied {
			return commitResult{}, &RefusedError{ID: id, RetryAfter: RetryAfter, Cause: err.Error()}
		}
		if !svc.reachable() {
			return commitResult{}, &AmbiguousError{ID: id, Err: err}
		}
		select {
		case <-svc.clock.After(ambiguousRetryInterval):
		case <-ctx.Done():
			return commitResult{}, &AmbiguousError{ID: id, Err: err}
		}
	}
}

// existingResult returns the result for an identity that was in use already.
func (svc *Service) existingResult(id string, conflict *pointport.TxnConflictError) commitResult {
	for _, e := range conflict.Entries {
		if e.Key() != workload.RecordKey(id) {
			continue
		}
		record, err := workload.DecodeRecord(id, e.Value())
		if err != nil {
			// The identity stays reserved, so no other job is started under it.
			event.JobUnreadable.Log(svc.logger, slog.String("job", id), slog.Int64("revision", int64(e.Revision())), slog.Any("error", err))
		}
		return commitResult{revision: e.Created(), existed: true, customer: record.Customer, pool: record.Pool, open: err == nil && record.Ended == ""}
	}
	return commitResult{existed: true}
}
