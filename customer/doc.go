// Package customer identifies the customer of a request and holds what each customer may
// use.
//
// The operators' configuration lists customers. A customer has a name, API keys, a weight and
// a cap. A Directory holds the customers of one version of the configuration and finds the
// customer that a key belongs to.
//
// Invariants:
//
//   - Keys are held as digests only, so that nothing that prints a customer can print a key.
//     Only a fingerprint of a key is shown.
//   - A Directory is immutable, so it is safe for concurrent use.
//   - The duration of a lookup doesn't depend on how much of a key is correct.
package customer
