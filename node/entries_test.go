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

// Bytes that cannot be read replace the registration of an instance. From then on it is
// not used, by the member that has followed it no more than by one that reads all entries
// for the first time; the other instances are used on, and this one again once its
// registration can be read. Each life of a member says so once.
func TestUnreadableRegistrationNamesNoInstance(t *testing.T) {
	bubble(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		jobs := 0
		// load submits jobs that take most of the pool, and returns where they ran.
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
		const odd pointport.InstanceID = "m-00"
		key := registrationPrefix + string(c.fleet.Incarnation(odd).Addressee())
		whole, err := c.kv.Get(t.Context(), key)
		if err != nil {
			t.Fatal(err)
		}
		if held := load(); !held[odd] {
			t.Fatalf("%v are used, want %s among them", held, odd)
		}
		c.put(key, []byte("\xff\x00 nothing that can be read"))
		c.put(registrationPrefix+"i-nobody", []byte(`{"Pool":7}`))
		time.Sleep(time.Second)
		lives := map[string]int{"n0": 1, "n1": 1, "n2": 1}
		for _, who := range []string{"the owner that followed it", "an owner that reads it first"} {
			if held := load(); held[odd] || len(held) < 3 {
				t.Errorf("%s uses %v, want others than %s", who, held, odd)
			}
			name := c.owner("shift")
			c.kill(name)
			c.start(name)
			lives[name]++
			time.Sleep(3 * time.Second)
		}
		c.put(key, whole.Value())
		time.Sleep(time.Second)
		if held := load(); !held[odd] {
			t.Errorf("%v are used once the registration can be read again, want %s among them", held, odd)
		}
		lines := strings.Split(strings.TrimSpace(c.logs.about("registration unreadable")), "\n")
		said := make(map[string]int)
		for _, line := range lines {
			fields := strings.Fields(line)
			at := slices.IndexFunc(fields, func(f string) bool { return strings.HasPrefix(f, "key=") })
			who := slices.IndexFunc(fields, func(f string) bool { return strings.HasPrefix(f, "node=") })
			said[fields[who]+" "+fields[at]]++
		}
		for what, times := range said {
			node := strings.TrimPrefix(strings.Fields(what)[0], "node=")
			if times > lives[node] {
				t.Errorf("%s is said %d times in %d lives of the node", what, times, lives[node])
			}
		}
	}, withoutSteward())
}
