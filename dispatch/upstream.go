package dispatch

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// This file defines the state of one upstream: its concurrency limit, its latency
// and its ejection.

const (
	// recentWeight is the weight of a new sample in the recent latency.
	recentWeight = 0.1
	// baselineWeight is the weight of the recent latency when the baseline rises.
	// The baseline rises only while the limit is at its floor: then the work itself
	// is slow, and not a queue that this entry instance causes at the upstream.
	baselineWeight = 0.05
	// floorFraction is the fraction of the slots below which congestion does not
	// lower the limit.
	floorFraction = 0.25
	// congestionFactor is the ratio of the recent latency to the baseline above
	// which the limit is lowered.
	congestionFactor = 2.0
	// congestionDecrease and refusalDecrease are the factors by which congestion and
	// a refusal lower the limit.
	congestionDecrease = 0.9
	refusalDecrease    = 0.7
	// failureLatencyFactor times the service's latency is the least latency that a
	// failure counts as.
	failureLatencyFactor = 4
	// initialLatency is the latency assumed for an upstream without samples.
	initialLatency = 20 * time.Millisecond
	// maxEjection bounds the duration of one ejection.
	maxEjection = 5 * time.Minute
)

// An upstream is the state of one instance as observed by this entry instance.
type upstream struct {
	instance pointport.Instance
	ownZone  bool
	leaving  bool
	// evacuated reports whether its availability zone is evacuated.
	evacuated bool
	inFlight  int

	limit           float64 // concurrency limit, adapted between 1 and the slots
	limitLoweredAt  time.Time
	recentLatency   time.Duration // moving average, with failures counted as slow
	baselineLatency time.Duration // latency without a queue at the upstream
	failuresInRow   int           // reset by a success or an ejection
	ejectionsInRow  int           // reset by a success
	ejectedUntil    time.Time     // end of the last ejection; zero if there was none or a request succeeded since
	served          int64
	failed          int64
	refused         int64
}

func newUpstream(i pointport.Instance, ownZone bool, t *config.Template) *upstream {
	return &upstream{instance: i, ownZone: ownZone, limit: max(1, float64(t.Upstream.Slots)/2)}
}

// excluded reports whether the upstream gets no new work regardless of its free
// capacity.
func (u *upstream) excluded() bool { return u.leaving || u.evacuated }

// freeCapacity returns how many more requests the upstream may get now, given its
// slots and this entry instance's share of its connections. It is negative if the
// limits have fallen below what is in flight.
func (u *upstream) freeCapacity(now time.Time, slots, share int) int {
	if u.excluded() {
		return 0
	}
	if !u.ejectedUntil.IsZero() {
		if now.Before(u.ejectedUntil) {
			return 0
		}
		// The ejection has ended, but no request has succeeded since: allow one trial
		// request at a time.
		return min(1, share) - u.inFlight
	}
	return min(int(u.limit), slots, share) - u.inFlight
}

// candidate returns the upstream's data for a Chooser.
func (u *upstream) candidate() pointport.Candidate {
	latency := u.recentLatency
	if latency == 0 {
		latency = initialLatency
	}
	return pointport.NewCandidate(u.inFlight, max(1, int(u.limit)), latency, u.ownZone)
}

// recordSuccess records a request that succeeded and its latency. It ends an
// ejection, and raises the limit if all of it was in use, or lowers it if the latency
// shows congestion.
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

// recordRefusal records that the upstream did not run a request for lack of
// capacity, and lowers the limit.
func (u *upstream) recordRefusal(now time.Time) {
	u.refused++
	u.lowerLimit(now, refusalDecrease, 1)
}

// congestionFloor returns the limit below which congestion does not lower it.
func congestionFloor(slots int) float64 { return max(1, floorFraction*float64(slots)) }

// lowerLimit multiplies the limit by factor, but doesn't lower it below least. It
// acts at most once per recent latency, so that the requests in flight at the same
// time lower the limit only once.
func (u *upstream) lowerLimit(now time.Time, factor, least float64) {
	if now.Sub(u.limitLoweredAt) < u.recentLatency {
		return
	}
	u.limitLoweredAt = now
	u.limit = max(min(u.limit, least), u.limit*factor)
}

// recordFailure records a failed request. A failure counts as slow even if it came
// fast, so that an upstream that fails quickly doesn't look fast. It reports whether
// the upstream has failed often enough in a row to be ejected, or failed again after
// an ejection.
func (u *upstream) recordFailure(latency, service time.Duration, after int) bool {
	u.failed++
	u.failuresInRow++
	u.recentLatency = movingAverage(u.recentLatency, max(latency, failureLatencyFactor*service), recentWeight)
	return u.failuresInRow >= after || !u.ejectedUntil.IsZero()
}

// eject ejects the upstream and returns for how long. The duration starts at first
// and doubles with each ejection in a row, up to maxEjection.
func (u *upstream) eject(now time.Time, first time.Duration) time.Duration {
	duration := min(first<<min(u.ejectionsInRow, 16), maxEjection)
	u.ejectionsInRow++
	u.failuresInRow = 0
	u.ejectedUntil = now.Add(duration)
	return duration
}

// movingAverage returns the exponential moving average after a sample. An average of
// zero is replaced by the sample.
func movingAverage(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(weight*float64(sample-old))
}
