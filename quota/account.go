package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"strings"

	"github.com/pointport/pointport"
)

// This file defines the stored account of a customer.

// Prefix is the prefix of the keys of all accounts.
const Prefix = "quota/"

// Key returns the key of a customer's account.
func Key(name string) string { return Prefix + url.PathEscape(name) }

// ParseKey returns the customer whose account is stored under key; false if key is not
// one of an account.
func ParseKey(key string) (string, bool) {
	escaped, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", false
	}
	name, err := url.PathUnescape(escaped)
	return name, err == nil
}

// A Row is the part of a cap's floating part that one pool holds. Its fields are exported
// because a codec reads and writes them.
type Row struct {
	// Version is the version of the configuration that the pool's owner applied when it
	// wrote the row.
	Version int64           `json:"v"`
	Held    pointport.Shape `json:"held"`
}

// An Account holds the rows of all pools for one customer. Its fields are exported because a
// codec reads and writes them.
type Account struct {
	// Lowered is the newest version of the configuration that lowered the cap, as far as
	// any owner has seen.
	Lowered int64          `json:"lowered,omitempty"`
	Rows    map[string]Row `json:"rows"` // by pool
}

// encode returns the stored form.
func (a Account) encode() []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic("quota: encoding an account: " + err.Error())
	}
	return data
}

// maxHeldUnits bounds each component of a row. The sum over any number of pools that fit into a
// value of the store does not overflow.
const maxHeldUnits = 1 << 40

// decodeAccount reads the stored form. It rejects an account with a row that is negative or too
// large, with which other pools would hold more than the cap.
func decodeAccount(data []byte) (Account, error) {
	var a Account
	if err := json.Unmarshal(data, &a); err != nil {
		return Account{}, err
	}
	for pool, r := range a.Rows {
		if !r.Held.Fits(pointport.Shape{}) {
			return Account{}, fmt.Errorf("rows[%q].held is %v: must not be negative", pool, r.Held)
		}
		if most := (pointport.Shape{CPUMilli: maxHeldUnits, MemoryMiB: maxHeldUnits, Accelerators: maxHeldUnits}); !most.Fits(r.Held) {
			return Account{}, fmt.Errorf("rows[%q].held is %v: must be at most %d in each component", pool, r.Held, int64(maxHeldUnits))
		}
	}
	return a, nil
}

// held returns the sum that the given pools hold, without the pool except. Rows of other
// pools don't count: a pool that the configuration no longer has may have left a row that
// no owner will lower.
func (a Account) held(pools []string, except string) pointport.Shape {
	var sum pointport.Shape
	if len(a.Rows) == 0 {
		return sum // the common case, evaluated for every customer with each plan
	}
	for _, pool := range pools {
		if pool != except {
			sum = sum.Plus(a.Rows[pool].Held)
		}
	}
	return sum
}

// reportedBy reports whether the owners of all pools have written their rows under the given
// version of the configuration or a newer one.
func (a Account) reportedBy(version int64, pools []string) bool {
	for _, pool := range pools {
		if r, ok := a.Rows[pool]; !ok || r.Version < version {
			return false
		}
	}
	return true
}

// with returns a copy of the account with a pool's row replaced and Lowered raised to
// lowered if it is older.
func (a Account) with(pool string, r Row, lowered int64) Account {
	rows := maps.Clone(a.Rows)
	if rows == nil {
		rows = make(map[string]Row)
	}
	rows[pool] = r
	return Account{Lowered: max(a.Lowered, lowered), Rows: rows}
}
