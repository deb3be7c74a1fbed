package pointport

import (
	"strconv"
	"strings"
	"time"
)

// This file defines how the lives of instances are told apart.

// An IncarnationID names one life of an instance, from a start of its software
// to the next. A new life knows nothing of the one before: what was said to a life, or by it,
// ends with it.
//
// Whoever decodes what the platform says makes it of all that tells lives apart. Two lives are
// one if their IDs are equal, and nothing else says so.
type IncarnationID string

// An Addressee is the name by which the platform directs an order to an incarnation. A later
// life of an instance may take over the one of an earlier life, and with it the orders that
// were meant for that one.
type Addressee string

// bornMark stands in an ID between the addressee and when the life began.
const bornMark = "@"

// NewIncarnationID returns the ID of the life that began at born, by its instance's clock in
// whole milliseconds. That clock may be set back, so of two lives of an addressee born tells
// only that they differ, and not which one is the later.
func NewIncarnationID(to Addressee, born time.Time) IncarnationID {
	return IncarnationID(string(to) + bornMark + strconv.FormatInt(born.UnixMilli(), 10))
}

// ValidAddressee reports whether a name can be an addressee.
func ValidAddressee(name string) bool { return name != "" && !strings.Contains(name, bornMark) }

// Addressee returns the name by which orders are directed to the incarnation.
func (id IncarnationID) Addressee() Addressee {
	to, _, _ := strings.Cut(string(id), bornMark)
	return Addressee(to)
}

// StartedAt returns when the life began, false if its addressee alone names it: no other life has
// that one then.
func (id IncarnationID) StartedAt() (time.Time, bool) {
	_, born, ok := strings.Cut(string(id), bornMark)
	if !ok {
		return time.Time{}, false
	}
	at, err := strconv.ParseInt(born, 10, 64)
	return time.UnixMilli(at), err == nil
}

// SharesAddressee reports whether other lives may have the addressee of this one.
func (id IncarnationID) SharesAddressee() bool { return strings.Contains(string(id), bornMark) }
