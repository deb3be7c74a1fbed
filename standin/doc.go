// Package standin is the outside world that pointport is tried and tested
// against: the platform's service with its key-value store, list of instances
// and tasks, and instances that serve requests. It is no part of the product.
//
// The model: a Fleet owns Instances, each with a listener of its own on
// loopback; a Platform serves the store and the fleet over HTTP. Each instance
// has a fixed number of slots and accepts a fixed number of connections, and it
// counts what it ran, so that a test can tell whether something ran twice.
//
// Deliberately left out: any decision. The stand-in does what it is told and
// fails in the ways it is told to.
package standin
