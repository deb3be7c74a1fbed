package node_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// A registration is overwritten with bytes that cannot be decoded. From then on its instance is
// not used, neither by the member that has followed the key nor by one that reads all entries
// for the first time. The other instances stay in use, and this one is used again once its
// registration can be decoded. A node logs the undecodable entry once in its lifetime.
func TestInstanceWithUndecodableRegistrationIsNotUsed(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		jobs := 0
		// load submits jobs that need most of the pool, and returns the instances that ran
		// them.
		load := func() map[pointport.InstanceID]bool {
			held := make(map[pointport.InstanceID]bool)
			for range 30 {
				submit(t, c.nodes["n0"].node, q, fmt.Sprintf("%016x", jobs), &workload.Spec{
					Payload: "duration=900ms cpu=1000 memory=64",
					Steps:   []workload.Step{{Count: 3, Need: pointport.Shape{CPUMilli: 1000, MemoryMiB: 64}, Estimate: 900 * time.Millisecond}},
				})
				jobs++
				time.Sleep(100 * time.Millisecond)
				for _, id := range c.fleet.BusyMachines() {
					held[id] = true
				}
			}
			time.Sleep(4 * time.Second)
			return held
		}
		const undecodable pointport.InstanceID = "m-00"
		key := registrationPrefix + string(c.fleet.Incarnation(undecodable).Addressee())
		original, err := c.kv.Get(t.Context(), key)
		if err != nil {
			t.Fatal(err)
		}
		if held := load(); !held[undecodable] {
			t.Fatalf("%v are used, want %s among them", held, undecodable)
		}
		c.put(key, []byte("\xff\x00 nothing that can be read"))
		c.put(registrationPrefix+"i-nobody", []byte(`{"Pool":7}`))
		time.Sleep(time.Second)
		runsOfNode := map[string]int{"n0": 1, "n1": 1, "n2": 1}
		for _, reader := range []string{"the owner that has followed it", "an owner that reads it for the first time"} {
			if held := load(); held[undecodable] || len(held) < 3 {
				t.Errorf("%s uses %v, want only instances other than %s", reader, held, undecodable)
			}
			name := c.owner("shift")
			c.kill(name)
			c.start(name)
			runsOfNode[name]++
			time.Sleep(3 * time.Second)
		}
		c.put(key, original.Value())
		time.Sleep(time.Second)
		if held := load(); !held[undecodable] {
			t.Errorf("%v are used once the registration can be decoded again, want %s among them", held, undecodable)
		}
		lines := strings.Split(strings.TrimSpace(c.logs.containing("registration unreadable")), "\n")
		logged := make(map[string]int)
		for _, line := range lines {
			fields := strings.Fields(line)
			at := slices.IndexFunc(fields, func(f string) bool { return strings.HasPrefix(f, "key=") })
			who := slices.IndexFunc(fields, func(f string) bool { return strings.HasPrefix(f, "node=") })
			logged[fields[who]+" "+fields[at]]++
		}
		for what, times := range logged {
			node := strings.TrimPrefix(strings.Fields(what)[0], "node=")
			if times > runsOfNode[node] {
				t.Errorf("%s is logged %d times in %d runs of the node", what, times, runsOfNode[node])
			}
		}
	}, withoutSteward())
}
