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
	// orderTimeout bounds an order. An instance has 0.4 s to answer, and the way to the
	// delegate and back takes a few milliseconds.
	orderTimeout = 500 * time.Millisecond
	// helpersEvery is how often the members are asked for that may carry orders. To rank
	// 300 of them for each order took three quarters of a core at 2,000 orders a second.
	helpersEvery = 500 * time.Millisecond
	// restTime is for how long a delegate is left alone that was lost.
	restTime = 3 * time.Second
	// helpersMost is how many delegates an owner has. With four, an owner whose link
	// carries the orders of 29 jobs a second had 55 a second served, which were all, and
	// each of their links carries less than the owner's did.
	helpersMost = 4
)

// Helpers tells which members may carry orders, the likeliest first, so many at most.
type Helpers func(most int) []member.Member

// An Executor sends orders through delegates, and directly where there is none. It is safe
// for concurrent use.
type Executor struct {
	ctx     context.Context // of the owner; it ends all streams
	direct  pointport.Executor
	helpers Helpers
	http    *http.Client
	clock   pointport.Clock
	logger  *slog.Logger

	mu      sync.Mutex
	known   []member.Member // that may carry orders, as of asked
	asked   time.Time
	streams map[string]*stream   // by the delegate's name
	opening map[string]bool      // delegates to which a stream is being opened
	resting map[string]time.Time // until when lost ones are left alone
}

var _ pointport.Executor = (*Executor)(nil)

// New returns an Executor that works until ctx ends.
func New(ctx context.Context, direct pointport.Executor, helpers Helpers, client *http.Client, clock pointport.Clock, logger *slog.Logger) *Executor {
	return &Executor{
		ctx: ctx, direct: direct, helpers: helpers, http: client, clock: clock, logger: logger,
		streams: make(map[string]*stream), opening: make(map[string]bool), resting: make(map[string]time.Time),
	}
}

// Start starts a run.
func (e *Executor) Start(ctx context.Context, at pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceClock, error) {
	line := newLine(opStart, at, o.TaskRun, o.Fence)
	line.Start = &startLine{Checkpoint: o.Checkpoint, Ticket: o.Ticket, Until: o.Until}
	r, err := e.carry(ctx, line, o.Payload, orderTimeout)
	if errors.Is(err, errNotCarried) {
		return e.direct.Start(ctx, at, o)
	}
	return r.Clock, err
}

// Stop stops a run.
func (e *Executor) Stop(ctx context.Context, at pointport.Endpoint, o pointport.StopOrder) (pointport.InstanceClock, error) {
	r, err := e.carry(ctx, newLine(opStop, at, o.TaskRun, o.Fence), "", orderTimeout)
	if errors.Is(err, errNotCarried) {
		return e.direct.Stop(ctx, at, o)
	}
	return r.Clock, err
}

// Pace sets the share of its work that a run may do.
func (e *Executor) Pace(ctx context.Context, at pointport.Endpoint, o pointport.PaceOrder) error {
	line := newLine(opPace, at, o.TaskRun, o.Fence)
	line.Percent = o.Percent
	_, err := e.carry(ctx, line, "", orderTimeout)
	if errors.Is(err, errNotCarried) {
		return e.direct.Pace(ctx, at, o)
	}
	return err
}

// Hold extends the time of what runs and returns what runs and has ended.
func (e *Executor) Hold(ctx context.Context, at pointport.Endpoint, o pointport.HoldOrder) (pointport.Report, error) {
	line := newLine(opHold, at, pointport.TaskRun{}, o.Fence)
	line.Hold = &holdLine{Until: o.Until, Acknowledged: o.Acknowledged, Wait: o.Wait, Patience: o.Patience}
	r, err := e.carry(ctx, line, "", orderTimeout+o.Wait+o.Patience)
	var unavailable *pointport.UnavailableError
	switch {
	case errors.Is(err, errNotCarried):
		return e.direct.Hold(ctx, at, o)
	case r.Failed != nil && errors.As(err, &unavailable):
		return e.lookDirectly(ctx, at, o, err)
	case err != nil:
		return pointport.Report{}, err
	}
	return r.report(), nil
}

