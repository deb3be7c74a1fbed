package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/choose"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/queue"
)

// This file defines the service: its upstreams, and how requests are granted,
// queued and refused.

const (
	// serviceWeight is the weight of a new sample in the service's mean latency.
	serviceWeight = 0.05
	// maxCapacityAge is how long a computed capacity is used.
	maxCapacityAge = 100 * time.Millisecond
	// initialRetries is the retry budget of a new service.
	initialRetries = 10
	// maxRetries bounds the retry budget. It covers the requests in flight at a few
	// upstreams that are lost at once.
	maxRetries = 100
	// retryAfterNoUpstream is the RetryAfter of refusals for want of an upstream.
	retryAfterNoUpstream = 2 * time.Second
	// requiredTimeFactor times the mean latency is the time that a request must have
	// left before its deadline when it is sent.
	requiredTimeFactor = 2
	// minRetryAfter is the least RetryAfter after an expected wait.
	minRetryAfter = time.Second
)

// A Reason is why a request was refused before it was sent.
type Reason string

// The reasons for a refusal.
const (
	ReasonNoUpstream Reason = "no upstream of the service is in use"
	ReasonQueueFull  Reason = "too many requests wait"
	ReasonTooLate    Reason = "the request could not end before its deadline"
	ReasonDeadline   Reason = "the request's deadline came while it waited"
	ReasonCallerGone Reason = "the caller has gone"
)

// A RefusedError reports that a request was refused before any byte of it was sent.
// Acquire and CheckAdmission return it.
type RefusedError struct {
	Service    string
	Reason     Reason
	RetryAfter time.Duration // how long to wait before a retry; zero if a retry is pointless
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %s: %s", e.Service, e.Reason)
}

// A Request describes a request for Acquire.
type Request struct {
	Customer string
	Weight   float64 // the customer's weight in fair queueing; zero counts as one
	Priority config.Priority
	Deadline time.Time
	// Avoid lists upstreams that have already failed this request. They are used
	// only if no other has free capacity.
	Avoid []pointport.InstanceID
}

// An Outcome is how a granted request ended.
type Outcome int

// The outcomes of a granted request.
const (
	Succeeded Outcome = iota // the upstream answered
	Failed                   // the upstream failed
	NotRun                   // the upstream reported that it did not run the request
	Abandoned                // the request ended without a result that concerns the upstream
)

// A Target is an instance that the service may use.
type Target struct {
	Instance pointport.Instance
	Leaving  bool // gets no new work; requests in flight continue
	// Evacuated reports whether its availability zone is evacuated. It has the effect of
	// Leaving, but a later Update can undo it.
	Evacuated bool
}

// A Service distributes requests over upstreams. It is safe for concurrent use.
type Service struct {
	name    string
	clock   pointport.Clock
	chooser pointport.Chooser
	zone    pointport.ZoneID
	share   func(pointport.ZoneID) int
	logger  *slog.Logger

	mu                   sync.Mutex
	template             *config.Template
	byID                 map[pointport.InstanceID]*upstream
	sameZone, otherZones []*upstream
	waiting              queue.Fair[*waiter]
	latency              time.Duration
	retryBudget          float64
	capacity             float64
	capacityAt           time.Time
	saturatedAt          time.Time // see SaturatedAt
}

// A waiter is a request in the queue.
type waiter struct {
	request Request
	result  chan result // has a buffer of one
}

type result struct {
	grant *Grant
	err   error
}

// An Option configures a Service.
type Option func(*Service)

// WithChooser sets the chooser among upstreams.
func WithChooser(c pointport.Chooser) Option { return func(s *Service) { s.chooser = c } }

// WithZone sets the availability zone of this entry instance.
func WithZone(z pointport.ZoneID) Option { return func(s *Service) { s.zone = z } }

// WithConnectionShare sets how many connections this entry instance may have to one
// upstream of an availability zone.
func WithConnectionShare(share func(pointport.ZoneID) int) Option {
	return func(s *Service) { s.share = share }
}

// WithLogger sets the logger for events.
func WithLogger(l *slog.Logger) Option { return func(s *Service) { s.logger = l } }

