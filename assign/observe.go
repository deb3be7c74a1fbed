package assign

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// This file defines what a decision makes of the platform's list: new
// instances, those that failed, and those whose step has come to its end.

// Bounds for instances whose pool no longer exists.
var noTemplate = config.Maintenance{
	DrainQuiet: config.NewDuration(3 * time.Second), DrainBound: config.NewDuration(10 * time.Minute), ReturnBound: config.NewDuration(15 * time.Minute),
}

// bounds returns the maintenance bounds of a member's pool.
func (d *decision) bounds(m Member) config.Maintenance {
	if t := d.tpl[m.Pool]; t != nil {
		return t.Maintenance
	}
	return noTemplate
}

// welcome takes in instances that were not known.
func (d *decision) welcome() {
	for _, i := range d.in.Listed {
		if _, known := d.member[i.ID]; known || i.State != pointport.InstanceLive || d.full() {
			continue
		}
		d.set(Member{
			ID: i.ID, Address: i.Address, Zone: i.Zone, Rack: i.Rack, Shape: i.Shape, Boots: i.Boots,
			Phase: Spare, Maintained: d.in.Now,
		}, "first seen in the platform's list")
	}
}

// observe moves each member on by what the list says of it.
func (d *decision) observe() {
	d.each(func(m Member) {
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

func (d *decision) observeAbsent(m Member) {
	since, absent := d.in.AbsentSince[m.ID]
	if !absent {
		return
	}
	gone := d.in.Now.Sub(since)
	switch {
	case m.Phase == Failed && gone >= forgetBound:
		d.forget(m.ID, "missing from the platform's list for too long; it was replaced or removed")
	case m.Phase == Rebooting:
		d.returnBound(m)
	case m.Phase != Failed && gone >= absentBound:
		d.fail(m, "missing from the platform's list for %v", gone.Round(time.Second))
	}
}

// fail marks a member as failed. A wave that was maintaining it counts it.
func (d *decision) fail(m Member, format string, args ...any) {
	if m.Wave != "" {
		d.countWave(m.Wave, func(w *Wave) { w.FailedCount++ })
	}
	m.Phase, m.Wave, m.Moving = Failed, "", false
	d.set(m, format, args...)
}

func (d *decision) observeUp(m Member, i pointport.Instance) {
	switch {
	case i.State == pointport.InstanceDown:
		d.fail(m, "the platform lists it as down")
	case i.Address != m.Address || i.Boots != m.Boots:
		m.Address, m.Boots = i.Address, i.Boots
		d.set(m, "restarted by itself or by the platform")
	}
}

func (d *decision) observeDraining(m Member, i pointport.Instance) {
	b := d.bounds(m)
	quiet := d.in.IdleFor[m.ID] >= b.DrainQuiet.Value()
	switch {
	case i.State == pointport.InstanceDown:
		d.fail(m, "went down while it drained")
	case i.Boots != m.Boots:
		m.Address, m.Boots, m.Phase, m.Wave, m.Moving, m.Maintained = i.Address, i.Boots, home(m), "", false, d.in.Now
		d.set(m, "restarted while it drained, which is as good as maintenance")
	case quiet && m.Moving:
		m.Pool, m.Phase, m.Moving = "", Spare, false
		d.set(m, "ran nothing for %v and leaves its pool", b.DrainQuiet)
	case quiet:
		m.Phase = Rebooting
		d.set(m, "ran nothing for %v", b.DrainQuiet)
	case d.in.Now.Sub(m.Since) >= b.DrainBound.Value():
		d.passBy(m, b)
	}
}

// passBy puts an instance that does not fall idle back to work.
func (d *decision) passBy(m Member, b config.Maintenance) {
	if m.Wave != "" {
		d.countWave(m.Wave, func(w *Wave) { w.PassedCount++ })
	}
	m.Phase, m.Passed, m.Wave, m.Moving = home(m), m.Wave, "", false
	d.set(m, "still ran something after %v; it is passed by", b.DrainBound)
}

// home is the phase of a member that takes work, or could.
func home(m Member) Phase {
	if m.Pool == "" {
		return Spare
	}
	return Serving
}

func (d *decision) observeRebooting(m Member, i pointport.Instance) {
	if i.Boots <= m.Boots || i.State != pointport.InstanceLive {
		d.returnBound(m)
		return
	}
	if m.Wave != "" {
		d.countWave(m.Wave, func(w *Wave) { w.Done++ })
	}
	m.Address, m.Boots, m.Phase, m.Wave, m.Maintained = i.Address, i.Boots, home(m), "", d.in.Now
	d.set(m, "came back after its reboot")
}

// returnBound fails a member whose reboot has taken too long.
func (d *decision) returnBound(m Member) {
	b := d.bounds(m).ReturnBound
	if d.in.Now.Sub(m.Since) >= b.Value() {
		d.fail(m, "did not come back within %v of its reboot", b)
	}
}

func (d *decision) observeFailed(m Member, i pointport.Instance) {
	if i.State != pointport.InstanceLive || d.in.Now.Sub(i.Reported) >= reportBound {
		return
	}
	m.Address, m.Boots, m.Phase = i.Address, i.Boots, home(m)
	d.set(m, "is listed as live again")
}

// releaseUnknown drains the members of pools that no longer exist.
func (d *decision) releaseUnknown() {
	d.each(func(m Member) {
		if m.Pool == "" || d.tpl[m.Pool] != nil {
			return
		}
		switch m.Phase {
		case Serving:
			m.Phase, m.Moving = Draining, true
			d.set(m, "its pool no longer exists")
		case Failed:
			m.Pool = ""
			d.set(m, "its pool no longer exists")
		}
	})
}
