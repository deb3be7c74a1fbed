package assign

import (
	"github.com/pointport/pointport/config"
)

// This file defines how much of the floating part of a budget a zone asks for.

// FloatingBudgetDemand returns how much of each pool's floating budget the zone
// should hold: as many instances as are out of service beyond the zone's even
// share, and one more while an instance is due for maintenance but the even share
// is used up. Pools without a floating budget are omitted unless the zone still
// holds some of an earlier one.
func FloatingBudgetDemand(in Input) map[string]int {
	d := newDecision(&in)
	out := make(map[string]int)
	for _, t := range in.Templates {
		if FloatingBudget(t, in.Zones) > 0 || in.State.Pool(t.Name).Float > 0 {
			out[t.Name] = d.floatingBudgetDemand(t)
		}
	}
	return out
}

func (d *decision) floatingBudgetDemand(t *config.Template) int {
	zones, even := d.in.Zones, ZoneShare(t, d.in.Zones)
	working := 0
	for _, m := range d.inPool(t.Name) {
		if d.isWorking(m) {
			working++
		}
	}
	outOfService := ZoneSize(t, zones, d.in.Zone) - working
	want := max(0, outOfService-even)
	if outOfService >= even && d.anyDue(t) {
		want++
	}
	return min(want, FloatingBudget(t, zones))
}

// anyDue reports whether a wave over the pool, an operator's or the periodic one,
// has an instance left to drain.
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
