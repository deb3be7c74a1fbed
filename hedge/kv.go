// Package hedge repeats calls to the platform's store whose answer is overdue.
//
// Most answers begin within milliseconds. If one doesn't begin within a few times the
// typical latency, it may be lost or stuck in a connection that has gone silent, and
// the same call is made again on another connection. The first answer counts. An
// answer that has begun is not overdue, however long the rest takes.
//
// Invariants:
//
//   - While the answer to a read is arriving, no other call for it is made or
//     continues, so that a link carries only one copy of a large answer at a time.
//   - A call is repeated only if it changes nothing, or if its change invalidates its
//     own condition, so that the change is made at most once.
//   - A call that may have taken effect is never reported as one without effect.
package hedge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

const (
	// overdueFactor times the typical latency is the time after which an answer is
	// overdue.
	overdueFactor = 3
	// minOverdue and maxOverdue bound that time. The store usually answers in 4 ms, but
	// a busy entry instance may take some tens of milliseconds to process the answer.
	// A call times out after 1 s.
	minOverdue = 50 * time.Millisecond
	maxOverdue = 500 * time.Millisecond
	// maxCalls bounds the calls for one answer. The wait doubles with each call. If two
	// in five answers are lost, two calls leave one request in six without an answer,
	// and four calls one in forty.
	maxCalls = 4
	// maxPause is how long an answer that has begun may pause before the call is made
	// again. Parts of an answer arrive every few milliseconds on a link of 10 Mbit/s,
	// and a process may be suspended for 0.1 s.
	maxPause = 500 * time.Millisecond
	// sampleWeight is the weight of a new sample in the typical latency.
	sampleWeight = 0.25
)

// A KV is a store whose overdue calls are made again. A lost answer then costs about
// 0.05 s instead of the 1 s after which a call times out. With 49 instances, the score
// of a day on which 40% of the changes get no answer for some seconds, or all open
// connections go silent, is 0.55 with a KV and 0.26 without (over 16 days). A KV is
// safe for concurrent use.
type KV struct {
	pointport.KV
	clock pointport.Clock

	mu             sync.Mutex
	typicalLatency time.Duration // moving average of the time until an answer begins
}

// New returns a KV that repeats overdue calls to kv.
func New(kv pointport.KV, clock pointport.Clock) *KV { return &KV{KV: kv, clock: clock} }

var _ pointport.KV = (*KV)(nil)

// Get returns the entry of key.
func (k *KV) Get(ctx context.Context, key string) (pointport.Entry, error) {
	return race(ctx, k, readOnly, func(ctx context.Context) (pointport.Entry, error) { return k.KV.Get(ctx, key) })
}

// Range returns a page of the entries under prefix whose keys follow after.
func (k *KV) Range(ctx context.Context, prefix, after string) (pointport.Page, error) {
	return race(ctx, k, readOnly, func(ctx context.Context) (pointport.Page, error) { return k.KV.Range(ctx, prefix, after) })
}

// Commit makes a change. If the call that made it loses its answer, the repeated call
// fails with a *pointport.TxnConflictError; its entries show the caller whose change
// was made. A change without a condition could be made twice, so it is sent only once.
func (k *KV) Commit(ctx context.Context, txn pointport.Txn) (pointport.Revision, error) {
	if len(txn.If) == 0 {
		return k.KV.Commit(ctx, txn)
	}
	kind := mutating
	if len(txn.Put)+len(txn.Delete) == 0 {
		kind = readOnly
	}
	return race(ctx, k, kind, func(ctx context.Context) (pointport.Revision, error) { return k.KV.Commit(ctx, txn) })
}

// overdueAfter returns the time after which an answer is overdue.
func (k *KV) overdueAfter() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(max(overdueFactor*k.typicalLatency, minOverdue), maxOverdue)
}

// recordLatency adds the time until an answer began to the typical latency.
func (k *KV) recordLatency(latency time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.typicalLatency += time.Duration(sampleWeight * float64(latency-k.typicalLatency))
}

// An outcome is the result of one call.
type outcome[T any] struct {
	number int // of the call
	value  T
	err    error
}

