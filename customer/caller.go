package customer

// A Caller identifies who sent a request: a customer by its key, or an operator. The zero
// Caller is one without a key. Its fields are exported because a codec reads and writes them.
type Caller struct {
	// Name is the customer's name; empty for a caller without a key.
	Name string `json:"name,omitempty"`
	// Key is the digest of the caller's key; zero for none.
	Key Digest `json:"key,omitzero"`
	// Version is the version of the configuration in which the key was found.
	Version int64 `json:"version,omitempty"`
	// IsOperator reports whether the caller is an operator, who may access all jobs.
	IsOperator bool `json:"operates,omitempty"`
}

// Operator returns a caller that is an operator.
func Operator() Caller { return Caller{IsOperator: true} }

// CanAccess reports whether the caller may read and cancel a job of the customer owner. A job
// submitted without a key has no owner: everyone who knows its ID may access it.
func (c Caller) CanAccess(owner string) bool { return c.IsOperator || owner == "" || owner == c.Name }

// Revoked reports whether the caller's key no longer belongs to its customer in d, the
// directory of the given version of the configuration. It is false unless that version is
// newer than the one in which the key was found: an older one has no new information.
func (c Caller) Revoked(d *Directory, version int64) bool {
	if c.Name == "" || version <= c.Version {
		return false
	}
	found, ok := d.Identify(c.Key)
	return !ok || found.Name != c.Name
}
