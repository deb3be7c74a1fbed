package placer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/command"
	"github.com/pointport/pointport/config"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/job"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/placer"
)

// A fakeRunner runs tasks like the platform: each ID at most once on an instance.
type fakeRunner struct {
	clock  *clock.Fake
	tasks  map[pointport.TaskID]*pointport.Task
	ends   map[pointport.TaskID]time.Time
	starts map[string]int                // by job
	fail   map[pointport.InstanceID]bool // instances on which every task fails
	lost   func() bool                   // whether an answer is lost after the call took effect
	gone   map[pointport.InstanceID]bool // instances whose tasks are not listed
}

var errLost = errors.New("the answer was lost")

func newFakeRunner(c *clock.Fake) *fakeRunner {
	return &fakeRunner{
		clock: c, tasks: map[pointport.TaskID]*pointport.Task{}, ends: map[pointport.TaskID]time.Time{},
		starts: map[string]int{}, fail: map[pointport.InstanceID]bool{}, gone: map[pointport.InstanceID]bool{},
		lost: func() bool { return false },
	}
}

func (f *fakeRunner) answer(op string) error {
	if f.lost() {
		return &pointport.UnavailableError{Op: op, Ambiguous: true, Err: errLost}
	}
	return nil
}

func (f *fakeRunner) StartTask(_ context.Context, task pointport.Task) error {
	if _, seen := f.tasks[task.ID]; !seen {
		task.State = pointport.TaskRunning
		f.tasks[task.ID] = &task
		f.ends[task.ID] = f.clock.Now().Add(task.Runtime)
		f.starts[string(task.ID)[:32]]++
	}
	return f.answer("start")
}

func (f *fakeRunner) Tasks(context.Context, pointport.ZoneID) ([]pointport.Task, error) {
	var out []pointport.Task
	for id, t := range f.tasks {
		if t.State == pointport.TaskRunning && !f.clock.Now().Before(f.ends[id]) {
			t.State, t.Result = pointport.TaskDone, "result"
			if f.fail[t.Instance] {
				t.State, t.Result = pointport.TaskFailed, "fails everything"
			}
		}
		if !f.gone[t.Instance] {
			out = append(out, *t)
		}
	}
	return out, nil
}

func (f *fakeRunner) StopTask(_ context.Context, instance pointport.InstanceID, id pointport.TaskID) error {
	if t, seen := f.tasks[id]; !seen {
		f.tasks[id] = &pointport.Task{ID: id, Instance: instance, State: pointport.TaskStopped}
	} else if t.State == pointport.TaskRunning {
		t.State = pointport.TaskStopped
	}
	return f.answer("stop")
}

// alwaysHeld is an Election that this process has won.
type alwaysHeld struct{}

func (alwaysHeld) Held() bool { return true }

// A fixture is a zone with three instances and a log of jobs.
type fixture struct {
	clock  *clock.Fake
	store  *memory.Store
	runner *fakeRunner
	assign *assign.State
	config *config.State
}

func newFixture(t fataler) *fixture {
	c := clock.NewFake(time.Unix(1_800_000_000, 0))
	fx := &fixture{clock: c, store: memory.New(c), runner: newFakeRunner(c)}
	objects, err := config.Parse("test", []byte("kind: Template\nname: proof\npool: {size: 3}\n"))
	if err != nil {
		t.Fatal(err)
	}
	if fx.config, err = config.NewState().Apply(config.Change{ID: "c", Version: 1, Object: &objects[0]}); err != nil {
		t.Fatal(err)
	}
	change := assign.Change{ID: "a", Version: 1}
	for n := range 3 {
		m := assign.Member{ID: pointport.InstanceID(fmt.Sprint("i", n)), Pool: "proof", Phase: assign.Serving, Shape: pointport.Shape{CPUMilli: 2000, MemoryMiB: 1000}}
		change.Steps = append(change.Steps, assign.Step{Instance: m.ID, After: &m})
	}
	if fx.assign, err = assign.NewState().Apply(change); err != nil {
		t.Fatal(err)
	}
	return fx
}

type fataler interface{ Fatal(args ...any) }

func (fx *fixture) log() *placer.JobLog {
	return changelog.New[*job.State, job.Change](fx.store, fx.clock, placer.LogName("zone-a"), job.NewState())
}

// placer returns a new placer with its own view of the log, as after a restart.
func (fx *fixture) placer() (*placer.Placer, *placer.JobLog) { return fx.placerWith(fx.runner) }

// placerWith returns a new placer whose tasks are run by runner.
func (fx *fixture) placerWith(runner pointport.TaskRunner) (*placer.Placer, *placer.JobLog) {
	log := fx.log()
	sources := placer.Sources{Config: func() *config.State { return fx.config }, Assign: func() *assign.State { return fx.assign }}
	return placer.New(fx.clock, "zone-a", runner, sources, log, alwaysHeld{}), log
}

