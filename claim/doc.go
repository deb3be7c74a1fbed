// Package claim ensures that a request that must not be repeated runs at most once.
//
// Before the first byte of a request with an idempotency key is sent to an
// upstream, its entry instance claims the key in the platform's key-value service.
// Claims are appended by compare-and-swap to the active segment of the key's
// partition, which is one stored value, and many claims share one write (a group
// commit). A full segment is sealed: it is never appended to again, and the next
// one becomes active. Outcomes are appended the same way, together with the next
// claims or after a short delay.
//
// Invariants:
//
//   - A claim is granted only by a write that is based on everything written to
//     its partition before. So a key is granted at most once while its records are
//     kept.
//   - A write whose answer was lost is resolved by reading the partition again.
//   - The only write that is ever repeated is the same write based on the same
//     revision.
//   - A claim that its caller has abandoned is released and never used.
//
// The answer of a request is not stored. A second request with the same key gets
// the state and status of the first one, not its answer.
package claim
