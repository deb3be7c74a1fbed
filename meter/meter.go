package meter

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"

	"github.com/pointport/pointport"
)

// This file defines the meter and its metrics. docs/operators/job-metrics.md
// lists them.

// The buckets of the histograms, in seconds. The store answers in 4 ms, or in a
// quarter of a second when it is slow. Orders time out after 0.4 s. Jobs take from
// one second to a minute.
var (
	callBuckets  = []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}
	eventBuckets = []float64{.01, .05, .1, .25, .5, 1, 2.5, 5, 10, 20, 60}
)

// A Meter holds an entry instance's metrics. It is safe for concurrent use.
type Meter struct {
	registry     *prometheus.Registry
	clock        pointport.Clock
	events       *prometheus.CounterVec
	eventSeconds *prometheus.HistogramVec
	calls        *prometheus.CounterVec
	callSeconds  *prometheus.HistogramVec
	received     *prometheus.CounterVec
	byNumber     map[int]*eventMetrics
}

// New returns a meter that times calls by clock.
func New(clock pointport.Clock) *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		clock:    clock,
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pointport_events_total", Help: "Events by their name and, where the event tells one, the outcome.",
		}, []string{"event", "outcome"}),
		eventSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pointport_event_seconds", Help: "Times that events tell of, such as from a job's acceptance to its end.", Buckets: eventBuckets,
		}, []string{"event", "outcome"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pointport_calls_total", Help: "Calls by whom they go to, what they ask and what the answer was.",
		}, []string{"to", "call", "answer"}),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pointport_call_seconds", Help: "Time to the answer of a call, without the time that it asked the other side to wait.", Buckets: callBuckets,
		}, []string{"to", "call"}),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pointport_received_bytes_total", Help: "Bytes of answers that came, of whole answers and of those that were given up.",
		}, []string{"to", "call"}),
	}
	m.registry.MustRegister(m.events, m.eventSeconds, m.calls, m.callSeconds, m.received,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.byNumber = m.newEventMetrics()
	return m
}

// Gauge adds a gauge. It calls read for the value whenever the metrics are requested.
func (m *Meter) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter adds a counter. It calls read for the value whenever the metrics are
// requested.
func (m *Meter) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// AddStoreBytes counts bytes that were received of the store's answer to a call.
func (m *Meter) AddStoreBytes(call string, bytes int) {
	m.received.WithLabelValues(toStore, call).Add(float64(bytes))
}

// Handler returns a handler that serves all metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// productPrefix is the prefix of the names of metrics that are not the Go runtime's or the
// process collector's.
const productPrefix = "pointport_"

// BriefHandler returns a handler that serves only the product's counters and gauges, for
// collectors that keep only the first few kilobytes of a page. Histograms and the
// runtime's metrics would fill those.
func (m *Meter) BriefHandler() http.Handler {
	brief := func() ([]*dto.MetricFamily, error) {
		all, err := m.registry.Gather()
		return slices.DeleteFunc(all, func(f *dto.MetricFamily) bool {
			return f.GetType() == dto.MetricType_HISTOGRAM || !strings.HasPrefix(f.GetName(), productPrefix)
		}), err
	}
	return promhttp.HandlerFor(prometheus.GathererFunc(brief), promhttp.HandlerOpts{})
}

// The values of the label "to".
const (
	toStore    = "store"
	toInstance = "instance"
	toMachines = "machines"
	toAdvisor  = "advisor"
)

// observeCall counts a call that began at start. It also observes the call's duration if
// wait is zero, that is, if the call did not ask the other side to delay its answer.
func (m *Meter) observeCall(to, call string, start time.Time, wait time.Duration, err error) {
	m.calls.WithLabelValues(to, call, answerLabel(err)).Inc()
	if wait == 0 {
		m.callSeconds.WithLabelValues(to, call).Observe(m.clock.Now().Sub(start).Seconds())
	}
}

// answerLabel returns the value of the label "answer" for the outcome of a call.
func answerLabel(err error) string {
	var (
		rejected    *pointport.RejectedError
		refused     *pointport.MachineRefusedError
		conflict    *pointport.TxnConflictError
		ended       *pointport.LeaseEndedError
		compacted   *pointport.CompactedError
		gone        *pointport.GoneError
		unavailable *pointport.UnavailableError
	)
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &rejected):
		return "rejected-" + string(rejected.Reason)
	case errors.As(err, &refused):
		return "refused-" + string(refused.Reason)
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &ended):
		return "lease-ended"
	case errors.As(err, &compacted):
		return "compacted"
	case errors.As(err, &gone):
		return "other-incarnation"
	case errors.Is(err, context.Canceled):
		return "given-up"
	case errors.As(err, &unavailable) && unavailable.Ambiguous:
		return "effect-unknown"
	}
	return "unavailable"
}
