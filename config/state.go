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

// This file defines the whole configuration at one version, and its changes.

// Version is the version of a configuration.
type Version = pointport.Version

// A Change replaces or removes one object.
type Change struct {
	// ID is unique for each change that an author asks for. It shows whether a
	// change whose answer was lost has taken effect.
	ID string `json:"id"`
	// Version is the version of the configuration that the change leads to.
	Version Version `json:"version"`
	// Author is the operator who asked for the change.
	Author string `json:"author"`
	// At is when the change was accepted.
	At time.Time `json:"at"`
	// Reason is the author's explanation.
	Reason string `json:"reason,omitempty"`
	// Object is the new document; nil if the object was removed.
	Object *Object `json:"object,omitempty"`
	// Removed is the ID of the object that was removed.
	Removed string `json:"removed,omitempty"`
	// From is the version at which the object had last changed before.
	From Version `json:"from"`
}

// ChangeID returns the ID of the change.
func (c Change) ChangeID() string { return c.ID }

// ChangeVersion returns the version that the change leads to.
func (c Change) ChangeVersion() Version { return c.Version }

// Target returns the ID of the object that the change replaces or removes.
func (c Change) Target() string {
	if c.Object != nil {
		return c.Object.ID()
	}
	return c.Removed
}

// A RaceError reports that an object was changed after the author of a new change
// read it.
type RaceError struct {
	Object string  // ID of the object
	Read   Version // version at which the author read the object
	Have   Version // version at which the object last changed
	Author string  // author of that last change
}

func (e *RaceError) Error() string {
	return fmt.Sprintf("%s was read at version %d and changed at version %d by %s", e.Object, e.Read, e.Have, e.Author)
}

// A versioned is an object with the version and author of its last change.
type versioned struct {
	Object  Object  `json:"object"`
	Version Version `json:"version"`
	Author  string  `json:"author"`
}

// A tombstone holds the version and author of an object's removal.
type tombstone struct {
	Version Version `json:"version"`
	Author  string  `json:"author"`
}

// A State is the whole configuration at one version. It is immutable.
type State struct {
	version Version
	objects map[string]versioned
	removed map[string]tombstone
}

// NewState returns the empty state, which has version 0.
func NewState() *State {
	return &State{objects: map[string]versioned{}, removed: map[string]tombstone{}}
}

// Version returns the version of the state.
func (s *State) Version() Version { return s.version }

// Apply returns the state after c. It fails if c's version does not follow the
// version of the state.
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

// CheckVersion returns a *RaceError if the last change of an object was not at the
// version at which the author of a new change read it: 0 if the object did not
// exist. It checks nothing if read is negative.
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

// Has reports whether the object with an ID exists.
func (s *State) Has(id string) bool {
	_, ok := s.objects[id]
	return ok
}

// List returns the objects of a kind, sorted by name.
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

// Templates returns the templates, sorted by name, without any customer's parameters.
func (s *State) Templates() []*Template {
	var out []*Template
	for _, o := range s.List(KindTemplate) {
		out = append(out, o.Template())
	}
	return out
}

// Effective returns the templates, sorted by name, with the parameters applied that
// are in force at now. If several documents set one value, the last by name wins.
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

// override replaces those values of t that p sets.
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

// Waves returns the waves, sorted by name.
func (s *State) Waves() []*Wave {
	var out []*Wave
	for _, o := range s.List(KindWave) {
		out = append(out, o.Wave())
	}
	return out
}

// Customers returns the parameters of each customer, by customer. If several
// documents name one customer, the last by name wins.
func (s *State) Customers() map[string]*Parameters {
	out := make(map[string]*Parameters)
	for _, o := range s.List(KindParameters) {
		p := o.Parameters()
		out[p.Customer] = p
	}
	return out
}

// NextParameterChange returns the first time after now at which the set of parameters
// in force changes, or the zero time if there is none.
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

// storedState is the stored form of a State.
type storedState struct {
	Version Version              `json:"version"`
	Objects map[string]versioned `json:"objects"`
	Removed map[string]tombstone `json:"removed"`
}

// MarshalJSON returns the stored form of the state.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(storedState{s.version, s.objects, s.removed})
}

// UnmarshalJSON reads the stored form of a state.
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
