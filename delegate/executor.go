package delegate

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
)

// This file defines the Executor that sends orders through delegates.

const (
	// orderTimeout is the time within which an order must have a result. An instance has
	// 0.4 s to answer, and the round trip to the delegate takes a few milliseconds.
	orderTimeout = 500 * time.Millisecond
	// candidatesInterval is the time between two queries for members that may be delegates.
	// Ranking 300 members for each order took three quarters of a core at 2,000 orders a
	// second.
	candidatesInterval = 500 * time.Millisecond
	// avoidTime is for how long a delegate is not used after its stream was lost.
	avoidTime = 3 * time.Second
	// maxDelegates is how many delegates an owner has. An owner whose link carries the orders
	// of 29 jobs a second had all of 55 jobs a second served with four delegates, and each
	// of their links carried less than the owner's link had before.
	maxDelegates = 4
)

// Candidates returns at most the given number of members that may be delegates, the most
// suitable first.
type Candidates func(most int) []member.Member

// An Executor sends orders through delegates, or directly while there is no stream to the
// delegate. It is safe for concurrent use.
type Executor struct {
	ctx            context.Context // context of the owner; its end closes all streams
	direct         pointport.Executor
	listCandidates Candidates
	http           *http.Client
	clock          pointport.Clock
	logger         *slog.Logger

	mu           sync.Mutex
	candidates   []member.Member // members that may be delegates, as of candidatesAt
	candidatesAt time.Time
	streams      map[string]*stream   // by the delegate's name
	opening      map[string]bool      // delegates to which a stream is being opened
	avoidUntil   map[string]time.Time // until when delegates whose streams were lost are not used
}

var _ pointport.Executor = (*Executor)(nil)

// New returns an Executor that works until ctx ends. It sends orders through the members that
// listCandidates returns, and otherwise through direct.
func New(ctx context.Context, direct pointport.Executor, listCandidates Candidates, client *http.Client, clock pointport.Clock, logger *slog.Logger) *Executor {
	return &Executor{
		ctx: ctx, direct: direct, listCandidates: listCandidates, http: client, clock: clock, logger: logger,
		streams: make(map[string]*stream), opening: make(map[string]bool), avoidUntil: make(map[string]time.Time),
	}
}

// Start starts a run.
func (e *Executor) Start(ctx context.Context, at pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceTime, error) {
	line := newOrderLine(opStart, at, o.TaskRun, o.Fence)
	line.Start = &startLine{Checkpoint: o.Checkpoint, Ticket: o.Ticket, Until: o.LeaseUntil}
	r, err := e.send(ctx, line, o.Payload, orderTimeout)
	if errors.Is(err, errNotSent) {
		return e.direct.Start(ctx, at, o)
	}
	return r.Clock, err
}

// Stop stops a run.
func (e *Executor) Stop(ctx context.Context, at pointport.Endpoint, o pointport.StopOrder) (pointport.InstanceTime, error) {
	r, err := e.send(ctx, newOrderLine(opStop, at, o.TaskRun, o.Fence), "", orderTimeout)
	if errors.Is(err, errNotSent) {
		return e.direct.Stop(ctx, at, o)
	}
	return r.Clock, err
}

// Pace sets the percentage of its work that a run may do.
func (e *Executor) Pace(ctx context.Context, at pointport.Endpoint, o pointport.PaceOrder) error {
	line := newOrderLine(opPace, at, o.TaskRun, o.Fence)
	line.Percent = o.Percent
	_, err := e.send(ctx, line, "", orderTimeout)
	if errors.Is(err, errNotSent) {
		return e.direct.Pace(ctx, at, o)
	}
	return err
}

// Poll extends the execution leases of the instance's runs, and returns its running and ended
// runs.
func (e *Executor) Poll(ctx context.Context, at pointport.Endpoint, o pointport.PollOrder) (pointport.Report, error) {
	line := newOrderLine(opHold, at, pointport.TaskRun{}, o.Fence)
	line.Hold = &holdLine{Until: o.LeaseUntil, Acknowledged: o.Acknowledged, Wait: o.Wait, Patience: o.ExtraTimeout}
	r, err := e.send(ctx, line, "", orderTimeout+o.Wait+o.ExtraTimeout)
	var unavailable *pointport.UnavailableError
	switch {
	case errors.Is(err, errNotSent):
		return e.direct.Poll(ctx, at, o)
	case r.Failed != nil && errors.As(err, &unavailable):
		return e.pollDirectly(ctx, at, o, err)
	case err != nil:
		return pointport.Report{}, err
	}
	return r.report(), nil
}

