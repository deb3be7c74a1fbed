// Package stall bounds how long a call may go without receiving anything, instead of how
// long it may take as a whole.
//
// A timeout for the whole call would have to fit the largest response on the slowest link.
// If it does not, the call is abandoned shortly before its response is complete and made
// again, and the link carries only the beginnings of responses. With a timeout of 1 s, a
// configuration of 1.2 MB that 19 of 29 entry instances read over links of 10 Mbit/s never
// arrived, although their links were fully used.
package stall

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	// initialBufferSize is the initial size of the buffer for a body, in bytes. Most bodies
	// are smaller.
	initialBufferSize = 512
	// maxBodyTime bounds how long a body may take, even if it never pauses for long. The
	// largest body that is read, 4 MB, takes 17 s at 2 Mbit/s.
	maxBodyTime = 20 * time.Second
)

// TimeoutError is the cause of a call's failure when nothing was received for too long.
type TimeoutError struct {
	After time.Duration
}

func (e *TimeoutError) Error() string { return fmt.Sprintf("silent for %v", e.After) }

// TooLargeError is the error for a body that is larger than its reader accepts.
type TooLargeError struct {
	Limit int64 // in bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body has more than %d bytes", e.Limit)
}

// Guard cancels the context of a call when nothing is received for too long.
type Guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	end    context.CancelFunc
	timer  *time.Timer
}

// Start returns a guard for one call. headerTimeout bounds the time until the response
// begins.
func Start(ctx context.Context, headerTimeout time.Duration) *Guard {
	ctx, end := context.WithTimeout(ctx, headerTimeout+maxBodyTime)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(headerTimeout, func() { cancel(&TimeoutError{After: headerTimeout}) })
	return &Guard{ctx: ctx, cancel: cancel, end: end, timer: timer}
}

// Context returns the context to make the call with.
func (g *Guard) Context() context.Context { return g.ctx }

// Stop ends the guard's context and releases its resources. It must be called when the call
// has ended.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(nil)
	g.end()
}

// Cause returns why a call failed with err: a *TimeoutError or another reason for which the
// context ended, otherwise err itself.
func (g *Guard) Cause(err error) error {
	if cause := context.Cause(g.ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// ReadAll reads a response's body. It fails with a *TooLargeError if the body has more than limit
// bytes, and if the body pauses for pauseTimeout. It calls onProgress before each read, so first
// when the response has just begun. If it fails, it returns the data read so far, at most limit
// bytes, and the error that Cause returns.
func (g *Guard) ReadAll(body io.Reader, limit int64, pauseTimeout time.Duration, onProgress func()) ([]byte, error) {
	body = io.LimitReader(body, limit+1)
	data := make([]byte, 0, initialBufferSize)
	for {
		if !g.timer.Reset(pauseTimeout) {
			return data, g.Cause(context.Canceled)
		}
		onProgress()
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return data[:limit], &TooLargeError{limit}
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, g.Cause(err)
		}
	}
}
