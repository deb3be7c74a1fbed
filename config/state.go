package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the change and the state, which is the whole configuration
// at one version.

// Version is the version of a configuration.
type Version = pointport.Version

// A Change replaces or removes one object.
type Change struct {
	// ID is unique for each attempt of an author to change something. It
	// settles whether a change whose answer was lost has taken effect.
	ID string `json:"id"`
	// Version is the version that the change made.
	Version Version `json:"version"`
	// Author is who asked for the change.
	Author string `json:"author"`
	// At is when the change was accepted.
	At time.Time `json:"at"`
	// Reason is the author's own words.
	Reason string `json:"reason,omitempty"`
	// Object is the new document; nil if the object was removed.
	Object *Object `json:"object,omitempty"`
	// Removed is the identity of the object that was removed.
	Removed string `json:"removed,omitempty"`
	// From is the version at which the object had last changed.
	From Version `json:"from"`
}

// ChangeID returns the change's own name.
func (c Change) ChangeID() string { return c.ID }

// ChangeVersion returns the version that the change made.
func (c Change) ChangeVersion() Version { return c.Version }

// Target returns the identity of the object that the change is about.
func (c Change) Target() string {
	if c.Object != nil {
		return c.Object.ID()
	}
	return c.Removed
}

// A RaceError says that an object was changed by someone else since its author
// read it.
type RaceError struct {
	Object string  // the identity of the object
	Read   Version // the version that the author had read
	Have   Version // the version at which it has since changed
	Author string  // who changed it
}

func (e *RaceError) Error() string {
	return fmt.Sprintf("%s was read at version %d and changed at version %d by %s", e.Object, e.Read, e.Have, e.Author)
}

// A versioned is an object with the change that made it.
type versioned struct {
	Object  Object  `json:"object"`
	Version Version `json:"version"`
	Author  string  `json:"author"`
}

// A tombstone says when an object was removed, and by whom.
type tombstone struct {
	Version Version `json:"version"`
	Author  string  `json:"author"`
}

// A State is the whole configuration at one version. It is never changed.
type State struct {
	version Version
	objects map[string]versioned
	removed map[string]tombstone
}

// NewState returns the empty state.
func NewState() *State {
	return &State{objects: map[string]versioned{}, removed: map[string]tombstone{}}
}

// Version returns the version of the state.
func (s *State) Version() Version { return s.version }

// Apply returns the state after c. It fails if c is not the next version.
func (s *State) Apply(c Change) (*State, error) {
	if c.Version != s.version+1 {
		return nil, fmt.Errorf("change %s has version %d, which does not follow %d", c.ID, c.Version, s.version)
	}
	next := &State{version: c.Version, objects: maps.Clone(s.objects), removed: s.removed}
	if c.Object != nil {
		next.objects[c.Object.ID()] = versioned{*c.Object, c.Version, c.Author}
		return next, nil
	}
	delete(next.objects, c.Removed)
	next.removed = maps.Clone(s.removed)
	next.removed[c.Removed] = tombstone{c.Version, c.Author}
	return next, nil
}

// CheckVersion reports whether an object read at version may be changed now. A
// version below zero skips the question of a race.
func (s *State) CheckVersion(id string, read Version) error {
	last := s.removed[id]
	if v, ok := s.objects[id]; ok {
		last = tombstone{v.Version, v.Author}
	}
	if read >= 0 && last.Version != read {
		return &RaceError{id, read, last.Version, last.Author}
	}
	return nil
}

// Get returns an object and the version at which it last changed.
func (s *State) Get(kind Kind, name string) (Object, Version, bool) {
	v, ok := s.objects[ID(kind, name)]
	return v.Object, v.Version, ok
}

// Has reports whether the object with an identity exists.
func (s *State) Has(id string) bool {
	_, ok := s.objects[id]
	return ok
}

// List returns the objects of kind by name.
func (s *State) List(kind Kind) []Object {
	var out []Object
	for _, v := range s.objects {
		if v.Object.Kind() == kind {
			out = append(out, v.Object)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name() < out[b].Name() })
	return out
}

// Templates returns the templates by name, without any customer's parameters.
func (s *State) Templates() []*Template {
	var out []*Template
	for _, o := range s.List(KindTemplate) {
		out = append(out, o.Template())
	}
	return out
}

// Effective returns the templates by name with the parameters that are in
// force at now. Where several documents set one value, the last by name wins.
func (s *State) Effective(now time.Time) []*Template {
	byName := make(map[string]*Template)
	var out []*Template
	for _, t := range s.Templates() {
		own := *t
		byName[t.Name] = &own
		out = append(out, &own)
	}
	for _, o := range s.List(KindParameters) {
		p := o.Parameters()
		if t := byName[p.Template]; t != nil && p.ActiveAt(now) {
			p.override(t)
		}
	}
	return out
}

// override replaces the values of t that p sets.
func (p *Parameters) override(t *Template) {
	if p.Size != nil {
		t.Pool.Size = *p.Size
	}
	if p.Spare != nil {
		t.Pool.Spare = *p.Spare
	}
	if p.Speed != nil {
		t.Maintenance.Speed = *p.Speed
	}
	if p.Spread != nil {
		t.Pool.Spread = slices.Clone(p.Spread)
	}
}

// Waves returns the waves by name.
func (s *State) Waves() []*Wave {
	var out []*Wave
	for _, o := range s.List(KindWave) {
		out = append(out, o.Wave())
	}
	return out
}

// Customers returns the parameters that name each customer, by customer.
func (s *State) Customers() map[string]*Parameters {
	out := make(map[string]*Parameters)
	for _, o := range s.List(KindParameters) {
		p := o.Parameters()
		out[p.Customer] = p
	}
	return out
}

// NextParameterChange returns when the set of parameters in force changes after now, or the
// zero time if it never does.
func (s *State) NextParameterChange(now time.Time) time.Time {
	var next time.Time
	for _, o := range s.List(KindParameters) {
		p := o.Parameters()
		for _, t := range []*time.Time{p.From, p.Until} {
			if t != nil && t.After(now) && (next.IsZero() || t.Before(next)) {
				next = *t
			}
		}
	}
	return next
}

// storedState is a State as it is stored.
type storedState struct {
	Version Version              `json:"version"`
	Objects map[string]versioned `json:"objects"`
	Removed map[string]tombstone `json:"removed"`
}

// MarshalJSON writes the whole state.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(storedState{s.version, s.objects, s.removed})
}

// UnmarshalJSON reads a whole state.
func (s *State) UnmarshalJSON(data []byte) error {
	var d storedState
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*s = State{d.Version, d.Objects, d.Removed}
	if s.objects == nil {
		s.objects = map[string]versioned{}
	}
	if s.removed == nil {
		s.removed = map[string]tombstone{}
	}
	return nil
}