func (fx *fixture) submit(key string, cpu int64, billed bool) (job.Job, error) {
	return command.Submit(context.Background(), fx.log(), fx.clock, command.Submission{
		Key: key, Customer: "sahab", Kind: "proof", Service: "proof", Billed: billed,
		Need: pointport.Shape{CPUMilli: cpu, MemoryMiB: 100}, Runtime: config.NewDuration(5 * time.Second),
	})
}

// TestBilledJobStartsOnce guards against a billed job that starts twice, and
// against a job that neither ends nor has a reason for waiting. Two placers work
// on the same zone with stale state and after restarts, while jobs are cancelled,
// instances fail or disappear, and answers of the store and of the instances are
// lost.
func TestBilledJobStartsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fx := newFixture(t)
		type worker struct {
			placer *placer.Placer
			log    *placer.JobLog
		}
		workers := make([]worker, 2)
		for n := range workers {
			workers[n].placer, workers[n].log = fx.placer()
		}
		jobs := make(map[string]bool)
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			fx.store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
			fx.runner.lost = func() bool { return false }
			w := &workers[rapid.IntRange(0, 1).Draw(t, "worker")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				j, err := fx.submit(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), 1000, rapid.Bool().Draw(t, "billed"))
				if err == nil {
					jobs[j.ID] = j.Billed
				}
			case 2:
				for id := range jobs {
					_, _ = command.Cancel(context.Background(), fx.log(), fx.clock, "ana", id)
					break
				}
			case 3:
				w.placer, w.log = fx.placer()
			case 4:
				i := pointport.InstanceID(fmt.Sprint("i", n%3))
				fx.runner.fail[i] = !fx.runner.fail[i]
			case 5:
				i := pointport.InstanceID(fmt.Sprint("i", n%3))
				fx.runner.gone[i] = !fx.runner.gone[i]
			default:
				faults := rapid.SliceOfN(rapid.SampledFrom([]memory.Fault{
					memory.FaultNone, memory.FaultNone, memory.FaultDown, memory.FaultLostAnswer, memory.FaultLostCall,
				}), 0, 5).Draw(t, "faults")
				lost := rapid.Bool().Draw(t, "lost")
				fx.runner.lost = func() bool { return lost }
				fx.store.SetInjector(func(string, string) memory.Fault {
					if len(faults) == 0 {
						return memory.FaultNone
					}
					f := faults[0]
					faults = faults[1:]
					return f
				})
				// Without a refresh, the placer decides on the state that it last read.
				if rapid.Bool().Draw(t, "read") {
					_ = w.log.Refresh(context.Background())
				}
				_ = w.placer.Round(context.Background())
			}
			fx.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			for id, billed := range jobs {
				if n := fx.runner.starts[id]; billed && n > 1 {
					t.Fatalf("billed job %s started %d times", id, n)
				}
			}
		}
		fx.store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
		fx.runner.lost = func() bool { return false }
		checkEveryJobSettles(t, fx)
	})
}

// checkEveryJobSettles runs a placer without faults and then checks that every
// job has ended or has a reason for waiting.
func checkEveryJobSettles(t *rapid.T, fx *fixture) {
	p, log := fx.placer()
	for range 100 {
		if err := log.Refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
		if err := p.Round(context.Background()); err != nil {
			t.Fatal(err)
		}
		fx.clock.Advance(10 * time.Second)
	}
	for _, j := range log.State().Jobs() {
		if !j.Phase.Ended() && j.Reason == "" {
			t.Fatalf("job %s has not ended and has no reason for waiting: %+v", j.ID, j)
		}
	}
}

// TestReasonOfJobThatFitsNoInstance checks the reason of a job that is larger than
// any instance. It must not look like a job that waits for free capacity.
func TestReasonOfJobThatFitsNoInstance(t *testing.T) {
	fx := newFixture(t)
	j, err := fx.submit("large", 64000, false)
	if err != nil {
		t.Fatal(err)
	}
	p, log := fx.placer()
	if err := log.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := p.Round(t.Context()); err != nil {
		t.Fatal(err)
	}
	got, _ := log.State().Job(j.ID)
	if got.Reason != "no instance of service proof is large enough for it" {
		t.Errorf("the job's reason is %q", got.Reason)
	}
}

// TestSubmitWithSameKey submits a key twice. The second submission must return
// the first job, or fail if it asks for something else.
func TestSubmitWithSameKey(t *testing.T) {
	fx := newFixture(t)
	first, err := fx.submit("tip", 1000, true)
	if err != nil {
		t.Fatal(err)
	}
	again, err := fx.submit("tip", 1000, true)
	if err != nil || again.ID != first.ID {
		t.Errorf("got %v, %v, want job %s", again.ID, err, first.ID)
	}
	var reused *command.KeyReusedError
	if _, err := fx.submit("tip", 2000, true); !errors.As(err, &reused) {
		t.Errorf("got %v, want a KeyReusedError", err)
	}
}
