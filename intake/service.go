// Package intake accepts, refuses and cancels customers' jobs at any entry instance,
// and returns their status.
//
// A job is accepted by one transaction, which reserves its identity and stores the
// job for the owner of its pool. The owner is notified by a message, and by its
// watch of the store if the message is lost. The status of a job comes from the
// owner, or from the store if the owner does not know the job or is unreachable.
//
// Invariants:
//
//   - A job is stored before its acceptance is returned.
//   - An identity stands for one job, however often and at whichever entry instance
//     it is submitted.
//   - A refusal is returned only if nothing was stored, and nothing can be stored
//     later by the same submission.
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
	"github.com/pointport/pointport/quota"
	"github.com/pointport/pointport/workload"
)

// This file defines the Service: the status and the cancellation of jobs, and the
// errors for jobs that are not accepted.

const (
	// ambiguousRetryInterval is the time after which a change whose effect is unknown is
	// sent to the store again.
	ambiguousRetryInterval = 40 * time.Millisecond
	// RetryAfter is after which time a refused customer should retry. Outages of
	// the store last for seconds.
	//
	// It is the same for all: customers arrive spread over the second, and so do their retries,
	// see TestLoadAfterOutage of package schedule. Retry-After has whole seconds, and a longer
	// delay would come too close to the time after which customers give up.
	RetryAfter = time.Second
)

// OwnerClient is a client of the owners of pools, which run on this instance or on
// another one.
type OwnerClient interface {
	// NotifySubmitted notifies a pool's owner of a job that was accepted by the change
	// with revision at. It does not block.
	NotifySubmitted(pool, id, customer string, accepted []byte, at pointport.Revision)
	// BacklogRefusal returns for how long a pool's owner accepts no more jobs of a customer, or
	// zero if it accepts them. It does not block.
	BacklogRefusal(pool, customer string) time.Duration
	// Cancel asks a pool's owner to cancel a job. It returns false if the owner does not
	// know the job, or the caller may not access it.
	Cancel(ctx context.Context, pool, id string, by customer.Caller) (bool, error)
	// Status asks a pool's owner for the status of a job. It returns false if the owner
	// does not know the job, or the caller may not access it.
	Status(ctx context.Context, pool, id string, by customer.Caller) (workload.Status, bool, error)
	// StoreAtPeer asks a peer to store a job and returns the peer's name. It fails with a
	// *RefusedError or an *AmbiguousError.
	StoreAtPeer(ctx context.Context, s Submission) (peer string, err error)
	// Waiting asks a pool's owner for the number of jobs of a queue that have not begun.
	Waiting(ctx context.Context, pool, queue string) (int, error)
}

// A Service accepts, refuses and cancels jobs and returns their status, on behalf of
// one caller. It is safe for concurrent use.
type Service struct {
	kv     pointport.KV
	owners OwnerClient
	clock  pointport.Clock
	// reachable reports whether the store answers at present.
	reachable func() bool
	// lowMemory reports whether this member is too low on memory to store jobs.
	lowMemory func() bool
	// customers returns the customers in force and the version of the configuration that
	// lists them.
	customers func() (*customer.Directory, int64)
	// caps returns the caps of customers in force.
	caps   func() *quota.Policy
	caller customer.Caller
	// ages derives when jobs were first submitted; nil if jobs count from their acceptance.
	ages   *SubmissionAges
	logger *slog.Logger
}

// An Option configures a Service.
type Option func(*Service)

// WithLowMemory sets the function that reports whether this member is too low on
// memory to store jobs. While it is, a job is stored by a peer or refused at once.
func WithLowMemory(lowMemory func() bool) Option {
	return func(svc *Service) { svc.lowMemory = lowMemory }
}

// WithCustomers sets the function that returns the customers in force and the
// version of the configuration that lists them.
func WithCustomers(customers func() (*customer.Directory, int64)) Option {
	return func(svc *Service) { svc.customers = customers }
}

// WithCaps sets the function that returns the caps of customers in force.
func WithCaps(caps func() *quota.Policy) Option {
	return func(svc *Service) { svc.caps = caps }
}

// WithSubmissionAges sets what derives when jobs were first submitted. Without it, jobs count from
// their acceptance.
func WithSubmissionAges(ages *SubmissionAges) Option {
	return func(svc *Service) { svc.ages = ages }
}

