// Package node puts together an entry instance that takes jobs: its membership,
// the configuration and the registrations that it follows, the pools that it
// owns, and what it answers to customers and peers.
//
// The model: a Node is given the services that it stands on as interfaces, so it
// runs alike on the users' platform and on stand-ins.
//
// Invariants: a configuration is never replaced by a lower version; a planned
// stop gives the pools away first, goes on answering until the balancer has
// noticed, and cuts off nothing in flight.
package node
