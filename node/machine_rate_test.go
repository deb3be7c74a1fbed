package node_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
)

// This file tests how many orders about instances are given in a second.

// A countingMachines service for machines counts the orders that it gets.
type countingMachines struct {
	pointport.Machines

	mu     sync.Mutex
	orders []time.Time
}

// Maintain maintains a machine.
func (c *countingMachines) Maintain(ctx context.Context, by pointport.Holder, id pointport.InstanceID, wave int64) error {
	c.mu.Lock()
	c.orders = append(c.orders, time.Now())
	c.mu.Unlock()
	return c.Machines.Maintain(ctx, by, id, wave)
}

// maxWithin returns the most orders that came within a span.
func (c *countingMachines) maxWithin(span time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for n, from := range c.orders {
		within := 0
		for _, at := range c.orders[n:] {
			if at.Sub(from) < span {
				within++
			}
		}
		most = max(most, within)
	}
	return most
}

// The platform takes four orders a second. A wave is for eight instances, all of which may go
// at once: no more orders are given than it takes, and all instances are maintained.
func TestMachineOrdersStayWithinPlatformRate(t *testing.T) {
	const taken, instances = 4, 8
	orders := &countingMachines{}
	simulate(t, 1, func(c *cluster) {
		c.requestWave(1, c.fleet.IDs()[:instances], instances)
		time.Sleep(15 * time.Second)
		if got := c.fleet.Maintained(1); got != instances {
			t.Errorf("%d instances are maintained, want %d", got, instances)
		}
		if got := orders.maxWithin(time.Second); got > taken {
			t.Errorf("%d orders within a second, of which the platform takes %d", got, taken)
		}
	}, withMachineOrderRate(taken, orders))
}
