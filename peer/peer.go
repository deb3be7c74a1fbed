// Package peer lets entry instances reach the owners of pools on one another,
// over HTTP with JSON.
//
// The model: whoever has a question about a pool asks its owner, which is this
// instance or the one that the roster names. A question goes one hop at most.
//
// Invariant: a message that gets no answer changes nothing that its receiver
// would not have learned otherwise, from the store.
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

// This file defines the questions between entry instances, both ends of them.

const (
	// DefaultTimeout bounds a question to a peer. Peers are a millisecond away.
	DefaultTimeout = 500 * time.Millisecond
	// maxMessage bounds a message, in bytes: the largest job and its names.
	maxMessage = 1 << 20
)

// The paths of the questions.
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

// A request names what it is about. Its fields are exported because a codec
// reads and writes them.
type request struct {
	Pool  string `json:"pool"`
	Job   string `json:"job,omitempty"`
	Queue string `json:"queue,omitempty"`
	// Caller is who asks about a job.
	Caller   customer.Caller `json:"by,omitzero"`
	Accepted json.RawMessage `json:"accepted,omitempty"`
	// Revision is the revision at which a job was accepted.
	Revision pointport.Revision `json:"at,omitempty"`
	// Survey goes with a question on how a pool stands.
	Survey *schedule.SurveyRequest `json:"survey,omitempty"`
	// Submission is a job that the asking member could not store.
	Submission *intake.Submission `json:"keep,omitempty"`
}

// A reply is what the owner says.
type reply struct {
	Known  bool            `json:"known,omitempty"`
	Status workload.Status `json:"status,omitempty"`
	Count  int             `json:"count,omitempty"`
	// Excess is for how long no more jobs of the customer are wanted.
	Excess time.Duration   `json:"excess,omitempty"`
	Survey schedule.Survey `json:"survey,omitzero"`
	// Explanation says how a job stands and why.
	Explanation schedule.Explanation `json:"explanation,omitzero"`
	// Customer says how a customer stands.
	Customer schedule.CustomerExplanation `json:"customer,omitzero"`
	// Refused says that a job was not stored and never will be by this question,
	// Unsure that this is not known.
	Refused string `json:"refused,omitempty"`
	Unsure  string `json:"unsure,omitempty"`
	// Revoked says that a job was not stored because its caller's key is not in force,
	// Taken because its identity is another customer's.
	Revoked bool `json:"revoked,omitempty"`
	Taken   bool `json:"taken,omitempty"`
}

// ErrNoOwner says that no owner of a pool is known.
var ErrNoOwner = errors.New("the pool has no owner at present")

// Owners reaches the owners of pools. It is safe for concurrent use.
type Owners struct {
	keeper   *member.PoolManager[*shard.Owner]
	roster   *member.Roster
	http     *http.Client
	timeout  time.Duration
	avoided  *deadlines[string]      // peers that are left alone for a while
	canStore *deadlines[string]      // peers that have stored a job lately
	excess   *deadlines[customerKey] // customers of whom owners want no more jobs
	logger   *slog.Logger
}

var _ intake.Owners = (*Owners)(nil)

// NewOwners returns a way to the owners: those that keeper runs, and others as
// the roster names them.
func NewOwners(keeper *member.PoolManager[*shard.Owner], roster *member.Roster, client *http.Client, clock pointport.Clock, logger *slog.Logger) *Owners {
	return &Owners{keeper: keeper, roster: roster, http: client, timeout: DefaultTimeout, avoided: newDeadlines[string](clock), canStore: newDeadlines[string](clock), excess: newDeadlines[customerKey](clock), logger: logger}
}

// askOwner puts a question to the owner of its pool on another instance.
func (o *Owners) askOwner(ctx context.Context, path string, q request) (reply, error) {
	holding, ok := o.roster.Holding(q.Pool)
	if !ok || holding.Mine {
		return reply{}, ErrNoOwner
	}
	return o.send(ctx, holding.Member, path, q)
}

// send puts a question to a member.
func (o *Owners) send(ctx context.Context, to member.Member, path string, q request) (reply, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Peer+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	res, err := o.http.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return reply{}, fmt.Errorf("member %s, asked about pool %s, answers %s", to.Name, q.Pool, res.Status)
	}
	var r reply
	return r, json.NewDecoder(res.Body).Decode(&r)
}

// Submitted tells a pool's owner of an accepted job, and takes in whether it wants more of
// the customer.
func (o *Owners) Submitted(pool, id, whose string, accepted []byte, at pointport.Revision) {
	if local, ok := o.keeper.Controller(pool); ok {
		local.Submitted(id, accepted, at)
		return
	}
	go func() {
		r, err := o.askOwner(context.Background(), submittedPath, request{Pool: pool, Job: id, Caller: customer.Caller{Name: whose}, Accepted: accepted, Revision: at})
		if err != nil {
			event.PeerSilent.Log(o.logger, slog.String("pool", pool), slog.String("job", id), slog.Any("error", err))
			return
		}
		if whose != "" {
			o.recordExcess(pool, whose, r.Excess)
		}
	}()
}

// Cancel has a pool's owner cancel a job.
func (o *Owners) Cancel(ctx context.Context, pool, id string, by customer.Caller) (bool, error) {
	if local, ok := o.keeper.Controller(pool); ok {
		return local.Cancel(ctx, id, by)
	}
	r, err := o.askOwner(ctx, cancelPath, request{Pool: pool, Job: id, Caller: by})
	return r.Known, err
}

