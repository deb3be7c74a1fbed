// Package testbed is a fleet of instances in memory that run tasks, register
// themselves and can be moved and maintained. It stands in for the platform in
// tests and in the embedded default, and it can be told to fail in the ways that
// the real one does.
//
// The model: a Fleet has Machines, and each has one incarnation at a time, with a
// steady clock of its own. Tasks do what a Work says. A call reaches an
// incarnation, or does not, or is carried out late, as a Network says.
//
// Invariants, which every incarnation checks on whoever gives it orders; the
// Fleet keeps what breaks them:
//
//   - No task runs twice at a time, unless copies of it may.
//   - No task starts after an end as done that its owner has acknowledged, or has heard
//     of before it had the instance moved or maintained.
//   - No start brings an incarnation over its capacity.
package testbed
