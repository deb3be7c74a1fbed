// Package shard carries out what package schedule decides for one pool: it keeps
// the pool's book, writes it to the store, sends orders to the pool's instances
// and looks at what they report.
//
// The model: an Owner works for as long as its member owns the pool. One
// goroutine keeps the book; everything that happens reaches it as a message.
// Calls to the store and to instances run beside it and answer by a message. At
// most one batch is being written and one look at each instance is under way.
//
// Invariants:
//
//   - No start is sent before the batch that names it is stored.
//   - Nothing is sent while this member cannot prove its lease.
//   - Whatever the store refuses because of another owner ends the Owner.
package shard

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/quota"
	"github.com/pointport/pointport/schedule"
)

// This file defines the owner of a pool and its loop.

const (
	// DefaultLease is how far ahead the tasks on an instance are extended. It
	// must outlast the time in which a new owner takes over, and everything on
	// an instance that falls silent waits for it to pass.
	DefaultLease = 4 * time.Second
	// lookWait is how long a look waits for a task to end.
	lookWait = time.Second
	// lookRetry is how long to wait after a look without an answer.
	lookRetry = 150 * time.Millisecond
	// ackWait bounds how long the next look waits for the ends of the last one
	// to be stored.
	ackWait = 120 * time.Millisecond
	// turnGap is the least time between two plans, so that what happens at once
	// is decided at once, and turnGapMost the most: a plan that takes long is made
	// so much less often that plans take a fifth of the time.
	turnGap     = 8 * time.Millisecond
	turnGapMost = 60 * time.Millisecond
	turnShare   = 5
	// writeGap is the least time between two batches when something waits for
	// the next, lazyGap when nothing does. Each batch is a priced call.
	writeGap = 25 * time.Millisecond
	lazyGap  = 60 * time.Millisecond
	// idleTurn is how often the owner looks at its book when nothing happens.
	idleTurn = 250 * time.Millisecond
	// keepEnded is how long the end of a job is remembered by the owner; the
	// store has it longer.
	keepEnded = 3 * time.Minute
	// early is how much before its time an occurrence may begin.
	early = 0
	// inboxSize is how many messages may wait for the owner.
	inboxSize = 256
)

// Incarnations tells which incarnations a pool has.
type Incarnations interface {
	// InPool returns the registrations of the pool's instances, and a channel that
	// is closed when any registration changes.
	InPool(pool string) ([]pointport.Incarnation, <-chan struct{})
	// Coverage returns how well the registrations are known. Whatever was known at its end
	// has closed the channel that Of returned before it.
	Coverage() schedule.RegistryCoverage
}

// Services are what an owner stands on.
type Services struct {
	KV       pointport.KV
	Executor pointport.Executor
	// Advisor knows where steps may run whose queue asks for that; nil if there
	// is none.
	Advisor pointport.Advisor
	Clock   pointport.Clock
	Session *member.Session
	Fleet   Incarnations
	// Quotas returns what the configuration says of customers' caps, and whether that is
	// surely not out of date; nil if nobody has a cap.
	Quotas func() (policy *quota.Policy, fresh bool)
	// Evacuations returns what is known of evacuated availability zones; nil if none ever is.
	Evacuations func() evacuation.Zones
	// Delegates returns a way to the instances of a pool through peers, until ctx ends;
	// nil if there is none.
	Delegates func(ctx context.Context, pool string) Delegates
}

// Delegates are a way to instances through peers. What no peer takes goes directly.
type Delegates interface {
	pointport.Executor
	// Carries reports whether a peer takes orders to an incarnation now. If none does, one
	// is asked to.
	Carries(at pointport.IncarnationID) bool
}

