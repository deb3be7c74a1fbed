// Package claim keeps work that may not be repeated from running twice.
//
// The model: before the first byte of a keyed request goes to an upstream, its
// entry instance claims the key in the platform's service. Claims are appended
// to the active segment of the key's partition, one value, by compare-and-swap,
// and many claims share one write. A full segment is never appended to again;
// the next one begins. Outcomes are appended the same way, with the next write
// of claims or after a short while.
//
// Invariants: a claim is granted only by a write that followed on everything
// that was written to its partition before, so a key is granted at most once
// while its records are kept; a write whose answer was lost is settled by
// reading back; the only write ever repeated is the same one on the same
// revision; a claim that nobody waits for any more is released, and never used.
//
// Deliberately left out: the answer itself. A second request with the same key
// learns how the first one ended, not what it returned.
package claim
