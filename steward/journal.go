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

// This file defines the journal of orders about machines. Two holders must not
// take turns at a machine within some time, and the list of machines may not show yet
// what was ordered, so a new steward must know what its predecessor ordered last.

// journalKey is the key of the journal in the store.
const journalKey = "journal" + OwnershipName

// journalKeepFactor is for how many times the least time between two holders an order is
// kept in the journal.
const journalKeepFactor = 2

// clockSkew is by how much the times of day of two members may differ.
const clockSkew = 500 * time.Millisecond

// A journalDocument is the stored form. Its fields are exported because a codec
// reads and writes them.
type journalDocument struct {
	// Fence is the steward's that wrote it.
	Fence pointport.Fence `json:"fence"`
	// Ordered holds the last order about each machine; machines that were not
	// ordered about lately are left out.
	Ordered map[pointport.InstanceID]journalEntry `json:"ordered"`
}

type journalEntry struct {
	At       int64                   `json:"at"` // milliseconds since 1970
	Wave     int64                   `json:"wave,omitempty"`
	Pool     string                  `json:"pool,omitempty"`
	Replaces pointport.Addressee     `json:"replaces,omitempty"`
	Ends     pointport.IncarnationID `json:"ends,omitempty"`
}

// former returns what the entry says to a new steward. The writer's clock may be behind.
func (e journalEntry) former() capacity.FormerOrder {
	return capacity.FormerOrder{
		Order: capacity.Order{Pool: e.Pool, Wave: e.Wave, Replaces: e.Replaces, Ends: e.Ends},
		At:    time.UnixMilli(e.At).Add(clockSkew),
	}
}

// A journal keeps when machines were ordered. It is not safe for concurrent use.
type journal struct {
	kv     pointport.KV
	writer *member.Writer
	holderInterval   time.Duration // that must lie between two holders' orders
	doc    journalDocument
	// former holds the orders of earlier stewards.
	former map[pointport.InstanceID]capacity.FormerOrder
	opened bool
}

func newJournal(kv pointport.KV, writer *member.Writer, own member.Ownership, rest time.Duration) *journal {
	return &journal{
		kv: kv, writer: writer, holderInterval: rest, former: make(map[pointport.InstanceID]capacity.FormerOrder),
		doc: journalDocument{Fence: own.Fence, Ordered: make(map[pointport.InstanceID]journalEntry)},
	}
}

// open reads what earlier stewards ordered, once.
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
			return fmt.Errorf("%s: %w", journalKey, err)
		}
		for id, o := range doc.Ordered {
			j.former[id] = o.former()
			j.doc.Ordered[id] = o
		}
	}
	j.opened = true
	return nil
}

// add writes that machines are about to be ordered.
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
