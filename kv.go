package pointport

import (
	"context"
	"fmt"
	"time"
)

// This file defines the features of the platform's key-value service that jobs
// and membership need beyond a Store: transactions over several keys, ranges,
// watches on prefixes, and leases that keys are attached to.

// A LeaseID identifies a lease of the platform's service. When a lease ends, the
// keys that were put under it are deleted.
type LeaseID int64

// A Condition requires a key to be at a revision. Zero means that the key must
// not exist.
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

// A Txn is an atomic change of several keys, which is made only if all its
// conditions hold.
type Txn struct {
	If     []Condition
	Put    []Put
	Delete []string
}

// MaxTxnEntries is the maximum number of conditions, puts and deletes together
// in one transaction. It is a limit of the platform.
const MaxTxnEntries = 32

// Entries returns the number of conditions, puts and deletes in the transaction.
func (t Txn) Entries() int { return len(t.If) + len(t.Put) + len(t.Delete) }

// A Page is a part of the keys under a prefix, sorted by key. The pages of one
// range together are not a snapshot.
type Page struct {
	Entries  []Entry
	More     bool     // whether further keys follow
	Revision Revision // the service's revision when the page was read
}

// Changes are the changes that a watch returned, in order. A deleted key is an
// Entry that does not exist.
type Changes struct {
	Entries  []Entry
	Revision Revision // the revision after which the next watch continues
}

// A KV is the platform's key-value service with all features that jobs need.
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

	// Range returns the keys under prefix that come after the key called after.
	Range(ctx context.Context, prefix, after string) (Page, error)

	// WatchPrefix waits until keys under prefix have changed after a revision, and
	// returns the changes; it returns none if there are none within wait. It fails
	// with a *CompactedError if the service no longer keeps the changes since that
	// revision.
	WatchPrefix(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)

	// Grant creates a lease. Its time starts before the answer arrives.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

	// Renew restarts a lease's time. It fails with a *LeaseEndedError if the
	// lease has ended.
	Renew(ctx context.Context, lease LeaseID) error

	// Revoke ends a lease and deletes its keys at once.
	Revoke(ctx context.Context, lease LeaseID) error
}

// A TxnConflictError reports that a condition of a transaction did not hold. It
// is returned by a KV.
type TxnConflictError struct {
	Entries []Entry // the state of the keys of the conditions
}

func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("transaction refused: a condition on %d keys does not hold", len(e.Entries))
}

// A LeaseEndedError reports that a lease has ended. It is returned by a KV.
type LeaseEndedError struct {
	Lease LeaseID
}

func (e *LeaseEndedError) Error() string { return fmt.Sprintf("lease %d has ended", e.Lease) }

// A CompactedError reports that the service no longer keeps the changes that a
// watch asked for. It is returned by a KV.
type CompactedError struct {
	Prefix string
	After  Revision
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes of %q after revision %d are forgotten", e.Prefix, e.After)
}
