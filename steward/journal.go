package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/member"
)

// This file defines the journal of orders for machines. A minimum time must pass between the
// orders of two holders of a machine, and the list of machines may lag behind the orders,
// so a new steward must know what its predecessor ordered last.

// journalKey is the key of the journal in the store.
const journalKey = "journal" + OwnershipName

// journalKeepFactor times the minimum time between two holders is how long an order is
// kept in the journal.
const journalKeepFactor = 2

// clockSkew is the maximum difference between the clocks of two members.
const clockSkew = 500 * time.Millisecond

// A journalDocument is the stored form. Its fields are exported because a codec
// reads and writes them.
type journalDocument struct {
	// Fence is the fencing token of the steward that wrote the document.
	Fence pointport.Fence `json:"fence"`
	// Ordered holds the last order for each machine; machines without a recent order
	// are left out.
	Ordered map[pointport.InstanceID]journalEntry `json:"ordered"`
}

type journalEntry struct {
	At       int64                   `json:"at"` // milliseconds since 1970
	Wave     int64                   `json:"wave,omitempty"`
	Pool     string                  `json:"pool,omitempty"`
	Replaces pointport.Addressee     `json:"replaces,omitempty"`
	Ends     pointport.IncarnationID `json:"ends,omitempty"`
}

// former converts the entry for a new steward. The writer's clock may be behind by clockSkew.
func (e journalEntry) former() capacity.FormerOrder {
	return capacity.FormerOrder{
		Order: capacity.Order{Pool: e.Pool, Wave: e.Wave, Replaces: e.Replaces, Ends: e.Ends},
		At:    time.UnixMilli(e.At).Add(clockSkew),
	}
}

// A journal records when machines were ordered. It is not safe for concurrent use.
type journal struct {
	kv             pointport.KV
	writer         *member.Writer
	holderInterval time.Duration // least time between two holders' orders
	doc            journalDocument
	// former holds the orders of earlier stewards.
	former map[pointport.InstanceID]capacity.FormerOrder
	opened bool
}

func newJournal(kv pointport.KV, writer *member.Writer, own member.Ownership, holderInterval time.Duration) *journal {
	return &journal{
		kv: kv, writer: writer, holderInterval: holderInterval, former: make(map[pointport.InstanceID]capacity.FormerOrder),
		doc: journalDocument{Fence: own.Fence, Ordered: make(map[pointport.InstanceID]journalEntry)},
	}
}

// open reads the orders of earlier stewards, once. It returns an error if the journal cannot be
// read or decoded; the next call tries again.
func (j *journal) open(ctx context.Context) error {
	if j.opened {
		return nil
	}
	e, err := j.kv.Get(ctx, journalKey)
	if err != nil {
		return err
	}
	if e.Exists() {
		var doc journalDocument
		if err := json.Unmarshal(e.Value(), &doc); err != nil {
			return fmt.Errorf("decode %s: %w", journalKey, err)
		}
		for id, o := range doc.Ordered {
			j.former[id] = o.former()
			j.doc.Ordered[id] = o
		}
	}
	j.opened = true
	return nil
}

// add writes orders that are about to be sent, and drops those that are too old to matter.
func (j *journal) add(ctx context.Context, now time.Time, orders []capacity.Order) error {
	for id, o := range j.doc.Ordered {
		if now.Sub(time.UnixMilli(o.At)) > max(journalKeepFactor*j.holderInterval, capacity.PendingOrderTimeout+clockSkew) {
			delete(j.doc.Ordered, id)
		}
	}
	for _, o := range orders {
		j.doc.Ordered[o.Machine] = journalEntry{At: now.UnixMilli(), Wave: o.Wave, Pool: o.Pool, Replaces: o.Replaces, Ends: o.Ends}
	}
	value, err := json.Marshal(j.doc)
	if err != nil {
		return err
	}
	return j.writer.Commit(ctx, pointport.Txn{Put: []pointport.Put{{Key: journalKey, Value: value}}})
}
