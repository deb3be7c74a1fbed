package steward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/member"
)

// This file defines the journal of orders about machines. Two holders must not
// take turns at a machine within some time, so a new steward must know what its
// predecessor ordered last.

// journalKey is the key of the journal in the store.
const journalKey = "journal" + Post

// clockSkew is by how much the times of day of two members may differ.
const clockSkew = 500 * time.Millisecond

// A journalDocument is the stored form. Its fields are exported because a codec
// reads and writes them.
type journalDocument struct {
	// Fence is the steward's that wrote it.
	Fence pointport.Fence `json:"fence"`
	// Ordered says when each machine was ordered last, in milliseconds since
	// 1970; machines that were not ordered lately are left out.
	Ordered map[pointport.InstanceID]int64 `json:"ordered"`
}

// A journal keeps when machines were ordered. It is not safe for concurrent use.
type journal struct {
	kv   pointport.KV
	own  member.Ownership
	rest time.Duration // that must lie between two holders' orders
	doc  journalDocument
	// former holds the orders of earlier stewards.
	former map[pointport.InstanceID]time.Time
	opened bool
}

func newJournal(kv pointport.KV, own member.Ownership, rest time.Duration) *journal {
	return &journal{
		kv: kv, own: own, rest: rest, former: make(map[pointport.InstanceID]time.Time),
		doc: journalDocument{Fence: own.Fence, Ordered: make(map[pointport.InstanceID]int64)},
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
		for id, at := range doc.Ordered {
			j.former[id] = time.UnixMilli(at)
			j.doc.Ordered[id] = at
		}
	}
	j.opened = true
	return nil
}

// reserved returns the machines that must be left alone for now.
func (j *journal) reserved(now time.Time) map[pointport.InstanceID]bool {
	out := make(map[pointport.InstanceID]bool)
	for id, at := range j.former {
		if now.Sub(at) < j.rest+clockSkew {
			out[id] = true
		}
	}
	return out
}

// add writes that machines are about to be ordered.
func (j *journal) add(ctx context.Context, now time.Time, orders []capacity.Order) error {
	for id, at := range j.doc.Ordered {
		if now.Sub(time.UnixMilli(at)) > 2*j.rest {
			delete(j.doc.Ordered, id)
		}
	}
	for _, o := range orders {
		j.doc.Ordered[o.Machine] = now.UnixMilli()
	}
	value, err := json.Marshal(j.doc)
	if err != nil {
		return err
	}
	_, err = j.kv.Commit(ctx, pointport.Txn{
		If:  []pointport.Condition{{Key: member.OwnerKey(Post), Revision: j.own.Revision}},
		Put: []pointport.Put{{Key: journalKey, Value: value}},
	})
	var conflict *pointport.TxnConflictError
	if errors.As(err, &conflict) {
		return member.ErrLost
	}
	return err
}
