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
	number   int
	name     string
	level    slog.Level
	meaning  string
	outcome  string
	outcomes []string
	time     string
}

// An option says what else there is to an event.
type option func(*Event)

// splits says that an attribute tells the outcome, which is one of those named.
func splits(attr string, outcomes ...string) option {
	return func(e *Event) { e.outcome, e.outcomes = attr, outcomes }
}

// times says that an attribute tells how long something took.
func times(attr string) option { return func(e *Event) { e.time = attr } }

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Name returns the event's short name.
func (e Event) Name() string { return e.name }

// Level returns how grave the event is.
func (e Event) Level() slog.Level { return e.level }

// Meaning returns a sentence on what the event says.
func (e Event) Meaning() string { return e.meaning }

// OutcomeAttr returns the attribute that tells the outcome, empty for none.
func (e Event) OutcomeAttr() string { return e.outcome }

// Outcomes returns the values of the attribute that tells the outcome.
func (e Event) Outcomes() []string { return e.outcomes }

// DurationAttr returns the attribute that tells how long something took, empty for
// none.
func (e Event) DurationAttr() string { return e.time }

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
