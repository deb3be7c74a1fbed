// Package pointport holds the domain types of a fleet capacity and maintenance
// manager and the interfaces of everything that varies beneath it.
//
// The model: a fleet of instances lives in availability zones and racks. Each
// instance belongs to exactly one pool, and each pool serves one service.
// Callers reach a service through entry instances, which choose an upstream (a
// serving instance of the service's pool) for each request. Operators change
// templates and parameters; planners move instances between pools and through
// maintenance waves; placers put jobs on instances.
//
// Invariants that every package below this one keeps:
//
//   - An effect on shared state is a compare-and-swap on the revision that the
//     decision read. A lease saves work and never protects correctness.
//   - A request that is refused as not run reached no upstream, or the upstream
//     itself said that it did not run it.
//   - Work that may not be repeated is sent at most once.
//   - A configuration version is never replaced by a lower one.
//
// The package contains no input or output. Implementations live in the
// packages below it and depend on it, never the reverse.
package pointport
