// Package gateway serves callers: it takes a request, finds its service, and
// returns the whole answer of one upstream or an honest refusal.
//
// The model: a request is checked, claimed if it carries a key and may not be
// repeated, given an upstream by its service, and sent. An attempt ends in one
// of four ways: the answer, not run, failed before any byte was sent, or
// failed after that. What may follow depends on whether the work may be
// repeated.
//
// Invariants:
//
//   - A refusal says ran=no only if no byte reached an upstream, or the
//     upstream itself said that it did not run the request.
//   - Work that may not be repeated is sent to one upstream at most, unless a
//     key claims it and the upstream said that it did not run it. The transport
//     below is never given a request that it could send twice.
//   - An answer that was cut short reaches the caller as a refusal or as a
//     broken connection, never as an answer that looks whole.
//   - Connections to an upstream stay within this entry instance's share.
//
// Deliberately left out: caching, rewriting, protocol upgrades and TLS.
package gateway
