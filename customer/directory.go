package customer

import (
	"crypto/subtle"
	"encoding/binary"
	"encoding/json"

	"github.com/pointport/pointport"
)

// This file defines the customers of one version of the configuration.

// A Customer is one of those whose requests are served. Its fields are exported because a
// codec reads and writes them; a Customer is not changed once it is in a Directory.
type Customer struct {
	Name string   `json:"name"`
	Keys []Digest `json:"keys,omitempty"`
	// Weight is the customer's share of what there is while all is full, beside the
	// weights of others.
	Weight float64 `json:"weight,omitempty"`
	// Cap is what the customer's tasks may take in all pools together; a zero is no
	// bound.
	Cap pointport.Shape `json:"cap,omitzero"`
}

// CapAllows reports whether the cap allows as much at once.
func (c *Customer) CapAllows(need pointport.Shape) bool {
	within := func(limit, need int64) bool { return limit == 0 || need <= limit }
	return within(c.Cap.CPUMilli, need.CPUMilli) && within(c.Cap.MemoryMiB, need.MemoryMiB) && within(c.Cap.Accelerators, need.Accelerators)
}

// A Directory holds customers. A nil Directory holds none.
type Directory struct {
	all    []Customer
	byName map[string]*Customer
	// byKey holds keys by the first bytes of their digest, so that what is compared with a
	// caller's key is compared in constant time.
	byKey map[uint64][]keyOwner
}

// keyOwner is a key and whose it is.
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

func digestPrefix(d Digest) uint64 { return binary.LittleEndian.Uint64(d[:]) }

// Identify returns the customer that a key belongs to; false if it is nobody's.
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

// Find returns the customer of a name; false if there is none.
func (d *Directory) Find(name string) (*Customer, bool) {
	if d == nil {
		return nil, false
	}
	c, ok := d.byName[name]
	return c, ok
}

// All returns the customers in the order of the configuration. They must not be changed.
func (d *Directory) All() []Customer {
	if d == nil {
		return nil
	}
	return d.all
}

// Len returns how many customers there are.
func (d *Directory) Len() int { return len(d.All()) }

// MarshalJSON returns the customers as a list.
func (d *Directory) MarshalJSON() ([]byte, error) { return json.Marshal(d.All()) }

// UnmarshalJSON reads a list of customers.
func (d *Directory) UnmarshalJSON(data []byte) error {
	var all []Customer
	if err := json.Unmarshal(data, &all); err != nil {
		return err
	}
	*d = *NewDirectory(all)
	return nil
}
