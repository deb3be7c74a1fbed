package assign

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// This file defines how a decision applies the platform's list: it adds new
// instances, marks failed ones, and advances drains and reboots.

// defaultMaintenance holds the bounds for instances whose pool no longer exists.
var defaultMaintenance = config.Maintenance{
	DrainQuiet: config.NewDuration(3 * time.Second), DrainBound: config.NewDuration(10 * time.Minute), ReturnBound: config.NewDuration(15 * time.Minute),
}

// bounds returns the maintenance settings of a member's pool.
func (d *decision) bounds(m Member) config.Maintenance {
	if t := d.templates[m.Pool]; t != nil {
		return t.Maintenance
	}
	return defaultMaintenance
}

// addNewInstances adds listed live instances that the state lacks, as spare
// members.
func (d *decision) addNewInstances() {
	for _, i := range d.in.Listed {
		if _, known := d.byID[i.ID]; known || i.State != pointport.InstanceLive || d.full() {
			continue
		}
		d.update(Member{
			ID: i.ID, Address: i.Address, Zone: i.Zone, Rack: i.Rack, Shape: i.Shape, Boots: i.Boots,
			Phase: Spare, Maintained: d.in.Now,
		}, "first seen in the platform's list")
	}
}

// observe updates each member by its entry in the list, or by its absence.
func (d *decision) observe() {
	d.forEach(func(m Member) {
		i, listed := d.listed[m.ID]
		if !listed {
			d.observeAbsent(m)
			return
		}
		switch m.Phase {
		case Spare, Serving:
			d.observeUp(m, i)
		case Draining:
			d.observeDraining(m, i)
		case Rebooting:
			d.observeRebooting(m, i)
		case Failed:
			d.observeFailed(m, i)
		}
	})
}

// observeAbsent fails a member that is missing from the list for too long, and
// removes it later.
func (d *decision) observeAbsent(m Member) {
	since, absent := d.in.AbsentSince[m.ID]
	if !absent {
		return
	}
	missing := d.in.Now.Sub(since)
	switch {
	case m.Phase == Failed && missing >= removalTimeout:
		d.remove(m.ID, "missing from the platform's list for too long; it was replaced or removed")
	case m.Phase == Rebooting:
		d.checkRebootTimeout(m)
	case m.Phase != Failed && missing >= absenceTimeout:
		d.fail(m, "missing from the platform's list for %v", missing.Round(time.Second))
	}
}

// fail marks a member as failed and counts it in the wave that was maintaining it,
// if any.
func (d *decision) fail(m Member, format string, args ...any) {
	if m.Wave != "" {
		d.countWave(m.Wave, func(w *Wave) { w.FailedCount++ })
	}
	m.Phase, m.Wave, m.Moving = Failed, "", false
	d.update(m, format, args...)
}

// observeUp updates a spare or serving member.
func (d *decision) observeUp(m Member, i pointport.Instance) {
	switch {
	case i.State == pointport.InstanceDown:
		d.fail(m, "the platform lists it as down")
	case i.Address != m.Address || i.Boots != m.Boots:
		m.Address, m.Boots = i.Address, i.Boots
		d.update(m, "restarted by itself or by the platform")
	}
}

// observeDraining moves a draining member on once it is idle: out of its pool, or to
// its reboot. If it restarts by itself meanwhile, that counts as maintenance.
func (d *decision) observeDraining(m Member, i pointport.Instance) {
	b := d.bounds(m)
	idle := d.in.IdleFor[m.ID] >= b.DrainQuiet.Value()
	switch {
	case i.State == pointport.InstanceDown:
		d.fail(m, "went down while it drained")
	case i.Boots != m.Boots:
		m.Address, m.Boots, m.Phase, m.Wave, m.Moving, m.Maintained = i.Address, i.Boots, defaultPhase(m), "", false, d.in.Now
		d.update(m, "restarted while it drained, which is as good as maintenance")
	case idle && m.Moving:
		m.Pool, m.Phase, m.Moving = "", Spare, false
		d.update(m, "ran nothing for %v and leaves its pool", b.DrainQuiet)
	case idle:
		m.Phase = Rebooting
		d.update(m, "ran nothing for %v", b.DrainQuiet)
	case d.in.Now.Sub(m.Since) >= b.DrainBound.Value():
		d.abandonDrain(m, b)
	}
}

// abandonDrain ends the drain of an instance that doesn't become idle: it returns to
// service, and its wave skips it.
func (d *decision) abandonDrain(m Member, b config.Maintenance) {
	if m.Wave != "" {
		d.countWave(m.Wave, func(w *Wave) { w.PassedCount++ })
	}
	m.Phase, m.Passed, m.Wave, m.Moving = defaultPhase(m), m.Wave, "", false
	d.update(m, "still ran something after %v; it is passed by", b.DrainBound)
}

// defaultPhase returns the phase of a working member outside maintenance.
func defaultPhase(m Member) Phase {
	if m.Pool == "" {
		return Spare
	}
	return Serving
}

// observeRebooting returns a member to service once it is live with a higher boot
// count.
func (d *decision) observeRebooting(m Member, i pointport.Instance) {
	if i.Boots <= m.Boots || i.State != pointport.InstanceLive {
		d.checkRebootTimeout(m)
		return
	}
	if m.Wave != "" {
		d.countWave(m.Wave, func(w *Wave) { w.Done++ })
	}
	m.Address, m.Boots, m.Phase, m.Wave, m.Maintained = i.Address, i.Boots, defaultPhase(m), "", d.in.Now
	d.update(m, "came back after its reboot")
}

// checkRebootTimeout fails a member whose reboot takes too long.
func (d *decision) checkRebootTimeout(m Member) {
	b := d.bounds(m).ReturnBound
	if d.in.Now.Sub(m.Since) >= b.Value() {
		d.fail(m, "did not come back within %v of its reboot", b)
	}
}

// observeFailed returns a failed member to service once a recent report shows it
// live.
func (d *decision) observeFailed(m Member, i pointport.Instance) {
	if i.State != pointport.InstanceLive || d.in.Now.Sub(i.Reported) >= maxReportAge {
		return
	}
	m.Address, m.Boots, m.Phase = i.Address, i.Boots, defaultPhase(m)
	d.update(m, "is listed as live again")
}

// releaseRemovedPools drains the serving members of pools that no longer exist, and
// takes failed ones out of them.
func (d *decision) releaseRemovedPools() {
	d.forEach(func(m Member) {
		if m.Pool == "" || d.templates[m.Pool] != nil {
			return
		}
		switch m.Phase {
		case Serving:
			m.Phase, m.Moving = Draining, true
			d.update(m, "its pool no longer exists")
		case Failed:
			m.Pool = ""
			d.update(m, "its pool no longer exists")
		}
	})
}
