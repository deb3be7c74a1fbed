package intake

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines how long ago a job was first submitted, derived from its client's deadline.

const (
	// retryWindow is how long after a submission that this member could not store submissions may
	// be retries. It covers the longest time for which a client retries.
	retryWindow = workload.MaxSubmissionAge
	// deadlineStep is the width of the intervals in which deadlines count as the same value. The
	// deadlines of first submissions vary by some milliseconds in transit.
	deadlineStep = 100 * time.Millisecond
	// minSubmissionAge is the least age that is not taken for variation of first deadlines. A
	// client that is refused waits for at least a second before it retries.
	minSubmissionAge = 300 * time.Millisecond
	// minDeadlineSamples is how many first deadlines must be known before ages are derived.
	minDeadlineSamples = 8
	// maxDeadlineSamples is the number of first deadlines at which all counts are halved, so that
	// new ones replace old ones.
	maxDeadlineSamples = 512
	// maxCountedDeadlines bounds the values that are counted for one source.
	maxCountedDeadlines = 16
	// minUsualShare is the share of first deadlines from which a value is a usual one. It keeps
	// the deadlines of the few retries that are counted by mistake from hiding later retries.
	minUsualShare = 0.02
	// minUsualCount is the least number of first deadlines of a usual value.
	minUsualCount = 2
	// minUsualCoverage is the share of the first deadlines that must be of values which are
	// counted. Below it, deadlines vary too much to tell a retry from a short first deadline.
	minUsualCoverage = 0.9
	// maxDeadlineSources bounds the sources that are remembered; the one that was unused for the
	// longest time is replaced.
	maxDeadlineSources = 512
	// maxPlausibleDeadline is the deadline from which one is not used.
	maxPlausibleDeadline = time.Hour
)

// SubmissionAges derives how long ago a job was first submitted from how long its client will
// still wait. A client's remaining time shrinks from one attempt to the next, so the age is the
// difference between its first deadline and the present one. The first deadline is not known, but
// the first deadlines that are usual for the same customer and queue are: they are counted while
// there are no retries, because all submissions have been stored for retryWindow.
//
// Some clients always set short deadlines. Such a client must not count as one that has waited, nor
// be ranked behind others as unable to meet its objective. Therefore:
//
//   - Ages are derived only within retryWindow after a submission that this member could not
//     store. At all other times every age is zero.
//   - Deadlines are compared with those of the same customer and queue. While too few of these are
//     known, they are compared with those of all customers of this member: most members see only a
//     few submissions of each customer. A deadline close to any of the few that are known has the age
//     zero even so.
//   - Every value with a share of minUsualShare is a usual one, not only the most frequent value. A
//     deadline close to a usual one has the age zero, and any other is compared with the nearest
//     longer one. Where a customer's deadlines are of many values, its ages are therefore too low
//     rather than too high. Only a value that is rarer than that, or new, can count as that of a
//     retry by mistake.
//   - Where the counted values do not cover nearly all first deadlines, the age is zero.
//
// Its state is bounded, and it is safe for concurrent use. Times are passed in.
type SubmissionAges struct {
	mu      sync.Mutex
	sources map[deadlineSource]*deadlineCounts
	// retriesUntil is when the last submission that may be a retry is over.
	retriesUntil time.Time
}

// A deadlineSource is a customer and a queue whose deadlines are compared with each other.
type deadlineSource struct {
	customer, queue string
}

// allSources is the source under which the deadlines of all customers and queues are counted. No
// queue has an empty name.
var allSources = deadlineSource{}

// deadlineCounts counts the first deadlines of a source.
type deadlineCounts struct {
	usedAt time.Time
	values []deadlineCount
	total  int
}

// A deadlineCount counts the deadlines that are within deadlineStep above least.
type deadlineCount struct {
	least time.Duration
	n     int
}

// NewSubmissionAges returns SubmissionAges that know no deadlines. Submissions that arrive soon
// after now may be retries, because an earlier process or another member may have refused them.
func NewSubmissionAges(now time.Time) *SubmissionAges {
	return &SubmissionAges{sources: make(map[deadlineSource]*deadlineCounts), retriesUntil: now.Add(retryWindow)}
}

