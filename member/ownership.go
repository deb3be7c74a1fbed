package member

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines ownerships of pools: how one is taken, proven and given up.

// OwnerKey returns the key that says who owns a pool.
func OwnerKey(pool string) string { return ownerPrefix + pool }

// An Ownership says that this member owns a pool.
type Ownership struct {
	Pool string
	// Fence is the number that all orders for the pool bear.
	Fence pointport.Fence
	// Revision is the owner key's revision, on which writes depend.
	Revision pointport.Revision
	proof    *proof
}

// A proof says until when an ownership has surely not been lost. A key may be
// taken away although the lease that it goes with lives on, so a renewed lease
// alone proves nothing. Its times are steady ones.
type proof struct {
	clock pointport.Clock
	ttl   time.Duration // for how long a call that saw the key proves it
	mu    sync.Mutex
	until time.Time
}

// Proven reports whether the ownership has surely not been lost.
func (o Ownership) Proven() bool { return o.remaining() > 0 }

// prove takes in that the owner key was seen by a call made at the steady time from.
func (o Ownership) prove(from time.Time) {
	o.proof.mu.Lock()
	defer o.proof.mu.Unlock()
	if until := from.Add(o.proof.ttl); until.After(o.proof.until) {
		o.proof.until = until
	}
}

// remaining returns for how long the ownership is proven from now on.
func (o Ownership) remaining() time.Duration {
	now := o.proof.clock.Steady()
	o.proof.mu.Lock()
	defer o.proof.mu.Unlock()
	return o.proof.until.Sub(now)
}

// ErrNotOwner says that another member owns the pool, or nobody.
var ErrNotOwner = errors.New("this member does not own the pool any more")

// ErrNoLease says that this member has no lease under which it could own.
var ErrNoLease = errors.New("this member has no lease")

// newOwnership returns an ownership that was seen by a call made at the steady time from.
func (r *Roster) newOwnership(pool string, fence pointport.Fence, revision pointport.Revision, from time.Time) Ownership {
	o := Ownership{Pool: pool, Fence: fence, Revision: revision, proof: &proof{clock: r.clock, ttl: r.session.TTL()}}
	o.prove(from)
	return o
}

// Take makes this member the owner of a pool that has none. It fails with a
// *pointport.TxnConflictError if the pool has an owner.
func (r *Roster) Take(ctx context.Context, pool string) (Ownership, error) {
	done, _ := r.Reserve(false) // without a condition it never fails
	defer done()
	lease, err := r.session.ownerLease(ctx)
	if err != nil {
		return Ownership{}, err
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return Ownership{}, err
	}
	key := OwnerKey(pool)
	from := r.clock.Steady()
	revision, err := r.kv.Commit(ctx, pointport.Txn{
		If:  []pointport.Condition{{Key: key}},
		Put: []pointport.Put{{Key: key, Value: value, Lease: lease}},
	})
	var conflict *pointport.TxnConflictError
	switch {
	case err == nil:
		// Seen at once, it counts before the next pool is taken.
		r.apply([]pointport.Entry{pointport.NewEntry(key, value, revision).WithCreated(revision).WithLease(lease)})
		return r.newOwnership(pool, pointport.Fence(revision), revision, from), nil
	case errors.As(err, &conflict):
		for _, e := range conflict.Entries {
			if e.Key() == key && e.Lease() == lease {
				// It was taken by a call whose answer was lost.
				return r.newOwnership(pool, pointport.Fence(e.Created()), e.Revision(), from), nil
			}
		}
	}
	return r.resolveTake(ctx, pool, lease, err)
}

// resolveTake finds out whether a Take whose answer was lost has taken effect.
func (r *Roster) resolveTake(ctx context.Context, pool string, lease pointport.LeaseID, cause error) (Ownership, error) {
	var unavailable *pointport.UnavailableError
	if !errors.As(cause, &unavailable) || !unavailable.Ambiguous {
		return Ownership{}, cause
	}
	from := r.clock.Steady()
	e, err := r.kv.Get(ctx, OwnerKey(pool))
	if err != nil {
		return Ownership{}, errors.Join(cause, err)
	}
	if !e.Exists() || e.Lease() != lease {
		return Ownership{}, cause
	}
	return r.newOwnership(pool, pointport.Fence(e.Created()), e.Revision(), from), nil
}

// Check reads the owner key, so that Proven holds for longer. It fails with
// ErrLost if the ownership is lost.
func (r *Roster) Check(ctx context.Context, own Ownership) error {
	from := r.clock.Steady()
	e, err := r.kv.Get(ctx, OwnerKey(own.Pool))
	if err != nil {
		return err
	}
	if e.Revision() != own.Revision {
		r.apply([]pointport.Entry{e})
		return ErrNotOwner
	}
	own.prove(from)
	return nil
}

// Release gives up an ownership, so that another member can take the pool at
// once.
func (r *Roster) Release(ctx context.Context, own Ownership) error {
	key := OwnerKey(own.Pool)
	r.clearLastOwner(own.Pool)
	_, err := r.kv.Commit(ctx, pointport.Txn{
		If:     []pointport.Condition{{Key: key, Revision: own.Revision}},
		Delete: []string{key},
	})
	var conflict *pointport.TxnConflictError
	if err != nil && !errors.As(err, &conflict) {
		return err
	}
	r.removeOwner(own) // with a conflict it was lost already
	return nil
}

// removeOwner takes in that an ownership is lost although no watch has told so.
func (r *Roster) removeOwner(own Ownership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, ok := r.owners[own.Pool]; ok && o.entry.Revision() == own.Revision {
		delete(r.owners, own.Pool)
	}
}

// clearLastOwner notes that this member gives a pool up of its own will.
func (r *Roster) clearLastOwner(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastOwner[pool] == r.self.Name {
		delete(r.lastOwner, pool)
	}
}
