// Package bubbletimers tests whether a toolchain's race detector supports timers of a
// synctest bubble that fire on several threads at once. The race detector keeps a single
// state for all timers of a bubble, and crashes if two threads use it at the same time.
//
// In ten runs of each test with the race detector, go1.26.8 and go1.26.11 crash in all of
// them, go1.27.4 in none:
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
	goroutines         = 8
	timersPerGoroutine = 5000
)

// runConcurrently calls f in a bubble, many times in each of several goroutines.
func runConcurrently(t *testing.T, f func(i int)) {
	synctest.Test(t, func(*testing.T) {
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				for i := range timersPerGoroutine {
					f(i)
				}
			})
		}
		wg.Wait()
	})
}

// TestExpiredTimers covers timers that have expired when their channel is read. They fire
// in the goroutine that reads.
func TestExpiredTimers(t *testing.T) {
	runConcurrently(t, func(int) { <-time.After(0) })
}

// TestAfterFuncTimers covers timers with a function, which fire concurrently with the
// bubble's running goroutines.
func TestAfterFuncTimers(t *testing.T) {
	runConcurrently(t, func(i int) {
		fired := make(chan struct{})
		time.AfterFunc(time.Duration(i%3), func() { close(fired) })
		if i%2 == 0 {
			time.Sleep(time.Nanosecond)
		}
		<-fired
	})
}
