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

// This file defines the keeper: it takes the pools that have no owner and runs
// a tenant for each pool that is this member's.

const (
	// rankPause is for how long a member leaves a pool without an owner to each
	// one that ranks before it.
	rankPause = 60 * time.Millisecond
	// leastTenure is how long a pool is kept before it is given to a member that
	// has less to do, so that pools do not wander.
	leastTenure = 4 * time.Second
	// shunFor is for how long a member leaves a pool to others for which it was unfit, and
	// shunPause how much later than by rank it takes it if nobody else does: more than the
	// ranks of 30 members take.
	shunFor   = 30 * time.Second
	shunPause = 2 * time.Second
	// keeperTick is how often the keeper looks when nothing changes.
	keeperTick = 500 * time.Millisecond
	// inLine is how many members are ready to take each pool: they keep a short lease, so
	// that the others know soon when one of them is gone and a pool is taken without the
	// exchange of a lease. Four of them survive what takes three of them and the owner.
	inLine = 4
	// lineAfter is how long after the roster is complete a member first finds out whether
	// it is among them, and lineEvery how often; it ranks all members for each pool.
	lineAfter = 3 * time.Second
	lineEvery = 2 * time.Second
)

// A Controller does the work of a pool's owner until it is stopped or finds that it
// owns the pool no more.
type Controller interface {
	// Ownership returns what the tenant owns.
	Ownership() Ownership
	// Stop ends the tenant.
	Stop()
	// Done returns a channel that is closed when the tenant has ended.
	Done() <-chan struct{}
	// Err returns why the tenant has ended.
	Err() error
}

// A Doubter is a tenant that may find that it cannot do its work while others could. Its pool
// is then given to another member.
type Doubter interface {
	// Unfit reports whether that is so.
	Unfit() bool
}

// unfit reports whether a tenant says that others should have its pool.
func unfit(t Controller) bool {
	d, ok := t.(Doubter)
	return ok && d.Unfit()
}

// A PoolManager runs the tenants of the pools that this member owns. It is safe for
// concurrent use.
type PoolManager[T Controller] struct {
	clock   pointport.Clock
	session *Session
	roster  *Roster
	pools   func() []string
	start   func(Ownership) T
	logger  *slog.Logger

	// took is how long the last call took that checked an ownership. It belongs to the
	// loop.
	took time.Duration
	// lined is when the member last found out whether it is among the next to take a pool.
	// It belongs to the loop.
	lined time.Time

	mu      sync.Mutex
	tenants map[string]T
	orphans map[string]time.Time // since when a pool has had no owner
	since   map[string]time.Time // since when a pool has had its tenant
	shunned map[string]time.Time // until when a pool is left to others, its tenant was unfit
	// fences holds the last fence of each pool under which a tenant has begun here.
	fences  map[string]pointport.Fence
	stopped bool
}

// StartPoolManager returns a keeper that works until ctx ends. pools tells which
// pools there are, and start starts the tenant of one.
func StartPoolManager[T Controller](ctx context.Context, clock pointport.Clock, session *Session, roster *Roster, pools func() []string, start func(Ownership) T, logger *slog.Logger) *PoolManager[T] {
	k := &PoolManager[T]{
		clock: clock, session: session, roster: roster, pools: pools, start: start, logger: logger,
		tenants: make(map[string]T), orphans: make(map[string]time.Time), since: make(map[string]time.Time),
		shunned: make(map[string]time.Time),
		fences:  make(map[string]pointport.Fence),
	}
	go func() {
		for ctx.Err() == nil {
			changed := roster.Changed()
			next := k.round(ctx)
			select {
			case <-changed:
			case <-clock.After(next):
			case <-ctx.Done():
			}
		}
	}()
	return k
}

// Controller returns the tenant of a pool; false if this member has none.
func (k *PoolManager[T]) Controller(pool string) (T, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.tenants[pool]
	return t, ok
}

// Controllers returns all tenants of this member.
func (k *PoolManager[T]) Controllers() []T {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Values(k.tenants))
}

// Count returns how many tenants this member has.
func (k *PoolManager[T]) Count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.tenants)
}

