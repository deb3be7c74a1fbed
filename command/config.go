// Package command implements the commands with which operators change the
// configuration and jobs. Queries, which change nothing, are in package query.
//
// Invariant: a command that succeeds took effect. A command that fails changed
// nothing, unless its error reports that the effect is unknown and how to find
// out.
package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/config"
)

// This file defines the commands that change the configuration.

// AnyVersion disables the check for concurrent changes by other authors.
const AnyVersion config.Version = -1

// ConfigLog is the log of the configuration.
type ConfigLog = changelog.Log[*config.State, config.Change]

// A Proposal is a change of the configuration that an author asks for.
type Proposal struct {
	// ID is a unique ID that the author chose for this attempt. Proposing the same
	// ID again returns the change that the first attempt made, if the log still
	// has it. Configure generates an ID if it is empty.
	ID     string
	Author string
	Reason string
	// Object is the new document, or nil to remove the object with the ID Removed.
	Object  *config.Object
	Removed string
	// ReadVersion is the version at which the author read the object: zero if it
	// did not exist, and AnyVersion to skip the check for concurrent changes.
	ReadVersion config.Version
}

func (p Proposal) target() string {
	if p.Object != nil {
		return p.Object.ID()
	}
	return p.Removed
}

// A ReferenceError reports that a change would leave an object with a reference
// to an object that does not exist.
type ReferenceError struct {
	Object string // the ID of the object with the reference
	Field  string // the field with the reference
	Name   string // the ID of the missing object
}

func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s: %s: %q: no such object", e.Object, e.Field, e.Name)
}

// errMissingAuthor is returned for a change without an author, which nobody would
// be accountable for.
var errMissingAuthor = errors.New("author: \"\": must name who asks for the change")

// Configure makes a proposed change and returns it. It fails with a
// *config.RaceError if the object has changed since the author read it, with a
// *ReferenceError if a reference would lead nowhere, with a
// *pointport.NotFoundError if the object to remove does not exist, with a
// *changelog.AmbiguousError if the effect is unknown, and with a
// *pointport.UnavailableError if the store was unavailable and nothing changed.
func Configure(ctx context.Context, log *ConfigLog, clock pointport.Clock, p Proposal) (config.Change, error) {
	if p.Author == "" {
		return config.Change{}, errMissingAuthor
	}
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	return log.Append(ctx, p.ID, func(s *config.State) (config.Change, error) {
		if err := s.CheckVersion(p.target(), p.ReadVersion); err != nil {
			return config.Change{}, err
		}
		if err := checkReferences(s, p); err != nil {
			return config.Change{}, err
		}
		return config.Change{
			ID: p.ID, Version: s.Version() + 1, Author: p.Author, At: clock.Now().UTC(),
			Reason: p.Reason, Object: p.Object, Removed: p.Removed, From: max(p.ReadVersion, 0),
		}, nil
	})
}

// checkReferences checks that the proposal leaves no reference to a template that
// does not exist. A cancelled wave does not need its template.
func checkReferences(s *config.State, p Proposal) error {
	if p.Object == nil {
		return checkRemoval(s, p.Removed)
	}
	name := ""
	if params := p.Object.Parameters(); params != nil {
		name = params.Template
	}
	if w := p.Object.Wave(); w != nil && w.State != config.WaveCancel {
		name = w.Template
	}
	if name == "" {
		return nil
	}
	if _, _, ok := s.Get(config.KindTemplate, name); !ok {
		return &ReferenceError{p.Object.ID(), "template", config.ID(config.KindTemplate, name)}
	}
	return nil
}

// checkRemoval fails if the object does not exist, or if other objects refer to
// it.
func checkRemoval(s *config.State, id string) error {
	if !s.Has(id) {
		return &pointport.NotFoundError{Kind: "object", Name: id}
	}
	for _, o := range s.List(config.KindParameters) {
		if config.ID(config.KindTemplate, o.Parameters().Template) == id {
			return &ReferenceError{o.ID(), "template", id}
		}
	}
	for _, w := range s.Waves() {
		if config.ID(config.KindTemplate, w.Template) == id && w.State != config.WaveCancel {
			return &ReferenceError{config.ID(config.KindWave, w.Name), "template", id}
		}
	}
	return nil
}
