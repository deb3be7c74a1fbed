package assign

import (
	"fmt"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/evacuation"
)

// This file defines explanations of decisions for operators.

// An Explanation describes the state of an instance, a pool or a wave (Stands),
// the facts behind it, and what would change it (Next).
type Explanation struct {
	Subject string   `json:"subject"`
	Stands  string   `json:"stands"`
	Facts   []string `json:"facts,omitempty"`
	Next    []string `json:"next,omitempty"`
}

func (e *Explanation) fact(format string, args ...any) {
	e.Facts = append(e.Facts, fmt.Sprintf(format, args...))
}

func (e *Explanation) next(format string, args ...any) {
	e.Next = append(e.Next, fmt.Sprintf(format, args...))
}

// ExplainInstance explains the state of a member; t is its pool's template, nil if
// it has none.
func ExplainInstance(m Member, t *config.Template) Explanation {
	e := Explanation{Subject: "instance " + string(m.ID), Stands: phaseAndPool(m)}
	e.fact("in this phase since %s", m.Since.UTC().Format("2006-01-02T15:04:05Z"))
	e.fact("last maintained, or first seen, at %s", m.Maintained.UTC().Format("2006-01-02T15:04:05Z"))
	e.fact("boots seen: %d; rack %s; address %s", m.Boots, m.Rack, m.Address)
	bounds := defaultMaintenance
	if t != nil {
		bounds = t.Maintenance
	}
	switch m.Phase {
	case Spare:
		e.next("a pool in zone %s that has fewer instances than it needs takes it", m.Zone)
	case Serving:
		e.next("a wave takes it when its turn comes and the budget allows")
		e.next("its pool gives it up when it has more than it needs, and another needs it or keeping it costs more than a move")
	case Draining:
		e.next("it goes on once it has been seen to run nothing for %v", bounds.DrainQuiet)
		e.next("it is put back to work if that does not happen within %v", bounds.DrainBound)
	case Rebooting:
		e.next("it serves again once the platform lists it as live with more than %d boots", m.Boots)
		e.next("it counts as failed after %v", bounds.ReturnBound)
	case Failed:
		e.next("it is used again once the platform lists it as live")
		e.next("it is forgotten once it has been missing from the list for %v", removalTimeout)
	}
	return e
}

// ExplainPool explains the state of a pool in a zone; share is the zone's share of
// the pool's budget.
func ExplainPool(s *State, t *config.Template, zones []pointport.ZoneID, zone pointport.ZoneID, evacuated evacuation.Zones, share int) Explanation {
	phases := make(map[Phase]int)
	for _, m := range s.Members() {
		if m.Pool == t.Name {
			phases[m.Phase]++
		}
	}
	open := sharingZones(zones, zone, evacuated)
	size, spare := ZoneSize(t, open, zone), ZoneSpare(t, open, zone)
	e := Explanation{Subject: fmt.Sprintf("pool %s in zone %s", t.Name, zone)}
	e.Stands = fmt.Sprintf("%d serving of %d needed and %d spare", phases[Serving], size, spare)
	e.fact("template: size %d over %d zones, spare %s, budget %s, wave speed %s", t.Pool.Size, len(zones), t.Pool.Spare, t.Maintenance.Budget, t.Maintenance.Speed)
	switch {
	case evacuated.State(zone) == evacuation.Evacuated:
		e.fact("the zone is evacuated: nothing more is sent to its instances")
		e.next("they are used again once an operator takes that back")
	case len(open) < len(zones):
		e.fact("%d of the zones are evacuated, and their parts fall to the others", len(zones)-len(open))
	}
	e.fact("this zone's share of the budget is %d", share)
	e.fact("draining %d, rebooting %d, failed %d", phases[Draining], phases[Rebooting], phases[Failed])
	budgetLeft := phases[Serving] - (ZoneSize(t, zones, zone) - share)
	e.fact("%d more may go out of service now, if all that serve are seen to work", max(0, budgetLeft))
	if missing := size + spare - phases[Serving] - phases[Draining] - phases[Rebooting]; missing > 0 {
		e.next("%d more are taken as spare instances of a fitting shape appear in the zone", missing)
	}
	if surplus := phases[Serving] - size - spare; surplus > 0 {
		e.next("%d may go to pools that need them, or after %v of surplus", surplus, surplusRetention(t))
	}
	if budgetLeft <= 0 {
		e.next("no wave or move takes an instance until one comes back, the spare grows or the budget does")
	}
	return e
}

// ExplainWave explains the progress of a wave in a zone.
func ExplainWave(s *State, w Wave) Explanation {
	remaining, inProgress := 0, 0
	for _, m := range s.Members() {
		switch {
		case m.Pool != w.Pool:
		case m.Wave == w.Name:
			inProgress++
		case m.Maintained.Before(w.Started) && m.Passed != w.Name && m.Phase != Failed:
			remaining++
		}
	}
	e := Explanation{Subject: "wave " + w.Name}
	e.fact("started %s over pool %s", w.Started.UTC().Format("2006-01-02T15:04:05Z"), w.Pool)
	e.fact("done %d, under way %d, left %d, failed %d, passed by %d", w.Done, inProgress, remaining, w.FailedCount, w.PassedCount)
	switch {
	case w.Stopped != "":
		e.Stands = "stopped itself: " + w.Stopped
		e.next("it goes on when an operator applies it again")
	case !w.Ended.IsZero():
		e.Stands = "ended " + w.Ended.UTC().Format("2006-01-02T15:04:05Z")
	case inProgress > 0:
		e.Stands = fmt.Sprintf("waits for %d instances to drain or come back", inProgress)
	case remaining > 0:
		e.Stands = "waits for budget: too few instances of the pool work"
		e.next("it takes the next instance when one comes back, the spare grows or the budget does")
	default:
		e.Stands = "has nothing left to do"
	}
	return e
}
