// Package delegate sends the orders of a pool's owner to instances through peers.
//
// The model: an owner that is short of processor time or bandwidth keeps its pool and makes
// all decisions about it, but has some peers that own no pool, its delegates, call the
// instances. Each instance has one delegate. The owner sends one stream of orders to each
// delegate and receives the results on the same connection, as one JSON document per line. A
// payload is sent to a delegate once and referred to by a number after that, because the tasks
// of a job share it and it is the largest part of a start.
//
// A delegate makes no decisions and keeps no state except payloads. Fences, run numbers and
// times are set by the owner, so an instance accepts or rejects an order regardless of which
// member sends it.
//
// Invariants:
//
//   - An order that was not written to a stream is sent directly. An order that was written is
//     not repeated, except for a poll, which changes nothing when it is repeated.
//   - An order without a result has an unknown effect, like one that was sent directly and got
//     no answer.
package delegate
