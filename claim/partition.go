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

// This file defines one entry instance's view of a partition, and the calls that
// read and write it. Only the goroutine of the partition's batcher uses it.

// An indexEntry is the index's entry for a key. An index may have millions of
// entries, so they are small: the token is replaced by a digest, and the state by
// its index in states.
type indexEntry struct {
	token      uint64 // digest of the token of the write that claimed the key
	at         uint32 // when the key was claimed, in Unix seconds
	status     uint16 // HTTP status of the answer, if the request ran
	stateIndex uint8  // index in states
}

// states lists the states that an index entry can have.
var states = [...]State{InProgress, Ran, Unknown}

func (e indexEntry) state() State { return states[e.stateIndex] }

// withOutcome returns e with the state and status of the outcome r.
func (e indexEntry) withOutcome(r record) indexEntry {
	if n := slices.Index(states[:], r.State); n >= 0 {
		e.stateIndex = uint8(n)
	}
	e.status = uint16(r.Status)
	return e
}

// tokenSeed seeds the digests of tokens, which are valid within this process only.
var tokenSeed = maphash.MakeSeed()

// digest returns the digest of a token.
func digest(token string) uint64 { return maphash.String(tokenSeed, token) }

// A partition holds the records of the keys that are hashed to it, as read from
// the store.
type partition struct {
	store       Store
	clock       pointport.Clock
	number      int
	segmentSize int // number of records at which a segment is sealed
	retention   time.Duration

	loaded   bool               // whether all segments that are kept have been read
	readAt   time.Time          // when the active segment was last read or written
	first    int64              // number of the oldest segment that is kept
	active   int64              // number of the segment that records are appended to
	revision pointport.Revision // of the active segment, 0 if it does not exist yet
	records  []record           // of the active segment
	index    map[Key]indexEntry
	sealedAt map[int64]int64 // by sealed segment, the time of its last record in Unix seconds
}

// load reads every segment that is kept, unless that has been done and the view
// is recent enough to be refreshed.
func (p *partition) load(ctx context.Context) error {
	// A process that was suspended for long may have missed segments that were
	// removed since, and must not create one of them again.
	if p.loaded && p.clock.Now().Sub(p.readAt) < p.retention/2 {
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
	p.index = make(map[Key]indexEntry)
	p.sealedAt = make(map[int64]int64)
	// A segment below the hint m.Next can be missing only because it was removed.
	for p.active < m.Next {
		n := p.active
		if err := p.readActive(ctx); err != nil {
			return err
		}
		if p.active == n && p.revision == 0 {
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

// maxViewAge is the age of the view from which on the active segment is read
// again before a write. Other entry instances write to it too, so a write based
// on an older view mostly ends in a conflict, which costs more than a read.
const maxViewAge = 10 * time.Millisecond

// stale reports whether another entry instance has probably written since the
// active segment was last read.
func (p *partition) stale() bool { return p.clock.Now().Sub(p.readAt) > maxViewAge }

// refresh reads the active segment and all later ones.
func (p *partition) refresh(ctx context.Context) error {
	for {
		n := p.active
		if err := p.readActive(ctx); err != nil {
			return err
		}
		if p.active == n {
			return nil
		}
	}
}

// readActive reads the active segment, and makes the next one active if it is
// sealed. It fails if a segment that was read before no longer exists.
func (p *partition) readActive(ctx context.Context) error {
	e, err := p.store.Get(ctx, segmentKey(p.number, p.active))
	if err != nil {
		return err
	}
	p.readAt = p.clock.Now()
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
	p.setActive(s.Records, e.Revision())
	return nil
}

// setActive sets the records of the active segment, adds the new ones to the
// index, and makes the next segment active if they seal this one.
func (p *partition) setActive(records []record, revision pointport.Revision) {
	for _, r := range records[min(len(p.records), len(records)):] {
		p.apply(r)
	}
	p.records, p.revision = records, revision
	if len(records) >= p.segmentSize {
		p.sealedAt[p.active] = records[len(records)-1].At
		p.active++
		p.records, p.revision = nil, 0
	}
}

// apply applies a record to the index.
func (p *partition) apply(r record) {
	if r.State == "" {
		p.index[r.Key] = indexEntry{token: digest(r.Token), at: uint32(r.At)}
		return
	}
	k, ok := p.index[r.Key]
	if !ok || k.token != digest(r.Token) {
		return // the claim was released before, or is past the retention
	}
	if r.State == Released {
		delete(p.index, r.Key)
		return
	}
	p.index[r.Key] = k.withOutcome(r)
}

// outcomeKnown reports whether an outcome need not be written: the index shows it
// already, or no longer has its claim.
func (p *partition) outcomeKnown(o record) bool {
	k, ok := p.index[o.Key]
	return !ok || k.token != digest(o.Token) || k.state() == o.State
}

// write appends records to the active segment by a compare-and-swap on the
// revision that was last read.
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
	p.readAt = p.clock.Now()
	p.setActive(all, rev)
	return nil
}

// expire removes segments and index entries that are older than the retention. If
// a call fails, the rest is removed by a later call.
func (p *partition) expire(ctx context.Context, now time.Time) error {
	oldest := now.Add(-p.retention).Unix()
	end := p.first
	for end < p.active {
		if at, ok := p.sealedAt[end]; ok && at >= oldest {
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
		if int64(v.at) < oldest {
			delete(p.index, k)
		}
	}
	return nil
}

// writeMeta stores the segment numbers first and p.active as the hint for load.
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

// removeSegment deletes segment n, if it still exists.
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

// isAmbiguous reports whether a write that failed with err may have taken effect.
func isAmbiguous(err error) bool {
	var u *pointport.UnavailableError
	return errors.As(err, &u) && u.Ambiguous
}

// isConflict reports whether a write failed because another writer was first.
func isConflict(err error) bool {
	var c *pointport.ConflictError
	return errors.As(err, &c)
}
