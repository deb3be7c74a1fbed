package pointport

import "context"

// This file defines how whoever makes a call hears that its answer is on its way.

type progressKey struct{}

// WithProgress returns a context that has note called with each part of the answer to
// a call that is made under it. note must not block. An answer may be large and its
// link thin: one that is coming is not overdue.
func WithProgress(ctx context.Context, note func()) context.Context {
	return context.WithValue(ctx, progressKey{}, note)
}

// Progress tells whoever waits for a call made under ctx that a part of its answer has
// come.
func Progress(ctx context.Context) {
	if note, ok := ctx.Value(progressKey{}).(func()); ok {
		note()
	}
}
