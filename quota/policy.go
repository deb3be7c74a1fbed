package quota

import (
	"maps"
	"slices"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
)

// This file defines what the configuration says of caps and weights.

// evenDivisor is the divisor of the part of a cap that is split evenly over the pools. With a
// quarter, a customer whose work comes to one pool of four at a time can use 0.81 of its cap
// there, and at most 0.19 lie idle elsewhere; with a half it would be 0.63 and 0.38.
const evenDivisor = 4

// Limits are what holds for one customer under one version of the configuration.
type Limits struct {
	// Cap is what the customer may have running; a zero is no bound.
	Cap pointport.Shape
	// PerPool is each pool's own part of it.
	PerPool pointport.Shape
	// Floating is what is left for the accounts' rows.
	Floating pointport.Shape
	// Lowered is the version that last made Even or Floating smaller, as far as this
	// process has seen; zero for none.
	Lowered int64
}

func newLimits(limit pointport.Shape, pools int) Limits {
	parts := int64(evenDivisor * max(1, pools))
	even := combine(limit, limit, func(l, _ int64) int64 { return l / parts })
	floating := combine(limit, even, func(l, e int64) int64 { return l - e*int64(max(1, pools)) })
	return Limits{Cap: limit, PerPool: even, Floating: floating}
}

// hasCap reports whether there is any bound.
func (t Limits) hasCap() bool { return t.Cap != (pointport.Shape{}) }

// tighterThan reports whether any bound is smaller than before.
func (t Limits) tighterThan(before Limits) bool {
	return !t.withUnbounded(t.PerPool).Fits(before.withUnbounded(before.PerPool)) || !t.withUnbounded(t.Floating).Fits(before.withUnbounded(before.Floating))
}

// unbounded stands for a part of a shape that has no bound. Sums of some thousand of them
// do not overflow.
const unbounded = int64(1) << 48

// withUnbounded returns a shape of which the parts without a bound in the cap are unbounded.
func (t Limits) withUnbounded(s pointport.Shape) pointport.Shape {
	return combine(t.Cap, s, func(limit, v int64) int64 {
		if limit == 0 {
			return unbounded
		}
		return v
	})
}

// A Policy is what one version of the configuration says of all customers. It is never
// changed.
type Policy struct {
	version int64
	pools   []string
	limits  map[string]Limits // of the customers that have a cap
	names   []string          // of these customers, sorted
	weights map[string]float64
}

// NewPolicy returns the policy of a version of the configuration whose work is done in
// pools; before is the one of the version before, nil if it is not known.
func NewPolicy(before *Policy, customers *customer.Directory, pools []string, version int64) *Policy {
	p := &Policy{version: version, pools: slices.Clone(pools), limits: make(map[string]Limits), weights: make(map[string]float64)}
	for _, c := range customers.All() {
		p.weights[c.Name] = c.Weight
		t := newLimits(c.Cap, len(pools))
		if !t.hasCap() {
			continue
		}
		if before != nil {
			was := before.limits[c.Name]
			t.Lowered = was.Lowered
			if t.tighterThan(was) {
				t.Lowered = version
			}
		}
		p.limits[c.Name] = t
	}
	p.names = slices.Sorted(maps.Keys(p.limits))
	return p
}

// Version returns the version of the configuration.
func (p *Policy) Version() int64 { return p.version }

// HasCaps reports whether any customer has a cap.
func (p *Policy) HasCaps() bool { return p != nil && len(p.limits) > 0 }

// Weights returns the customers' weights by name. They must not be changed.
func (p *Policy) Weights() map[string]float64 {
	if p == nil {
		return nil
	}
	return p.weights
}

// Limits returns what holds for a customer; false if it has no cap.
func (p *Policy) Limits(name string) (Limits, bool) {
	if p == nil {
		return Limits{}, false
	}
	t, ok := p.limits[name]
	return t, ok
}

// combine returns a shape each part of which is made of those of two.
func combine(a, b pointport.Shape, f func(a, b int64) int64) pointport.Shape {
	return pointport.Shape{
		CPUMilli:     f(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    f(a.MemoryMiB, b.MemoryMiB),
		Accelerators: f(a.Accelerators, b.Accelerators),
	}
}

// maxShape returns the larger of each part, least the smaller.
func maxShape(a, b pointport.Shape) pointport.Shape {
	return combine(a, b, func(a, b int64) int64 { return max(a, b) })
}

func minShape(a, b pointport.Shape) pointport.Shape {
	return combine(a, b, func(a, b int64) int64 { return min(a, b) })
}
