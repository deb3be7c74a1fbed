package schedule

import "github.com/pointport/pointport"

// This file defines fair sharing: the order in which customers get capacity while demand exceeds
// it.
//
// It handles the case that one customer submits many times its usual load and the pool has a
// fraction of the total demand. Ordered by deadline alone, that customer's jobs come first as often
// as any other's, and every customer is served equally badly.
//
// A customer's share is the share of the pool's processors or memory that its tasks use, whichever
// is larger. While its share exceeds its part, which is its weight divided by the weights of all
// customers with work here, its next jobs wait behind jobs of others with the same priority and
// class. Jobs that have begun continue, and capacity that nobody else wants is available to
// everyone.

// shares holds the totals from which the shares and parts of customers are computed.
type shares struct {
	capacity pointport.Shape
	weights  float64 // of the customers with work here
}

// SetWeights sets the weights of customers; a customer without an entry has weight one.
func (s *Scheduler) SetWeights(weights map[string]float64) { s.weights = weights }

func (s *Scheduler) weightOf(a *account) float64 {
	if w := s.weights[a.name]; w > 0 {
		return w
	}
	return 1
}

// sharesOf returns the totals for some workers and for the customers that have runs in the pool or
// jobs in the queue.
func (s *Scheduler) sharesOf(workers []*Worker, queue []*entry) shares {
	var totals shares
	for _, w := range workers {
		totals.capacity = totals.capacity.Plus(w.inc.Capacity())
	}
	active := make(map[*account]bool)
	for _, e := range queue {
		if e.account != nil {
			active[e.account] = true
		}
	}
	for _, a := range s.accounts {
		if active[a] || a.used != (pointport.Shape{}) {
			totals.weights += s.weightOf(a)
		}
	}
	return totals
}

// dominantShare returns the share of a capacity that tasks need: of its processors or its memory,
// whichever is larger.
func dominantShare(need, capacity pointport.Shape) float64 {
	return max(ratio(need.CPUMilli, capacity.CPUMilli), ratio(need.MemoryMiB, capacity.MemoryMiB))
}

// dominant returns a customer's share of the pool.
func (s shares) dominant(a *account) float64 { return dominantShare(a.used, s.capacity) }

// exceedsPart reports whether a customer's share exceeds its part of the pool.
func (s *Scheduler) exceedsPart(totals shares, a *account) bool {
	return a != nil && totals.weights > 0 && totals.dominant(a) > s.weightOf(a)/totals.weights
}

// yieldsToOthers reports whether jobs of the class wait behind others of the same priority and
// class while their customer exceeds its part.
func (c class) yieldsToOthers() bool { return c == classFresh || c == classLate }

// samePriorityAndClass reports whether two jobs have the same priority and class, and both have
// displaced tasks or neither has.
func samePriorityAndClass(a, b *entry) bool {
	return a.rank.displaced == b.rank.displaced && a.rank.priority == b.rank.priority && a.rank.class == b.rank.class
}

// visitInOrder calls visit for the jobs of a queue. Among jobs with the same priority and class,
// those whose customer exceeds its part when their turn comes are visited last. It stops when visit
// returns false.
func (s *Scheduler) visitInOrder(totals shares, queue []*entry, visit func(*entry) bool) {
	var deferred []*entry
	for n, e := range queue {
		if n > 0 && !samePriorityAndClass(queue[n-1], e) {
			if !visitEach(deferred, visit) {
				return
			}
			deferred = deferred[:0]
		}
		if e.rank.class.yieldsToOthers() && s.exceedsPart(totals, e.account) {
			deferred = append(deferred, e)
			continue
		}
		if !visit(e) {
			return
		}
	}
	visitEach(deferred, visit)
}

// visitEach calls visit for each job until it returns false, and reports whether it never did.
func visitEach(jobs []*entry, visit func(*entry) bool) bool {
	for _, e := range jobs {
		if !visit(e) {
			return false
		}
	}
	return true
}
