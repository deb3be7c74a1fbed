package node

import (
	"context"
	"log/slog"
	"sort"
	"sync"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/steward"
)

// This file defines how a node follows the waves of maintenance.

// A WaveSource says where waves are in the store, how to read them and how to
// report on them.
type WaveSource struct {
	Source[capacity.Wave]
	Status func(wave int64, completed bool) pointport.Put
}

// waves keeps the waves that operators ask for, while anybody asks for them.
type waves struct {
	source WaveSource
	logger *slog.Logger
	start  func()
	once   sync.Once

	mu    sync.Mutex
	byKey map[string]capacity.Wave
}

var _ steward.Waves = (*waves)(nil)

// newWaves returns waves that are followed from the first question until ctx
// ends.
func newWaves(ctx context.Context, kv pointport.KV, clock pointport.Clock, source WaveSource, logger *slog.Logger) *waves {
	w := &waves{source: source, logger: logger, byKey: make(map[string]capacity.Wave)}
	w.start = func() { go member.Follow(ctx, kv, clock, source.Prefix, w.take, w.take) }
	return w
}

// take takes in waves. A wave that was removed is left to end by itself.
func (w *waves) take(entries []pointport.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range entries {
		if !e.Exists() {
			continue
		}
		wave, err := w.source.Decode(e)
		if err != nil {
			event.WaveUnreadable.Log(w.logger, slog.String("key", e.Key()), slog.Any("error", err))
			continue
		}
		w.byKey[e.Key()] = wave
	}
}

// Waves returns the waves that are asked for, by number.
func (w *waves) Waves() []capacity.Wave {
	w.once.Do(w.start)
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]capacity.Wave, 0, len(w.byKey))
	for _, wave := range w.byKey {
		out = append(out, wave)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

// Status returns the key and the value that report on a wave.
func (w *waves) Status(wave int64, completed bool) pointport.Put {
	return w.source.Status(wave, completed)
}
