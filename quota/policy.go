package quota

import (
	"maps"
	"slices"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
)

// This file defines what the configuration says of caps and weights.

// evenShare is the divisor of the part of a cap that is split evenly over the pools. With a
// quarter, a customer whose work comes to one pool of four at a time can use 0.81 of its cap
// there, and at most 0.19 lie idle elsewhere; with a half it would be 0.63 and 0.38.
const evenShare = 4

// Terms are what holds for one customer under one version of the configuration.
type Terms struct {
	// Cap is what the customer may have running; a zero is no bound.
	Cap pointport.Shape
	// Even is each pool's own part of it.
	Even pointport.Shape
	// Floating is what is left for the accounts' rows.
	Floating pointport.Shape
	// Lowered is the version that last made Even or Floating smaller, as far as this
	// process has seen; zero for none.
	Lowered int64
}

func termsOf(limit pointport.Shape, pools int) Terms {
	parts := int64(evenShare * max(1, pools))
	even := each(limit, limit, func(l, _ int64) int64 { return l / parts })
	floating := each(limit, even, func(l, e int64) int64 { return l - e*int64(max(1, pools)) })
	return Terms{Cap: limit, Even: even, Floating: floating}
}

// limited reports whether there is any bound.
func (t Terms) limited() bool { return t.Cap != (pointport.Shape{}) }

// tighter reports whether any bound is smaller than before.
func (t Terms) tighter(before Terms) bool {
	return !t.bounded(t.Even).Fits(before.bounded(before.Even)) || !t.bounded(t.Floating).Fits(before.bounded(before.Floating))
}

// unbounded stands for a part of a shape that has no bound. Sums of some thousand of them
// do not overflow.
const unbounded = int64(1) << 48

// bounded returns a shape of which the parts without a bound in the cap are unbounded.
func (t Terms) bounded(s pointport.Shape) pointport.Shape {
	return each(t.Cap, s, func(limit, v int64) int64 {
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
	terms   map[string]Terms // of the customers that have a cap
	names   []string         // of these customers, sorted
	weights map[string]float64
}

// NewPolicy returns the policy of a version of the configuration whose work is done in
// pools; before is the one of the version before, nil if it is not known.
func NewPolicy(before *Policy, customers *customer.Directory, pools []string, version int64) *Policy {
	p := &Policy{version: version, pools: slices.Clone(pools), terms: make(map[string]Terms), weights: make(map[string]float64)}
	for _, c := range customers.All() {
		p.weights[c.Name] = c.Weight
		t := termsOf(c.Cap, len(pools))
		if !t.limited() {
			continue
		}
		if before != nil {
			was := before.terms[c.Name]
			t.Lowered = was.Lowered
			if t.tighter(was) {
				t.Lowered = version
			}
		}
		p.terms[c.Name] = t
	}
	p.names = slices.Sorted(maps.Keys(p.terms))
	return p
}

// Version returns the version of the configuration.
func (p *Policy) Version() int64 { return p.version }

// HasCaps reports whether any customer has a cap.
func (p *Policy) HasCaps() bool { return p != nil && len(p.terms) > 0 }

// Weights returns the customers' weights by name. They must not be changed.
func (p *Policy) Weights() map[string]float64 {
	if p == nil {
		return nil
	}
	return p.weights
}

// Terms returns what holds for a customer; false if it has no cap.
func (p *Policy) Terms(name string) (Terms, bool) {
	if p == nil {
		return Terms{}, false
	}
	t, ok := p.terms[name]
	return t, ok
}

// each returns a shape each part of which is made of those of two.
func each(a, b pointport.Shape, f func(a, b int64) int64) pointport.Shape {
	return pointport.Shape{
		CPUMilli:     f(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    f(a.MemoryMiB, b.MemoryMiB),
		Accelerators: f(a.Accelerators, b.Accelerators),
	}
}

// most returns the larger of each part, least the smaller.
func most(a, b pointport.Shape) pointport.Shape {
	return each(a, b, func(a, b int64) int64 { return max(a, b) })
}

func least(a, b pointport.Shape) pointport.Shape {
	return each(a, b, func(a, b int64) int64 { return min(a, b) })
}
