// Package evacuation says in which availability zones something may be started.
//
// The model: operators ask that an availability zone be left empty, and later take that
// back. A Request is one such wish as the platform's store holds it. What a member knows of
// all requests is a Zones: which availability zones are to be left empty, or nothing,
// where what it has read is too old to go by.
//
// Invariants:
//
//   - Whatever starts something asks Zones.Standing, and starts it only where that is Open.
//   - The zero Zones knows nothing, and then nothing may be started anywhere: who does not
//     know which availability zones are to be left empty must not guess either way.
package evacuation
