package peerlease

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the document that names a pool's owner and its standbys.

const (
	// Duration is for how long a standby grants a lease.
	Duration = time.Second
	// ownerDuration is for how long the owner counts a lease. It is shorter than Duration because
	// the clocks of two machines may run at different rates.
	ownerDuration = 900 * time.Millisecond
	// boundMargin is added to the bound after which a pool is free although nobody answers.
	boundMargin = 500 * time.Millisecond
	// MaxLimit is the longest time for which an owner may use peer leases after its proof by the
	// store has ended.
	MaxLimit = 8 * time.Second
	// MaxBound is the Bound of a document with the longest limit and the shortest lease in the store.
	MaxBound = MaxLimit + 2*time.Second + boundMargin
)

// A Process identifies one process of a member. Its fields are exported because it is encoded as
// JSON.
type Process struct {
	Name string `json:"name"`    // of the member
	Peer string `json:"peer"`    // host:port at which its peers reach it
	ID   string `json:"process"` // differs for each process
}

// A Document names the owner of a pool and its standbys. It is stored in one transaction with the
// key that names the owner. Its fields are exported because it is encoded as JSON; the owner's are
// on the top level, so that earlier versions read it as a member.
type Document struct {
	Process
	// Fence is the owner's fencing token. It is zero in the transaction that creates the token,
	// which is the revision of that transaction.
	Fence    pointport.Fence `json:"fence,omitempty"`
	Standbys []Process       `json:"standbys"`
	// Bound is how long after its owner key is gone the owner may hold peer leases, at most.
	Bound time.Duration `json:"bound"`
	// Unrecorded reports that owners before this one may have started tasks that are not recorded
	// in the store, and that this owner has not settled all of them yet. A successor must not rely on what the
	// standbys say about this owner's starts then.
	Unrecorded bool `json:"unrecorded,omitempty"`
}

// NewDocument returns a document of an owner that uses peer leases for at most limit after its
// proof by the store has ended, and whose proof and lease in the store last for ttl each.
func NewDocument(owner Process, fence pointport.Fence, standbys []Process, limit, ttl time.Duration) Document {
	return Document{Process: owner, Fence: fence, Standbys: standbys, Bound: limit + 2*ttl + boundMargin}
}

// Encode returns the stored form of the document.
func (d Document) Encode() ([]byte, error) { return json.Marshal(d) }

// maxStoredBound bounds the bound of a stored document. It has two TTLs of leases in the store, which
// are at most ten minutes each.
const maxStoredBound = time.Hour

// Decode returns the document in an entry of the store.
func Decode(e pointport.Entry) (Document, error) {
	var d Document
	if err := json.Unmarshal(e.Value(), &d); err != nil {
		return Document{}, err
	}
	switch {
	case d.ID == "":
		return Document{}, errors.New("process is missing")
	case d.Bound <= 0:
		return Document{}, errors.New("bound must be above 0")
	case d.Bound > maxStoredBound:
		return Document{}, fmt.Errorf("bound is %v: must be at most %v", d.Bound, maxStoredBound)
	case d.Fence < 0:
		return Document{}, fmt.Errorf("fence is %d: must not be negative", d.Fence)
	}
	if d.Fence == 0 {
		d.Fence = pointport.Fence(e.Revision())
	}
	return d, nil
}

// sameMember reports whether two processes have the same member name and address, so that at most
// one of them is running.
func (p Process) sameMember(q Process) bool { return p.Name == q.Name && p.Peer == q.Peer }

// standby returns the standby on the machine of a process.
func (d *Document) standby(self Process) (Process, bool) {
	n := slices.IndexFunc(d.Standbys, self.sameMember)
	if n < 0 {
		return Process{}, false
	}
	return d.Standbys[n], true
}
