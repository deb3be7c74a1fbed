package member

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how the keys under a prefix are followed.

const (
	// watchWait is how long a watch may wait for a change. A watch that was cut
	// off in silence is noticed when it is over.
	watchWait = 4 * time.Second
	// retryFirst is how long to wait after the store gave no answer, retryMost
	// the bound of its doubling.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Follow keeps a copy of the keys under prefix up to date until ctx ends. Reset
// is called with all keys when they are read anew, apply with each change; a
// deleted key is an entry that does not exist.
func Follow(ctx context.Context, kv pointport.KV, clock pointport.Clock, prefix string, reset, apply func([]pointport.Entry)) {
	FollowFrom(ctx, kv, clock, prefix, 0, reset, apply)
}

// FollowFrom is Follow for a caller that has read all keys as of revision at; it
// reads them anew only if at is zero or the changes since are forgotten.
func FollowFrom(ctx context.Context, kv pointport.KV, clock pointport.Clock, prefix string, at pointport.Revision, reset, apply func([]pointport.Entry)) {
	retry := retryFirst
	known := at > 0
	for ctx.Err() == nil {
		var err error
		if !known {
			var all []pointport.Entry
			if all, at, err = ReadAll(ctx, kv, prefix); err == nil {
				known = true
				reset(all)
			}
		} else {
			var changes pointport.Changes
			changes, err = kv.WatchPrefix(ctx, prefix, at, watchWait)
			var compacted *pointport.CompactedError
			if errors.As(err, &compacted) {
				known, err = false, nil
			} else if err == nil {
				at = max(at, changes.At)
				if len(changes.Entries) > 0 {
					apply(changes.Entries)
				}
			}
		}
		if err == nil {
			retry = retryFirst
			continue
		}
		select {
		case <-clock.After(retry):
		case <-ctx.Done():
		}
		retry = min(2*retry, retryMost)
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
			at = page.At
		}
		all = append(all, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return all, at, nil
		}
		after = page.Entries[len(page.Entries)-1].Key()
	}
}
