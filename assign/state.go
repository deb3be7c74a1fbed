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

// A Phase says what an instance is doing for its pool.
type Phase string

// The phases of an instance.
const (
	Spare     Phase = "spare"     // in no pool, ready for one
	Serving   Phase = "serving"   // takes work
	Draining  Phase = "draining"  // takes no new work
	Rebooting Phase = "rebooting" // is being restarted
	Failed    Phase = "failed"    // is not known to work
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
	// Wave is the wave that is maintaining the instance.
	Wave string `json:"wave,omitempty"`
	// Moving says that the instance drains in order to leave its pool.
	Moving bool `json:"moving,omitempty"`
	// Maintained is when the instance last came back from maintenance, or when
	// it was first seen.
	Maintained time.Time `json:"maintained"`
	// Passed is the wave that gave up on draining the instance.
	Passed string `json:"passed,omitempty"`
}

// A Step changes one member. Its fields are exported for the codec.
type Step struct {
	Instance pointport.InstanceID `json:"instance"`
	// After is the member as the step leaves it; nil if it is forgotten.
	After *Member `json:"after,omitempty"`
	// From names the phase and pool before, for whoever reads the trail.
	From   string `json:"from,omitempty"`
	Reason string `json:"reason"`
}

// A Wave is how far a wave has come in the zone. Its fields are exported for
// the codec.
type Wave struct {
	Name    string    `json:"name"`
	Pool    string    `json:"pool"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"`
	Done    int       `json:"done"`
	// FailedCount is how many instances did not come back from it.
	FailedCount int `json:"failed"`
	PassedCount int `json:"passed"`
	// Stopped is why the wave stopped itself; empty if it did not.
	Stopped string `json:"stopped,omitempty"`
	// StoppedAt is the configuration's version at which it did. A later
	// version of the wave starts it again.
	StoppedAt pointport.Version `json:"stoppedAt,omitempty"`
}

// A Pool is what is kept of a pool besides its members. Its fields are
// exported for the codec.
type Pool struct {
	// SurplusSince is when the pool came to have more than it needs.
	SurplusSince time.Time `json:"surplusSince,omitzero"`
	// Float is how much of the budget the zone holds beyond its even share. The
	// ledger of all zones holds at least as much for it.
	Float int `json:"float,omitempty"`
}

// A Change is a set of steps that are taken together. Its fields are exported
// for the codec.
type Change struct {
	ID      string            `json:"id"`
	Version pointport.Version `json:"version"`
	Author  string            `json:"author"`
	At      time.Time         `json:"at"`
	Steps   []Step            `json:"steps,omitempty"`
	Waves   []Wave            `json:"waves,omitempty"`
	Pools   map[string]Pool   `json:"pools,omitempty"`
}

// ChangeID returns the change's own name.
func (c Change) ChangeID() string { return c.ID }

// ChangeVersion returns the version that the change makes.
func (c Change) ChangeVersion() pointport.Version { return c.Version }

// Empty reports whether the change changes nothing.
func (c Change) Empty() bool { return len(c.Steps) == 0 && len(c.Waves) == 0 && len(c.Pools) == 0 }

// A State is what is known of the instances of a zone at one version. It is
// never changed.
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

// Member returns what is known of an instance.
func (s *State) Member(id pointport.InstanceID) (Member, bool) {
	m, ok := s.members[id]
	return m, ok
}

// Members returns every member by name.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Pool returns what is kept of a pool besides its members.
func (s *State) Pool(name string) Pool { return s.pools[name] }

// Wave returns how far a wave has come.
func (s *State) Wave(name string) (Wave, bool) {
	w, ok := s.waves[name]
	return w, ok
}

// Waves returns every wave by name.
func (s *State) Waves() []Wave {
	out := make([]Wave, 0, len(s.waves))
	for _, w := range s.waves {
		out = append(out, w)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Apply returns the state after c. It fails if c is not the next version.
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

// stateDocument is a State as it is stored.
type stateDocument struct {
	Version pointport.Version               `json:"version"`
	Members map[pointport.InstanceID]Member `json:"members"`
	Waves   map[string]Wave                 `json:"waves"`
	Pools   map[string]Pool                 `json:"pools"`
}

// MarshalJSON writes the whole state.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(stateDocument{s.version, s.members, s.waves, s.pools})
}

// UnmarshalJSON reads a whole state.
func (s *State) UnmarshalJSON(data []byte) error {
	d := stateDocument{Members: map[pointport.InstanceID]Member{}, Waves: map[string]Wave{}, Pools: map[string]Pool{}}
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*s = State{d.Version, d.Members, d.Waves, d.Pools}
	return nil
}
