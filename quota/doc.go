// Package quota keeps what a customer runs in all pools together within its cap, although
// each pool has its own owner that starts tasks independently.
//
// A part of each cap is split evenly over the pools; the owner of a pool may use the pool's
// even part without asking. The rest of the cap floats: an owner that needs more reserves
// some of it in its pool's row of the customer's account. The account is one value in the
// store, changed by compare-and-swap. A pool may use its even part and what its row holds.
//
// When a cap is lowered, more may be running than the new cap allows, and only the owner of
// each pool knows how much runs there. So each owner writes to its row what it uses beyond
// its even part, even if that is nothing, with the version of the configuration that it
// applies. No task of the customer starts anywhere until all owners have done so and the
// rows fit into the new cap.
//
// Invariants:
//
//   - The rows of an account fit into the floating part of the cap, unless the floating part was
//     lowered or a pool uses more than it may. While they do not fit, each owner lowers its row at
//     once to what the other rows leave, but not below what its pool uses, so that they fit again
//     as soon as enough tasks have ended.
//   - A pool's row holds at least what the pool uses beyond its even part, from before it
//     is used. The row belongs to the pool and not to its owner, so it outlasts the owner.
//   - Only the pool's owner lowers its row, after the tasks that used it have ended.
//
// A customer that stays within its even parts costs no call to the store. Alternatives cost
// more. If each owner had to hold a grant before it starts anything, every customer and pool
// would need a call at first use and at each change of owner. If one member kept each
// customer's account and owners asked it in batches, its grants would have to be stored as
// well, or its successor would have to wait until they expire: 5 s in which a customer at its
// cap gets nothing. With fixed parts only, a customer whose work is all in one pool of four
// could use a quarter of its cap.
package quota
