package member

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how the keys under a prefix are followed.

const (
	// watchWait is how long a watch may wait for a change. The store may be deaf
	// to changes for a while and a connection may be cut off in silence, so a
	// watch that hears nothing is never trusted for long.
	watchWait = time.Second
	// DefaultRereadInterval is how often all keys under a prefix are read again, whatever
	// the watches say. Nothing is known to need that: a change that a watch did not
	// tell is told by the next one, or the store says that it has forgotten it. Every
	// 3 s, such readings were 235 of the 331 KB that an entry instance without a pool
	// received in a minute among 47, and 2.9 of the 14.1 MB of the busiest owner beside
	// 372 instances.
	DefaultRereadInterval = 15 * time.Second
	// rereadRest is how many times as long as such a reading took passes until the
	// next, at least. Registrations of 350 instances are some 150 KB, worked out from the
	// platform's example, 0.12 s of a link of 10 Mbit/s; at 8,000, readings every 3 s
	// would fill it.
	rereadRest = 9
)

// A Follower keeps a copy of the keys under a prefix up to date.
type Follower struct {
	kv     pointport.KV
	clock  pointport.Clock
	prefix string
	reset  func([]pointport.Entry)
	apply  func([]pointport.Entry)
	reread time.Duration // from one reading of all keys to the next
	every  func() time.Duration
	rest   func([]pointport.Entry) time.Duration
	wait   func() time.Duration // for how long a watch may wait
	at     pointport.Revision
	back   func() <-chan struct{}
	heard  func(error)
}

// A FollowOption changes a Follower.
type FollowOption func(*Follower)

// FromRevision has the follower begin at a revision as of which its caller has read all
// keys.
func FromRevision(at pointport.Revision) FollowOption { return func(f *Follower) { f.at = at } }

// PauseAfterChange sets how long to wait after a change before the next is asked for, where
// changes are many and need not be known at once.
func PauseAfterChange(d time.Duration) FollowOption {
	return PauseAfterChanges(func([]pointport.Entry) time.Duration { return d })
}

// PauseAfterChanges sets how long to wait after some changes before the next are asked for.
func PauseAfterChanges(rest func(changes []pointport.Entry) time.Duration) FollowOption {
	return func(f *Follower) { f.rest = rest }
}

// WatchTimeout sets for how long a watch may wait, where many follow the same keys.
func WatchTimeout(wait func() time.Duration) FollowOption { return func(f *Follower) { f.wait = wait } }

// RereadInterval sets how often all keys are read again at most, where many follow many keys.
func RereadInterval(every func() time.Duration) FollowOption {
	return func(f *Follower) { f.every = every }
}

// defaultReread returns how often all keys are read again by default.
func defaultReread() time.Duration { return DefaultRereadInterval }

// RereadOn has all keys read again as soon as the channel that back returns is closed: the
// store answers again, and a question that was put while it did not may wait for its
// time to pass, up to 1.7 s with its repetitions.
func RereadOn(back func() <-chan struct{}) FollowOption { return func(f *Follower) { f.back = back } }

// OnResult has a function told of each question to the store what became of it: nil once its
// answer was taken in.
func OnResult(heard func(error)) FollowOption { return func(f *Follower) { f.heard = heard } }

// Follow follows the keys under prefix until ctx ends. reset is called with all
// keys when they are read, apply with each change; a deleted key is an entry
// that does not exist.
func Follow(ctx context.Context, kv pointport.KV, clock pointport.Clock, prefix string, reset, apply func([]pointport.Entry), options ...FollowOption) {
	f := &Follower{kv: kv, clock: clock, prefix: prefix, reset: reset, apply: apply, reread: DefaultRereadInterval, every: defaultReread, back: never, rest: noRest, wait: defaultWait, heard: func(error) {}}
	for _, o := range options {
		o(f)
	}
	f.run(ctx)
}

// noRest has the next changes asked for at once.
func noRest([]pointport.Entry) time.Duration { return 0 }

// defaultWait returns for how long a watch may wait by default.
func defaultWait() time.Duration { return watchWait }

// never returns a channel that is not closed.
func never() <-chan struct{} { return nil }

// run follows the keys until ctx ends, and begins anew when the store is back.
func (f *Follower) run(ctx context.Context) {
	read := time.Time{}
	if f.at > 0 {
		read = f.clock.Now()
	}
	for ctx.Err() == nil {
		back := f.back()
		call, cancel := context.WithCancel(ctx)
		go func() {
			select {
			case <-back:
				cancel()
			case <-call.Done():
			}
		}()
		f.follow(call, read)
		cancel()
		read = time.Time{}
	}
}

// follow follows the keys until ctx ends; read is when all were read last, zero if they
// have to be.
func (f *Follower) follow(ctx context.Context, read time.Time) {
	var pause backoff
	for ctx.Err() == nil {
		var err error
		if read.IsZero() || f.clock.Now().Sub(read) >= f.reread {
			from := f.clock.Now()
			if err = f.readAll(ctx); err == nil {
				read = from
				f.reread = max(f.every(), (1+rereadRest)*f.clock.Now().Sub(from))
			}
		} else {
			err = f.watch(ctx)
		}
		f.heard(err)
		var compacted *pointport.CompactedError
		if errors.As(err, &compacted) {
			read, err = time.Time{}, nil
		}
		if err == nil {
			pause = backoff{}
			continue
		}
		if !pointport.IsBusy(err) {
			// Changes may have been missed in between; a watch that was refused goes on
			// from where it was.
			read = time.Time{}
		}
		sleep(ctx, f.clock, pause.after(err))
	}
}

func (f *Follower) readAll(ctx context.Context) error {
	all, at, err := ReadAll(ctx, f.kv, f.prefix)
	if err != nil {
		return err
	}
	f.at = at
	f.reset(all)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	changes, err := f.kv.WatchPrefix(ctx, f.prefix, f.at, f.wait())
	if err != nil {
		return err
	}
	if len(changes.Entries) == 0 {
		// The store may have been deaf meanwhile. The next watch asks from the same
		// revision, so what was missed is told then, or the store says that it has
		// forgotten it.
		return nil
	}
	f.at = max(f.at, changes.Revision)
	f.apply(changes.Entries)
	sleep(ctx, f.clock, f.rest(changes.Entries))
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, clock pointport.Clock, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-clock.After(d):
	case <-ctx.Done():
	}
}

// ReadAll returns all keys under prefix and the revision from which a watch sees
// every later change of them.
func ReadAll(ctx context.Context, kv pointport.KV, prefix string) ([]pointport.Entry, pointport.Revision, error) {
	var all []pointport.Entry
	at := pointport.Revision(0)
	after := ""
	for {
		page, err := kv.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if at == 0 {
			at = page.Revision
		}
		all = append(all, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return all, at, nil
		}
		after = page.Entries[len(page.Entries)-1].Key()
	}
}
