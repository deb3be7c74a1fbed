// Package assign decides which pool an instance belongs to and when it is
// maintained. It defines the state of an availability zone's instances and the
// decisions about them. It does no input or output.
//
// A State holds one Member for each instance of the zone. Decide takes a State,
// the templates, the maintenance waves and the platform's list of instances, and
// returns a Change: a set of Steps with their reasons. Applying the Change yields
// the next State. The caller commits a Change by compare-and-swap before it
// carries out any step.
//
// Invariants:
//
//   - A Member names at most one pool, so an instance never belongs to two pools
//     at once. An instance changes its pool only while it runs nothing.
//   - Decide starts no drain that would leave fewer instances serving than the
//     pool's size minus the zone's share of the availability budget. An instance
//     that is not known to serve counts as out of service.
//   - Decide converges: applied repeatedly to its own result without new events,
//     it ends with an empty Change.
package assign
