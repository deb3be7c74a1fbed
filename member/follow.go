package member

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how to follow the keys under a prefix.

const (
	// defaultWatchTimeout is how long a watch may wait for a change. The store may fail to
	// send changes for a while, and a connection may fail silently, so a watch that returns no
	// changes must end soon.
	defaultWatchTimeout = time.Second
	// DefaultRereadInterval is how often all keys under a prefix are read again, whatever the
	// watches returned. It is only a safeguard: a change that a watch missed is returned by
	// the next watch, or that watch fails because the change has been compacted. With an
	// interval of 3 s, these reads made up 235 of the 331 KB that an entry instance without a
	// pool received in a minute in a cluster of 47, and 2.9 of the 14.1 MB that the busiest
	// owner received with 372 instances.
	DefaultRereadInterval = 15 * time.Second
	// rereadPauseFactor is the minimum time between two reads of all keys, as a multiple of
	// the time that the last one took. The registrations of 350 instances are about 150 KB,
	// which take 0.12 s on a link of 10 Mbit/s; with 8,000 instances, a read every 3 s would
	// use the whole link.
	rereadPauseFactor = 9
)

// Follower keeps a copy of the keys under a prefix up to date.
type Follower struct {
	kv             pointport.KV
	clock          pointport.Clock
	prefix         string
	reset          func([]pointport.Entry)
	apply          func([]pointport.Entry)
	rereadAfter    time.Duration // time between two reads of all keys
	rereadInterval func() time.Duration
	pauseAfter     func([]pointport.Entry) time.Duration
	watchTimeout   func() time.Duration // how long a watch may wait
	watchFrom      pointport.Revision
	rereadOn       func() <-chan struct{}
	onResult       func(error)
	maxValue       int // bytes of a value that are kept, zero for all
}

// FollowOption configures a Follower.
type FollowOption func(*Follower)

// FromRevision makes the follower start at a revision as of which its caller has already read
// all keys.
func FromRevision(watchFrom pointport.Revision) FollowOption {
	return func(f *Follower) { f.watchFrom = watchFrom }
}

// PauseAfterChange sets how long to wait after a change before the next one is requested, for
// keys that change often and whose changes need not be known at once.
func PauseAfterChange(d time.Duration) FollowOption {
	return PauseAfterChanges(func([]pointport.Entry) time.Duration { return d })
}

// PauseAfterChanges sets a function that returns how long to wait after the given changes
// before the next ones are requested.
func PauseAfterChanges(pauseAfter func(changes []pointport.Entry) time.Duration) FollowOption {
	return func(f *Follower) { f.pauseAfter = pauseAfter }
}

// WatchTimeout sets how long a watch may wait, for keys that many members follow.
func WatchTimeout(watchTimeout func() time.Duration) FollowOption {
	return func(f *Follower) { f.watchTimeout = watchTimeout }
}

// MaxValue sets how many bytes of each value are kept. Longer values are truncated, so that the values
// of another writer do not use up the memory. The caller must reject entries of a larger Size.
func MaxValue(bytes int) FollowOption { return func(f *Follower) { f.maxValue = bytes } }

// RereadInterval sets the minimum interval between two reads of all keys, for large sets of
// keys that many members follow.
func RereadInterval(rereadInterval func() time.Duration) FollowOption {
	return func(f *Follower) { f.rereadInterval = rereadInterval }
}

// defaultRereadIntervalFunc returns the default interval between two reads of all keys.
func defaultRereadIntervalFunc() time.Duration { return DefaultRereadInterval }

// RereadOn makes the follower read all keys again as soon as the channel that rereadOn
// returns is closed, which must happen when the store answers again after an outage.
// Otherwise, a request sent during the outage may delay the follower until it times out, which
// takes up to 1.7 s with its retries.
func RereadOn(rereadOn func() <-chan struct{}) FollowOption {
	return func(f *Follower) { f.rereadOn = rereadOn }
}

// OnResult sets a function that is called with the result of each request to the store: nil
// once its answer has been applied.
func OnResult(onResult func(error)) FollowOption { return func(f *Follower) { f.onResult = onResult } }