// Age returns how long ago a job was first submitted whose client waits for the remaining time, or
// zero if that is not known. A remaining time that is not positive is unknown.
func (a *SubmissionAges) Age(now time.Time, customer, queue string, remaining time.Duration) time.Duration {
	if !plausibleDeadline(remaining) {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !now.Before(a.retriesUntil) {
		return 0
	}
	own := deadlineSource{customer, queue}
	if counts := a.sources[own]; counts != nil && counts.total < minDeadlineSamples && counts.hasNear(remaining) {
		return 0 // the deadlines of others do not show that this one is not a first deadline
	}
	for _, key := range []deadlineSource{own, allSources} {
		if counts := a.sources[key]; counts != nil && counts.total >= minDeadlineSamples {
			counts.usedAt = now
			return counts.age(remaining)
		}
	}
	return 0
}

// Observe records the outcome of a submission whose client waits for the remaining time.
func (a *SubmissionAges) Observe(now time.Time, customer, queue string, remaining time.Duration, outcome error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refused *RefusedError
	var ambiguous *AmbiguousError
	if errors.As(outcome, &refused) || errors.As(outcome, &ambiguous) {
		a.retriesUntil = now.Add(retryWindow)
		return
	}
	if outcome != nil || !plausibleDeadline(remaining) || now.Before(a.retriesUntil) {
		return
	}
	a.source(now, deadlineSource{customer, queue}).add(remaining)
	a.source(now, allSources).add(remaining)
}

func plausibleDeadline(d time.Duration) bool { return d > 0 && d < maxPlausibleDeadline }

// source returns the counts of a source, which it adds if they are missing.
func (a *SubmissionAges) source(now time.Time, key deadlineSource) *deadlineCounts {
	counts := a.sources[key]
	if counts == nil {
		if len(a.sources) >= maxDeadlineSources {
			a.removeLeastRecent()
		}
		counts = &deadlineCounts{}
		a.sources[key] = counts
	}
	counts.usedAt = now
	return counts
}

func (a *SubmissionAges) removeLeastRecent() {
	var oldest deadlineSource
	var oldestAt time.Time
	for key, counts := range a.sources {
		if oldestAt.IsZero() || counts.usedAt.Before(oldestAt) {
			oldest, oldestAt = key, counts.usedAt
		}
	}
	delete(a.sources, oldest)
}

// add counts a first deadline. Its value is not counted if there are too many already.
func (c *deadlineCounts) add(d time.Duration) {
	if c.total >= maxDeadlineSamples {
		c.halve()
	}
	c.total++
	interval := d / deadlineStep
	for n := range c.values {
		if v := &c.values[n]; v.least/deadlineStep == interval {
			v.n++
			v.least = min(v.least, d)
			return
		}
	}
	if len(c.values) < maxCountedDeadlines {
		c.values = append(c.values, deadlineCount{least: d, n: 1})
	}
}

// halve halves all counts and removes the values that are left without any.
func (c *deadlineCounts) halve() {
	c.total /= 2
	kept := c.values[:0]
	for _, v := range c.values {
		if v.n /= 2; v.n > 0 {
			kept = append(kept, v)
		}
	}
	c.values = kept
}

// near reports whether a deadline differs from the counted ones by no more than first deadlines vary.
func (v deadlineCount) near(remaining time.Duration) bool {
	shorter := v.least - remaining
	return shorter > -deadlineStep && shorter < minSubmissionAge
}

// hasNear reports whether a deadline is near any counted one, usual or not.
func (c *deadlineCounts) hasNear(remaining time.Duration) bool {
	return slices.ContainsFunc(c.values, func(v deadlineCount) bool { return v.near(remaining) })
}

// age returns how much shorter a deadline is than the nearest longer one that is usual.
func (c *deadlineCounts) age(remaining time.Duration) time.Duration {
	covered := 0
	nearest := time.Duration(0)
	for _, v := range c.values {
		covered += v.n
		if v.n < minUsualCount || float64(v.n) < minUsualShare*float64(c.total) {
			continue
		}
		if v.near(remaining) {
			return 0 // close to a usual first deadline
		}
		if shorter := v.least - remaining; shorter > 0 && (nearest == 0 || shorter < nearest) {
			nearest = shorter
		}
	}
	if float64(covered) < minUsualCoverage*float64(c.total) {
		return 0
	}
	return min(nearest, workload.MaxSubmissionAge)
}
