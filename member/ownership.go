package member

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines ownerships of pools: how they are taken, proven and released.

// OwnerKey returns the store key that names the owner of a pool.
func OwnerKey(pool string) string { return ownerPrefix + pool }

// Ownership represents this member's ownership of a pool.
type Ownership struct {
	Pool string
	// Fence is the fencing token that all orders for the pool carry.
	Fence pointport.Fence
	// Revision is the owner key's revision, on which writes depend.
	Revision pointport.Revision
	proof    *proof
	// predecessorUnrecorded is the result of PredecessorUnrecorded.
	predecessorUnrecorded bool
}

// proof records until when an ownership cannot have been lost. The owner key may be deleted
// although its lease lives on, so renewing the lease alone does not prove the ownership. All
// times are steady-clock times.
type proof struct {
	clock pointport.Clock
	ttl   time.Duration // how long a call that read or wrote the key proves it
	mu    sync.Mutex
	until time.Time
	// unrecorded is the argument of the last call of NoteUnrecorded.
	unrecorded bool
}

// Proven reports whether the ownership cannot have been lost yet.
func (o Ownership) Proven() bool { return o.remaining() > 0 }

// ProvenByStore reports whether the store has proven the ownership so recently that it cannot have
// been lost yet.
func (o Ownership) ProvenByStore() bool { return o.remaining() > 0 }

// PeerLeased reports whether the ownership is proven, but only by peer leases.
func (o Ownership) PeerLeased() bool { return o.Proven() && !o.ProvenByStore() }

// PredecessorUnrecorded reports whether the previous owner may have started tasks whose start is not
// recorded in the store.
func (o Ownership) PredecessorUnrecorded() bool { return o.predecessorUnrecorded }

// NoteUnrecorded records whether this owner has started tasks whose start is not recorded in the
// store. It must be called with true before the first such start is sent.
func (o Ownership) NoteUnrecorded(unrecorded bool) {
	o.proof.mu.Lock()
	defer o.proof.mu.Unlock()
	o.proof.unrecorded = unrecorded
}

// prove notes that a call made at the steady time from found the owner key unchanged.
func (o Ownership) prove(from time.Time) {
	o.proof.mu.Lock()
	defer o.proof.mu.Unlock()
	if until := from.Add(o.proof.ttl); until.After(o.proof.until) {
		o.proof.until = until
	}
}

// remaining returns for how much longer the ownership is proven; it is negative afterwards.
func (o Ownership) remaining() time.Duration {
	now := o.proof.clock.Steady()
	o.proof.mu.Lock()
	defer o.proof.mu.Unlock()
	return o.proof.until.Sub(now)
}

// ErrNotOwner is returned when another member owns the pool, or nobody does.
var ErrNotOwner = errors.New("this member does not own the pool any more")

// ErrNoLease is returned when this member has no lease under which it could own a pool.
var ErrNoLease = errors.New("this member has no lease")

// newOwnership returns an ownership whose owner key was seen by a call made at the steady time
// from.
func (r *Roster) newOwnership(pool string, fence pointport.Fence, revision pointport.Revision, from time.Time) Ownership {
	o := Ownership{Pool: pool, Fence: fence, Revision: revision, proof: &proof{clock: r.clock, ttl: r.session.TTL()}}
	o.prove(from)
	return o
}

// Take makes this member the owner of a pool that has none. It fails with a
// *pointport.TxnConflictError if the pool has an owner, and with ErrNoLease if this member has
// no lease for it.
func (r *Roster) Take(ctx context.Context, pool string) (Ownership, error) {
	done, _ := r.Reserve(false) // never fails for only == false
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
		// Apply the change before the watch returns it, so that it counts in the rank for the
		// next pool.
		r.apply([]pointport.Entry{pointport.NewEntry(key, value, revision).WithCreated(revision).WithLease(lease)})
		return r.newOwnership(pool, pointport.Fence(revision), revision, from), nil
	case errors.As(err, &conflict):
		for _, e := range conflict.Entries {
			if e.Key() == key && e.Lease() == lease {
				// An earlier call, whose answer was lost, has taken the pool.
				return r.newOwnership(pool, pointport.Fence(e.Created()), e.Revision(), from), nil
			}
		}
	}
	return r.resolveTake(ctx, pool, lease, err)
}

// resolveTake determines whether a Take whose answer was lost has taken effect.
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

// Check reads the owner key, which extends the time for which the ownership is proven. It
// fails with ErrNotOwner if the ownership is lost.
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

// Release gives up an ownership so that another member can take the pool at once.
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
	r.removeOwner(own) // on a conflict the ownership was already lost
	return nil
}

// removeOwner removes a lost ownership from the roster before a watch has returned the change.
func (r *Roster) removeOwner(own Ownership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, ok := r.owners[own.Pool]; ok && o.entry.Revision() == own.Revision {
		delete(r.owners, own.Pool)
	}
}

// clearLastOwner notes that this member gives up a pool voluntarily, so that it is not treated
// as the pool's last owner.
func (r *Roster) clearLastOwner(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastOwner[pool] == r.self.Name {
		delete(r.lastOwner, pool)
	}
}
