// Package choose implements pointport.Chooser: Forecast for use, LeastInFlight
// and RoundRobin as the baselines that it is measured against.
package choose

import (
	"sync/atomic"

	"github.com/pointport/pointport"
)

// Forecast prefers the upstream where a new request is forecast to end first:
// the time that a request takes there, stretched by what is in flight against
// the limit. It prefers its own availability zone outright while that has room.
//
// The forecast of the finish time in place of a queue's length is taken from
// the work on heterogeneous workstation clusters that docs/design/routing.md
// cites.
type Forecast struct{}

// LeastInFlight prefers the upstream with the fewest requests in flight.
type LeastInFlight struct{}

// RoundRobin takes every upstream in turn and knows no limit.
type RoundRobin struct{ next atomic.Uint64 }

var (
	_ pointport.Chooser   = Forecast{}
	_ pointport.Chooser   = LeastInFlight{}
	_ pointport.Chooser   = (*RoundRobin)(nil)
	_ pointport.Unlimited = (*RoundRobin)(nil)
)

// Better reports whether a is forecast to end a new request before b.
func (Forecast) Better(a, b pointport.Candidate) bool {
	if a.OwnZone() != b.OwnZone() {
		return a.OwnZone()
	}
	return forecastTime(a) < forecastTime(b)
}

// forecastTime is the forecast of a new request's time, in nanoseconds.
func forecastTime(c pointport.Candidate) float64 {
	return float64(c.Latency()) * float64(c.Limit()+c.InFlight()) / float64(c.Limit())
}

// Better reports whether a has fewer requests in flight than b.
func (LeastInFlight) Better(a, b pointport.Candidate) bool { return a.InFlight() < b.InFlight() }

// Better never prefers one over the other.
func (*RoundRobin) Better(pointport.Candidate, pointport.Candidate) bool { return false }

// Next returns the index after the last one.
func (r *RoundRobin) Next(n int) int { return int(r.next.Add(1) % uint64(n)) }
