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

// TestRateLimit checks that a burst of one event is limited, that other events are logged
// meanwhile, and that the next line of the event holds the number of lines left out.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	now := clock.NewFake(time.Unix(1000, 0))
	limiter := event.NewRateLimiter(slog.NewTextHandler(&out, nil), now)
	logger := slog.New(limiter).With(slog.String("node", "a"))
	const burst = 2000
	for range burst {
		event.TaskPlaced.Log(logger)
	}
	event.JobEnded.Log(logger)
	passed := strings.Count(out.String(), "event=506")
	if passed == 0 || passed > burst/2 {
		t.Errorf("%d of %d lines are written, want at least 1 and at most half", passed, burst)
	}
	if !strings.Contains(out.String(), "event=502") {
		t.Error("another event's line is left out")
	}
	if got := limiter.LeftOut(); got != int64(burst-passed) {
		t.Errorf("%d lines left out, want %d", got, burst-passed)
	}
	out.Reset()
	now.Advance(time.Second)
	event.TaskPlaced.Log(logger)
	event.TaskPlaced.Log(logger)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "leftOut=1500") || strings.Contains(lines[1], "leftOut") {
		t.Errorf("lines after the burst are %q, want leftOut=1500 in the first only", lines)
	}
}

// blockedWriter is a writer that blocks until released is closed.
type blockedWriter struct {
	released chan struct{}
	contents bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.contents.Write(p)
}

// TestSinkNeverBlocks guards against a process that stops, or runs out of memory, because
// nobody reads its log: callers go on, lines beyond a limit are dropped, and the log
// contains the number of dropped lines once it is read again.
func TestSinkNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{released: make(chan struct{})}
		sink := event.StartSink(out, clock.System{})
		line := []byte(strings.Repeat("x", 1000) + "\n")
		from := time.Now()
		const burst = 4000
		for range burst {
			if n, err := sink.Write(line); n != len(line) || err != nil {
				t.Fatalf("Write returns %d, %v, want the length of the line and no error", n, err)
			}
		}
		if took := time.Since(from); took != 0 {
			t.Errorf("callers waited %v", took)
		}
		dropped := sink.Dropped()
		if dropped == 0 || dropped == burst {
			t.Errorf("%d of %d lines are dropped, want some but not all", dropped, burst)
		}
		close(out.released)
		sink.Close()
		written := strings.Count(out.contents.String(), string(line))
		if int64(written) != burst-dropped {
			t.Errorf("%d lines written and %d dropped, want %d in total", written, dropped, burst)
		}
		if !strings.Contains(out.contents.String(), event.LinesDropped.Name()) {
			t.Error("the log does not contain the number of dropped lines")
		}
	})
}

// TestSinkAfterClose checks that a line written after Close is counted as dropped.
func TestSinkAfterClose(t *testing.T) {
	sink := event.StartSink(io.Discard, clock.System{})
	sink.Close()
	if _, err := sink.Write([]byte("late\n")); err != nil || sink.Dropped() != 1 {
		t.Errorf("%d lines dropped (%v), want 1", sink.Dropped(), err)
	}
}