// pollDirectly polls an instance that did not answer the delegate. If it answers here, the
// delegate is cut off, and its stream is dropped. Otherwise the instance would be considered
// silent, and the execution leases of its tasks would expire.
func (e *Executor) pollDirectly(ctx context.Context, at pointport.Endpoint, o pointport.PollOrder, cause error) (pointport.Report, error) {
	o.Wait = 0
	report, err := e.direct.Poll(ctx, at, o)
	if err != nil {
		return pointport.Report{}, cause
	}
	if s := e.streamFor(at.Incarnation); s != nil {
		e.dropStream(s, cause)
	}
	return report, nil
}

// errNotSent is the error of an order that was not written to any stream.
var errNotSent = errors.New("no delegate accepted the order")

// errNoResult is the error of an order to which a delegate returned no result.
var errNoResult = errors.New("the delegate returned no result in time")

// send sends an order through the delegate of its instance. It fails with errNotSent if the
// order was not written to any stream.
func (e *Executor) send(ctx context.Context, o orderLine, payload string, timeout time.Duration) (resultLine, error) {
	s := e.streamFor(o.Incarnation)
	if s == nil {
		return resultLine{}, errNotSent
	}
	sent := e.clock.Now()
	number, answer, err := s.enqueue(o, payload)
	if err != nil {
		return resultLine{}, errNotSent
	}
	select {
	case r := <-answer:
		return r, r.Failed.err(o)
	case <-s.done:
		e.dropStream(s, errClosed)
		return resultLine{}, o.unavailable(true, errClosed)
	case <-ctx.Done():
		s.forget(number)
		return resultLine{}, o.unavailable(true, ctx.Err())
	case <-e.clock.After(timeout):
		s.forget(number)
		if s.silentSince(sent) {
			e.dropStream(s, errNoResult)
		}
		return resultLine{}, o.unavailable(true, errNoResult)
	}
}

// streamFor returns the stream to the delegate of an instance. If there is none, it returns nil
// and starts opening one, unless the delegate is being avoided.
func (e *Executor) streamFor(at pointport.IncarnationID) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if now.Sub(e.candidatesAt) >= candidatesInterval {
		e.candidates, e.candidatesAt = e.listCandidates(maxDelegates), now
	}
	if len(e.candidates) == 0 {
		return nil
	}
	h := fnv.New32a()
	h.Write([]byte(at))
	m := e.candidates[int(h.Sum32())%len(e.candidates)]
	if s := e.streams[m.Name]; s != nil && !s.ended() {
		return s
	}
	if !e.opening[m.Name] && !now.Before(e.avoidUntil[m.Name]) {
		e.opening[m.Name] = true
		go e.open(m)
	}
	return nil
}

// Connected reports whether there is a stream to the delegate of an incarnation. If there is
// none, it starts opening one.
func (e *Executor) Connected(at pointport.IncarnationID) bool { return e.streamFor(at) != nil }

// open opens a stream to a delegate. Until it is open, orders are sent directly.
func (e *Executor) open(m member.Member) {
	s, err := open(e.ctx, e.http, e.clock, m.Name, "http://"+m.Peer)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.opening, m.Name)
	if err != nil {
		e.avoid(m.Name, err)
		return
	}
	e.streams[m.Name] = s
}

// dropStream ends the stream to a delegate and avoids the delegate for a while.
func (e *Executor) dropStream(s *stream, err error) {
	s.end(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.name] == s {
		delete(e.streams, s.name)
		e.avoid(s.name, err)
	}
}

// avoid makes the Executor not use a delegate for avoidTime. The caller holds the lock.
func (e *Executor) avoid(name string, err error) {
	e.avoidUntil[name] = e.clock.Now().Add(avoidTime)
	if e.ctx.Err() == nil {
		event.DelegateLost.Log(e.logger, slog.String("delegate", name), slog.Any("error", err))
	}
}
