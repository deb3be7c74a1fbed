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

// This file defines the way of a request through the gateway.

// backoff is the mean pause before the second attempt; it doubles with each.
const backoff = 5 * time.Millisecond

// writeGrace is how long after its deadline an answer may still be written, so
// that a caller can be told that the deadline has passed.
const writeGrace = time.Second

// takenRetryAfter is what a caller is told whose key is in progress.
const takenRetryAfter = 2 * time.Second

// storeRetryAfter is what a caller is told whose key could not be claimed.
const storeRetryAfter = 5 * time.Second

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.inFlight.Inc()
	defer g.metrics.inFlight.Dec()
	// A connection that is used again must not keep the last request's deadlines.
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Time{})
	x, problem := g.check(r)
	if problem != nil {
		g.finish("", problem.outcome, 0)
		problem.write(w)
		return
	}
	name := x.match.Template().Service
	defer g.recoverBroken(x)
	result := g.serve(w, x)
	g.finish(name, result, g.clock.Now().Sub(x.started))
}

// recoverBroken ends the count of a request whose handler panics, and lets the
// panic go on. A panic with http.ErrAbortHandler is how a cut answer is told to
// the caller; see passOn.
func (g *Gateway) recoverBroken(x *exchange) {
	v := recover()
	if v == nil {
		return
	}
	if x.grant != nil {
		x.grant.End(dispatch.Abandoned, 0)
	}
	g.finish(x.match.Template().Service, outcomeCut, g.clock.Now().Sub(x.started))
	if v != http.ErrAbortHandler {
		event.HandlerPanic.Log(g.logger, slog.String("request", x.id), slog.Any("panic", v))
	}
	panic(v)
}

func (g *Gateway) finish(service string, o outcome, d time.Duration) {
	g.metrics.requests.WithLabelValues(service, string(o)).Inc()
	if service != "" {
		g.metrics.seconds.WithLabelValues(service).Observe(d.Seconds())
	}
}

// serve takes a checked request to its end.
func (g *Gateway) serve(w http.ResponseWriter, x *exchange) outcome {
	ctx, cancel := context.WithTimeout(x.in.Context(), x.deadline.Sub(g.clock.Now()))
	defer cancel()
	// A caller that does not take its answer must not hold an upstream.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(x.deadline.Sub(g.clock.Now()) + writeGrace))
	if problem := g.readBody(w, x); problem != nil {
		return g.refuse(w, x, problem)
	}
	if !x.claims() {
		return g.try(ctx, w, x, noTicket{})
	}
	ticket, problem := g.claim(ctx, x)
	if problem != nil {
		return g.refuse(w, x, problem)
	}
	return g.try(ctx, w, x, ticket)
}

func (g *Gateway) readBody(w http.ResponseWriter, x *exchange) *Problem {
	// A body that comes too slowly ends with the request's deadline.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(x.deadline.Sub(g.clock.Now())))
	problem := x.readBody(w, x.in)
	if x.whole {
		_ = control.SetReadDeadline(time.Time{})
	}
	return problem
}

// refuse sends a refusal. An earlier attempt may have run even if the last did
// not. It is sent also when the caller seems to have gone: a handler that sends
// nothing would leave an empty answer that looks whole.
func (g *Gateway) refuse(w http.ResponseWriter, x *exchange, p *Problem) outcome {
	if p.Ran == RanNo && x.ran == RanUnknown {
		p.Ran = RanUnknown
	}
	p.write(w)
	return p.outcome
}

// A ticket settles the claim of a request, if it has one.
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

// claim claims the request's key. Nothing has been sent by then, so every
// refusal is honest in saying that this request did not run.
func (g *Gateway) claim(ctx context.Context, x *exchange) (ticket, *Problem) {
	if err := x.service.CheckAdmission(x.request()); err != nil {
		return nil, refusal(err)
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
		return nil, x.late(RanNo)
	}
	return nil, newProblem(http.StatusServiceUnavailable, outcomeStoreDown, RanNo, "the key cannot be claimed now",
		"work that may not be repeated is not run while its key cannot be claimed").after(storeRetryAfter)
}

