package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pointport/pointport"
	clocks "github.com/pointport/pointport/clock"
)

// This file defines how a single key is followed whose value may be large beside the
// link over which it comes.

const (
	// DefaultRecheckInterval is how often a key that is followed is made sure of, whatever the
	// watch says. A watch asks from the state that is known, so it tells later what it did
	// not hear while the store was deaf to changes, or fails because that is forgotten.
	DefaultRecheckInterval = time.Second
	// glance is how long a watch waits that is to answer at once, the least that the store
	// takes. It is a reading call, of which the store takes five times as many as of
	// transactions.
	glance = time.Millisecond
	// slowValue is the size of a value, in bytes, while which comes the next may be made:
	// it takes 50 ms on a link of 10 Mbit/s.
	slowValue = 64 << 10
)

// A keyFollower keeps up with one key. It asks whether the key is still at the revision
// that it knows, and the store answers with the value only if it is not. So a version is
// carried once, none is carried again while nothing changes, and of versions that come
// faster than the link carries them the newest is next. Reading the key anew each second
// in its place filled links of 10 Mbit/s with a configuration of 1.2 MB, on which no
// later version arrived; at rest, one of 250 queues cost 44 KB a second.
type keyFollower struct {
	kv    pointport.KV
	clock pointport.Clock
	key   string
	take  func(pointport.Entry)
	heard func(error)
	every func() time.Duration // from one time that the key is made sure of to the next
	wait  func() time.Duration // for how long a watch may wait

	known   pointport.Revision // of the key, zero if it does not exist
	at      pointport.Revision // from which a watch sees all later changes
	checked time.Time          // when the key was last made sure of, zero if it has to be
	unsure  bool               // whether the last question had no answer
}

// A KeyOption changes how a key is followed.
type KeyOption func(*keyFollower)

// RecheckInterval sets how often the key is made sure of, which is a writing call to the store.
func RecheckInterval(every func() time.Duration) KeyOption {
	return func(f *keyFollower) { f.every = every }
}

// KeyWatchTimeout sets for how long a watch of the key may wait, where many follow it.
func KeyWatchTimeout(wait func() time.Duration) KeyOption {
	return func(f *keyFollower) { f.wait = wait }
}

// defaultRecheck returns how often a key is made sure of by default.
func defaultRecheck() time.Duration { return DefaultRecheckInterval }

// FollowKey follows a key until ctx ends. take is called with the key whenever it has
// changed, heard with how each question to the store ended: with nil, what is known is
// as new as the store was when the question was sent.
func FollowKey(ctx context.Context, kv pointport.KV, clock pointport.Clock, key string, take func(pointport.Entry), heard func(error), options ...KeyOption) {
	f := &keyFollower{kv: kv, clock: clock, key: key, take: take, heard: heard, every: defaultRecheck, wait: defaultWait}
	for _, o := range options {
		o(f)
	}
	var pause backoff
	for ctx.Err() == nil {
		asked := clocks.NewInterval(clock)
		err := f.step(ctx)
		if lasted := asked.Suspended(); err == nil && lasted > 0 {
			err = &SuspendedError{Lasted: lasted}
		}
		f.heard(err)
		f.unsure = err != nil
		if err == nil {
			pause = backoff{}
			continue
		}
		f.doubt(err)
		sleep(ctx, clock, pause.after(err))
	}
}

// doubt has the key made sure of if no watch can tell what was missed.
func (f *keyFollower) doubt(err error) {
	var forgotten *pointport.CompactedError
	var suspended *SuspendedError
	if errors.As(err, &forgotten) || errors.As(err, &suspended) {
		f.checked = time.Time{}
	}
}

// A SuspendedError says that an answer is not news, because the machine was suspended after
// it was asked for.
type SuspendedError struct{ Lasted time.Duration }

func (e *SuspendedError) Error() string {
	return fmt.Sprintf("the machine was suspended for %v meanwhile", e.Lasted)
}

// step asks the store one question.
func (f *keyFollower) step(ctx context.Context) error {
	switch {
	case f.checked.IsZero() || f.clock.Now().Sub(f.checked) >= f.every():
		return f.check(ctx)
	case f.unsure:
		return f.watch(ctx, glance)
	}
	return f.watch(ctx, f.wait())
}

// check makes sure that the key is at the known revision, or takes its newest state.
// A transaction without changes is a read under a condition. While nothing is known there
// is nothing to save by that, and a reading call does.
func (f *keyFollower) check(ctx context.Context) error {
	if f.known == 0 {
		return f.read(ctx)
	}
	from := f.clock.Now()
	at, err := f.kv.Commit(ctx, pointport.Txn{If: []pointport.Condition{{Key: f.key, Revision: f.known}}})
	var conflict *pointport.TxnConflictError
	switch {
	case err == nil:
		f.at = max(f.at, at)
		f.checked = from
		return nil
	case errors.As(err, &conflict):
		f.checked = from
		f.changed(f.newest(conflict.Entries))
		return nil
	}
	return err
}

// read takes the state of the key.
func (f *keyFollower) read(ctx context.Context) error {
	from := f.clock.Now()
	page, err := f.kv.Range(ctx, f.key, "")
	if err != nil {
		return err
	}
	f.at, f.checked = max(f.at, page.Revision), from
	if e := f.newest(page.Entries); e.Exists() {
		f.changed(e)
	}
	return nil
}

// watch waits for a change of the key. One that hears nothing proves nothing, so the next
// asks from the same revision.
func (f *keyFollower) watch(ctx context.Context, wait time.Duration) error {
	changes, err := f.kv.WatchPrefix(ctx, f.key, f.at, wait)
	if err != nil || len(changes.Entries) == 0 {
		return err
	}
	f.at = max(f.at, changes.Revision)
	for _, e := range changes.Entries {
		if e.Key() == f.key {
			f.changed(e)
		}
	}
	return nil
}

// newest returns the key as some entries show it. One that they lack does not exist.
func (f *keyFollower) newest(entries []pointport.Entry) pointport.Entry {
	for _, e := range entries {
		if e.Key() == f.key {
			return e
		}
	}
	return pointport.NewEntry(f.key, nil, 0)
}

// changed takes a new state of the key. While a large one came, the next may have been
// made, so the key is made sure of at once: a watch would bring all states since, one
// after the other.
func (f *keyFollower) changed(e pointport.Entry) {
	f.known = e.Revision()
	f.at = max(f.at, f.known)
	if len(e.Value()) >= slowValue {
		f.checked = time.Time{}
	}
	f.take(e)
}
