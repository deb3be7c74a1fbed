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

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/member"
)

// This file defines how a member that the store does not serve has its peers
// store jobs.

const (
	// keepPeers is how many peers are asked to store a job. The store turns a third
	// of the members away at a time, as a rule.
	keepPeers = 3
	// keepRest is for how long a peer is not asked again that could not store a job
	// or gave no answer.
	keepRest = 500 * time.Millisecond
)

// errNoPeer says that there was no peer to ask.
var errNoPeer = errors.New("there is none to ask")

// resting are the peers that are left alone for a while. It is safe for concurrent
// use.
type resting struct {
	clock pointport.Clock
	mu    sync.Mutex
	until map[string]time.Time // by name
}

func newResting(clock pointport.Clock) *resting {
	return &resting{clock: clock, until: make(map[string]time.Time)}
}

func (r *resting) add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until[name] = r.clock.Now().Add(keepRest)
}

func (r *resting) has(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now().Before(r.until[name])
}

// Keep has a peer store a job and returns the peer's name. Peers are asked one
// after the other until one has stored it; which is first depends on the job, so
// that they share the work. A job is stored once however many are asked.
func (o *Owners) Keep(ctx context.Context, s intake.Submission) (string, error) {
	var unsure error
	cause := errNoPeer
	asked := 0
	for _, m := range o.peersFor(s.ID) {
		if asked == keepPeers || ctx.Err() != nil {
			break
		}
		if o.resting.has(m.Name) {
			continue
		}
		asked++
		r, err := o.post(ctx, m, keepPath, question{Pool: s.Pool, Job: s.ID, Keep: &s})
		if err == nil && r.Known {
			return m.Name, nil
		}
		o.resting.add(m.Name)
		switch {
		case err != nil && !neverSent(err):
			unsure = err
		case err == nil && r.Unsure != "":
			unsure = errors.New(r.Unsure)
		case err == nil:
			cause = errors.New(r.Refused)
		}
	}
	if unsure != nil {
		return "", &intake.UnsureError{ID: s.ID, Err: unsure}
	}
	return "", &intake.RefusedError{ID: s.ID, After: intake.RetryAfter, Cause: cause.Error()}
}

// peersFor returns the peers in the order in which they are asked to store a job.
func (o *Owners) peersFor(id string) []member.Member {
	peers := o.roster.Peers()
	if len(peers) == 0 {
		return nil
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	first := int(h.Sum32()) % len(peers)
	return append(peers[first:], peers[:first]...)
}

// neverSent reports whether a question cannot have reached anybody.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// keep answers a question to store a job.
func keep(w http.ResponseWriter, r *http.Request, store Store, logger *slog.Logger) {
	var q question
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(&q); err != nil || q.Keep == nil {
		http.Error(w, "no job to store", http.StatusBadRequest)
		return
	}
	err := store.Keep(r.Context(), *q.Keep)
	var refused *intake.RefusedError
	a := reply{Known: err == nil}
	switch {
	case errors.As(err, &refused):
		a.Refused = refused.Cause
	case err != nil:
		a.Unsure = err.Error()
	}
	if err := json.NewEncoder(w).Encode(a); err != nil {
		event.PeerSilent.Log(logger, slog.String("pool", q.Pool), slog.String("job", q.Job), slog.Any("error", err))
	}
}
