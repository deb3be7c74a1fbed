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
}

// proof records until when an ownership cannot have been lost. The owner key may be deleted
// although its lease lives on, so renewing the lease alone does not prove the ownership. All
// times are steady-clock times.
type proof struct {
	clock pointport.Clock
	ttl   time.Duration // how long a call that read or wrote the key proves it
	// leases are the peer leases; nil if the pool is owned without them.
	leases *ownerLeases
	// predecessorUnrecorded is the result of PredecessorUnrecorded.
	predecessorUnrecorded bool

	mu sync.Mutex
	// until is the zero time if the store has never proven the ownership.
	until time.Time
	// unrecorded is the argument of the last call of NoteUnrecorded.
	unrecorded bool
	// settled reports whether NoteUnrecorded was called with false.
	settled bool
}

// Proven reports whether the ownership cannot have been lost yet.
func (o Ownership) Proven() bool { return o.remaining() > 0 }

// ProvenByStore reports whether the store has proven the ownership so recently that it cannot have
// been lost yet.
func (o Ownership) ProvenByStore() bool { return o.remainingByStore() > 0 }

// PeerLeased reports whether the ownership is proven, but only by peer leases.
func (o Ownership) PeerLeased() bool { return !o.ProvenByStore() && o.Proven() }

// PredecessorUnrecorded reports whether the previous owner, or one before it, may have started tasks
// whose start is not recorded in the store.
func (o Ownership) PredecessorUnrecorded() bool { return o.proof.predecessorUnrecorded }

// NoteUnrecorded records whether tasks may have been started whose start is not recorded in the
// store, by this owner or by a predecessor. It must be called with true before the first such start
// is sent, and PeerLeased must be true after that call. An owner for which PredecessorUnrecorded is
// true calls it with false once it knows which tasks run, and that is recorded; until then a
// successor of this owner holds them back in turn.
func (o Ownership) NoteUnrecorded(unrecorded bool) {
	o.proof.mu.Lock()
	defer o.proof.mu.Unlock()
	o.proof.unrecorded = unrecorded
	o.proof.settled = o.proof.settled || !unrecorded
}

// notedUnrecorded returns the argument of the last call of NoteUnrecorded. It is true for starts of
// this owner and, once its controller has loaded, for those of a predecessor that are not settled.
func (p *proof) notedUnrecorded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unrecorded
}

// predecessorUnsettled reports whether a predecessor's starts are not settled yet.
func (p *proof) predecessorUnsettled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.predecessorUnrecorded && !p.settled
}

// mayHaveUnrecorded reports whether starts of this owner or of a predecessor may not be recorded.
func (p *proof) mayHaveUnrecorded() bool { return p.notedUnrecorded() || p.predecessorUnsettled() }

// prove notes that a call made at the steady time from found the owner key unchanged.
func (o Ownership) prove(from time.Time) {
	o.proof.mu.Lock()
	defer o.proof.mu.Unlock()
	if until := from.Add(o.proof.ttl); until.After(o.proof.until) {
		o.proof.until = until
	}
}

// remainingByStore returns for how much longer the store proves the ownership; it is negative
// afterwards.
func (o Ownership) remainingByStore() time.Duration {
	now := o.proof.clock.Steady()
	o.proof.mu.Lock()
	defer o.proof.mu.Unlock()
	return o.proof.until.Sub(now)
}

// remaining returns for how much longer the ownership is proven, by the store or by peer leases; it
// is negative afterwards.
func (o Ownership) remaining() time.Duration {
	left := o.remainingByStore()
	if left > 0 || o.proof.leases == nil {
		return left
	}
	now := o.proof.clock.Steady()
	o.proof.mu.Lock()
	until := o.proof.until
	o.proof.mu.Unlock()
	return max(left, o.proof.leases.until(until).Sub(now))
}

// ErrNotOwner is returned when another member owns the pool, or nobody does.
var ErrNotOwner = errors.New("this member does not own the pool any more")

// ErrNoLease is returned when this member has no lease under which it could own a pool.
var ErrNoLease = errors.New("this member has no lease")

