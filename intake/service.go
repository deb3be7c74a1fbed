// Package intake takes jobs from customers at any entry instance: it accepts or
// refuses, cancels, and says how a job stands.
//
// The model: a job is accepted by one transaction that takes its identity and
// leaves it for its pool's owner. The owner hears of it by a message, and by its
// watch if the message is lost. What a job has come to is asked of the owner,
// and read from the store if the owner does not know or cannot be reached.
//
// Invariants:
//
//   - A job is stored before its acceptance is told.
//   - An identity is one job, however often and wherever it is submitted.
//   - A refusal is told only if nothing was stored and nothing can be any more.
package intake

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines the desk and what it does with a job.

const (
	// unsureRetry is how long to wait before a change without an answer is sent
	// again.
	unsureRetry = 40 * time.Millisecond
	// RetryAfter is when a refused customer should come back: an outage of the
	// store lasts seconds.
	RetryAfter = time.Second
)

// An Owners reaches the owners of pools, wherever they are.
type Owners interface {
	// NotifySubmitted tells a pool's owner of a job that was accepted by the change
	// that made revision at. It does not wait.
	NotifySubmitted(pool, id, customer string, accepted []byte, at pointport.Revision)
	// Excess returns for how long a pool's owner wants no more jobs of a customer, zero if
	// it does. It does not wait.
	Excess(pool, customer string) time.Duration
	// Cancel has a pool's owner cancel a job; false if it does not know the job, or the
	// caller may not.
	Cancel(ctx context.Context, pool, id string, by customer.Caller) (bool, error)
	// Status asks a pool's owner for a job; false if it does not know the job, or the
	// caller may not.
	Status(ctx context.Context, pool, id string, by customer.Caller) (workload.Status, bool, error)
	// StoreAtPeer has a peer keep a job and returns the peer's name. It fails with a
	// *RefusedError or an *UnsureError.
	StoreAtPeer(ctx context.Context, s Submission) (peer string, err error)
	// Waiting asks a pool's owner how many jobs of a queue have not begun.
	Waiting(ctx context.Context, pool, queue string) (int, error)
}

// A Service takes jobs. It is safe for concurrent use.
type Service struct {
	kv     pointport.KV
	owners Owners
	clock  pointport.Clock
	// reachable reports whether the store answers at present.
	reachable func() bool
	// full reports whether this member can hold no more.
	full func() bool
	// customers returns the customers in force and the version of the configuration that
	// lists them.
	customers func() (*customer.Directory, int64)
	caller    customer.Caller
	logger    *slog.Logger
}

// A Option changes a Desk.
type Option func(*Service)

// WithLowMemory sets what reports that this member can hold no more. A job is then kept by a
// peer, or refused at once.
func WithLowMemory(full func() bool) Option { return func(d *Service) { d.full = full } }

// WithCustomers sets what returns the customers in force and the version of the
// configuration that lists them.
func WithCustomers(customers func() (*customer.Directory, int64)) Option {
	return func(d *Service) { d.customers = customers }
}

// NewService returns a desk for callers that show no key.
func NewService(kv pointport.KV, owners Owners, clock pointport.Clock, reachable func() bool, logger *slog.Logger, options ...Option) *Service {
	d := &Service{kv: kv, owners: owners, clock: clock, reachable: reachable, full: func() bool { return false }, logger: logger}
	d.customers = func() (*customer.Directory, int64) { return nil, 0 }
	for _, o := range options {
		o(d)
	}
	return d
}

// ForCaller returns the desk as a caller sees it.
func (d *Service) ForCaller(c customer.Caller) *Service {
	as := *d
	as.caller = c
	return &as
}

// A RefusedError says that a job was not taken and never runs by this attempt.
type RefusedError struct {
	ID         string
	RetryAfter time.Duration // when to come back
	Cause      string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("job %s is not taken: %s; come back in %v", e.ID, e.Cause, e.RetryAfter)
}

