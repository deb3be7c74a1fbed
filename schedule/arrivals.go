package schedule

import (
	"math"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file defines the rate at which work arrives. It shows how much capacity a pool will need
// before the work piles up.

// arrivalWindow is the time constant over which the rate is averaged. A peak must be detected
// within a second, because a new instance takes more than a second to arrive.
const arrivalWindow = 800 * time.Millisecond

// arrivals is the recent rate of arriving work.
type arrivals struct {
	// cpu and memory are the rate of arriving work: reserved capacity times duration, per second.
	// That equals the capacity in use if work keeps arriving at this rate.
	cpu, memory float64
	at          time.Time
	// any reports whether work other than serving tasks has ever arrived.
	any bool
}

// decay reduces the rate exponentially for the time passed until now.
func (a *arrivals) decay(now time.Time) {
	if !a.at.IsZero() {
		f := math.Exp(-now.Sub(a.at).Seconds() / arrivalWindow.Seconds())
		a.cpu *= f
		a.memory *= f
	}
	a.at = now
}

// add records the arrival of a job.
func (a *arrivals) add(now time.Time, j *workload.Job, est *estimates) {
	spec := j.Spec()
	a.decay(now)
	window := arrivalWindow.Seconds()
	for n := range spec.Steps {
		s := &spec.Steps[n]
		if s.Service {
			continue
		}
		a.any = true
		weight := float64(s.Count) * est.duration(j.Queue(), s).Seconds() / window
		a.cpu += weight * float64(s.Reservation().CPUMilli)
		a.memory += weight * float64(s.Reservation().MemoryMiB)
	}
}

// current returns the capacity in use if work keeps arriving at the present rate.
func (a *arrivals) current(now time.Time) pointport.Shape {
	a.decay(now)
	return pointport.Shape{CPUMilli: int64(a.cpu), MemoryMiB: int64(a.memory)}
}
