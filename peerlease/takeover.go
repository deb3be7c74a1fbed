package peerlease

import "time"

// This file defines when a member may take a pool that has no owner.

// An AnswerKind is what a member that is named in a document answers about a takeover.
type AnswerKind string

// The kinds of answers.
const (
	// AnswerHolds: the former owner, same process, still owns the pool or is about to take it.
	AnswerHolds AnswerKind = "holds"
	// AnswerReleased: the former owner, same process, does not act for the pool any more, and
	// never will under that fence.
	AnswerReleased AnswerKind = "released"
	// AnswerAllowed: a standby, same process, grants no more leases to that owner.
	AnswerAllowed AnswerKind = "allowed"
	// AnswerRestarted: the member runs another process than the document names.
	AnswerRestarted AnswerKind = "restarted"
)

// An Answer is the answer of a member about a takeover. Its fields are exported because it is
// encoded as JSON.
type Answer struct {
	Kind AnswerKind `json:"kind"`
	// Name is the name of the member that answers.
	Name string `json:"name"`
	// Remaining is for how much longer a granted lease lasts, for AnswerAllowed.
	Remaining time.Duration `json:"remaining,omitempty"`
	// Recorded reports that the former owner has started no task that is not recorded in the
	// store: it says so itself, or a standby never granted it a lease.
	Recorded bool `json:"recorded,omitempty"`
}

// A Vacancy is what a member knows of a pool without an owner.
type Vacancy struct {
	// Document is the last one; nil if there is none.
	Document *Document
	// Since is when this member first found the owner key absent.
	Since time.Time
	// Granted reports whether this process has ever granted the former owner a lease.
	Granted bool
	// Recorded reports whether this process, as the former owner, has recorded all its starts.
	Recorded bool

	freeByAnswerAt   time.Time // zero until an answer gives a time
	recordedByAnswer bool
}

// Note takes account of an answer that came at now from the process of the document that was asked.
func (v *Vacancy) Note(now time.Time, asked Process, a Answer) {
	if a.Name != asked.Name {
		return // another member has the address now
	}
	owner := asked.ID == v.Document.ID
	switch {
	case owner && (a.Kind == AnswerReleased || a.Kind == AnswerRestarted):
		v.noteFreeAt(now)
	case !owner && a.Kind == AnswerAllowed:
		v.noteFreeAt(now.Add(a.Remaining))
	case !owner && a.Kind == AnswerRestarted:
		v.noteFreeAt(now.Add(Duration))
	}
	v.recordedByAnswer = v.recordedByAnswer || a.Recorded && (a.Kind == AnswerReleased || a.Kind == AnswerAllowed)
}

// noteFreeAt notes that the pool is free from a time on.
func (v *Vacancy) noteFreeAt(at time.Time) {
	if v.freeByAnswerAt.IsZero() || at.Before(v.freeByAnswerAt) {
		v.freeByAnswerAt = at
	}
}

// A Verdict says when a member may take a pool.
type Verdict struct {
	// At is from when the pool is free, by what is known.
	At time.Time
	// Ask reports whether the members named in the document should be asked.
	Ask bool
	// Recorded reports that the former owner has recorded all its starts in the store.
	Recorded bool
	Reason   string
}

// Verdict returns when the process self, which was started at the given time, may take the pool. A
// standby must besides wait for the leases that it has granted itself, see Grants.BeginTakeover.
func (v *Vacancy) Verdict(now time.Time, self Process, started time.Time) Verdict {
	d := v.Document
	if d == nil {
		return Verdict{At: now, Recorded: true, Reason: "no owner has used peer leases"}
	}
	out := v.verdictIgnoringUnrecorded(now, self, started)
	// What the former owner inherited without settling it is unrecorded, whoever else answers.
	out.Recorded = out.Recorded && !d.Unrecorded
	return out
}

// verdictIgnoringUnrecorded is Verdict for a pool with a document, without regard to Document.Unrecorded.
func (v *Vacancy) verdictIgnoringUnrecorded(now time.Time, self Process, started time.Time) Verdict {
	d := v.Document
	switch {
	case d.ID == self.ID:
		return Verdict{At: now, Recorded: v.Recorded, Reason: "this process was the owner"}
	case d.sameMember(self):
		return Verdict{At: now, Recorded: v.recordedByAnswer, Reason: "the owner was an earlier process of this member"}
	}
	listed, ok := d.standby(self)
	if ok && listed.ID == self.ID {
		return Verdict{At: now, Recorded: !v.Granted, Reason: "this process is a standby"}
	}
	out := Verdict{At: v.Since.Add(d.Bound), Recorded: v.recordedByAnswer, Reason: "nobody has said that the owner has stopped"}
	if restarted := started.Add(Duration); ok && restarted.Before(out.At) {
		out.At, out.Reason = restarted, "leases of the earlier process of this standby may last"
	}
	if !v.freeByAnswerAt.IsZero() && !v.freeByAnswerAt.After(out.At) {
		out.At, out.Reason = v.freeByAnswerAt, "a member that the document names has answered"
	}
	out.Ask = out.At.After(now)
	return out
}
