// Package peer lets an entry instance send requests to the owners of pools on other entry
// instances, over HTTP with JSON.
//
// A request about a pool is answered by the pool's owner, which runs in this instance or in
// the one that the roster names. No instance forwards a request that it has received.
//
// Invariant: a request without an answer changes nothing that its receiver would not have
// learned from the store anyway.
package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/shard"
	"github.com/pointport/pointport/workload"
)

// This file defines the requests between entry instances, both client and server.

const (
	// DefaultTimeout bounds a request to a peer. Peers are a millisecond away.
	DefaultTimeout = 500 * time.Millisecond
	// maxMessage bounds the size of a message, in bytes. It allows for the largest job and its
	// names.
	maxMessage = 1 << 20
)

// The paths of the requests.
const (
	submittedPath = "/peer/submitted"
	cancelPath    = "/peer/cancel"
	statusPath    = "/peer/status"
	waitingPath   = "/peer/waiting"
	surveyPath    = "/peer/survey"
	explainPath   = "/peer/explain"
	customerPath  = "/peer/customer"
	storeJobPath  = "/peer/keep"
	canStorePath  = "/peer/served"
)

// request is a request to a peer, of any kind. Its fields are exported because it is encoded
// as JSON.
type request struct {
	Pool  string `json:"pool"`
	Job   string `json:"job,omitempty"`
	Queue string `json:"queue,omitempty"`
	// CalledBy is the customer on whose behalf a request about a job is sent.
	CalledBy customer.Caller `json:"by,omitzero"`
	Accepted json.RawMessage `json:"accepted,omitempty"`
	// AcceptedAt is the revision at which the job was accepted.
	AcceptedAt pointport.Revision `json:"at,omitempty"`
	// Survey holds the parameters of a survey of the pool.
	Survey *schedule.SurveyRequest `json:"survey,omitempty"`
	// ToStore is a job that the sending member could not store.
	ToStore *intake.Submission `json:"keep,omitempty"`
}

// reply is the answer to a request, of any kind.
type reply struct {
	Known  bool            `json:"known,omitempty"`
	Status workload.Status `json:"status,omitempty"`
	Count  int             `json:"count,omitempty"`
	// Excess is how long no more jobs of the customer are wanted.
	Excess time.Duration   `json:"excess,omitempty"`
	Survey schedule.Survey `json:"survey,omitzero"`
	// Explanation describes the state of a job and the reason for it.
	Explanation schedule.Explanation `json:"explanation,omitzero"`
	// Customer describes the state of a customer.
	Customer schedule.CustomerExplanation `json:"customer,omitzero"`
	// Refused is set if the job was not stored and this request cannot store it any more.
	// Unsure is set if it is not known whether the job was stored. Both hold the cause.
	Refused string `json:"refused,omitempty"`
	Unsure  string `json:"unsure,omitempty"`
	// Revoked is true if the job was not stored because its caller's key is not in force, and
	// Taken if it was not stored because its ID belongs to another customer.
	Revoked bool `json:"revoked,omitempty"`
	Taken   bool `json:"taken,omitempty"`
}

// ErrNoOwner is returned when no owner of a pool is known.
var ErrNoOwner = errors.New("the pool has no owner at present")

// OwnerClient is a client of the owners of pools. It is safe for concurrent use.
type OwnerClient struct {
	manager         *member.PoolManager[*shard.Owner]
	roster          *member.Roster
	http            *http.Client
	timeout         time.Duration
	avoided         *deadlines[string]      // peers that are not asked for a while
	canStore        *deadlines[string]      // peers that have recently stored a job
	backlogRefusals *deadlines[customerKey] // customers whose jobs are refused by owners
	logger          *slog.Logger
}

var _ intake.OwnerClient = (*OwnerClient)(nil)

