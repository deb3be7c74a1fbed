// Package choose implements pointport.Chooser: Forecast for production, and
// LeastInFlight and RoundRobin as baselines for comparison.
package choose

import (
	"sync/atomic"

	"github.com/pointport/pointport"
)

// Forecast prefers the upstream where a new request is forecast to end first. The
// forecast is the upstream's latency, scaled by the ratio of its requests in flight
// to its limit. An upstream in the own availability zone is always preferred.
//
// Comparing forecast finish times instead of queue lengths follows the work on
// heterogeneous workstation clusters that docs/design/routing.md cites.
type Forecast struct{}

// LeastInFlight prefers the upstream with the fewest requests in flight.
type LeastInFlight struct{}

// RoundRobin uses every upstream in turn and ignores limits.
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

// forecastTime returns the forecast duration of a new request, in nanoseconds.
func forecastTime(c pointport.Candidate) float64 {
	return float64(c.Latency()) * float64(c.Limit()+c.InFlight()) / float64(c.Limit())
}

// Better reports whether a has fewer requests in flight than b.
func (LeastInFlight) Better(a, b pointport.Candidate) bool { return a.InFlight() < b.InFlight() }

// Better returns false: RoundRobin chooses by Next.
func (*RoundRobin) Better(pointport.Candidate, pointport.Candidate) bool { return false }

// Next returns the index after the one returned last, modulo n.
func (r *RoundRobin) Next(n int) int { return int(r.next.Add(1) % uint64(n)) }
