package quota

import (
	"maps"
	"slices"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
)

// This file defines the caps and weights of one version of the configuration.

// evenDivisor is the divisor that gives the part of a cap that is split evenly over the
// pools: a quarter. A customer whose work is all in one pool of four can then use 0.81 of its
// cap there, and at most 0.19 is idle in the other pools. With a half instead of a quarter,
// these would be 0.63 and 0.38.
const evenDivisor = 4

// Limits are the limits of one customer under one version of the configuration.
type Limits struct {
	// Cap is what the customer's running tasks may take in all pools; zero means no bound.
	Cap pointport.Shape
	// PerPool is the even part of the cap that each pool may use.
	PerPool pointport.Shape
	// Floating is the rest of the cap, which the rows of the account share.
	Floating pointport.Shape
	// Lowered is the version that last lowered PerPool or Floating, as far as this process
	// has seen; zero for none.
	Lowered int64
}

// newLimits splits a cap into even parts for pools and the floating rest.
func newLimits(limit pointport.Shape, pools int) Limits {
	parts := int64(evenDivisor * max(1, pools))
	perPool := combine(limit, limit, func(l, _ int64) int64 { return l / parts })
	floating := combine(limit, perPool, func(l, e int64) int64 { return l - e*int64(max(1, pools)) })
	return Limits{Cap: limit, PerPool: perPool, Floating: floating}
}

// hasCap reports whether any part of the cap is bounded.
func (l Limits) hasCap() bool { return l.Cap != (pointport.Shape{}) }

// Usable returns how much of the cap the tasks in one pool may use together at most: all but the even
// parts of the other pools, which these may use at any time without asking. A zero part has no bound.
func (l Limits) Usable() pointport.Shape { return l.PerPool.Plus(l.Floating) }

// CanUse reports whether the tasks in one pool may ever use as much together.
func (l Limits) CanUse(need pointport.Shape) bool { return l.withUnbounded(l.Usable()).Fits(need) }

// tighterThan reports whether PerPool or Floating is lower in any part than before.
func (l Limits) tighterThan(before Limits) bool {
	return !l.withUnbounded(l.PerPool).Fits(before.withUnbounded(before.PerPool)) || !l.withUnbounded(l.Floating).Fits(before.withUnbounded(before.Floating))
}

// unbounded stands for the value of a part without a bound. It is small enough that a sum of
// some thousand of them doesn't overflow.
const unbounded = int64(1) << 48

// withUnbounded returns a shape with the parts that the cap doesn't bound set to unbounded.
func (l Limits) withUnbounded(s pointport.Shape) pointport.Shape {
	return combine(l.Cap, s, func(limit, v int64) int64 {
		if limit == 0 {
			return unbounded
		}
		return v
	})
}

// A Policy holds the limits and weights of all customers under one version of the
// configuration. It is immutable. A nil Policy has neither caps nor weights.
type Policy struct {
	version    int64
	pools      []string
	byCustomer map[string]Limits // of the customers that have a cap
	names      []string          // of these customers, sorted
	weights    map[string]float64
}

// NewPolicy returns the policy for a version of the configuration whose tasks run in pools.
// It compares the limits with those of before, the policy of the preceding version; nil if
// that is not known.
func NewPolicy(before *Policy, customers *customer.Directory, pools []string, version int64) *Policy {
	p := &Policy{version: version, pools: slices.Clone(pools), byCustomer: make(map[string]Limits), weights: make(map[string]float64)}
	for _, c := range customers.All() {
		p.weights[c.Name] = c.Weight
		limits := newLimits(c.Cap, len(pools))
		if !limits.hasCap() {
			continue
		}
		if before != nil {
			previous := before.byCustomer[c.Name]
			limits.Lowered = previous.Lowered
			if limits.tighterThan(previous) {
				limits.Lowered = version
			}
		}
		p.byCustomer[c.Name] = limits
	}
	p.names = slices.Sorted(maps.Keys(p.byCustomer))
	return p
}

// Version returns the version of the configuration.
func (p *Policy) Version() int64 { return p.version }

// HasCaps reports whether any customer has a cap.
func (p *Policy) HasCaps() bool { return p != nil && len(p.byCustomer) > 0 }

// Weights returns the customers' weights by name. They must not be changed.
func (p *Policy) Weights() map[string]float64 {
	if p == nil {
		return nil
	}
	return p.weights
}

// Limits returns the limits of a customer; false if it has no cap.
func (p *Policy) Limits(name string) (Limits, bool) {
	if p == nil {
		return Limits{}, false
	}
	limits, ok := p.byCustomer[name]
	return limits, ok
}

// combine returns the shape whose parts are f of the same parts of a and b.
func combine(a, b pointport.Shape, f func(a, b int64) int64) pointport.Shape {
	return pointport.Shape{
		CPUMilli:     f(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    f(a.MemoryMiB, b.MemoryMiB),
		Accelerators: f(a.Accelerators, b.Accelerators),
	}
}

// maxShape returns the larger value of each part.
func maxShape(a, b pointport.Shape) pointport.Shape {
	return combine(a, b, func(a, b int64) int64 { return max(a, b) })
}

// minShape returns the smaller value of each part.
func minShape(a, b pointport.Shape) pointport.Shape {
	return combine(a, b, func(a, b int64) int64 { return min(a, b) })
}
