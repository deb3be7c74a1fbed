// Package config defines what operators configure: templates of pools and the
// services on them, customers' parameters, maintenance waves, and evacuations of
// availability zones.
//
// An Object is one document of one kind, identified by its kind and name. A State
// is an immutable set of objects at one version. Applying a Change to a State
// returns the State of the next version.
//
// Invariants: a State holds only objects that were valid when they were accepted,
// versions increase by one, and a State does not change after it is made.
//
// Fields of documents are exported because the JSON and YAML libraries read and
// write them.
package config
