package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/dispatch"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/route"
)

// This file defines the gateway and the way of a request through it.

// backoff is the mean pause before the second attempt; it doubles with each.
const backoff = 5 * time.Millisecond

// takenRetryAfter is what a caller is told whose key is in progress.
const takenRetryAfter = 2 * time.Second

// storeRetryAfter is what a caller is told whose key could not be claimed.
const storeRetryAfter = 5 * time.Second

// A Claimer claims keys. It is what the gateway needs of a claim.Book.
type Claimer interface {
	Claim(ctx context.Context, key claim.Key) (claim.Ticket, error)
}

// A Gateway is the handler of callers' requests.
type Gateway struct {
	clock    pointport.Clock
	logger   *slog.Logger
	claims   Claimer
	zone     pointport.ZoneID
	share    func(pointport.ZoneID) int
	chooser  func() pointport.Chooser
	registry prometheus.Registerer
	metrics  *metrics

	table   atomic.Pointer[route.Table]
	weights atomic.Pointer[map[string]float64]

	mu       sync.RWMutex
	services map[string]*dispatch.Service
	peers    map[peerKey]*peer
}

var _ http.Handler = (*Gateway)(nil)

// An Option changes a Gateway.
type Option func(*Gateway)

// WithLogger sets where events go.
func WithLogger(l *slog.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithZone sets the availability zone of this entry instance.
func WithZone(z pointport.ZoneID) Option { return func(g *Gateway) { g.zone = z } }

// WithShare sets how many connections this entry instance may have to one
// upstream of an availability zone.
func WithShare(share func(pointport.ZoneID) int) Option { return func(g *Gateway) { g.share = share } }

// WithChooser sets the choice among upstreams, made anew for each service.
func WithChooser(c func() pointport.Chooser) Option { return func(g *Gateway) { g.chooser = c } }

// WithRegistry sets where metrics are registered.
func WithRegistry(r prometheus.Registerer) Option { return func(g *Gateway) { g.registry = r } }

// New returns a gateway without routes.
func New(clock pointport.Clock, claims Claimer, options ...Option) *Gateway {
	g := &Gateway{
		clock: clock, claims: claims, logger: slog.New(slog.DiscardHandler),
		registry: prometheus.NewRegistry(),
		services: make(map[string]*dispatch.Service),
		peers:    make(map[peerKey]*peer),
	}
	for _, o := range options {
		o(g)
	}
	g.metrics = newMetrics(g.registry)
	g.table.Store(route.New(nil))
	g.weights.Store(&map[string]float64{})
	return g
}

// Update puts templates, customers' weights and each service's targets in
// force. Requests that are under way go on by what they began with.
func (g *Gateway) Update(templates []*config.Template, weights map[string]float64, targets map[string][]dispatch.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.weights.Store(&weights)
	live := make(map[peerKey]pointport.Instance)
	named := make(map[string]bool)
	for _, t := range templates {
		named[t.Service] = true
		s := g.services[t.Service]
		if s == nil {
			s = g.newService(t)
			g.services[t.Service] = s
		}
		s.Update(t, targets[t.Service])
		for _, target := range targets[t.Service] {
			live[keyOf(target.Instance)] = target.Instance
		}
	}
	for name := range g.services {
		if !named[name] {
			delete(g.services, name)
		}
	}
	g.updatePeers(live)
	g.table.Store(route.New(templates))
}

func (g *Gateway) newService(t *config.Template) *dispatch.Service {
	options := []dispatch.Option{dispatch.WithZone(g.zone), dispatch.WithLogger(g.logger)}
	if g.share != nil {
		options = append(options, dispatch.WithShare(g.share))
	}
	if g.chooser != nil {
		options = append(options, dispatch.WithChooser(g.chooser()))
	}
	return dispatch.New(t.Service, g.clock, t, options...)
}

// updatePeers makes transports for new instances and lets go of old ones. An
// old one is kept while it has connections, so that an instance that comes back
// into the list is not given a second share of them.
func (g *Gateway) updatePeers(live map[peerKey]pointport.Instance) {
	for k, p := range g.peers {
		if _, ok := live[k]; ok {
			continue
		}
		p.transport.CloseIdleConnections()
		if p.conns() == 0 {
			delete(g.peers, k)
		}
	}
	for k, i := range live {
		if g.peers[k] == nil {
			g.peers[k] = newPeer(i, func() int { return g.connections(i.Zone) })
		}
	}
}

// connections returns how many connections an upstream of zone may get.
func (g *Gateway) connections(zone pointport.ZoneID) int {
	if g.share == nil {
		return maxIdle
	}
	return g.share(zone)
}

// TrimIdle closes unused connections to the upstreams of zone, after this
// entry instance's share of them has fallen.
func (g *Gateway) TrimIdle(zone pointport.ZoneID) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, p := range g.peers {
		if p.instance.Zone == zone {
			p.transport.CloseIdleConnections()
		}
	}
}

