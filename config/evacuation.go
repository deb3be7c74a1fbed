package config

import (
	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
)

// This file defines the object by which operators evacuate an availability zone.

// An Evacuation asks that no more work be sent to the instances of an availability zone
// while the object exists.
type Evacuation struct {
	// Name is the name of the availability zone.
	Name string `json:"name"`
	// Reason is the operator's explanation.
	Reason string `json:"reason,omitempty"`
}

func (e *Evacuation) setDefaults() {}

func (e *Evacuation) check(c *checker) { c.name("name", e.Name) }

// Evacuations returns the availability zones that are evacuated.
func (s *State) Evacuations() evacuation.Zones {
	var requests []evacuation.Request
	for _, o := range s.List(KindEvacuation) {
		_, version, _ := s.Get(KindEvacuation, o.Name())
		requests = append(requests, evacuation.Request{Zone: pointport.ZoneID(o.Name()), Revision: pointport.Revision(version)})
	}
	return evacuation.NewZones(requests)
}
