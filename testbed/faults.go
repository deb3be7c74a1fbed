package testbed

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines what befalls an instance that lives on all the same: it stands still,
// its registration goes, or its clock is wrong. It is up all the while, so what it runs
// counts.

// Stall has a machine's present life handle no order for a while, and then all that wait at
// once, also those whose callers have gone. What runs there goes on, and its time too.
func (f *Fleet) Stall(id pointport.InstanceID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil && m.current != nil {
		m.current.stalledUntil = f.clock.Now().Add(d)
	}
}

// awaitStall waits while a life stands still.
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

// DropRegistration has a machine's registration go although it lives, and come back after a while.
func (f *Fleet) DropRegistration(id pointport.InstanceID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil || m.current == nil {
		return
	}
	inc, wake := m.current, f.clock.After(d)
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

// SetClockRate sets how fast the clocks of a machine's lives run from now on, 1 being right.
func (f *Fleet) SetClockRate(id pointport.InstanceID, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil {
		return
	}
	m.clockRate = rate
	if i, now := m.current, f.clock.Now(); i != nil {
		i.advance(now)
		i.clockOrigin, i.clockSetAt, i.rate = i.clockAt(now), now, rate
	}
}

// SetAnswersMayBeLost says whether what a machine answers may be lost on its way. What it lists then
// is not known to be heard, nor what it has just listed.
func (f *Fleet) SetAnswersMayBeLost(id pointport.InstanceID, unheard bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil {
		return
	}
	m.answersMayBeLost = unheard
	if m.current == nil || !unheard {
		return
	}
	for _, task := range f.unacknowledged[m.current] {
		if f.clock.Now().Sub(f.listedSince[task]) < answerReceiptTime {
			delete(f.listedSince, task)
		}
	}
}
