// Package gateway is the reverse proxy that serves callers: it routes a request to
// its service, sends it to an upstream, and returns either the complete answer of
// one upstream or a refusal that states whether the request ran.
//
// A request is checked, its idempotency key is claimed if it has one and the route
// is not repeatable, the service grants it an upstream, and it is sent. An attempt
// ends in one of four ways: the upstream answered, the upstream reported that it
// did not run the request, the attempt failed before any byte was sent, or it
// failed after that. Whether the request is retried depends on this and on whether
// its route is repeatable.
//
// Invariants:
//
//   - A refusal has ran=no only if no byte reached an upstream, or the upstream
//     itself reported that it did not run the request.
//   - A request that must not be repeated is sent to one upstream at most, unless
//     its key is claimed and the upstream reported that it did not run the request.
//     The transport never gets a request that it could retry by itself.
//   - An answer that was cut short reaches the caller as a refusal or as a broken
//     connection, never as an answer that looks complete.
//   - The connections to an upstream stay within this entry instance's share.
//
// Caching, rewriting, protocol upgrades and TLS are left out on purpose.
package gateway
