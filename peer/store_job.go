package peer

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/member"
)

// This file defines how a member that cannot reach the store has its peers store jobs.

const (
	// maxStorePeers is how many peers are asked to store a job. The store usually refuses
	// about a third of the members at a time.
	maxStorePeers = 3
	// peerStateTTL is how long a peer that cannot reach the store or did not answer is not
	// asked again, and how long a peer that has stored a job is preferred.
	peerStateTTL = 500 * time.Millisecond
	// canStoreTimeout bounds the request whether a peer can reach the store. Peers are a
	// millisecond away and answer from memory; a busy one takes some tens of milliseconds.
	canStoreTimeout = 150 * time.Millisecond
)

var (
	// errNoPeer is the cause of a refusal when there is no peer to ask.
	errNoPeer = errors.New("there is none to ask")
	// errNoneCanStore is the cause of a refusal when no peer that was asked can reach the
	// store.
	errNoneCanStore = errors.New("the store serves none that was asked")
)

// StoreAtPeer has a peer store a job, and returns the peer's name. The peer to ask first depends
// on the job's ID, so that the peers share the load. The job is stored only once, however many
// peers are asked.
//
// It fails with an *intake.AmbiguousError if the job may have been stored, and otherwise with an
// *intake.RefusedError, an *intake.RevokedError or an *intake.TakenError.
func (o *OwnerClient) StoreAtPeer(ctx context.Context, s intake.Submission) (string, error) {
	var unsure error
	peers, cause := o.storePeers(ctx, s)
	for _, m := range peers {
		r, err := o.send(ctx, m, storeJobPath, request{Pool: s.Pool, Job: s.ID, ToStore: &s})
		if err == nil && r.Known {
			o.canStore.set(m.Name, peerStateTTL)
			return m.Name, nil
		}
		switch {
		case err == nil && r.Revoked:
			return "", &intake.RevokedError{ID: s.ID}
		case err == nil && r.Taken:
			return "", &intake.TakenError{ID: s.ID}
		}
		o.avoided.set(m.Name, peerStateTTL)
		switch {
		case err != nil && !notSent(err):
			unsure = err
		case err == nil && r.Unsure != "":
			unsure = errors.New(r.Unsure)
		case err == nil:
			cause = errors.New(r.Refused)
		}
	}
	if unsure != nil {
		return "", &intake.AmbiguousError{ID: s.ID, Err: unsure}
	}
	return "", &intake.RefusedError{ID: s.ID, RetryAfter: intake.RetryAfter, Cause: cause.Error()}
}

// storePeers returns the peers that are believed to be able to store a job: one that has just
// stored another, or those that report that they can reach the store. The error is the cause to
// report if none of them stores the job. The peers are first asked whether they can reach the
// store because that request changes nothing, whereas a job sent to a peer that does not answer
// may have been stored: when the store was unreachable for four seconds while a zone was cut
// off, the jobs of 197 of the 252 customers who could not be given a definite answer had been
// sent to such a peer (one day with 349 instances).
func (o *OwnerClient) storePeers(ctx context.Context, s intake.Submission) ([]member.Member, error) {
	var ask []member.Member
	for _, m := range o.peersFor(s.ID) {
		if o.avoided.remaining(m.Name) > 0 {
			continue
		}
		if o.canStore.remaining(m.Name) > 0 {
			return []member.Member{m}, errNoneCanStore
		}
		if len(ask) < maxStorePeers {
			ask = append(ask, m)
		}
	}
	if len(ask) == 0 {
		return nil, errNoPeer
	}
	return o.askCanStore(ctx, s, ask), errNoneCanStore
}

// askCanStore returns the peers that report that they can reach the store. It asks all of them
// concurrently.
func (o *OwnerClient) askCanStore(ctx context.Context, s intake.Submission, peers []member.Member) []member.Member {
	ctx, cancel := context.WithTimeout(ctx, canStoreTimeout)
	defer cancel()
	canStore := make([]bool, len(peers))
	var wg sync.WaitGroup
	for n, m := range peers {
		wg.Go(func() {
			r, err := o.send(ctx, m, canStorePath, request{Pool: s.Pool, Job: s.ID})
			canStore[n] = err == nil && r.Known
		})
	}
	wg.Wait()
	var out []member.Member
	for n, m := range peers {
		if canStore[n] {
			out = append(out, m)
			continue
		}
		o.avoided.set(m.Name, peerStateTTL)
	}
	return out
}

// peersFor returns the peers in the order in which they are asked to store a job.
func (o *OwnerClient) peersFor(id string) []member.Member {
	peers := o.roster.Peers()
	if len(peers) == 0 {
		return nil
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	first := int(h.Sum32()) % len(peers)
	return append(peers[first:], peers[:first]...)
}

// notSent reports whether a request that failed with err cannot have reached its peer.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// handleStoreJob serves a request to store a job.
func handleStoreJob(w http.ResponseWriter, r *http.Request, store Store, logger *slog.Logger) {
	var req request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(&req); err != nil || req.ToStore == nil {
		http.Error(w, "no job to store", http.StatusBadRequest)
		return
	}
	err := store.StoreJob(r.Context(), *req.ToStore)
	var refused *intake.RefusedError
	var revoked *intake.RevokedError
	var taken *intake.TakenError
	a := reply{Known: err == nil}
	switch {
	case errors.As(err, &revoked):
		a.Revoked = true
	case errors.As(err, &taken):
		a.Taken = true
	case errors.As(err, &refused):
		a.Refused = refused.Cause
	case err != nil:
		a.Unsure = err.Error()
	}
	if err := json.NewEncoder(w).Encode(a); err != nil {
		event.PeerSilent.Log(logger, slog.String("pool", req.Pool), slog.String("job", req.Job), slog.Any("error", err))
	}
}
