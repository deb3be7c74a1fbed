package shard

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/pointport/pointport/internal/fixedseed"
)

// This file tests how many starts may be in flight.

// The window must reach a size that fits its link: narrow on a slow link, so that answers stay
// prompt, and up to its upper bound on a fast one.
func TestWindowFitsItsLink(t *testing.T) {
	for _, tc := range []struct {
		name        string
		perSecond   float64 // starts that the link carries
		least, most float64 // bounds of the final window
	}{
		{"2 Mbit/s", 250, 8, 64},
		{"20 Mbit/s", 2500, 128, 600},
		{"200 Mbit/s", 25000, maxWindow, maxWindow},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWindow()
			now := time.Unix(0, 0)
			for range 2000 { // with as many starts in flight as the window allows
				took := time.Duration(w.size / tc.perSecond * float64(time.Second))
				now = now.Add(time.Duration(float64(time.Second) / tc.perSecond))
				w.answered(now, took, int(w.size))
			}
			if w.size < tc.least || w.size > tc.most {
				t.Errorf("final window is %.0f, want %.0f to %.0f", w.size, tc.least, tc.most)
			}
		})
	}
}

// Guards against a window that widens without evidence: fast answers while only a few starts are
// in flight do not show that the link carries more.
func TestUnusedWindowDoesNotWiden(t *testing.T) {
	w := newWindow()
	for range 10_000 {
		w.answered(time.Unix(0, 0), time.Millisecond, 3)
	}
	if w.size != initialWindow {
		t.Errorf("window is %.0f although at most 3 starts were in flight, want %d", w.size, initialWindow)
	}
}

// For any sequence of answers the window stays within its bounds. In particular, instances that
// answer late cannot close it.
func TestWindowStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWindow()
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			took := time.Duration(rapid.IntRange(0, 400).Draw(t, "took")) * time.Millisecond
			w.answered(now, took, rapid.IntRange(1, maxWindow).Draw(t, "under way"))
			if w.size < minWindow || w.size > maxWindow {
				t.Fatalf("window is %.1f, want %d to %d", w.size, minWindow, maxWindow)
			}
		}
	})
}
