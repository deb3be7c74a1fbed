package claim

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the Claimer and the batchers that write claims by group commit.

const (
	// DefaultPartitions is the number of partitions that keys are hashed to.
	// All entry instances must use the same number. See docs/design/claims.md
	// for why it is small.
	DefaultPartitions = 1
	// DefaultSegmentSize is the number of records at which a segment is sealed.
	// It is part of the stored format: entry instances with different values
	// would not see each other's claims, so it must not change while instances
	// with another value run.
	DefaultSegmentSize = 256
	// DefaultRetention is how long a claim is kept, so how long its key cannot
	// be used again.
	DefaultRetention = 24 * time.Hour
	// DefaultWriteRate is the maximum rate of writes by one entry instance, per
	// second.
	DefaultWriteRate = 6
	// DefaultBatchDelay is how long a claim waits for other claims to share its
	// write.
	DefaultBatchDelay = 3 * time.Millisecond
	// maxBatchDelay bounds the delay after conflicts with other writers have
	// lengthened it.
	maxBatchDelay = 200 * time.Millisecond
	// outcomeDelay is how long an outcome waits for claims to share its write.
	outcomeDelay = time.Second
	// batchTimeout is how long the write of a batch is retried before its claims
	// are refused.
	batchTimeout = 2 * time.Second
	// maxPending bounds the number of claims that wait in one partition.
	maxPending = 4096
	// maxBatch bounds the number of claims in one write.
	maxBatch = 256
	// InProgressTimeout is how long a claim may be in progress before its outcome
	// is reported as unknown. It is longer than any request lasts.
	InProgressTimeout = 2 * time.Hour
)

// errQueueFull is the cause of a refusal when maxPending claims already wait in the
// partition.
var errQueueFull = errors.New("too many claims are waiting")

// errClosed is the cause of a refusal when the Claimer stops.
var errClosed = errors.New("the claimer is stopped")

// errWriteTimeout is the cause of a refusal when a batch is not written before its
// deadline.
var errWriteTimeout = errors.New("the claim was not written in time")

// A Store holds the claims in the platform's key-value service.
type Store interface {
	pointport.Store
	pointport.Deleter
}

// Counts holds the counters of a Claimer.
type Counts struct {
	Claims    int64 // claims granted
	Taken     int64 // claims refused because the key was claimed before
	Failed    int64 // claims refused for any other reason, such as an unreachable store
	Writes    int64 // compare-and-swaps attempted
	Conflicts int64 // compare-and-swaps that lost to another writer
}

// A Claimer claims idempotency keys for one entry instance. It is safe for
// concurrent use.
type Claimer struct {
	store       Store
	clock       pointport.Clock
	logger      *slog.Logger
	owner       string
	partitions  int
	segmentSize int
	retention   time.Duration
	batchDelay  time.Duration
	limiter     *rate.Limiter

	batchers  []*batcher
	storeLost atomic.Bool
	serial,
	claims, taken, failed, writes, conflicts atomic.Int64
}

// An Option configures a Claimer.
type Option func(*Claimer)

// WithLogger sets the logger for events. By default they are discarded.
func WithLogger(l *slog.Logger) Option { return func(c *Claimer) { c.logger = l } }

// WithPartitions sets the number of partitions. The default is DefaultPartitions.
func WithPartitions(n int) Option { return func(c *Claimer) { c.partitions = n } }

// WithSegmentSize sets the number of records at which a segment is sealed. The
// default is DefaultSegmentSize.
func WithSegmentSize(n int) Option { return func(c *Claimer) { c.segmentSize = n } }

// WithRetention sets how long claims are kept. The default is DefaultRetention.
func WithRetention(d time.Duration) Option { return func(c *Claimer) { c.retention = d } }

// WithWriteRate sets the maximum rate of writes per second, and how long a claim
// waits for other claims to share its write.
func WithWriteRate(perSecond float64, batchDelay time.Duration) Option {
	return func(c *Claimer) {
		c.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		c.batchDelay = batchDelay
	}
}

// Start returns a Claimer that runs until ctx ends. The owner must be unique to
// this process: a process that ran earlier on the same instance must have used
// another one, because the owner is part of the token that identifies a write.
func Start(ctx context.Context, store Store, clock pointport.Clock, owner string, options ...Option) *Claimer {
	c := &Claimer{
		store: store, clock: clock, owner: owner, logger: slog.New(slog.DiscardHandler),
		partitions: DefaultPartitions, segmentSize: DefaultSegmentSize, retention: DefaultRetention,
	}
	WithWriteRate(DefaultWriteRate, DefaultBatchDelay)(c)
	for _, o := range options {
		o(c)
	}
	for n := range c.partitions {
		b := &batcher{
			claimer: c, wake: make(chan struct{}, 1), delay: c.batchDelay,
			partition: &partition{store: store, clock: clock, number: n, segmentSize: c.segmentSize, retention: c.retention},
			abandoned: make(map[uint64]string),
		}
		c.batchers = append(c.batchers, b)
		go func() { b.run(ctx) }()
	}
	return c
}

