package member

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the pool manager, which takes pools that have no owner and runs a
// controller for each pool that this member owns.

const (
	// rankDelay is how long a member waits for each member that ranks before it until it takes
	// a pool that has no owner.
	rankDelay = 60 * time.Millisecond
	// minOwnershipTime is how long a member keeps a pool before it hands it over to a member
	// with a lower load, so that pools do not change owners too often.
	minOwnershipTime = 4 * time.Second
	// maxHandoverDeferral is for how long the controller of a pool may defer its handover without a
	// break. It exceeds any wait of a single task. An overloaded member, on which new tasks keep
	// waiting, would otherwise never hand over a pool.
	maxHandoverDeferral = 30 * time.Second
	// avoidFor is how long a member leaves a pool to others after its controller reported
	// that it should be handed over. During that time it takes the pool avoidDelay later
	// than its rank allows, in case nobody else does: more than the rank delays of 30
	// members.
	avoidFor   = 30 * time.Second
	avoidDelay = 2 * time.Second
	// checkInterval is how often the pool manager runs when nothing changes.
	checkInterval = 500 * time.Millisecond
	// standbyCount is how many members are standbys of each pool. A standby holds a short
	// lease, so the other members soon notice its failure, and it can take a pool without
	// first exchanging its lease. With four standbys a pool still has one when three
	// of them and the owner fail together.
	standbyCount = 4
	// standbyDelay is how long after the roster is complete a member first checks whether it
	// is a standby, and standbyInterval how often it checks again. The check is expensive
	// because it ranks all members for each pool.
	standbyDelay    = 3 * time.Second
	standbyInterval = 2 * time.Second
)

// Controller does the work of a pool's owner until it is stopped or finds that this member no
// longer owns the pool.
type Controller interface {
	// Ownership returns the ownership under which the controller runs.
	Ownership() Ownership
	// Stop asks the controller to end.
	Stop()
	// Done returns a channel that is closed when the controller has ended.
	Done() <-chan struct{}
	// Err returns why the controller has ended.
	Err() error
}

// FitnessReporter is a Controller that can detect that it cannot do its work although other
// members could. Its pool is then handed over to another member.
type FitnessReporter interface {
	// ShouldHandOver reports whether another member should own the pool.
	ShouldHandOver() bool
}

// shouldHandOver reports whether a controller implements FitnessReporter and reports that
// its pool should be handed over.
func shouldHandOver(c Controller) bool {
	r, ok := c.(FitnessReporter)
	return ok && r.ShouldHandOver()
}

// HandoverDeferrer is a Controller that can tell that its pool should stay here for now, although
// another member has a far lower load.
type HandoverDeferrer interface {
	// DefersHandOver reports whether a handover would delay what the controller waits for.
	DefersHandOver() bool
}

// defersHandOver reports whether a controller implements HandoverDeferrer and reports that its
// pool should stay here.
func defersHandOver(c Controller) bool {
	d, ok := c.(HandoverDeferrer)
	return ok && d.DefersHandOver()
}

// PoolManager runs the controllers of the pools that this member owns. It is safe for
// concurrent use.
type PoolManager[T Controller] struct {
	clock   pointport.Clock
	session *Session
	roster  *Roster
	pools   func() []string
	start   func(Ownership) T
	logger  *slog.Logger
	// vacancies decides when a pool may be taken; nil if pools are owned without peer leases.
	vacancies *vacancies
	ctx       context.Context // ends with the pool manager

	// lastCheckDuration is how long the last call took that checked an ownership. Only the
	// loop uses it.
	lastCheckDuration time.Duration
	// standbyCheckedAt is when the member last checked whether it is a standby. Only the loop
	// uses it.
	standbyCheckedAt time.Time
	// The following maps are by pool. Only the loop uses them.
	unownedSince  map[string]time.Time // since when a pool has had no owner
	startedAt     map[string]time.Time // when the controller of a pool was started
	avoidedUntil  map[string]time.Time // until when a pool is left to others because its controller here was unfit
	deferredSince map[string]time.Time // since when the controller of a pool has deferred its handover
	// lastFences holds, for each pool, the fence of the last controller started here. No entry is
	// removed, also not with its pool: see startController.
	lastFences map[string]pointport.Fence

	mu          sync.Mutex
	controllers map[string]T
	stopped     bool
}

// poolManagerOptions are the options of a pool manager.
type poolManagerOptions struct{ peerLeases bool }

