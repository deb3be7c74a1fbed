// Package job decides which instance runs which job, and when. It holds the
// state of a zone's jobs and the decisions about them, and does no input or
// output.
//
// The model: a State holds Jobs. Decide looks at a State, the members of the
// zone's pools and what instances say of their tasks, and returns Steps with
// their reasons. Whoever carries steps out commits them by compare-and-swap
// first, and only then starts or stops tasks.
//
// Invariants:
//
//   - A task's ID is committed before the task may start, and an instance starts
//     an ID at most once.
//   - A billed job has one task ID for its whole life, so it runs at most once.
//   - Another job gets a new task only after its last one is known to have
//     ended, or never to start.
//   - Every job ends, or says what it waits for.
package job