// New returns a service without upstreams.
func New(name string, clock pointport.Clock, template *config.Template, options ...Option) *Service {
	s := &Service{
		name: name, clock: clock, chooser: choose.Forecast{}, template: template,
		share:       func(pointport.ZoneID) int { return template.Upstream.Connections },
		logger:      slog.New(slog.DiscardHandler),
		byID:        make(map[pointport.InstanceID]*upstream),
		retryBudget: initialRetries,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Update replaces the service's template and upstreams. The state of an upstream is
// kept while its address and boot count stay the same.
func (s *Service) Update(template *config.Template, targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.template = template
	old := s.byID
	s.byID = make(map[pointport.InstanceID]*upstream, len(targets))
	s.sameZone, s.otherZones = nil, nil
	for _, t := range targets {
		s.add(old[t.Instance.ID], t)
	}
	s.capacityAt = time.Time{}
	s.grantWaiting()
}

// add adds an upstream for t, with the state of u if that is the same boot.
func (s *Service) add(u *upstream, t Target) {
	if u == nil || u.instance.Address != t.Instance.Address || u.instance.Boots != t.Instance.Boots {
		u = newUpstream(t.Instance, t.Instance.Zone == s.zone, s.template)
	}
	// An upstream stays marked as leaving until it has booted again, because the
	// platform's list lags behind MarkLeaving.
	u.leaving = u.leaving || t.Leaving
	u.evacuated = t.Evacuated
	s.byID[t.Instance.ID] = u
	if u.ownZone {
		s.sameZone = append(s.sameZone, u)
		return
	}
	s.otherZones = append(s.otherZones, u)
}

// SaturatedAt returns when a request last found no upstream with free capacity, or
// found others already waiting; the zero time if none has.
func (s *Service) SaturatedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saturatedAt
}

// MarkLeaving marks an upstream as leaving. It gets no new work until it has booted
// again.
func (s *Service) MarkLeaving(id pointport.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.byID[id]; u != nil && !u.leaving {
		u.leaving = true
		event.UpstreamLeaving.Log(s.logger, slog.String("service", s.name), slog.String("instance", string(id)))
	}
}

// Acquire grants an upstream to r, at once or after its turn in the queue. Its errors
// are of type *RefusedError.
func (s *Service) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if r.Weight == 0 {
		r.Weight = 1
	}
	s.mu.Lock()
	if s.waiting.Len() == 0 {
		if u := s.pick(r.Avoid); u != nil {
			defer s.mu.Unlock()
			return s.grant(u), nil
		}
	}
	s.saturatedAt = s.clock.Now()
	if err := s.admit(r); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	w := &waiter{request: r, result: make(chan result, 1)}
	item := s.waiting.Push(w, r.Priority, r.Customer, r.Weight, 1)
	// The request waits only as long as it could still end before its deadline.
	maxWait := r.Deadline.Sub(s.clock.Now()) - s.requiredTime()
	s.mu.Unlock()
	return s.wait(ctx, w, item, maxWait)
}

// checkFeasible returns how long r would wait, and a *RefusedError if no upstream is
// in use or r could not end before its deadline.
func (s *Service) checkFeasible(r Request) (time.Duration, error) {
	if !s.usable() {
		return 0, &RefusedError{s.name, ReasonNoUpstream, retryAfterNoUpstream}
	}
	expectedWait := s.expectedWait(r)
	if s.clock.Now().Add(expectedWait + s.requiredTime()).After(r.Deadline) {
		return expectedWait, &RefusedError{s.name, ReasonTooLate, retryAfter(expectedWait)}
	}
	return expectedWait, nil
}

// admit returns an error if r may not wait in the queue. If the queue is full, it may
// evict another request for r.
func (s *Service) admit(r Request) error {
	expectedWait, err := s.checkFeasible(r)
	if err != nil {
		return err
	}
	if s.waiting.Len() < s.template.Queue {
		return nil
	}
	// A full queue evicts the request that would be served last. That is never one
	// of a customer that uses less than its share.
	last := s.waiting.Last()
	if !s.waiting.Before(r.Priority, r.Customer, last) {
		return &RefusedError{s.name, ReasonQueueFull, retryAfter(expectedWait)}
	}
	s.waiting.Remove(last)
	last.Value().result <- result{err: &RefusedError{s.name, ReasonQueueFull, retryAfter(expectedWait)}}
	return nil
}

// requiredTime returns the time that a request must have left before its deadline
// when it is sent. A request sent later would run, but end too late.
func (s *Service) requiredTime() time.Duration { return requiredTimeFactor * s.latency }

// retryAfter returns how long a caller should wait after a refusal: until the
// requests that wait now are served, with random jitter of up to half as much again so
// that callers don't retry at the same time.
func retryAfter(expectedWait time.Duration) time.Duration {
	d := max(expectedWait, minRetryAfter)
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}

// usable reports whether any upstream may get work, now or once its ejection ends.
func (s *Service) usable() bool {
	for _, u := range s.byID {
		if !u.excluded() {
			return true
		}
	}
	return false
}

// expectedWait returns how long a new request would wait; zero while that is unknown.
func (s *Service) expectedWait(r Request) time.Duration {
	now := s.clock.Now()
	if now.Sub(s.capacityAt) >= maxCapacityAge {
		s.capacity, s.capacityAt = s.computeCapacity(now), now
	}
	if s.capacity == 0 || s.latency == 0 {
		return 0
	}
	ahead := s.waiting.Ahead(r.Priority, r.Customer)
	return time.Duration(float64(ahead) * float64(s.latency) / s.capacity)
}

