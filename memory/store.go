// Package memory implements pointport.Store and pointport.KV in memory. It stands
// in for the platform's store in tests and in the embedded default, and can inject
// the faults of the real one.
//
// Invariants: each write of a value gets a higher revision than all writes before; a
// change whose outcome a fault makes ambiguous has taken effect either completely or
// not at all.
package memory

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the store and its faults.

// A Fault is the way in which a call fails.
type Fault int

// The faults that can be injected.
const (
	FaultNone         Fault = iota // the call succeeds
	FaultDown                      // the call fails and has no effect
	FaultLostAnswer                // the call takes effect and its answer is lost
	FaultLostCall                  // the call has no effect, but the caller cannot know that
	FaultBusy                      // the call is refused because of too many calls
	FaultLate                      // a KV's call takes effect after lateDelay, without an answer
	FaultWatchTimeout              // a KV's watch gets no answer, which the caller notices after its wait
)

// errDown is the cause of the error of a call with FaultDown.
var errDown = errors.New("stand-in store is down")

// errBusy is the cause of the error of a call with FaultBusy.
var errBusy = errors.New("stand-in store has too many calls")

// errLostAnswer is the cause of the error of a Store's call with FaultLostAnswer or
// FaultLostCall.
var errLostAnswer = errors.New("stand-in store lost the answer")

// An Injector chooses the fault of each call from the name of the operation ("get",
// "cas", "delete", "watch", "lease", "release") and its key. It is called without
// the store's lock held, so it may call the store.
type Injector func(op, key string) Fault

// Counts holds statistics of a store's calls.
type Counts struct {
	Reads     int64 `json:"reads"`     // calls of Get and Range
	Writes    int64 `json:"writes"`    // calls of CompareAndSwap, Delete and Commit
	Watches   int64 `json:"watches"`   // calls of Watch, and reads by WatchPrefix
	Leases    int64 `json:"leases"`    // calls of Lease, Release, Grant, Renew and Revoke
	BytesOut  int64 `json:"bytesOut"`  // bytes of values returned by Get and Watch of a Store
	BytesIn   int64 `json:"bytesIn"`   // bytes of values written
	Conflicts int64 `json:"conflicts"` // writes refused because of another write
}

// A Store is a key-value service in memory. It is safe for concurrent use.
type Store struct {
	clock  pointport.Clock
	inject Injector

	mu       sync.Mutex
	revision pointport.Revision
	entries  map[string]pointport.Entry
	leases   map[string]lease
	changed  chan struct{} // closed and replaced to make waiting watches read again
	counts   Counts

	grants      map[pointport.LeaseID]*grant
	lastLease   pointport.LeaseID
	history     []change           // in the order of revisions
	compactedAt pointport.Revision // history holds only changes after this revision
	dropEvents  bool               // watches of prefixes return no changes
}

type lease struct {
	holder string
	until  time.Time
}

var (
	_ pointport.Store   = (*Store)(nil)
	_ pointport.Watcher = (*Store)(nil)
	_ pointport.Deleter = (*Store)(nil)
	_ pointport.Leaser  = (*Store)(nil)
)

// An Option changes how a Store behaves.
type Option func(*Store)

// WithInjector sets the function that chooses the fault of each call.
func WithInjector(inject Injector) Option { return func(s *Store) { s.inject = inject } }

// New returns an empty store. Leases expire by clock.
func New(clock pointport.Clock, options ...Option) *Store {
	s := &Store{
		clock:   clock,
		inject:  func(string, string) Fault { return FaultNone },
		entries: make(map[string]pointport.Entry),
		leases:  make(map[string]lease),
		changed: make(chan struct{}),
		grants:  make(map[pointport.LeaseID]*grant),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetInjector replaces the function that chooses the fault of each call.
func (s *Store) SetInjector(inject Injector) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject = inject
}

// Counts returns the statistics of the store's calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// KeyCount returns the number of keys.
func (s *Store) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// StoredBytes returns the total size of all values, in bytes.
func (s *Store) StoredBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, e := range s.entries {
		n += int64(len(e.Value()))
	}
	return n
}

