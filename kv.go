package pointport

import (
	"context"
	"fmt"
	"time"
)

// This file defines what jobs and membership need of the platform's key-value
// service beyond a Store: transactions over several keys, ranges, watches on
// prefixes, and leases that keys go with.

// A LeaseID names a lease of the platform's service. Keys that were put under a
// lease go when it ends.
type LeaseID int64

// A Condition says at which revision a key must be. Zero means that the key
// must not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// A Put sets a key, under a lease unless Lease is zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// A Txn is a change of several keys that is made wholly or not at all, and only
// if all conditions hold.
type Txn struct {
	If     []Condition
	Put    []Put
	Delete []string
}

// MaxTxnEntries is the most conditions, puts and deletes that one transaction
// may hold together; the platform sets it.
const MaxTxnEntries = 32

// Entries returns how many entries the transaction has.
func (t Txn) Entries() int { return len(t.If) + len(t.Put) + len(t.Delete) }

// A Page is a part of the keys under a prefix, in the order of their keys.
// Pages of one range form no snapshot.
type Page struct {
	Entries  []Entry
	More     bool     // whether further keys follow
	Revision Revision // the service's revision when the page was read
}

// Changes are what a watch has seen, in order. A deleted key is an Entry that
// does not exist.
type Changes struct {
	Entries  []Entry
	Revision Revision // from where the next watch goes on
}

// A KV is the platform's key-value service with all that jobs need of it.
//
// Every method may fail with an *UnavailableError.
type KV interface {
	// Get returns the state of key. A missing key is an Entry that does not
	// exist, not an error.
	Get(ctx context.Context, key string) (Entry, error)

	// Commit makes a change and returns its revision. It fails with a
	// *TxnConflictError if a condition does not hold, and with a
	// *LeaseEndedError if a lease that it names has ended.
	Commit(ctx context.Context, txn Txn) (Revision, error)

	// Range returns the keys under prefix that come after the key named.
	Range(ctx context.Context, prefix, after string) (Page, error)

	// WatchPrefix returns the changes of keys under prefix after a revision as
	// soon as there is one, or none when wait has passed. It fails with a
	// *CompactedError if the service has forgotten the changes since.
	WatchPrefix(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)

	// Grant makes a lease, which runs from before the answer.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

	// Renew starts a lease's time anew. It fails with a *LeaseEndedError if the
	// lease has ended.
	Renew(ctx context.Context, lease LeaseID) error

	// Revoke ends a lease; its keys go at once.
	Revoke(ctx context.Context, lease LeaseID) error
}

// A TxnConflictError says that a condition of a transaction did not hold, and
// what the keys of its conditions were. It comes from a KV.
type TxnConflictError struct {
	Entries []Entry
}

func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("transaction refused: a condition on %d keys does not hold", len(e.Entries))
}

// A LeaseEndedError says that a lease is over. It comes from a KV.
type LeaseEndedError struct {
	Lease LeaseID
}

func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// A CompactedError says that the service has forgotten the changes that a watch
// asked for. It comes from a KV.
type CompactedError struct {
	Prefix string
	After  Revision
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes of %q after revision %d are forgotten", e.Prefix, e.After)
}
