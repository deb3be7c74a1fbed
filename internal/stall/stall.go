// Package stall bounds how long a call may be silent, in place of how long it may
// take as a whole.
//
// A bound on the whole call has to fit the largest answer on the thinnest link. Where
// it does not, the call is given up shortly before its answer is there, made again, and
// the link carries nothing but beginnings of answers: a configuration of 1.2 MB that
// 19 of 29 entry instances read over 10 Mbit/s was given up after 1 s each time and
// never came, while their links were full.
package stall

import (
	"context"
	"fmt"
	"io"
	"time"
)

const (
	// firstPiece is for how many bytes there is room at first. Most answers are smaller.
	firstPiece = 512
	// longest bounds a call whose answer trickles. The largest answer that is read,
	// 4 MB, takes 17 s at 2 Mbit/s.
	longest = 20 * time.Second
)

// A SilenceError says that nothing came for too long.
type SilenceError struct {
	After time.Duration
}

func (e *SilenceError) Error() string { return fmt.Sprintf("silent for %v", e.After) }

// A Guard ends its context when nothing has come for a while.
type Guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	end    context.CancelFunc
	timer  *time.Timer
}

// Start returns a guard that waits so long for the first bytes of an answer.
func Start(ctx context.Context, first time.Duration) *Guard {
	ctx, end := context.WithTimeout(ctx, first+longest)
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(&SilenceError{After: first}) })
	return &Guard{ctx: ctx, cancel: cancel, end: end, timer: timer}
}

// Context returns the context under which to make the call.
func (g *Guard) Context() context.Context { return g.ctx }

// Stop frees what the guard holds. The call is over.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(nil)
	g.end()
}

// Cause returns why a call failed with err: the silence, if that ended it.
func (g *Guard) Cause(err error) error {
	if cause := context.Cause(g.ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// ReadAll reads at most limit bytes of an answer's body, as long as no silence within
// it lasts longer than pause. came is called as soon as the answer begins, and with
// each piece. On an error it returns what has come.
func (g *Guard) ReadAll(body io.Reader, limit int64, pause time.Duration, came func()) ([]byte, error) {
	body = io.LimitReader(body, limit)
	data := make([]byte, 0, firstPiece)
	for {
		if !g.timer.Reset(pause) {
			return data, g.Cause(context.Canceled)
		}
		came()
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, g.Cause(err)
		}
	}
}
