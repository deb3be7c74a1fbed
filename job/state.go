package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// This file defines jobs, steps and the state of a zone's jobs.

// A Phase is a stage in the life cycle of a job.
type Phase string

// The phases of a job.
const (
	Waiting   Phase = "waiting"
	Running   Phase = "running"
	Stopping  Phase = "stopping" // its task is being stopped
	Done      Phase = "done"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
	Lost      Phase = "lost" // its task vanished and may have run; only for billed jobs, which are not retried
)

// Ended reports whether p is a final phase.
func (p Phase) Ended() bool {
	switch p {
	case Done, Failed, Cancelled, Lost:
		return true
	}
	return false
}

// A Job is a unit of work that a customer submitted. Its fields are exported for
// encoding.
type Job struct {
	ID       string          `json:"id"`
	Customer string          `json:"customer"`
	Kind     string          `json:"kind"`
	Service  string          `json:"service"`
	Need     pointport.Shape `json:"need"`
	// Runtime is the declared run time, in nanoseconds.
	Runtime  time.Duration   `json:"runtime"`
	Priority config.Priority `json:"priority"`
	// Billed means that the job must not run twice.
	Billed    bool                   `json:"billed"`
	Phase     Phase                  `json:"phase"`
	Submitted time.Time              `json:"submitted"`
	Started   time.Time              `json:"started,omitzero"`
	Ended     time.Time              `json:"ended,omitzero"`
	Instance  pointport.InstanceID   `json:"instance,omitempty"`
	Task      pointport.TaskID       `json:"task,omitempty"`
	Tried     []pointport.InstanceID `json:"tried,omitempty"` // where it failed
	Result    string                 `json:"result,omitempty"`
	// Reason explains what the job waits for, or why it is in its phase.
	Reason string `json:"reason,omitempty"`
	// Cancel means that its cancellation was requested.
	Cancel bool `json:"cancel,omitempty"`
}

// ID returns the ID of the job that a customer submits under its own key. Every
// entry instance computes the same ID.
func ID(customer, key string) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(customer), customer, key))
	return hex.EncodeToString(h[:idBytes])
}

// idBytes is the number of bytes of the digest in a job's ID.
const idBytes = 16

// HomeZone returns the zone whose log stores the job with the given ID. The result
// depends on the order of zones, so every entry instance must use the same list.
func HomeZone(id string, zones []pointport.ZoneID) pointport.ZoneID {
	n := 0
	for _, c := range []byte(id) {
		n = (n*31 + int(c)) % len(zones)
	}
	return zones[n]
}

// A Step replaces one job, or removes it if After is nil. Its fields are
// exported for encoding.
type Step struct {
	Job   string `json:"job"`
	After *Job   `json:"after,omitempty"`
}

// A Change is a set of steps that are applied together. Its fields are exported
// for encoding.
type Change struct {
	ID      string            `json:"id"`
	Version pointport.Version `json:"version"`
	Author  string            `json:"author"`
	At      time.Time         `json:"at"`
	Steps   []Step            `json:"steps"`
}

// ChangeID returns the change's unique ID.
func (c Change) ChangeID() string { return c.ID }

// ChangeVersion returns the version of the state that the change produces.
func (c Change) ChangeVersion() pointport.Version { return c.Version }

// A State holds the jobs of a zone at one version. It is immutable.
type State struct {
	version pointport.Version
	jobs    map[string]Job
}

// NewState returns the empty state.
func NewState() *State { return &State{jobs: map[string]Job{}} }

// Version returns the version of the state.
func (s *State) Version() pointport.Version { return s.version }

// Job returns the job with the given ID, and whether it exists.
func (s *State) Job(id string) (Job, bool) {
	j, ok := s.jobs[id]
	return j, ok
}

// Jobs returns all jobs, the oldest submission first.
func (s *State) Jobs() []Job {
	out := slices.Collect(maps.Values(s.jobs))
	sort.Slice(out, func(a, b int) bool {
		if !out[a].Submitted.Equal(out[b].Submitted) {
			return out[a].Submitted.Before(out[b].Submitted)
		}
		return out[a].ID < out[b].ID
	})
	return out
}

// Apply returns the state after c. It fails if the version of c does not directly
// follow that of s.
func (s *State) Apply(c Change) (*State, error) {
	if c.Version != s.version+1 {
		return nil, fmt.Errorf("change %s has version %d, which does not follow %d", c.ID, c.Version, s.version)
	}
	next := &State{version: c.Version, jobs: maps.Clone(s.jobs)}
	for _, step := range c.Steps {
		if step.After == nil {
			delete(next.jobs, step.Job)
			continue
		}
		next.jobs[step.Job] = *step.After
	}
	return next, nil
}

type stateDocument struct {
	Version pointport.Version `json:"version"`
	Jobs    map[string]Job    `json:"jobs"`
}

// MarshalJSON encodes the whole state.
func (s *State) MarshalJSON() ([]byte, error) { return json.Marshal(stateDocument{s.version, s.jobs}) }

// UnmarshalJSON decodes a whole state.
func (s *State) UnmarshalJSON(data []byte) error {
	var d stateDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*s = *NewState()
	s.version = d.Version
	maps.Copy(s.jobs, d.Jobs)
	return nil
}

// HasUnfinished reports whether any job has not ended.
func (s *State) HasUnfinished() bool {
	for _, j := range s.jobs {
		if !j.Phase.Ended() {
			return true
		}
	}
	return false
}
