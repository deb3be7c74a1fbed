package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pointport/pointport"
	clocks "github.com/pointport/pointport/clock"
)

// This file defines how to follow a single key whose value may be large compared with the
// bandwidth of the link to the store.

const (
	// DefaultRecheckInterval is how often a followed key is checked, whatever its watch
	// returned. A watch starts at the known revision, so a change that a watch missed while
	// the store sent no changes is returned by a later watch, or that watch fails because the
	// change has been compacted.
	DefaultRecheckInterval = time.Second
	// minWatchTimeout is the shortest watch that the store accepts, for a watch that must
	// return at once. A watch counts as a read, of which the store accepts five times as many
	// as transactions.
	minWatchTimeout = time.Millisecond
	// largeValueSize is the size of a value, in bytes, from which on the key may well change
	// again during the transfer: 64 KiB take 50 ms on a link of 10 Mbit/s.
	largeValueSize = 64 << 10
)

// keyFollower keeps a copy of one key up to date. It sends a conditional request with the
// known revision, and the store returns the value only if the revision has changed. So each
// version is transferred at most once, nothing is transferred while nothing changes, and if
// versions are written faster than the link can carry them, the newest is transferred next.
// Reading the key every second instead filled links of 10 Mbit/s with a configuration of
// 1.2 MB, so that no later version arrived, and an unchanged configuration of 250 queues cost
// 44 KB a second.
type keyFollower struct {
	kv              pointport.KV
	clock           pointport.Clock
	key             string
	onChange        func(pointport.Entry)
	onResult        func(error)
	recheckInterval func() time.Duration // between two checks of the key
	watchTimeout    func() time.Duration // how long a watch may wait

	knownRevision pointport.Revision // of the key, zero if it does not exist
	watchFrom     pointport.Revision // revision after which a watch returns all changes
	checkedAt     time.Time          // when the key was last checked, zero to check it now
	lastFailed    bool               // whether the last request failed
}

// KeyOption configures how FollowKey follows a key.
type KeyOption func(*keyFollower)

// RecheckInterval sets how often the key is checked, which counts as a write to the store.
func RecheckInterval(recheckInterval func() time.Duration) KeyOption {
	return func(f *keyFollower) { f.recheckInterval = recheckInterval }
}

// KeyWatchTimeout sets how long a watch of the key may wait, for keys that many members
// follow.
func KeyWatchTimeout(watchTimeout func() time.Duration) KeyOption {
	return func(f *keyFollower) { f.watchTimeout = watchTimeout }
}

// defaultRecheckIntervalFunc returns the default interval between two checks of a key.
func defaultRecheckIntervalFunc() time.Duration { return DefaultRecheckInterval }

// FollowKey follows a key until ctx ends. It calls onChange with the key whenever it has
// changed, and onResult with the result of each request to the store: nil means that the known
// state is as new as the store's was when the request was sent.
func FollowKey(ctx context.Context, kv pointport.KV, clock pointport.Clock, key string, onChange func(pointport.Entry), onResult func(error), options ...KeyOption) {
	f := &keyFollower{kv: kv, clock: clock, key: key, onChange: onChange, onResult: onResult, recheckInterval: defaultRecheckIntervalFunc, watchTimeout: defaultWatchTimeoutFunc}
	for _, o := range options {
		o(f)
	}
	var retry backoff
	for ctx.Err() == nil {
		interval := clocks.NewInterval(clock)
		err := f.step(ctx)
		if lasted := interval.Suspended(); err == nil && lasted > 0 {
			err = &SuspendedError{Lasted: lasted}
		}
		f.onResult(err)
		f.lastFailed = err != nil
		if err == nil {
			retry = backoff{}
			continue
		}
		f.recheckIfMissed(err)
		sleep(ctx, clock, retry.after(err))
	}
}

// recheckIfMissed forces a check of the key if no watch can return the changes that were
// missed.
func (f *keyFollower) recheckIfMissed(err error) {
	var compacted *pointport.CompactedError
	var suspended *SuspendedError
	if errors.As(err, &compacted) || errors.As(err, &suspended) {
		f.checkedAt = time.Time{}
	}
}

// SuspendedError is returned for an answer that may be outdated because the machine was
// suspended after the request was sent.
type SuspendedError struct{ Lasted time.Duration }

func (e *SuspendedError) Error() string {
	return fmt.Sprintf("the machine was suspended for %v during the request", e.Lasted)
}

// step sends one request to the store.
func (f *keyFollower) step(ctx context.Context) error {
	switch {
	case f.checkedAt.IsZero() || f.clock.Now().Sub(f.checkedAt) >= f.recheckInterval():
		return f.check(ctx)
	case f.lastFailed:
		return f.watch(ctx, minWatchTimeout)
	}
	return f.watch(ctx, f.watchTimeout())
}

// check verifies that the key is still at the known revision, or takes over its newest state.
// It commits a transaction without changes, which serves as a conditional read. While no
// revision is known, that saves nothing, so a plain read is used.
func (f *keyFollower) check(ctx context.Context) error {
	if f.knownRevision == 0 {
		return f.read(ctx)
	}
	from := f.clock.Now()
	watchFrom, err := f.kv.Commit(ctx, pointport.Txn{If: []pointport.Condition{{Key: f.key, Revision: f.knownRevision}}})
	var conflict *pointport.TxnConflictError
	switch {
	case err == nil:
		f.watchFrom = max(f.watchFrom, watchFrom)
		f.checkedAt = from
		return nil
	case errors.As(err, &conflict):
		f.checkedAt = from
		f.update(f.find(conflict.Entries))
		return nil
	}
	return err
}

// read reads the key.
func (f *keyFollower) read(ctx context.Context) error {
	from := f.clock.Now()
	page, err := f.kv.Range(ctx, f.key, "")
	if err != nil {
		return err
	}
	f.watchFrom, f.checkedAt = max(f.watchFrom, page.Revision), from
	if e := f.find(page.Entries); e.Exists() {
		f.update(e)
	}
	return nil
}

// watch waits for a change of the key. A watch without changes does not prove that there were
// none, so the next one starts at the same revision.
func (f *keyFollower) watch(ctx context.Context, timeout time.Duration) error {
	changes, err := f.kv.WatchPrefix(ctx, f.key, f.watchFrom, timeout)
	if err != nil || len(changes.Entries) == 0 {
		return err
	}
	f.watchFrom = max(f.watchFrom, changes.Revision)
	for _, e := range changes.Entries {
		if e.Key() == f.key {
			f.update(e)
		}
	}
	return nil
}

// find returns the key's entry. If entries has none, the key does not exist.
func (f *keyFollower) find(entries []pointport.Entry) pointport.Entry {
	for _, e := range entries {
		if e.Key() == f.key {
			return e
		}
	}
	return pointport.NewEntry(f.key, nil, 0)
}

// update takes over a new state of the key. The key may have changed again while a large value
// was transferred, so it is then checked at once: a watch would transfer all versions written
// since, one after the other.
func (f *keyFollower) update(e pointport.Entry) {
	f.knownRevision = e.Revision()
	f.watchFrom = max(f.watchFrom, f.knownRevision)
	if len(e.Value()) >= largeValueSize {
		f.checkedAt = time.Time{}
	}
	f.onChange(e)
}
