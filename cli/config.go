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

// This file defines the subcommands that show and change the configuration.

// Apply returns the subcommand that creates and updates the objects in a file.
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
		if err := requireArgs(args, 0, "no arguments beside -f FILE"); err != nil {
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

// readObjects reads the objects in a file, or in standard input for -. It fails with a
// *UsageError.
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

// applier sends changes of objects and collects their results.
type applier struct {
	client *operator.Client
	author string
	reason string
	source string
	id     string // of the change, to which applyOne appends the number of the object
	force  bool   // whether to replace an object whatever its version
	// alwaysSend makes applyOne send an object even if the server has an equal one.
	alwaysSend bool
	results    []applyResult
}

// applyResult is the result of changing one object, as it is written in JSON.
type applyResult struct {
	Object  string         `json:"object"`
	Action  string         `json:"action"` // accepted, unchanged or removed
	Version config.Version `json:"version"`
	Change  string         `json:"change,omitempty"`
}

// print writes the results of the objects that were processed, which are fewer than all if
// one failed.
func (a *applier) print(o *operatorFlags, out io.Writer) error {
	return o.print(out, a.results, func(w io.Writer) {
		for _, d := range a.results {
			fmt.Fprintf(w, "%s %s\tversion %d\t%s\n", d.Object, d.Action, d.Version, d.Change)
		}
	})
}

// apply sends all objects in order, up to the first that fails. If the change has no ID, it
// gets a random one.
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

// applyOne sends the object with number n. Unless force is set, the server accepts it only if
// its version has not changed since it was read here. An object that is equal to the server's
// is not sent, unless alwaysSend is set.
func (a *applier) applyOne(ctx context.Context, n int, o config.Object) error {
	path := objectPath(o.Kind(), o.Name())
	id := fmt.Sprintf("%s.%d", a.id, n)
	q := url.Values{"id": {id}, "author": {a.author}, "reason": {a.reason}, "source": {a.source}}
	current, err := a.get(ctx, path)
	if err != nil {
		return err
	}
	if current.Version != 0 && !a.alwaysSend && sameObject(current.Object, o) {
		a.results = append(a.results, applyResult{o.ID(), "unchanged", current.Version, ""})
		return nil
	}
	if !a.force {
		q.Set("read", strconv.FormatInt(int64(current.Version), 10))
	}
	var change config.Change
	if err := a.client.Call(ctx, http.MethodPut, path, q, o, &change); err != nil {
		return fmt.Errorf("%s (change %s): %w", o.ID(), id, err)
	}
	a.results = append(a.results, applyResult{o.ID(), "accepted", change.Version, change.ID})
	return nil
}

// get returns an object and its version on the server. The version is zero if the object
// does not exist.
func (a *applier) get(ctx context.Context, path string) (operator.VersionedObject, error) {
	var current operator.VersionedObject
	err := a.client.Call(ctx, http.MethodGet, path, nil, nil, &current)
	var failed *operator.Error
	if errors.As(err, &failed) && failed.Code == "not-found" {
		return operator.VersionedObject{}, nil
	}
	return current, err
}

// sameObject reports whether two objects have the same JSON form.
func sameObject(a, b config.Object) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// objectPath returns the path of an object in the API.
func objectPath(kind config.Kind, name string) string {
	return "/v1/config/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// Get returns the subcommand that lists objects or shows one.
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

// getOne shows one object.
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
		if err := requireArgs(args, 2, "KIND and NAME"); err != nil {
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

// Wave returns the subcommand that starts, pauses, resumes and cancels maintenance waves.
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
		if err := requireArgs(args, 2, "start, pause, resume or cancel, and NAME"); err != nil {
			return err
		}
		a := &applier{client: o.client(), author: o.author, reason: reason, source: "wave", id: uuid.NewString()}
		// A wave that the system stopped continues when it gets a new version, even if
		// nothing else about it changes.
		a.alwaysSend = args[0] == "resume"
		w, err := waveInState(ctx, a, args[0], args[1], template, racks)
		if err != nil {
			return err
		}
		w.Reason = reason
		err = a.applyOne(ctx, 0, config.NewObject(w))
		return errors.Join(a.print(&o, out), err)
	}
	return c
}

// waveInState returns the wave with the state that the verb sets, without sending it.
func waveInState(ctx context.Context, a *applier, verb, name, template string, racks bool) (*config.Wave, error) {
	current, err := a.get(ctx, objectPath(config.KindWave, name))
	if err != nil {
		return nil, err
	}
	states := map[string]config.WaveState{"pause": config.WavePause, "resume": config.WaveRun, "cancel": config.WaveCancel}
	state, known := states[verb]
	switch {
	case verb == "start" && current.Version != 0:
		return nil, &UsageError{fmt.Sprintf("wave %q exists; waves are not started twice, choose another name", name)}
	case verb == "start":
		return &config.Wave{Name: name, Template: template, State: config.WaveRun, Racks: racks}, nil
	case !known:
		return nil, &UsageError{fmt.Sprintf("%q: must be one of start, pause, resume, cancel", verb)}
	case current.Version == 0:
		return nil, &operator.Error{Status: http.StatusNotFound, Code: "not-found", Message: fmt.Sprintf("wave %q does not exist", name)}
	}
	w := *current.Object.Wave()
	w.State = state
	return &w, nil
}

// formatTime formats a time for a table: in UTC, or as "-" if it is zero.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}