// An Owner keeps one pool. Its methods are safe for concurrent use.
type Owner struct {
	kv       pointport.KV
	executor pointport.Executor
	// delegates sends orders through peers, nil if there are none; delegating says that
	// it does now.
	delegates  Delegates
	delegating bool
	advisor    pointport.Advisor
	clock      pointport.Clock
	session    *member.Session
	fleet      Incarnations
	quotas     func() (*quota.Policy, bool)
	evacuated  func() evacuation.Zones
	logger     *slog.Logger
	own        member.Ownership
	lease      time.Duration
	maxHold    time.Duration
	gangTime   time.Duration
	far        float64

	shownWindow     atomic.Int64
	shownDelegating atomic.Bool
	shownUnfit      atomic.Bool

	inbox chan func(now time.Time)
	ready chan struct{} // closed once the book is loaded
	done  chan struct{} // closed when the owner has ended
	err   error

	// What follows belongs to the loop.
	book   *schedule.Scheduler
	loaded pointport.Revision // as of which the pool's open jobs were read
	// unreadable holds the jobs whose stored progress cannot be read.
	unreadable map[string]bool
	writer     *member.Writer
	writing    bool
	wrote      time.Time
	took       time.Duration // for each transaction of the last write
	planned    time.Time
	turnGap    time.Duration // the least time until the next plan
	looking    map[*schedule.Worker]*look
	lanes      map[*schedule.Worker]*lane
	held       []*lane // those that wait for room in the window
	window     window
	starts     starts
	storing    int // starts in the batch that is being written
	lag        lag
	waiters    []waiter
	removals   []string
	caps       *caps
	// excess holds for how long no more jobs of customers are wanted, as of reckoned.
	excess atomic.Pointer[map[string]time.Duration]
	// uses is what customers use, as of the same time.
	uses     atomic.Pointer[[]schedule.CustomerUse]
	reckoned time.Time
	cancel   context.CancelFunc
}

// An Option changes an Owner.
type Option func(*Owner)

// WithLease sets how far ahead tasks are extended.
func WithLease(d time.Duration) Option { return func(o *Owner) { o.lease = d } }

// WithMaxHold sets for how long an instance runs anything without a further order.
func WithMaxHold(d time.Duration) Option { return func(o *Owner) { o.maxHold = d } }

// WithGangTimeout sets how long an instance waits for the others of a gang.
func WithGangTimeout(d time.Duration) Option { return func(o *Owner) { o.gangTime = d } }

// WithRemoteDataSlowdown sets how many times as long a task takes away from its data.
func WithRemoteDataSlowdown(f float64) Option { return func(o *Owner) { o.far = f } }

const (
	// defaultMaxHold, defaultGangTime and defaultFar stand where the platform does not
	// tell how long an instance runs anything without a further order, how long a gang
	// may take to gather and how much slower a task is away from its data.
	defaultMaxHold  = 10 * time.Second
	defaultGangTime = 3 * time.Second
	defaultFar      = 2.0
)

// Start returns an owner that works until ctx ends or another member owns the
// pool.
func Start(ctx context.Context, s Services, own member.Ownership, logger *slog.Logger, options ...Option) *Owner {
	ctx, cancel := context.WithCancel(ctx)
	o := &Owner{
		kv: s.KV, executor: s.Executor, advisor: s.Advisor, clock: s.Clock, session: s.Session, fleet: s.Fleet, quotas: s.Quotas, evacuated: s.Evacuations, own: own,
		logger: logger.With(slog.String("pool", own.Pool), slog.Int64("fence", int64(own.Fence))),
		lease:  DefaultLease, maxHold: defaultMaxHold, gangTime: defaultGangTime, far: defaultFar,
		inbox: make(chan func(time.Time), inboxSize), ready: make(chan struct{}), done: make(chan struct{}),
		looking: make(map[*schedule.Worker]*look), lanes: make(map[*schedule.Worker]*lane), window: newWindow(), cancel: cancel,
		unreadable: make(map[string]bool),
	}
	for _, option := range options {
		option(o)
	}
	if s.Delegates != nil {
		o.delegates = s.Delegates(ctx, own.Pool)
	}
	go func() {
		defer close(o.done)
		if err := o.run(ctx); o.err == nil {
			o.err = err // else the context has ended because of what is there
		}
		cancel()
	}()
	return o
}

