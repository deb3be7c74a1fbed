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

// This file defines the book of claims and the group commit.

const (
	// DefaultPartitions is how many partitions the keys are split over. Every
	// entry instance must use the same number; docs/design/claims.md says why
	// it is small.
	DefaultPartitions = 1
	// DefaultSegmentSize is how many records seal a segment. It belongs to the stored
	// form: entry instances that disagree on it would not see each other's
	// claims, so it must not change while older ones run.
	DefaultSegmentSize = 256
	// DefaultRetention is how long claims are kept.
	DefaultRetention = 24 * time.Hour
	// DefaultWriteRate is how many writes a second one entry instance makes.
	DefaultWriteRate = 6
	// DefaultBatchDelay is how long a claim waits for others to share its write.
	DefaultBatchDelay = 3 * time.Millisecond
	// maxGather bounds how long claims gather after other writers were first.
	maxGather = 200 * time.Millisecond
	// outcomeDelay is how long an outcome waits for a write of claims.
	outcomeDelay = time.Second
	// settleFor is how long a batch is tried before its requests are refused.
	settleFor = 2 * time.Second
	// maxPending bounds the claims that wait in one partition.
	maxPending = 4096
	// maxBatch bounds the claims in one write.
	maxBatch = 256
	// InProgressTimeout is how long a claim may be in progress before its outcome
	// counts as unknown. No request lasts as long.
	InProgressTimeout = 2 * time.Hour
)

// errBusy is the cause of a refusal for lack of room.
var errBusy = errors.New("too many claims wait")

// errStopped is the cause of a refusal because the book is closed.
var errStopped = errors.New("the book of claims is closed")

// errLate is the cause of a refusal because a write took too long.
var errLate = errors.New("the claim took too long to be written")

// A Store is what the book needs of the platform's service.
type Store interface {
	pointport.Store
	pointport.Deleter
}

// Counts holds how much a book has done.
type Counts struct {
	Claims    int64 // claims granted
	Taken     int64 // claims refused because the key was taken
	Failed    int64 // claims refused because the store could not be reached
	Writes    int64 // compare-and-swaps tried
	Conflicts int64 // compare-and-swaps that another writer beat
}

// A Claimer claims keys for one entry instance. It is safe for concurrent use.
type Claimer struct {
	store      Store
	clock      pointport.Clock
	logger     *slog.Logger
	owner      string
	partitions int
	size       int
	keep       time.Duration
	gather     time.Duration
	limiter    *rate.Limiter

	desks []*desk
	cut   atomic.Bool
	serial,
	claims, taken, failed, writes, conflicts atomic.Int64
}

// An Option changes a Book.
type Option func(*Claimer)

// WithLogger sets where events go.
func WithLogger(l *slog.Logger) Option { return func(b *Claimer) { b.logger = l } }

// WithPartitions sets how many partitions there are.
func WithPartitions(n int) Option { return func(b *Claimer) { b.partitions = n } }

// WithSegmentSize sets how many records seal a segment.
func WithSegmentSize(n int) Option { return func(b *Claimer) { b.size = n } }

// WithRetention sets how long claims are kept.
func WithRetention(d time.Duration) Option { return func(b *Claimer) { b.keep = d } }

// WithWriteRate sets how many writes a second the book makes, and how long a
// claim waits for others to share its write.
func WithWriteRate(perSecond float64, gather time.Duration) Option {
	return func(b *Claimer) {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		b.gather = gather
	}
}

// Start returns a book that works until ctx ends. The owner names this process
// and no other, also not its predecessor on the same instance.
func Start(ctx context.Context, store Store, clock pointport.Clock, owner string, options ...Option) *Claimer {
	b := &Claimer{
		store: store, clock: clock, owner: owner, logger: slog.New(slog.DiscardHandler),
		partitions: DefaultPartitions, size: DefaultSegmentSize, keep: DefaultRetention,
	}
	WithWriteRate(DefaultWriteRate, DefaultBatchDelay)(b)
	for _, o := range options {
		o(b)
	}
	for n := range b.partitions {
		d := &desk{
			book: b, wake: make(chan struct{}, 1), window: b.gather,
			part:      &partition{store: store, clock: clock, number: n, size: b.size, keep: b.keep},
			abandoned: make(map[uint64]string),
		}
		b.desks = append(b.desks, d)
		go func() { d.run(ctx) }()
	}
	return b
}

// Counts returns how much the book has done.
func (b *Claimer) Counts() Counts {
	return Counts{b.claims.Load(), b.taken.Load(), b.failed.Load(), b.writes.Load(), b.conflicts.Load()}
}

func (b *Claimer) desk(k Key) *desk {
	return b.desks[binary.BigEndian.Uint32(k[:])%uint32(len(b.desks))]
}

// A Ticket is the right to run the work of a key, once.
type Ticket struct {
	key   Key
	token string
	desk  *desk
}

// Claim claims a key. It fails with a *TakenError if the key is claimed
// already, and with an *pointport.UnavailableError if that cannot be told; in
// both cases the work must not be run.
func (b *Claimer) Claim(ctx context.Context, key Key) (Ticket, error) {
	d := b.desk(key)
	p := &pending{key: key, done: make(chan error, 1)}
	if !d.push(p) {
		return Ticket{}, &pointport.UnavailableError{Op: "claim", Err: errBusy}
	}
	var err error
	select {
	case err = <-p.done:
	case <-ctx.Done():
		if !p.abandon() {
			err = <-p.done
			break
		}
		err = &pointport.UnavailableError{Op: "claim", Err: ctx.Err()}
	}
	b.count(err)
	if err != nil {
		return Ticket{}, err
	}
	return Ticket{key, p.token, d}, nil
}

