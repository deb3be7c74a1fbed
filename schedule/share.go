package schedule

import "github.com/pointport/pointport"

// This file defines whose turn it is while there is not room for all.
//
// The load that it answers: one customer sends many times its usual, and the pool holds a
// fraction of what all ask for. By time alone the jobs of the storm come first as often as
// anybody's, so each customer is served as badly as the one that storms.
//
// A customer's share is what its tasks take of the pool's processors or memory, whichever
// is more. While it is above the customer's part of the weights of all that have work here,
// the customer's next jobs wait behind those of others that stand as well. What has begun
// goes on, and room that nobody else wants is given to whoever wants it.

// shares tells which customers have more than their part of the pool.
type shares struct {
	capacity pointport.Shape
	weights  float64 // of the customers that have work here
}

// SetWeights sets the customers' weights; a customer that is not named has that of one.
func (b *Scheduler) SetWeights(weights map[string]float64) { b.weights = weights }

func (b *Scheduler) weightOf(a *account) float64 {
	if w := b.weights[a.name]; w > 0 {
		return w
	}
	return 1
}

// sharesOf returns the shares among the customers that have tasks on some workers or in a
// queue.
func (b *Scheduler) sharesOf(workers []*Worker, queue []*entry) shares {
	var s shares
	for _, w := range workers {
		s.capacity = s.capacity.Plus(w.inc.Capacity())
	}
	active := make(map[*account]bool)
	for _, e := range queue {
		if e.account != nil {
			active[e.account] = true
		}
	}
	for _, a := range b.accounts {
		if active[a] || a.used != (pointport.Shape{}) {
			s.weights += b.weightOf(a)
		}
	}
	return s
}

// dominantShare returns how much of a pool tasks take: of its processors or its memory,
// whichever is more.
func dominantShare(need, capacity pointport.Shape) float64 {
	return max(ratio(need.CPUMilli, capacity.CPUMilli), ratio(need.MemoryMiB, capacity.MemoryMiB))
}

// dominant returns a customer's share of the pool.
func (s shares) dominant(a *account) float64 { return dominantShare(a.used, s.capacity) }

// beyond reports whether a customer has more than its part.
func (b *Scheduler) beyond(s shares, a *account) bool {
	return a != nil && s.weights > 0 && s.dominant(a) > b.weightOf(a)/s.weights
}

// waitsForOthers reports whether a job of a customer that has more than its part stands
// behind others that stand as well.
func (c class) waitsForOthers() bool { return c == classFresh || c == classLate }

// sameRank reports whether two jobs stand as well but for their times.
func sameRank(a, b *entry) bool {
	return a.rank.priority == b.rank.priority && a.rank.class == b.rank.class
}

// inTurn calls place for the jobs of a queue, those last among each rank whose customer has
// more than its part when their turn comes. It ends when place returns false.
func (b *Scheduler) inTurn(s shares, queue []*entry, place func(*entry) bool) {
	var behind []*entry
	for n, e := range queue {
		if n > 0 && !sameRank(queue[n-1], e) {
			if !all(behind, place) {
				return
			}
			behind = behind[:0]
		}
		if e.rank.class.waitsForOthers() && b.beyond(s, e.account) {
			behind = append(behind, e)
			continue
		}
		if !place(e) {
			return
		}
	}
	all(behind, place)
}

// all calls place for each job until it returns false, and reports whether it never did.
func all(jobs []*entry, place func(*entry) bool) bool {
	for _, e := range jobs {
		if !place(e) {
			return false
		}
	}
	return true
}
