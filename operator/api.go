// Package operator serves the operators' API: commands that change the
// configuration and jobs, and queries about the status of the system.
//
// Invariant: an answer with a status below 300 means that the command took
// effect. A status of 409 or another 4xx means that it did not. A status of 504
// with the code "unsettled" means that the effect is unknown; sending the command
// again with the same change ID settles it.
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

// This file defines the routes and handlers of the operators' API.

const (
	// maxDocument is the maximum size of a document, in bytes.
	maxDocument = 1 << 20
	// maxJobWait is the maximum time for which a query waits for a job to end.
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
	app.Get("/v1/config", a.jsonHandler(a.list))
	app.Get("/v1/config/{kind}/{name}", a.jsonHandler(a.get))
	app.Put("/v1/config/{kind}/{name}", a.jsonHandler(a.put))
	app.Delete("/v1/config/{kind}/{name}", a.jsonHandler(a.remove))
	app.Get("/v1/status", a.jsonHandler(a.status))
	app.Get("/v1/audit", a.jsonHandler(a.audit))
	app.Get("/v1/explain/{kind}/{name}", a.jsonHandler(a.explain))
	app.Post("/v1/plan", a.jsonHandler(a.plan))
	app.Post("/v1/jobs", a.jsonHandler(a.submit))
	app.Get("/v1/jobs", a.jsonHandler(a.jobs))
	app.Get("/v1/jobs/{id}", a.jsonHandler(a.job))
	app.Delete("/v1/jobs/{id}", a.jsonHandler(a.cancel))
	if err := app.Build(); err != nil {
		return nil, merry.Wrap(err)
	}
	return app, nil
}

// A Failure is the body of the answer to a failed call.
type Failure struct {
	Code  string `json:"code"`
	Error string `json:"error"`
}

// jsonHandler returns a handler that encodes the result of do, or its error as a
// Failure, in JSON.
func (a *API) jsonHandler(do func(c iris.Context) (any, error)) iris.Handler {
	return func(c iris.Context) {
		v, err := do(c)
		if err != nil {
			err = classify(err)
			c.StatusCode(merry.HTTPCode(err))
			v = Failure{codeOf(err), err.Error()}
		}
		// An error here means that the client has disconnected.
		_ = c.JSON(v)
	}
}

// codeKey is the key of the code that is attached to an error.
type codeKey struct{}

// withCode attaches the HTTP status and the code of the answer to err.
func withCode(err error, status int, code string) error {
	return merry.Wrap(err, merry.WithHTTPCode(status), merry.WithValue(codeKey{}, code))
}

// codeOf returns the code that is attached to err, empty if there is none.
func codeOf(err error) string {
	code, _ := merry.Value(err, codeKey{}).(string)
	return code
}

// classify attaches the HTTP status and the code of the answer to an error.
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
		return withCode(err, http.StatusGatewayTimeout, "unsettled")
	case errors.As(err, &race):
		return withCode(err, http.StatusConflict, "race")
	case errors.As(err, &sameKey):
		return withCode(err, http.StatusConflict, "key-used")
	case errors.As(err, &check), errors.As(err, &field), errors.As(err, &reference):
		return withCode(err, http.StatusUnprocessableEntity, "invalid")
	case errors.As(err, &missing):
		return withCode(err, http.StatusNotFound, "not-found")
	case errors.As(err, &down):
		return withCode(err, http.StatusServiceUnavailable, "store-down")
	case codeOf(err) != "":
		return err
	}
	return withCode(err, http.StatusBadRequest, "bad-request")
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

// refresh reads the latest configuration. If the store is unavailable, it succeeds
// with a Warning header, and the query is answered from the configuration in force
// on this node.
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

// proposal reads the URL parameters that put and remove have in common.
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
		return nil, withCode(err, http.StatusRequestEntityTooLarge, "too-large")
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

// checkZone refuses the evacuation of an availability zone that does not exist. It
// would have no effect, while its author would rely on it.
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

func (a *API) status(c iris.Context) (any, error) {
	return a.source.Status(c.Request().Context()), nil
}

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
		return nil, withCode(err, http.StatusUnprocessableEntity, "invalid")
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
		return nil, withCode(err, http.StatusUnprocessableEntity, "invalid")
	}
	log, err := a.jobLog(job.ID(s.Customer, s.Key))
	if err != nil {
		return nil, err
	}
	return command.Submit(c.Request().Context(), log, a.clock, s)
}

// jobLog returns the log that stores the job with the given ID.
func (a *API) jobLog(id string) (*query.JobLog, error) {
	log := a.source.Jobs[job.HomeZone(id, a.source.Zones)]
	if log == nil {
		return nil, &pointport.NotFoundError{Kind: "zone", Name: string(job.HomeZone(id, a.source.Zones))}
	}
	return log, nil
}

func (a *API) jobs(c iris.Context) (any, error) {
	return a.source.ListJobs(c.Request().Context(), c.URLParam("customer"))
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
