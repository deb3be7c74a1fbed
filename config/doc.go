// Package config defines what operators configure: templates of pools and the
// services on them, customers' parameters, maintenance waves, and availability zones
// that are to be left empty.
//
// The model: an Object is one document of one kind, known by its kind and name.
// A State is an immutable set of objects at one version. Applying a Change to a
// State gives the State of the next version.
//
// Invariants: a State holds only objects that passed their check; versions grow
// by one; a State is never changed once it is made.
//
// Fields of documents are exported because codecs read and write them. The
// codecs come from libraries, which the brief asks for.
package config
