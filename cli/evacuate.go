package cli

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/google/uuid"

	"github.com/pointport/pointport/config"
)

// This file defines the subcommand that evacuates availability zones.

// Evacuate returns the subcommand that evacuates an availability zone, so that nothing more
// is sent to its instances, or ends its evacuation.
func Evacuate() *Command {
	c := newCommand("evacuate", "ZONE", "send nothing more to the instances of an availability zone, or take that back")
	var o operatorFlags
	o.defineAuthor(c)
	var reason string
	var end bool
	c.set.String(&reason, "reason", "", "why, for the audit trail")
	c.set.Bool(&end, "end", false, "take it back: the availability zone is used again")
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if err := requireArgs(args, 1, "the name of an availability zone"); err != nil {
			return err
		}
		a := &applier{client: o.client(), author: o.author, reason: reason, source: "evacuate", id: uuid.NewString()}
		var err error
		if end {
			err = a.removeOne(ctx, config.KindEvacuation, args[0])
		} else {
			err = a.applyOne(ctx, 0, config.NewObject(&config.Evacuation{Name: args[0], Reason: reason}))
		}
		return errors.Join(a.print(&o, out), err)
	}
	return c
}

// removeOne removes an object from the configuration.
func (a *applier) removeOne(ctx context.Context, kind config.Kind, name string) error {
	q := url.Values{"id": {a.id}, "author": {a.author}, "reason": {a.reason}}
	var change config.Change
	if err := a.client.Call(ctx, http.MethodDelete, objectPath(kind, name), q, nil, &change); err != nil {
		return err
	}
	a.results = append(a.results, applyResult{change.Removed, "removed", change.Version, change.ID})
	return nil
}
