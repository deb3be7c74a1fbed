// Package event defines the numbered log events. docs/EVENTS.md is their
// catalogue. A test checks that both list the same events.
//
// Invariant: a number is never reused for another event, so that an operator's alert
// on a number stays correct.
package event

import (
	"context"
	"log/slog"
	"reflect"
	"strings"
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

// maxAttrBytes bounds the text of an attribute of a line. Errors about entries of the store may
// quote a value of a megabyte, twice the size of what may wait to be written.
const maxAttrBytes = 1024

// Log logs the event with its number and attrs. Texts and errors longer than maxAttrBytes are
// truncated.
func (e Event) Log(logger *slog.Logger, attrs ...slog.Attr) {
	if !logger.Enabled(context.Background(), e.level) {
		return
	}
	all := append(make([]slog.Attr, 0, 1+len(attrs)), slog.Int(NumberAttr, e.number))
	for _, a := range attrs {
		all = append(all, truncate(a))
	}
	logger.LogAttrs(context.Background(), e.level, e.name, all...)
}

// truncate returns an attribute whose text has at most maxAttrBytes, and a mark if it had more.
func truncate(a slog.Attr) slog.Attr {
	text := ""
	switch a.Value.Kind() {
	case slog.KindString:
		text = a.Value.String()
	case slog.KindAny:
		err, ok := a.Value.Any().(error)
		if v := reflect.ValueOf(err); ok && (v.Kind() != reflect.Pointer || !v.IsNil()) {
			text = err.Error()
		}
	}
	if len(text) <= maxAttrBytes {
		return a
	}
	return slog.String(a.Key, strings.ToValidUTF8(text[:maxAttrBytes], "")+"...")
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
