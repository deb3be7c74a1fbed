package claim_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pointport/pointport/claim"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/internal/measure"
	"github.com/pointport/pointport/memory"
)

// BenchmarkIndex measures the memory, the stored bytes and the writes per claim,
// by the number of claims that are kept.
func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{5000, 20000, 80000} {
		b.Run(fmt.Sprint("claims=", n), func(b *testing.B) {
			for b.Loop() {
				fillClaimer(b, n)
			}
		})
	}
}

func fillClaimer(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := memory.New(clock.System{})
	before := measure.Heap()
	claimer := claim.Start(ctx, store, clock.System{}, "a", claim.WithWriteRate(1e6, time.Millisecond))
	work := make(chan int)
	done := make(chan struct{})
	const callers = 256
	for range callers {
		go func() {
			for k := range work {
				t, err := claimer.Claim(ctx, key(k))
				if err != nil {
					b.Error(err)
				} else {
					t.RecordOutcome(claim.Ran, 200)
				}
			}
			done <- struct{}{}
		}()
	}
	for k := range n {
		work <- k
	}
	close(work)
	for range callers {
		<-done
	}
	stored := store.StoredBytes()
	b.ReportMetric(float64(measure.Heap()-before-stored)/float64(n), "heap-B/claim")
	b.ReportMetric(float64(stored)/float64(n), "stored-B/claim")
	b.ReportMetric(float64(store.Counts().Writes)/float64(n), "writes/claim")
	runtime.KeepAlive(claimer)
}
