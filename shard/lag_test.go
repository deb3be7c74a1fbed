package shard

import (
	"testing"
	"time"
)

// The lag that is shown is the worst of the last whole second.
func TestLagIsTheWorstOfTheLastSecond(t *testing.T) {
	var l lag
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	shown := func() time.Duration { return time.Duration(l.last.Load()) }
	l.roll(at(0))
	l.note(at(100), 30*time.Millisecond)
	l.note(at(200), 250*time.Millisecond)
	l.note(at(300), 10*time.Millisecond)
	if shown() != 0 {
		t.Errorf("%v before the second is over", shown())
	}
	l.note(at(1000), 5*time.Millisecond)
	if shown() != 250*time.Millisecond {
		t.Errorf("%v, want the worst of the last second, 250ms", shown())
	}
	l.roll(at(2000))
	if shown() != 5*time.Millisecond {
		t.Errorf("%v, want 5ms a second later", shown())
	}
}

// Each second is told once, also if a message was the first to be handled after it.
func TestEachSecondIsToldOnce(t *testing.T) {
	var l lag
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	l.take(at(0))
	l.note(at(500), 300*time.Millisecond)
	l.note(at(1100), time.Millisecond) // begins the next span
	if worst, fresh := l.take(at(1100)); !fresh || worst != 300*time.Millisecond {
		t.Errorf("%v, %v, want the worst of the last second", worst, fresh)
	}
	if _, fresh := l.take(at(1200)); fresh {
		t.Error("a second is told twice")
	}
}
