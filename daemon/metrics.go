package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
)

// This file defines the metrics that belong to no single package.
// docs/operators/metrics.md lists all metrics.

// registerMetrics registers the metrics whose values are read from other parts of
// the entry instance when the metrics are collected.
func (e *Entry) registerMetrics() {
	counter := func(name, help string, labels prometheus.Labels, read func() int64) {
		e.registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 { return float64(read()) }))
	}
	gauge := func(name, help string, read func() float64) {
		e.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	const bytesHelp = "Bytes exchanged with the platform, with HTTP headers."
	counter("pointport_platform_calls_total", "Calls to the platform, a waiting watch as one.", nil, func() int64 { return e.platform.Counts().Calls })
	counter("pointport_platform_bytes_total", bytesHelp, prometheus.Labels{"direction": "sent"}, func() int64 { return e.platform.Counts().Sent })
	counter("pointport_platform_bytes_total", bytesHelp, prometheus.Labels{"direction": "received"}, func() int64 { return e.platform.Counts().Received })
	const claimsHelp = "Keys asked for, by what came of it."
	counter("pointport_claims_total", claimsHelp, prometheus.Labels{"result": "granted"}, func() int64 { return e.claims.Counts().Claims })
	counter("pointport_claims_total", claimsHelp, prometheus.Labels{"result": "taken"}, func() int64 { return e.claims.Counts().Taken })
	counter("pointport_claims_total", claimsHelp, prometheus.Labels{"result": "failed"}, func() int64 { return e.claims.Counts().Failed })
	counter("pointport_claim_writes_total", "Compare-and-swaps of claims tried.", nil, func() int64 { return e.claims.Counts().Writes })
	counter("pointport_claim_conflicts_total", "Compare-and-swaps of claims that another entry instance beat.", nil, func() int64 { return e.claims.Counts().Conflicts })
	gauge("pointport_config_version", "Version of the configuration in force.", func() float64 { return float64(e.configs.State().Version()) })
	gauge("pointport_config_age_seconds", "Time since the store last answered about the configuration.", func() float64 { return e.clock.Now().Sub(e.configs.LastAnswer()).Seconds() })
	gauge("pointport_planner", "Whether this entry instance plans its availability zone.", func() float64 {
		if e.isPlanner() {
			return 1
		}
		return 0
	})
}