// Counts returns the current values of the counters.
func (c *Claimer) Counts() Counts {
	return Counts{c.claims.Load(), c.taken.Load(), c.failed.Load(), c.writes.Load(), c.conflicts.Load()}
}

// batcherOf returns the batcher of the partition that k belongs to.
func (c *Claimer) batcherOf(k Key) *batcher {
	return c.batchers[binary.BigEndian.Uint32(k[:])%uint32(len(c.batchers))]
}

// A Ticket grants the right to run the work of a claimed key once.
type Ticket struct {
	key     Key
	token   string
	batcher *batcher
}

// Claim claims a key. It returns a *TakenError if the key is already claimed,
// and a *pointport.UnavailableError if the claim could not be made, for example
// because the store is unreachable or ctx ended. In both cases the caller must
// not run the work.
func (c *Claimer) Claim(ctx context.Context, key Key) (Ticket, error) {
	b := c.batcherOf(key)
	p := &pending{key: key, done: make(chan error, 1)}
	err := b.enqueue(p)
	if err == nil {
		err = p.wait(ctx)
	} else {
		err = &pointport.UnavailableError{Op: "claim", Err: err}
	}
	c.countResult(err)
	if err != nil {
		return Ticket{}, err
	}
	return Ticket{key, p.token, b}, nil
}

// countResult counts the result of one claim.
func (c *Claimer) countResult(err error) {
	var taken *TakenError
	switch {
	case err == nil:
		c.claims.Add(1)
	case errors.As(err, &taken):
		c.taken.Add(1)
	default:
		c.failed.Add(1)
	}
}

// RecordOutcome records how the work of the ticket ended, and the status of the
// answer if it ran. It does not wait for the write. The state Released frees the
// key, so it is allowed only if the work did not run.
func (t Ticket) RecordOutcome(s State, status int) {
	t.batcher.addOutcome(record{Key: t.key, At: t.batcher.claimer.clock.Now().Unix(), State: s, Status: status, Token: t.token})
}

// A pending is a claim that waits for its result.
type pending struct {
	key   Key
	token string     // the token of the write that granted it
	done  chan error // receives the result; buffered, so that the send does not block

	mu        sync.Mutex
	answered  bool
	abandoned bool
}

// wait returns the result of the claim. If ctx ends first, it abandons the claim and returns a
// *pointport.UnavailableError.
func (p *pending) wait(ctx context.Context) error {
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
	}
	if !p.abandon() {
		return <-p.done
	}
	return &pointport.UnavailableError{Op: "claim", Err: ctx.Err()}
}

// answer delivers the result of the claim, unless it already has one. It reports
// whether the caller still waits or has received a result; false means that the
// caller abandoned the claim.
func (p *pending) answer(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned || p.answered {
		return !p.abandoned
	}
	p.answered = true
	p.done <- err
	return true
}

// abandon marks the claim as no longer waited for, unless its result was
// delivered already. It reports whether the claim is abandoned.
func (p *pending) abandon() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = !p.answered
	return p.abandoned
}

// A batcher collects the claims and outcomes of one partition and writes them in
// batches.
type batcher struct {
	claimer   *Claimer
	partition *partition
	wake      chan struct{} // signals that claims or outcomes wait; holds one signal
	delay     time.Duration // current batch delay, which conflicts lengthen

	mu       sync.Mutex
	waiting  []*pending
	outcomes []record
	stopped  bool // whether run has ended, so that no batch is written any more

	// abandoned maps digests to tokens, for the writes that failed with an unknown
	// effect. If their claims appear in the partition later, they are released.
	abandoned map[uint64]string
}

// enqueue adds a claim to the next batches. It fails with errQueueFull or errClosed.
func (b *batcher) enqueue(p *pending) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return errClosed
	}
	if len(b.waiting) >= maxPending {
		return errQueueFull
	}
	b.waiting = append(b.waiting, p)
	b.signal()
	return nil
}

// addOutcome adds an outcome to the next batch.
func (b *batcher) addOutcome(r record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes = append(b.outcomes, r)
	b.signal()
}

