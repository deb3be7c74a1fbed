package event_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/event"
)

// A flood of one event is cut to its budget, other events pass, and the next line
// of the flooding one says how many are missing.
func TestLimit(t *testing.T) {
	var out bytes.Buffer
	now := clock.NewFake(time.Unix(1000, 0))
	limit := event.NewRateLimiter(slog.NewTextHandler(&out, nil), now)
	logger := slog.New(limit).With(slog.String("node", "a"))
	const flood = 2000
	for range flood {
		event.TaskPlaced.Log(logger)
	}
	event.JobEnded.Log(logger)
	passed := strings.Count(out.String(), "event=506")
	if passed == 0 || passed > flood/2 {
		t.Errorf("%d of %d lines pass", passed, flood)
	}
	if !strings.Contains(out.String(), "event=502") {
		t.Error("another event's line is left out")
	}
	if got := limit.LeftOut(); got != int64(flood-passed) {
		t.Errorf("%d lines left out, want %d", got, flood-passed)
	}
	out.Reset()
	now.Advance(time.Second)
	event.TaskPlaced.Log(logger)
	event.TaskPlaced.Log(logger)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "leftOut=1500") || strings.Contains(lines[1], "leftOut") {
		t.Errorf("lines after the flood are %q, want the first to say what is missing", lines)
	}
}

// stuck is a writer that takes nothing until it is told to.
type stuck struct {
	released chan struct{}
	taken    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.released
	return s.taken.Write(p)
}

// Callers go on while nobody reads the log, the memory that waiting lines take is
// bounded, and what is lost is told once somebody reads again.
func TestSinkNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{released: make(chan struct{})}
		sink := event.StartSink(out, clock.System{})
		line := []byte(strings.Repeat("x", 1000) + "\n")
		from := time.Now()
		const flood = 4000
		for range flood {
			if n, err := sink.Write(line); n != len(line) || err != nil {
				t.Fatalf("a line is refused: %d, %v", n, err)
			}
		}
		if took := time.Since(from); took != 0 {
			t.Errorf("callers waited %v", took)
		}
		dropped := sink.Dropped()
		if dropped == 0 || dropped == flood {
			t.Errorf("%d of %d lines are dropped", dropped, flood)
		}
		close(out.released)
		sink.Close()
		written := strings.Count(out.taken.String(), string(line))
		if int64(written) != flood-dropped {
			t.Errorf("%d lines written and %d dropped, want %d in all", written, dropped, flood)
		}
		if !strings.Contains(out.taken.String(), event.LinesDropped.Name()) {
			t.Error("the log does not say that lines are missing")
		}
	})
}

// A line that comes after Close is counted as dropped.
func TestSinkAfterClose(t *testing.T) {
	sink := event.StartSink(io.Discard, clock.System{})
	sink.Close()
	if _, err := sink.Write([]byte("late\n")); err != nil || sink.Dropped() != 1 {
		t.Errorf("%d lines dropped (%v), want 1", sink.Dropped(), err)
	}
}
