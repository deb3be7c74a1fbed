package meter

import (
	"context"
	"log/slog"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pointport/pointport/event"
)

// This file defines the handler that counts events on their way to the log.

// eventMetrics are the figures of one event.
type eventMetrics struct {
	event   event.Event
	outcome map[string]outcomeMetrics
}

// outcomeMetrics are the figures of one outcome of an event.
type outcomeMetrics struct {
	count   prometheus.Counter
	seconds prometheus.Observer // nil if the event tells no time
}

// otherOutcome stands for an outcome that the catalogue does not list.
const otherOutcome = "other"

func (m *Meter) newEventMetrics() map[int]*eventMetrics {
	all := make(map[int]*eventMetrics)
	for _, e := range event.All() {
		f := &eventMetrics{event: e, outcome: make(map[string]outcomeMetrics)}
		outcomes := []string{""}
		if e.OutcomeAttr() != "" {
			outcomes = append(slices.Clone(e.Outcomes()), otherOutcome)
		}
		for _, outcome := range outcomes {
			figures := outcomeMetrics{count: m.events.WithLabelValues(e.Name(), outcome)}
			if e.DurationAttr() != "" {
				figures.seconds = m.eventSeconds.WithLabelValues(e.Name(), outcome)
			}
			f.outcome[outcome] = figures
		}
		all[e.Number()] = f
	}
	return all
}

// A handler counts the events that pass it.
type handler struct {
	slog.Handler
	meter *Meter
}

// Events returns next with the events that pass it counted.
func (m *Meter) Events(next slog.Handler) slog.Handler { return &handler{next, m} }

// Handle counts a record and hands it on.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.meter.countEvent(r)
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler whose records have further attributes.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.meter}
}

// WithGroup returns a handler whose records' attributes are in a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.meter}
}

func (m *Meter) countEvent(r slog.Record) {
	var f *eventMetrics
	outcome := ""
	var seconds float64
	r.Attrs(func(a slog.Attr) bool {
		switch {
		case a.Key == event.NumberAttr:
			f = m.byNumber[int(a.Value.Int64())]
			return f != nil
		case f == nil:
		case a.Key == f.event.OutcomeAttr():
			outcome = a.Value.String()
		case a.Key == f.event.DurationAttr() && a.Value.Kind() == slog.KindDuration:
			seconds = a.Value.Duration().Seconds()
		}
		return true
	})
	if f == nil {
		return
	}
	figures, ok := f.outcome[outcome]
	if !ok {
		figures = f.outcome[otherOutcome]
	}
	if figures.count == nil {
		return
	}
	figures.count.Inc()
	if figures.seconds != nil {
		figures.seconds.Observe(seconds)
	}
}