// Status asks a pool's owner for a job.
func (o *Owners) Status(ctx context.Context, pool, id string, by customer.Caller) (workload.Status, bool, error) {
	if local, ok := o.keeper.Controller(pool); ok {
		return local.Status(ctx, id, by)
	}
	r, err := o.askOwner(ctx, statusPath, request{Pool: pool, Job: id, Caller: by})
	return r.Status, r.Known, err
}

// Waiting asks a pool's owner how many jobs of a queue have not begun.
func (o *Owners) Waiting(ctx context.Context, pool, queue string) (int, error) {
	if local, ok := o.keeper.Controller(pool); ok {
		return local.Waiting(ctx, queue)
	}
	r, err := o.askOwner(ctx, waitingPath, request{Pool: pool, Queue: queue})
	return r.Count, err
}

// Survey asks a pool's owner how the pool stands.
func (o *Owners) Survey(ctx context.Context, pool string, req schedule.SurveyRequest) (schedule.Survey, error) {
	if local, ok := o.keeper.Controller(pool); ok {
		return local.Survey(ctx, req)
	}
	r, err := o.askOwner(ctx, surveyPath, request{Pool: pool, Survey: &req})
	return r.Survey, err
}

// Explain asks a pool's owner how a job stands and why.
func (o *Owners) Explain(ctx context.Context, pool, id string) (schedule.Explanation, bool, error) {
	if local, ok := o.keeper.Controller(pool); ok {
		return local.Explain(ctx, id)
	}
	r, err := o.askOwner(ctx, explainPath, request{Pool: pool, Job: id})
	return r.Explanation, r.Known, err
}

// ExplainCustomer asks a pool's owner how a customer stands.
func (o *Owners) ExplainCustomer(ctx context.Context, pool, name string) (schedule.CustomerExplanation, error) {
	if local, ok := o.keeper.Controller(pool); ok {
		return local.ExplainCustomer(ctx, name)
	}
	r, err := o.askOwner(ctx, customerPath, request{Pool: pool, Caller: customer.Caller{Name: name}})
	return r.Customer, err
}

// A Store keeps jobs.
type Store interface {
	// StoreJob stores a job. It fails with an *intake.RefusedError or an
	// *intake.UnsureError.
	StoreJob(ctx context.Context, s intake.Submission) error
	// CanStore reports whether it can keep a job at present.
	CanStore() bool
}

// Handler returns the other end: it answers for the owners that keeper runs, and
// stores jobs for members that cannot.
func Handler(keeper *member.PoolManager[*shard.Owner], store Store, logger *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+storeJobPath, func(w http.ResponseWriter, r *http.Request) { handleStoreJob(w, r, store, logger) })
	mux.HandleFunc("POST "+canStorePath, func(w http.ResponseWriter, _ *http.Request) {
		// Whoever has stopped waiting needs no answer.
		_ = json.NewEncoder(w).Encode(reply{Known: store.CanStore()})
	})
	handle := func(path string, answer func(context.Context, *shard.Owner, request) (reply, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var q request
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage)).Decode(&q); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			owner, ok := keeper.Controller(q.Pool)
			if !ok {
				http.Error(w, ErrNoOwner.Error(), http.StatusServiceUnavailable)
				return
			}
			a, err := answer(r.Context(), owner, q)
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			if err := json.NewEncoder(w).Encode(a); err != nil {
				event.PeerSilent.Log(logger, slog.String("pool", q.Pool), slog.Any("error", err))
			}
		})
	}
	handle(submittedPath, func(_ context.Context, o *shard.Owner, q request) (reply, error) {
		o.Submitted(q.Job, q.Accepted, q.Revision)
		return reply{Known: true, Excess: o.Excess(q.Caller.Name)}, nil
	})
	handle(cancelPath, func(ctx context.Context, o *shard.Owner, q request) (reply, error) {
		known, err := o.Cancel(ctx, q.Job, q.Caller)
		return reply{Known: known}, err
	})
	handle(statusPath, func(ctx context.Context, o *shard.Owner, q request) (reply, error) {
		status, known, err := o.Status(ctx, q.Job, q.Caller)
		return reply{Known: known, Status: status}, err
	})
	handle(waitingPath, func(ctx context.Context, o *shard.Owner, q request) (reply, error) {
		n, err := o.Waiting(ctx, q.Queue)
		return reply{Count: n}, err
	})
	handle(explainPath, func(ctx context.Context, o *shard.Owner, q request) (reply, error) {
		x, known, err := o.Explain(ctx, q.Job)
		return reply{Known: known, Explanation: x}, err
	})
	handle(customerPath, func(ctx context.Context, o *shard.Owner, q request) (reply, error) {
		x, err := o.ExplainCustomer(ctx, q.Caller.Name)
		return reply{Customer: x}, err
	})
	handle(surveyPath, func(ctx context.Context, o *shard.Owner, q request) (reply, error) {
		if q.Survey == nil {
			return reply{}, errors.New("survey: missing")
		}
		s, err := o.Survey(ctx, *q.Survey)
		return reply{Survey: s}, err
	})
	return mux
}
