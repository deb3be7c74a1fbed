package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"
	"sigs.k8s.io/yaml"

	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/operator"
)

// This file defines the subcommands about the configuration.

// Apply returns the subcommand that sends documents.
func Apply() *Command {
	c := newCommand("apply", "", "send templates, parameters, waves and evacuations from a file")
	var o operatorFlags
	o.defineAuthor(c)
	var file, reason, id string
	var force bool
	c.set.String(&file, "f", "", "file in YAML or JSON, or - for standard input")
	c.set.String(&reason, "reason", "", "why, for the audit trail")
	c.set.String(&id, "id", "", "ID of this change, to settle one whose answer was lost")
	c.set.Bool(&force, "force", false, "replace an object whoever changed it last")
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if err := need(args, 0, "no arguments beside -f FILE"); err != nil {
			return err
		}
		objects, err := readObjects(file)
		if err != nil {
			return err
		}
		a := &applier{client: o.client(), author: o.author, reason: reason, source: file, id: id, force: force}
		err = a.apply(ctx, objects)
		return errors.Join(a.print(&o, out), err)
	}
	return c
}

func readObjects(file string) ([]config.Object, error) {
	if file == "" {
		return nil, &UsageError{"-f: \"\": must name a file, or - for standard input"}
	}
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, &UsageError{err.Error()}
	}
	objects, err := config.Parse(file, data)
	if err != nil {
		return nil, &UsageError{err.Error()}
	}
	return objects, nil
}

// An applier sends the documents of one file.
type applier struct {
	client *operator.Client
	author string
	reason string
	source string
	id     string
	force  bool
	// always makes a new version also of an object that stands as it should.
	always bool
	done   []applied
}

// applied is what came of one document. Its fields are exported for the codec.
type applied struct {
	Object  string         `json:"object"`
	Action  string         `json:"action"` // accepted, unchanged or removed
	Version config.Version `json:"version"`
	Change  string         `json:"change,omitempty"`
}

// print shows what was done, also where a later document failed.
func (a *applier) print(o *operatorFlags, out io.Writer) error {
	return o.print(out, a.done, func(w io.Writer) {
		for _, d := range a.done {
			fmt.Fprintf(w, "%s %s\tversion %d\t%s\n", d.Object, d.Action, d.Version, d.Change)
		}
	})
}

func (a *applier) apply(ctx context.Context, objects []config.Object) error {
	if a.id == "" {
		a.id = uuid.NewString()
	}
	for n, o := range objects {
		if err := a.applyOne(ctx, n, o); err != nil {
			return err
		}
	}
	return nil
}

// applyOne sends a document on the version that the server shows now. An object
// that stands as it should is left alone.
func (a *applier) applyOne(ctx context.Context, n int, o config.Object) error {
	path := objectPath(o.Kind(), o.Name())
	id := fmt.Sprintf("%s.%d", a.id, n)
	q := url.Values{"id": {id}, "author": {a.author}, "reason": {a.reason}, "source": {a.source}}
	have, err := a.current(ctx, path)
	if err != nil {
		return err
	}
	if have.Version != 0 && !a.always && sameObject(have.Object, o) {
		a.done = append(a.done, applied{o.ID(), "unchanged", have.Version, ""})
		return nil
	}
	if !a.force {
		q.Set("read", strconv.FormatInt(int64(have.Version), 10))
	}
	var change config.Change
	if err := a.client.Call(ctx, http.MethodPut, path, q, o, &change); err != nil {
		return fmt.Errorf("%s (change %s): %w", o.ID(), id, err)
	}
	a.done = append(a.done, applied{o.ID(), "accepted", change.Version, change.ID})
	return nil
}

// current returns an object as it stands; its version is zero if it is missing.
func (a *applier) current(ctx context.Context, path string) (operator.VersionedObject, error) {
	var have operator.VersionedObject
	err := a.client.Call(ctx, http.MethodGet, path, nil, nil, &have)
	var failed *operator.Error
	if errors.As(err, &failed) && failed.Code == "not-found" {
		return operator.VersionedObject{}, nil
	}
	return have, err
}

