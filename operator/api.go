// Package operator serves the operators' API: commands that change the
// configuration and the jobs, and queries about how things stand.
//
// Invariant: an answer with a status below 300 means that the command took
// effect. A status of 409 or 4xx means that it did not. A status of 504 with
// the code "unsettled" means that it is not known, and that sending the same
// change ID again settles it.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/kataras/iris/v12"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/command"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/job"
	"github.com/pointport/pointport/query"
)

// This file defines the routes and their handlers.

const (
	// maxDocument bounds what is read of a document, in bytes.
	maxDocument = 1 << 20
	// maxJobWait bounds how long a query waits for a job to end.
	maxJobWait = time.Minute
)

// An API is the operators' API of one entry instance.
type API struct {
	clock  pointport.Clock
	source *query.Source
}

// New returns the handler of the operators' API.
func New(clock pointport.Clock, source *query.Source) (http.Handler, error) {
	a := &API{clock, source}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/config", a.handle(a.list))
	app.Get("/v1/config/{kind}/{name}", a.handle(a.get))
	app.Put("/v1/config/{kind}/{name}", a.handle(a.put))
	app.Delete("/v1/config/{kind}/{name}", a.handle(a.remove))
	app.Get("/v1/status", a.handle(a.status))
	app.Get("/v1/audit", a.handle(a.audit))
	app.Get("/v1/explain/{kind}/{name}", a.handle(a.explain))
	app.Post("/v1/plan", a.handle(a.plan))
	app.Post("/v1/jobs", a.handle(a.submit))
	app.Get("/v1/jobs", a.handle(a.jobs))
	app.Get("/v1/jobs/{id}", a.handle(a.job))
	app.Delete("/v1/jobs/{id}", a.handle(a.cancel))
	if err := app.Build(); err != nil {
		return nil, merry.Wrap(err)
	}
	return app, nil
}

// A Failure is what a failed call answers.
type Failure struct {
	Code  string `json:"code"`
	Error string `json:"error"`
}

// handle turns a function into a handler that answers in JSON.
func (a *API) handle(do func(c iris.Context) (any, error)) iris.Handler {
	return func(c iris.Context) {
		v, err := do(c)
		if err != nil {
			err = classify(err)
			c.StatusCode(merry.HTTPCode(err))
			v = Failure{codeOf(err), err.Error()}
		}
		// An error here means that the caller has gone.
		_ = c.JSON(v)
	}
}

// codeKey is the key under which an error carries its code.
type codeKey struct{}

func coded(err error, status int, code string) error {
	return merry.Wrap(err, merry.WithHTTPCode(status), merry.WithValue(codeKey{}, code))
}

func codeOf(err error) string {
	code, _ := merry.Value(err, codeKey{}).(string)
	return code
}

// classify gives an error the status and the code that callers see.
func classify(err error) error {
	var race *config.RaceError
	var check *config.CheckError
	var field *command.FieldError
	var reference *command.ReferenceError
	var sameKey *command.KeyReusedError
	var missing *pointport.NotFoundError
	var unsettled *changelog.AmbiguousError
	var down *pointport.UnavailableError
	switch {
	case errors.As(err, &unsettled):
		return coded(err, http.StatusGatewayTimeout, "unsettled")
	case errors.As(err, &race):
		return coded(err, http.StatusConflict, "race")
	case errors.As(err, &sameKey):
		return coded(err, http.StatusConflict, "key-used")
	case errors.As(err, &check), errors.As(err, &field), errors.As(err, &reference):
		return coded(err, http.StatusUnprocessableEntity, "invalid")
	case errors.As(err, &missing):
		return coded(err, http.StatusNotFound, "not-found")
	case errors.As(err, &down):
		return coded(err, http.StatusServiceUnavailable, "store-down")
	case codeOf(err) != "":
		return err
	}
	return coded(err, http.StatusBadRequest, "bad-request")
}

// A VersionedObject is an object with the version at which it last changed.
type VersionedObject struct {
	Object  config.Object  `json:"object"`
	Version config.Version `json:"version"`
}

func (a *API) list(c iris.Context) (any, error) {
	if err := a.refresh(c); err != nil {
		return nil, err
	}
	state := a.source.Config.State()
	out := []VersionedObject{}
	for _, kind := range config.Kinds() {
		if want := c.URLParam("kind"); want != "" && want != string(kind) {
			continue
		}
		for _, o := range state.List(kind) {
			_, version, _ := state.Get(kind, o.Name())
			out = append(out, VersionedObject{o, version})
		}
	}
	return out, nil
}

// refresh reads the newest configuration. If the store cannot be reached, a
// query answers by what is in force here.
func (a *API) refresh(c iris.Context) error {
	err := a.source.Config.Refresh(c.Request().Context())
	var down *pointport.UnavailableError
	if errors.As(err, &down) {
		c.Header("Warning", `110 - "the store cannot be read; this is what is in force here"`)
		return nil
	}
	return err
}

func (a *API) get(c iris.Context) (any, error) {
	if err := a.refresh(c); err != nil {
		return nil, err
	}
	kind, name := config.Kind(c.Params().Get("kind")), c.Params().Get("name")
	o, version, ok := a.source.Config.State().Get(kind, name)
	if !ok {
		return nil, &pointport.NotFoundError{Kind: string(kind), Name: name}
	}
	return VersionedObject{o, version}, nil
}

