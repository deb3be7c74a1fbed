// Package testbed simulates a fleet of instances in memory that run tasks, register themselves and
// can be moved and maintained. It replaces the platform in tests and in the embedded default, and
// it can inject the kinds of failures that the real platform has.
//
// The model: a Fleet has Machines, and each Machine has at most one incarnation at a time, with a
// steady clock of its own. What a task does is described by a Work. A Network decides whether an
// order reaches its incarnation, is lost, or is carried out late.
//
// Invariants, which every incarnation checks for the orders that it receives; the Fleet records
// each violation:
//
//   - No task has two runs at a time, unless it allows copies.
//   - No task starts after an end as done that its owner has acknowledged, or that its owner
//     received before it had the instance moved or maintained.
//   - No start exceeds the capacity of an incarnation.
//   - No serving task of an open job stays away from its work while there is room for it and no fault
//     goes on. Tests note the faults that the fleet cannot see (NoteDisturbance).
package testbed
