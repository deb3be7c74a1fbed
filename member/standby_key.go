package member

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/peerlease"
)

// This file defines how an owner stores the standby key of its pool: with the transaction that
// takes the pool, with other writes, or by itself.

// maxOutdated is how long a standby key may be out of date before the owner writes it although it
// has nothing else to write. The write and a retry fit into the rest of the second that is allowed.
const maxOutdated = 500 * time.Millisecond

// idleBound is the bound of a document without standbys: its owner uses no peer leases. It is not
// zero, which a document must not have.
const idleBound = time.Nanosecond

// documentChange is a change of a standby key.
type documentChange struct {
	key      string
	document *peerlease.Document // nil deletes the key
	value    []byte
}

// newDocumentChange returns the change that stores a list of standbys. Without standbys the key is
// deleted, unless it must tell a successor that tasks may have been started without a record.
func (r *Roster) newDocumentChange(pool string, fence pointport.Fence, standbys []peerlease.Process, unrecorded bool) (*documentChange, error) {
	c := &documentChange{key: StandbyKey(pool)}
	if len(standbys) == 0 && !unrecorded {
		return c, nil
	}
	d := peerlease.NewDocument(r.self.process(), fence, standbys, r.leases.limit, r.session.TTL())
	d.Unrecorded = unrecorded
	if len(standbys) == 0 {
		d.Bound = idleBound
	}
	value, err := d.Encode()
	c.document, c.value = &d, value
	return c, err
}

// addTo adds the change to a transaction. known is the revision of the standby key; a key that does
// not exist is not deleted.
func (c *documentChange) addTo(txn *pointport.Txn, known pointport.Revision) {
	switch {
	case c.document != nil:
		txn.Put = append(txn.Put, pointport.Put{Key: c.key, Value: c.value})
	case known != 0:
		txn.Delete = append(txn.Delete, c.key)
	}
}

// entry returns the standby key after the change, which was committed at a revision.
func (c *documentChange) entry(at pointport.Revision) pointport.Entry {
	if c.document == nil {
		return pointport.NewEntry(c.key, nil, 0)
	}
	return pointport.NewEntry(c.key, c.value, at)
}

// standbys returns the standbys that the change stores.
func (c *documentChange) standbys() []peerlease.Process {
	if c.document == nil {
		return nil
	}
	return c.document.Standbys
}

// outdated returns the standbys and the value of Unrecorded that should be stored, and false if the stored ones
// are right.
func (l *ownerLeases) outdated(own Ownership) (standbys []peerlease.Process, unrecorded, ok bool) {
	if own.proof.notedUnrecorded() {
		// A standby of a new list, which never granted a lease, would tell a successor that all
		// starts are recorded.
		return nil, false, false
	}
	stored := l.proof.Standbys()
	standbys, changed := l.roster.desiredStandbys(l.pool, stored)
	if !changed {
		standbys = stored
	}
	unrecorded = own.proof.predecessorUnsettled()
	l.mu.Lock()
	defer l.mu.Unlock()
	return standbys, unrecorded, changed || unrecorded != l.storedUnrecorded
}

// begin returns the change that makes the standby key right and the key's revision, and notes that
// the change is about to be sent. It returns nil if there is none, or another has no answer yet.
func (l *ownerLeases) begin(own Ownership) (*documentChange, pointport.Revision) {
	standbys, unrecorded, ok := l.outdated(own)
	if !ok {
		return nil, 0
	}
	c, err := l.roster.newDocumentChange(l.pool, l.fence, standbys, unrecorded)
	if err != nil {
		l.roster.logChangeAmbiguous(l.pool, err)
		return nil, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.change != nil {
		return nil, 0
	}
	l.proof.BeginChange(c.standbys())
	// The owner checks its proof between NoteUnrecorded and the first such start. So either this
	// check finds the start, or that one needs the leases of the new list.
	if own.proof.notedUnrecorded() {
		l.proof.EndChange(false)
		return nil, 0
	}
	l.change = c
	return c, l.revision
}

// end notes that a change was committed at a revision.
func (l *ownerLeases) end(c *documentChange, at pointport.Revision) {
	l.mu.Lock()
	e := c.entry(at)
	l.revision, l.storedUnrecorded, l.change = e.Revision(), c.document != nil && c.document.Unrecorded, nil
	l.proof.EndChange(true)
	l.mu.Unlock()
	l.roster.apply([]pointport.Entry{e})
}

// storeOutdated writes the standby key if it has been out of date for maxOutdated.
func (t *leaseTracker) storeOutdated(ctx context.Context) {
	now := t.roster.clock.Steady()
	if _, _, outdated := t.leases.outdated(t.own); !outdated || !t.own.ProvenByStore() {
		t.outdated = time.Time{}
		return
	}
	if t.outdated.IsZero() {
		t.outdated = now
	}
	if now.Sub(t.outdated) < maxOutdated {
		return
	}
	c, known := t.leases.begin(t.own)
	if c == nil {
		return
	}
	t.outdated = time.Time{}
	go t.commit(ctx, c, known)
}

// commit stores a change of the standby key in a transaction of its own. Until its outcome is known
// it is sent again, because a copy may still be carried out: the leases of both lists are needed
// until then.
func (t *leaseTracker) commit(ctx context.Context, c *documentChange, known pointport.Revision) {
	txn := pointport.Txn{If: []pointport.Condition{
		{Key: OwnerKey(t.own.Pool), Revision: t.own.Revision},
		{Key: c.key, Revision: known},
	}}
	c.addTo(&txn, known)
	var retry backoff
	for ctx.Err() == nil {
		from := t.roster.clock.Steady()
		at, err := t.roster.kv.Commit(ctx, txn)
		var conflict *pointport.TxnConflictError
		switch {
		case err == nil:
			t.own.prove(from)
			t.leases.end(c, at)
			return
		case errors.As(err, &conflict):
			t.resolve(c, conflict)
			return
		}
		t.roster.logChangeAmbiguous(t.own.Pool, err)
		sleep(ctx, t.roster.clock, retry.after(err))
	}
}

// resolve determines whether an earlier attempt has committed a change. Otherwise the pool has
// another owner, and the change stays without an outcome.
func (t *leaseTracker) resolve(c *documentChange, conflict *pointport.TxnConflictError) {
	for _, e := range conflict.Entries {
		if e.Key() != c.key {
			continue
		}
		want := c.entry(e.Revision())
		if e.Exists() == want.Exists() && string(e.Value()) == string(want.Value()) {
			t.leases.end(c, e.Revision())
		}
	}
}
