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

// This file defines an exchange, which is a checked request of a caller.

// Headers that callers may set.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderCustomer = "X-Customer"
	HeaderTimeout  = "Request-Timeout" // a duration such as "2.5s", or a number of seconds
	HeaderID       = "X-Request-Id"
)

const (
	// maxKey and maxCustomer bound the length of the headers with the idempotency
	// key and the customer's name, in bytes.
	maxKey      = 255
	maxCustomer = 63
)

// An exchange is one request of a caller that has passed the checks, and the state
// of its attempts.
type exchange struct {
	in           *http.Request
	match        route.Match
	service      *dispatch.Service
	customer     string
	key          string
	id           string
	deadline     time.Time
	weight       float64
	bodyStart    []byte // the start of the body, up to the retry buffer
	bodyComplete bool   // whether bodyStart is the whole body
	started      time.Time
	avoid        []pointport.InstanceID // upstreams that have failed this request
	grant        *dispatch.Grant        // of the last attempt
	ran          Ran                    // whether an attempt so far may have run
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.match.Route().Repeatable
}

// needsClaim reports whether the request's key must be claimed before it is sent.
func (x *exchange) needsClaim() bool { return x.key != "" && !x.repeatable() }

// newExchange finds the route of a request and checks its headers. It returns a
// Problem if the request cannot be served.
func (g *Gateway) newExchange(r *http.Request) (*exchange, *Problem) {
	m, ok := g.table.Load().Find(r.Host, r.URL.Path, r.Method)
	if !ok {
		return nil, newProblem(http.StatusNotFound, outcomeBadRequest, RanNo, "no route",
			fmt.Sprintf("no template routes %s %s on host %q", r.Method, r.URL.Path, r.Host))
	}
	x := &exchange{in: r, match: m, started: g.clock.Now(), service: g.service(m.Template().Service)}
	if x.service == nil {
		return nil, newProblem(http.StatusServiceUnavailable, outcomeRefused, RanNo, "service not ready",
			"the service was just configured").withRetryAfter(time.Second)
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

// badHeader returns the refusal for a header with an invalid value.
func badHeader(name, value, reason string) *Problem {
	return newProblem(http.StatusBadRequest, outcomeBadRequest, RanNo, "bad request header",
		fmt.Sprintf("%s: %q: %s", name, value, reason))
}

// readKey reads and checks the idempotency key.
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
		return badHeader(HeaderKey, truncate(x.key), fmt.Sprintf("must have from 1 to %d bytes", maxKey))
	}
	for _, c := range []byte(x.key) {
		if c <= ' ' || c > '~' {
			return badHeader(HeaderKey, x.key, "must be printable ASCII without spaces")
		}
	}
	return nil
}

// readCustomer reads and checks the customer's name.
func (x *exchange) readCustomer(r *http.Request) *Problem {
	x.customer = r.Header.Get(HeaderCustomer)
	if len(x.customer) > maxCustomer {
		return badHeader(HeaderCustomer, truncate(x.customer), fmt.Sprintf("must not be longer than %d bytes", maxCustomer))
	}
	return nil
}

// readTimeout sets the deadline from the route's timeout and the caller's, whichever
// is shorter.
func (x *exchange) readTimeout(r *http.Request) *Problem {
	limit := x.match.Route().Timeout.Value()
	if v := r.Header.Get(HeaderTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if seconds, nerr := strconv.ParseFloat(v, 64); nerr == nil {
			// A longer timeout than the route's has no effect, and might overflow.
			d, err = time.Duration(min(seconds*float64(time.Second), float64(limit))), nil
		}
		if err != nil || d <= 0 {
			return badHeader(HeaderTimeout, truncate(v), "must be a positive duration such as \"2.5s\", or seconds")
		}
		limit = min(limit, d)
	}
	x.deadline = x.started.Add(limit)
	return nil
}

// readLength checks the declared length of the body.
func (x *exchange) readLength(r *http.Request) *Problem {
	if r.ContentLength > x.match.Route().MaxBody {
		return tooLarge(x.match.Route(), RanNo)
	}
	return nil
}

// tooLarge returns the refusal for a body above the route's limit.
func tooLarge(r *config.Route, ran Ran) *Problem {
	return newProblem(http.StatusRequestEntityTooLarge, outcomeBadRequest, ran, "request body too large",
		fmt.Sprintf("the body may have %d bytes", r.MaxBody))
}

// truncate shortens a value for an error message.
func truncate(s string) string {
	const maxLen = 80
	if len(s) > maxLen {
		return s[:maxLen] + "..."
	}
	return s
}

// readBody reads the start of the body before an upstream is acquired, so that a
// slow caller does not occupy an upstream, and so that a short body can be sent
// again in a retry.
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
		return x.contextProblem(RanNo)
	case err != nil:
		return newProblem(http.StatusBadRequest, outcomeBadRequest, RanNo, "request body cut short", err.Error())
	}
	x.bodyStart, x.bodyComplete = head, int64(len(head)) <= limit
	return nil
}

// contextProblem returns the refusal of a request whose context has ended: because
// the caller has gone, or else because the deadline passed.
func (x *exchange) contextProblem(ran Ran) *Problem {
	if x.in.Context().Err() != nil && !errors.Is(context.Cause(x.in.Context()), context.DeadlineExceeded) {
		return newProblem(statusClientClosed, outcomeCallerGone, ran, "the caller has gone", "")
	}
	return newProblem(http.StatusGatewayTimeout, outcomeTimeout, ran, "deadline passed",
		fmt.Sprintf("the request had %v", x.deadline.Sub(x.started)))
}

// statusClientClosed is the non-standard status, for logs and metrics, of a request
// whose caller closed its connection early.
const statusClientClosed = 499

// newBody returns the request's body for one attempt. It is always a type that
// http.Transport cannot rewind, so that the transport does not retry by itself.
func (x *exchange) newBody() *singleUseBody {
	if x.bodyComplete {
		return &singleUseBody{reader: bytes.NewReader(x.bodyStart)}
	}
	return &singleUseBody{reader: io.MultiReader(bytes.NewReader(x.bodyStart), x.in.Body)}
}

// bodyLength returns the Content-Length to send, or -1 if it is unknown. Requests
// with trailers are sent in chunks, so they have none.
func (x *exchange) bodyLength() int64 {
	switch {
	case len(x.in.Trailer) > 0:
		return -1
	case x.bodyComplete:
		return int64(len(x.bodyStart))
	}
	return x.in.ContentLength
}

// A singleUseBody is a request body that hides the type of its reader, so that
// http.Transport cannot rewind it. It records whether it has been read from.
type singleUseBody struct {
	reader  io.Reader
	wasRead atomic.Bool
}

// Read reads from the underlying reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	b.wasRead.Store(true)
	return b.reader.Read(p)
}

// Close does nothing, because the HTTP server closes the caller's body.
func (*singleUseBody) Close() error { return nil }
