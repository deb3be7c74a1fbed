package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/dispatch"
	"github.com/pointport/pointport/route"
)

// This file defines a caller's request once it has been checked.

// Headers that callers may set.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderCustomer = "X-Customer"
	HeaderTimeout  = "Request-Timeout" // a duration with its unit, or seconds
	HeaderID       = "X-Request-Id"
)

const (
	// maxKey and maxCustomer bound what callers may name, in bytes.
	maxKey      = 255
	maxCustomer = 63
)

// An exchange is one caller's request on its way to its answer.
type exchange struct {
	in       *http.Request
	match    route.Match
	service  *dispatch.Service
	customer string
	key      string
	id       string
	deadline time.Time
	weight   float64
	head     []byte // the body, or its start
	whole    bool   // whether head is the whole body
	started  time.Time
	avoid    []pointport.InstanceID // upstreams that have failed this request
	grant    *dispatch.Grant        // the last one
	ran      Ran                    // what is known of the attempts so far
}

// repeatable reports whether the work may run more than once.
func (x *exchange) repeatable() bool {
	return x.match.Route().Repeatable
}

// claims reports whether the work needs a claim before it is sent.
func (x *exchange) claims() bool { return x.key != "" && !x.repeatable() }

// check reads what the caller asks for besides its body.
func (g *Gateway) check(r *http.Request) (*exchange, *Problem) {
	m, ok := g.table.Load().Find(r.Host, r.URL.Path, r.Method)
	if !ok {
		return nil, newProblem(http.StatusNotFound, outcomeBadRequest, RanNo, "no route",
			fmt.Sprintf("no template routes %s %s on host %q", r.Method, r.URL.Path, r.Host))
	}
	x := &exchange{in: r, match: m, started: g.clock.Now(), service: g.service(m.Template().Service)}
	if x.service == nil {
		return nil, newProblem(http.StatusServiceUnavailable, outcomeRefused, RanNo, "service not ready",
			"the service was just configured").after(time.Second)
	}
	for _, read := range []func(*http.Request) *Problem{x.readKey, x.readCustomer, x.readTimeout, x.readLength} {
		if p := read(r); p != nil {
			return nil, p
		}
	}
	x.id = r.Header.Get(HeaderID)
	if x.id == "" {
		x.id = uuid.NewString()
	}
	x.weight = g.weight(x.customer)
	return x, nil
}

func badHeader(name, value, reason string) *Problem {
	return newProblem(http.StatusBadRequest, outcomeBadRequest, RanNo, "bad request header",
		fmt.Sprintf("%s: %q: %s", name, value, reason))
}

func (x *exchange) readKey(r *http.Request) *Problem {
	values := r.Header.Values(HeaderKey)
	if len(values) > 1 {
		return badHeader(HeaderKey, values[1], "must be given once")
	}
	if len(values) == 0 {
		if x.match.Route().RequireKey {
			return badHeader(HeaderKey, "", "is required here, because the work may not be repeated")
		}
		return nil
	}
	x.key = values[0]
	if x.key == "" || len(x.key) > maxKey {
		return badHeader(HeaderKey, clip(x.key), fmt.Sprintf("must have from 1 to %d bytes", maxKey))
	}
	for _, c := range []byte(x.key) {
		if c <= ' ' || c > '~' {
			return badHeader(HeaderKey, x.key, "must be printable ASCII without spaces")
		}
	}
	return nil
}

func (x *exchange) readCustomer(r *http.Request) *Problem {
	x.customer = r.Header.Get(HeaderCustomer)
	if len(x.customer) > maxCustomer {
		return badHeader(HeaderCustomer, clip(x.customer), fmt.Sprintf("must not be longer than %d bytes", maxCustomer))
	}
	return nil
}

func (x *exchange) readTimeout(r *http.Request) *Problem {
	limit := x.match.Route().Timeout.Value()
	if v := r.Header.Get(HeaderTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if seconds, nerr := strconv.ParseFloat(v, 64); nerr == nil {
			d, err = time.Duration(seconds*float64(time.Second)), nil
		}
		if err != nil || d <= 0 {
			return badHeader(HeaderTimeout, clip(v), "must be a positive duration such as \"2.5s\", or seconds")
		}
		limit = min(limit, d)
	}
	x.deadline = x.started.Add(limit)
	return nil
}

func (x *exchange) readLength(r *http.Request) *Problem {
	if r.ContentLength > x.match.Route().MaxBody {
		return tooLarge(x.match.Route(), RanNo)
	}
	return nil
}

func tooLarge(r *config.Route, ran Ran) *Problem {
	return newProblem(http.StatusRequestEntityTooLarge, outcomeBadRequest, ran, "request body too large",
		fmt.Sprintf("the body may have %d bytes", r.MaxBody))
}

// clip shortens a value for a message.
func clip(s string) string {
	const most = 80
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}

// readBody reads the start of the body before an upstream is asked for, so
// that a slow caller holds none, and so that a short body can be sent again.
func (x *exchange) readBody(w http.ResponseWriter, r *http.Request) *Problem {
	r.Body = http.MaxBytesReader(w, r.Body, x.match.Route().MaxBody)
	limit := int64(x.match.Template().Retry.Buffer)
	head, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(x.match.Route(), RanNo)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newProblem(http.StatusRequestTimeout, outcomeTimeout, RanNo, "the request's body came too slowly",
			fmt.Sprintf("%d bytes came within %v", len(head), x.deadline.Sub(x.started)))
	case err != nil && r.Context().Err() != nil:
		return x.late(RanNo)
	case err != nil:
		return newProblem(http.StatusBadRequest, outcomeBadRequest, RanNo, "request body cut short", err.Error())
	}
	x.head, x.whole = head, int64(len(head)) <= limit
	return nil
}

// late is the refusal of a request whose time ran out.
func (x *exchange) late(ran Ran) *Problem {
	if x.in.Context().Err() != nil && !errors.Is(context.Cause(x.in.Context()), context.DeadlineExceeded) {
		return newProblem(statusGone, outcomeGone, ran, "the caller has gone", "")
	}
	return newProblem(http.StatusGatewayTimeout, outcomeTimeout, ran, "deadline passed",
		fmt.Sprintf("the request had %v", x.deadline.Sub(x.started)))
}

// statusGone stands in logs and metrics for callers that closed early.
const statusGone = 499

// body returns the request's body for one attempt. It is never a type that the
// transport knows how to send a second time.
func (x *exchange) body() *onceBody {
	if x.whole {
		return &onceBody{from: bytes.NewReader(x.head)}
	}
	return &onceBody{from: io.MultiReader(bytes.NewReader(x.head), x.in.Body)}
}

// length returns the body's length, or -1 if it is not known.
func (x *exchange) length() int64 {
	switch {
	case len(x.in.Trailer) > 0:
		return -1
	case x.whole:
		return int64(len(x.head))
	}
	return x.in.ContentLength
}

// An onceBody hides what it reads from, so that it cannot be rewound, and knows
// whether it has been read.
type onceBody struct {
	from io.Reader
	read atomic.Bool
}

// Read reads on.
func (b *onceBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.from.Read(p)
}

// Close does nothing: the server closes the caller's body.
func (*onceBody) Close() error { return nil }
