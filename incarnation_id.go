package pointport

import (
	"strconv"
	"strings"
	"time"
)

// This file defines the identity of incarnations.

// An IncarnationID identifies one incarnation of an instance, from one start of
// its software to the next. A new incarnation has no state of the previous one:
// orders to an incarnation and reports from it become void when it ends.
//
// Code that decodes the platform's messages builds the ID from everything that
// distinguishes incarnations. Two incarnations are the same exactly if their IDs
// are equal.
type IncarnationID string

// An Addressee is the name by which the platform routes an order to an
// incarnation. A later incarnation of an instance may take over the addressee of
// an earlier one, and then receives the orders that were meant for that one.
type Addressee string

// startSeparator separates the addressee from the start time in an ID.
const startSeparator = "@"

// NewIncarnationID returns the ID of the incarnation that started at startedAt,
// according to its instance's clock and in whole milliseconds. That clock may be
// set back, so the start times of two incarnations with the same addressee show
// only that they differ, not which one is later.
func NewIncarnationID(to Addressee, startedAt time.Time) IncarnationID {
	return IncarnationID(string(to) + startSeparator + strconv.FormatInt(startedAt.UnixMilli(), 10))
}

// ValidAddressee reports whether a name can be an addressee.
func ValidAddressee(name string) bool { return name != "" && !strings.Contains(name, startSeparator) }

// Addressee returns the name by which orders are routed to the incarnation.
func (id IncarnationID) Addressee() Addressee {
	to, _, _ := strings.Cut(string(id), startSeparator)
	return Addressee(to)
}

// StartedAt returns when the incarnation started. It returns false if the ID
// consists of the addressee alone, in which case no other incarnation has that
// addressee.
func (id IncarnationID) StartedAt() (time.Time, bool) {
	_, startedAt, ok := strings.Cut(string(id), startSeparator)
	if !ok {
		return time.Time{}, false
	}
	at, err := strconv.ParseInt(startedAt, 10, 64)
	return time.UnixMilli(at), err == nil
}

// SharesAddressee reports whether other incarnations may have the addressee of
// this one.
func (id IncarnationID) SharesAddressee() bool { return strings.Contains(string(id), startSeparator) }
