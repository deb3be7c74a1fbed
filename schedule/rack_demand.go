package schedule

import (
	"math"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what is remembered of tasks that were placed away from their data, so that
// instances near it can be added to the pool.

// rackDemandWindow is the time constant with which the recorded demand decays.
const rackDemandWindow = 2 * time.Second

// rackDemand is the resources of tasks that were recently placed away from their data, by the rack
// that has the data.
type rackDemand struct {
	byRack map[string]*decayingDemand
}

// A decayingDemand is an amount of resources that decays exponentially.
type decayingDemand struct {
	cpu, memory float64
	at          time.Time
}

func (f *decayingDemand) decay(now time.Time) {
	if !f.at.IsZero() {
		share := math.Exp(-now.Sub(f.at).Seconds() / rackDemandWindow.Seconds())
		f.cpu *= share
		f.memory *= share
	}
	f.at = now
}

// add records that a task whose data is in a rack was placed elsewhere.
func (r *rackDemand) add(now time.Time, rack string, need pointport.Shape) {
	if r.byRack == nil {
		r.byRack = make(map[string]*decayingDemand)
	}
	f := r.byRack[rack]
	if f == nil {
		f = &decayingDemand{}
		r.byRack[rack] = f
	}
	f.decay(now)
	f.cpu += float64(need.CPUMilli)
	f.memory += float64(need.MemoryMiB)
}

// current returns the demand by rack at now.
func (r *rackDemand) current(now time.Time) map[string]pointport.Shape {
	out := make(map[string]pointport.Shape, len(r.byRack))
	for rack, f := range r.byRack {
		f.decay(now)
		if f.cpu < 1 && f.memory < 1 {
			delete(r.byRack, rack)
			continue
		}
		out[rack] = pointport.Shape{CPUMilli: int64(f.cpu), MemoryMiB: int64(f.memory)}
	}
	return out
}
