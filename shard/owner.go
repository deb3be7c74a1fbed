// Package shard runs the scheduler of one pool: it feeds events to the
// [schedule] package, writes the resulting state to the store, sends orders to
// the pool's instances and polls them for reports.
//
// The model: an Owner works for as long as its member owns the pool. One
// goroutine, the loop, has the scheduler to itself; every event reaches it as a
// message. Calls to the store and to instances run in other goroutines and
// deliver their result as a message. At most one batch is being written and one
// poll of each instance is in flight.
//
// Invariants:
//
//   - A start is sent only after the batch that records it is stored, except for those that
//     package schedule lets start unrecorded while the owner is proven by peer leases alone.
//   - A cancellation that a member has stored for the owner is deleted only after the record of
//     its job is stored, so that the store shows it wherever the owner ends.
//   - Nothing is sent while this member cannot prove its lease.
//   - A write that the store refuses because another member owns the pool ends
//     the Owner.
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
	"github.com/pointport/pointport/workload"
)

// This file defines the owner of a pool and its loop.

const (
	// DefaultLease is how far ahead the execution leases of the tasks on an
	// instance are extended. It must exceed the time that a new owner needs to
	// take over. When an instance stops answering, its tasks can be moved only
	// after this time has passed.
	DefaultLease = 4 * time.Second
	// pollWait is how long an instance may hold a poll open until a task ends.
	pollWait = time.Second
	// pollRetry is the delay before the next poll after one without an answer.
	pollRetry = 150 * time.Millisecond
	// ackWait bounds the delay of the next poll after a report with ended runs,
	// so that these are stored and the poll can acknowledge them.
	ackWait = 120 * time.Millisecond
	// minPlanInterval is the least time between two plans, so that events that
	// arrive together are planned together. The interval grows to
	// planIntervalFactor times the duration of the last plan, which limits
	// planning to a fifth of the loop's time, but not beyond maxPlanInterval.
	minPlanInterval    = 8 * time.Millisecond
	maxPlanInterval    = 60 * time.Millisecond
	planIntervalFactor = 5
	// urgentWriteInterval is the least time between two batches while something
	// waits for the next one, and lazyWriteInterval while nothing does. Each
	// batch is a call that is paid for.
	urgentWriteInterval = 25 * time.Millisecond
	lazyWriteInterval   = 60 * time.Millisecond
	// idleInterval is the longest time between two ticks of the loop.
	idleInterval = 250 * time.Millisecond
	// endedRetention is how long the owner remembers an ended job. The store
	// keeps its record for longer.
	endedRetention = 3 * time.Minute
	// early is how long before its due time an occurrence may begin.
	early = 0
	// inboxSize is how many messages may be queued for the loop.
	inboxSize = 256
)

// Incarnations provides the registered incarnations of a pool.
type Incarnations interface {
	// InPool returns the registrations of the pool's instances, and a channel that
	// is closed when any registration changes.
	InPool(pool string) ([]pointport.Incarnation, <-chan struct{})
	// Coverage returns during which time the registrations were read without
	// failure. Each change known at the end of that time has already closed
	// the channel that an earlier call of Of returned.
	Coverage() schedule.RegistryCoverage
}

// Services are the external services that an owner uses.
type Services struct {
	KV       pointport.KV
	Executor pointport.Executor
	// Advisor returns the instances on which the steps of queues that require
	// advice may run; nil if there is no advisor. AdviceFigures returns how it behaves
	// for a queue.
	Advisor       *SharedAdvisor
	AdviceFigures func(queue string) workload.Advice
	Clock         pointport.Clock
	Session       *member.Session
	Fleet         Incarnations
	// Quotas returns the customers' caps as configured, and whether that
	// configuration is known to be current; nil if no customer has a cap.
	Quotas func() (policy *quota.Policy, fresh bool)
	// Evacuations returns the known evacuations of availability zones; nil if there are
	// never any.
	Evacuations func() evacuation.Zones
	// Delegates returns an executor that sends orders to the instances of a pool
	// through peers until ctx ends; nil if there is none.
	Delegates func(ctx context.Context, pool string) Delegates
}

// Delegates is an executor that sends orders to instances through peers. An order that no
// peer accepts is sent directly.
type Delegates interface {
	pointport.Executor
	// Connected reports whether a peer currently forwards orders to an incarnation. If none
	// does, it starts connecting to one.
	Connected(at pointport.IncarnationID) bool
}