// lookDirectly looks at an instance that gave the delegate no answer. If it answers here,
// it is the delegate that is cut off, which is left alone: the instance would count as
// silent otherwise, and what runs there would lapse.
func (e *Executor) lookDirectly(ctx context.Context, at pointport.Endpoint, o pointport.HoldOrder, cause error) (pointport.Report, error) {
	o.Wait = 0
	report, err := e.direct.Hold(ctx, at, o)
	if err != nil {
		return pointport.Report{}, cause
	}
	if s := e.streamFor(at.Incarnation); s != nil {
		e.lost(s, cause)
	}
	return report, nil
}

// errNotCarried says that no delegate has taken an order.
var errNotCarried = errors.New("no delegate has taken the order")

// errSilent says that a delegate gave no result.
var errSilent = errors.New("the delegate gave no result")

// carry sends an order through the delegate of its instance. It fails with errNotCarried
// if the order was not written to any stream.
func (e *Executor) carry(ctx context.Context, o orderLine, payload string, timeout time.Duration) (resultLine, error) {
	s := e.streamFor(o.Incarnation)
	if s == nil {
		return resultLine{}, errNotCarried
	}
	sent := e.clock.Now()
	number, answer, err := s.put(o, payload)
	if err != nil {
		return resultLine{}, errNotCarried
	}
	select {
	case r := <-answer:
		return r, r.Failed.err(o)
	case <-s.done:
		e.lost(s, errClosed)
		return resultLine{}, o.unavailable(true, errClosed)
	case <-ctx.Done():
		s.forget(number)
		return resultLine{}, o.unavailable(true, ctx.Err())
	case <-e.clock.After(timeout):
		s.forget(number)
		if s.silentSince(sent) {
			e.lost(s, errSilent)
		}
		return resultLine{}, o.unavailable(true, errSilent)
	}
}

// streamFor returns the stream to the delegate of an instance, nil if there is none yet.
func (e *Executor) streamFor(at pointport.IncarnationID) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if now.Sub(e.asked) >= helpersEvery {
		e.known, e.asked = e.helpers(helpersMost), now
	}
	if len(e.known) == 0 {
		return nil
	}
	h := fnv.New32a()
	h.Write([]byte(at))
	m := e.known[int(h.Sum32())%len(e.known)]
	if s := e.streams[m.Name]; s != nil && !s.ended() {
		return s
	}
	if !e.opening[m.Name] && !now.Before(e.resting[m.Name]) {
		e.opening[m.Name] = true
		go e.open(m)
	}
	return nil
}

// Connected reports whether a stream to the delegate of an incarnation stands. If there is
// none, it is opened.
func (e *Executor) Connected(at pointport.IncarnationID) bool { return e.streamFor(at) != nil }

// open opens a stream to a delegate. Until it stands, orders are sent directly.
func (e *Executor) open(m member.Member) {
	s, err := open(e.ctx, e.http, e.clock, m.Name, "http://"+m.Peer)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.opening, m.Name)
	if err != nil {
		e.rest(m.Name, err)
		return
	}
	e.streams[m.Name] = s
}

// lost ends the stream to a delegate and leaves the delegate alone for a while.
func (e *Executor) lost(s *stream, err error) {
	s.end(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.name] == s {
		delete(e.streams, s.name)
		e.rest(s.name, err)
	}
}

// rest leaves a delegate alone for a while. The lock is held.
func (e *Executor) rest(name string, err error) {
	e.resting[name] = e.clock.Now().Add(restTime)
	if e.ctx.Err() == nil {
		event.DelegateLost.Log(e.logger, slog.String("delegate", name), slog.Any("error", err))
	}
}