func takenProblem(t *claim.TakenError) *Problem {
	p := newProblem(http.StatusConflict, outcomeTaken, RanUnknown, "the key was used before", t.Error())
	switch t.State {
	case claim.Ran:
		p.Ran, p.EarlierStatus = RanYes, t.Status
	case claim.InProgress:
		p.after(takenRetryAfter)
	}
	return p
}

// request is what the service needs to know.
func (x *exchange) request() dispatch.Request {
	return dispatch.Request{
		Customer: x.customer, Weight: x.weight, Priority: x.match.Route().Priority,
		Deadline: x.deadline, Avoid: x.avoid,
	}
}

// refusal turns a service's refusal into the caller's.
func refusal(err error) *Problem {
	var refused *dispatch.RefusedError
	if !errors.As(err, &refused) {
		panic("gateway: a service refused with " + err.Error())
	}
	switch refused.Reason {
	case dispatch.ReasonCallerGone:
		return newProblem(statusGone, outcomeGone, RanNo, string(refused.Reason), "")
	case dispatch.ReasonDeadline:
		return newProblem(http.StatusGatewayTimeout, outcomeTimeout, RanNo, string(refused.Reason), "").after(refused.RetryAfter)
	}
	return newProblem(http.StatusServiceUnavailable, outcomeRefused, RanNo, string(refused.Reason), "").after(refused.RetryAfter)
}

// try attempts the request until it has an answer, or must not or cannot be
// attempted again.
func (g *Gateway) try(ctx context.Context, w http.ResponseWriter, x *exchange, t ticket) outcome {
	for n := 1; ; n++ {
		grant, err := x.service.Acquire(ctx, x.request())
		if err != nil {
			t.RecordOutcome(claim.Released, 0)
			return g.refuse(w, x, refusal(err))
		}
		x.grant = grant
		a := g.attempt(ctx, x, grant)
		if a.end == endUnknown || a.end == endAnswered {
			x.ran = RanUnknown
		}
		if g.mayRetry(ctx, x, a, n) {
			x.avoid = append(x.avoid, grant.Instance().ID)
			g.pause(ctx, n)
			continue
		}
		return g.conclude(w, x, a, t)
	}
}

// attempt sends the request to the granted upstream. The grant has ended when
// it returns, unless an answer has still to be passed on.
func (g *Gateway) attempt(ctx context.Context, x *exchange, grant *dispatch.Grant) *attempt {
	a := &attempt{x: x, grant: grant, peer: g.peer(grant.Instance())}
	if a.peer == nil {
		// The instance was taken out between the grant and now.
		a.end, a.err = endUnsent, &pointport.NotFoundError{Kind: "instance", Name: string(grant.Instance().ID)}
		grant.End(dispatch.Abandoned, 0)
		return a
	}
	a.send(ctx)
	g.metrics.attempts.WithLabelValues(x.match.Template().Service, a.end.String()).Inc()
	if a.answer != nil && a.answer.Header.Get(x.match.Template().Upstream.LeavingHeader) != "" {
		x.service.MarkLeaving(grant.Instance().ID)
	}
	if a.end != endAnswered || a.whole || a.err != nil {
		grant.End(a.outcome(ctx), 0)
	}
	return a
}

// outcome is what the attempt says of the upstream.
func (a *attempt) outcome(ctx context.Context) dispatch.Outcome {
	switch {
	case a.end == endNotRun:
		return dispatch.NotRun
	case a.err != nil && a.x.gone():
		return dispatch.Abandoned
	case a.end == endUnsent && ctx.Err() != nil:
		return dispatch.Abandoned
	case a.err != nil || failedStatus(a.answer.StatusCode):
		return dispatch.Failed
	}
	return dispatch.Succeeded
}

