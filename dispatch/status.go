package dispatch

import (
	"slices"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the status of a service for queries.

// An UpstreamStatus is the status of one upstream.
type UpstreamStatus struct {
	Instance pointport.InstanceID `json:"instance"`
	Zone     pointport.ZoneID     `json:"zone"`
	InFlight int                  `json:"inFlight"`
	Limit    float64              `json:"limit"`
	Latency  time.Duration        `json:"latency"` // in nanoseconds
	Leaving  bool                 `json:"leaving"`
	// Evacuated reports whether its availability zone is evacuated.
	Evacuated bool  `json:"evacuated,omitempty"`
	Ejected   bool  `json:"ejected"`
	Served    int64 `json:"served"`
	Failed    int64 `json:"failed"`
	Refused   int64 `json:"refused"`
}

// A Status is the status of a service on this entry instance.
type Status struct {
	Service   string           `json:"service"`
	Waiting   int              `json:"waiting"`
	Latency   time.Duration    `json:"latency"` // in nanoseconds
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// Status returns the status of the service and of each of its upstreams.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	st := Status{Service: s.name, Waiting: s.waiting.Len(), Latency: s.latency}
	for _, u := range slices.Concat(s.sameZone, s.otherZones) {
		st.Upstreams = append(st.Upstreams, UpstreamStatus{
			Instance: u.instance.ID, Zone: u.instance.Zone, InFlight: u.inFlight, Limit: u.limit,
			Latency: u.recentLatency, Leaving: u.leaving, Evacuated: u.evacuated, Ejected: now.Before(u.ejectedUntil),
			Served: u.served, Failed: u.failed, Refused: u.refused,
		})
	}
	return st
}