// NewService returns a service for callers without a key. reachable reports whether
// the store answers at present.
func NewService(kv pointport.KV, owners OwnerClient, clock pointport.Clock, reachable func() bool, logger *slog.Logger, options ...Option) *Service {
	svc := &Service{kv: kv, owners: owners, clock: clock, reachable: reachable, lowMemory: func() bool { return false }, logger: logger}
	svc.customers = func() (*customer.Directory, int64) { return nil, 0 }
	svc.caps = func() *quota.Policy { return nil }
	for _, o := range options {
		o(svc)
	}
	return svc
}

// ForCaller returns a copy of the service that acts on behalf of a caller: it accesses
// only the jobs that the caller can access.
func (svc *Service) ForCaller(c customer.Caller) *Service {
	scoped := *svc
	scoped.caller = c
	return &scoped
}

// A RefusedError means that a job was not accepted and never runs by this
// submission.
type RefusedError struct {
	ID         string
	RetryAfter time.Duration // after which time to retry
	Cause      string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("job %s is not taken: %s; come back in %v", e.ID, e.Cause, e.RetryAfter)
}

// An AmbiguousError means that it is unknown whether a change took effect.
type AmbiguousError struct {
	ID  string
	Err error
}

func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("job %s: effect unknown: %v", e.ID, e.Err)
}

// Unwrap returns the error of the change.
func (e *AmbiguousError) Unwrap() error { return e.Err }

// An UnknownJobError means that there is no such job, or that its caller may not
// know of it.
type UnknownJobError struct {
	ID string
	// otherCustomer is set if there is such a job, but of another customer.
	otherCustomer bool
}

func (e *UnknownJobError) Error() string { return fmt.Sprintf("there is no job %s", e.ID) }

// A BacklogError means that a job was not accepted, and never runs, because its
// customer's backlog already takes longer to run than any waiting job is of use.
type BacklogError struct {
	ID         string
	Customer   string
	RetryAfter time.Duration // after which time to retry
}

func (e *BacklogError) Error() string {
	return fmt.Sprintf("job %s is not taken: what %s has waiting already takes too long; come back in %v", e.ID, e.Customer, e.RetryAfter)
}

// A TakenError means that a job was not accepted because its identity belongs to a
// job of another customer.
type TakenError struct {
	ID string
}

func (e *TakenError) Error() string {
	return fmt.Sprintf("job %s is not taken: its identity is in use", e.ID)
}

// A RevokedError means that a job was not accepted because the key that its caller
// presented is no longer valid.
type RevokedError struct {
	ID string
}

func (e *RevokedError) Error() string {
	return fmt.Sprintf("job %s is not taken: the key is not in force any more", e.ID)
}

// Status returns the status of a job. It fails with an *UnknownJobError if there is
// no such job, or with the error of the store if neither the owner nor the store
// answers.
func (svc *Service) Status(ctx context.Context, q *workload.Queue, id string) (workload.Status, error) {
	status, known, ownerErr := svc.owners.Status(ctx, q.Pool, id, svc.caller)
	if ownerErr == nil && known {
		return status, nil
	}
	status, err := svc.storedStatus(ctx, q, id)
	if err != nil {
		svc.logUnknown(err, q, id, "status")
		return "", err
	}
	event.StatusRead.Log(svc.logger, slog.String("job", id), slog.String("queue", q.Name), slog.String("state", string(status)), slog.Any("reason", ownerErr))
	return status, nil
}

// storedStatus returns the status of a job from the store. If the job's queue has
// been assigned to another pool since the job was accepted, the owner of the earlier
// pool is asked first.
func (svc *Service) storedStatus(ctx context.Context, q *workload.Queue, id string) (workload.Status, error) {
	record, err := svc.record(ctx, id)
	if err != nil {
		return "", err
	}
	if record.Ended != "" {
		return record.Ended, nil
	}
	if record.Pool != q.Pool {
		if s, known, err := svc.owners.Status(ctx, record.Pool, id, svc.caller); err == nil && known {
			return s, nil
		}
	}
	progress, err := svc.kv.Get(ctx, workload.ProgressKey(record.Pool, id))
	if err != nil {
		return "", err
	}
	if progress.Exists() {
		return workload.Running, nil
	}
	return workload.Queued, nil
}