// mayRetry decides whether the request is attempted once more.
func (g *Gateway) mayRetry(ctx context.Context, x *exchange, a *attempt, n int) bool {
	if ctx.Err() != nil || n >= x.match.Template().Retry.MaxAttempts {
		return false
	}
	safe := false
	switch a.end {
	case endUnsent:
		// No byte was sent, but the transport may have looked into the body.
		safe = x.whole || a.body == nil || !a.body.read.Load()
	case endNotRun:
		safe = x.whole && (x.repeatable() || x.claims())
	case endUnknown:
		safe = x.whole && x.repeatable()
	case endAnswered:
		bad := a.err != nil || failedStatus(a.answer.StatusCode)
		held := a.whole || a.err != nil
		safe = bad && held && x.whole && x.repeatable()
	}
	return safe && x.service.TakeRetry()
}

// pause waits a little, by chance, before attempt n+1.
func (g *Gateway) pause(ctx context.Context, n int) {
	d := backoff << (n - 1)
	select {
	case <-g.clock.After(time.Duration(rand.Int64N(int64(2 * d)))):
	case <-ctx.Done():
	}
}

// conclude gives the caller what the last attempt came to.
func (g *Gateway) conclude(w http.ResponseWriter, x *exchange, a *attempt, t ticket) outcome {
	switch a.end {
	case endUnsent:
		t.RecordOutcome(claim.Released, 0)
		if x.in.Context().Err() != nil || a.peer != nil && errors.Is(a.err, context.DeadlineExceeded) {
			return g.refuse(w, x, x.late(RanNo))
		}
		return g.refuse(w, x, newProblem(http.StatusServiceUnavailable, outcomeNotRun, RanNo,
			"the upstream could not be reached", a.err.Error()).after(time.Second))
	case endNotRun:
		t.RecordOutcome(claim.Released, 0)
		return g.refuse(w, x, newProblem(http.StatusServiceUnavailable, outcomeNotRun, RanNo,
			"the upstream did not run the request", "").after(time.Second))
	case endUnknown:
		t.RecordOutcome(claim.Unknown, 0)
		if x.in.Context().Err() != nil || errors.Is(a.err, context.DeadlineExceeded) {
			return g.refuse(w, x, x.late(RanUnknown))
		}
		return g.refuse(w, x, newProblem(http.StatusBadGateway, outcomeUnknown, RanUnknown,
			"the upstream failed", a.err.Error()))
	}
	t.RecordOutcome(claim.Ran, a.answer.StatusCode)
	return g.passOn(w, x, a)
}

// passOn sends an upstream's answer to the caller.
func (g *Gateway) passOn(w http.ResponseWriter, x *exchange, a *attempt) outcome {
	if a.err != nil || a.unframed() && !x.match.Route().AllowUnframed {
		return g.refuseAnswer(w, x, a)
	}
	a.relayHead(w)
	err := a.relayBody(w)
	if a.whole {
		return outcomeAnswered
	}
	var caller *errCaller
	switch {
	case err == nil:
		a.grant.End(a.outcome(x.in.Context()), 0)
		return outcomeAnswered
	case errors.As(err, &caller) || x.gone():
		a.grant.End(dispatch.Abandoned, 0)
		panic(http.ErrAbortHandler)
	}
	a.grant.End(dispatch.Failed, 0)
	event.AnswerTruncated.Log(g.logger, slog.String("service", x.match.Template().Service),
		slog.String("instance", string(a.grant.Instance().ID)), slog.String("request", x.id), slog.Any("error", err))
	panic(http.ErrAbortHandler)
}

// refuseAnswer refuses in place of an answer of which nothing was passed on.
func (g *Gateway) refuseAnswer(w http.ResponseWriter, x *exchange, a *attempt) outcome {
	if a.err == nil {
		_ = a.answer.Body.Close()
		a.grant.End(dispatch.Abandoned, 0)
		return g.refuse(w, x, newProblem(http.StatusBadGateway, outcomeCut, RanUnknown, "the answer has no end",
			"the upstream's answer has neither a length nor chunks, so a cut could not be told"))
	}
	return g.refuse(w, x, newProblem(http.StatusBadGateway, outcomeCut, RanUnknown,
		"the upstream's answer was cut short", fmt.Sprintf("after %d bytes: %v", len(a.held), a.err)))
}
