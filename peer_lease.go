package pointport

import (
	"context"
	"time"
)

// This file defines the requests with which the owner of a pool, or a member that wants to own
// it, asks other members. Package peerlease describes the protocol.

// A PeerLeaseClient asks other members about the ownership of pools. An error means that there
// was no answer: a member of an earlier version does not know the requests.
type PeerLeaseClient interface {
	// RequestPeerLease asks the member at an address for a peer lease.
	RequestPeerLease(ctx context.Context, address string, r PeerLeaseRequest) (PeerLeaseReply, error)
	// AskTakeover asks the member at an address whether a pool may be taken.
	AskTakeover(ctx context.Context, address string, r TakeoverRequest) (TakeoverReply, error)
}

// A PeerLeaseRequest asks a standby for a lease. Its fields are exported because it is encoded
// as JSON.
type PeerLeaseRequest struct {
	Pool  string `json:"pool"`
	Fence Fence  `json:"fence"` // of the owner that asks
	// Standby is the ID of the process that is asked.
	Standby string `json:"standby"`
}

// A PeerLeaseReply is the answer to a PeerLeaseRequest. Its field is exported because it is
// encoded as JSON.
type PeerLeaseReply struct {
	// Refusal is why the lease is not granted; it is empty for one that is.
	Refusal string `json:"refusal,omitempty"`
}

// A TakeoverRequest asks a member that a pool's standby key names whether the pool may be taken.
// Its fields are exported because it is encoded as JSON.
type TakeoverRequest struct {
	Pool  string `json:"pool"`
	Fence Fence  `json:"fence"` // of the former owner
	// Process is the ID of the process that is asked.
	Process string `json:"process"`
	// FormerOwner reports whether the member is asked as the former owner, not as a standby.
	FormerOwner bool `json:"formerOwner,omitempty"`
}

// A TakeoverReply is the answer to a TakeoverRequest; see peerlease.Answer. Its fields are
// exported because it is encoded as JSON.
type TakeoverReply struct {
	Kind      string        `json:"kind"`
	Name      string        `json:"name"`
	Remaining time.Duration `json:"remaining,omitempty"`
	Recorded  bool          `json:"recorded,omitempty"`
}
