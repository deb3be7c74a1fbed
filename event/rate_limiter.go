package event

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the handler that limits the rate at which each event is logged.

const (
	// linesPerSecond limits the lines of one event under lasting load. The owner of a
	// busy pool places some 200 tasks per second, and each of them is logged.
	linesPerSecond = 250
	// lineBurst is the number of lines of one event that may be logged at once.
	lineBurst = 500
)

// LeftOutAttr is the key of the attribute that holds how many lines of an event were left
// out before the line with the attribute.
const LeftOutAttr = "leftOut"

// A limitHandler leaves out lines of an event that exceed its rate, and adds their number
// to the next line of the event that it passes on.
type limitHandler struct {
	slog.Handler
	state *limitState
}

// limitState is the state that a RateLimiter shares with the handlers that its WithAttrs
// and WithGroup return.
type limitState struct {
	clock pointport.Clock

	mu      sync.Mutex
	buckets map[int]*tokenBucket
	leftOut int64 // in total
}

// A tokenBucket limits the lines of one event.
type tokenBucket struct {
	tokens  float64   // lines that may be written
	at      time.Time // when tokens was last updated
	leftOut int       // since the last line that was written
}

// A RateLimiter is a handler that limits the rate of each event's lines. Lines that are
// not events share one limit. It is safe for concurrent use.
type RateLimiter struct {
	limitHandler
}

// NewRateLimiter returns a handler that passes lines on to next. The rates are measured by
// clock.
func NewRateLimiter(next slog.Handler, clock pointport.Clock) *RateLimiter {
	return &RateLimiter{limitHandler{next, &limitState{clock: clock, buckets: make(map[int]*tokenBucket)}}}
}

// LeftOut returns the total number of lines that were left out.
func (l *RateLimiter) LeftOut() int64 {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	return l.state.leftOut
}

// Handle passes a record on, unless that exceeds the rate of its event.
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

// WithAttrs returns a handler with the same limits that adds attrs to its records.
func (l *limitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitHandler{l.Handler.WithAttrs(attrs), l.state}
}

// WithGroup returns a handler with the same limits that puts its records' attributes in
// a group.
func (l *limitHandler) WithGroup(name string) slog.Handler {
	return &limitHandler{l.Handler.WithGroup(name), l.state}
}

// eventNumber returns the number of a record's event, or zero if the record is no event.
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

// take takes a token for a line of the event. It reports whether there was one and, if so,
// how many of the event's lines were left out since the last one.
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
