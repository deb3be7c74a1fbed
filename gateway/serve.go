package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/dispatch"
	"github.com/pointport/pointport/event"
)

// This file defines how the gateway serves a request, from its checks to its
// answer.

// baseBackoff is the mean pause before the second attempt. It doubles with each
// further attempt.
const baseBackoff = 5 * time.Millisecond

// writeGrace is how long after a request's deadline its answer may still be
// written, so that the caller receives the refusal when the deadline has passed.
const writeGrace = time.Second

// takenRetryAfter is the Retry-After for a request whose key is in progress.
const takenRetryAfter = 2 * time.Second

// storeRetryAfter is the Retry-After for a request whose key could not be claimed.
const storeRetryAfter = 5 * time.Second

// ServeHTTP routes a request to an upstream of its service, and writes the
// upstream's answer or a refusal.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.inFlight.Inc()
	defer g.metrics.inFlight.Dec()
	// A connection that is reused must not keep the deadlines of its last request.
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Time{})
	x, problem := g.newExchange(r)
	if problem != nil {
		g.recordMetrics("", problem.outcome, 0)
		problem.writeTo(w)
		return
	}
	name := x.match.Template().Service
	defer g.recoverPanic(x)
	result := g.serve(w, x)
	g.recordMetrics(name, result, g.clock.Now().Sub(x.started))
}

// recoverPanic releases the grant and records the metrics of a request whose
// handler panics, and panics again. The panic http.ErrAbortHandler is expected: it
// breaks the caller's connection when an answer was cut short; see relay.
func (g *Gateway) recoverPanic(x *exchange) {
	v := recover()
	if v == nil {
		return
	}
	if x.grant != nil {
		x.grant.End(dispatch.Abandoned, 0)
	}
	g.recordMetrics(x.match.Template().Service, outcomeCutShort, g.clock.Now().Sub(x.started))
	if v != http.ErrAbortHandler {
		event.HandlerPanic.Log(g.logger, slog.String("request", x.id), slog.Any("panic", v))
	}
	panic(v)
}

// recordMetrics counts a request and its duration. The service is empty if none was
// found.
func (g *Gateway) recordMetrics(service string, o outcome, d time.Duration) {
	g.metrics.requests.WithLabelValues(service, string(o)).Inc()
	if service != "" {
		g.metrics.seconds.WithLabelValues(service).Observe(d.Seconds())
	}
}

// serve reads the request's body, claims its key if needed, and sends it to an
// upstream. It returns the outcome once the answer or refusal is written.
func (g *Gateway) serve(w http.ResponseWriter, x *exchange) outcome {
	ctx, cancel := context.WithTimeout(x.in.Context(), x.deadline.Sub(g.clock.Now()))
	defer cancel()
	// A caller that does not read its answer must not occupy an upstream.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(x.deadline.Sub(g.clock.Now()) + writeGrace))
	if problem := g.readBody(w, x); problem != nil {
		return g.refuse(w, x, problem)
	}
	if !x.needsClaim() {
		return g.serveWithRetries(ctx, w, x, noTicket{})
	}
	ticket, problem := g.claim(ctx, x)
	if problem != nil {
		return g.refuse(w, x, problem)
	}
	return g.serveWithRetries(ctx, w, x, ticket)
}

// readBody reads the start of the body under the request's deadline.
func (g *Gateway) readBody(w http.ResponseWriter, x *exchange) *Problem {
	// Reading a slow body ends at the request's deadline.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(x.deadline.Sub(g.clock.Now())))
	problem := x.readBody(w, x.in)
	if x.bodyComplete {
		_ = control.SetReadDeadline(time.Time{})
	}
	return problem
}

// refuse writes a refusal. Its ran is changed to unknown if an earlier attempt may
// have run, even if the last one did not. The refusal is written even if the caller
// seems to have gone: a handler that writes nothing produces an empty answer that
// looks complete.
func (g *Gateway) refuse(w http.ResponseWriter, x *exchange, p *Problem) outcome {
	if p.Ran == RanNo && x.ran == RanUnknown {
		p.Ran = RanUnknown
	}
	p.writeTo(w)
	return p.outcome
}

// A ticket records the outcome of a request's claim. It is implemented by
// claim.Ticket, and by noTicket for requests without a claim.
type ticket interface {
	RecordOutcome(s claim.State, status int)
}

var (
	_ ticket = claim.Ticket{}
	_ ticket = noTicket{}
)

// A noTicket is the ticket of a request that needs no claim.
type noTicket struct{}

// RecordOutcome does nothing.
func (noTicket) RecordOutcome(claim.State, int) {}

