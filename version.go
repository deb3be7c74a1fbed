package pointport

// This file defines the version of a state that is stored as a log of changes.

// A Version numbers the states that result from a log of changes. The empty
// state has version zero, and each change produces the next version.
type Version int64
