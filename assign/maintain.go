package assign

import (
	"sort"
	"time"

	"github.com/pointport/pointport/config"
)

// This file defines maintenance waves: which instance is drained next, and when.

// periodicWavePrefix starts the name of a pool's periodic wave, which maintains
// every instance once in the pool's maintenance period without an operator's wave.
const periodicWavePrefix = "standing."

// earlyFraction is the fraction of the period by which an instance may be
// maintained early, so that all are maintained in time.
const earlyFraction = 0.1

// maintain starts the next drains of all waves over a pool.
func (d *decision) maintain(t *config.Template) {
	for _, o := range d.in.Waves {
		if o.Wave.Template == t.Name {
			d.runWave(t, o)
		}
	}
	if t.Maintenance.Period.Value() > 0 {
		d.runPeriodicWave(t)
	}
}

// runWave starts, resumes, stops or ends an operator's wave and starts its next
// drains.
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
	if d.stopWaveIfFailing(t, w, o) {
		return
	}
	due := dueInWave(w)
	d.startDrains(t, w.Name, due, o.Wave.Racks)
	d.endWaveIfDone(t, w.Name, due)
}

// dueInWave returns a function that reports whether a wave still has to maintain a
// member.
func dueInWave(w Wave) func(Member) bool {
	return func(m Member) bool { return m.Maintained.Before(w.Started) && m.Passed != w.Name }
}

// dueByPeriod returns a function that reports whether a member is due for
// maintenance by its pool's period.
func (d *decision) dueByPeriod(t *config.Template) func(Member) bool {
	period := t.Maintenance.Period.Value()
	early := time.Duration(earlyFraction * float64(period))
	return func(m Member) bool {
		return d.in.Now.Sub(m.Maintained) >= period-early && d.in.Now.Sub(m.Since) >= early
	}
}

// stopWaveIfFailing stops a wave after too many of its instances have failed to
// come back. It reports whether the wave is stopped.
func (d *decision) stopWaveIfFailing(t *config.Template, w Wave, o WaveOrder) bool {
	if w.FailedCount < t.Maintenance.StopAfter {
		return false
	}
	w.Stopped = "too many of its instances did not come back"
	w.StoppedAt = o.Version
	d.waves[w.Name] = w
	return true
}

// endWaveIfDone marks a wave as ended once it has no instance in progress and none
// left to drain. Failed instances don't count.
func (d *decision) endWaveIfDone(t *config.Template, name string, due func(Member) bool) {
	for _, m := range d.inPool(t.Name) {
		if m.Wave == name || due(m) && m.Phase != Failed {
			return
		}
	}
	d.countWave(name, func(w *Wave) { w.Ended = d.in.Now })
}

// runPeriodicWave starts the drains of instances that are due by the pool's period.
func (d *decision) runPeriodicWave(t *config.Template) {
	name := periodicWavePrefix + t.Name
	w, ok := d.wave(name)
	if !ok {
		w = Wave{Name: name, Pool: t.Name, Started: d.in.Now}
		d.waves[name] = w
	}
	if w.FailedCount >= t.Maintenance.StopAfter {
		return
	}
	d.startDrains(t, name, d.dueByPeriod(t), false)
}

// startDrains drains due instances as far as the wave speed and the budget allow.
func (d *decision) startDrains(t *config.Template, wave string, due func(Member) bool, racks bool) {
	left := min(d.remainingSpeed(t), d.remainingBudget(t))
	if left <= 0 {
		return
	}
	for _, m := range d.candidates(t, due, racks) {
		if left == 0 || d.full() {
			return
		}
		left--
		m.Phase, m.Wave = Draining, wave
		d.update(m, "wave %s: last maintained %s; %d more may go now", wave, m.Maintained.UTC().Format(time.RFC3339), left)
	}
}

// remainingSpeed returns how many more of the pool's instances may be in
// maintenance under the template's wave speed.
func (d *decision) remainingSpeed(t *config.Template) int {
	inMaintenance := 0
	for _, m := range d.inPool(t.Name) {
		if m.Wave != "" {
			inMaintenance++
		}
	}
	size := ZoneSize(t, d.in.Zones, d.in.Zone)
	return max(1, t.Maintenance.Speed.RoundUp(size)) - inMaintenance
}

// remainingBudget returns how many more instances may go out of service before
// fewer work than the pool's size minus the zone's share of the budget.
func (d *decision) remainingBudget(t *config.Template) int {
	working := 0
	for _, m := range d.inPool(t.Name) {
		if d.isWorking(m) {
			working++
		}
	}
	return working - (ZoneSize(t, d.in.Zones, d.in.Zone) - d.in.Share(t))
}

// candidates returns the working instances that are due, the least recently
// maintained first. With racks set, it orders them rack by rack, beginning with
// racks that already have an instance in maintenance.
func (d *decision) candidates(t *config.Template, due func(Member) bool, racks bool) []Member {
	busy := make(map[string]bool)
	var out []Member
	for _, m := range d.inPool(t.Name) {
		if m.Wave != "" {
			busy[m.Rack] = true
		}
		if d.isWorking(m) && due(m) {
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
