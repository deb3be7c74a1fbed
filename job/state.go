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

// A Phase says how far a job has come.
type Phase string

// The phases of a job.
const (
	Waiting   Phase = "waiting"
	Running   Phase = "running"
	Stopping  Phase = "stopping" // is told to stop
	Done      Phase = "done"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
	Lost      Phase = "lost" // it may have run; a billed job is not tried again
)

// Ended reports whether a job in this phase is over.
func (p Phase) Ended() bool {
	switch p {
	case Done, Failed, Cancelled, Lost:
		return true
	}
	return false
}

// A Job is one piece of work that a member submitted. Its fields are exported
// because a codec reads and writes them.
type Job struct {
	ID       string          `json:"id"`
	Customer string          `json:"customer"`
	Kind     string          `json:"kind"`
	Service  string          `json:"service"`
	Need     pointport.Shape `json:"need"`
	// Runtime is the declared run time, in nanoseconds.
	Runtime  time.Duration   `json:"runtime"`
	Priority config.Priority `json:"priority"`
	// Billed says that the job may not run twice.
	Billed    bool                   `json:"billed"`
	Phase     Phase                  `json:"phase"`
	Submitted time.Time              `json:"submitted"`
	Started   time.Time              `json:"started,omitzero"`
	Ended     time.Time              `json:"ended,omitzero"`
	Instance  pointport.InstanceID   `json:"instance,omitempty"`
	Task      pointport.TaskID       `json:"task,omitempty"`
	Tried     []pointport.InstanceID `json:"tried,omitempty"` // where it failed
	Result    string                 `json:"result,omitempty"`
	// Reason says what the job waits for, or why it ended as it did.
	Reason string `json:"reason,omitempty"`
	// Cancel says that its customer does not want it any more.
	Cancel bool `json:"cancel,omitempty"`
}

// ID returns the identity of what a customer submits under its own key. It is
// the same at every entry instance.
func ID(customer, key string) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(customer), customer, key))
	return hex.EncodeToString(h[:idBytes])
}

// idBytes is how many bytes of the digest name a job.
const idBytes = 16

// HomeZone returns the zone that keeps the job called id.
func HomeZone(id string, zones []pointport.ZoneID) pointport.ZoneID {
	n := 0
	for _, c := range []byte(id) {
		n = (n*31 + int(c)) % len(zones)
	}
	return zones[n]
}

// A Step replaces one job, or forgets it if After is nil. Its fields are
// exported for the codec.
type Step struct {
	Job   string `json:"job"`
	After *Job   `json:"after,omitempty"`
}

// A Change is a set of steps that are taken together. Its fields are exported
// for the codec.
type Change struct {
	ID      string            `json:"id"`
	Version pointport.Version `json:"version"`
	Author  string            `json:"author"`
	At      time.Time         `json:"at"`
	Steps   []Step            `json:"steps"`
}

// ChangeID returns the change's own name.
func (c Change) ChangeID() string { return c.ID }

// ChangeVersion returns the version that the change makes.
func (c Change) ChangeVersion() pointport.Version { return c.Version }

// A State is the jobs of a zone at one version. It is never changed.
type State struct {
	version pointport.Version
	jobs    map[string]Job
}

// NewState returns the empty state.
func NewState() *State { return &State{jobs: map[string]Job{}} }

// Version returns the version of the state.
func (s *State) Version() pointport.Version { return s.version }

// Job returns a job.
func (s *State) Job(id string) (Job, bool) {
	j, ok := s.jobs[id]
	return j, ok
}

// Jobs returns every job, the oldest first.
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

// Apply returns the state after c. It fails if c is not the next version.
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

// MarshalJSON writes the whole state.
func (s *State) MarshalJSON() ([]byte, error) { return json.Marshal(stateDocument{s.version, s.jobs}) }

// UnmarshalJSON reads a whole state.
func (s *State) UnmarshalJSON(data []byte) error {
	d := stateDocument{Jobs: map[string]Job{}}
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*s = State{d.Version, d.Jobs}
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
