// Package customer says whose a request is and what each customer may have.
//
// The model: operators' configuration lists customers. A customer has a name, keys that
// callers show, a weight and a cap. A Directory holds those of one version of the
// configuration and finds the customer that a key belongs to.
//
// Invariants:
//
//   - A key is held as a digest only, so that nothing that prints a customer can print a
//     key. What is shown of a key is its fingerprint.
//   - A directory is never changed, so it is safe for concurrent use.
//   - How long a look-up takes does not depend on how much of a key is right.
package customer