// An AmbiguousError says that it is not known whether a change took effect.
type AmbiguousError struct {
	ID  string
	Err error
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("job %s: effect unknown: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Err }

// An UnknownJobError says that there is no such job, as far as its caller may know.
type UnknownJobError struct {
	ID string
	// others says that there is one of another customer.
	others bool
}

func (e *UnknownJobError) Error() string { return fmt.Sprintf("there is no job %s", e.ID) }

// An ExcessError says that a job was not taken, and never runs, because what its customer has
// waiting already takes longer than any of it is of use.
type ExcessError struct {
	ID         string
	Customer   string
	RetryAfter time.Duration // when to come back
}

func (e *ExcessError) Error() string {
	return fmt.Sprintf("job %s is not taken: what %s has waiting already takes too long; come back in %v", e.ID, e.Customer, e.RetryAfter)
}

// A TakenError says that a job was not taken because its identity is another customer's.
type TakenError struct {
	ID string
}

func (e *TakenError) Error() string {
	return fmt.Sprintf("job %s is not taken: its identity is in use", e.ID)
}

// A RevokedError says that a job was not taken because the key that its caller showed is
// good no longer.
type RevokedError struct {
	ID string
}

func (e *RevokedError) Error() string {
	return fmt.Sprintf("job %s is not taken: the key is not in force any more", e.ID)
}

// Status returns how a job stands. It fails with an *UnknownJobError if there is
// no such job.
func (d *Service) Status(ctx context.Context, q *workload.Queue, id string) (workload.Status, error) {
	status, known, ownerErr := d.owners.Status(ctx, q.Pool, id, d.caller)
	if ownerErr == nil && known {
		return status, nil
	}
	status, err := d.storedStatus(ctx, q, id)
	if err != nil {
		d.logUnknown(err, q, id, "status")
		return "", err
	}
	event.StatusRead.Log(d.logger, slog.String("job", id), slog.String("queue", q.Name), slog.String("state", string(status)), slog.Any("reason", ownerErr))
	return status, nil
}

// storedStatus returns how a job stands by the store, or by the owner of the pool
// that it was accepted for if its queue has gone to another since.
func (d *Service) storedStatus(ctx context.Context, q *workload.Queue, id string) (workload.Status, error) {
	record, err := d.record(ctx, id)
	if err != nil {
		return "", err
	}
	if record.Ended != "" {
		return record.Ended, nil
	}
	if record.Pool != q.Pool {
		if s, known, err := d.owners.Status(ctx, record.Pool, id, d.caller); err == nil && known {
			return s, nil
		}
	}
	progress, err := d.kv.Get(ctx, workload.ProgressKey(record.Pool, id))
	if err != nil {
		return "", err
	}
	if progress.Exists() {
		return workload.Running, nil
	}
	return workload.Queued, nil
}

// logUnknown notes that a customer is told that there is no such job.
func (d *Service) logUnknown(err error, q *workload.Queue, id, asked string) {
	var unknown *UnknownJobError
	if errors.As(err, &unknown) {
		event.JobUnknown.Log(d.logger, slog.String("job", id), slog.String("queue", q.Name), slog.String("asked", asked))
	}
}

func (d *Service) record(ctx context.Context, id string) (workload.Record, error) {
	e, err := d.kv.Get(ctx, workload.RecordKey(id))
	if err != nil {
		return workload.Record{}, err
	}
	if !e.Exists() {
		return workload.Record{}, &UnknownJobError{ID: id}
	}
	record, err := workload.DecodeRecord(id, e.Value())
	if err == nil && !d.caller.CanAccess(record.Customer) {
		return workload.Record{}, &UnknownJobError{ID: id, others: true}
	}
	return record, err
}

// Cancel cancels a job and returns once that is stored. A job that is over stays
// as it ended. It fails with an *UnknownJobError if there is no such job.
func (d *Service) Cancel(ctx context.Context, q *workload.Queue, id string) error {
	if known, err := d.owners.Cancel(ctx, q.Pool, id, d.caller); err == nil && known {
		event.JobCancelled.Log(d.logger, slog.String("job", id), slog.String("by", "owner"))
		return nil
	}
	record, err := d.record(ctx, id)
	var unknown *UnknownJobError
	if errors.As(err, &unknown) {
		if !unknown.others {
			err = d.bury(ctx, q, id)
		}
		d.logUnknown(err, q, id, "cancel")
		return err
	}
	if err != nil {
		return err
	}
	if record.Ended != "" {
		return nil
	}
	return d.leaveCancel(ctx, record.Pool, id)
}

// leaveCancel leaves a cancellation in the store for the owner.
func (d *Service) leaveCancel(ctx context.Context, pool, id string) error {
	txn := pointport.Txn{Put: []pointport.Put{{Key: workload.CancelKey(pool, id), Value: []byte("cancel")}}}
	for {
		_, err := d.kv.Commit(ctx, txn)
		if err == nil {
			event.JobCancelled.Log(d.logger, slog.String("job", id), slog.String("by", "store"))
			return nil
		}
		select {
		case <-d.clock.After(unsureRetry):
		case <-ctx.Done():
			return &AmbiguousError{ID: id, Err: err}
		}
	}
}

// bury takes the identity of a job that nobody has submitted yet, so that a
// submission that is still under way cannot bring it to life after its customer
// was told that there is no such job.
func (d *Service) bury(ctx context.Context, q *workload.Queue, id string) error {
	record, err := workload.Record{Pool: q.Pool, Queue: q.Name, Customer: d.caller.Name, Ended: workload.Cancelled}.Encode()
	if err != nil {
		return err
	}
	kept, err := d.commit(ctx, id, pointport.Txn{
		If:  []pointport.Condition{{Key: workload.RecordKey(id)}},
		Put: []pointport.Put{{Key: workload.RecordKey(id), Value: record}},
	})
	if err != nil {
		return err
	}
	if kept.before && !d.caller.CanAccess(kept.customer) {
		return &UnknownJobError{ID: id, others: true}
	}
	if kept.before {
		return d.leaveCancel(ctx, cmp.Or(kept.pool, q.Pool), id)
	}
	return &UnknownJobError{ID: id}
}

// Waiting returns how many jobs of a queue have not begun.
func (d *Service) Waiting(ctx context.Context, q *workload.Queue) (int, error) {
	return d.owners.Waiting(ctx, q.Pool, q.Name)
}
