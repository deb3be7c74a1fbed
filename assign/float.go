package assign

import (
	"github.com/pointport/pointport/config"
)

// This file defines how much of the floating part of a budget a zone wants.

// FloatingBudgetDemand returns how much of each pool's floating budget the zone should
// hold: what is out of service beyond its even share, and one more while
// something is due and nothing more may go out. Pools without a floating budget
// are left out, unless the zone holds some from before.
func FloatingBudgetDemand(in Input) map[string]int {
	d := newDecision(&in)
	out := make(map[string]int)
	for _, t := range in.Templates {
		if FloatingBudget(t, in.Zones) > 0 || in.State.Pool(t.Name).Float > 0 {
			out[t.Name] = d.wantFloat(t)
		}
	}
	return out
}

func (d *decision) wantFloat(t *config.Template) int {
	zones, even := d.in.Zones, ZoneShare(t, d.in.Zones)
	working := 0
	for _, m := range d.inPool(t.Name) {
		if d.works(m) {
			working++
		}
	}
	out := ZoneSize(t, zones, d.in.Zone) - working
	want := max(0, out-even)
	if out >= even && d.anyDue(t) {
		want++
	}
	return min(want, FloatingBudget(t, zones))
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
	return t.Maintenance.Period.Value() > 0 && len(d.candidates(t, d.dueByPeriod(t), false)) > 0
}