// round ends tenants that own nothing any more and takes what is free. It
// returns when to look again.
func (k *PoolManager[T]) round(ctx context.Context) time.Duration {
	k.reap()
	next := keeperTick
	if !k.roster.Known() || k.ended() {
		return next
	}
	now := k.clock.Now()
	if k.Count() > 0 || k.next(now) {
		k.session.Shorten()
	}
	for _, pool := range k.pools() {
		next = min(next, k.tend(ctx, pool, now))
	}
	return max(next, time.Millisecond)
}

// next reports whether this member is found to be among the next to take a pool. One that
// is stays so until it is far behind, so that leases are not exchanged to and fro.
func (k *PoolManager[T]) next(now time.Time) bool {
	settles, _ := k.session.Settles()
	if now.Before(settles.Add(lineAfter)) || now.Sub(k.lined) < lineEvery {
		return false
	}
	k.lined = now
	within := inLine
	if k.session.short() {
		within = 2 * inLine
	}
	for _, pool := range k.pools() {
		if _, free := k.orphans[pool]; !free && k.roster.Rank(pool) < within {
			return true
		}
	}
	return false
}

// ended reports whether the keeper was stopped.
func (k *PoolManager[T]) ended() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stopped
}

// reap forgets the tenants that have ended.
func (k *PoolManager[T]) reap() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for pool, t := range k.tenants {
		select {
		case <-t.Done():
			event.PoolLost.Log(k.logger, slog.String("pool", pool), slog.Any("reason", t.Err()))
			if errors.Is(t.Err(), ErrNotOwner) {
				k.roster.forget(t.Ownership())
			}
			delete(k.tenants, pool)
		default:
		}
	}
}

// tend looks after one pool, and returns when to look again.
func (k *PoolManager[T]) tend(ctx context.Context, pool string, now time.Time) time.Duration {
	mine, mineToo := k.Controller(pool)
	holder, held := k.roster.Holding(pool)
	switch {
	case held && mineToo && holder.Fence > mine.Ownership().Fence:
		mine.Stop()
		return time.Millisecond
	case held && !mineToo && holder.Mine:
		// Taken, or given up in vain, by a change whose answer was lost.
		// It is not proven until it is checked.
		return k.begin(ctx, k.roster.own(pool, holder.Fence, holder.Revision, time.Time{}))
	case mineToo && now.Sub(k.since[pool]) > leastTenure && unfit(mine) && len(k.roster.Peers()) > 0:
		event.PoolHandedOff.Log(k.logger, slog.String("pool", pool))
		k.shunned[pool] = now.Add(shunFor)
		k.giveAway(ctx, mine)
		return keeperTick
	case mineToo && now.Sub(k.since[pool]) > leastTenure && k.roster.Outweighed():
		k.giveAway(ctx, mine)
		return keeperTick
	case mineToo:
		return k.check(ctx, mine)
	case held:
		delete(k.orphans, pool)
		return keeperTick
	}
	if !k.session.Proven() {
		return keeperTick
	}
	turn, only := k.turn(pool, now)
	if left := turn.Sub(now); left > 0 {
		return min(left, keeperTick)
	}
	if only && !k.roster.Enrolled() {
		// Of many that start at once the first in the roster take the pools.
		return rankPause
	}
	done, ok := k.roster.Reserve(only)
	if !ok {
		return rankPause
	}
	defer done()
	return k.take(ctx, pool)
}

// turn returns when this member may take a pool that has no owner, and whether only if
// it has no other: by rank, once the roster is complete. Until then its former owner may
// take it, and a member that has just started a single one.
func (k *PoolManager[T]) turn(pool string, now time.Time) (at time.Time, only bool) {
	since, ok := k.orphans[pool]
	if !ok {
		since = now
		k.orphans[pool] = now
	}
	settles, started := k.session.Settles()
	switch {
	case !settles.After(since) && k.behind(pool, since.Sub(settles)):
		since = since.Add(returnTime)
	case !settles.After(since): // the roster was complete before
	case k.roster.Former(pool):
		return since, false
	case started && now.Before(settles):
		only = true
	default:
		since = settles
	}
	at = since.Add(time.Duration(k.roster.Rank(pool)) * rankPause)
	if now.Before(k.shunned[pool]) {
		at = at.Add(shunPause)
	}
	return at, only
}

