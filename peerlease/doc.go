// Package peerlease decides how a pool keeps its owner while the platform's store is unavailable
// to every member, and when another member may take the pool.
//
// The owner of a pool names some members as its standbys in a Document in the store. While the
// store does not answer, it asks the standbys for peer leases: until a peer lease ends, the standby
// does not act as the pool's owner. The owner may act for as long as it holds the leases of all
// standbys. There is no majority: a single standby that is silent or refuses ends the proof. Nothing
// is written anywhere, and a standby loses its leases when its process ends.
//
// A member that wants to take a pool without an owner must know that no owner can hold all leases
// any more. A standby knows it from its own Grants. Any other member asks the members named in the
// Document, and otherwise waits until the owner's time is over.
//
// Invariants:
//
//   - A standby counts a lease from its receipt, the owner from before its request, and for less
//     time. Both count time during which their machine is suspended.
//   - Each standby that a taker may ask is one whose lease the owner needs: it needs the leases
//     of the standbys of every Document that the store may hold.
//   - An owner that finds an ownership of its own again, which it had dropped, has no standbys until
//     it has stored its Document again: a list that it sent before may still be carried out.
//   - A standby that has allowed a takeover, or has sent the transaction of its own, grants no more
//     leases to that owner.
//   - While an owner does not know all starts of its predecessors, its Document has Unrecorded set,
//     and no successor treats those starts as recorded.
//   - An owner holds no lease for longer than the Bound of its Document after its key is gone.
//
// The package does no input or output. All times are steady times of the member's own clock.
package peerlease
