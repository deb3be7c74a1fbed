package assign

import (
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file defines members, steps and the state of an availability zone.

// A Phase is the stage of an instance in its pool and its maintenance.
type Phase string

// The phases of an instance.
const (
	Spare     Phase = "spare"     // in no pool, available
	Serving   Phase = "serving"   // takes work
	Draining  Phase = "draining"  // takes no new work
	Rebooting Phase = "rebooting" // is being restarted
	Failed    Phase = "failed"    // down, missing, or not back from a reboot
)

// A Member is one instance of the zone. Its fields are exported because a codec
// reads and writes them.
type Member struct {
	ID      pointport.InstanceID `json:"id"`
	Address string               `json:"address"`
	Zone    pointport.ZoneID     `json:"zone"`
	Rack    string               `json:"rack"`
	Shape   pointport.Shape      `json:"shape"`
	// Boots is the boot count that was last seen while the instance served or
	// began to reboot.
	Boots int64  `json:"boots"`
	Pool  string `json:"pool,omitempty"` // the template's name; empty for none
	Phase Phase  `json:"phase"`
	// Since is when the phase began.
	Since time.Time `json:"since"`
	// Wave is the wave that is maintaining the instance; empty for none.
	Wave string `json:"wave,omitempty"`
	// Moving reports whether the instance drains in order to leave its pool.
	Moving bool `json:"moving,omitempty"`
	// Maintained is when the instance last came back from maintenance, or was
	// first seen.
	Maintained time.Time `json:"maintained"`
	// Passed is the wave that skipped the instance because it did not become idle.
	Passed string `json:"passed,omitempty"`
}

// A Step changes one member. Its fields are exported because a codec reads and
// writes them.
type Step struct {
	Instance pointport.InstanceID `json:"instance"`
	// After is the member as the step leaves it; nil if the step removes it.
	After *Member `json:"after,omitempty"`
	// From is the phase and pool before the step, for readers of the audit trail.
	From   string `json:"from,omitempty"`
	Reason string `json:"reason"`
}

// A Wave is the progress of a maintenance wave in the zone. Its fields are
// exported because a codec reads and writes them.
type Wave struct {
	Name    string    `json:"name"`
	Pool    string    `json:"pool"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"`
	Done    int       `json:"done"`
	// FailedCount is how many instances did not come back from it.
	FailedCount int `json:"failed"`
	// PassedCount is how many instances it skipped because they did not become idle.
	PassedCount int `json:"passed"`
	// Stopped is why the wave was stopped for failures; empty if it was not.
	Stopped string `json:"stopped,omitempty"`
	// StoppedAt is the configuration's version at which that happened. A later
	// version of the wave resumes it.
	StoppedAt pointport.Version `json:"stoppedAt,omitempty"`
}

// A Pool is the state of a pool besides its members. Its fields are exported
// because a codec reads and writes them.
type Pool struct {
	// SurplusSince is when the pool began to have more than it needs; zero if it
	// has no surplus.
	SurplusSince time.Time `json:"surplusSince,omitzero"`
	// Float is how much of the floating budget the zone holds. The ledger that all
	// zones share records at least as much for it.
	Float int `json:"float,omitempty"`
}

// A Change is a set of steps that are applied together, and the waves and pools
// that change with them. Its fields are exported because a codec reads and writes
// them.
type Change struct {
	ID      string            `json:"id"`
	Version pointport.Version `json:"version"`
	Author  string            `json:"author"`
	At      time.Time         `json:"at"`
	Steps   []Step            `json:"steps,omitempty"`
	Waves   []Wave            `json:"waves,omitempty"`
	Pools   map[string]Pool   `json:"pools,omitempty"`
}

// ChangeID returns the ID of the change.
func (c Change) ChangeID() string { return c.ID }

// ChangeVersion returns the version of the state that the change produces.
func (c Change) ChangeVersion() pointport.Version { return c.Version }

// Empty reports whether the change changes nothing.
func (c Change) Empty() bool { return len(c.Steps) == 0 && len(c.Waves) == 0 && len(c.Pools) == 0 }

// A State holds the members, waves and pools of a zone at one version. It is
// immutable.
type State struct {
	version pointport.Version
	members map[pointport.InstanceID]Member
	waves   map[string]Wave
	pools   map[string]Pool
}

// NewState returns the empty state.
func NewState() *State {
	return &State{
		members: map[pointport.InstanceID]Member{},
		waves:   map[string]Wave{},
		pools:   map[string]Pool{},
	}
}

// Version returns the version of the state.
func (s *State) Version() pointport.Version { return s.version }

// Member returns the member of an instance, and whether there is one.
func (s *State) Member(id pointport.InstanceID) (Member, bool) {
	m, ok := s.members[id]
	return m, ok
}

// Members returns all members in order of their IDs.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Pool returns the state of a pool besides its members; the zero Pool if none is
// stored.
func (s *State) Pool(name string) Pool { return s.pools[name] }

// Wave returns the progress of a wave, and whether the wave is known.
func (s *State) Wave(name string) (Wave, bool) {
	w, ok := s.waves[name]
	return w, ok
}

// Waves returns the progress of all waves in order of their names.
func (s *State) Waves() []Wave {
	out := make([]Wave, 0, len(s.waves))
	for _, w := range s.waves {
		out = append(out, w)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Apply returns the state after c. It returns an error if c's version is not the
// next one.
func (s *State) Apply(c Change) (*State, error) {
	if c.Version != s.version+1 {
		return nil, fmt.Errorf("change %s has version %d, which does not follow %d", c.ID, c.Version, s.version)
	}
	next := &State{version: c.Version, members: maps.Clone(s.members), waves: s.waves, pools: s.pools}
	for _, step := range c.Steps {
		if step.After == nil {
			delete(next.members, step.Instance)
			continue
		}
		next.members[step.Instance] = *step.After
	}
	if len(c.Waves) > 0 {
		next.waves = maps.Clone(s.waves)
		for _, w := range c.Waves {
			next.waves[w.Name] = w
		}
	}
	if len(c.Pools) > 0 {
		next.pools = maps.Clone(s.pools)
		maps.Copy(next.pools, c.Pools)
	}
	return next, nil
}

// stateDocument is the stored form of a State.
type stateDocument struct {
	Version pointport.Version               `json:"version"`
	Members map[pointport.InstanceID]Member `json:"members"`
	Waves   map[string]Wave                 `json:"waves"`
	Pools   map[string]Pool                 `json:"pools"`
}

// MarshalJSON returns the stored form of the state.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateDocument{s.version, s.members, s.waves, s.pools})
}

// UnmarshalJSON replaces the state by a stored one.
func (s *State) UnmarshalJSON(data []byte) error {
	var d stateDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*s = *NewState()
	s.version = d.Version
	maps.Copy(s.members, d.Members)
	maps.Copy(s.waves, d.Waves)
	maps.Copy(s.pools, d.Pools)
	return nil
}