// computeCapacity returns how many requests may be in flight at once.
func (s *Service) computeCapacity(now time.Time) float64 {
	n := 0
	for _, u := range s.byID {
		n += max(0, u.freeCapacity(now, s.template.Upstream.Slots, s.share(u.instance.Zone))+u.inFlight)
	}
	return float64(n)
}

// wait waits until w is granted an upstream, its context ends, or maxWait has passed.
func (s *Service) wait(ctx context.Context, w *waiter, item *queue.Item[*waiter], maxWait time.Duration) (*Grant, error) {
	reason := ReasonCallerGone
	select {
	case r := <-w.result:
		return r.grant, r.err
	case <-ctx.Done():
	case <-s.clock.After(maxWait):
		reason = ReasonDeadline
	}
	s.mu.Lock()
	if s.waiting.Remove(item) {
		err := &RefusedError{s.name, reason, retryAfter(s.expectedWait(w.request))}
		s.mu.Unlock()
		return nil, err
	}
	s.mu.Unlock()
	r := <-w.result
	if r.grant != nil && reason == ReasonCallerGone {
		r.grant.End(Abandoned, 0)
		return nil, &RefusedError{s.name, reason, 0}
	}
	return r.grant, r.err
}

// pick returns an upstream with free capacity, or nil. It compares two random ones and
// returns the better. Upstreams in other availability zones are used only if the own
// zone has no free capacity.
func (s *Service) pick(avoid []pointport.InstanceID) *upstream {
	if unlimited, ok := s.chooser.(pointport.Unlimited); ok {
		return s.pickUnlimited(unlimited)
	}
	for _, group := range [][]*upstream{s.sameZone, s.otherZones} {
		if u := s.pickFrom(group, avoid); u != nil {
			return u
		}
	}
	if len(avoid) > 0 {
		return s.pick(nil)
	}
	return nil
}

// pickFrom returns the better of the first two upstreams of a group with free
// capacity, from a random position on; nil if there is none.
func (s *Service) pickFrom(group []*upstream, avoid []pointport.InstanceID) *upstream {
	if len(group) == 0 {
		return nil
	}
	now := s.clock.Now()
	share := s.share(group[0].instance.Zone)
	var first *upstream
	offset := rand.IntN(len(group))
	for n := range group {
		u := group[(offset+n)%len(group)]
		if u.instance.Zone != group[0].instance.Zone {
			share = s.share(u.instance.Zone)
		}
		if slices.Contains(avoid, u.instance.ID) || u.freeCapacity(now, s.template.Upstream.Slots, share) <= 0 {
			continue
		}
		if first == nil {
			first = u
			continue
		}
		if s.chooser.Better(u.candidate(), first.candidate()) {
			return u
		}
		return first
	}
	return first
}

// pickUnlimited returns the chooser's next upstream regardless of limits and
// ejections, but skips upstreams that may get no new work.
func (s *Service) pickUnlimited(chooser pointport.Unlimited) *upstream {
	group := slices.Concat(s.sameZone, s.otherZones)
	for range group {
		if u := group[chooser.Next(len(group))]; !u.excluded() {
			return u
		}
	}
	return nil
}

// grant counts a request in flight at u and returns its grant.
func (s *Service) grant(u *upstream) *Grant {
	u.inFlight++
	return &Grant{service: s, upstream: u, grantedAt: s.clock.Now()}
}

// grantWaiting grants upstreams to waiting requests while there is free capacity.
func (s *Service) grantWaiting() {
	for s.waiting.Len() > 0 {
		// The upstream is picked before the request leaves the queue: the share of
		// connections may fall between two calls of pick, and a request that had left
		// the queue without an upstream would never be answered.
		u := s.pick(nil)
		if u == nil {
			return
		}
		w := s.waiting.Pop().Value()
		if len(w.request.Avoid) > 0 {
			if other := s.pick(w.request.Avoid); other != nil {
				u = other
			}
		}
		w.result <- result{grant: s.grant(u)}
	}
}

// TakeRetry reports whether the service's retry budget allows one more retry, and
// deducts it.
func (s *Service) TakeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryBudget < 1 {
		return false
	}
	s.retryBudget--
	return true
}

// CheckAdmission returns the error with which Acquire would now refuse r at once, or
// nil. It spares the work that precedes Acquire for requests that would be refused, but
// guarantees nothing: it does not check whether the queue is full, and Acquire may
// still refuse r.
func (s *Service) CheckAdmission(r Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting.Len() == 0 && s.pick(r.Avoid) != nil {
		return nil
	}
	_, err := s.checkFeasible(r)
	return err
}
