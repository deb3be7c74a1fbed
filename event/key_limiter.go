package event

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines the limiter of lines about keys of the store that cannot be read.

const (
	// keyLogInterval is the time between two lines about one key. Another writer may change a
	// value with each heartbeat.
	keyLogInterval = time.Minute
	// keyLineBurst is the number of keys that may be logged at once, and keyLineInterval the time
	// until one more may be.
	keyLineBurst    = 20
	keyLineInterval = 5 * time.Second
)

// NotLoggedAttr is the key of the attribute that holds how many revisions of unreadable keys had no
// line since the last line about one.
const NotLoggedAttr = "notLogged"

// A KeyLimiter decides which revisions of unreadable keys are logged: each revision at most once,
// each key at most once a minute, and all keys together at a bounded rate. It is not safe for
// concurrent use.
type KeyLimiter struct {
	clock     pointport.Clock
	keys      map[string]keyLine
	notLogged int       // since the last line
	lines     float64   // lines that may be written
	at        time.Time // when lines was last updated
}

// A keyLine is what is known of an unreadable key.
type keyLine struct {
	revision pointport.Revision
	loggedAt time.Time // zero if it was not logged
}

// NewKeyLimiter returns a limiter that measures rates by clock.
func NewKeyLimiter(clock pointport.Clock) *KeyLimiter {
	return &KeyLimiter{clock: clock, keys: make(map[string]keyLine), lines: keyLineBurst, at: clock.Steady()}
}

// Take notes an unreadable revision of a key. It reports whether to log it and, if so, how many
// revisions were not logged since the last line.
func (l *KeyLimiter) Take(key string, revision pointport.Revision) (notLogged int, ok bool) {
	known := l.keys[key]
	if known.revision == revision {
		return 0, false
	}
	known.revision = revision
	now := l.clock.Steady()
	recent := !known.loggedAt.IsZero() && now.Sub(known.loggedAt) < keyLogInterval
	if ok = !recent && l.takeLine(now); ok {
		known.loggedAt = now
		notLogged, l.notLogged = l.notLogged, 0
	} else {
		l.notLogged++
	}
	l.keys[key] = known
	return notLogged, ok
}

// takeLine reports whether the rate of all keys permits a line now.
func (l *KeyLimiter) takeLine(now time.Time) bool {
	l.lines = min(keyLineBurst, l.lines+float64(now.Sub(l.at))/float64(keyLineInterval))
	l.at = now
	if l.lines < 1 {
		return false
	}
	l.lines--
	return true
}

// Forget notes that a key can be read or is gone.
func (l *KeyLimiter) Forget(key string) { delete(l.keys, key) }

// Len returns the number of keys that are known to be unreadable.
func (l *KeyLimiter) Len() int { return len(l.keys) }

// Retain forgets the keys for which listed returns false.
func (l *KeyLimiter) Retain(listed func(key string) bool) {
	for key := range l.keys {
		if !listed(key) {
			delete(l.keys, key)
		}
	}
}
