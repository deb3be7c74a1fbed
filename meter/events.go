package meter

import (
	"context"
	"log/slog"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pointport/pointport/event"
)

// This file defines the handler that counts events on their way to the log.

// eventMetrics are the metrics of one event, by outcome.
type eventMetrics struct {
	event   event.Event
	outcome map[string]outcomeMetrics
}

// outcomeMetrics are the metrics of one outcome of an event.
type outcomeMetrics struct {
	count   prometheus.Counter
	seconds prometheus.Observer // nil if the event has no duration
}

// otherOutcome is the label of outcomes that the catalogue does not list.
const otherOutcome = "other"

// newEventMetrics returns the metrics of all events, by number.
func (m *Meter) newEventMetrics() map[int]*eventMetrics {
	all := make(map[int]*eventMetrics)
	for _, e := range event.All() {
		metrics := &eventMetrics{event: e, outcome: make(map[string]outcomeMetrics)}
		outcomes := []string{""}
		if e.OutcomeAttr() != "" {
			outcomes = append(slices.Clone(e.Outcomes()), otherOutcome)
		}
		for _, outcome := range outcomes {
			ofOutcome := outcomeMetrics{count: m.events.WithLabelValues(e.Name(), outcome)}
			if e.DurationAttr() != "" {
				ofOutcome.seconds = m.eventSeconds.WithLabelValues(e.Name(), outcome)
			}
			metrics.outcome[outcome] = ofOutcome
		}
		all[e.Number()] = metrics
	}
	return all
}

// A handler counts the events of the records that it handles.
type handler struct {
	slog.Handler
	meter *Meter
}

// Events returns a wrapper of next that counts the events of records.
func (m *Meter) Events(next slog.Handler) slog.Handler { return &handler{next, m} }

// Handle counts a record's event and passes the record on.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.meter.countEvent(r)
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds attrs to its records.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.meter}
}

// WithGroup returns a handler that puts its records' attributes in a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.meter}
}

// countEvent counts the event of a record, if it has one. Among the record's attributes,
// the event's number must come before the outcome and the duration.
func (m *Meter) countEvent(r slog.Record) {
	var metrics *eventMetrics
	outcome := ""
	var seconds float64
	r.Attrs(func(a slog.Attr) bool {
		switch {
		case a.Key == event.NumberAttr:
			metrics = m.byNumber[int(a.Value.Int64())]
			return metrics != nil
		case metrics == nil:
		case a.Key == metrics.event.OutcomeAttr():
			outcome = a.Value.String()
		case a.Key == metrics.event.DurationAttr() && a.Value.Kind() == slog.KindDuration:
			seconds = a.Value.Duration().Seconds()
		}
		return true
	})
	if metrics == nil {
		return
	}
	ofOutcome, ok := metrics.outcome[outcome]
	if !ok {
		ofOutcome = metrics.outcome[otherOutcome]
	}
	if ofOutcome.count == nil {
		return
	}
	ofOutcome.count.Inc()
	if ofOutcome.seconds != nil {
		ofOutcome.seconds.Observe(seconds)
	}
}