// An Owner schedules and runs the jobs of one pool. Its methods are safe for concurrent use.
type Owner struct {
	kv       pointport.KV
	executor pointport.Executor
	// delegates sends orders through peers; nil if there are none. delegating reports
	// whether all orders currently go through it.
	delegates          Delegates
	delegating         bool
	advisor            *SharedAdvisor
	adviceFigures      func(queue string) workload.Advice
	clock              pointport.Clock
	session            *member.Session
	fleet              Incarnations
	quotas             func() (*quota.Policy, bool)
	evacuations        func() evacuation.Zones
	logger             *slog.Logger
	ownership          member.Ownership
	peerLease          peerLeaseState
	lease              time.Duration
	maxHold            time.Duration
	gangTimeout        time.Duration
	remoteDataSlowdown float64

	publishedWindow         atomic.Int64
	publishedDelegating     atomic.Bool
	publishedShouldHandOver atomic.Bool
	publishedDefersHandOver atomic.Bool

	inbox chan func(now time.Time)
	ready chan struct{} // closed once the scheduler has the stored jobs
	done  chan struct{} // closed when the owner has ended
	err   error

	// The fields below are accessed only by the loop.
	scheduler *schedule.Scheduler
	loadedAt  pointport.Revision // revision at which the pool's open jobs were read
	// unreadable contains the jobs that cannot be decoded. The value reports whether their
	// progress is stored.
	unreadable   map[string]bool
	writer       *member.Writer
	writing      bool
	lastWrite    time.Time
	writeTime    time.Duration // of each transaction in the last write, on average
	lastPlan     time.Time
	planInterval time.Duration // least time between the last plan and the next
	polls        map[*schedule.Worker]*pollState
	queues       map[*schedule.Worker]*workerQueue
	blocked      []*workerQueue // queues that wait until the window allows more starts
	window       window
	starts       starts
	storing      schedule.Batch // the batch that is being written, empty if none is
	// notedUnrecorded is the argument of the last call of Ownership.NoteUnrecorded.
	notedUnrecorded bool
	lag             lagMeter
	waiters         []waiter
	cancellations   *cancellationKeys
	caps            *caps
	// adviceCalls is how many requests for advice are in flight or wait for a turn.
	adviceCalls       int
	noAdvisorLoggedAt time.Time
	// backlogRefusals is for how long to refuse further jobs, by customer, computed at
	// backlogRefusalsAt.
	backlogRefusals atomic.Pointer[map[string]time.Duration]
	// usage contains the resources that each customer uses, computed at the same time.
	usage             atomic.Pointer[[]schedule.CustomerUsage]
	backlogRefusalsAt time.Time
	cancel            context.CancelFunc
}

// An Option configures an Owner.
type Option func(*Owner)

// WithLease sets how far ahead the execution leases of tasks are extended.
func WithLease(d time.Duration) Option { return func(o *Owner) { o.lease = d } }

// WithMaxHold sets for how long an instance keeps running a task after the last order that
// extended it.
func WithMaxHold(d time.Duration) Option { return func(o *Owner) { o.maxHold = d } }

// WithGangTimeout sets how long an instance waits for the other tasks of a gang to start.
func WithGangTimeout(d time.Duration) Option { return func(o *Owner) { o.gangTimeout = d } }

// WithRemoteDataSlowdown sets by which factor a task runs longer when it is not in the rack of its
// data.
func WithRemoteDataSlowdown(f float64) Option { return func(o *Owner) { o.remoteDataSlowdown = f } }

const (
	// defaultMaxHold, defaultGangTimeout and defaultRemoteDataSlowdown apply if the
	// platform does not specify for how long an instance keeps running a task without a
	// further order, how long a gang may take to start and how much longer a task runs
	// when it is not in the rack of its data.
	defaultMaxHold            = 10 * time.Second
	defaultGangTimeout        = 3 * time.Second
	defaultRemoteDataSlowdown = 2.0
)

// Start starts an owner, which works until ctx ends or another member owns the
// pool.
func Start(ctx context.Context, s Services, ownership member.Ownership, logger *slog.Logger, options ...Option) *Owner {
	ctx, cancel := context.WithCancel(ctx)
	o := &Owner{
		kv: s.KV, executor: s.Executor, advisor: s.Advisor, adviceFigures: s.AdviceFigures, clock: s.Clock, session: s.Session, fleet: s.Fleet, quotas: s.Quotas, evacuations: s.Evacuations, ownership: ownership,
		logger: logger.With(slog.String("pool", ownership.Pool), slog.Int64("fence", int64(ownership.Fence))),
		lease:  DefaultLease, maxHold: defaultMaxHold, gangTimeout: defaultGangTimeout, remoteDataSlowdown: defaultRemoteDataSlowdown,
		inbox: make(chan func(time.Time), inboxSize), ready: make(chan struct{}), done: make(chan struct{}),
		polls: make(map[*schedule.Worker]*pollState), queues: make(map[*schedule.Worker]*workerQueue), window: newWindow(), cancel: cancel,
		unreadable: make(map[string]bool), cancellations: newCancellationKeys(),
	}
	o.peerLease = ownership
	for _, option := range options {
		option(o)
	}
	if s.Delegates != nil {
		o.delegates = s.Delegates(ctx, ownership.Pool)
	}
	go func() {
		defer close(o.done)
		if err := o.run(ctx); o.err == nil {
			o.err = err // otherwise o.fail set the error and cancelled ctx
		}
		cancel()
	}()
	return o
}

