package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// This file defines the metrics of the request path. The number of label values is
// bounded: services come from templates, outcomes from this file.

// An outcome is how a request ended, as a metric label and in problem types.
type outcome string

// The outcomes of a request.
const (
	outcomeAnswered   outcome = "answered"
	outcomeBadRequest outcome = "bad-request"
	outcomeRefused    outcome = "refused"
	outcomeTimeout    outcome = "timeout"
	outcomeUnknown    outcome = "unknown"
	outcomeKeyTaken   outcome = "key-taken"
	outcomeStoreDown  outcome = "store-down"
	outcomeNotRun     outcome = "not-run"
	outcomeCutShort   outcome = "cut-short"
	outcomeCallerGone outcome = "caller-gone"
)

// metrics holds the metrics of one gateway.
type metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	inFlight prometheus.Gauge
}

// buckets are the upper bounds of the latency histogram's buckets, in seconds.
var buckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pointport_requests_total", Help: "Requests by service and outcome.",
		}, []string{"service", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pointport_request_seconds", Help: "Time from a request's arrival to the end of its answer.", Buckets: buckets,
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pointport_attempts_total", Help: "Attempts at upstreams by service and end.",
		}, []string{"service", "end"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pointport_requests_in_flight", Help: "Requests that have no answer yet.",
		}),
	}
	r.MustRegister(m.requests, m.seconds, m.attempts, m.inFlight)
	return m
}

// String returns the value of the end label in metrics.
func (e attemptEnd) String() string {
	switch e {
	case endAnswered:
		return "answered"
	case endNotRun:
		return "not-run"
	case endUnsent:
		return "unsent"
	}
	return "unknown"
}
