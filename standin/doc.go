// Package standin simulates the systems that pointport depends on, for tests and trials: the
// platform's service with its key-value store, its list of instances and its tasks, and instances
// that serve requests. It is no part of the product.
//
// The model: a Fleet owns Instances, each with its own listener on loopback. A Platform serves the
// store and the fleet over HTTP. Each instance has a fixed number of slots and accepts a fixed
// number of connections. It counts the requests that it ran by key, so that a test can detect a
// request that ran twice.
//
// Deliberately left out: any decision. The stand-in does as it is ordered and fails only in the
// ways that a test or an operator selects.
package standin