func sameObject(a, b config.Object) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func objectPath(kind config.Kind, name string) string {
	return "/v1/config/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// Get returns the subcommand that shows objects.
func Get() *Command {
	c := newCommand("get", "[KIND [NAME]]", "show templates, parameters, waves and evacuations")
	var o operatorFlags
	o.define(c)
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if len(args) > 2 {
			return &UsageError{"want at most KIND and NAME"}
		}
		if len(args) == 2 {
			return getOne(ctx, out, &o, config.Kind(args[0]), args[1])
		}
		q := url.Values{}
		if len(args) == 1 {
			q.Set("kind", args[0])
		}
		var list []operator.VersionedObject
		if err := o.client().Call(ctx, http.MethodGet, "/v1/config", q, nil, &list); err != nil {
			return err
		}
		return o.print(out, list, func(w io.Writer) {
			fmt.Fprintln(w, "KIND\tNAME\tVERSION")
			for _, v := range list {
				fmt.Fprintf(w, "%s\t%s\t%d\n", v.Object.Kind(), v.Object.Name(), v.Version)
			}
		})
	}
	return c
}

func getOne(ctx context.Context, out io.Writer, o *operatorFlags, kind config.Kind, name string) error {
	var v operator.VersionedObject
	if err := o.client().Call(ctx, http.MethodGet, objectPath(kind, name), nil, nil, &v); err != nil {
		return err
	}
	return o.print(out, v, func(w io.Writer) {
		data, err := yaml.Marshal(v.Object)
		if err != nil {
			fmt.Fprintln(w, err)
			return
		}
		fmt.Fprintf(w, "# version %d\n%s", v.Version, data)
	})
}

// Delete returns the subcommand that removes an object.
func Delete() *Command {
	c := newCommand("delete", "KIND NAME", "remove a template, parameters, a wave or an evacuation")
	var o operatorFlags
	o.defineAuthor(c)
	var reason string
	c.set.String(&reason, "reason", "", "why, for the audit trail")
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if err := need(args, 2, "KIND and NAME"); err != nil {
			return err
		}
		a := &applier{client: o.client(), author: o.author, reason: reason, id: uuid.NewString()}
		if err := a.removeOne(ctx, config.Kind(args[0]), args[1]); err != nil {
			return err
		}
		return a.print(&o, out)
	}
	return c
}

// Wave returns the subcommand that steers waves.
func Wave() *Command {
	c := newCommand("wave", "start|pause|resume|cancel NAME", "start and steer a maintenance wave")
	var o operatorFlags
	o.defineAuthor(c)
	var template, reason string
	var racks bool
	c.set.String(&template, "template", "", "template of the pool to maintain, for start")
	c.set.String(&reason, "reason", "", "why, for the audit trail")
	c.set.Bool(&racks, "racks", false, "take whole racks as far as budget and spread allow, for start")
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if err := need(args, 2, "start, pause, resume or cancel, and NAME"); err != nil {
			return err
		}
		a := &applier{client: o.client(), author: o.author, reason: reason, source: "wave", id: uuid.NewString()}
		// A wave that stopped itself goes on at its next version.
		a.always = args[0] == "resume"
		w, err := steer(ctx, a, args[0], args[1], template, racks)
		if err != nil {
			return err
		}
		w.Reason = reason
		err = a.applyOne(ctx, 0, config.NewObject(w))
		return errors.Join(a.print(&o, out), err)
	}
	return c
}

// steer returns the wave as the operator wants it.
func steer(ctx context.Context, a *applier, verb, name, template string, racks bool) (*config.Wave, error) {
	have, err := a.current(ctx, objectPath(config.KindWave, name))
	if err != nil {
		return nil, err
	}
	states := map[string]config.WaveState{"pause": config.WavePause, "resume": config.WaveRun, "cancel": config.WaveCancel}
	state, known := states[verb]
	switch {
	case verb == "start" && have.Version != 0:
		return nil, &UsageError{fmt.Sprintf("wave %q exists; waves are not started twice, choose another name", name)}
	case verb == "start":
		return &config.Wave{Name: name, Template: template, State: config.WaveRun, Racks: racks}, nil
	case !known:
		return nil, &UsageError{fmt.Sprintf("%q: must be one of start, pause, resume, cancel", verb)}
	case have.Version == 0:
		return nil, &operator.Error{Status: http.StatusNotFound, Code: "not-found", Message: fmt.Sprintf("wave %q does not exist", name)}
	}
	w := *have.Object.Wave()
	w.State = state
	return &w, nil
}

// formatTime shows a time in a table.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}
