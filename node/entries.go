package node

import (
	"log/slog"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines the decoded store entries that a node keeps of each prefix that it follows.

// entries holds the decoded values of the entries under a prefix, by key. An entry that cannot
// be decoded has no value, and the value that its key had before is removed: otherwise a member
// that has followed the key would use a value that a member reading it for the first time does
// not have.
type entries[T any] struct {
	decode     func(pointport.Entry) (T, error)
	unreadable event.Event
	logger     *slog.Logger
	byKey      map[string]T
	// limiter keeps a revision of an entry that cannot be decoded from being logged again
	// whenever all entries are read again, and bounds the rate of such lines.
	limiter *event.KeyLimiter
}

func newEntries[T any](decode func(pointport.Entry) (T, error), clock pointport.Clock, unreadable event.Event, logger *slog.Logger) *entries[T] {
	return &entries[T]{
		decode: decode, unreadable: unreadable, logger: logger,
		byKey: make(map[string]T), limiter: event.NewKeyLimiter(clock),
	}
}

// reset replaces all values by those of the given entries.
func (s *entries[T]) reset(all []pointport.Entry) {
	clear(s.byKey)
	s.apply(all)
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.Key()] = true
	}
	s.limiter.Retain(func(key string) bool { return listed[key] })
}

// apply applies changed entries: it decodes those that exist and removes the deleted ones.
func (s *entries[T]) apply(changes []pointport.Entry) {
	for _, e := range changes {
		if !e.Exists() {
			delete(s.byKey, e.Key())
			s.limiter.Forget(e.Key())
			continue
		}
		value, err := s.decode(e)
		if err != nil {
			s.dropUnreadable(e, err)
			continue
		}
		s.byKey[e.Key()] = value
		s.limiter.Forget(e.Key())
	}
}

// dropUnreadable removes the value of an entry that cannot be decoded, and logs the entry unless
// that exceeds the rate.
func (s *entries[T]) dropUnreadable(e pointport.Entry, err error) {
	delete(s.byKey, e.Key())
	notLogged, ok := s.limiter.Take(e.Key(), e.Revision())
	if !ok {
		return
	}
	s.unreadable.Log(s.logger, slog.String("key", e.Key()), slog.Int64("revision", int64(e.Revision())),
		slog.Int("bytes", e.Size()), slog.Any("error", err), slog.Int(event.NotLoggedAttr, notLogged))
}
