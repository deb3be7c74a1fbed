package pointport

import "context"

// This file defines how a caller is notified while the answer to its call is
// being received.

type progressKey struct{}

// WithProgress returns a context whose calls invoke onProgress for each received
// part of their answer. onProgress must not block. A large answer may take long on
// a slow link, so an answer that is still arriving does not count as overdue.
func WithProgress(ctx context.Context, onProgress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, onProgress)
}

// Progress invokes the function that WithProgress attached to ctx, if there is
// one. Clients call it for each received part of an answer.
func Progress(ctx context.Context) {
	if onProgress, ok := ctx.Value(progressKey{}).(func()); ok {
		onProgress()
	}
}
