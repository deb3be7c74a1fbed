package shard

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/schedule"
)

// This file defines how the owners of a process share the advisor, and how an owner asks it.

const (
	// maxAdviceCalls is how many calls a process has in flight. The advisor works on one of them at a
	// time; the second one fills the pause until the next call, and goes on if an answer is lost.
	maxAdviceCalls = 2
	// minAdvicePause and maxAdvicePause bound the pause after a call that failed. It doubles with each
	// further one.
	minAdvicePause = 100 * time.Millisecond
	maxAdvicePause = 1600 * time.Millisecond
)

// A SharedAdvisor gives the owners of a process turns at the advisor, which works on one call of each process
// at a time. Calls that wait there would get tickets that are about to expire, so an owner decides what to
// ask only when its turn has come. Turns are in the order in which owners asked for them.
type SharedAdvisor struct {
	next  pointport.Advisor
	clock pointport.Clock
	turns *semaphore.Weighted

	mu    sync.Mutex
	pause time.Duration // after the next failure
}

// NewSharedAdvisor returns an advisor for the owners of one process.
func NewSharedAdvisor(next pointport.Advisor, clock pointport.Clock) *SharedAdvisor {
	return &SharedAdvisor{next: next, clock: clock, turns: semaphore.NewWeighted(maxAdviceCalls), pause: minAdvicePause}
}

// advise waits for a turn, calls choose, and sends the query that it returns to the advisor, if any. It passes
// the answer to handle. After a failure it keeps the turn for a pause, so that a busy advisor is not asked
// again at once.
func (a *SharedAdvisor) advise(ctx context.Context, choose func() (pointport.AdviceQuery, bool), handle func(pointport.Advice, error)) {
	if a.turns.Acquire(ctx, 1) != nil {
		return // the owner has ended
	}
	defer a.turns.Release(1)
	q, ok := choose()
	if !ok {
		return
	}
	answer, err := a.next.Advise(ctx, q)
	handle(answer, err)
	if pause := a.pauseAfter(err); pause > 0 {
		select {
		case <-a.clock.After(pause):
		case <-ctx.Done():
		}
	}
}

// pauseAfter returns the pause after a call, zero if it has succeeded.
func (a *SharedAdvisor) pauseAfter(err error) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.pause = minAdvicePause
		return 0
	}
	pause := a.pause
	a.pause = min(2*a.pause, maxAdvicePause)
	return pause/2 + rand.N(pause/2)
}

// errNoAdvisor is the result of a request for advice if there is no advisor.
var errNoAdvisor = errors.New("the queue requires advice, but no advisor is configured")

// requestAdvice asks the advisor, once the owner's turn has come, if steps need advice.
func (o *Owner) requestAdvice(ctx context.Context, now time.Time) {
	if o.adviceCalls >= maxAdviceCalls || !o.scheduler.NeedsAdvice(now) {
		return
	}
	if o.advisor == nil {
		o.logNoAdvisor(now)
		return
	}
	o.adviceCalls++
	go func() {
		defer o.enqueue(func(time.Time) { o.adviceCalls-- })
		var next chosenRequest
		choose := func() (pointport.AdviceQuery, bool) {
			next = o.chooseAdviceRequest(ctx)
			return next.Query(), next.found
		}
		o.advisor.advise(ctx, choose, func(answer pointport.Advice, err error) {
			o.enqueue(func(now time.Time) { o.scheduler.AdviceAnswered(next.AdviceRequest, next.at, now, answer, err) })
		})
	}()
}

// A chosenRequest is the request that an owner sends in its turn, if it has found one, and when it was chosen.
type chosenRequest struct {
	schedule.AdviceRequest
	at    time.Time
	found bool
}

// chooseAdviceRequest asks the loop for the next request. None is found if the owner has ended.
func (o *Owner) chooseAdviceRequest(ctx context.Context) chosenRequest {
	next, err := query(ctx, o, func() chosenRequest {
		now := o.clock.Now()
		request, found := o.scheduler.NextAdviceRequest(now, o.adviceFigures)
		return chosenRequest{request, now, found}
	})
	if err != nil {
		return chosenRequest{}
	}
	return next
}

// adviceLogInterval is the least time between two log lines about a missing advisor.
const adviceLogInterval = 5 * time.Second

// logNoAdvisor logs now and then that steps cannot start without an advisor.
func (o *Owner) logNoAdvisor(now time.Time) {
	if now.Sub(o.noAdvisorLoggedAt) < adviceLogInterval {
		return
	}
	o.noAdvisorLoggedAt = now
	event.AdviceFailed.Log(o.logger, slog.Any("error", errNoAdvisor))
}
