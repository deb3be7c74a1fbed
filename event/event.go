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

// NumberAttr is the attribute of a line that holds its event's number.
const NumberAttr = "event"

// An Event is one kind of line in the log.
type Event struct {
	number       int
	name         string
	level        slog.Level
	meaning      string
	outcomeAttr  string
	outcomes     []string
	durationAttr string
}

// An option says what else there is to an event.
type option func(*Event)

// withOutcomes says that an attribute tells the outcome, which is one of those named.
func withOutcomes(attr string, outcomes ...string) option {
	return func(e *Event) { e.outcomeAttr, e.outcomes = attr, outcomes }
}

// withDuration says that an attribute tells how long something took.
func withDuration(attr string) option { return func(e *Event) { e.durationAttr = attr } }

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Name returns the event's short name.
func (e Event) Name() string { return e.name }

// Level returns how grave the event is.
func (e Event) Level() slog.Level { return e.level }

// Meaning returns a sentence on what the event says.
func (e Event) Meaning() string { return e.meaning }

// OutcomeAttr returns the attribute that tells the outcome, empty for none.
func (e Event) OutcomeAttr() string { return e.outcomeAttr }

// Outcomes returns the values of the attribute that tells the outcome.
func (e Event) Outcomes() []string { return e.outcomes }

// DurationAttr returns the attribute that tells how long something took, empty for
// none.
func (e Event) DurationAttr() string { return e.durationAttr }

// Log writes the event with its attributes.
func (e Event) Log(logger *slog.Logger, attrs ...slog.Attr) {
	all := append([]slog.Attr{slog.Int(NumberAttr, e.number)}, attrs...)
	logger.LogAttrs(context.Background(), e.level, e.name, all...)
}

// All returns every event by number.
func All() []Event { return catalogue }

var catalogue []Event

func define(number int, name string, level slog.Level, meaning string, options ...option) Event {
	e := Event{number: number, name: name, level: level, meaning: meaning}
	for _, o := range options {
		o(&e)
	}
	catalogue = append(catalogue, e)
	return e
}