// Done returns a channel that is closed when the owner has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Err returns why the owner has ended.
func (o *Owner) Err() error {
	<-o.done
	return o.err
}

// Ownership returns what the owner owns.
func (o *Owner) Ownership() member.Ownership { return o.own }

// Stop ends the owner.
func (o *Owner) Stop() { o.cancel() }

func (o *Owner) run(ctx context.Context) error {
	at, err := o.load(ctx)
	if err != nil {
		return err
	}
	close(o.ready)
	go o.follow(ctx, at)
	wake := o.clock.After(0)
	_, moved := o.fleet.InPool(o.own.Pool)
	o.refresh()
	for {
		select {
		case f := <-o.inbox:
			f(o.clock.Now())
			o.drain()
		case <-moved:
			moved = o.refresh()
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		moved = o.see(moved)
		if o.book.Fenced() {
			return member.ErrNotOwner
		}
		wake = o.clock.After(o.turn(ctx))
	}
}

// drain handles the messages that wait already.
func (o *Owner) drain() {
	for {
		select {
		case f := <-o.inbox:
			f(o.clock.Now())
		default:
			return
		}
	}
}

// see tells the book how well the registrations are known, once it has been told all that
// was known of them by then. It returns the channel that is closed when any changes.
func (o *Owner) see(moved <-chan struct{}) <-chan struct{} {
	sight := o.fleet.Coverage()
	select {
	case <-moved:
		moved = o.refresh()
	default:
	}
	o.book.SetRegistryCoverage(sight)
	return moved
}

// evacuate tells the book what is known now of evacuated availability zones.
func (o *Owner) evacuate() {
	if o.evacuated != nil {
		o.book.SetEvacuations(o.evacuated())
	}
}

func (o *Owner) refresh() <-chan struct{} {
	all, moved := o.fleet.InPool(o.own.Pool)
	o.book.SetIncarnations(o.clock.Now(), all)
	return moved
}

// do hands a message to the loop; false if the owner has ended.
func (o *Owner) do(f func(now time.Time)) bool {
	sent := o.clock.Now()
	handle := func(now time.Time) {
		o.lag.note(now, now.Sub(sent))
		f(now)
	}
	select {
	case o.inbox <- handle:
		return true
	case <-o.done:
		return false
	}
}

// turn plans, writes and sends what is due, and returns when to look again.
func (o *Owner) turn(ctx context.Context) time.Duration {
	now := o.clock.Now()
	if since := now.Sub(o.planned); since < o.turnGap {
		return o.turnGap - since
	}
	o.planned = now
	o.evacuate()
	if o.own.Proven() {
		o.book.LimitUnstoredStarts(o.unsentMost())
		o.applyCaps(ctx)
		o.book.Plan(now)
		o.reckonExcess(now)
		cost := o.clock.Now().Sub(now)
		o.turnGap = min(max(turnGap, turnShare*cost), turnGapMost)
		o.consult(ctx, now)
		o.write(ctx, now)
		o.moveCaps(ctx, now)
		o.delegate(now)
		o.send(ctx, now)
	}
	o.lookAround(ctx, now)
	o.show(now)
	return o.pause(now)
}

// pause returns how long the loop may sleep if nothing happens.
func (o *Owner) pause(now time.Time) time.Duration {
	d := idleTurn
	if o.book.Pending() && !o.writing {
		d = min(d, o.gap()-now.Sub(o.wrote))
	}
	if due, ok := o.book.NextDue(); ok {
		d = min(d, due.Sub(now))
	}
	for _, l := range o.looking {
		if l.inFlight == 0 {
			d = min(d, l.next.Sub(now))
		}
	}
	return max(d, o.turnGap)
}
