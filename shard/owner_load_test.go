package shard

import (
	"testing"
	"time"
)

// Load shows the greatest lag of the last whole second. A lag of the current second, or of an
// earlier one, must not appear in it.
func TestLagIsTheGreatestOfTheLastSecond(t *testing.T) {
	var l lagMeter
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	shown := func() time.Duration { return time.Duration(l.lastPeriod.Load()) }
	l.advance(at(0))
	l.observe(at(100), 30*time.Millisecond)
	l.observe(at(200), 250*time.Millisecond)
	l.observe(at(300), 10*time.Millisecond)
	if shown() != 0 {
		t.Errorf("lag is %v before the first second is over, want 0", shown())
	}
	l.observe(at(1000), 5*time.Millisecond)
	if shown() != 250*time.Millisecond {
		t.Errorf("lag is %v, want 250ms, the greatest of the last second", shown())
	}
	l.advance(at(2000))
	if shown() != 5*time.Millisecond {
		t.Errorf("lag is %v a second later, want 5ms", shown())
	}
}

// Each second is reported exactly once. If a message is the first event after the end of a
// second and begins the next period, the tick that follows must still report that second.
func TestEachSecondIsReportedOnce(t *testing.T) {
	var l lagMeter
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	l.takeLast(at(0))
	l.observe(at(500), 300*time.Millisecond)
	l.observe(at(1100), time.Millisecond) // begins the next period
	if worst, fresh := l.takeLast(at(1100)); !fresh || worst != 300*time.Millisecond {
		t.Errorf("lag is %v, %v, want 300ms, the greatest of the last second, and true", worst, fresh)
	}
	if _, fresh := l.takeLast(at(1200)); fresh {
		t.Error("the same second is reported twice")
	}
}