// A callKind is whether a call may change the store.
type callKind bool

const (
	readOnly callKind = false
	mutating callKind = true
)

// A hedgedCall holds the calls made for one answer.
type hedgedCall[T any] struct {
	kv       *KV
	kind     callKind
	call     func(context.Context) (T, error)
	outcomes chan outcome[T]
	progress chan int // number of a call when a part of its answer arrives
	cancels  []context.CancelFunc
	// parts holds, for each call, when a part of its answer last arrived, zero if none did. A
	// call that has failed has none, and takes no more.
	parts []time.Time
	ended []bool // whether a call has failed
}

// race makes a call, repeats it while its answer is overdue, and returns the first
// answer. If no call gets an answer, it returns the error of one that may have taken
// effect, if any.
func race[T any](ctx context.Context, k *KV, kind callKind, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the slower calls
	r := &hedgedCall[T]{kv: k, kind: kind, call: call, outcomes: make(chan outcome[T], maxCalls), progress: make(chan int, 1)}
	return r.run(ctx)
}

// run makes the calls and returns their result.
func (r *hedgedCall[T]) run(ctx context.Context) (T, error) {
	var failed outcome[T]
	overdue := false // whether the next call waits only for an answer that is arriving
	r.send(ctx)
	pending := 1
	wait := r.kv.overdueAfter()
	timer := r.kv.clock.After(wait)
	for {
		select {
		case o := <-r.outcomes:
			if !unanswered(o.err) {
				return o.value, o.err
			}
			if failed.err == nil || !ambiguous(failed.err) {
				failed = o
			}
			if pending--; pending == 0 {
				return failed.value, failed.err
			}
			r.parts[o.number], r.ended[o.number] = time.Time{}, true
			if overdue && r.lastPart().IsZero() {
				timer = r.kv.clock.After(0)
			}
		case n := <-r.progress:
			if r.ended[n] {
				continue
			}
			if r.lastPart().IsZero() {
				r.cancelOthers(n)
			}
			r.parts[n] = r.kv.clock.Now()
		case <-timer:
			lastPart := r.lastPart()
			if pause := r.kv.clock.Now().Sub(lastPart); !lastPart.IsZero() && pause < maxPause {
				overdue = true
				timer = r.kv.clock.After(maxPause - pause)
				continue
			}
			if len(r.cancels) == maxCalls {
				timer = nil
				continue
			}
			overdue = false
			clear(r.parts)
			r.send(ctx)
			pending++
			wait *= 2
			timer = r.kv.clock.After(wait)
		}
	}
}

// lastPart returns when a part of an answer last arrived, of the calls that have not failed, or zero
// if none has arrived since the last call was sent.
func (r *hedgedCall[T]) lastPart() time.Time {
	var last time.Time
	for _, at := range r.parts {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// send starts one more call.
func (r *hedgedCall[T]) send(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	number := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.parts, r.ended = append(r.parts, time.Time{}), append(r.ended, false)
	start := r.kv.clock.Now()
	var begun sync.Once
	record := func() { r.kv.recordLatency(r.kv.clock.Now().Sub(start)) }
	ctx = pointport.WithProgress(ctx, func() {
		begun.Do(record)
		select {
		case r.progress <- number:
		default: // another part is already waiting to be processed
		}
	})
	go func() {
		value, err := r.call(ctx)
		if !unanswered(err) {
			begun.Do(record)
		}
		r.outcomes <- outcome[T]{number, value, err}
	}()
}

// cancelOthers cancels all calls except one whose answer is arriving, if they change
// nothing: further copies of the answer would compete with it for the link.
func (r *hedgedCall[T]) cancelOthers(number int) {
	if r.kind == mutating {
		return
	}
	for n, cancel := range r.cancels {
		if n != number {
			cancel()
		}
	}
}

// unanswered reports whether err means that a call got no usable answer.
func unanswered(err error) bool {
	var unavailable *pointport.UnavailableError
	return errors.As(err, &unavailable) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// ambiguous reports whether err means that a call without a usable answer may have
// taken effect.
func ambiguous(err error) bool {
	var unavailable *pointport.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}
