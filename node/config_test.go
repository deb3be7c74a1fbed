package node_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport/memory"
)

// This file tests what nodes log about the operators' configuration.

// A node that cannot read the configuration logs that once, and logs once that it can read it
// again.
func TestUnconfirmedConfigurationIsLogged(t *testing.T) {
	simulate(t, 1, func(c *cluster) {
		c.setStoreFault(func(_, op string) memory.Fault {
			if op == "renew" {
				return memory.FaultNone
			}
			return memory.FaultLostCall
		})
		time.Sleep(10 * time.Second)
		c.setStoreFault(func(string, string) memory.Fault { return memory.FaultNone })
		time.Sleep(3 * time.Second)
		for _, line := range []string{"configuration unconfirmed", "configuration confirmed"} {
			if n := strings.Count(c.logs.containing(line), line); n != 1 {
				t.Errorf("%q is logged %d times, want once", line, n)
			}
		}
	})
}
