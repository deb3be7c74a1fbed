package stall_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport/internal/stall"
)

// slowBody returns a body that delivers a byte after each pause, until ctx ends.
func slowBody(ctx context.Context, pauses ...time.Duration) io.Reader {
	r, w := io.Pipe()
	go func() {
		for _, pause := range pauses {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				w.CloseWithError(ctx.Err())
				return
			}
			_, _ = w.Write([]byte("x")) // the reader may have stopped reading
		}
		w.Close()
	}()
	return r
}

// readBody reads a body with these pauses through a guard, and returns how many bytes it
// received.
func readBody(t *testing.T, headerTimeout time.Duration, pauses ...time.Duration) (n int, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := stall.Start(t.Context(), headerTimeout)
		defer g.Stop()
		var data []byte
		data, err = g.ReadAll(slowBody(g.Context(), pauses...), 1<<20, time.Second, func() {})
		n = len(data)
	})
	return n, err
}

const ms = time.Millisecond

// TestSlowResponseIsReadCompletely guards against a timeout for the call as a whole: none of
// the pauses is too long, but together they are longer than either timeout.
func TestSlowResponseIsReadCompletely(t *testing.T) {
	n, err := readBody(t, time.Second, 900*ms, 900*ms, 900*ms, 900*ms)
	if n != 4 || err != nil {
		t.Errorf("%d bytes and %v, want all four although they take 3.6 s", n, err)
	}
}

// TestStalledResponseFails checks that one pause that is too long ends the call, and that
// the data received before it is returned.
func TestStalledResponseFails(t *testing.T) {
	n, err := readBody(t, time.Second, 900*ms, 1100*ms, 900*ms)
	var timeout *stall.TimeoutError
	if n != 1 || !errors.As(err, &timeout) {
		t.Errorf("%d bytes and %v, want one byte and a TimeoutError", n, err)
	}
}

// TestBodyTimeIsBounded guards against a response that delivers a byte now and then for
// ever and so blocks its caller for ever.
func TestBodyTimeIsBounded(t *testing.T) {
	pauses := make([]time.Duration, 100)
	for i := range pauses {
		pauses[i] = 900 * ms
	}
	if n, err := readBody(t, time.Second, pauses...); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%d bytes and %v, want that the deadline is exceeded", n, err)
	}
}

// Guards against a body over the limit that is cut without an error, so that its reader takes it for
// an invalid one, or worse for a complete one.
func TestBodyOverLimitFails(t *testing.T) {
	for size, tooLarge := range map[int]bool{9: false, 10: false, 11: true, 2000: true} {
		g := stall.Start(t.Context(), time.Second)
		data, err := g.ReadAll(strings.NewReader(strings.Repeat("x", size)), 10, time.Second, func() {})
		g.Stop()
		var limit *stall.TooLargeError
		if errors.As(err, &limit) != tooLarge || len(data) > 10 || !tooLarge && len(data) != size {
			t.Errorf("%d bytes with a limit of 10: %d bytes and %v, want an error %v", size, len(data), err, tooLarge)
		}
	}
}
