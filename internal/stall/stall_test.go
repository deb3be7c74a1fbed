package stall_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport/internal/stall"
)

// trickle returns a body that brings a byte after each pause, until ctx ends.
func trickle(ctx context.Context, pauses ...time.Duration) io.Reader {
	r, w := io.Pipe()
	go func() {
		for _, pause := range pauses {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				w.CloseWithError(ctx.Err())
				return
			}
			_, _ = w.Write([]byte("x")) // the reader may have gone
		}
		w.Close()
	}()
	return r
}

func read(t *testing.T, first time.Duration, pauses ...time.Duration) (got int, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := stall.Start(t.Context(), first)
		defer g.Stop()
		var data []byte
		data, err = g.ReadAll(trickle(g.Context(), pauses...), 1<<20, time.Second, func() {})
		got = len(data)
	})
	return got, err
}

const ms = time.Millisecond

func TestSlowAnswerIsReadWhole(t *testing.T) {
	got, err := read(t, time.Second, 900*ms, 900*ms, 900*ms, 900*ms)
	if got != 4 || err != nil {
		t.Errorf("%d bytes and %v, want all four although they take 3.6 s", got, err)
	}
}

func TestSilenceEndsAnswer(t *testing.T) {
	got, err := read(t, time.Second, 900*ms, 1100*ms, 900*ms)
	var silence *stall.SilenceError
	if got != 1 || !errors.As(err, &silence) {
		t.Errorf("%d bytes and %v, want one and the silence", got, err)
	}
}

// An answer that never ends does not hold its caller for ever.
func TestTrickleEnds(t *testing.T) {
	pauses := make([]time.Duration, 100)
	for i := range pauses {
		pauses[i] = 900 * ms
	}
	if got, err := read(t, time.Second, pauses...); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%d bytes and %v, want an end", got, err)
	}
}