// PoolManagerOption changes how a pool manager works.
type PoolManagerOption func(*poolManagerOptions)

// UsePeerLeases makes the pool manager own its pools with peer leases, if the roster has them.
func UsePeerLeases() PoolManagerOption { return func(o *poolManagerOptions) { o.peerLeases = true } }

// StartPoolManager returns a pool manager that works until ctx ends. pools returns the names
// of all pools, and start starts the controller of a pool.
func StartPoolManager[T Controller](ctx context.Context, clock pointport.Clock, session *Session, roster *Roster, pools func() []string, start func(Ownership) T, logger *slog.Logger, options ...PoolManagerOption) *PoolManager[T] {
	var opts poolManagerOptions
	for _, o := range options {
		o(&opts)
	}
	m := &PoolManager[T]{
		clock: clock, session: session, roster: roster, pools: pools, start: start, logger: logger,
		controllers: make(map[string]T), unownedSince: make(map[string]time.Time), startedAt: make(map[string]time.Time),
		avoidedUntil:  make(map[string]time.Time),
		deferredSince: make(map[string]time.Time),
		lastFences:    make(map[string]pointport.Fence),
		ctx:           ctx,
	}
	if opts.peerLeases && roster.leases != nil {
		m.vacancies = newVacancies(roster)
	}
	go func() {
		for ctx.Err() == nil {
			changed := roster.Changed()
			next := m.round(ctx)
			select {
			case <-changed:
			case <-clock.After(next):
			case <-ctx.Done():
			}
		}
	}()
	return m
}

// Controller returns the controller of a pool, and false if this member runs none.
func (m *PoolManager[T]) Controller(pool string) (T, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.controllers[pool]
	return c, ok
}

// Controllers returns all controllers of this member.
func (m *PoolManager[T]) Controllers() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.controllers))
}

// Count returns how many controllers this member runs.
func (m *PoolManager[T]) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.controllers)
}

// round removes ended controllers and takes pools that have no owner. It returns how long to
// wait until the next round.
func (m *PoolManager[T]) round(ctx context.Context) time.Duration {
	m.removeEnded()
	next := checkInterval
	if !m.roster.Loaded() || m.isStopped() {
		return next
	}
	now := m.clock.Now()
	if m.Count() > 0 || m.isStandby(now) {
		m.session.RequestShortLease()
	}
	for _, pool := range m.pools() {
		next = min(next, m.managePool(ctx, pool, now))
	}
	return max(next, time.Millisecond)
}

// isStandby reports whether this member has just been found to be a standby of a pool. It
// checks only every standbyInterval. A member that holds a short lease counts as a standby up
// to twice the rank, so that leases are not exchanged back and forth.
func (m *PoolManager[T]) isStandby(now time.Time) bool {
	complete, _ := m.session.CompleteAt()
	if now.Before(complete.Add(standbyDelay)) || now.Sub(m.standbyCheckedAt) < standbyInterval {
		return false
	}
	m.standbyCheckedAt = now
	maxRank := standbyCount
	if m.session.hasShortLease() {
		maxRank = 2 * standbyCount
	}
	for _, pool := range m.pools() {
		if _, unowned := m.unownedSince[pool]; !unowned && (m.roster.Rank(pool) < maxRank || m.vacancies != nil && m.roster.isListedStandby(pool)) {
			return true
		}
	}
	return false
}

// isStopped reports whether Stop was called.
func (m *PoolManager[T]) isStopped() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopped
}

// removeEnded removes the controllers that have ended.
func (m *PoolManager[T]) removeEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for pool, c := range m.controllers {
		select {
		case <-c.Done():
			event.PoolLost.Log(m.logger, slog.String("pool", pool), slog.Any("reason", c.Err()))
			if errors.Is(c.Err(), ErrNotOwner) {
				m.roster.removeOwner(c.Ownership())
			}
			delete(m.controllers, pool)
			m.vacancies.giveUp(pool)
		default:
		}
	}
}