// MostConnections returns the most connections that any upstream of zone has
// from this entry instance.
func (g *Gateway) MostConnections(zone pointport.ZoneID) int {
	g.mu.RLock()
	defer g.mu.RUnlock()
	most := 0
	for _, p := range g.peers {
		if p.instance.Zone == zone {
			most = max(most, p.conns())
		}
	}
	return most
}

// Pressed returns when a request last found no upstream with room.
func (g *Gateway) Pressed() time.Time {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var last time.Time
	for _, s := range g.services {
		if at := s.Pressed(); at.After(last) {
			last = at
		}
	}
	return last
}

// Status returns the state of every service.
func (g *Gateway) Status() []dispatch.Status {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var out []dispatch.Status
	for _, s := range g.services {
		out = append(out, s.Status())
	}
	return out
}

func (g *Gateway) service(name string) *dispatch.Service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.services[name]
}

func (g *Gateway) peer(i pointport.Instance) *peer {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.peers[keyOf(i)]
}

func (g *Gateway) weight(customer string) float64 {
	if w, ok := (*g.weights.Load())[customer]; ok {
		return w
	}
	return 1
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.inFlight.Inc()
	defer g.metrics.inFlight.Dec()
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
	Settle(s claim.State, status int)
}

var (
	_ ticket = claim.Ticket{}
	_ ticket = noTicket{}
)

// A noTicket is the ticket of a request that needs no claim.
type noTicket struct{}

// Settle does nothing.
func (noTicket) Settle(claim.State, int) {}

// claim claims the request's key. Nothing has been sent by then, so every
// refusal is honest in saying that this request did not run.
func (g *Gateway) claim(ctx context.Context, x *exchange) (ticket, *Problem) {
	if err := x.service.Probe(x.request()); err != nil {
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
	case dispatch.ReasonGone:
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
			t.Settle(claim.Released, 0)
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
		x.service.Leave(grant.Instance().ID)
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
		// No byte was sent, so the body is whole or was never read.
		safe = true
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
		t.Settle(claim.Released, 0)
		if x.in.Context().Err() != nil || a.peer != nil && errors.Is(a.err, context.DeadlineExceeded) {
			return g.refuse(w, x, x.late(RanNo))
		}
		return g.refuse(w, x, newProblem(http.StatusServiceUnavailable, outcomeNotRun, RanNo,
			"the upstream could not be reached", a.err.Error()).after(time.Second))
	case endNotRun:
		t.Settle(claim.Released, 0)
		return g.refuse(w, x, newProblem(http.StatusServiceUnavailable, outcomeNotRun, RanNo,
			"the upstream did not run the request", "").after(time.Second))
	case endUnknown:
		t.Settle(claim.Unknown, 0)
		if x.in.Context().Err() != nil || errors.Is(a.err, context.DeadlineExceeded) {
			return g.refuse(w, x, x.late(RanUnknown))
		}
		return g.refuse(w, x, newProblem(http.StatusBadGateway, outcomeUnknown, RanUnknown,
			"the upstream failed", a.err.Error()))
	}
	t.Settle(claim.Ran, a.answer.StatusCode)
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
	event.AnswerCut.Log(g.logger, slog.String("service", x.match.Template().Service),
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