// call runs one operation with the fault that is injected for it.
func (s *Store) call(ctx context.Context, op, key string, run func() error) error {
	if err := ctx.Err(); err != nil {
		return &pointport.UnavailableError{Op: op, Key: key, Err: err}
	}
	s.mu.Lock()
	inject := s.inject
	s.mu.Unlock()
	fault := inject(op, key)
	switch fault {
	case FaultDown:
		return &pointport.UnavailableError{Op: op, Key: key, Err: errDown}
	case FaultBusy:
		return &pointport.UnavailableError{Op: op, Key: key, Busy: true, Err: errBusy}
	case FaultLostCall:
		return &pointport.UnavailableError{Op: op, Key: key, Ambiguous: true, Err: errLostAnswer}
	}
	s.mu.Lock()
	err := run()
	s.mu.Unlock()
	if fault == FaultLostAnswer {
		return &pointport.UnavailableError{Op: op, Key: key, Ambiguous: true, Err: errLostAnswer}
	}
	return err
}

// Get returns the entry of key. The entry of a key that does not exist has revision
// zero.
func (s *Store) Get(ctx context.Context, key string) (pointport.Entry, error) {
	var e pointport.Entry
	err := s.call(ctx, "get", key, func() error {
		s.counts.Reads++
		e = s.entry(key)
		s.counts.BytesOut += int64(len(e.Value()))
		return nil
	})
	if err != nil {
		return pointport.Entry{}, err
	}
	return e, nil
}

// entry returns the entry of key. The lock is held.
func (s *Store) entry(key string) pointport.Entry {
	if e, ok := s.entries[key]; ok {
		return e
	}
	return pointport.NewEntry(key, nil, 0)
}

// CompareAndSwap sets key to value and returns its new revision. It fails with a
// *pointport.ConflictError if the key's revision is not have, zero for a key that does
// not exist.
func (s *Store) CompareAndSwap(ctx context.Context, key string, have pointport.Revision, value []byte) (pointport.Revision, error) {
	var rev pointport.Revision
	err := s.call(ctx, "cas", key, func() error {
		s.counts.Writes++
		s.counts.BytesIn += int64(len(value))
		if err := s.check(key, have); err != nil {
			return err
		}
		s.revision++
		rev = s.revision
		s.entries[key] = pointport.NewEntry(key, append([]byte(nil), value...), rev)
		s.notifyWatches()
		return nil
	})
	if err != nil {
		return 0, err
	}
	return rev, nil
}

// Delete removes key. It fails with a *pointport.ConflictError if the key's revision
// is not have.
func (s *Store) Delete(ctx context.Context, key string, have pointport.Revision) error {
	return s.call(ctx, "delete", key, func() error {
		s.counts.Writes++
		if err := s.check(key, have); err != nil {
			return err
		}
		delete(s.entries, key)
		s.notifyWatches()
		return nil
	})
}

// check returns a *pointport.ConflictError if key's revision is not have. The lock is
// held.
func (s *Store) check(key string, have pointport.Revision) error {
	if now := s.entry(key).Revision(); now != have {
		s.counts.Conflicts++
		return &pointport.ConflictError{Key: key, Want: have, Have: now}
	}
	return nil
}

// notifyWatches makes waiting watches read again. The lock is held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch waits until key has a revision greater than after, and returns its entry. If
// ctx ends first, Watch returns the unchanged entry without an error, as the real
// store does when it ends a long wait.
func (s *Store) Watch(ctx context.Context, key string, after pointport.Revision) (pointport.Entry, error) {
	err := s.call(ctx, "watch", key, func() error {
		s.counts.Watches++
		return nil
	})
	if err != nil {
		return pointport.Entry{}, err
	}
	for {
		s.mu.Lock()
		e, changed := s.entry(key), s.changed
		if e.Revision() > after {
			s.counts.BytesOut += int64(len(e.Value()))
			s.mu.Unlock()
			return e, nil
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return e, nil
		}
	}
}

// Lease grants a lease to holder for ttl, or extends it. It fails with a
// *pointport.HeldError while another holder has it.
func (s *Store) Lease(ctx context.Context, name, holder string, ttl time.Duration) error {
	return s.call(ctx, "lease", name, func() error {
		s.counts.Leases++
		now := s.clock.Now()
		if l, ok := s.leases[name]; ok && l.holder != holder && now.Before(l.until) {
			return &pointport.HeldError{Name: name, Holder: l.holder}
		}
		s.leases[name] = lease{holder, now.Add(ttl)}
		return nil
	})
}

// Release ends the lease called name if holder has it.
func (s *Store) Release(ctx context.Context, name, holder string) error {
	return s.call(ctx, "release", name, func() error {
		s.counts.Leases++
		if s.leases[name].holder == holder {
			delete(s.leases, name)
		}
		return nil
	})
}