// managePool handles one pool, and returns how long to wait until it must be handled again.
func (m *PoolManager[T]) managePool(ctx context.Context, pool string, now time.Time) time.Duration {
	c, running := m.Controller(pool)
	holding, owned := m.roster.Holding(pool)
	switch {
	case owned && running && holding.Fence > c.Ownership().Fence:
		c.Stop()
		return time.Millisecond
	case owned && !running && holding.Mine:
		// The owner key is under this member's lease because the answer to a Take was lost or
		// a Release did not take effect. The ownership is not proven until it is checked.
		return m.startOrRelease(ctx, m.roster.newOwnership(pool, holding.Fence, holding.Revision, time.Time{}))
	case running && c.Ownership().PeerLeased():
		// No other member can take the pool at present.
		return m.check(ctx, c)
	case running && now.Sub(m.startedAt[pool]) > minOwnershipTime && shouldHandOver(c) && len(m.roster.Peers()) > 0:
		event.PoolHandedOff.Log(m.logger, slog.String("pool", pool))
		m.avoidedUntil[pool] = now.Add(avoidFor)
		m.handOver(ctx, c)
		return checkInterval
	case running && now.Sub(m.startedAt[pool]) > minOwnershipTime && !m.handoverDeferred(pool, c, now) && m.roster.ShouldHandOver():
		m.handOver(ctx, c)
		return checkInterval
	case running:
		return m.check(ctx, c)
	case owned:
		delete(m.unownedSince, pool)
		m.vacancies.noteOwned(pool)
		return checkInterval
	}
	return m.manageUnowned(ctx, pool, now)
}

// handoverDeferred reports whether the controller of a pool defers its handover, and may do so.
func (m *PoolManager[T]) handoverDeferred(pool string, c T, now time.Time) bool {
	if !defersHandOver(c) {
		delete(m.deferredSince, pool)
		return false
	}
	since, ok := m.deferredSince[pool]
	if !ok {
		since = now
		m.deferredSince[pool] = now
	}
	return now.Sub(since) < maxHandoverDeferral
}

// manageUnowned handles a pool that has no owner, and returns how long to wait until it must be
// handled again.
func (m *PoolManager[T]) manageUnowned(ctx context.Context, pool string, now time.Time) time.Duration {
	m.vacancies.noteAbsent(pool)
	if !m.session.Proven() {
		m.vacancies.giveUp(pool)
		return checkInterval
	}
	takeTime, only := m.takeTime(pool, now)
	if left := takeTime.Sub(now); left > 0 {
		m.vacancies.giveUp(pool)
		return min(left, checkInterval)
	}
	if only && !m.roster.Enrolled() {
		// When many members start at once, those that are first in the roster take the pools.
		return rankDelay
	}
	done, ok := m.roster.Reserve(only)
	if !ok {
		return rankDelay
	}
	defer done()
	return m.take(ctx, pool)
}

// takeTime returns when this member may take a pool that has no owner, and whether it may do
// so only if it owns no other. Once the roster is complete, the rank decides. Before that, the
// last owner may take the pool at once, and a member that has just started may take one pool.
func (m *PoolManager[T]) takeTime(pool string, now time.Time) (at time.Time, only bool) {
	since, ok := m.unownedSince[pool]
	if !ok {
		since = now
		m.unownedSince[pool] = now
	}
	complete, started := m.session.CompleteAt()
	switch {
	case !complete.After(since) && m.deferToStandbys(pool, since.Sub(complete)):
		since = since.Add(rejoinTime)
	case !complete.After(since): // the roster was already complete
	case m.roster.WasLastOwner(pool):
		return since, false
	case started && now.Before(complete):
		only = true
	default:
		since = complete
	}
	at = since.Add(time.Duration(m.rank(pool)) * rankDelay)
	if now.Before(m.avoidedUntil[pool]) {
		at = at.Add(avoidDelay)
	}
	return at, only
}

// rank returns how many members should take a pool before this one.
func (m *PoolManager[T]) rank(pool string) int {
	if m.vacancies == nil {
		return m.roster.Rank(pool)
	}
	return m.roster.takeoverRank(pool)
}

// deferToStandbys reports whether a pool that had another owner must first be left to its
// standbys; complete is how long the roster had been complete when the pool lost its owner. If
// the standbys are missing as well, the store may have been unreachable just long enough for
// the short leases to end, so that their members are about to rejoin.
func (m *PoolManager[T]) deferToStandbys(pool string, complete time.Duration) bool {
	established := standbyDelay + standbyInterval + checkInterval
	return complete > established && !m.session.hasShortLease() && m.roster.HadOtherOwner(pool)
}

// handOver stops a controller and releases its pool for another member.
func (m *PoolManager[T]) handOver(ctx context.Context, c T) {
	c.Stop()
	<-c.Done()
	m.release(ctx, c.Ownership())
}

// release gives up an ownership. If that fails, the owner key is removed when the lease ends.
func (m *PoolManager[T]) release(ctx context.Context, own Ownership) {
	if err := m.roster.Release(ctx, own); err != nil {
		event.PoolUnproven.Log(m.logger, slog.String("pool", own.Pool), slog.Any("error", err))
	}
}

