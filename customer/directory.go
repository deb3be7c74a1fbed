package customer

import (
	"crypto/subtle"
	"encoding/binary"
	"encoding/json"

	"github.com/pointport/pointport"
)

// A Customer is an entry of a Directory, in which it must not be changed. Its fields are
// exported because a codec reads and writes them.
type Customer struct {
	Name string   `json:"name"`
	Keys []Digest `json:"keys,omitempty"`
	// Weight is the customer's share of a saturated resource, relative to the weights of
	// the other customers.
	Weight float64 `json:"weight,omitempty"`
	// Cap is what the customer's running tasks may take in all pools together; zero means
	// no bound.
	Cap pointport.Shape `json:"cap,omitzero"`
}

// A Directory holds the customers of one version of the configuration. A nil Directory
// holds none.
type Directory struct {
	all    []Customer
	byName map[string]*Customer
	// byKey holds keys by the first bytes of their digests. Only the few keys with the same
	// prefix are compared with a caller's key, so that each comparison can take constant
	// time.
	byKey map[uint64][]keyOwner
}

// keyOwner is a key and the customer that it belongs to.
type keyOwner struct {
	key   Digest
	owner *Customer
}

// NewDirectory returns a directory of customers.
func NewDirectory(all []Customer) *Directory {
	d := &Directory{all: all, byName: make(map[string]*Customer, len(all)), byKey: make(map[uint64][]keyOwner)}
	for n := range all {
		c := &all[n]
		d.byName[c.Name] = c
		for _, k := range c.Keys {
			d.byKey[digestPrefix(k)] = append(d.byKey[digestPrefix(k)], keyOwner{k, c})
		}
	}
	return d
}

// digestPrefix returns the first bytes of a digest, the key of byKey.
func digestPrefix(d Digest) uint64 { return binary.LittleEndian.Uint64(d[:]) }

// Identify returns the customer that a key belongs to; false if there is none.
func (d *Directory) Identify(key Digest) (*Customer, bool) {
	if d == nil {
		return nil, false
	}
	var found *Customer
	for _, k := range d.byKey[digestPrefix(key)] {
		if subtle.ConstantTimeCompare(k.key[:], key[:]) == 1 {
			found = k.owner
		}
	}
	return found, found != nil
}

// Find returns the customer with the given name; false if there is none.
func (d *Directory) Find(name string) (*Customer, bool) {
	if d == nil {
		return nil, false
	}
	c, ok := d.byName[name]
	return c, ok
}

// All returns the customers in the order of the configuration. The slice must not be
// changed.
func (d *Directory) All() []Customer {
	if d == nil {
		return nil
	}
	return d.all
}

// Len returns the number of customers.
func (d *Directory) Len() int { return len(d.All()) }

// MarshalJSON returns the customers as a JSON array.
func (d *Directory) MarshalJSON() ([]byte, error) { return json.Marshal(d.All()) }

// UnmarshalJSON replaces the directory by one of the customers in a JSON array.
func (d *Directory) UnmarshalJSON(data []byte) error {
	var all []Customer
	if err := json.Unmarshal(data, &all); err != nil {
		return err
	}
	*d = *NewDirectory(all)
	return nil
}
