// Package capacity decides how many instances each pool has and when each
// instance is maintained. It does no input or output.
//
// A Planner is given the platform's list of machines, a survey of each pool and
// the requested waves of maintenance. It returns which instances to close to new
// tasks, which to move to another pool and which to maintain. Load peaks last
// seconds and affect one pool at a time, so empty instances move to the pool that
// needs them, or to the spare pool, where they cost nothing.
//
// Invariants:
//
//   - Only an instance on which nothing runs is moved, and only if its pool's
//     owner has closed it or it is in the spare pool.
//   - No more machines of a wave are maintained at once than the wave allows. An
//     order without an answer counts until its outcome is known.
//   - At most one order per machine is pending.
package capacity
