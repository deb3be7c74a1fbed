// Package evacuation defines in which availability zones something may be started.
//
// Operators request that an availability zone be evacuated, and later withdraw the request.
// A Request is one such request as the platform's store holds it. A Zones is what a member
// knows of all requests: either the set of evacuated availability zones, or nothing, where
// what the member has read is too old to rely on.
//
// Invariants:
//
//   - Code that starts something calls Zones.State, and starts it only where that is Open.
//   - The zero Zones knows nothing, and then nothing may be started anywhere: a member that
//     does not know which availability zones are evacuated must not guess either way.
package evacuation
