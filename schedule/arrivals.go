package schedule

import (
	"math"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file defines the rate at which work arrives, which tells how much room a
// pool will need before the work piles up.

// arrivalWindow is the time over which the rate is averaged. A peak must be seen
// within a second, because an instance takes more than one to come.
const arrivalWindow = 800 * time.Millisecond

// arrivals is the recent rate of arriving work.
type arrivals struct {
	// per second of arrival, in room times seconds: the room in use if the rate
	// goes on.
	cpu, memory float64
	at          time.Time
	// any says that work that ends has ever arrived.
	any bool
}

// decay lets the rate fade up to now.
func (a *arrivals) decay(now time.Time) {
	if !a.at.IsZero() {
		f := math.Exp(-now.Sub(a.at).Seconds() / arrivalWindow.Seconds())
		a.cpu *= f
		a.memory *= f
	}
	a.at = now
}

// add takes in that a job has arrived.
func (a *arrivals) add(now time.Time, j *workload.Job, learned *estimates) {
	spec := j.Spec()
	a.decay(now)
	window := arrivalWindow.Seconds()
	for n := range spec.Steps {
		s := &spec.Steps[n]
		if s.Service {
			continue
		}
		a.any = true
		weight := float64(s.Count) * learned.duration(j.Queue(), s).Seconds() / window
		a.cpu += weight * float64(s.Reservation().CPUMilli)
		a.memory += weight * float64(s.Reservation().MemoryMiB)
	}
}

// steady returns the room in use if work goes on arriving as it does.
func (a *arrivals) steady(now time.Time) pointport.Shape {
	a.decay(now)
	return pointport.Shape{CPUMilli: int64(a.cpu), MemoryMiB: int64(a.memory)}
}
