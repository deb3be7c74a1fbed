// Package bubbletimers shows whether a toolchain's race detector bears timers of a
// synctest bubble that fire on several threads at once. The detector keeps one state
// for all timers of a bubble; two threads that use it at a time make it crash.
//
// Of ten runs of each test under the detector, go1.26.8 and go1.26.11 crash in all,
// go1.27.4 in none:
//
//	GOTOOLCHAIN=go1.26.8 go test -race ./experiments/bubbletimers
package bubbletimers_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	goroutines = 8
	timersEach = 5000
)

// together runs f in a bubble, in several goroutines many times.
func together(t *testing.T, f func(i int)) {
	synctest.Test(t, func(*testing.T) {
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				for i := range timersEach {
					f(i)
				}
			})
		}
		wg.Wait()
	})
}

// A timer that is due when its channel is asked fires in the goroutine that asks.
func TestDueTimers(t *testing.T) {
	together(t, func(int) { <-time.After(0) })
}

// Timers with a function fire beside the goroutines that run.
func TestTimersWithFunction(t *testing.T) {
	together(t, func(i int) {
		fired := make(chan struct{})
		time.AfterFunc(time.Duration(i%3), func() { close(fired) })
		if i%2 == 0 {
			time.Sleep(time.Nanosecond)
		}
		<-fired
	})
}