// logUnknown logs an event if err is an *UnknownJobError. asked is the operation.
func (svc *Service) logUnknown(err error, q *workload.Queue, id, asked string) {
	var unknown *UnknownJobError
	if errors.As(err, &unknown) {
		event.JobUnknown.Log(svc.logger, slog.String("job", id), slog.String("queue", q.Name), slog.String("asked", asked))
	}
}

// record returns the stored record of a job. It fails with an *UnknownJobError if
// there is none, or the caller may not access it.
func (svc *Service) record(ctx context.Context, id string) (workload.Record, error) {
	e, err := svc.kv.Get(ctx, workload.RecordKey(id))
	if err != nil {
		return workload.Record{}, err
	}
	if !e.Exists() {
		return workload.Record{}, &UnknownJobError{ID: id}
	}
	record, err := workload.DecodeRecord(id, e.Value())
	if err == nil && !svc.caller.CanAccess(record.Customer) {
		return workload.Record{}, &UnknownJobError{ID: id, otherCustomer: true}
	}
	return record, err
}

// Cancel cancels a job and returns once the cancellation is stored. It does not
// change a job that has ended. It fails with an *UnknownJobError if there is no such
// job, and with an *AmbiguousError if ctx ends while the effect is unknown.
func (svc *Service) Cancel(ctx context.Context, q *workload.Queue, id string) error {
	if known, err := svc.owners.Cancel(ctx, q.Pool, id, svc.caller); err == nil && known {
		event.JobCancelled.Log(svc.logger, slog.String("job", id), slog.String("by", "owner"))
		return nil
	}
	record, err := svc.record(ctx, id)
	var unknown *UnknownJobError
	if errors.As(err, &unknown) {
		if !unknown.otherCustomer {
			err = svc.reserveAsCancelled(ctx, q, id)
		}
		svc.logUnknown(err, q, id, "cancel")
		return err
	}
	if err != nil {
		return err
	}
	if record.Ended != "" {
		return nil
	}
	return svc.storeCancel(ctx, record.Pool, id)
}

// storeCancel stores a cancellation for the owner. It retries until ctx ends, and then
// fails with an *AmbiguousError.
func (svc *Service) storeCancel(ctx context.Context, pool, id string) error {
	txn := pointport.Txn{Put: []pointport.Put{{Key: workload.CancelKey(pool, id), Value: []byte("cancel")}}}
	for {
		_, err := svc.kv.Commit(ctx, txn)
		if err == nil {
			event.JobCancelled.Log(svc.logger, slog.String("job", id), slog.String("by", "store"))
			return nil
		}
		select {
		case <-svc.clock.After(ambiguousRetryInterval):
		case <-ctx.Done():
			return &AmbiguousError{ID: id, Err: err}
		}
	}
}

// reserveAsCancelled reserves the identity of a job that does not exist, with a
// record of a cancelled job. Otherwise a submission still in progress could create
// the job after its customer was told that it does not exist. It returns an
// *UnknownJobError on success. If the job exists by now, it stores a cancellation.
func (svc *Service) reserveAsCancelled(ctx context.Context, q *workload.Queue, id string) error {
	record, err := workload.Record{Pool: q.Pool, Queue: q.Name, Customer: svc.caller.Name, Ended: workload.Cancelled}.Encode()
	if err != nil {
		return err
	}
	result, err := svc.commit(ctx, id, pointport.Txn{
		If:  []pointport.Condition{{Key: workload.RecordKey(id)}},
		Put: []pointport.Put{{Key: workload.RecordKey(id), Value: record}},
	})
	if err != nil {
		return err
	}
	if result.existed && !svc.caller.CanAccess(result.customer) {
		return &UnknownJobError{ID: id, otherCustomer: true}
	}
	if result.existed {
		return svc.storeCancel(ctx, cmp.Or(result.pool, q.Pool), id)
	}
	return &UnknownJobError{ID: id}
}

// Waiting returns the number of jobs of a queue that have not begun.
func (svc *Service) Waiting(ctx context.Context, q *workload.Queue) (int, error) {
	return svc.owners.Waiting(ctx, q.Pool, q.Name)
}
