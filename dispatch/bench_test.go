package dispatch_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/dispatch"
	"github.com/pointport/pointport/internal/measure"
)

// BenchmarkAcquire measures the time to acquire and end a grant, and the memory of
// a service, for several numbers of upstreams.
func BenchmarkAcquire(b *testing.B) {
	objects, err := config.Parse("bench", []byte("kind: Template\nname: tips\n"))
	if err != nil {
		b.Fatal(err)
	}
	tpl := objects[0].Template()
	for _, n := range []int{10, 50, 500, 2000} {
		before := measure.Heap()
		s := dispatch.New("tips", clock.System{}, tpl, dispatch.WithZone("zone-a"))
		s.Update(tpl, targets(n))
		held := measure.Heap() - before
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			b.ReportAllocs()
			r := dispatch.Request{Priority: config.Normal, Deadline: time.Now().Add(time.Hour)}
			for b.Loop() {
				g, err := s.Acquire(context.Background(), r)
				if err != nil {
					b.Fatal(err)
				}
				g.End(dispatch.Succeeded, time.Millisecond)
			}
			b.ReportMetric(float64(held), "heap-B")
		})
		runtime.KeepAlive(s)
	}
}
