package node_test

import (
	"strings"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/testbed"
)

// This file defines the options of a cluster.

type clusterOption func(*cluster, *[]testbed.Option)

func withWork(w testbed.WorkSource) clusterOption {
	return func(_ *cluster, o *[]testbed.Option) { *o = append(*o, testbed.WithWork(w)) }
}

// withAdvice adds an advisor.
func withAdvice(settings testbed.AdvisorSettings) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.adviceSettings = &settings }
}

// withoutSteward keeps instances in their pools.
func withoutSteward() clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.noSteward = true }
}

// withSlowStore sets the duration of each call to the store.
func withSlowStore(d time.Duration) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.storeLatency = d }
}

// withKeyPolicy sets how nodes check keys while they do not know the newest configuration.
func withKeyPolicy(p node.KeyPolicy) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.keyPolicy = p }
}

// withConfigApplyTime sets the time within which a change of the configuration must be in
// force.
func withConfigApplyTime(d time.Duration) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.configApplyTime = d }
}

// withPeerLeases sets for how long owners may rely on peer leases.
func withPeerLeases(limit time.Duration) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.peerLeaseLimit = limit }
}

// withMaxHold sets how long nodes assume that an instance runs tasks without another order.
func withMaxHold(d time.Duration) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.maxHold = d }
}

// withMachineOrderRate sets the rate of orders about instances that the platform accepts, and a
// service that counts them.
func withMachineOrderRate(perSecond float64, counts *countingMachines) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.machineOrdersPerSecond, c.machineCounter = perSecond, counts }
}

// defaultAddresseeReuse is the percentage of restarted instances that come back under their
// previous addressee, unless a test sets another one.
const defaultAddresseeReuse = 50

// withAddresseeReuse sets the percentage of restarted instances that come back under their
// previous addressee.
func withAddresseeReuse(percent int) clusterOption {
	return func(_ *cluster, o *[]testbed.Option) { *o = append(*o, testbed.WithAddresseeReuse(percent)) }
}

// withCancelTimeCheck checks that no start of a cancelled job is sent later than
// testbed.CancelTime.
func withCancelTimeCheck() clusterOption {
	return func(_ *cluster, o *[]testbed.Option) { *o = append(*o, testbed.WithCancelTimeCheck()) }
}

// withPlatformRegistrations encodes the registrations of instances as on the platform.
func withPlatformRegistrations() clusterOption {
	return func(c *cluster, o *[]testbed.Option) {
		c.platformRegistrations = true
		*o = append(*o, testbed.WithAddresses(instanceAddress))
	}
}

// instanceAddress returns the address of an instance of a cluster with platform registrations.
func instanceAddress(id pointport.InstanceID) string {
	return "10.0.0." + strings.TrimLeft(strings.TrimPrefix(string(id), "m-"), "0") + "1:8080"
}

// withLinger sets how long the registration of an instance stays after the instance has ended
// without deregistering.
func withLinger(d time.Duration) clusterOption {
	return func(_ *cluster, o *[]testbed.Option) { *o = append(*o, testbed.WithDeregistrationDelay(d)) }
}

func withoutCapacityEnforcement() clusterOption {
	return func(_ *cluster, o *[]testbed.Option) { *o = append(*o, testbed.WithCapacityEnforcement(false)) }
}

// withJSONLogs keeps the log lines in JSON as well.
func withJSONLogs() clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.jsonLogs = &logs{} }
}

// withMachinesIn sets the pool of each machine.
func withMachinesIn(pools ...string) clusterOption {
	return func(c *cluster, _ *[]testbed.Option) { c.machinePools = pools }
}