// proofReserveDivisor sets the reserve of proven time: a call proves an ownership for the TTL,
// and the next call is made when the TTL divided by this is left.
const proofReserveDivisor = 2

// check verifies that a controller's pool is still owned, unless a recent write, which depends
// on the owner key, has shown that. It returns how long to wait until the next check, which is
// early enough for a call and a retry if the first gets no answer, even on a slow store. With
// a fixed interval, ownerships repeatedly became unproven while the store took 0.3 s to
// answer, and nothing was scheduled in their pools.
func (m *PoolManager[T]) check(ctx context.Context, c T) time.Duration {
	own := c.Ownership()
	ttl := m.session.TTL()
	reserve := max(ttl/proofReserveDivisor, ttl/(2*proofReserveDivisor)+2*m.lastCheckDuration)
	from := m.clock.Now()
	if remaining := own.remaining(); remaining > reserve {
		return min(remaining-reserve, checkInterval)
	}
	err := m.roster.Check(ctx, own)
	m.lastCheckDuration = m.clock.Now().Sub(from)
	switch {
	case errors.Is(err, ErrNotOwner):
		c.Stop()
		<-c.Done()
		return 0 // this member may already be allowed to take the pool
	case err != nil:
		if !own.PeerLeased() {
			event.PoolUnproven.Log(m.logger, slog.String("pool", own.Pool), slog.Any("error", err))
		}
		return rankDelay
	}
	return min(max(own.remaining()-reserve, 0), checkInterval)
}

func (m *PoolManager[T]) take(ctx context.Context, pool string) time.Duration {
	var t *takeover
	if m.vacancies != nil {
		var wait time.Duration
		if t, wait = m.vacancies.prepareTakeover(ctx, pool); t == nil {
			return wait
		}
	}
	own, err := m.roster.take(ctx, pool, t)
	if err == nil {
		return m.startOrRelease(ctx, own)
	}
	m.vacancies.giveUp(pool)
	var conflict *pointport.TxnConflictError
	if !errors.As(err, &conflict) && !errors.Is(err, ErrNoLease) {
		event.PoolLost.Log(m.logger, slog.String("pool", pool), slog.Any("reason", err))
	}
	if pointport.IsBusy(err) {
		return jitter(minBusyDelay)
	}
	return rankDelay
}

// startOrRelease starts the controller of a pool that this member now owns, or releases the
// pool if it may not be started. It returns how long to wait until the pool must be handled
// again.
func (m *PoolManager[T]) startOrRelease(ctx context.Context, own Ownership) time.Duration {
	if m.vacancies != nil {
		own = m.roster.withLeases(own)
		// The transaction may have been carried out seconds after it was sent, so that another owner
		// has got a lease since.
		if wait := m.roster.leases.beginTakeover(own.Pool); wait > 0 {
			return wait // this member then finds itself owner by the roster
		}
	}
	if m.startController(own) {
		return time.Millisecond
	}
	m.release(ctx, own)
	m.vacancies.giveUp(own.Pool)
	return rankDelay
}

// startController starts the controller of a pool. It returns false if the pool manager was
// stopped or a controller was started under the same fence before. Orders of that earlier
// controller may still be in flight and could not be told apart from those of a new one: a
// task that counts as waiting because its instance does not run it would run twice once they
// arrive.
func (m *PoolManager[T]) startController(own Ownership) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	if _, ok := m.controllers[own.Pool]; ok {
		return true
	}
	if own.Fence <= m.lastFences[own.Pool] {
		return false
	}
	m.lastFences[own.Pool] = own.Fence
	event.PoolTaken.Log(m.logger, slog.String("pool", own.Pool), slog.Int64("fence", int64(own.Fence)))
	delete(m.unownedSince, own.Pool)
	m.startedAt[own.Pool] = m.clock.Now()
	delete(m.deferredSince, own.Pool)
	if m.vacancies != nil {
		m.vacancies.forget(own.Pool)
		m.roster.leases.noteOwnership(own)
	}
	c := m.start(own)
	m.controllers[own.Pool] = c
	if m.vacancies != nil {
		go m.roster.keepProven(m.ctx, own, c.Done())
	}
	return true
}

// Stop stops all controllers; no pool is taken afterwards.
func (m *PoolManager[T]) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for _, c := range m.controllers {
		c.Stop()
	}
}
