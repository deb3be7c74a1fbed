package shard

import (
	"log/slog"
	"slices"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines how an owner takes the cancellations that members have stored because they
// could not reach it.

// A cancellationKeys holds the keys of the cancellations that an owner has applied to its scheduler
// and must delete.
//
// The key is all that shows a cancellation to the next owner until the job's record shows it. So a
// key is deleted only when every change that was pending with it is stored.
type cancellationKeys struct {
	known   map[string]bool // the keys that are not deleted yet
	pending []string        // those of known that no batch deletes yet
}

func newCancellationKeys() *cancellationKeys {
	return &cancellationKeys{known: make(map[string]bool)}
}

// add adds a key whose cancellation was applied. It returns false if the key is known.
func (c *cancellationKeys) add(key string) bool {
	if c.known[key] {
		return false
	}
	c.known[key] = true
	c.pending = append(c.pending, key)
	return true
}

// take returns the keys that the next batch deletes, limited to a number of transaction entries.
func (c *cancellationKeys) take(entries int) []string {
	n := min(len(c.pending), entries)
	taken := slices.Clone(c.pending[:n])
	c.pending = c.pending[n:]
	return taken
}

// deleted removes keys that were deleted from the store.
func (c *cancellationKeys) deleted(keys []string) {
	for _, key := range keys {
		delete(c.known, key)
	}
}

// takeCancellation applies a cancellation that a member has stored under key. That of a job that
// cannot be decoded stays in the store with the job: the next owner may be of a version that can
// decode it.
func (o *Owner) takeCancellation(now time.Time, id, key string) {
	if _, unreadable := o.unreadable[id]; unreadable {
		o.logCancellation(id, "unreadable")
		return
	}
	outcome := "ended"
	if o.scheduler.Cancel(now, id) {
		outcome = "applied"
	}
	if o.cancellations.add(key) {
		o.logCancellation(id, outcome)
	}
}

func (o *Owner) logCancellation(id, outcome string) {
	event.CancellationTaken.Log(o.logger, slog.String("job", id), slog.String("outcome", outcome))
}
