package node

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/steward"
)

// This file defines how a node follows the requests for waves of maintenance.

// A WaveSource defines where wave requests are in the store, how to decode them, and the entry
// that reports their status.
type WaveSource struct {
	Source[capacity.Wave]
	Status func(wave int64, completed bool) pointport.Put
}

// waves holds the waves that operators have requested. It follows them from the first call of
// Waves.
type waves struct {
	source WaveSource
	start  func()
	once   sync.Once

	mu      sync.Mutex
	entries *entries[capacity.Wave]
}

var _ steward.Waves = (*waves)(nil)

// newWaves returns waves that are followed from the first call of Waves until ctx ends.
func newWaves(ctx context.Context, kv pointport.KV, clock pointport.Clock, source WaveSource, logger *slog.Logger) *waves {
	w := &waves{source: source, entries: newEntries(source.Decode, clock, event.WaveUnreadable, logger)}
	w.start = func() { go member.Follow(ctx, kv, clock, source.Prefix, w.apply, w.apply) }
	return w
}

// apply adds or replaces waves. A wave whose request was deleted is kept, and ends by itself.
func (w *waves) apply(entries []pointport.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries.apply(slices.DeleteFunc(entries, func(e pointport.Entry) bool { return !e.Exists() }))
}

// Waves returns the requested waves, ordered by ID.
func (w *waves) Waves() []capacity.Wave {
	w.once.Do(w.start)
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]capacity.Wave, 0, len(w.entries.byKey))
	for _, wave := range w.entries.byKey {
		out = append(out, wave)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

// Status returns the entry that reports whether a wave is completed.
func (w *waves) Status(wave int64, completed bool) pointport.Put {
	return w.source.Status(wave, completed)
}
