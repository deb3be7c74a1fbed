// Package workload holds jobs as customers submit them and as a pool's owner
// carries them out: steps of tasks, what each task has come to, and the forms
// in which both are stored.
//
// The model: a Spec says what a job consists of. A Job is an accepted Spec with
// the progress of its occurrences; a job that does not recur has one. Each
// occurrence has the tasks of every step. A task is pending, placed on one
// incarnation of an instance, or done. Every start of a task has a run number
// of its own.
//
// Invariants:
//
//   - The run number of a task only rises, and a task that is done never
//     changes again.
//   - A task becomes ready only when every task of the steps before it is done.
//   - What a Job says of itself follows from its tasks alone; there is no second
//     record that could contradict them.
package workload
