package shard

import "time"

// This file defines how many starts may be in flight at once.

const (
	// initialWindow is how many starts a new owner may have in flight. A link of 2 Mbit/s
	// carries them in 0.4 s, at 0.8 KB each.
	initialWindow = 128
	// minWindow is the lower bound of the window. A link of 2 Mbit/s carries this many
	// starts in 0.1 s. If answers are late for another reason, such as a processor quota of
	// a few milliseconds per tenth of a second, a narrower window would only reduce the
	// rate of starts. maxWindow is the upper bound: one start for each task slot of 150
	// instances of 16 cores.
	minWindow = 32
	maxWindow = 1024
	// fastAnswer is the time within which a start is answered while the owner keeps up with
	// its orders. Instances answer in 2 to 6 ms. At peaks of 470 starts a second, on entry
	// instances with 0.8 of a core, 99 of 100 starts were answered within 0.1 s of their
	// placement, including the write to the store.
	fastAnswer = 120 * time.Millisecond
	// narrowInterval is the least time between two reductions of the window. Answers that
	// arrive sooner belong to starts that were sent before the first reduction.
	narrowInterval = 200 * time.Millisecond
)

// A window limits the starts in flight according to how fast they are answered, so that an
// owner that is short of processor time or bandwidth sends no more orders than it can process.
// Without a limit, the orders to a pool of 90 instances filled a link of 2 Mbit/s. Each order
// then took longer than its timeout of 0.4 s and was sent again. Instances that did answer
// were considered silent, so the execution leases of their tasks expired.
//
// Only late answers narrow the window. A start without an answer indicates a failure of its
// instance, not of the owner's link.
type window struct {
	size       float64
	narrowedAt time.Time // when it was last narrowed, zero if it never was
}

func newWindow() window { return window{size: initialWindow} }

// answered records that a start was answered at now after the time took, with inFlight starts
// in flight including this one. It reports whether that narrows the window.
func (w *window) answered(now time.Time, took time.Duration, inFlight int) bool {
	if took > fastAnswer {
		return w.narrow(now)
	}
	if float64(inFlight) >= w.size/2 { // a window that is not used does not show whether a wider one works
		w.widen()
	}
	return false
}

// widen widens the window. Until the window is first narrowed, it doubles with as many answers
// as its size. After that it grows by one with as many.
func (w *window) widen() {
	step := 1.0
	if !w.narrowedAt.IsZero() {
		step = 1 / w.size
	}
	w.size = min(w.size+step, maxWindow)
}

func (w *window) narrow(now time.Time) bool {
	if now.Sub(w.narrowedAt) < narrowInterval {
		return false
	}
	w.size, w.narrowedAt = max(w.size/2, minWindow), now
	return true
}
