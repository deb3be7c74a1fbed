package shard

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
)

// This file defines the keeper: it takes the pools that have no owner and runs
// an Owner for each pool that is this member's.

const (
	// rankPause is for how long a member leaves a pool without an owner to each
	// one that ranks before it.
	rankPause = 60 * time.Millisecond
	// keeperTick is how often the keeper looks when nothing changes.
	keeperTick = 500 * time.Millisecond
)

// A Keeper runs the owners of the pools that this member owns. It is safe for
// concurrent use.
type Keeper struct {
	clock   pointport.Clock
	session *member.Session
	roster  *member.Roster
	pools   func() []string
	start   func(member.Ownership) *Owner
	logger  *slog.Logger

	mu      sync.Mutex
	owners  map[string]*Owner
	orphans map[string]time.Time // since when a pool has had no owner
	stopped bool
}

// StartKeeper returns a keeper that works until ctx ends. pools tells which
// pools there are, and start starts the owner of one.
func StartKeeper(ctx context.Context, clock pointport.Clock, session *member.Session, roster *member.Roster, pools func() []string, start func(member.Ownership) *Owner, logger *slog.Logger) *Keeper {
	k := &Keeper{
		clock: clock, session: session, roster: roster, pools: pools, start: start, logger: logger,
		owners: make(map[string]*Owner), orphans: make(map[string]time.Time),
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

// Owner returns the owner of a pool, if it is this member, or nil.
func (k *Keeper) Owner(pool string) *Owner {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owners[pool]
}

// round ends owners that own nothing any more and takes what is free. It
// returns when to look again.
func (k *Keeper) round(ctx context.Context) time.Duration {
	k.reap()
	next := keeperTick
	if !k.roster.Known() || !k.session.Proven() {
		return next
	}
	now := k.clock.Now()
	for _, pool := range k.pools() {
		next = min(next, k.tend(ctx, pool, now))
	}
	return max(next, time.Millisecond)
}

// reap forgets the owners that have ended.
func (k *Keeper) reap() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for pool, o := range k.owners {
		select {
		case <-o.Done():
			event.PoolLost.Log(k.logger, slog.String("pool", pool), slog.Any("reason", o.Err()))
			delete(k.owners, pool)
		default:
		}
	}
}

// tend looks after one pool, and returns when to look again.
func (k *Keeper) tend(ctx context.Context, pool string, now time.Time) time.Duration {
	mine := k.Owner(pool)
	holder, held := k.roster.Holding(pool)
	switch {
	case held && mine != nil && holder.Fence != mine.Ownership().Fence && holder.Fence > mine.Ownership().Fence:
		mine.Stop()
		return time.Millisecond
	case held && mine == nil && holder.Mine:
		// Taken by a change whose answer was lost.
		k.begin(member.Ownership{Pool: pool, Fence: holder.Fence, Revision: holder.Revision})
		return keeperTick
	case held || mine != nil:
		delete(k.orphans, pool)
		return keeperTick
	}
	since, ok := k.orphans[pool]
	if !ok {
		since = now
		k.orphans[pool] = now
	}
	if left := time.Duration(k.roster.Rank(pool))*rankPause - now.Sub(since); left > 0 {
		return left
	}
	return k.take(ctx, pool)
}

func (k *Keeper) take(ctx context.Context, pool string) time.Duration {
	own, err := k.roster.Take(ctx, pool)
	if err != nil {
		var conflict *pointport.TxnConflictError
		if !errors.As(err, &conflict) {
			event.PoolLost.Log(k.logger, slog.String("pool", pool), slog.Any("reason", err))
		}
		return rankPause
	}
	k.begin(own)
	return keeperTick
}

func (k *Keeper) begin(own member.Ownership) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped || k.owners[own.Pool] != nil {
		return
	}
	event.PoolTaken.Log(k.logger, slog.String("pool", own.Pool), slog.Int64("fence", int64(own.Fence)))
	delete(k.orphans, own.Pool)
	k.owners[own.Pool] = k.start(own)
}

// Stop ends all owners and takes no pool any more.
func (k *Keeper) Stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	for _, o := range k.owners {
		o.Stop()
	}
}