// claim claims the request's key. Nothing has been sent to an upstream at that
// point, so a refusal can state that this request did not run.
func (g *Gateway) claim(ctx context.Context, x *exchange) (ticket, *Problem) {
	if err := x.service.CheckAdmission(x.dispatchRequest()); err != nil {
		return nil, dispatchProblem(err)
	}
	key := claim.NewKey(x.match.Template().Service, x.customer, x.key)
	t, err := g.claims.Claim(ctx, key)
	var taken *claim.TakenError
	switch {
	case err == nil:
		return t, nil
	case errors.As(err, &taken):
		return nil, takenProblem(taken)
	case ctx.Err() != nil:
		return nil, x.contextProblem(RanNo)
	}
	return nil, newProblem(http.StatusServiceUnavailable, outcomeStoreDown, RanNo, "the key cannot be claimed now",
		"work that may not be repeated is not run while its key cannot be claimed").withRetryAfter(storeRetryAfter)
}

// takenProblem returns the refusal for a key that is already claimed.
func takenProblem(t *claim.TakenError) *Problem {
	p := newProblem(http.StatusConflict, outcomeKeyTaken, RanUnknown, "the key was used before", t.Error())
	switch t.State {
	case claim.Ran:
		p.Ran, p.EarlierStatus = RanYes, t.Status
	case claim.InProgress:
		p.withRetryAfter(takenRetryAfter)
	}
	return p
}

// dispatchRequest returns the request in the form that the service needs.
func (x *exchange) dispatchRequest() dispatch.Request {
	return dispatch.Request{
		Customer: x.customer, Weight: x.weight, Priority: x.match.Route().Priority,
		Deadline: x.deadline, Avoid: x.avoid,
	}
}

// dispatchProblem returns the refusal to the caller for a refusal by the service. It
// panics if err is not a *dispatch.RefusedError.
func dispatchProblem(err error) *Problem {
	var refused *dispatch.RefusedError
	if !errors.As(err, &refused) {
		panic("gateway: unexpected error from a service: " + err.Error())
	}
	switch refused.Reason {
	case dispatch.ReasonCallerGone:
		return newProblem(statusClientClosed, outcomeCallerGone, RanNo, string(refused.Reason), "")
	case dispatch.ReasonDeadline:
		return newProblem(http.StatusGatewayTimeout, outcomeTimeout, RanNo, string(refused.Reason), "").withRetryAfter(refused.RetryAfter)
	}
	return newProblem(http.StatusServiceUnavailable, outcomeRefused, RanNo, string(refused.Reason), "").withRetryAfter(refused.RetryAfter)
}

// serveWithRetries sends the request to an upstream, and retries it until it is
// answered, or a retry is unsafe or not possible.
func (g *Gateway) serveWithRetries(ctx context.Context, w http.ResponseWriter, x *exchange, t ticket) outcome {
	for n := 1; ; n++ {
		grant, err := x.service.Acquire(ctx, x.dispatchRequest())
		if err != nil {
			t.RecordOutcome(claim.Released, 0)
			return g.refuse(w, x, dispatchProblem(err))
		}
		x.grant = grant
		a := g.attempt(ctx, x, grant)
		if a.end == endUnknown || a.end == endAnswered {
			x.ran = RanUnknown
		}
		if g.mayRetry(ctx, x, a, n) {
			x.avoid = append(x.avoid, grant.Instance().ID)
			g.backOff(ctx, n)
			continue
		}
		return g.respond(w, x, a, t)
	}
}

// attempt sends the request to the granted upstream. It ends the grant before it
// returns, unless the body of an answer remains to be forwarded.
func (g *Gateway) attempt(ctx context.Context, x *exchange, grant *dispatch.Grant) *attempt {
	a := &attempt{exchange: x, grant: grant, upstream: g.upstreamOf(grant.Instance())}
	if a.upstream == nil {
		// The instance was removed after the grant was made.
		a.end, a.err = endUnsent, &pointport.NotFoundError{Kind: "instance", Name: string(grant.Instance().ID)}
		grant.End(dispatch.Abandoned, 0)
		return a
	}
	a.send(ctx)
	g.metrics.attempts.WithLabelValues(x.match.Template().Service, a.end.String()).Inc()
	if a.answer != nil && a.answer.Header.Get(x.match.Template().Upstream.LeavingHeader) != "" {
		x.service.MarkLeaving(grant.Instance().ID)
	}
	if a.end != endAnswered || a.complete || a.err != nil {
		grant.End(a.outcome(ctx), 0)
	}
	return a
}

// outcome returns the result of the attempt as it counts for the upstream.
func (a *attempt) outcome(ctx context.Context) dispatch.Outcome {
	switch {
	case a.end == endNotRun:
		return dispatch.NotRun
	case a.err != nil && a.exchange.callerGone():
		return dispatch.Abandoned
	case a.end == endUnsent && ctx.Err() != nil:
		return dispatch.Abandoned
	case a.err != nil || failedStatus(a.answer.StatusCode):
		return dispatch.Failed
	}
	return dispatch.Succeeded
}

