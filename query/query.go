// Package query implements the queries of operators. It changes nothing;
// commands, which do, are in package command.
package query

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/dispatch"
	"github.com/pointport/pointport/job"
)

// This file defines the source of answers, and the queries about the status, jobs
// and explanations.

// ConfigLog is the log of the configuration.
type ConfigLog = changelog.Log[*config.State, config.Change]

// AssignLog is the log of a zone's assignment.
type AssignLog = changelog.Log[*assign.State, assign.Change]

// JobLog is the log of a zone's jobs.
type JobLog = changelog.Log[*job.State, job.Change]

// Services provides the state of the request path of each service.
type Services interface {
	Status() []dispatch.Status
}

const (
	// pollInterval is how often the log of another zone, which is not followed, is read while a
	// job in it is awaited.
	pollInterval = time.Second
	// statusReadTimeout bounds how long a status waits for the logs of other zones. During an
	// outage of the store it has their jobs as last read.
	statusReadTimeout = 500 * time.Millisecond
)

// A Source answers queries from the state that a node has.
type Source struct {
	Node      string
	Zone      pointport.ZoneID
	Zones     []pointport.ZoneID
	Clock     pointport.Clock
	Config    *ConfigLog
	Assign    map[pointport.ZoneID]*AssignLog
	Jobs      map[pointport.ZoneID]*JobLog
	Services  Services
	IsPlanner func() bool // whether this node currently plans its zone
}

// A PoolStatus holds the size of a pool in a zone and the number of its instances
// by phase.
type PoolStatus struct {
	Pool    string               `json:"pool"`
	Zone    pointport.ZoneID     `json:"zone"`
	Size    int                  `json:"size"`
	Spare   int                  `json:"spare"`
	ByPhase map[assign.Phase]int `json:"byPhase"`
}

// A Status is the status of the whole system, as one node sees it.
type Status struct {
	Node          string            `json:"node"`
	Zone          pointport.ZoneID  `json:"zone"`
	ConfigVersion config.Version    `json:"configVersion"`
	ConfigHeard   time.Time         `json:"configHeard"`
	Planner       bool              `json:"planner"`
	Pools         []PoolStatus      `json:"pools"`
	Waves         []assign.Wave     `json:"waves"`
	Jobs          map[job.Phase]int `json:"jobs"`
	Services      []dispatch.Status `json:"services"`
}

// Status returns the status of the whole system, as this node sees it. The jobs of zones whose log
// cannot be read are as they were last read.
func (s *Source) Status(ctx context.Context) Status {
	ctx, cancel := context.WithTimeout(ctx, statusReadTimeout)
	defer cancel()
	_ = s.refreshOtherJobs(ctx) // the status must be available during an outage as well
	cfg := s.Config.State()
	st := Status{
		Node: s.Node, Zone: s.Zone, ConfigVersion: cfg.Version(), ConfigHeard: s.Config.LastAnswer(),
		Planner: s.IsPlanner(), Jobs: make(map[job.Phase]int), Services: s.Services.Status(),
		Pools: []PoolStatus{}, Waves: []assign.Wave{},
	}
	slices.SortFunc(st.Services, func(a, b dispatch.Status) int { return strings.Compare(a.Service, b.Service) })
	for _, zone := range s.Zones {
		st.Pools = append(st.Pools, s.poolStatus(zone, cfg)...)
		st.Waves = append(st.Waves, s.Assign[zone].State().Waves()...)
		for _, j := range s.Jobs[zone].State().Jobs() {
			st.Jobs[j.Phase]++
		}
	}
	return st
}

func (s *Source) poolStatus(zone pointport.ZoneID, cfg *config.State) []PoolStatus {
	var out []PoolStatus
	members := s.Assign[zone].State().Members()
	for _, t := range cfg.Effective(s.Clock.Now()) {
		p := PoolStatus{
			Pool: t.Name, Zone: zone, Size: assign.ZoneSize(t, s.Zones, zone),
			Spare: assign.ZoneSpare(t, s.Zones, zone), ByPhase: make(map[assign.Phase]int),
		}
		for _, m := range members {
			if m.Pool == t.Name {
				p.ByPhase[m.Phase]++
			}
		}
		out = append(out, p)
	}
	return out
}

// Job returns the job with the given ID as the store of its home zone has it now.
// It fails with a *pointport.NotFoundError if there is no such job.
func (s *Source) Job(ctx context.Context, id string) (job.Job, error) {
	log := s.Jobs[job.HomeZone(id, s.Zones)]
	if err := log.Refresh(ctx); err != nil {
		return job.Job{}, err
	}
	j, ok := log.State().Job(id)
	if !ok {
		return job.Job{}, &pointport.NotFoundError{Kind: "job", Name: id}
	}
	return j, nil
}

