package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"strings"

	"github.com/pointport/pointport"
)

// This file defines a customer's account as it is stored.

// Prefix starts the keys of accounts.
const Prefix = "quota/"

// Key returns the key of a customer's account.
func Key(name string) string { return Prefix + url.PathEscape(name) }

// ParseKey returns the customer whose account a key is of; false if it is none.
func ParseKey(key string) (string, bool) {
	escaped, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", false
	}
	name, err := url.PathUnescape(escaped)
	return name, err == nil
}

// A Row is what a pool holds of the floating part of a cap. Its fields are exported because
// a codec reads and writes them.
type Row struct {
	// Version is that of the configuration by which the pool's owner has written the row.
	Version int64           `json:"v"`
	Held    pointport.Shape `json:"held"`
}

// An Account is what the pools hold of a customer's cap. Its fields are exported because a
// codec reads and writes them.
type Account struct {
	// Lowered is the newest version by which an owner has seen the cap lowered.
	Lowered int64          `json:"lowered,omitempty"`
	Rows    map[string]Row `json:"rows"`
}

// encode returns the stored form.
func (a Account) encode() []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic("quota: an account has a JSON form: " + err.Error())
	}
	return data
}

// decodeAccount reads the stored form. An account with a row below nothing is none: it
// would let others hold more than there is.
func decodeAccount(data []byte) (Account, error) {
	var a Account
	if err := json.Unmarshal(data, &a); err != nil {
		return Account{}, err
	}
	for pool, r := range a.Rows {
		if !r.Held.Fits(pointport.Shape{}) {
			return Account{}, fmt.Errorf("rows[%q].held is %v: must not be below zero", pool, r.Held)
		}
	}
	return a, nil
}

// held returns what pools hold together, except the one named. A pool that the configuration
// has no more may have a row that nobody will lower.
func (a Account) held(pools []string, except string) pointport.Shape {
	var sum pointport.Shape
	if len(a.Rows) == 0 {
		return sum // as of most customers, which are asked about with each plan
	}
	for _, pool := range pools {
		if pool != except {
			sum = sum.Plus(a.Rows[pool].Held)
		}
	}
	return sum
}

// reportedBy reports whether the owners of all pools have written what they use by a version or
// a newer one.
func (a Account) reportedBy(version int64, pools []string) bool {
	for _, pool := range pools {
		if r, ok := a.Rows[pool]; !ok || r.Version < version {
			return false
		}
	}
	return true
}

// with returns a copy with another row of a pool.
func (a Account) with(pool string, r Row, lowered int64) Account {
	rows := maps.Clone(a.Rows)
	if rows == nil {
		rows = make(map[string]Row)
	}
	rows[pool] = r
	return Account{Lowered: max(a.Lowered, lowered), Rows: rows}
}
