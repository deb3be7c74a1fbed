package member

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/peerlease"
)

// This file defines when a member takes a pool that is owned with peer leases, and its questions to
// the members that the standby key names.

const (
	// takeoverTimeout bounds the questions about a takeover. Peers are a millisecond away and answer
	// from memory; a busy one takes some tens of milliseconds.
	takeoverTimeout = 150 * time.Millisecond
	// takeoverAskInterval is how often they are asked again while their answers do not suffice.
	takeoverAskInterval = 500 * time.Millisecond
)

// takeover is the decision to take a pool.
type takeover struct {
	known  pointport.Revision // of the standby key, on which the transaction depends
	change *documentChange
}

// vacancies holds what a member knows of the pools that have no owner. A nil *vacancies belongs to
// a pool manager without peer leases. It is safe for concurrent use.
type vacancies struct {
	roster *Roster
	leases *peerLeases

	mu     sync.Mutex
	byPool map[string]*vacancy
}

// vacancy is what a member knows of one pool without an owner.
type vacancy struct {
	revision pointport.Revision // of the standby key
	facts    peerlease.Vacancy
	asking   bool
	asked    bool      // whether the members were asked, and the time for their answers has passed
	askedAt  time.Time // when they were last asked
	logged   string    // the reason for the wait that was last logged
}

func newVacancies(r *Roster) *vacancies {
	return &vacancies{roster: r, leases: r.leases, byPool: make(map[string]*vacancy)}
}

// noteOwned notes that another member owns a pool.
func (v *vacancies) noteOwned(pool string) {
	if v == nil {
		return
	}
	v.mu.Lock()
	delete(v.byPool, pool)
	v.mu.Unlock()
	v.giveUp(pool)
}

// giveUp notes that this member is not about to take a pool.
func (v *vacancies) giveUp(pool string) {
	if v != nil {
		v.leases.endTakeover(pool)
	}
}

// forget removes what is known of a pool that this member owns now.
func (v *vacancies) forget(pool string) {
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.byPool, pool)
}

// noteAbsent notes that a pool has no owner key.
func (v *vacancies) noteAbsent(pool string) {
	if v == nil {
		return
	}
	stored, now := v.roster.document(pool), v.leases.clock.Steady()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.get(pool, stored, now)
}

// get returns the vacancy of a pool, a new one if the standby key has changed. The lock must be
// held.
func (v *vacancies) get(pool string, stored storedDocument, now time.Time) *vacancy {
	known := v.byPool[pool]
	if known == nil || known.revision != stored.revision {
		known = &vacancy{revision: stored.revision, facts: peerlease.Vacancy{Since: now}}
		if stored.revision != 0 {
			known.facts.Document = &stored.document
		}
		v.byPool[pool] = known
	}
	return known
}

// prepareTakeover returns the takeover to send, or nil and how long to wait until the next call. It
// asks the members that the standby key names if needed. Before it returns a takeover, this member has
// stopped granting leases for the pool.
func (v *vacancies) prepareTakeover(ctx context.Context, pool string) (*takeover, time.Duration) {
	stored, now := v.roster.document(pool), v.leases.clock.Steady()
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.get(pool, stored, now)
	fence := stored.document.Fence
	known.facts.Granted = v.leases.grants.Granted(pool, fence)
	known.facts.Recorded = v.leases.recorded(pool, fence)
	verdict := known.facts.Verdict(now, v.leases.self, v.leases.started)
	if wait := verdict.At.Sub(now); wait > 0 {
		if verdict.Ask && now.Sub(known.askedAt) >= takeoverAskInterval {
			v.ask(ctx, pool, known, now)
		}
		v.logWait(pool, known, wait, now, verdict.Reason)
		v.leases.endTakeover(pool)
		return nil, min(wait, takeoverAskInterval)
	}
	if v.mustAsk(known, verdict) {
		if !known.asking {
			v.ask(ctx, pool, known, now)
		}
		v.logWait(pool, known, takeoverTimeout, now, "it is not known whether all starts are recorded")
		v.leases.endTakeover(pool)
		return nil, takeoverTimeout
	}
	wait := v.leases.beginTakeover(pool)
	if stored.revision != 0 {
		// The transaction may be carried out after this member has given up and could grant the
		// former owner a lease again, which the next taker would not know of.
		remaining, _ := v.leases.grants.AllowTakeover(pool, fence)
		wait = max(wait, remaining)
	}
	if wait > 0 {
		// Grants stay blocked, so that the remaining time cannot grow.
		v.logWait(pool, known, wait, now, "a lease that this member has granted lasts")
		return nil, wait
	}
	return v.roster.newTakeover(pool, stored, !verdict.Recorded)
}