// NewOwnerClient returns a client of the owners that manager runs in this process, and of the
// others that the roster names.
func NewOwnerClient(manager *member.PoolManager[*shard.Owner], roster *member.Roster, client *http.Client, clock pointport.Clock, logger *slog.Logger) *OwnerClient {
	return &OwnerClient{manager: manager, roster: roster, http: client, timeout: DefaultTimeout, avoided: newDeadlines[string](clock), canStore: newDeadlines[string](clock), backlogRefusals: newDeadlines[customerKey](clock), logger: logger}
}

// askOwner sends a request to the owner of its pool on another instance. It fails with
// ErrNoOwner if none is known.
func (o *OwnerClient) askOwner(ctx context.Context, path string, req request) (reply, error) {
	holding, ok := o.roster.Holding(req.Pool)
	if !ok || holding.Mine {
		return reply{}, ErrNoOwner
	}
	return o.send(ctx, holding.Member, path, req)
}

// send sends a request to a member.
func (o *OwnerClient) send(ctx context.Context, to member.Member, path string, req request) (reply, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Peer+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	res, err := o.http.Do(httpReq)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return reply{}, fmt.Errorf("member %s, asked about pool %s, answers %s", to.Name, req.Pool, res.Status)
	}
	var r reply
	return r, json.NewDecoder(res.Body).Decode(&r)
}

// NotifySubmitted notifies a pool's owner of an accepted job, and records from the answer whether
// the owner wants more jobs of the customer.
func (o *OwnerClient) NotifySubmitted(pool, id, customerName string, accepted []byte, revision pointport.Revision) {
	if local, ok := o.manager.Controller(pool); ok {
		local.Submitted(id, accepted, revision)
		return
	}
	go func() {
		r, err := o.askOwner(context.Background(), submittedPath, request{Pool: pool, Job: id, CalledBy: customer.Caller{Name: customerName}, Accepted: accepted, AcceptedAt: revision})
		if err != nil {
			event.PeerSilent.Log(o.logger, slog.String("pool", pool), slog.String("job", id), slog.Any("error", err))
			return
		}
		if customerName != "" {
			o.recordBacklogRefusal(pool, customerName, r.Excess)
		}
	}()
}

// Cancel asks a pool's owner to cancel a job. It returns false if the owner does not know the
// job or the caller may not access it.
func (o *OwnerClient) Cancel(ctx context.Context, pool, id string, caller customer.Caller) (bool, error) {
	if local, ok := o.manager.Controller(pool); ok {
		return local.Cancel(ctx, id, caller)
	}
	r, err := o.askOwner(ctx, cancelPath, request{Pool: pool, Job: id, CalledBy: caller})
	return r.Known, err
}

// Status asks a pool's owner for the status of a job. It returns false if the owner does not
// know the job or the caller may not access it.
func (o *OwnerClient) Status(ctx context.Context, pool, id string, caller customer.Caller) (workload.Status, bool, error) {
	if local, ok := o.manager.Controller(pool); ok {
		return local.Status(ctx, id, caller)
	}
	r, err := o.askOwner(ctx, statusPath, request{Pool: pool, Job: id, CalledBy: caller})
	return r.Status, r.Known, err
}

// Waiting asks a pool's owner how many jobs of a queue have not started.
func (o *OwnerClient) Waiting(ctx context.Context, pool, queue string) (int, error) {
	if local, ok := o.manager.Controller(pool); ok {
		return local.Waiting(ctx, queue)
	}
	r, err := o.askOwner(ctx, waitingPath, request{Pool: pool, Queue: queue})
	return r.Count, err
}

// Survey asks a pool's owner for a survey of the pool.
func (o *OwnerClient) Survey(ctx context.Context, pool string, req schedule.SurveyRequest) (schedule.Survey, error) {
	if local, ok := o.manager.Controller(pool); ok {
		return local.Survey(ctx, req)
	}
	r, err := o.askOwner(ctx, surveyPath, request{Pool: pool, Survey: &req})
	return r.Survey, err
}