// WaitJob waits until a job has ended and returns it. If ctx ends before, it
// returns the job in its current state.
func (s *Source) WaitJob(ctx context.Context, id string) (job.Job, error) {
	log := s.Jobs[job.HomeZone(id, s.Zones)]
	for {
		changed := log.Changed()
		j, err := s.Job(ctx, id)
		if err != nil || j.Phase.Ended() {
			return j, err
		}
		select {
		case <-changed:
		case <-s.Clock.After(pollInterval): // the log of another zone is not followed
		case <-ctx.Done():
			return j, nil
		}
	}
}

// refreshOtherJobs reads the logs of the jobs of other zones, which this node does not follow.
func (s *Source) refreshOtherJobs(ctx context.Context) error {
	for _, zone := range s.Zones {
		if zone == s.Zone {
			continue
		}
		if err := s.Jobs[zone].Refresh(ctx); err != nil {
			return err
		}
	}
	return nil
}

// ListJobs returns the customer's jobs in all zones, the oldest submission first.
// If customer is empty, it returns the jobs of all customers. It fails if the jobs
// of another zone cannot be read.
func (s *Source) ListJobs(ctx context.Context, customer string) ([]job.Job, error) {
	if err := s.refreshOtherJobs(ctx); err != nil {
		return nil, err
	}
	out := []job.Job{}
	for _, zone := range s.Zones {
		for _, j := range s.Jobs[zone].State().Jobs() {
			if customer == "" || j.Customer == customer {
				out = append(out, j)
			}
		}
	}
	slices.SortFunc(out, func(a, b job.Job) int { return a.Submitted.Compare(b.Submitted) })
	return out, nil
}

// Explain explains the state of an instance, a pool, a wave or a job, once for
// each zone that has it. It fails with a *pointport.NotFoundError if the kind or
// the name does not exist.
func (s *Source) Explain(ctx context.Context, kind, name string) ([]assign.Explanation, error) {
	var out []assign.Explanation
	switch kind {
	case "instance":
		out = s.explainInstance(name)
	case "pool":
		out = s.explainPool(name)
	case "wave":
		out = s.explainWave(name)
	case "job":
		j, err := s.Job(ctx, name)
		if err != nil {
			return nil, err
		}
		out = append(out, explainJob(j))
	default:
		return nil, &pointport.NotFoundError{Kind: "kind of thing to explain", Name: kind}
	}
	if len(out) == 0 {
		return nil, &pointport.NotFoundError{Kind: kind, Name: name}
	}
	return out, nil
}

func (s *Source) templates() map[string]*config.Template {
	out := make(map[string]*config.Template)
	for _, t := range s.Config.State().Effective(s.Clock.Now()) {
		out[t.Name] = t
	}
	return out
}

func (s *Source) explainInstance(name string) []assign.Explanation {
	for _, zone := range s.Zones {
		if m, ok := s.Assign[zone].State().Member(pointport.InstanceID(name)); ok {
			return []assign.Explanation{assign.ExplainInstance(m, s.templates()[m.Pool])}
		}
	}
	return nil
}

func (s *Source) explainPool(name string) []assign.Explanation {
	t := s.templates()[name]
	if t == nil {
		return nil
	}
	var out []assign.Explanation
	for _, zone := range s.Zones {
		out = append(out, assign.ExplainPool(s.Assign[zone].State(), t, s.Zones, zone, s.Config.State().Evacuations(), assign.ZoneShare(t, s.Zones)+s.Assign[zone].State().Pool(name).Float))
	}
	return out
}

func (s *Source) explainWave(name string) []assign.Explanation {
	var out []assign.Explanation
	for _, zone := range s.Zones {
		state := s.Assign[zone].State()
		if w, ok := state.Wave(name); ok {
			e := assign.ExplainWave(state, w)
			e.Subject += " in zone " + string(zone)
			out = append(out, e)
		}
	}
	return out
}

func explainJob(j job.Job) assign.Explanation {
	e := assign.Explanation{Subject: "job " + j.ID, Stands: string(j.Phase) + ": " + j.Reason}
	e.Facts = append(e.Facts,
		fmt.Sprintf("submitted by %s at %s as %s, %s", j.Customer, j.Submitted.Format(time.RFC3339), j.Kind, j.Priority),
		fmt.Sprintf("asks for %d thousandths of a processor, %d MiB, %d accelerators", j.Need.CPUMilli, j.Need.MemoryMiB, j.Need.Accelerators))
	if len(j.Tried) > 0 {
		e.Facts = append(e.Facts, fmt.Sprintf("failed on %v", j.Tried))
	}
	return e
}