// Follow follows the keys under prefix until ctx ends. It calls reset with all keys whenever
// it has read them, and apply with each set of changes; a deleted key is an entry that does
// not exist.
func Follow(ctx context.Context, kv pointport.KV, clock pointport.Clock, prefix string, reset, apply func([]pointport.Entry), options ...FollowOption) {
	f := &Follower{kv: kv, clock: clock, prefix: prefix, reset: reset, apply: apply, rereadAfter: DefaultRereadInterval, rereadInterval: defaultRereadIntervalFunc, rereadOn: neverClosed, pauseAfter: noPause, watchTimeout: defaultWatchTimeoutFunc, onResult: func(error) {}}
	for _, o := range options {
		o(f)
	}
	f.run(ctx)
}

// noPause returns zero, so that the next changes are requested at once.
func noPause([]pointport.Entry) time.Duration { return 0 }

// defaultWatchTimeoutFunc returns the default timeout of a watch.
func defaultWatchTimeoutFunc() time.Duration { return defaultWatchTimeout }

// neverClosed returns a channel that is never closed.
func neverClosed() <-chan struct{} { return nil }

// run follows the keys until ctx ends, and restarts with a read of all keys when the channel
// of rereadOn is closed.
func (f *Follower) run(ctx context.Context) {
	read := time.Time{}
	if f.watchFrom > 0 {
		read = f.clock.Now()
	}
	for ctx.Err() == nil {
		rereadOn := f.rereadOn()
		call, cancel := context.WithCancel(ctx)
		go func() {
			select {
			case <-rereadOn:
				cancel()
			case <-call.Done():
			}
		}()
		f.follow(call, read)
		cancel()
		read = time.Time{}
	}
}

// follow follows the keys until ctx ends. read is when all keys were last read, zero to read
// them first.
func (f *Follower) follow(ctx context.Context, read time.Time) {
	var retry backoff
	for ctx.Err() == nil {
		var err error
		if read.IsZero() || f.clock.Now().Sub(read) >= f.rereadAfter {
			from := f.clock.Now()
			if err = f.readAll(ctx); err == nil {
				read = from
				f.rereadAfter = max(f.rereadInterval(), (1+rereadPauseFactor)*f.clock.Now().Sub(from))
			}
		} else {
			err = f.watch(ctx)
		}
		f.onResult(err)
		var compacted *pointport.CompactedError
		if errors.As(err, &compacted) {
			read, err = time.Time{}, nil
		}
		if err == nil {
			retry = backoff{}
			continue
		}
		if !pointport.IsBusy(err) {
			// Changes may have been missed. After a refusal, the next watch continues at the
			// same revision.
			read = time.Time{}
		}
		sleep(ctx, f.clock, retry.after(err))
	}
}

func (f *Follower) readAll(ctx context.Context) error {
	all, watchFrom, err := readAll(ctx, f.kv, f.prefix, f.truncate)
	if err != nil {
		return err
	}
	f.watchFrom = watchFrom
	f.reset(all)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	changes, err := f.kv.WatchPrefix(ctx, f.prefix, f.watchFrom, f.watchTimeout())
	if err != nil {
		return err
	}
	if len(changes.Entries) == 0 {
		// The store may have failed to send changes. The next watch starts at the same
		// revision, so it returns what was missed, or fails because that has been compacted.
		return nil
	}
	f.watchFrom = max(f.watchFrom, changes.Revision)
	f.truncate(changes.Entries)
	f.apply(changes.Entries)
	sleep(ctx, f.clock, f.pauseAfter(changes.Entries))
	return nil
}

// truncate truncates the values of entries to what is kept.
func (f *Follower) truncate(entries []pointport.Entry) {
	if f.maxValue == 0 {
		return
	}
	for n, e := range entries {
		entries[n] = e.Truncated(f.maxValue)
	}
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

// ReadAll returns all keys under prefix, and a revision from which a watch returns every later
// change of them.
func ReadAll(ctx context.Context, kv pointport.KV, prefix string) ([]pointport.Entry, pointport.Revision, error) {
	return readAll(ctx, kv, prefix, func([]pointport.Entry) {})
}

// readAll is ReadAll, and calls onPage with the entries of each page.
func readAll(ctx context.Context, kv pointport.KV, prefix string, onPage func([]pointport.Entry)) ([]pointport.Entry, pointport.Revision, error) {
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
		onPage(page.Entries)
		all = append(all, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return all, at, nil
		}
		after = page.Entries[len(page.Entries)-1].Key()
	}
}
