package queue_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/pointport/pointport/config"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/queue"
)

var priorities = []config.Priority{config.Urgent, config.Normal, config.Bulk}

// TestEveryItemLeavesOnce pushes, pops and removes in any order.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue.Fair[int]
		in := make(map[int]*queue.Item[int])
		next := 0
		leave := func(n int) {
			if in[n] == nil {
				t.Fatalf("item %d left twice", n)
			}
			delete(in, n)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0, 1:
				p := rapid.SampledFrom(priorities).Draw(t, "priority")
				c := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				in[next] = q.Push(next, p, c, rapid.Float64Range(0.1, 10).Draw(t, "weight"), 1)
				next++
			case 2:
				if it := q.Pop(); it != nil {
					leave(it.Value())
				} else if len(in) > 0 {
					t.Fatalf("%d items wait and none is popped", len(in))
				}
			case 3:
				if last := q.Last(); last != nil && q.Remove(last) {
					leave(last.Value())
				}
			}
			if q.Len() != len(in) {
				t.Fatalf("the queue has %d items, want %d", q.Len(), len(in))
			}
		}
	})
}

// TestCustomersShare gives two customers with a long backlog turns by weight,
// however long one's backlog is.
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

// TestNewcomerWaitsForNoBurst lets a customer in after another's burst.
func TestNewcomerWaitsForNoBurst(t *testing.T) {
	var q queue.Fair[string]
	for range 1000 {
		q.Push("burst", config.Normal, "burst", 1, 1)
	}
	q.Pop()
	if n := q.Ahead(config.Normal, "other"); n != 0 {
		t.Errorf("%d items are ahead of a newcomer, want none", n)
	}
	if n := q.Ahead(config.Normal, "burst"); n != 999 {
		t.Errorf("%d items are ahead of the burst's next, want 999", n)
	}
	q.Push("other", config.Normal, "other", 1, 1)
	if got := q.Pop().Value(); got != "other" {
		t.Errorf("the next turn went to %q", got)
	}
}

// TestClasses serves urgent work first and never starves the rest.
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
		t.Errorf("urgent work got %d of 170 turns", got[config.Urgent])
	}
	if got[config.Normal] < 20 || got[config.Bulk] < 8 {
		t.Errorf("normal work got %d and bulk %d of 170 turns", got[config.Normal], got[config.Bulk])
	}
}
