package shard

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/pointport/pointport/internal/fixedseed"
)

// This file tests how many starts may be under way.

func TestWindowFollowsItsLink(t *testing.T) {
	for _, tc := range []struct {
		name        string
		perSecond   float64 // starts that the link carries
		least, most float64 // of the window in the end
	}{
		{"2 Mbit/s", 250, 8, 64},
		{"20 Mbit/s", 2500, 128, 600},
		{"200 Mbit/s", 25000, startsMost, startsMost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWindow()
			now := time.Unix(0, 0)
			for range 2000 { // as many starts under way as the window lets go
				took := time.Duration(w.size / tc.perSecond * float64(time.Second))
				now = now.Add(time.Duration(float64(time.Second) / tc.perSecond))
				w.answered(now, took, int(w.size))
			}
			if w.size < tc.least || w.size > tc.most {
				t.Errorf("window of %.0f, want %.0f to %.0f", w.size, tc.least, tc.most)
			}
		})
	}
}

// Answers while the window is not full tell nothing of a wider one.
func TestWindowDoesNotOpenUnused(t *testing.T) {
	w := newWindow()
	for range 10_000 {
		w.answered(time.Unix(0, 0), time.Millisecond, 3)
	}
	if w.size != startsFirst {
		t.Errorf("window of %.0f although 3 starts at most were under way, want %d", w.size, startsFirst)
	}
}

// Whatever is answered, the window stays within its bounds, so instances that answer
// late cannot close it.
func TestWindowStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWindow()
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			took := time.Duration(rapid.IntRange(0, 400).Draw(t, "took")) * time.Millisecond
			w.answered(now, took, rapid.IntRange(1, startsMost).Draw(t, "under way"))
			if w.size < startsLeast || w.size > startsMost {
				t.Fatalf("window of %.1f", w.size)
			}
		}
	})
}
