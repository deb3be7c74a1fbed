package pointport

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// This file defines the basic interface to the platform's key-value service.

// A Revision identifies one state of a key. It grows with every change of the
// key and is zero while the key does not exist.
type Revision int64

// An Entry is the state of one key at one revision.
type Entry struct {
	key      string
	value    []byte
	size     int // of the whole value
	revision Revision
	created  Revision
	lease    LeaseID
}

// NewEntry returns the state of a key. A revision of zero means that the key
// does not exist.
func NewEntry(key string, value []byte, revision Revision) Entry {
	return Entry{key: key, value: value, size: len(value), revision: revision}
}

// WithCreated returns e with the revision at which the key was created.
func (e Entry) WithCreated(created Revision) Entry {
	e.created = created
	return e
}

// WithLease returns e with the lease that the key is attached to.
func (e Entry) WithLease(lease LeaseID) Entry {
	e.lease = lease
	return e
}

// Created returns the revision at which the key was created. Changes of the key
// do not affect it. It is zero if the store does not provide it.
func (e Entry) Created() Revision { return e.created }

// Lease returns the lease that the key is attached to, or zero if there is none.
func (e Entry) Lease() LeaseID { return e.lease }

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the stored bytes. The caller must not modify them.
func (e Entry) Value() []byte { return e.value }

// Size returns the number of bytes of the key's value. It is larger than the length of Value after
// Truncated.
func (e Entry) Size() int { return e.size }

// Truncated returns the entry with a copy of the first bytes of its value if the value has more.
func (e Entry) Truncated(bytes int) Entry {
	if len(e.value) > bytes {
		e.value = slices.Clone(e.value[:bytes])
	}
	return e
}

// Revision returns the revision, or zero if the key does not exist.
func (e Entry) Revision() Revision { return e.revision }

// Exists reports whether the key exists.
func (e Entry) Exists() bool { return e.revision != 0 }

// A Store is the minimal interface to the platform's key-value service.
//
// Every method may fail with an *UnavailableError. If its Ambiguous field is
// true, the change may have taken effect although no answer came.
type Store interface {
	// Get returns the state of key. A missing key is an Entry that does not
	// exist, not an error.
	Get(ctx context.Context, key string) (Entry, error)

	// CompareAndSwap sets key to value if its revision is still have, and
	// returns the new revision. Zero means that the key must not exist yet.
	// It fails with a *ConflictError if the key has another revision.
	CompareAndSwap(ctx context.Context, key string, have Revision, value []byte) (Revision, error)
}

// A Watcher is a Store that can wait for a change.
type Watcher interface {
	// Watch waits until the revision of key is greater than after and returns the
	// key's state. If the service ends the wait before, the state is unchanged.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
}

// A Deleter is a Store that can remove a key.
type Deleter interface {
	// Delete removes key if its revision is still have. It fails with a
	// *ConflictError if the key has another revision.
	Delete(ctx context.Context, key string, have Revision) error
}

// A Leaser is a Store that grants leases.
type Leaser interface {
	// Lease grants or extends the lease called name for holder. It fails with
	// a *HeldError while another holder has it. The caller must count the TTL
	// from before the call, because the answer may be late.
	Lease(ctx context.Context, name, holder string, ttl time.Duration) error

	// Release ends holder's lease called name, if it still has it.
	Release(ctx context.Context, name, holder string) error
}

// A ConflictError reports that a key was not at the revision that a change
// expected. It is returned by a Store.
type ConflictError struct {
	Key  string   // the key that was to change
	Want Revision // the revision that the change expected
	Have Revision // the revision that the key had
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store key %q: want revision %d, have %d", e.Key, e.Want, e.Have)
}

// A HeldError reports that another holder has a lease. It is returned by a
// Leaser.
type HeldError struct {
	Name   string // the lease
	Holder string // its current holder
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("lease %q is held by %q", e.Name, e.Holder)
}

// An UnavailableError reports that the platform's service gave no usable answer.
type UnavailableError struct {
	Op        string // the call, such as "get"
	Key       string // the key or the lease of the call
	Ambiguous bool   // whether a change may have taken effect nevertheless
	// Busy means that the call was refused, without effect, because there were
	// too many calls.
	Busy bool
	Err  error // the cause
}

// IsBusy reports whether err is an UnavailableError with Busy set.
func IsBusy(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable) && unavailable.Busy
}

func (e *UnavailableError) Error() string {
	effect := "no effect"
	if e.Ambiguous {
		effect = "effect unknown"
	}
	return fmt.Sprintf("store %s %q unavailable (%s): %v", e.Op, e.Key, effect, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
