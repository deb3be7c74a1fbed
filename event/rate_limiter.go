package event

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the bound on how many lines of one event are written.

const (
	// linesPerSecond bounds the lines of one event under lasting load. The owner
	// of a busy pool places some two hundred tasks a second.
	linesPerSecond = 250
	// lineBurst is how many lines of one event may come at once.
	lineBurst = 500
)

// LeftOutAttr is the attribute that says in a line how many lines of its event were left out before.
const LeftOutAttr = "leftOut"

// A limitHandler is a handler that leaves out lines of an event of which there are too
// many, and says how many in the next one that it lets pass.
type limitHandler struct {
	slog.Handler
	state *limitState
}

// limitState is what the handlers that descend from one limiter share.
type limitState struct {
	clock pointport.Clock

	mu      sync.Mutex
	buckets map[int]*tokenBucket
	leftOut int64
}

// A tokenBucket is what one event may still write.
type tokenBucket struct {
	tokens  float64
	at      time.Time
	leftOut int
}

// A RateLimiter is a handler that bounds the lines of each event. It is safe for
// concurrent use.
type RateLimiter struct {
	limitHandler
}

// NewRateLimiter returns next with the lines of each event bounded.
func NewRateLimiter(next slog.Handler, clock pointport.Clock) *RateLimiter {
	return &RateLimiter{limitHandler{next, &limitState{clock: clock, buckets: make(map[int]*tokenBucket)}}}
}

// LeftOut returns how many lines were left out.
func (l *RateLimiter) LeftOut() int64 {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.leftOut
}

// Handle hands a record on, unless there are too many of its event.
func (l *limitHandler) Handle(ctx context.Context, r slog.Record) error {
	pass, leftOut := l.state.take(eventNumber(r))
	if !pass {
		return nil
	}
	if leftOut > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int(LeftOutAttr, leftOut))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler whose records have further attributes.
func (l *limitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitHandler{l.Handler.WithAttrs(attrs), l.state}
}

// WithGroup returns a handler whose records' attributes are in a group.
func (l *limitHandler) WithGroup(name string) slog.Handler {
	return &limitHandler{l.Handler.WithGroup(name), l.state}
}

// eventNumber returns the number of a record's event, zero if it is none.
func eventNumber(r slog.Record) int {
	number := 0
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == NumberAttr {
			number = int(a.Value.Int64())
			return false
		}
		return true
	})
	return number
}

// take takes one line from an event's budget. It reports whether there was one
// and, if so, how many lines were left out before.
func (s *limitState) take(number int) (pass bool, leftOut int) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[number]
	if b == nil {
		b = &tokenBucket{tokens: lineBurst, at: now}
		s.buckets[number] = b
	}
	b.tokens = min(lineBurst, b.tokens+linesPerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		b.leftOut++
		s.leftOut++
		return false, 0
	}
	b.tokens--
	leftOut, b.leftOut = b.leftOut, 0
	return true, leftOut
}