// newOwnership returns an ownership whose owner key was seen by a call made at the steady time
// from; the zero time means that no call has shown it.
func (r *Roster) newOwnership(pool string, fence pointport.Fence, revision pointport.Revision, from time.Time) Ownership {
	o := Ownership{Pool: pool, Fence: fence, Revision: revision, proof: &proof{clock: r.clock, ttl: r.session.TTL()}}
	if !from.IsZero() {
		o.prove(from)
	}
	return o
}

// Take makes this member the owner of a pool that has none. It fails with a
// *pointport.TxnConflictError if the pool has an owner, and with ErrNoLease if this member has
// no lease for it.
func (r *Roster) Take(ctx context.Context, pool string) (Ownership, error) {
	return r.take(ctx, pool, nil)
}

// take is Take. If t is not nil, the pool is owned with peer leases: the transaction also depends
// on the standby key, and changes it.
func (r *Roster) take(ctx context.Context, pool string, t *takeover) (Ownership, error) {
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
	txn := pointport.Txn{
		If:  []pointport.Condition{{Key: key}},
		Put: []pointport.Put{{Key: key, Value: value, Lease: lease}},
	}
	if t != nil {
		txn.If = append(txn.If, pointport.Condition{Key: t.change.key, Revision: t.known})
		t.change.addTo(&txn, t.known)
	}
	from := r.clock.Steady()
	revision, err := r.kv.Commit(ctx, txn)
	if err == nil {
		// Apply the change before the watch returns it, so that it counts in the rank for the
		// next pool.
		changed := []pointport.Entry{pointport.NewEntry(key, value, revision).WithCreated(revision).WithLease(lease)}
		if t != nil {
			changed = append(changed, t.change.entry(revision))
		}
		r.apply(changed)
		return r.newOwnership(pool, pointport.Fence(revision), revision, from), nil
	}
	own, err := r.resolveTake(ctx, pool, lease, from, err)
	if err == nil && t != nil {
		// The standby key that this transaction or an earlier one has written.
		if e, err := r.kv.Get(ctx, t.change.key); err == nil {
			r.apply([]pointport.Entry{e})
		}
	}
	return own, err
}

// resolveTake determines whether a Take that has failed, or an earlier one whose answer was lost,
// has taken effect.
func (r *Roster) resolveTake(ctx context.Context, pool string, lease pointport.LeaseID, from time.Time, cause error) (Ownership, error) {
	var conflict *pointport.TxnConflictError
	var unavailable *pointport.UnavailableError
	switch {
	case errors.As(cause, &conflict):
		r.applyStandbys(pool, conflict.Entries)
		for _, e := range conflict.Entries {
			if e.Key() == OwnerKey(pool) && e.Lease() == lease {
				return r.newOwnership(pool, pointport.Fence(e.Created()), e.Revision(), from), nil
			}
		}
		return Ownership{}, cause
	case !errors.As(cause, &unavailable) || !unavailable.Ambiguous:
		return Ownership{}, cause
	}
	from = r.clock.Steady()
	e, err := r.kv.Get(ctx, OwnerKey(pool))
	if err != nil {
		return Ownership{}, errors.Join(cause, err)
	}
	if !e.Exists() || e.Lease() != lease {
		return Ownership{}, cause
	}
	return r.newOwnership(pool, pointport.Fence(e.Created()), e.Revision(), from), nil
}

// applyStandbys applies a pool's standby key, if it is among entries.
func (r *Roster) applyStandbys(pool string, entries []pointport.Entry) {
	for _, e := range entries {
		if e.Key() == StandbyKey(pool) {
			r.apply([]pointport.Entry{e})
		}
	}
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

// Release gives up an ownership so that another member can take the pool at once. It deletes the
// standby key, unless that must tell the successor that starts may not be recorded.
func (r *Roster) Release(ctx context.Context, own Ownership) error {
	key := OwnerKey(own.Pool)
	r.clearLastOwner(own.Pool)
	txn := pointport.Txn{
		If:     []pointport.Condition{{Key: key, Revision: own.Revision}},
		Delete: []string{key},
	}
	if own.proof.leases != nil && !own.proof.mayHaveUnrecorded() && r.leases.recorded(own.Pool, own.Fence) {
		txn.Delete = append(txn.Delete, StandbyKey(own.Pool))
	}
	_, err := r.kv.Commit(ctx, txn)
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
