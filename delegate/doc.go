// Package delegate carries the orders of a pool's owner to instances through peers.
//
// The model: an owner that is short of processor time, or whose link is thin, keeps its
// pool and all decisions about it, and has some peers that own nothing, its delegates,
// make the calls to the instances. Each instance has one delegate. To each delegate goes
// one stream of orders, and its results come back on the same connection, one JSON
// document a line. A payload is sent to a delegate once and named by a number after that,
// because the tasks of a job share it and it is most of a start.
//
// A delegate decides nothing and remembers nothing but payloads: fences, run numbers and
// times are the owner's, so whoever carries an order, an instance takes it or not.
//
// Invariants:
//
//   - An order that was not written to a stream is sent directly. Of those that were, only
//     a look is made a second time, which changes nothing.
//   - An order whose result does not come has an unknown effect, as one that was sent
//     directly and got no answer.
package delegate
