package node

import (
	"log/slog"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
)

// This file defines what a node keeps of the entries that it follows.

// entries holds what the entries under a prefix stand for, by key. An entry that cannot be
// decoded stands for nothing, and what stood under its key before is gone: else a member
// that has followed the key would believe in something that one that reads it for the
// first time does not.
type entries[T any] struct {
	decode     func(pointport.Entry) (T, error)
	unreadable event.Event
	logger     *slog.Logger
	byKey      map[string]T
	// unreadableAt holds the revisions of entries that cannot be decoded, each of which is
	// logged once: all entries are read again now and then.
	unreadableAt map[string]pointport.Revision
}

func newEntries[T any](decode func(pointport.Entry) (T, error), unreadable event.Event, logger *slog.Logger) *entries[T] {
	return &entries[T]{
		decode: decode, unreadable: unreadable, logger: logger,
		byKey: make(map[string]T), unreadableAt: make(map[string]pointport.Revision),
	}
}

// reset replaces everything by what the entries stand for.
func (s *entries[T]) reset(all []pointport.Entry) {
	clear(s.byKey)
	before := s.unreadableAt
	s.unreadableAt = make(map[string]pointport.Revision)
	for _, e := range all {
		if revision, ok := before[e.Key()]; ok {
			s.unreadableAt[e.Key()] = revision
		}
	}
	s.apply(all)
}

// apply takes in changed entries.
func (s *entries[T]) apply(changes []pointport.Entry) {
	for _, e := range changes {
		if !e.Exists() {
			delete(s.byKey, e.Key())
			delete(s.unreadableAt, e.Key())
			continue
		}
		value, err := s.decode(e)
		if err != nil {
			s.dropUnreadable(e, err)
			continue
		}
		s.byKey[e.Key()] = value
		delete(s.unreadableAt, e.Key())
	}
}

func (s *entries[T]) dropUnreadable(e pointport.Entry, err error) {
	delete(s.byKey, e.Key())
	if s.unreadableAt[e.Key()] == e.Revision() {
		return
	}
	s.unreadableAt[e.Key()] = e.Revision()
	s.unreadable.Log(s.logger, slog.String("key", e.Key()), slog.Int64("revision", int64(e.Revision())),
		slog.Int("bytes", len(e.Value())), slog.Any("error", err))
}
