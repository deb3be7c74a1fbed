package intake_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/workload"
)

// jobID is the identity of the job in most tests.
const jobID = "00112233445566aa"

// noOwners is an OwnerClient of owners that know no job. It records the notifications.
type noOwners struct {
	notified []notification
	// forwarded are the jobs that a peer was asked to store, and forwardErr is its answer.
	forwarded  []intake.Submission
	forwardErr error
}

// A notification is a call of NotifySubmitted.
type notification struct {
	pool, id string
	accepted string
	at       pointport.Revision
}

func (o *noOwners) NotifySubmitted(pool, id, _ string, accepted []byte, at pointport.Revision) {
	o.notified = append(o.notified, notification{pool, id, string(accepted), at})
}

func (o *noOwners) BacklogRefusal(string, string) time.Duration { return 0 }

func (o *noOwners) Cancel(context.Context, string, string, customer.Caller) (bool, error) {
	return false, nil
}

func (o *noOwners) Status(context.Context, string, string, customer.Caller) (workload.Status, bool, error) {
	return "", false, nil
}

func (o *noOwners) StoreAtPeer(_ context.Context, s intake.Submission) (string, error) {
	o.forwarded = append(o.forwarded, s)
	return "peer", o.forwardErr
}

func (o *noOwners) Waiting(context.Context, string, string) (int, error) { return 0, nil }

// A manualClock is a clock that a test sets.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Steady() time.Time { return c.Now() }

func (c *manualClock) After(time.Duration) <-chan time.Time {
	out := make(chan time.Time, 1)
	out <- c.Now()
	return out
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// A harness is a service on a store in memory, in manual time.
type harness struct {
	service   *intake.Service
	kv        pointport.KV
	clock     *manualClock
	owners    *noOwners
	reachable bool
}

// newHarness returns a service whose owners know no job.
func newHarness() *harness {
	h := &harness{clock: &manualClock{now: time.Unix(1000, 0).UTC()}, owners: &noOwners{}, reachable: true}
	h.kv = memory.New(h.clock).KV()
	h.service = h.newService()
	return h
}

// newService returns a service on the store of the harness.
func (h *harness) newService(options ...intake.Option) *intake.Service {
	return intake.NewService(h.kv, h.owners, h.clock, func() bool { return h.reachable }, slog.New(slog.DiscardHandler), options...)
}

// oneStep returns a job of one step.
func oneStep(count int) *workload.Spec {
	return &workload.Spec{Steps: []workload.Step{{Count: count, Estimate: time.Second}}}
}

// stored returns the stored form of an open job.
func (h *harness) stored(t *testing.T, pool, id string) pointport.Entry {
	t.Helper()
	e, err := h.kv.Get(context.Background(), workload.OpenKey(pool, id))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// TestRepeatedSubmissionNotifiesOwnerOfStoredJob checks that the owner of a job that was accepted
// before is notified of the job as it is stored, in the pool in which it is stored. With the text of
// a repeated submission that differs, the owner would run another job than the one that a successor
// reads from the store.
func TestRepeatedSubmissionNotifiesOwnerOfStoredJob(t *testing.T) {
	h := newHarness()
	q := &workload.Queue{Name: "q", Pool: "p"}
	if err := h.service.Submit(context.Background(), q, jobID, oneStep(1)); err != nil {
		t.Fatal(err)
	}
	before := h.stored(t, "p", jobID)
	h.clock.advance(time.Second)
	moved := &workload.Queue{Name: "q", Pool: "other"}
	if err := h.service.Submit(context.Background(), moved, jobID, oneStep(7)); err != nil {
		t.Fatal(err)
	}
	if after := h.stored(t, "p", jobID); after.Revision() != before.Revision() {
		t.Errorf("the stored job has changed to %s", after.Value())
	}
	if h.stored(t, "other", jobID).Exists() {
		t.Error("the job was stored in a second pool")
	}
	if len(h.owners.notified) != 2 {
		t.Fatalf("notifications %v, want one for each submission", h.owners.notified)
	}
	if first, second := h.owners.notified[0], h.owners.notified[1]; second != first {
		t.Errorf("the second submission notifies the owner of %+v, want %+v", second, first)
	}
}

// TestRepeatedSubmissionOfEndedJob checks that no owner is notified of a job that has ended: it
// would run again.
func TestRepeatedSubmissionOfEndedJob(t *testing.T) {
	h := newHarness()
	q := &workload.Queue{Name: "q", Pool: "p"}
	if err := h.service.Submit(context.Background(), q, jobID, oneStep(1)); err != nil {
		t.Fatal(err)
	}
	// The owner removes the open job before this member has read its record as ended.
	if _, err := h.kv.Commit(context.Background(), pointport.Txn{Delete: []string{workload.OpenKey("p", jobID)}}); err != nil {
		t.Fatal(err)
	}
	if err := h.service.Submit(context.Background(), q, jobID, oneStep(1)); err != nil {
		t.Fatal(err)
	}
	if len(h.owners.notified) != 1 {
		t.Errorf("notifications %v, want only that of the first submission", h.owners.notified)
	}
}