// mayRetry reports whether the request is attempted again after attempt n: whether
// that is safe, and time, attempts and the service's retry budget are left. If so,
// it takes the retry from the budget.
func (g *Gateway) mayRetry(ctx context.Context, x *exchange, a *attempt, n int) bool {
	if ctx.Err() != nil || n >= x.match.Template().Retry.MaxAttempts {
		return false
	}
	safe := false
	switch a.end {
	case endUnsent:
		// No byte was sent, but the transport may have read from the body.
		safe = x.bodyComplete || a.requestBody == nil || !a.requestBody.wasRead.Load()
	case endNotRun:
		safe = x.bodyComplete && (x.repeatable() || x.needsClaim())
	case endUnknown:
		safe = x.bodyComplete && x.repeatable()
	case endAnswered:
		failed := a.err != nil || failedStatus(a.answer.StatusCode)
		buffered := a.complete || a.err != nil
		safe = failed && buffered && x.bodyComplete && x.repeatable()
	}
	return safe && x.service.TakeRetry()
}

// backOff waits before attempt n+1, for a random time with a mean of baseBackoff
// that doubles with each attempt.
func (g *Gateway) backOff(ctx context.Context, n int) {
	d := baseBackoff << (n - 1)
	select {
	case <-g.clock.After(time.Duration(rand.Int64N(int64(2 * d)))):
	case <-ctx.Done():
	}
}

// respond records the outcome of the request's claim, and writes the answer or the
// refusal that the last attempt resulted in.
func (g *Gateway) respond(w http.ResponseWriter, x *exchange, a *attempt, t ticket) outcome {
	switch a.end {
	case endUnsent:
		t.RecordOutcome(claim.Released, 0)
		if x.in.Context().Err() != nil || a.upstream != nil && errors.Is(a.err, context.DeadlineExceeded) {
			return g.refuse(w, x, x.contextProblem(RanNo))
		}
		return g.refuse(w, x, newProblem(http.StatusServiceUnavailable, outcomeNotRun, RanNo,
			"the upstream could not be reached", a.err.Error()).withRetryAfter(time.Second))
	case endNotRun:
		t.RecordOutcome(claim.Released, 0)
		return g.refuse(w, x, newProblem(http.StatusServiceUnavailable, outcomeNotRun, RanNo,
			"the upstream did not run the request", "").withRetryAfter(time.Second))
	case endUnknown:
		t.RecordOutcome(claim.Unknown, 0)
		if x.in.Context().Err() != nil || errors.Is(a.err, context.DeadlineExceeded) {
			return g.refuse(w, x, x.contextProblem(RanUnknown))
		}
		return g.refuse(w, x, newProblem(http.StatusBadGateway, outcomeUnknown, RanUnknown,
			"the upstream failed", a.err.Error()))
	}
	t.RecordOutcome(claim.Ran, a.answer.StatusCode)
	return g.relay(w, x, a)
}

// relay forwards an upstream's answer to the caller. If the answer is cut short after
// some of it was forwarded, or cannot be written to the caller, it breaks the caller's
// connection by a panic with http.ErrAbortHandler, so that the answer does not look
// complete.
func (g *Gateway) relay(w http.ResponseWriter, x *exchange, a *attempt) outcome {
	if a.err != nil || a.unframed() && !x.match.Route().AllowUnframed {
		return g.refuseBrokenAnswer(w, x, a)
	}
	a.relayHead(w)
	err := a.relayBody(w)
	var callerErr *callerError
	switch {
	case err == nil && a.complete:
		return outcomeAnswered // the grant has ended
	case err == nil:
		a.grant.End(a.outcome(x.in.Context()), 0)
		return outcomeAnswered
	case errors.As(err, &callerErr) || x.callerGone():
		a.grant.End(dispatch.Abandoned, 0)
		panic(http.ErrAbortHandler)
	}
	a.grant.End(dispatch.Failed, 0)
	event.AnswerTruncated.Log(g.logger, slog.String("service", x.match.Template().Service),
		slog.String("instance", string(a.grant.Instance().ID)), slog.String("request", x.id), slog.Any("error", err))
	panic(http.ErrAbortHandler)
}

// refuseBrokenAnswer writes a refusal instead of an answer of which nothing was
// forwarded, because it was cut short or its end cannot be recognized.
func (g *Gateway) refuseBrokenAnswer(w http.ResponseWriter, x *exchange, a *attempt) outcome {
	if a.err == nil {
		_ = a.answer.Body.Close()
		a.grant.End(dispatch.Abandoned, 0)
		return g.refuse(w, x, newProblem(http.StatusBadGateway, outcomeCutShort, RanUnknown, "the answer has no end",
			"the upstream's answer has neither a length nor chunks, so a cut could not be told"))
	}
	return g.refuse(w, x, newProblem(http.StatusBadGateway, outcomeCutShort, RanUnknown,
		"the upstream's answer was cut short", fmt.Sprintf("after %d bytes: %v", len(a.buffered), a.err)))
}
