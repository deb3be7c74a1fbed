// Package quota keeps what a customer has running in all pools together within its cap,
// while each pool is ordered about by an owner of its own.
//
// The model: of a cap, a part is split evenly over the pools, which their owners may use
// without asking. The rest floats: an owner that needs more holds some of it, in a row of
// the customer's account, one value in the store that is changed by compare-and-swap. What
// a pool may use is its even part and its row.
//
// When a cap is lowered, what runs may be more than the new one allows, and only the owner
// of each pool knows how much runs there. So each owner writes down, with the version of
// the configuration that it goes by, what it uses beyond its even part, also if that is
// nothing. Nothing of the customer starts anywhere until all of them have, and until what
// they have written down fits.
//
// Invariants:
//
//   - The rows of an account fit into the floating part of the cap, unless the cap was
//     lowered; then no row grows until they fit again.
//   - A pool's row is at least what the pool uses beyond its even part, from before that is
//     used. It is the pool's and not its owner's, so it outlasts the owner.
//   - A row is lowered only by its pool's owner, after what stood for it has ended.
//
// A customer that stays within its even parts costs no call. Weighed: a book of grants that
// each owner must hold before it starts anything (a call for each customer and pool when it
// begins, and at each owner's change); a keeper for each customer among the members, asked in
// batches (what it has granted must be stored as well, or be waited out when it is gone, 5 s
// in which a customer at its cap gets nothing); fixed parts (a customer whose work is all in
// one pool of four gets a quarter of its cap).
package quota
