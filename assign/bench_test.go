package assign_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/internal/measure"
)

// The benchmarks measure the costs per instance of a zone's planner that
// docs/CAPACITY.md lists: memory, time and stored bytes.

var sizes = []int{250, 500, 1000, 2000}

// poolsPerZone is how many pools share a zone's instances.
const poolsPerZone = 51

// fleet returns the platform's list for a zone of n instances, and templates for
// its pools.
func fleet(n int, now time.Time) ([]pointport.Instance, []*config.Template) {
	var list []pointport.Instance
	for i := range n {
		list = append(list, pointport.Instance{
			ID: pointport.InstanceID(fmt.Sprintf("zone-a-%05d", i)), Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
			Region: "region-1", Zone: "zone-a", Rack: fmt.Sprintf("zone-a-rack-%d", i/4), Boots: 1,
			Shape: pointport.Shape{CPUMilli: 16000, MemoryMiB: 32768}, State: pointport.InstanceLive, Reported: now,
		})
	}
	var templates []*config.Template
	for p := range poolsPerZone {
		text := fmt.Sprintf("kind: Template\nname: pool-%d\npool: {size: %d}\nmaintenance: {period: 1008h}\n", p, n/poolsPerZone)
		objects, err := config.Parse("bench", []byte(text))
		if err != nil {
			panic(err)
		}
		templates = append(templates, objects[0].Template())
	}
	return list, templates
}

// settle applies decisions until nothing is left to do and returns the state.
func settle(in assign.Input) *assign.State {
	for {
		c := assign.Decide(in)
		if c.Empty() {
			return in.State
		}
		c.Version = in.State.Version() + 1
		next, err := in.State.Apply(c)
		if err != nil {
			panic(err)
		}
		in.State = next
	}
}

func inputOf(n int) assign.Input {
	now := time.Unix(1_800_000_000, 0)
	list, templates := fleet(n, now)
	in := assign.Input{
		Now: now, Zone: "zone-a", Zones: []pointport.ZoneID{"zone-a"}, State: assign.NewState(),
		Templates: templates, Listed: list, Share: func(*config.Template) int { return 2 },
	}
	in.State = settle(in)
	return in
}

// BenchmarkDecide measures a decision that has nothing to do.
func BenchmarkDecide(b *testing.B) {
	for _, n := range sizes {
		in := inputOf(n)
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				assign.Decide(in)
			}
		})
	}
}

// BenchmarkFloatingBudgetDemand measures FloatingBudgetDemand for all pools, which
// runs before each decision.
func BenchmarkFloatingBudgetDemand(b *testing.B) {
	for _, n := range sizes {
		in := inputOf(n)
		in.Zones = []pointport.ZoneID{"zone-a", "zone-b", "zone-c"}
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			for b.Loop() {
				assign.FloatingBudgetDemand(in)
			}
		})
	}
}

// BenchmarkState measures the size of a zone's state in memory and in the store.
func BenchmarkState(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			for b.Loop() {
				data, err := json.Marshal(inputOf(n).State)
				if err != nil {
					b.Fatal(err)
				}
				before := measure.Heap()
				var decoded assign.State
				if err := json.Unmarshal(data, &decoded); err != nil {
					b.Fatal(err)
				}
				after := measure.Heap()
				b.ReportMetric(float64(len(data)), "stored-B")
				b.ReportMetric(float64(after-before), "heap-B")
				runtime.KeepAlive(&decoded)
			}
		})
	}
}
