package hedge_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/hedge"
)

// This file tests answers whose parts arrive over a long time.

// A slowKV is a store whose answers arrive slowly. It counts its calls.
type slowKV struct {
	pointport.KV
	firstPart time.Duration // until the first part of an answer
	parts     int           // how many arrive, one every 0.1 s
	complete  bool          // whether the answer ends after its parts; if not, nothing more arrives

	calls, cancelled atomic.Int64 // all calls, and those that were cancelled
}

func (k *slowKV) Get(ctx context.Context, _ string) (pointport.Entry, error) {
	k.calls.Add(1)
	wait := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			k.cancelled.Add(1)
			return &pointport.UnavailableError{Op: "get", Err: ctx.Err()}
		}
	}
	if err := wait(k.firstPart); err != nil {
		return pointport.Entry{}, err
	}
	for range k.parts {
		pointport.Progress(ctx)
		if err := wait(100 * time.Millisecond); err != nil {
			return pointport.Entry{}, err
		}
	}
	if !k.complete {
		if err := wait(time.Hour); err != nil {
			return pointport.Entry{}, err
		}
	}
	return pointport.NewEntry("k", []byte("v"), 1), nil
}

// get reads a key through a hedged store and returns how long that took.
func get(t *testing.T, slow *slowKV, within time.Duration) (took time.Duration, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		from := time.Now()
		_, err = hedge.New(slow, clock.System{}).Get(ctx, "k")
		took = time.Since(from)
		synctest.Wait()
	})
	return took, err
}

// TestArrivingAnswerIsNotRequestedAgain reads an answer whose parts keep arriving. Repeated
// calls would share the link: four copies of an answer that fills the link for 1 s take 4 s,
// and each would time out before it is complete.
func TestArrivingAnswerIsNotRequestedAgain(t *testing.T) {
	slow := &slowKV{parts: 20, complete: true}
	if took, err := get(t, slow, time.Minute); err != nil || took != 2*time.Second || slow.calls.Load() != 1 {
		t.Errorf("%v after %v and %d calls, want an answer after 2 s and one call", err, took, slow.calls.Load())
	}
}

// TestOtherCallsAreCancelledOnceAnswerBegins delays an answer so that the call is repeated
// before it begins. Once one answer begins, all other calls must be cancelled.
func TestOtherCallsAreCancelledOnceAnswerBegins(t *testing.T) {
	slow := &slowKV{firstPart: 200 * time.Millisecond, parts: 20, complete: true}
	if _, err := get(t, slow, time.Minute); err != nil {
		t.Fatal(err)
	}
	if calls, cancelled := slow.calls.Load(), slow.cancelled.Load(); calls < 2 || cancelled != calls-1 {
		t.Errorf("%d of %d calls were cancelled, want all but one of at least two", cancelled, calls)
	}
}

// TestStalledAnswerIsRequestedAgain stops an answer in the middle, as when a connection goes
// silent. The call must be repeated after the pause instead of waiting for the rest.
func TestStalledAnswerIsRequestedAgain(t *testing.T) {
	slow := &slowKV{parts: 3}
	if _, err := get(t, slow, 2*time.Second); err == nil {
		t.Error("an incomplete answer was returned")
	}
	if got := slow.calls.Load(); got < 2 {
		t.Errorf("%d calls in 2 s, want a repeated call after the pause", got)
	}
}

// A scriptedKV is a store whose calls of Commit behave as scripted, one function for each.
type scriptedKV struct {
	pointport.KV
	calls  atomic.Int64
	script []func(ctx context.Context) error
}

func (k *scriptedKV) Commit(ctx context.Context, _ pointport.Txn) (pointport.Revision, error) {
	return 1, k.script[k.calls.Add(1)-1](ctx)
}

// Guards against a change that is repeated late: the answer to one call begins and then fails, while
// another call has got no answer at all. An answer that has failed must not delay the next call as
// one that is arriving does.
func TestFailedAnswerDoesNotDelayNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context) error {
			<-ctx.Done()
			return &pointport.UnavailableError{Op: "commit", Err: ctx.Err(), Ambiguous: true}
		}
		breaksOff := func(ctx context.Context) error {
			pointport.Progress(ctx)
			time.Sleep(20 * time.Millisecond)
			return &pointport.UnavailableError{Op: "commit", Err: io.ErrUnexpectedEOF, Ambiguous: true}
		}
		for name, script := range map[string][]func(context.Context) error{
			"before the next call is due": {silent, breaksOff},
			"after the next call was due": {silent, func(ctx context.Context) error {
				time.Sleep(90 * time.Millisecond)
				return breaksOff(ctx)
			}},
		} {
			kv := &scriptedKV{script: append(script, func(context.Context) error { return nil })}
			from := time.Now()
			_, err := hedge.New(kv, clock.System{}).Commit(t.Context(), create)
			if took := time.Since(from); err != nil || took > 200*time.Millisecond || kv.calls.Load() != 3 {
				t.Errorf("%s: %v after %v and %d calls, want success within 200ms by the third call", name, err, took, kv.calls.Load())
			}
		}
	})
}
