package intake

import (
	"fmt"
	"testing"
	"time"
)

// A still clock shows the time that it is set to.
type stillClock struct{ now time.Time }

func (c *stillClock) Now() time.Time                         { return c.now }
func (c *stillClock) After(d time.Duration) <-chan time.Time { return make(chan time.Time) }

func TestFirstAskingCounts(t *testing.T) {
	c := &stillClock{now: time.Unix(100, 0)}
	r := NewRefusals(c)
	first := c.now.Add(-3 * time.Second)
	r.Note("a", c.now)
	r.Note("a", first)
	r.Note("a", c.now.Add(-time.Second))
	if at, ok := r.Asked("a"); !ok || !at.Equal(first) {
		t.Errorf("asked at %v, %v, want %v", at, ok, first)
	}
	if _, ok := r.Asked("b"); ok {
		t.Error("a job that was not refused is remembered")
	}
	c.now = first.Add(refusalsKept)
	if _, ok := r.Asked("a"); ok {
		t.Errorf("a refusal is remembered after %v", refusalsKept)
	}
}

// However many are refused, so many are remembered, and old ones make room.
func TestRefusalsAreBounded(t *testing.T) {
	c := &stillClock{now: time.Unix(100, 0)}
	r := NewRefusals(c)
	for n := range 2 * refusalsMost {
		r.Note(fmt.Sprint("old", n), c.now)
	}
	if len(r.asked) != refusalsMost {
		t.Errorf("%d refusals are remembered, want %d", len(r.asked), refusalsMost)
	}
	c.now = c.now.Add(2 * refusalsKept)
	r.Note("new", c.now)
	if _, ok := r.Asked("new"); !ok || len(r.asked) != 1 {
		t.Errorf("%d refusals are remembered after twice their time, want the new one alone", len(r.asked))
	}
}
