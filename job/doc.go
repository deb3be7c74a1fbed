// Package job decides which instance runs which job, and when. It holds the
// state of a zone's jobs and the decisions about them, and does no input or
// output.
//
// The model: a State holds Jobs. From a State, the members of the zone's pools
// and the tasks that instances report, Decide computes the next Steps with their
// reasons. The caller commits the steps by compare-and-swap first, and only then
// starts or stops tasks.
//
// Invariants:
//
//   - A task's ID is committed before the task may start, and an instance starts
//     an ID at most once.
//   - A billed job has a single task ID for its whole lifetime, so it runs at most once.
//   - Any other job gets a new task only after its previous task is known to have
//     ended or to never start.
//   - Every job ends, or has a reason that explains what it waits for.
package job
