package config

import (
	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
)

// This file defines the object by which operators have an availability zone left empty.

// An Evacuation asks that nothing more be sent to the instances of an availability zone for
// as long as the object is there.
type Evacuation struct {
	// Name is that of the availability zone.
	Name string `json:"name"`
	// Reason is kept for whoever asks why.
	Reason string `json:"reason,omitempty"`
}

func (e *Evacuation) setDefaults() {}

func (e *Evacuation) check(c *checker) { c.name("name", e.Name) }

// Evacuations returns which availability zones are to be left empty.
func (s *State) Evacuations() evacuation.Zones {
	var requests []evacuation.Request
	for _, o := range s.List(KindEvacuation) {
		_, version, _ := s.Get(KindEvacuation, o.Name())
		requests = append(requests, evacuation.Request{Zone: pointport.ZoneID(o.Name()), Revision: pointport.Revision(version)})
	}
	return evacuation.NewZones(requests)
}
