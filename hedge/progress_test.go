package hedge_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/hedge"
)

// This file tests answers that take long to come whole.

// A thinKV is a store whose answers take long to come. It counts what it is asked.
type thinKV struct {
	pointport.KV
	begins time.Duration // until the first part of an answer
	parts  int           // how many come, one each 0.1 s; then silence unless whole
	whole  bool

	calls, given atomic.Int64 // calls, and those of them that were given up
}

func (k *thinKV) Get(ctx context.Context, _ string) (pointport.Entry, error) {
	k.calls.Add(1)
	wait := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			k.given.Add(1)
			return &pointport.UnavailableError{Op: "get", Err: ctx.Err()}
		}
	}
	if err := wait(k.begins); err != nil {
		return pointport.Entry{}, err
	}
	for range k.parts {
		pointport.Progress(ctx)
		if err := wait(100 * time.Millisecond); err != nil {
			return pointport.Entry{}, err
		}
	}
	if !k.whole {
		if err := wait(time.Hour); err != nil {
			return pointport.Entry{}, err
		}
	}
	return pointport.NewEntry("k", []byte("v"), 1), nil
}

func get(t *testing.T, thin *thinKV, within time.Duration) (took time.Duration, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		from := time.Now()
		_, err = hedge.New(thin, clock.System{}).Get(ctx, "k")
		took = time.Since(from)
		synctest.Wait()
	})
	return took, err
}

// Four copies of an answer that fills its link for a second take four seconds there;
// each would be given up before it is whole.
func TestAnswerThatComesIsNotAskedForAgain(t *testing.T) {
	thin := &thinKV{parts: 20, whole: true}
	if took, err := get(t, thin, time.Minute); err != nil || took != 2*time.Second || thin.calls.Load() != 1 {
		t.Errorf("%v after %v and %d calls, want the answer of the only one after 2 s", err, took, thin.calls.Load())
	}
}

// Calls that were made before an answer began are given up for it.
func TestOneCopyOfAnswerComes(t *testing.T) {
	thin := &thinKV{begins: 200 * time.Millisecond, parts: 20, whole: true}
	if _, err := get(t, thin, time.Minute); err != nil {
		t.Fatal(err)
	}
	if calls, given := thin.calls.Load(), thin.given.Load(); calls < 2 || given != calls-1 {
		t.Errorf("%d of %d calls were given up, want all but one of at least two", given, calls)
	}
}

// A connection may go silent within an answer.
func TestAnswerThatStopsIsAskedForAgain(t *testing.T) {
	thin := &thinKV{parts: 3}
	if _, err := get(t, thin, 2*time.Second); err == nil {
		t.Error("an answer that never came whole counts")
	}
	if got := thin.calls.Load(); got < 2 {
		t.Errorf("%d call in 2 s, want another after the silence", got)
	}
}
