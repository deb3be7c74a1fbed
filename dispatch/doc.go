// Package dispatch decides which upstream runs a request, and when.
//
// A Service has a set of upstreams and a queue of requests. Acquire grants an
// upstream at once if one has free capacity. Otherwise the request waits for its
// turn or is refused. Ending a grant reports the outcome of the request, which
// adapts the upstream's concurrency limit, may eject the upstream or end its
// ejection, and frees its capacity for the next waiting request.
//
// Invariants:
//
//   - The grants of an upstream never exceed its slots or this entry instance's
//     share of its connections.
//   - An upstream that is known to be leaving, or whose availability zone is
//     evacuated, gets no new grant.
//   - Only a bounded fraction of the upstreams is ejected at once.
//   - Every request that waits gets exactly one grant or refusal.
//
// The package does no input or output. The caller sends the requests.
package dispatch
