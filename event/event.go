// Package event defines the numbered log events. docs/EVENTS.md is their
// catalogue. A test checks that both list the same events.
//
// Invariant: a number is never reused for another event, so that an operator's alert
// on a number stays correct.
package event

import (
	"context"
	"log/slog"
)

// NumberAttr is the key of the attribute that holds the number of a line's event.
const NumberAttr = "event"

// An Event is a kind of line in the log.
type Event struct {
	number       int
	name         string
	level        slog.Level
	meaning      string
	outcomeAttr  string
	outcomes     []string
	durationAttr string
}

// An option sets an optional property of an event.
type option func(*Event)

// withOutcomes sets the key of the attribute that holds the outcome of the event, and
// the possible outcomes.
func withOutcomes(attr string, outcomes ...string) option {
	return func(e *Event) { e.outcomeAttr, e.outcomes = attr, outcomes }
}

// withDuration sets the key of the attribute that holds the duration of what the event
// reports.
func withDuration(attr string) option { return func(e *Event) { e.durationAttr = attr } }

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Name returns the event's short name.
func (e Event) Name() string { return e.name }

// Level returns the level at which the event is logged.
func (e Event) Level() slog.Level { return e.level }

// Meaning returns the description of the event in the catalogue.
func (e Event) Meaning() string { return e.meaning }

// OutcomeAttr returns the key of the attribute that holds the outcome, empty if the
// event has none.
func (e Event) OutcomeAttr() string { return e.outcomeAttr }

// Outcomes returns the possible values of the attribute that holds the outcome.
func (e Event) Outcomes() []string { return e.outcomes }

// DurationAttr returns the key of the attribute that holds a duration, empty if the
// event has none.
func (e Event) DurationAttr() string { return e.durationAttr }

// Log logs the event with its number and attrs.
func (e Event) Log(logger *slog.Logger, attrs ...slog.Attr) {
	all := append([]slog.Attr{slog.Int(NumberAttr, e.number)}, attrs...)
	logger.LogAttrs(context.Background(), e.level, e.name, all...)
}

// All returns all events, in the order of their definition.
func All() []Event { return catalogue }

var catalogue []Event

// define adds an event to the catalogue and returns it.
func define(number int, name string, level slog.Level, meaning string, options ...option) Event {
	e := Event{number: number, name: name, level: level, meaning: meaning}
	for _, o := range options {
		o(&e)
	}
	catalogue = append(catalogue, e)
	return e
}
