package evacuation

import (
	"cmp"
	"slices"

	"github.com/pointport/pointport"
)

// This file defines what a member knows about evacuated availability zones.

// A Request asks that nothing be started on the instances of an availability zone until
// the request is withdrawn.
type Request struct {
	Zone pointport.ZoneID
	// Revision is the store's revision at which the operators made the request.
	Revision pointport.Revision
}

// A ZoneState describes whether something may be started in an availability zone.
type ZoneState uint8

// The states of an availability zone.
const (
	Unknown   ZoneState = iota // nothing may be started until the requests are known
	Evacuated                  // nothing may be started
	Open
)

var zoneStateNames = [...]string{Unknown: "unknown", Evacuated: "evacuated", Open: "open"}

// String returns the lower-case name of the state.
func (s ZoneState) String() string { return zoneStateNames[s] }

// Zones is what a member knows of the evacuated availability zones. The zero Zones knows
// nothing. A Zones is immutable.
type Zones struct {
	known    bool
	requests []Request // sorted by zone
}

// None is the Zones in which no availability zone is evacuated.
var None = NewZones(nil)

// NewZones returns a Zones in which exactly these requests are in force, at most one for
// each availability zone.
func NewZones(requests []Request) Zones {
	sorted := slices.Clone(requests)
	slices.SortFunc(sorted, func(a, b Request) int { return cmp.Compare(a.Zone, b.Zone) })
	return Zones{known: true, requests: sorted}
}

// State describes whether something may be started in an availability zone.
func (z Zones) State(zone pointport.ZoneID) ZoneState {
	if !z.known {
		return Unknown
	}
	for _, r := range z.requests {
		if r.Zone == zone {
			return Evacuated
		}
	}
	return Open
}

// Requests returns the requests in force, sorted by availability zone. The caller must not
// change the slice, which is empty where nothing is known.
func (z Zones) Requests() []Request { return z.requests }

// IsKnown reports whether it is known which availability zones are evacuated.
func (z Zones) IsKnown() bool { return z.known }
