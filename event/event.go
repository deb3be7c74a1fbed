// Package event defines the numbered log events. docs/EVENTS.md is their
// catalogue, and a test keeps both the same.
//
// Invariant: a number is never used for another event, so that an operator's
// alert on a number stays right.
package event

import (
	"context"
	"log/slog"
)

// An Event is one kind of line in the log.
type Event struct {
	number  int
	name    string
	level   slog.Level
	meaning string
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Name returns the event's short name.
func (e Event) Name() string { return e.name }

// Level returns how grave the event is.
func (e Event) Level() slog.Level { return e.level }

// Meaning returns a sentence on what the event says.
func (e Event) Meaning() string { return e.meaning }

// Log writes the event with its attributes.
func (e Event) Log(logger *slog.Logger, attrs ...slog.Attr) {
	all := append([]slog.Attr{slog.Int("event", e.number)}, attrs...)
	logger.LogAttrs(context.Background(), e.level, e.name, all...)
}

// All returns every event by number.
func All() []Event { return catalogue }

var catalogue []Event

func define(number int, name string, level slog.Level, meaning string) Event {
	e := Event{number, name, level, meaning}
	catalogue = append(catalogue, e)
	return e
}
