package customer

// This file defines who asks.

// A Caller says whose a request is and how that was found out. The zero Caller shows no
// key. Its fields are exported because a codec reads and writes them.
type Caller struct {
	// Name is the customer's, empty for a caller that shows no key.
	Name string `json:"name,omitempty"`
	// Key is what the caller showed, zero for none.
	Key Digest `json:"key,omitzero"`
	// Version is that of the configuration in which the key was looked up.
	Version int64 `json:"version,omitempty"`
	// Operates says that the caller is an operator, who sees everybody's jobs.
	Operates bool `json:"operates,omitempty"`
}

// Operator returns the caller that is an operator.
func Operator() Caller { return Caller{Operates: true} }

// CanAccess reports whether the caller may know of a job of the customer named, and cancel it.
// A job of nobody was handed in without a key, and its identity alone stands for it.
func (c Caller) CanAccess(owner string) bool { return c.Operates || owner == "" || owner == c.Name }

// Revoked reports whether the caller's key is no longer its customer's in a directory of
// a version. A directory as old as the one that the caller was judged by says nothing new.
func (c Caller) Revoked(d *Directory, version int64) bool {
	if c.Name == "" || version <= c.Version {
		return false
	}
	found, ok := d.Identify(c.Key)
	return !ok || found.Name != c.Name
}
