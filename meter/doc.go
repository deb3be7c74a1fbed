// Package meter measures an entry instance from outside its parts: it counts the
// events that they log and the calls that they make, and serves the figures in
// Prometheus' text form.
//
// The model: a Meter wraps what a part stands on (the logger's handler, the
// store, the executor of orders, the platform's machines). The parts themselves
// know nothing of it, so what is decided and what is counted cannot differ.
//
// Invariants:
//
//   - An event is counted even if its line is left out of the log.
//   - The values of labels come from the code, so their number is bounded.
package meter
