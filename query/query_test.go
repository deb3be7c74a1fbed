package query_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/dispatch"
	"github.com/pointport/pointport/job"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/query"
)

// noServices is a node that serves no requests.
type noServices struct{}

func (noServices) Status() []dispatch.Status { return nil }

// newSource returns a source at a node of zone-a that follows no log of the jobs.
func newSource(store *memory.Store) *query.Source {
	s := &query.Source{
		Zone: "zone-a", Zones: []pointport.ZoneID{"zone-a", "zone-b"}, Clock: clock.System{}, Services: noServices{},
		Config: changelog.New[*config.State, config.Change](store, clock.System{}, "config", config.NewState()),
		Assign: make(map[pointport.ZoneID]*query.AssignLog), Jobs: make(map[pointport.ZoneID]*query.JobLog),
		IsPlanner: func() bool { return false },
	}
	for _, zone := range s.Zones {
		s.Assign[zone] = changelog.New[*assign.State, assign.Change](store, clock.System{}, "assign."+string(zone), assign.NewState())
		s.Jobs[zone] = changelog.New[*job.State, job.Change](store, clock.System{}, "job."+string(zone), job.NewState())
	}
	return s
}

// write stores a job in the log of its zone, as another node does.
func write(t *testing.T, store *memory.Store, j job.Job) {
	t.Helper()
	log := newSource(store).Jobs[job.HomeZone(j.ID, []pointport.ZoneID{"zone-a", "zone-b"})]
	id := string(j.Phase)
	if _, err := log.Append(context.Background(), id, func(have *job.State) (job.Change, error) {
		return job.Change{ID: id, Version: have.Version() + 1, Steps: []job.Step{{Job: j.ID, After: &j}}}, nil
	}); err != nil {
		t.Fatal(err)
	}
}

// jobOfOtherZone returns a waiting job whose log is that of zone-b.
func jobOfOtherZone() job.Job {
	for n := 0; ; n++ {
		id := job.ID("c", string(rune('a'+n)))
		if job.HomeZone(id, []pointport.ZoneID{"zone-a", "zone-b"}) == "zone-b" {
			return job.Job{ID: id, Customer: "c", Phase: job.Waiting}
		}
	}
}

// Guards against a wait that ends only with its deadline, and with the state at its beginning,
// because the node does not follow the log of the job's zone.
func TestWaitForJobOfOtherZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(clock.System{})
		j := jobOfOtherZone()
		write(t, store, j)
		go func() {
			time.Sleep(5 * time.Second)
			j.Phase = job.Done
			write(t, store, j)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		from := time.Now()
		got, err := newSource(store).WaitJob(ctx, j.ID)
		if took := time.Since(from); err != nil || got.Phase != job.Done || took > 7*time.Second {
			t.Errorf("the job is %s (%v) after %v, want done within 2 s of its end after 5 s", got.Phase, err, took)
		}
	})
}

// Guards against lists and counts without the jobs of other zones, whose logs the node does not
// follow.
func TestListsHaveJobsOfOtherZones(t *testing.T) {
	store := memory.New(clock.System{})
	source := newSource(store)
	write(t, store, jobOfOtherZone())
	list, err := source.ListJobs(t.Context(), "c")
	if err != nil || len(list) != 1 {
		t.Errorf("%d jobs and %v, want one", len(list), err)
	}
	if n := newSource(store).Status(t.Context()).Jobs[job.Waiting]; n != 1 {
		t.Errorf("%d jobs wait, want one", n)
	}
	store.SetInjector(func(string, string) memory.Fault { return memory.FaultDown })
	if _, err := source.ListJobs(t.Context(), "c"); err == nil {
		t.Error("a list without the present jobs of another zone was returned")
	}
	if n := source.Status(t.Context()).Jobs[job.Waiting]; n != 1 {
		t.Errorf("%d jobs wait as last read, want one", n)
	}
}
