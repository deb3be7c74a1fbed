package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/maphash"
	"slices"
	"time"

	"github.com/pointport/pointport"
)

// This file defines a partition as one entry instance has read it, and the
// calls that read and write it. Only the partition's goroutine uses it.

// known is what the index holds of a key. There may be millions, so it is kept
// small: a digest stands for the token, and an index for the state.
type known struct {
	token  uint64 // digest of the write that claimed the key
	at     uint32 // seconds since 1970
	status uint16
	state  uint8 // index in states
}

// states lists the states that an index holds.
var states = [...]State{InProgress, Ran, Unknown}

func (k known) stateOf() State { return states[k.state] }

// withOutcome returns k with how it ended.
func (k known) withOutcome(r record) known {
	if n := slices.Index(states[:], r.State); n >= 0 {
		k.state = uint8(n)
	}
	k.status = uint16(r.Status)
	return k
}

// tokenSeed makes digests of tokens that hold within this process only.
var tokenSeed = maphash.MakeSeed()

func digest(token string) uint64 { return maphash.String(tokenSeed, token) }

// A partition is the records of a part of the keys.
type partition struct {
	store  Store
	clock  pointport.Clock
	number int
	size   int // records that seal a segment
	keep   time.Duration

	loaded   bool
	seen     time.Time // when the active segment was last read or written
	first    int64     // the oldest segment that is kept
	active   int64
	revision pointport.Revision
	records  []record // of the active segment
	index    map[Key]known
	sealedAt map[int64]int64 // the last record's time of each sealed segment
}

// load reads every segment that is kept.
func (p *partition) load(ctx context.Context) error {
	// A process that slept for long may have missed segments that are gone by
	// now, and must not begin one of them anew.
	if p.loaded && p.clock.Now().Sub(p.seen) < p.keep/2 {
		return nil
	}
	p.loaded = false
	e, err := p.store.Get(ctx, metaKey(p.number))
	if err != nil {
		return err
	}
	m, err := decode[meta](e)
	if err != nil {
		return err
	}
	p.first = max(1, m.First)
	p.active, p.revision, p.records = p.first, 0, nil
	p.index = make(map[Key]known)
	p.sealedAt = make(map[int64]int64)
	// Segments up to the hint may be missing only because they were removed.
	for p.active < m.Next {
		at := p.active
		if err := p.readActive(ctx); err != nil {
			return err
		}
		if p.active == at && p.revision == 0 {
			p.active++
		}
		if p.revision != 0 {
			break
		}
	}
	if err := p.refresh(ctx); err != nil {
		return err
	}
	p.loaded = true
	return nil
}

// staleAfter is how long ago the active segment may have been read before a
// write. Other entry instances write it too, so an older view mostly costs a
// write in vain; a read costs less.
const staleAfter = 10 * time.Millisecond

// stale reports whether another has probably written since the last look.
func (p *partition) stale() bool { return p.clock.Now().Sub(p.seen) > staleAfter }

// refresh reads on from the active segment to the end.
func (p *partition) refresh(ctx context.Context) error {
	for {
		at := p.active
		if err := p.readActive(ctx); err != nil {
			return err
		}
		if p.active == at {
			return nil
		}
	}
}

// readActive reads the active segment, and moves on if it is sealed.
func (p *partition) readActive(ctx context.Context) error {
	e, err := p.store.Get(ctx, segmentKey(p.number, p.active))
	if err != nil {
		return err
	}
	p.seen = p.clock.Now()
	if !e.Exists() {
		if p.revision != 0 {
			p.loaded = false
			return fmt.Errorf("%s was removed while it was in use", e.Key())
		}
		return nil
	}
	s, err := decode[segment](e)
	if err != nil {
		return err
	}
	p.take(s.Records, e.Revision())
	return nil
}

// take puts records in place as the active segment's, and moves on if they
// seal it.
func (p *partition) take(records []record, revision pointport.Revision) {
	for _, r := range records[min(len(p.records), len(records)):] {
		p.learn(r)
	}
	p.records, p.revision = records, revision
	if len(records) >= p.size {
		p.sealedAt[p.active] = records[len(records)-1].At
		p.active++
		p.records, p.revision = nil, 0
	}
}

// learn puts a record in the index.
func (p *partition) learn(r record) {
	if r.State == "" {
		p.index[r.Key] = known{token: digest(r.Token), at: uint32(r.At)}
		return
	}
	k, ok := p.index[r.Key]
	if !ok || k.token != digest(r.Token) {
		return // the claim was released before, or is no longer kept
	}
	if r.State == Released {
		delete(p.index, r.Key)
		return
	}
	p.index[r.Key] = k.withOutcome(r)
}

// settled reports whether the index shows an outcome already.
func (p *partition) settled(o record) bool {
	k, ok := p.index[o.Key]
	return !ok || k.token != digest(o.Token) || k.stateOf() == o.State
}

// write appends records to the active segment.
func (p *partition) write(ctx context.Context, records []record) error {
	all := append(append(make([]record, 0, len(p.records)+len(records)), p.records...), records...)
	data, err := json.Marshal(segment{all})
	if err != nil {
		return err
	}
	rev, err := p.store.CompareAndSwap(ctx, segmentKey(p.number, p.active), p.revision, data)
	if err != nil {
		return err
	}
	p.seen = p.clock.Now()
	p.take(all, rev)
	return nil
}

// expire drops what is older than the retention, in the index and in the
// store. A failure leaves the rest for the next time.
func (p *partition) expire(ctx context.Context, now time.Time) error {
	limit := now.Add(-p.keep).Unix()
	end := p.first
	for end < p.active {
		if at, ok := p.sealedAt[end]; ok && at >= limit {
			break
		}
		end++
	}
	if end == p.first {
		return nil
	}
	if err := p.writeMeta(ctx, end); err != nil {
		return err
	}
	for n := p.first; n < end; n++ {
		if err := p.removeSegment(ctx, n); err != nil {
			return err
		}
		delete(p.sealedAt, n)
		p.first = n + 1
	}
	for k, v := range p.index {
		if int64(v.at) < limit {
			delete(p.index, k)
		}
	}
	return nil
}

func (p *partition) writeMeta(ctx context.Context, first int64) error {
	e, err := p.store.Get(ctx, metaKey(p.number))
	if err != nil {
		return err
	}
	m, err := decode[meta](e)
	if err != nil {
		return err
	}
	m.First, m.Next = max(m.First, first), max(m.Next, p.active)
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_, err = p.store.CompareAndSwap(ctx, metaKey(p.number), e.Revision(), data)
	return err
}

func (p *partition) removeSegment(ctx context.Context, n int64) error {
	e, err := p.store.Get(ctx, segmentKey(p.number, n))
	if err != nil || !e.Exists() {
		return err
	}
	err = p.store.Delete(ctx, e.Key(), e.Revision())
	var conflict *pointport.ConflictError
	if errors.As(err, &conflict) {
		return nil // another entry instance removed it
	}
	return err
}

// ambiguous reports whether err leaves open if a write has taken effect.
func ambiguous(err error) bool {
	var u *pointport.UnavailableError
	return errors.As(err, &u) && u.Ambiguous
}

// conflicted reports whether another writer was first.
func conflicted(err error) bool {
	var c *pointport.ConflictError
	return errors.As(err, &c)
}
