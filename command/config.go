// Package command holds what operators can change. Queries, which change
// nothing, are in package query.
//
// Invariant: a command either took effect, or changed nothing, or says that it
// is not known which and how to find out.
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

// AnyVersion skips the question of a racing author.
const AnyVersion config.Version = -1

// ConfigLog is the log of the configuration.
type ConfigLog = changelog.Log[*config.State, config.Change]

// A Proposal is a change of the configuration that an author asks for.
type Proposal struct {
	// ID is the author's own unique name for this attempt. Proposing it again
	// gives the change that it made, if it made one that is still in reach.
	ID     string
	Author string
	Reason string
	// Object is the new document, or nil to remove the object called Removed.
	Object  *config.Object
	Removed string
	// ReadVersion is the version at which the author read the object: zero if it did
	// not exist, and AnyVersion to skip the question.
	ReadVersion config.Version
}

func (p Proposal) target() string {
	if p.Object != nil {
		return p.Object.ID()
	}
	return p.Removed
}

// A ReferenceError says that a change would leave an object without another
// that it names.
type ReferenceError struct {
	Object string // the object that names the other
	Field  string // the field in which it does
	Name   string // the identity of the other
}

func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s: %s: %q: no such object", e.Object, e.Field, e.Name)
}

// errNoAuthor refuses a change that nobody answers for.
var errNoAuthor = errors.New("author: \"\": must name who asks for the change")

// Configure makes a proposed change. It fails with a *config.RaceError if
// someone changed the object since the author read it, with a *ReferenceError,
// a *pointport.NotFoundError, a *changelog.UnsettledError, or an
// *pointport.UnavailableError if nothing was changed.
func Configure(ctx context.Context, log *ConfigLog, clock pointport.Clock, p Proposal) (config.Change, error) {
	if p.Author == "" {
		return config.Change{}, errNoAuthor
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

func checkReferences(s *config.State, p Proposal) error {
	if p.Object == nil {
		return checkRemoval(s, p.Removed)
	}
	name := ""
	if params := p.Object.Parameters(); params != nil {
		name = params.Template
	}
	if w := p.Object.Wave(); w != nil {
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

// checkRemoval refuses to remove what is missing, and what others name.
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
