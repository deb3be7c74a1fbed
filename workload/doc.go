// Package workload defines jobs, both as customers submit them and as a pool's
// owner runs them: their steps and tasks, the progress of each task, and the
// stored forms of both.
//
// The model: a Spec describes what a job consists of. A Job is an accepted Spec
// with the progress of its occurrences; a job that does not recur has one
// occurrence. Each occurrence has the tasks of every step. A task is pending,
// placed on one incarnation of an instance, done, or given up. Every start of a
// task has its own run number.
//
// Invariants:
//
//   - The run number of a task never decreases, and a task that is done never
//     changes again.
//   - A task becomes ready only when every task of the steps before it is done.
//   - The state of a Job is derived from its tasks alone, so no second record
//     can contradict them.
package workload
