package schedule

import (
	"math"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what is remembered of tasks that were placed away from their
// data, so that instances near it can be brought in.

// farWindow is the time over which the room of such tasks is remembered.
const farWindow = 2 * time.Second

// rackDemand is the room of tasks that were lately placed away from their data, by
// the rack that has it.
type rackDemand struct {
	byRack map[string]*fading
}

// A fading is an amount of room that fades with time.
type fading struct {
	cpu, memory float64
	at          time.Time
}

func (f *fading) decay(now time.Time) {
	if !f.at.IsZero() {
		share := math.Exp(-now.Sub(f.at).Seconds() / farWindow.Seconds())
		f.cpu *= share
		f.memory *= share
	}
	f.at = now
}

// add takes in that a task that wants a rack was placed elsewhere.
func (r *rackDemand) add(now time.Time, rack string, room pointport.Shape) {
	if r.byRack == nil {
		r.byRack = make(map[string]*fading)
	}
	f := r.byRack[rack]
	if f == nil {
		f = &fading{}
		r.byRack[rack] = f
	}
	f.decay(now)
	f.cpu += float64(room.CPUMilli)
	f.memory += float64(room.MemoryMiB)
}

// steady returns the room by rack as it is at now.
func (r *rackDemand) steady(now time.Time) map[string]pointport.Shape {
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