// behind reports whether a pool that had another owner is to be left first to the members
// in line for it, where the roster had been complete for so long when it lost that one. If they are gone
// as well, the store may have been away for so short a time that only short leases have
// ended, and their members are about to come back.
func (k *PoolManager[T]) behind(pool string, complete time.Duration) bool {
	formed := lineAfter + lineEvery + keeperTick
	return complete > formed && !k.session.short() && k.roster.HadOwner(pool)
}

// giveAway ends a tenant and gives its pool up to a member that has less to do.
func (k *PoolManager[T]) giveAway(ctx context.Context, t T) {
	t.Stop()
	<-t.Done()
	k.release(ctx, t.Ownership())
}

// release gives up an ownership. If that fails, the key goes with the lease.
func (k *PoolManager[T]) release(ctx context.Context, own Ownership) {
	if err := k.roster.Release(ctx, own); err != nil {
		event.PoolUnproven.Log(k.logger, slog.String("pool", own.Pool), slog.Any("error", err))
	}
}

// proofShare is the part of the time for which a call proves an ownership that must
// be left, or another call is made.
const proofShare = 2

// check makes sure that a tenant still owns its pool, unless its writes, which depend
// on the owner key, have shown so lately. It returns when to look again: early enough
// for a call and a second one if the first gets no answer, however slow the store is.
// With fixed times an ownership went unproven again and again, and its pool stood
// still, while the store took 0.3 s for an answer.
func (k *PoolManager[T]) check(ctx context.Context, t T) time.Duration {
	own := t.Ownership()
	ttl := k.session.TTL()
	reserve := max(ttl/proofShare, ttl/(2*proofShare)+2*k.took)
	from := k.clock.Now()
	if left := own.left(); left > reserve {
		return min(left-reserve, keeperTick)
	}
	err := k.roster.Check(ctx, own)
	k.took = k.clock.Now().Sub(from)
	switch {
	case errors.Is(err, ErrNotOwner):
		t.Stop()
		<-t.Done()
		return 0 // it may be this member's turn to take the pool
	case err != nil:
		event.PoolUnproven.Log(k.logger, slog.String("pool", own.Pool), slog.Any("error", err))
		return rankPause
	}
	return min(max(own.left()-reserve, 0), keeperTick)
}

func (k *PoolManager[T]) take(ctx context.Context, pool string) time.Duration {
	own, err := k.roster.Take(ctx, pool)
	if err == nil {
		return k.begin(ctx, own)
	}
	var conflict *pointport.TxnConflictError
	if !errors.As(err, &conflict) && !errors.Is(err, ErrNoLease) {
		event.PoolLost.Log(k.logger, slog.String("pool", pool), slog.Any("reason", err))
	}
	if pointport.IsBusy(err) {
		return spread(busyFirst)
	}
	return rankPause
}

// begin starts the tenant of a pool that this member has come to own, or gives
// the pool up if none may begin. It returns when to look again.
func (k *PoolManager[T]) begin(ctx context.Context, own Ownership) time.Duration {
	if k.admit(own) {
		return time.Millisecond
	}
	k.release(ctx, own)
	return rankPause
}

// admit starts the tenant of a pool; false if the keeper was stopped, or a tenant has
// begun under that fence before. Orders of that one may still be under way, and nothing
// would tell them from those of another: a task that is taken for waiting because its
// instance does not run it would run twice once they arrive.
func (k *PoolManager[T]) admit(own Ownership) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return false
	}
	if _, ok := k.tenants[own.Pool]; ok {
		return true
	}
	if own.Fence <= k.fences[own.Pool] {
		return false
	}
	k.fences[own.Pool] = own.Fence
	event.PoolTaken.Log(k.logger, slog.String("pool", own.Pool), slog.Int64("fence", int64(own.Fence)))
	delete(k.orphans, own.Pool)
	k.since[own.Pool] = k.clock.Now()
	k.tenants[own.Pool] = k.start(own)
	return true
}

// Stop ends all tenants and takes no pool any more.
func (k *PoolManager[T]) Stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	for _, t := range k.tenants {
		t.Stop()
	}
}
