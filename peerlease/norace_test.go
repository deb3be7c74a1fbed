//go:build !race

package peerlease

// raceEnabled reports whether the race detector is on, under which explorations are less deep.
const raceEnabled = false
