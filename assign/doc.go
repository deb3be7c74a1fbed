// Package assign decides which pool an instance belongs to and when it is
// maintained. It holds the state of an availability zone's instances and the
// decisions about them, and does no input or output.
//
// The model: a State holds one Member for each instance of the zone. Decide
// looks at a State, the templates, the waves and the platform's list, and
// returns Steps with their reasons. A Change of steps makes the next State.
// Whoever carries steps out commits them by compare-and-swap first.
//
// Invariants:
//
//   - A Member names one pool, so an instance belongs to exactly one pool at any
//     moment; an instance changes its pool only while it runs nothing.
//   - Decide starts nothing that would leave a pool with less than its size
//     less the zone's share of the budget. Whatever is not known to serve counts
//     as out of service.
//   - Without events, Decide comes to rest: applied to its own outcome, it ends
//     with no steps.
package assign
