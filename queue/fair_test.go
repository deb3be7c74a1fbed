package queue_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/pointport/pointport/config"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/queue"
)

var priorities = []config.Priority{config.Urgent, config.Normal, config.Bulk}

// TestEveryItemLeavesOnce pushes, pops and removes items in random order. Each item must
// leave exactly once, and Pop must return an item while any waits.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue.Fair[int]
		waiting := make(map[int]*queue.Item[int])
		next := 0
		leave := func(n int) {
			if waiting[n] == nil {
				t.Fatalf("item %d left twice", n)
			}
			delete(waiting, n)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0, 1:
				p := rapid.SampledFrom(priorities).Draw(t, "priority")
				c := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				waiting[next] = q.Push(next, p, c, rapid.Float64Range(0.1, 10).Draw(t, "weight"), 1)
				next++
			case 2:
				if it := q.Pop(); it != nil {
					leave(it.Value())
				} else if len(waiting) > 0 {
					t.Fatalf("%d items wait, but Pop returned none", len(waiting))
				}
			case 3:
				if last := q.Last(); last != nil && q.Remove(last) {
					leave(last.Value())
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("the queue has %d items, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// TestCustomersShare checks that two customers with a backlog get turns in proportion to
// their weights, regardless of how much longer one backlog is.
func TestCustomersShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue.Fair[string]
		weight := rapid.IntRange(1, 5).Draw(t, "weight")
		for range 2000 {
			q.Push("burst", config.Normal, "burst", 1, 1)
		}
		const small = 100
		for range small * weight {
			q.Push("small", config.Normal, "small", float64(weight), 1)
		}
		got := make(map[string]int)
		for range small * (1 + weight) {
			got[q.Pop().Value()]++
		}
		if d := got["small"] - small*weight; d < -weight-1 || d > weight+1 {
			t.Fatalf("with weight %d the small customer got %d of %d turns", weight, got["small"], small*(1+weight))
		}
	})
}

// TestNewCustomerDoesNotWaitForBurst pushes an item of one customer behind another
// customer's burst. It must get the next turn.
func TestNewCustomerDoesNotWaitForBurst(t *testing.T) {
	var q queue.Fair[string]
	for range 1000 {
		q.Push("burst", config.Normal, "burst", 1, 1)
	}
	q.Pop()
	if n := q.Ahead(config.Normal, "other"); n != 0 {
		t.Errorf("%d items are ahead of a new customer, want none", n)
	}
	if n := q.Ahead(config.Normal, "burst"); n != 999 {
		t.Errorf("%d items are ahead of the burst's next item, want 999", n)
	}
	q.Push("other", config.Normal, "other", 1, 1)
	if got := q.Pop().Value(); got != "other" {
		t.Errorf("the next turn went to %q, want the new customer", got)
	}
}

// TestClasses checks that urgent items get most turns, and that the lower classes still
// get theirs instead of being starved.
func TestClasses(t *testing.T) {
	var q queue.Fair[config.Priority]
	for range 400 {
		for _, p := range priorities {
			q.Push(p, p, "a", 1, 1)
		}
	}
	got := make(map[config.Priority]int)
	for range 170 {
		got[q.Pop().Value()]++
	}
	if got[config.Urgent] < 120 {
		t.Errorf("urgent items got %d of 170 turns, want at least 120", got[config.Urgent])
	}
	if got[config.Normal] < 20 || got[config.Bulk] < 8 {
		t.Errorf("normal items got %d and bulk items %d of 170 turns, want at least 20 and 8", got[config.Normal], got[config.Bulk])
	}
}

// Guards against a class that is skipped more often in a row than its bound allows, because another
// class reaches its bound in the same turn. Classes are empty at times, so that their turns shift.
func TestClassesAreSkippedWithinTheirBounds(t *testing.T) {
	bounds := map[config.Priority]int{config.Normal: 4, config.Bulk: 16}
	rapid.Check(t, func(t *rapid.T) {
		var f queue.Fair[config.Priority]
		waiting, skipped := make(map[config.Priority]int), make(map[config.Priority]int)
		for range 200 {
			for _, p := range []config.Priority{config.Urgent, config.Normal, config.Bulk} {
				if waiting[p] == 0 && rapid.IntRange(0, 9).Draw(t, "arrives") > 0 {
					f.Push(p, p, "c", 1, 1)
					waiting[p]++
				}
			}
			it := f.Pop()
			if it == nil {
				continue
			}
			waiting[it.Value()]--
			for p, bound := range bounds {
				switch {
				case p == it.Value():
					skipped[p] = 0
				case waiting[p] > 0:
					skipped[p]++
				}
				if skipped[p] > bound {
					t.Fatalf("class %s was skipped %d times in a row, want at most %d", p, skipped[p], bound)
				}
			}
		}
	})
}
