package shard

import "time"

// This file defines how starts are sent before they are stored, while the owner is proven by peer
// leases alone.

// A peerLeaseState is the part of an ownership that decides whether starts may be unrecorded, and that
// tells a successor whether they may be.
type peerLeaseState interface {
	// PeerLeased reports whether the ownership is proven by peer leases alone.
	PeerLeased() bool
	// NoteUnrecorded records whether starts are unrecorded.
	NoteUnrecorded(unrecorded bool)
}

// releaseUnrecorded releases the starts that may be sent before they are stored.
func (o *Owner) releaseUnrecorded(now time.Time) {
	if !o.scheduler.MayReleaseUnrecorded(&o.storing) {
		return
	}
	o.noteUnrecorded(true)
	if !o.peerLease.PeerLeased() {
		return // a change of the standbys that began before requires leases of the new ones as well
	}
	o.scheduler.ReleaseUnrecorded(&o.storing, now)
}

// updateUnrecorded passes on to the ownership whether starts are unrecorded, once that has changed.
func (o *Owner) updateUnrecorded() { o.noteUnrecorded(o.scheduler.Unrecorded()) }

func (o *Owner) noteUnrecorded(unrecorded bool) {
	if o.notedUnrecorded == unrecorded {
		return
	}
	o.notedUnrecorded = unrecorded
	o.peerLease.NoteUnrecorded(unrecorded)
}
