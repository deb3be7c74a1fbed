package node_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
)

// This file tests the rate of orders about instances.

// A countingMachines records the times of the maintenance orders that it gets.
type countingMachines struct {
	pointport.Machines

	mu     sync.Mutex
	orders []time.Time
}

// Maintain records the order and carries it out.
func (c *countingMachines) Maintain(ctx context.Context, by pointport.Holder, id pointport.InstanceID, wave int64) error {
	c.mu.Lock()
	c.orders = append(c.orders, time.Now())
	c.mu.Unlock()
	return c.Machines.Maintain(ctx, by, id, wave)
}

// maxWithin returns the largest number of orders within any interval of the given length.
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

// The platform accepts four orders a second, and a wave may maintain its eight instances all at
// once. The steward must not give orders faster than that, and must still maintain all
// instances.
func TestMachineOrdersStayWithinPlatformRate(t *testing.T) {
	const ratePerSecond, instances = 4, 8
	orders := &countingMachines{}
	simulate(t, 1, func(c *cluster) {
		c.requestWave(1, c.fleet.IDs()[:instances], instances)
		time.Sleep(15 * time.Second)
		if got := c.fleet.Maintained(1); got != instances {
			t.Errorf("%d instances are maintained, want %d", got, instances)
		}
		if got := orders.maxWithin(time.Second); got > ratePerSecond {
			t.Errorf("%d orders within a second, want at most the %d that the platform accepts", got, ratePerSecond)
		}
	}, withMachineOrderRate(ratePerSecond, orders))
}
