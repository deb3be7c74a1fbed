// Package node assembles an entry instance, which accepts jobs: its membership in the cluster,
// the configuration and the registrations that it follows in the store, the pools that it owns,
// and its handlers for customers and peers.
//
// A Node gets the services that it depends on as interfaces, so the same code runs on the
// users' platform and on test implementations.
//
// Invariants: a configuration is never replaced by a lower version; a planned stop first hands
// the node's pools over, keeps answering until the load balancer has noticed, and interrupts no
// request in flight.
package node
