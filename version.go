package pointport

// This file defines the version of a state that is kept as a log of changes.

// A Version numbers the states of something that is kept as a log of changes.
// The empty state has version zero, and each change makes the next version.
type Version int64
