package testbed

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines faults of an instance that keeps running: it stalls, its registration
// disappears, its clock runs at the wrong rate, or its answers are lost. The incarnation stays up
// throughout, so its runs still count in the checks.

// Stall makes a machine's current incarnation handle no order for d. It then handles all pending
// orders at once, including those whose callers have gone. Its runs continue meanwhile, and its
// lease keeps elapsing.
func (f *Fleet) Stall(id pointport.InstanceID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil && m.current != nil {
		f.disturbUntil(f.clock.Now().Add(d))
		m.current.stalledUntil = f.clock.Now().Add(d)
	}
}

// awaitStall blocks until an incarnation is not stalled.
func (f *Fleet) awaitStall(inc *incarnation) {
	if inc == nil {
		return
	}
	f.mu.Lock()
	left := inc.stalledUntil.Sub(f.clock.Now())
	f.mu.Unlock()
	if left > 0 {
		<-f.clock.After(left)
	}
}

// DropRegistration removes a machine's registration for d while its incarnation keeps running.
func (f *Fleet) DropRegistration(id pointport.InstanceID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil || m.current == nil {
		return
	}
	inc, wake := m.current, f.clock.After(d)
	f.disturbUntil(f.clock.Now().Add(d))
	f.onRegistration(f.registration(m), false)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.current == inc {
			f.onRegistration(f.registration(m), true)
		}
	}()
}

// SetClockRate sets the rate of the clocks of a machine's current and later incarnations, 1 being
// right.
func (f *Fleet) SetClockRate(id pointport.InstanceID, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil {
		return
	}
	f.disturb()
	m.clockRate = rate
	if i, now := m.current, f.clock.Now(); i != nil {
		i.advance(now)
		i.clockOrigin, i.clockSetAt, i.rate = i.clockAt(now), now, rate
	}
}

// SetAnswersMayBeLost sets whether a machine's answers may be lost on the way. While they may, the
// ends that it lists do not count as received, and neither do those that it listed less than
// answerReceiptTime ago.
func (f *Fleet) SetAnswersMayBeLost(id pointport.InstanceID, lossy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil {
		return
	}
	f.disturb()
	m.answersMayBeLost = lossy
	if m.current == nil || !lossy {
		return
	}
	for _, task := range f.unacknowledged[m.current] {
		if f.clock.Now().Sub(f.listedSince[task]) < answerReceiptTime {
			delete(f.listedSince, task)
		}
	}
}
