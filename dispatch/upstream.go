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
	// baseWeight is its weight in the baseline, which only rises while the limit
	// is at its floor: by then what is slow is the work, and not a queue that
	// this entry instance makes.
	baseWeight = 0.05
	// floorPart is the part of the slots below which congestion lowers no limit.
	floorPart = 0.25
	// congested is how far the recent latency may exceed the baseline before
	// the limit falls.
	congested = 2.0
	// cutByLatency and cutByRefusal are what the limit falls to.
	cutByLatency = 0.9
	cutByRefusal = 0.7
	// failurePenalty is how much slower than the service a failure counts.
	failurePenalty = 4
	// firstLatency is assumed before anything was measured.
	firstLatency = 20 * time.Millisecond
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

	limit   float64 // adapts between 1 and the slots
	cutAt   time.Time
	recent  time.Duration // latency, failures counted as slow
	base    time.Duration // latency when there is no queue at the upstream
	fails   int           // failures in a row
	ejects  int           // ejections in a row
	until   time.Time     // when the ejection ends; zero if it is not ejected
	served  int64
	failed  int64
	refused int64
}

func newUpstream(i pointport.Instance, ownZone bool, t *config.Template) *upstream {
	return &upstream{instance: i, ownZone: ownZone, limit: max(1, float64(t.Upstream.Slots)/2)}
}

// closed reports whether the upstream gets no new work, whatever room it has.
func (u *upstream) closed() bool { return u.leaving || u.evacuated }

// room returns how many more requests the upstream may get now.
func (u *upstream) room(now time.Time, slots, share int) int {
	if u.closed() {
		return 0
	}
	if !u.until.IsZero() {
		if now.Before(u.until) {
			return 0
		}
		// The ejection is over; one request at a time tries the upstream.
		return min(1, share) - u.inFlight
	}
	return min(int(u.limit), slots, share) - u.inFlight
}

// candidate returns the upstream as a Chooser sees it.
func (u *upstream) candidate() pointport.Candidate {
	latency := u.recent
	if latency == 0 {
		latency = firstLatency
	}
	return pointport.NewCandidate(u.inFlight, max(1, int(u.limit)), latency, u.ownZone)
}

// succeed takes in the latency of a request that went well.
func (u *upstream) succeed(now time.Time, latency time.Duration, slots int) {
	saturated := u.inFlight+1 >= int(u.limit)
	u.served++
	u.fails, u.ejects, u.until = 0, 0, time.Time{}
	u.recent = blend(u.recent, latency, recentWeight)
	switch {
	case u.base == 0 || u.recent < u.base:
		u.base = u.recent
	case u.limit <= floor(slots):
		u.base = blend(u.base, u.recent, baseWeight)
	}
	if float64(u.recent) > congested*float64(u.base) {
		u.cut(now, cutByLatency, floor(slots))
		return
	}
	if saturated {
		u.limit = min(float64(slots), u.limit+1/u.limit)
	}
}

// refuse takes in that the upstream did not run a request for lack of room.
func (u *upstream) refuse(now time.Time) {
	u.refused++
	u.cut(now, cutByRefusal, 1)
}

// floor is the least that congestion lowers a limit to.
func floor(slots int) float64 { return max(1, floorPart*float64(slots)) }

// cut lowers the limit, at most once for each round of requests.
func (u *upstream) cut(now time.Time, factor, least float64) {
	if now.Sub(u.cutAt) < u.recent {
		return
	}
	u.cutAt = now
	u.limit = max(min(u.limit, least), u.limit*factor)
}

// fail takes in a failure, which counts as slow whatever time it took. It
// reports whether the upstream has failed often enough to be ejected.
func (u *upstream) fail(latency, service time.Duration, after int) bool {
	u.failed++
	u.fails++
	u.recent = blend(u.recent, max(latency, failurePenalty*service), recentWeight)
	return u.fails >= after || !u.until.IsZero()
}

// eject leaves the upstream alone, longer each time in a row.
func (u *upstream) eject(now time.Time, first time.Duration) time.Duration {
	d := min(first<<min(u.ejects, 16), maxEjection)
	u.ejects++
	u.fails = 0
	u.until = now.Add(d)
	return d
}

func blend(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(weight*float64(sample-old))
}
