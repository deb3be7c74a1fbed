package assign

import (
	"github.com/pointport/pointport/config"
)

// This file defines how much of the floating part of a budget a zone wants.

// WantFloat returns how much of a pool's floating budget the zone should hold:
// what is out of service beyond its even share, and one more while something is
// due and nothing more may go out.
func WantFloat(in Input, t *config.Template, even int) int {
	d := newDecision(&in)
	working := 0
	for _, m := range d.inPool(t.Name) {
		if d.works(m) {
			working++
		}
	}
	out := ZoneSize(t, in.Zones, in.Zone) - working
	want := max(0, out-even)
	if out >= even && d.anyDue(t) {
		want++
	}
	return min(want, FloatTotal(t, in.Zones))
}

// anyDue reports whether a wave over the pool has an instance left to take.
func (d *decision) anyDue(t *config.Template) bool {
	for _, o := range d.in.Waves {
		w, ok := d.wave(o.Wave.Name)
		if o.Wave.Template != t.Name || o.Wave.State != config.WaveRun || !ok || !w.Ended.IsZero() || w.Stopped != "" {
			continue
		}
		if len(d.candidates(t, dueInWave(w), false)) > 0 {
			return true
		}
	}
	return t.Maintenance.Period.D() > 0 && len(d.candidates(t, d.dueByPeriod(t), false)) > 0
}
