package dispatch

import (
	"slices"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what a query shows of a service.

// An UpstreamStatus is what a query shows of one upstream.
type UpstreamStatus struct {
	Instance pointport.InstanceID `json:"instance"`
	Zone     pointport.ZoneID     `json:"zone"`
	InFlight int                  `json:"inFlight"`
	Limit    float64              `json:"limit"`
	Latency  time.Duration        `json:"latency"` // in nanoseconds
	Leaving  bool                 `json:"leaving"`
	// Evacuated says that its availability zone is to be left empty.
	Evacuated bool  `json:"evacuated,omitempty"`
	Ejected   bool  `json:"ejected"`
	Served    int64 `json:"served"`
	Failed    int64 `json:"failed"`
	Refused   int64 `json:"refused"`
}

// A Status is what a query shows of a service on this entry instance.
type Status struct {
	Service   string           `json:"service"`
	Waiting   int              `json:"waiting"`
	Latency   time.Duration    `json:"latency"` // in nanoseconds
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// Status returns the state of the service.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	st := Status{Service: s.name, Waiting: s.waiting.Len(), Latency: s.latency}
	for _, u := range slices.Concat(s.ownZone, s.otherZones) {
		st.Upstreams = append(st.Upstreams, UpstreamStatus{
			Instance: u.instance.ID, Zone: u.instance.Zone, InFlight: u.inFlight, Limit: u.limit,
			Latency: u.recentLatency, Leaving: u.leaving, Evacuated: u.evacuated, Ejected: now.Before(u.ejectedUntil),
			Served: u.served, Failed: u.failed, Refused: u.refused,
		})
	}
	return st
}
