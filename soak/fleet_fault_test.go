package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/platform"
)

// This file defines the faults of the fleet that end no incarnation: instances whose capacity
// shrinks for a while, and registrations that other writers have overwritten or added.

var fleetFaults = []fault{
	{"instance shrinks", func(s *soak, _ *testing.T, r *rand.Rand, d time.Duration) {
		f := s.grid.Fleet()
		id := f.IDs()[r.IntN(len(f.IDs()))]
		f.SetCapacity(id, pointport.Shape{CPUMilli: r.Int64N(2000), MemoryMiB: r.Int64N(2048)})
		time.Sleep(d)
		f.SetCapacity(id, soakCapacity)
	}},
	{"registration overwritten", func(s *soak, t *testing.T, r *rand.Rand, d time.Duration) {
		f := s.grid.Fleet()
		id := f.IDs()[r.IntN(len(f.IDs()))]
		inc := f.Incarnation(id)
		if inc == "" {
			return
		}
		s.overwriteRegistration(t, platform.RegistrationPrefix+string(inc.Addressee()), r)
		time.Sleep(d)
		f.SetCapacity(id, soakCapacity) // which writes the registration again
	}},
	{"registration without an instance", func(s *soak, t *testing.T, r *rand.Rand, _ time.Duration) {
		s.overwriteRegistration(t, platform.RegistrationPrefix+"i-nobody", r)
	}},
}

// soakCapacity is the capacity of each instance.
var soakCapacity = pointport.Shape{CPUMilli: 4000, MemoryMiB: 8192}

// malformedRegistrations are the values that overwriteRegistration writes to registration keys:
// malformed ones, and ones that describe no real instance.
var malformedRegistrations = []string{
	"", "null", "[]", "\xff\x00", `{"service":7}`, `{"service":"shift"}`,
	`{"service":"shift","address":"127.0.0.1:1","zone":"north","version":"v","slots":1,"state":"asleep","cold_remaining_ms":0,"call_sequence":1,"capacity":{"cpu":1,"memory_request_mb":1}}`,
	`{"service":"shift","address":"nowhere","zone":"north","version":"v","slots":1,"state":"ready","cold_remaining_ms":0,"call_sequence":1,"capacity":{"cpu":9000,"memory_request_mb":9000}}`,
	`{"service":"shift","address":"127.0.0.1:1","zone":"north","version":"v","slots":1,"state":"ready","cold_remaining_ms":0,"call_sequence":1,"capacity":{"cpu":-1,"memory_request_mb":1}}`,
}

// overwriteRegistration writes one of malformedRegistrations to a key.
func (s *soak) overwriteRegistration(t *testing.T, key string, r *rand.Rand) {
	put := pointport.Put{Key: key, Value: []byte(malformedRegistrations[r.IntN(len(malformedRegistrations))])}
	if _, err := s.grid.Store().KV().Commit(context.Background(), pointport.Txn{Put: []pointport.Put{put}}); err != nil {
		t.Error(err)
	}
}