func (b *Claimer) count(err error) {
	var taken *TakenError
	switch {
	case err == nil:
		b.claims.Add(1)
	case errors.As(err, &taken):
		b.taken.Add(1)
	default:
		b.failed.Add(1)
	}
}

// RecordOutcome records how the work of a ticket ended. Released frees the key, and
// is only for work of which nothing was sent.
func (t Ticket) RecordOutcome(s State, status int) {
	t.desk.settle(record{Key: t.key, At: t.desk.book.clock.Now().Unix(), State: s, Status: status, Token: t.token})
}

// A pending is a claim that waits for its write.
type pending struct {
	key   Key
	token string     // the write that granted it
	done  chan error // holds one

	mu       sync.Mutex
	answered bool
	gone     bool
}

// answer gives the claim its result. It reports whether anyone still waits.
func (p *pending) answer(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone || p.answered {
		return !p.gone
	}
	p.answered = true
	p.done <- err
	return true
}

// abandon marks that nobody waits any more, unless an answer has come.
func (p *pending) abandon() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = !p.answered
	return p.gone
}

// A desk gathers the claims of one partition and writes them.
type desk struct {
	book   *Claimer
	part   *partition
	wake   chan struct{}
	window time.Duration

	mu       sync.Mutex
	waiting  []*pending
	outcomes []record

	// abandoned holds tokens, by digest, of writes that were given up on while
	// their effect was unknown. Their claims are released once they show up.
	abandoned map[uint64]string
}

func (d *desk) push(p *pending) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) >= maxPending {
		return false
	}
	d.waiting = append(d.waiting, p)
	d.signal()
	return true
}

func (d *desk) settle(r record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, r)
	d.signal()
}

// latest returns what is known of a key, with an outcome that waits for its
// write, in this batch or after it.
func (d *desk) latest(key Key, k known, batch []record) known {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range slices.Concat(batch, d.outcomes) {
		if o.Key == key && digest(o.Token) == k.token && o.State != Released {
			k = k.withOutcome(o)
		}
	}
	return k
}

func (d *desk) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run writes batches until ctx ends.
func (d *desk) run(ctx context.Context) {
	defer d.refuseAll()
	for ctx.Err() == nil {
		select {
		case <-d.wake:
		case <-ctx.Done():
			return
		}
		d.pace(ctx)
		d.round(ctx)
	}
}

// pace waits until the next write may be made: a little for others to share
// it, longer while only outcomes wait, and as the budget of writes allows.
func (d *desk) pace(ctx context.Context) {
	d.mu.Lock()
	onlyOutcomes := len(d.waiting) == 0
	d.mu.Unlock()
	if onlyOutcomes {
		select {
		case <-d.book.clock.After(outcomeDelay):
		case <-d.wake:
		case <-ctx.Done():
			return
		}
	}
	d.awaitWrite(ctx, d.window)
}

// awaitWrite waits until the budget allows one more write, and at least for
// least.
func (d *desk) awaitWrite(ctx context.Context, least time.Duration) {
	now := d.book.clock.Now()
	wait := max(least, d.book.limiter.ReserveN(now, 1).DelayFrom(now))
	select {
	case <-d.book.clock.After(wait):
	case <-ctx.Done():
	}
}

// round writes one batch.
func (d *desk) round(ctx context.Context) {
	batch, outcomes := d.takeBatch()
	if len(batch) == 0 && len(outcomes) == 0 {
		return
	}
	deadline := d.book.clock.Now().Add(settleFor)
	b := &commit{desk: d, claims: batch, outcomes: outcomes, deadline: deadline,
		token: fmt.Sprintf("%s.%d", d.book.owner, d.book.serial.Add(1))}
	err := b.run(ctx)
	d.report(err)
	if err != nil {
		b.giveUp(err)
	}
	if err == nil {
		d.sweep(ctx)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) > 0 || len(d.outcomes) > 0 {
		d.signal()
	}
}

func (d *desk) takeBatch() ([]*pending, []record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(len(d.waiting), maxBatch)
	batch := d.waiting[:n:n]
	d.waiting = d.waiting[n:]
	if len(d.waiting) == 0 {
		d.waiting = nil
	}
	outcomes := d.outcomes
	d.outcomes = nil
	return batch, outcomes
}

// report logs when the store is lost and when it is back.
func (d *desk) report(err error) {
	switch {
	case err != nil && !d.book.cut.Swap(true):
		event.ClaimsUnavailable.Log(d.book.logger, slog.Any("error", err))
	case err == nil && d.book.cut.Swap(false):
		event.ClaimsRecovered.Log(d.book.logger)
	}
}

// sweep releases abandoned claims that have shown up, and drops old segments.
func (d *desk) sweep(ctx context.Context) {
	if len(d.abandoned) > 0 {
		d.releaseAbandoned()
	}
	if err := d.part.expire(ctx, d.book.clock.Now()); err != nil {
		d.report(err)
	}
}

func (d *desk) releaseAbandoned() {
	seen := make(map[uint64]bool)
	for k, v := range d.part.index {
		token, ours := d.abandoned[v.token]
		if ours && v.stateOf() == InProgress {
			seen[v.token] = true
			d.settle(record{Key: k, At: d.book.clock.Now().Unix(), State: Released, Token: token})
		}
	}
	for token := range seen {
		delete(d.abandoned, token)
	}
}

// refuseAll answers whoever still waits when the book closes.
func (d *desk) refuseAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.waiting {
		p.answer(&pointport.UnavailableError{Op: "claim", Err: errStopped})
	}
	d.waiting = nil
}
