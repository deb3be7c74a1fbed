// Package capacity decides how many instances each pool has and when each
// instance is maintained. It does no input or output.
//
// The model: a Planner is given the platform's list of machines, a survey of
// each pool and the waves of maintenance that are asked for. It returns which
// instances should take nothing new, which to move to another pool and which to
// maintain. Peaks of load come and go within seconds and in one pool at a time,
// so instances that are empty go where they are needed, or to the spare pool,
// where they cost nothing.
//
// Invariants:
//
//   - Only an instance on which nothing runs is moved, and only one that its
//     pool's owner has closed, or one in the spare pool.
//   - No more machines of a wave are maintained at once than the wave allows; an
//     order that got no answer counts until it is settled.
//   - One order about a machine is under way at a time.
package capacity
