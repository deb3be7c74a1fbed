package assign

import (
	"sort"
	"time"

	"github.com/pointport/pointport/config"
)

// This file defines maintenance waves: which instance is next, and when.

// standingPrefix starts the name of the wave that maintains every instance of a
// pool once in its period, without an operator's hand.
const standingPrefix = "standing."

// dueBefore is the part of the period that may be left when an instance is
// taken, so that all are done in time.
const dueBefore = 0.1

// maintain starts the next steps of the waves over a pool.
func (d *decision) maintain(t *config.Template) {
	for _, o := range d.in.Waves {
		if o.Wave.Template == t.Name {
			d.runWave(t, o)
		}
	}
	if t.Maintenance.Period.Value() > 0 {
		d.runStanding(t)
	}
}

// runWave moves one operator's wave on.
func (d *decision) runWave(t *config.Template, o WaveOrder) {
	w, ok := d.wave(o.Wave.Name)
	if !ok {
		w = Wave{Name: o.Wave.Name, Pool: t.Name, Started: d.in.Now}
		d.waves[w.Name] = w
	}
	if o.Wave.State != config.WaveRun || !w.Ended.IsZero() {
		return
	}
	if w.Stopped != "" {
		if o.Version <= w.StoppedAt {
			return
		}
		w.Stopped, w.StoppedAt, w.FailedCount = "", 0, 0
		d.waves[w.Name] = w
	}
	if d.stopWave(t, w, o) {
		return
	}
	due := dueInWave(w)
	d.start(t, w.Name, due, o.Wave.Racks)
	d.endWave(t, w.Name, due)
}

// dueInWave reports whether a wave has still to maintain a member.
func dueInWave(w Wave) func(Member) bool {
	return func(m Member) bool { return m.Maintained.Before(w.Started) && m.Passed != w.Name }
}

// dueByPeriod reports whether a member is due by its pool's period.
func (d *decision) dueByPeriod(t *config.Template) func(Member) bool {
	period := t.Maintenance.Period.Value()
	early := time.Duration(dueBefore * float64(period))
	return func(m Member) bool {
		return d.in.Now.Sub(m.Maintained) >= period-early && d.in.Now.Sub(m.Since) >= early
	}
}

// stopWave stops a wave whose instances fail to come back.
func (d *decision) stopWave(t *config.Template, w Wave, o WaveOrder) bool {
	if w.FailedCount < t.Maintenance.StopAfter {
		return false
	}
	w.Stopped = "too many of its instances did not come back"
	w.StoppedAt = o.Version
	d.waves[w.Name] = w
	return true
}

// endWave marks a wave as ended when nothing is left of it.
func (d *decision) endWave(t *config.Template, name string, due func(Member) bool) {
	for _, m := range d.inPool(t.Name) {
		if m.Wave == name || due(m) && m.Phase != Failed {
			return
		}
	}
	d.countWave(name, func(w *Wave) { w.Ended = d.in.Now })
}

// runStanding maintains what is due by the pool's period.
func (d *decision) runStanding(t *config.Template) {
	name := standingPrefix + t.Name
	w, ok := d.wave(name)
	if !ok {
		w = Wave{Name: name, Pool: t.Name, Started: d.in.Now}
		d.waves[name] = w
	}
	if w.FailedCount >= t.Maintenance.StopAfter {
		return
	}
	d.start(t, name, d.dueByPeriod(t), false)
}

// start takes instances out of service while speed and budget allow.
func (d *decision) start(t *config.Template, wave string, due func(Member) bool, racks bool) {
	room := min(d.speedRoom(t), d.budgetRoom(t))
	if room <= 0 {
		return
	}
	for _, m := range d.candidates(t, due, racks) {
		if room == 0 || d.full() {
			return
		}
		room--
		m.Phase, m.Wave = Draining, wave
		d.set(m, "wave %s: last maintained %s; %d more may go now", wave, m.Maintained.UTC().Format(time.RFC3339), room)
	}
}

// speedRoom returns how many more instances waves may take out of the pool.
func (d *decision) speedRoom(t *config.Template) int {
	out := 0
	for _, m := range d.inPool(t.Name) {
		if m.Wave != "" {
			out++
		}
	}
	size := ZoneSize(t, d.in.Zones, d.in.Zone)
	return max(1, t.Maintenance.Speed.RoundUp(size)) - out
}

// budgetRoom returns how many more instances may go out of service before the
// pool has less than its size less the zone's share of the budget.
func (d *decision) budgetRoom(t *config.Template) int {
	working := 0
	for _, m := range d.inPool(t.Name) {
		if d.works(m) {
			working++
		}
	}
	return working - (ZoneSize(t, d.in.Zones, d.in.Zone) - d.in.Share(t))
}

// candidates returns the instances that are due, the longest waiting first.
// With racks, those of racks that are under way come first.
func (d *decision) candidates(t *config.Template, due func(Member) bool, racks bool) []Member {
	busy := make(map[string]bool)
	var out []Member
	for _, m := range d.inPool(t.Name) {
		if m.Wave != "" {
			busy[m.Rack] = true
		}
		if d.works(m) && due(m) {
			out = append(out, m)
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if racks && busy[out[a].Rack] != busy[out[b].Rack] {
			return busy[out[a].Rack]
		}
		if racks && out[a].Rack != out[b].Rack {
			return out[a].Rack < out[b].Rack
		}
		return out[a].Maintained.Before(out[b].Maintained)
	})
	return out
}