// withPendingOutcome returns the index entry k of a key, updated with an outcome
// that is not written yet. The batch holds the outcomes that are being written.
func (b *batcher) withPendingOutcome(key Key, k indexEntry, batch []record) indexEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range slices.Concat(batch, b.outcomes) {
		if o.Key == key && digest(o.Token) == k.token && o.State != Released {
			k = k.withOutcome(o)
		}
	}
	return k
}

// signal wakes run. It does not block: one wake-up covers all that is queued.
func (b *batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run writes batches until ctx ends.
func (b *batcher) run(ctx context.Context) {
	defer b.refuseWaiting()
	for ctx.Err() == nil {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return
		}
		b.awaitTurn(ctx)
		b.writeBatch(ctx)
	}
}

// awaitTurn waits until the next write may be made: for at least the batch delay,
// so that other claims can share the write, for outcomeDelay before that if only
// outcomes wait, and until the write rate allows it.
func (b *batcher) awaitTurn(ctx context.Context) {
	b.mu.Lock()
	onlyOutcomes := len(b.waiting) == 0
	b.mu.Unlock()
	if onlyOutcomes {
		select {
		case <-b.claimer.clock.After(outcomeDelay):
		case <-b.wake:
		case <-ctx.Done():
			return
		}
	}
	b.awaitWriteBudget(ctx, b.delay)
}

// awaitWriteBudget waits until the write rate allows one more write, and for
// minWait at least.
func (b *batcher) awaitWriteBudget(ctx context.Context, minWait time.Duration) {
	now := b.claimer.clock.Now()
	wait := max(minWait, b.claimer.limiter.ReserveN(now, 1).DelayFrom(now))
	select {
	case <-b.claimer.clock.After(wait):
	case <-ctx.Done():
	}
}

// writeBatch writes one batch of claims and outcomes. If that fails, its claims
// are refused and its outcomes stay queued.
func (b *batcher) writeBatch(ctx context.Context) {
	batch, outcomes := b.takeBatch()
	if len(batch) == 0 && len(outcomes) == 0 {
		return
	}
	deadline := b.claimer.clock.Now().Add(batchTimeout)
	c := &commit{batcher: b, claims: batch, outcomes: outcomes, deadline: deadline,
		token: fmt.Sprintf("%s.%d", b.claimer.owner, b.claimer.serial.Add(1))}
	err := c.run(ctx)
	b.logStoreState(err)
	if err != nil {
		c.fail(err)
	}
	if err == nil {
		b.cleanUp(ctx)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) > 0 || len(b.outcomes) > 0 {
		b.signal()
	}
}

// takeBatch removes and returns up to maxBatch claims and all outcomes.
func (b *batcher) takeBatch() ([]*pending, []record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.waiting), maxBatch)
	batch := b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	if len(b.waiting) == 0 {
		b.waiting = nil
	}
	outcomes := b.outcomes
	b.outcomes = nil
	return batch, outcomes
}

// logStoreState logs an event when writes begin to fail with err, and one when
// they succeed again.
func (b *batcher) logStoreState(err error) {
	switch {
	case err != nil && !b.claimer.storeLost.Swap(true):
		event.ClaimsUnavailable.Log(b.claimer.logger, slog.Any("error", err))
	case err == nil && b.claimer.storeLost.Swap(false):
		event.ClaimsRecovered.Log(b.claimer.logger)
	}
}

// cleanUp releases the abandoned claims that were found in the partition, and
// removes segments that are past the retention.
func (b *batcher) cleanUp(ctx context.Context) {
	if len(b.abandoned) > 0 {
		b.releaseAbandoned()
	}
	if err := b.partition.expire(ctx, b.claimer.clock.Now()); err != nil {
		b.logStoreState(err)
	}
}

// releaseAbandoned releases the claims of abandoned writes that are in progress
// by the index.
func (b *batcher) releaseAbandoned() {
	found := make(map[uint64]bool)
	for k, v := range b.partition.index {
		token, ok := b.abandoned[v.token]
		if ok && v.state() == InProgress {
			found[v.token] = true
			b.addOutcome(record{Key: k, At: b.claimer.clock.Now().Unix(), State: Released, Token: token})
		}
	}
	for token := range found {
		delete(b.abandoned, token)
	}
}

// refuseWaiting refuses the claims that still wait when the Claimer stops, and all later ones.
func (b *batcher) refuseWaiting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, p := range b.waiting {
		p.answer(&pointport.UnavailableError{Op: "claim", Err: errClosed})
	}
	b.waiting = nil
}
