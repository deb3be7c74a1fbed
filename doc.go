// Package pointport defines the domain types of a fleet capacity and maintenance
// manager, and the interfaces whose implementations may vary.
//
// The model: a fleet of instances is spread over availability zones and racks.
// Each instance belongs to exactly one pool, and each pool serves one service.
// Callers reach a service through entry instances, which choose an upstream (a
// serving instance of the service's pool) for each request. Operators change
// templates and parameters; planners move instances between pools and through
// maintenance waves; placers assign jobs to instances.
//
// Invariants that the packages in this module maintain:
//
//   - Shared state is changed by a compare-and-swap on the revision that the
//     decision was based on. Leases only avoid duplicate work; correctness never
//     depends on them.
//   - If a request is refused as not run, it reached no upstream, or the upstream
//     itself reported that it did not run it.
//   - Work that must not be repeated is sent at most once.
//   - A configuration version is never replaced by a lower one.
//
// The package does no input or output. The other packages implement its
// interfaces and depend on it, never the reverse.
package pointport
