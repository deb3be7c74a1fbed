package dispatch

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// This file defines what is known of one upstream: its limit, its latency and
// its ejection.

const (
	// recentWeight is the weight of a new sample in the recent latency.
	recentWeight = 0.1
	// baselineWeight is its weight in the baseline, which only rises while the limit
	// is at its floor: by then what is slow is the work, and not a queue that
	// this entry instance makes.
	baselineWeight = 0.05
	// floorFraction is the part of the slots below which congestion lowers no limit.
	floorFraction = 0.25
	// congestionFactor is how far the recent latency may exceed the baseline before
	// the limit falls.
	congestionFactor = 2.0
	// congestionDecrease and cutByRefusal are what the limit falls to.
	congestionDecrease = 0.9
	refusalDecrease    = 0.7
	// failureLatencyFactor is how much slower than the service a failure counts.
	failureLatencyFactor = 4
	// initialLatency is assumed before anything was measured.
	initialLatency = 20 * time.Millisecond
	// maxEjection bounds how long an upstream is left alone at a time.
	maxEjection = 5 * time.Minute
)

// An upstream is one instance as this entry instance sees it.
type upstream struct {
	instance pointport.Instance
	ownZone  bool
	leaving  bool
	// evacuated says that its availability zone is to be left empty.
	evacuated bool
	inFlight  int

	limit           float64 // adapts between 1 and the slots
	limitLoweredAt  time.Time
	recentLatency   time.Duration // latency, failures counted as slow
	baselineLatency time.Duration // latency when there is no queue at the upstream
	failuresInRow   int           // failures in a row
	ejectionsInRow  int           // ejections in a row
	ejectedUntil    time.Time     // when the ejection ends; zero if it is not ejected
	served          int64
	failed          int64
	refused         int64
}

func newUpstream(i pointport.Instance, ownZone bool, t *config.Template) *upstream {
	return &upstream{instance: i, ownZone: ownZone, limit: max(1, float64(t.Upstream.Slots)/2)}
}

// excluded reports whether the upstream gets no new work, whatever room it has.
func (u *upstream) excluded() bool { return u.leaving || u.evacuated }

// freeCapacity returns how many more requests the upstream may get now.
func (u *upstream) freeCapacity(now time.Time, slots, share int) int {
	if u.excluded() {
		return 0
	}
	if !u.ejectedUntil.IsZero() {
		if now.Before(u.ejectedUntil) {
			return 0
		}
		// The ejection is over; one request at a time tries the upstream.
		return min(1, share) - u.inFlight
	}
	return min(int(u.limit), slots, share) - u.inFlight
}

// candidate returns the upstream as a Chooser sees it.
func (u *upstream) candidate() pointport.Candidate {
	latency := u.recentLatency
	if latency == 0 {
		latency = initialLatency
	}
	return pointport.NewCandidate(u.inFlight, max(1, int(u.limit)), latency, u.ownZone)
}

// recordSuccess takes in the latency of a request that went well.
func (u *upstream) recordSuccess(now time.Time, latency time.Duration, slots int) {
	saturated := u.inFlight+1 >= int(u.limit)
	u.served++
	u.failuresInRow, u.ejectionsInRow, u.ejectedUntil = 0, 0, time.Time{}
	u.recentLatency = movingAverage(u.recentLatency, latency, recentWeight)
	switch {
	case u.baselineLatency == 0 || u.recentLatency < u.baselineLatency:
		u.baselineLatency = u.recentLatency
	case u.limit <= congestionFloor(slots):
		u.baselineLatency = movingAverage(u.baselineLatency, u.recentLatency, baselineWeight)
	}
	if float64(u.recentLatency) > congestionFactor*float64(u.baselineLatency) {
		u.lowerLimit(now, congestionDecrease, congestionFloor(slots))
		return
	}
	if saturated {
		u.limit = min(float64(slots), u.limit+1/u.limit)
	}
}

// recordRefusal takes in that the upstream did not run a request for lack of room.
func (u *upstream) recordRefusal(now time.Time) {
	u.refused++
	u.lowerLimit(now, refusalDecrease, 1)
}

// congestionFloor is the least that congestion lowers a limit to.
func congestionFloor(slots int) float64 { return max(1, floorFraction*float64(slots)) }

// lowerLimit lowers the limit, at most once for each round of requests.
func (u *upstream) lowerLimit(now time.Time, factor, least float64) {
	if now.Sub(u.limitLoweredAt) < u.recentLatency {
		return
	}
	u.limitLoweredAt = now
	u.limit = max(min(u.limit, least), u.limit*factor)
}

// recordFailure takes in a failure, which counts as slow whatever time it took. It
// reports whether the upstream has failed often enough to be ejected.
func (u *upstream) recordFailure(latency, service time.Duration, after int) bool {
	u.failed++
	u.failuresInRow++
	u.recentLatency = movingAverage(u.recentLatency, max(latency, failureLatencyFactor*service), recentWeight)
	return u.failuresInRow >= after || !u.ejectedUntil.IsZero()
}

// eject leaves the upstream alone, longer each time in a row.
func (u *upstream) eject(now time.Time, first time.Duration) time.Duration {
	d := min(first<<min(u.ejectionsInRow, 16), maxEjection)
	u.ejectionsInRow++
	u.failuresInRow = 0
	u.ejectedUntil = now.Add(d)
	return d
}

func movingAverage(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(weight*float64(sample-old))
}
