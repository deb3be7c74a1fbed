package changelog_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/internal/measure"
	"github.com/pointport/pointport/memory"
)

// BenchmarkFollow reports the cost of a change to its author and to one following
// node, in bytes and calls, and the node's heap, by the number of objects in the state.
func BenchmarkFollow(b *testing.B) {
	for _, objects := range []int{50, 200, 491} {
		b.Run(fmt.Sprint("objects=", objects), func(b *testing.B) { follow(b, objects) })
	}
}

func follow(b *testing.B, objects int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := memory.New(clock.System{})
	author := newLog(store)
	for n := range objects {
		appendObject(b, author, document(b, n, 0))
	}
	before := measure.Heap()
	node := changelog.Start[*config.State, config.Change](ctx, store, clock.System{}, "config", config.NewState())
	if err := node.Refresh(ctx); err != nil {
		b.Fatal(err)
	}
	heap := measure.Heap() - before
	const changes = 200
	for b.Loop() {
		from := store.Counts()
		for n := range changes {
			appendObject(b, author, document(b, n%objects, n+1))
			for node.State().Version() < author.State().Version() {
				runtime.Gosched()
			}
		}
		to := store.Counts()
		b.ReportMetric(float64(to.BytesOut-from.BytesOut)/changes, "read-B/change")
		b.ReportMetric(float64(to.BytesIn-from.BytesIn)/changes, "written-B/change")
		b.ReportMetric(float64(to.Writes-from.Writes)/changes, "writes/change")
		b.ReportMetric(float64(to.Reads-from.Reads)/changes, "reads/change")
		b.ReportMetric(float64(to.Watches-from.Watches)/changes, "watches/change")
		b.ReportMetric(float64(heap), "heap-B")
	}
	runtime.KeepAlive(node)
}

func newLog(store *memory.Store) *changelog.Log[*config.State, config.Change] {
	return changelog.New[*config.State, config.Change](store, clock.System{}, "config", config.NewState())
}

// document returns a template for every ninth n and parameters for the others.
func document(b testing.TB, n, size int) config.Object {
	text := fmt.Sprintf("kind: Parameters\nname: customer-%d\nweight: %d\nquotaCPUMilli: 64000\n", n, 1+size%9)
	if n%9 == 0 {
		text = fmt.Sprintf("kind: Template\nname: pool-%d\nroutes: [{pathPrefix: /pool-%d, repeatable: true}]\npool: {size: %d}\n", n, n, 10+size)
	}
	objects, err := config.Parse("bench", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	return objects[0]
}

func appendObject(b testing.TB, log *changelog.Log[*config.State, config.Change], o config.Object) {
	id := fmt.Sprint(o.ID(), log.State().Version())
	_, err := log.Append(context.Background(), id, func(s *config.State) (config.Change, error) {
		return config.Change{ID: id, Version: s.Version() + 1, Author: "bench", Object: &o}, nil
	})
	if err != nil {
		b.Fatal(err)
	}
}
