package testbed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file simulates the advisor, which decides which instances may run the steps of some queues.

// maxWaitingAdvice is how many requests may wait at the advisor.
const maxWaitingAdvice = 32

// AdvisorSettings are the settings of a simulated advisor.
type AdvisorSettings struct {
	// Base and PerInstance are how long it works on a request, and in addition on each instance that the
	// request names.
	Base, PerInstance time.Duration
	// ValidFor is how long a ticket is valid from when it was issued.
	ValidFor time.Duration
	// MayRun reports whether an instance may run a step.
	MayRun func(step string, id pointport.InstanceID) bool
	// Delay, if not nil, returns by how much the answer to the nth request is late in addition.
	Delay func(n int) time.Duration
}

// An AdviceService simulates the advisor. It works on one request of each member at a time, in the order in
// which they came, and refuses requests while maxWaitingAdvice wait. It passes over requests whose member has
// given up.
type AdviceService struct {
	fleet    *Fleet
	settings AdvisorSettings

	mu      sync.Mutex
	turns   map[string]chan struct{} // by member; holds a token while no request of the member is worked on
	waiting int
	calls   int
	refused int
	expiry  map[ticketKey]time.Time
}

// A ticketKey identifies an issued ticket.
type ticketKey struct {
	step   string
	at     pointport.IncarnationID
	ticket string
}

// errAdvisorBusy is the refusal of a request while too many wait.
var errAdvisorBusy = errors.New("too many requests wait")

// NewAdviceService returns an advisor for a fleet, whose instances then check the tickets of tasks whose Work
// is Advised.
func (f *Fleet) NewAdviceService(settings AdvisorSettings) *AdviceService {
	a := &AdviceService{fleet: f, settings: settings, turns: make(map[string]chan struct{}), expiry: make(map[ticketKey]time.Time)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advice = a
	return a
}

// Advisor returns the advisor as a member reaches it.
func (a *AdviceService) Advisor(member string) pointport.Advisor { return memberAdvisor{a, member} }

// Calls returns how many requests came, and how many of these were refused.
func (a *AdviceService) Calls() (all, refused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls, a.refused
}

// A memberAdvisor is an AdviceService as one member reaches it.
type memberAdvisor struct {
	*AdviceService
	member string
}

// Advise implements pointport.Advisor.
func (m memberAdvisor) Advise(ctx context.Context, q pointport.AdviceQuery) (pointport.Advice, error) {
	turn, n, err := m.enter(m.member)
	if err != nil {
		return pointport.Advice{}, err
	}
	defer m.leave()
	select {
	case <-turn:
	case <-ctx.Done():
		return pointport.Advice{}, ctx.Err()
	}
	defer func() { turn <- struct{}{} }()
	time.Sleep(m.settings.Base + time.Duration(len(q.Incarnations))*m.settings.PerInstance)
	if m.settings.Delay != nil {
		time.Sleep(m.settings.Delay(n))
	}
	if ctx.Err() != nil {
		return pointport.Advice{}, ctx.Err()
	}
	return m.issue(q), nil
}

// enter adds a request to those that wait or are worked on. It returns the turns of the member and the number
// of the request.
func (a *AdviceService) enter(member string) (chan struct{}, int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if a.waiting >= maxWaitingAdvice {
		a.refused++
		return nil, 0, &pointport.UnavailableError{Op: "advise", Busy: true, Err: errAdvisorBusy}
	}
	a.waiting++
	if a.turns[member] == nil {
		a.turns[member] = make(chan struct{}, 1)
		a.turns[member] <- struct{}{}
	}
	return a.turns[member], a.calls, nil
}

func (a *AdviceService) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
}

// issue issues a ticket for each instance of a request that may run the step.
func (a *AdviceService) issue(q pointport.AdviceQuery) pointport.Advice {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	answer := pointport.Advice{Tickets: make(map[pointport.IncarnationID]string), ValidFor: a.settings.ValidFor}
	for _, id := range q.Incarnations {
		inc := a.fleet.byAddressee[id.Addressee()]
		if inc == nil || inc.gone || !a.settings.MayRun(q.Step, inc.machine.id) {
			continue
		}
		ticket := fmt.Sprintf("t-%d-%d", a.calls, len(a.expiry))
		a.expiry[ticketKey{q.Step, inc.id, ticket}] = a.fleet.clock.Now().Add(a.settings.ValidFor)
		answer.Tickets[id] = ticket
	}
	return answer
}

// allows reports whether a ticket allows a step at an incarnation.
func (a *AdviceService) allows(now time.Time, step string, at pointport.IncarnationID, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.expiry[ticketKey{step, at, ticket}])
}