// Done returns a channel that is closed when the owner has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Err waits for the owner to end and returns the reason.
func (o *Owner) Err() error {
	<-o.done
	return o.err
}

// Ownership returns the proof that this member owns the pool.
func (o *Owner) Ownership() member.Ownership { return o.ownership }

// Stop makes the owner end. It does not wait for that.
func (o *Owner) Stop() { o.cancel() }

func (o *Owner) run(ctx context.Context) error {
	at, err := o.load(ctx)
	if err != nil {
		return err
	}
	close(o.ready)
	go o.watchOpenJobs(ctx, at)
	wake := o.clock.After(0)
	_, changed := o.fleet.InPool(o.ownership.Pool)
	o.refreshIncarnations()
	for {
		select {
		case f := <-o.inbox:
			f(o.clock.Now())
			o.handleQueued()
		case <-changed:
			changed = o.refreshIncarnations()
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		changed = o.updateRegistryCoverage(changed)
		if o.scheduler.Fenced() {
			return member.ErrNotOwner
		}
		wake = o.clock.After(o.tick(ctx))
	}
}

// handleQueued handles the messages that are already queued.
func (o *Owner) handleQueued() {
	for {
		select {
		case f := <-o.inbox:
			f(o.clock.Now())
		default:
			return
		}
	}
}

// updateRegistryCoverage passes on to the scheduler until when the registrations are known.
// The scheduler first gets every registration known by then. It returns the channel that is
// closed at the next change.
func (o *Owner) updateRegistryCoverage(changed <-chan struct{}) <-chan struct{} {
	coverage := o.fleet.Coverage()
	select {
	case <-changed:
		changed = o.refreshIncarnations()
	default:
	}
	o.scheduler.SetRegistryCoverage(coverage)
	return changed
}

// updateEvacuations passes the known evacuations of availability zones to the scheduler.
func (o *Owner) updateEvacuations() {
	if o.evacuations != nil {
		o.scheduler.SetEvacuations(o.evacuations())
	}
}

func (o *Owner) refreshIncarnations() <-chan struct{} {
	all, changed := o.fleet.InPool(o.ownership.Pool)
	o.scheduler.SetIncarnations(o.clock.Now(), all)
	return changed
}

// enqueue passes a message to the loop. It returns false if the owner has ended.
func (o *Owner) enqueue(f func(now time.Time)) bool {
	sent := o.clock.Now()
	handle := func(now time.Time) {
		o.lag.observe(now, now.Sub(sent))
		f(now)
	}
	select {
	case o.inbox <- handle:
		return true
	case <-o.done:
		return false
	}
}

// tick plans, writes and sends whatever is due, and returns the time until the next tick.
func (o *Owner) tick(ctx context.Context) time.Duration {
	now := o.clock.Now()
	if since := now.Sub(o.lastPlan); since < o.planInterval {
		return o.planInterval - since
	}
	o.lastPlan = now
	o.updateEvacuations()
	if o.ownership.Proven() {
		o.scheduler.LimitUnstoredStarts(o.maxNewStarts())
		o.applyCaps(ctx)
		o.scheduler.SetPeerLeased(o.peerLease.PeerLeased())
		o.scheduler.Plan(now)
		o.updateBacklogRefusals(now)
		cost := o.clock.Now().Sub(now)
		o.planInterval = min(max(minPlanInterval, planIntervalFactor*cost), maxPlanInterval)
		o.requestAdvice(ctx, now)
		o.write(ctx, now)
		o.releaseUnrecorded(now)
		o.updateUnrecorded()
		o.transferCaps(ctx, now)
		o.updateDelegating(now)
		o.send(ctx, now)
	}
	o.pollWorkers(ctx, now)
	o.publishLoad(now)
	return o.sleepTime(now)
}

// sleepTime returns how long the loop may sleep if no message arrives.
func (o *Owner) sleepTime(now time.Time) time.Duration {
	d := idleInterval
	if o.scheduler.Pending() && !o.writing {
		d = min(d, o.writeInterval()-now.Sub(o.lastWrite))
	}
	if due, ok := o.scheduler.NextDue(); ok {
		d = min(d, due.Sub(now))
	}
	if at, ok := o.scheduler.NextStartWatch(); ok {
		d = min(d, at.Sub(now))
	}
	for _, s := range o.polls {
		if s.inFlight == 0 {
			d = min(d, s.next.Sub(now))
		}
	}
	return max(d, o.planInterval)
}