// Explain asks a pool's owner for the state of a job and the reason for it. It reports whether
// the owner knows the job.
func (o *OwnerClient) Explain(ctx context.Context, pool, id string) (schedule.Explanation, bool, error) {
	if local, ok := o.manager.Controller(pool); ok {
		return local.Explain(ctx, id)
	}
	r, err := o.askOwner(ctx, explainPath, request{Pool: pool, Job: id})
	return r.Explanation, r.Known, err
}

// ExplainCustomer asks a pool's owner for the state of a customer.
func (o *OwnerClient) ExplainCustomer(ctx context.Context, pool, name string) (schedule.CustomerExplanation, error) {
	if local, ok := o.manager.Controller(pool); ok {
		return local.ExplainCustomer(ctx, name)
	}
	r, err := o.askOwner(ctx, customerPath, request{Pool: pool, CalledBy: customer.Caller{Name: name}})
	return r.Customer, err
}

// Store stores jobs.
type Store interface {
	// StoreJob stores a job. It fails with an *intake.RefusedError, an *intake.AmbiguousError, an
	// *intake.RevokedError or an *intake.TakenError.
	StoreJob(ctx context.Context, s intake.Submission) error
	// CanStore reports whether it can store a job at present.
	CanStore() bool
}

// Handler returns the server for these requests. It answers for the owners that manager runs,
// stores jobs for members that cannot, and answers for the peer leases that this member grants.
func Handler(manager *member.PoolManager[*shard.Owner], store Store, leases LeaseServer, logger *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	handleLeases(mux, leases)
	mux.HandleFunc("POST "+storeJobPath, func(w http.ResponseWriter, r *http.Request) { handleStoreJob(w, r, store, logger) })
	mux.HandleFunc("POST "+canStorePath, func(w http.ResponseWriter, _ *http.Request) {
		// A client that has stopped waiting needs no answer.
		_ = json.NewEncoder(w).Encode(reply{Known: store.CanStore()})
	})
	handle := func(path string, answer func(context.Context, *shard.Owner, request) (reply, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var req request
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(&req); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			owner, ok := manager.Controller(req.Pool)
			if !ok {
				http.Error(w, ErrNoOwner.Error(), http.StatusServiceUnavailable)
				return
			}
			a, err := answer(r.Context(), owner, req)
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			if err := json.NewEncoder(w).Encode(a); err != nil {
				event.PeerSilent.Log(logger, slog.String("pool", req.Pool), slog.Any("error", err))
			}
		})
	}
	handle(submittedPath, func(_ context.Context, o *shard.Owner, req request) (reply, error) {
		o.Submitted(req.Job, req.Accepted, req.AcceptedAt)
		return reply{Known: true, Excess: o.BacklogRefusal(req.CalledBy.Name)}, nil
	})
	handle(cancelPath, func(ctx context.Context, o *shard.Owner, req request) (reply, error) {
		known, err := o.Cancel(ctx, req.Job, req.CalledBy)
		return reply{Known: known}, err
	})
	handle(statusPath, func(ctx context.Context, o *shard.Owner, req request) (reply, error) {
		status, known, err := o.Status(ctx, req.Job, req.CalledBy)
		return reply{Known: known, Status: status}, err
	})
	handle(waitingPath, func(ctx context.Context, o *shard.Owner, req request) (reply, error) {
		n, err := o.Waiting(ctx, req.Queue)
		return reply{Count: n}, err
	})
	handle(explainPath, func(ctx context.Context, o *shard.Owner, req request) (reply, error) {
		x, known, err := o.Explain(ctx, req.Job)
		return reply{Known: known, Explanation: x}, err
	})
	handle(customerPath, func(ctx context.Context, o *shard.Owner, req request) (reply, error) {
		x, err := o.ExplainCustomer(ctx, req.CalledBy.Name)
		return reply{Customer: x}, err
	})
	handle(surveyPath, func(ctx context.Context, o *shard.Owner, req request) (reply, error) {
		if req.Survey == nil {
			return reply{}, errors.New("survey: missing")
		}
		s, err := o.Survey(ctx, *req.Survey)
		return reply{Survey: s}, err
	})
	return mux
}