// proposal reads the parts of a change that both commands share.
func (a *API) proposal(c iris.Context) (command.Proposal, error) {
	p := command.Proposal{
		ID: c.URLParam("id"), Author: c.URLParam("author"), Reason: c.URLParam("reason"), ReadVersion: command.AnyVersion,
	}
	if v := c.URLParam("read"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			return p, &command.FieldError{Field: "read", Value: v, Reason: "must be a version, from 0"}
		}
		p.ReadVersion = config.Version(n)
	}
	return p, nil
}

func (a *API) put(c iris.Context) (any, error) {
	p, err := a.proposal(c)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxDocument))
	if err != nil {
		return nil, coded(err, http.StatusRequestEntityTooLarge, "too-large")
	}
	source := c.URLParam("source")
	if source == "" {
		source = "request"
	}
	o, err := config.ParseObject(source, data)
	if err != nil {
		return nil, err
	}
	id := config.ID(config.Kind(c.Params().Get("kind")), c.Params().Get("name"))
	if o.ID() != id {
		return nil, &command.FieldError{Field: "name", Value: o.ID(), Reason: "is not what the path names: " + id}
	}
	if err := a.checkZone(&o); err != nil {
		return nil, err
	}
	p.Object = &o
	return command.Configure(c.Request().Context(), a.source.Config, a.clock, p)
}

// checkZone refuses the evacuation of an availability zone that there is not: it would do
// nothing, and its author would count on it.
func (a *API) checkZone(o *config.Object) error {
	if o.Kind() != config.KindEvacuation || slices.Contains(a.source.Zones, pointport.ZoneID(o.Name())) {
		return nil
	}
	return &command.FieldError{Field: "name", Value: o.Name(), Reason: fmt.Sprintf("must be one of the availability zones %v", a.source.Zones)}
}

func (a *API) remove(c iris.Context) (any, error) {
	p, err := a.proposal(c)
	if err != nil {
		return nil, err
	}
	p.Removed = config.ID(config.Kind(c.Params().Get("kind")), c.Params().Get("name"))
	return command.Configure(c.Request().Context(), a.source.Config, a.clock, p)
}

func (a *API) status(iris.Context) (any, error) { return a.source.Status(), nil }

func (a *API) audit(c iris.Context) (any, error) {
	f := query.Filter{Author: c.URLParam("author"), Object: c.URLParam("object"), Limit: c.URLParamIntDefault("limit", 0)}
	for name, target := range map[string]*time.Time{"since": &f.Since, "until": &f.Until} {
		v := c.URLParam(name)
		if v == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339, v)
		if err != nil {
			return nil, &command.FieldError{Field: name, Value: v, Reason: "must be a time such as 2026-12-02T12:00:00Z"}
		}
		*target = t
	}
	return a.source.Audit(c.Request().Context(), f)
}

func (a *API) explain(c iris.Context) (any, error) {
	return a.source.Explain(c.Request().Context(), c.Params().Get("kind"), c.Params().Get("name"))
}

func (a *API) plan(c iris.Context) (any, error) {
	var documents []json.RawMessage
	if err := c.ReadJSON(&documents); err != nil {
		return nil, coded(err, http.StatusUnprocessableEntity, "invalid")
	}
	var objects []config.Object
	for _, d := range documents {
		o, err := config.ParseObject("request", d)
		if err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return a.source.Plan(objects)
}

func (a *API) submit(c iris.Context) (any, error) {
	var s command.Submission
	if err := c.ReadJSON(&s, iris.JSONReader{DisallowUnknownFields: true}); err != nil {
		return nil, coded(err, http.StatusUnprocessableEntity, "invalid")
	}
	log, err := a.jobLog(job.ID(s.Customer, s.Key))
	if err != nil {
		return nil, err
	}
	return command.Submit(c.Request().Context(), log, a.clock, s)
}

// jobLog returns the log that keeps the job called id.
func (a *API) jobLog(id string) (*query.JobLog, error) {
	log := a.source.Jobs[job.HomeZone(id, a.source.Zones)]
	if log == nil {
		return nil, &pointport.NotFoundError{Kind: "zone", Name: string(job.HomeZone(id, a.source.Zones))}
	}
	return log, nil
}

func (a *API) jobs(c iris.Context) (any, error) {
	return a.source.ListJobs(c.URLParam("customer")), nil
}

func (a *API) job(c iris.Context) (any, error) {
	id := c.Params().Get("id")
	v := c.URLParam("wait")
	if v == "" {
		return a.source.Job(c.Request().Context(), id)
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > maxJobWait {
		return nil, &command.FieldError{Field: "wait", Value: v, Reason: "must be a duration up to " + maxJobWait.String()}
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), d)
	defer cancel()
	return a.source.WaitJob(ctx, id)
}

func (a *API) cancel(c iris.Context) (any, error) {
	id := c.Params().Get("id")
	log, err := a.jobLog(id)
	if err != nil {
		return nil, err
	}
	return command.Cancel(c.Request().Context(), log, a.clock, c.URLParam("author"), id)
}
