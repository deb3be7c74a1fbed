package evacuation

import (
	"cmp"
	"slices"

	"github.com/pointport/pointport"
)

// This file defines what a member knows of evacuated availability zones.

// A Request asks that nothing be started on the instances of an availability zone until
// the request is taken back.
type Request struct {
	Zone pointport.ZoneID
	// Revision is the revision of the store at which the operators made it.
	Revision pointport.Revision
}

// A ZoneState says whether something may be started in an availability zone.
type ZoneState uint8

// The standings of an availability zone.
const (
	Unknown   ZoneState = iota // nothing may be started before more is known
	Evacuated                  // nothing may be started
	Open
)

var standings = [...]string{Unknown: "unknown", Evacuated: "evacuated", Open: "open"}

func (s ZoneState) String() string { return standings[s] }

// Zones is what a member knows of the availability zones that are to be left empty. The
// zero Zones knows nothing. It does not change.
type Zones struct {
	known    bool
	requests []Request // by zone
}

// None is the knowledge that no availability zone is to be left empty.
var None = NewZones(nil)

// NewZones returns the knowledge that these requests, one a zone, and no others are in force.
func NewZones(requests []Request) Zones {
	sorted := slices.Clone(requests)
	slices.SortFunc(sorted, func(a, b Request) int { return cmp.Compare(a.Zone, b.Zone) })
	return Zones{known: true, requests: sorted}
}

// State says whether something may be started in an availability zone.
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

// Requests returns the requests in force, by zone; they must not be changed. It is empty
// where nothing is known.
func (z Zones) Requests() []Request { return z.requests }

// IsKnown reports whether it is known which availability zones are to be left empty.
func (z Zones) IsKnown() bool { return z.known }