// mustAsk reports whether the members must be asked first, once, whether all starts of the former
// owner are recorded.
func (v *vacancies) mustAsk(known *vacancy, verdict peerlease.Verdict) bool {
	d := known.facts.Document
	return !verdict.Recorded && !known.asked && d != nil && !d.Unrecorded && d.ID != v.leases.self.ID
}

// newTakeover returns the decision to take a pool. unrecorded reports whether the former owner may
// have started tasks that are not recorded.
func (r *Roster) newTakeover(pool string, stored storedDocument, unrecorded bool) (*takeover, time.Duration) {
	r.mu.Lock()
	standbys := r.chooseStandbys(pool)
	r.mu.Unlock()
	c, err := r.newDocumentChange(pool, 0, standbys, unrecorded)
	if err != nil {
		r.logChangeAmbiguous(pool, err)
		return nil, rankDelay
	}
	return &takeover{known: stored.revision, change: c}, 0
}

// logWait logs why a pool is not taken yet, once for each reason. The lock must be held.
func (v *vacancies) logWait(pool string, known *vacancy, wait time.Duration, now time.Time, reason string) {
	if known.logged == reason {
		return
	}
	known.logged = reason
	event.TakeoverWaits.Log(v.roster.logger, slog.String("pool", pool), slog.Duration("wait", wait), slog.String("reason", reason),
		slog.Duration("absent", now.Sub(known.facts.Since)))
}

// ask asks the former owner and the standbys, all at the same time. The next round of the pool
// manager uses the answers. The lock must be held.
func (v *vacancies) ask(ctx context.Context, pool string, known *vacancy, now time.Time) {
	d := known.facts.Document
	known.asking, known.askedAt = true, now
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	var all sync.WaitGroup
	for _, p := range append([]peerlease.Process{d.Process}, d.Standbys...) {
		if p.Peer == "" || p.ID == v.leases.self.ID {
			continue
		}
		all.Go(func() { v.askOne(ctx, pool, known, p) })
	}
	go func() {
		all.Wait()
		cancel()
		v.mu.Lock()
		known.asking, known.asked = false, true
		v.mu.Unlock()
		v.roster.apply(nil)
	}()
}

// askOne asks one process that the standby key names.
func (v *vacancies) askOne(ctx context.Context, pool string, known *vacancy, p peerlease.Process) {
	d := known.facts.Document
	reply, err := v.leases.client.AskTakeover(ctx, p.Peer, pointport.TakeoverRequest{Pool: pool, Fence: d.Fence, Process: p.ID, FormerOwner: p.ID == d.ID})
	if err != nil {
		return // no answer
	}
	answer := peerlease.Answer{Kind: peerlease.AnswerKind(reply.Kind), Name: reply.Name, Remaining: reply.Remaining, Recorded: reply.Recorded}
	now := v.leases.clock.Steady()
	v.mu.Lock()
	known.facts.Note(now, p, answer)
	v.mu.Unlock()
	v.roster.apply(nil)
}

// withLeases returns an ownership with its peer leases, according to the standby key that this
// member knows.
func (r *Roster) withLeases(own Ownership) Ownership {
	stored := r.document(own.Pool)
	own.proof.leases = r.newOwnerLeases(own.Pool, own.Fence, stored)
	mine := stored.document.ID == r.self.Process && stored.document.Fence == own.Fence
	// If the key is another owner's, the one that this member wrote with its owner key is not known.
	own.proof.predecessorUnrecorded = stored.revision != 0 && (!mine || stored.document.Unrecorded)
	return own
}
