package member

import (
	"log/slog"
	"slices"
	"sort"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/peerlease"
)

// This file defines the standby keys, which name the owner and the standbys of each pool, and the
// choice of standbys.

// StandbyKey returns the store key that names the standbys of a pool.
func StandbyKey(pool string) string { return standbyPrefix + pool }

const (
	// maxStandbysPerZone is how many standbys of a pool are in one availability zone if there are
	// members in others. The loss of one standby ends the proof by peer leases, so more zones do not
	// keep the owner proven; but a successor needs an answer of one standby, which should not be
	// lost together with the owner.
	maxStandbysPerZone = 2
	// unreadableBound is the bound that is assumed for a standby key that cannot be read: 10.5 s,
	// that of the longest limit that can be set and the shortest lease.
	unreadableBound = peerlease.MaxBound
)

// storedDocument is a standby key as this member knows it. The revision is zero if there is none.
type storedDocument struct {
	document peerlease.Document
	revision pointport.Revision
}

// applyDocument applies the state of a standby key. The lock must be held.
func (r *Roster) applyDocument(pool string, e pointport.Entry) {
	if !e.Exists() {
		delete(r.documents, pool)
		return
	}
	if r.documents[pool].revision >= e.Revision() {
		return // a newer state is already known
	}
	d, err := decodeDocument(e)
	if err != nil {
		// Nobody is known who could be asked, so that the pool is free only after the bound.
		r.logUnreadable(e, err)
		d = peerlease.Document{Bound: unreadableBound}
	}
	r.documents[pool] = storedDocument{d, e.Revision()}
	r.leases.noteOwner(pool, d.Fence)
}

// decodeDocument decodes a standby key.
func decodeDocument(e pointport.Entry) (peerlease.Document, error) {
	if err := checkSize(e); err != nil {
		return peerlease.Document{}, err
	}
	return peerlease.Decode(e)
}

// document returns a pool's standby key.
func (r *Roster) document(pool string) storedDocument {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.documents[pool]
}

// process returns the process of a member.
func (m Member) process() peerlease.Process {
	return peerlease.Process{Name: m.Name, Peer: m.Peer, ID: m.Process}
}

// allMembersGrant reports whether all other members grant peer leases. The lock must be held.
func (r *Roster) allMembersGrant() bool {
	for name, m := range r.members {
		if m.Process == "" && name != r.self.Name {
			return false
		}
	}
	return true
}

// peerLeasesUsable reports whether an owner may rely on peer leases at present. The lock must be
// held.
func (r *Roster) peerLeasesUsable() bool {
	return r.leases != nil && r.leases.limit > 0 && r.allGrant
}

// chooseStandbys returns the standbys that a pool should have: the other members that come first
// by rank, from more than one availability zone if possible. The lock must be held.
func (r *Roster) chooseStandbys(pool string) []peerlease.Process {
	if !r.peerLeasesUsable() {
		return nil
	}
	candidates := r.ranked(pool)
	perZone := make(map[pointport.ZoneID]int)
	var out, rest []peerlease.Process
	for _, m := range candidates {
		if perZone[m.Zone] >= maxStandbysPerZone {
			rest = append(rest, m.process())
			continue
		}
		perZone[m.Zone]++
		out = append(out, m.process())
	}
	out = append(out, rest...)
	return out[:min(standbyCount, len(out))]
}

// ranked returns the other members by their rank for a pool. The lock must be held.
func (r *Roster) ranked(pool string) []Member {
	counts := r.poolCounts()
	var out []Member
	for name, m := range r.members {
		if name != r.self.Name {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := load(out[a], counts[out[a].Name]+1), load(out[b], counts[out[b].Name]+1)
		return x < y || x == y && weight(pool, out[a].Name) > weight(pool, out[b].Name)
	})
	return out
}

// desiredStandbys returns the standbys that a pool should have in place of the stored ones, and
// false if those need not change.
func (r *Roster) desiredStandbys(pool string, stored []peerlease.Process) ([]peerlease.Process, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.peerLeasesUsable() {
		return nil, len(stored) > 0
	}
	others := len(r.members)
	if _, ok := r.members[r.self.Name]; ok {
		others--
	}
	complete := len(stored) >= min(standbyCount, others)
	if complete && !slices.ContainsFunc(stored, r.isGone) {
		return nil, false
	}
	return r.chooseStandbys(pool), true
}

// isGone reports whether a process is not in the roster any more. The lock must be held.
func (r *Roster) isGone(p peerlease.Process) bool { return r.members[p.Name].process() != p }

// isListedStandby reports whether a pool's standby key names this process as a standby.
func (r *Roster) isListedStandby(pool string) bool {
	return r.leases != nil && slices.Contains(r.document(pool).document.Standbys, r.self.process())
}

// takeoverRank returns how many members should take a pool before this one. Those that need not ask
// others come first: the former owner and the standbys.
func (r *Roster) takeoverRank(pool string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.documents[pool]
	if r.leases == nil || d.revision == 0 {
		return r.rank(pool, func(Member) bool { return true })
	}
	direct := func(m Member) bool {
		return m.Name == d.document.Name || slices.Contains(d.document.Standbys, m.process())
	}
	if direct(r.self) {
		return r.rank(pool, direct)
	}
	rank := r.rank(pool, func(m Member) bool { return !direct(m) })
	for name, m := range r.members {
		if name != r.self.Name && direct(m) {
			rank++
		}
	}
	return rank
}

// logChangeAmbiguous logs that the standbys of a pool cannot be stored.
func (r *Roster) logChangeAmbiguous(pool string, err error) {
	event.ChangeAmbiguous.Log(r.logger, slog.String("pool", pool), slog.String("key", StandbyKey(pool)), slog.Any("error", err))
}
