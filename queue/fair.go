// Package queue implements a priority queue that is fair to customers.
//
// Items wait in one of three priority classes. Within a class, customers share
// turns by start-time fair queueing: each item gets a virtual start time no
// earlier than its customer's last virtual finish time, and the item with the
// least start time is served first, so a customer's burst delays only that
// customer. A higher class is served first, but a lower class that has been
// skipped a set number of times in a row gets the next turn.
//
// Invariants: an item leaves the queue exactly once; a class that holds items is
// skipped at most its maximum number of turns in a row.
package queue

import (
	"container/heap"

	"github.com/pointport/pointport/config"
)

// classCount is the number of classes, one for each rank of priority.
const classCount = config.Ranks

// maxSkipped is how many turns in a row each class may be skipped. Class 0 has no
// bound: it is the highest and is skipped only when a lower class would exceed its own.
var maxSkipped = [classCount]int{0, 4, 16}

// An Item is an entry of a Fair queue.
type Item[T any] struct {
	value  T
	class  int
	start  float64
	serial int64
	index  int // in its class's heap; -1 once it has left
}

// Value returns the value that was pushed.
func (i *Item[T]) Value() T { return i.value }

// Queued reports whether the item is still in the queue.
func (i *Item[T]) Queued() bool { return i.index >= 0 }

// A Fair is a queue that is fair to customers. It is not safe for concurrent use.
// The zero value is an empty queue.
type Fair[T any] struct {
	classes [classCount]classQueue[T]
	serial  int64
	length  int
}

// A classQueue holds the items of one class.
type classQueue[T any] struct {
	items       itemHeap[T]
	virtualTime float64            // virtual start time of the item served last
	lastFinish  map[string]float64 // last virtual finish time of each customer
	skipped     int                // turns in a row that the class was skipped
}

// Len returns the number of items in the queue.
func (f *Fair[T]) Len() int { return f.length }

// Ahead returns how many items in the queue would be served before a new item of
// priority p for a customer. It ignores the turns of lower classes.
func (f *Fair[T]) Ahead(p config.Priority, customer string) int {
	c := p.Rank()
	n := 0
	for higher := range c {
		n += len(f.classes[higher].items)
	}
	l := &f.classes[c]
	start := max(l.virtualTime, l.lastFinish[customer])
	for _, it := range l.items {
		if it.start <= start {
			n++
		}
	}
	return n
}

// Last returns the item of the lowest class that would be served last, or nil.
func (f *Fair[T]) Last() *Item[T] {
	for c := classCount - 1; c >= 0; c-- {
		var last *Item[T]
		for _, it := range f.classes[c].items {
			if last == nil || it.start > last.start || it.start == last.start && it.serial > last.serial {
				last = it
			}
		}
		if last != nil {
			return last
		}
	}
	return nil
}

// Before reports whether a new item of priority p for a customer would be served
// before it. It ignores the turns of lower classes.
func (f *Fair[T]) Before(p config.Priority, customer string, it *Item[T]) bool {
	c := p.Rank()
	if c != it.class {
		return c < it.class
	}
	l := &f.classes[c]
	return max(l.virtualTime, l.lastFinish[customer]) < it.start
}

// Push adds value for a customer. The customer's next item gets a virtual start time
// later by cost divided by weight.
func (f *Fair[T]) Push(value T, p config.Priority, customer string, weight, cost float64) *Item[T] {
	c := p.Rank()
	l := &f.classes[c]
	if l.lastFinish == nil {
		l.lastFinish = make(map[string]float64)
	}
	start := max(l.virtualTime, l.lastFinish[customer])
	l.lastFinish[customer] = start + cost/weight
	f.serial++
	it := &Item[T]{value: value, class: c, start: start, serial: f.serial}
	heap.Push(&l.items, it)
	f.length++
	return it
}

// Pop removes and returns the next item to serve, or nil.
func (f *Fair[T]) Pop() *Item[T] {
	c := f.nextClass()
	if c < 0 {
		return nil
	}
	for other := range f.classes {
		if other != c && len(f.classes[other].items) > 0 {
			f.classes[other].skipped++
		}
	}
	l := &f.classes[c]
	l.skipped = 0
	it := heap.Pop(&l.items).(*Item[T])
	l.virtualTime = it.start
	f.length--
	l.pruneFinishTimes()
	return it
}

// nextClass returns the class to serve next, or -1 if the queue is empty. It is the highest class
// that holds items, unless a lower one has to be served now to be skipped no more than its bound
// allows. Of two classes that may each be skipped for one more turn, one is served now, since both
// would reach their bounds in the same turn.
func (f *Fair[T]) nextClass() int {
	first, urgent := -1, -1
	left := func(c int) int { return maxSkipped[c] - f.classes[c].skipped }
	nearBound := 0
	for c := range f.classes {
		if len(f.classes[c].items) == 0 {
			continue
		}
		if first < 0 {
			first = c
		}
		if c == 0 || left(c) > 1 {
			continue
		}
		nearBound++
		if urgent < 0 || left(c) < left(urgent) {
			urgent = c
		}
	}
	if urgent >= 0 && (left(urgent) <= 0 || nearBound > 1) {
		return urgent
	}
	return first
}

// pruneFinishTimes removes finish times that no longer affect the start of a
// customer's next item. It keeps the map's size in proportion to the items that wait.
func (l *classQueue[T]) pruneFinishTimes() {
	if len(l.items) == 0 {
		clear(l.lastFinish)
		l.virtualTime = 0
		return
	}
	if len(l.lastFinish) <= 2*len(l.items)+classCount {
		return
	}
	for c, end := range l.lastFinish {
		if end <= l.virtualTime {
			delete(l.lastFinish, c)
		}
	}
}

// Remove removes an item before its turn. It reports whether the item was still in
// the queue.
func (f *Fair[T]) Remove(it *Item[T]) bool {
	if it.index < 0 {
		return false
	}
	heap.Remove(&f.classes[it.class].items, it.index)
	f.length--
	return true
}

// An itemHeap orders items by virtual start time, then by arrival.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(a, b int) bool {
	if h[a].start != h[b].start {
		return h[a].start < h[b].start
	}
	return h[a].serial < h[b].serial
}

func (h itemHeap[T]) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}
