package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pointport/pointport"
)

// This file defines the requests for peer leases and about takeovers of pools, both client and
// server.

// The paths of these requests.
const (
	peerLeasePath = "/peer/lease"
	takeoverPath  = "/peer/takeover"
)

// maxLeaseMessage bounds the size of these requests and of their answers, in bytes.
const maxLeaseMessage = 16 << 10

// LeaseServer answers requests for peer leases and about takeovers of pools, from memory.
type LeaseServer interface {
	GrantPeerLease(r pointport.PeerLeaseRequest) pointport.PeerLeaseReply
	AnswerTakeover(r pointport.TakeoverRequest) pointport.TakeoverReply
}

// LeaseClient sends requests for peer leases and about takeovers of pools. It is safe for
// concurrent use.
type LeaseClient struct{ http *http.Client }

var _ pointport.PeerLeaseClient = (*LeaseClient)(nil)

// NewLeaseClient returns a client that sends its requests with an HTTP client.
func NewLeaseClient(client *http.Client) *LeaseClient { return &LeaseClient{client} }

// RequestPeerLease asks the member at an address for a peer lease.
func (c *LeaseClient) RequestPeerLease(ctx context.Context, address string, r pointport.PeerLeaseRequest) (pointport.PeerLeaseReply, error) {
	return post[pointport.PeerLeaseReply](ctx, c.http, address, peerLeasePath, r)
}

// AskTakeover asks the member at an address whether a pool may be taken.
func (c *LeaseClient) AskTakeover(ctx context.Context, address string, r pointport.TakeoverRequest) (pointport.TakeoverReply, error) {
	return post[pointport.TakeoverReply](ctx, c.http, address, takeoverPath, r)
}

// post sends a request and returns the answer. Any status except 200 is an error, so that a member
// of an earlier version, which does not know the path, grants nothing.
func post[T any](ctx context.Context, client *http.Client, address, path string, request any) (T, error) {
	var answer T
	body, err := json.Marshal(request)
	if err != nil {
		return answer, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	res, err := client.Do(req)
	if err != nil {
		return answer, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%s at %s answers %s", path, address, res.Status)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxLeaseMessage)).Decode(&answer)
	return answer, err
}

// handleLeases adds the server of these requests to mux.
func handleLeases(mux *http.ServeMux, s LeaseServer) {
	mux.HandleFunc("POST "+peerLeasePath, answerWith(s.GrantPeerLease))
	mux.HandleFunc("POST "+takeoverPath, answerWith(s.AnswerTakeover))
}

// answerWith returns a handler that decodes a request and encodes the answer.
func answerWith[Q, A any](answer func(Q) A) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLeaseMessage)).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		// A client that has stopped waiting needs no answer.
		_ = json.NewEncoder(w).Encode(answer(q))
	}
}
