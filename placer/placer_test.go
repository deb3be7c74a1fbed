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

// A fakeRunner runs tasks, each ID once on an instance, as the platform does.
type fakeRunner struct {
	clock  *clock.Fake
	tasks  map[pointport.TaskID]*pointport.Task
	ends   map[pointport.TaskID]time.Time
	starts map[string]int // by job
	fail   map[pointport.InstanceID]bool
	lost   func() bool // whether an answer is lost after the call took effect
	gone   map[pointport.InstanceID]bool
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

type always struct{}

func (always) Held() bool { return true }

// A grid is a zone with three instances and its jobs.
type grid struct {
	clock  *clock.Fake
	store  *memory.Store
	runner *fakeRunner
	assign *assign.State
	config *config.State
}

func newGrid(t fataler) *grid {
	c := clock.NewFake(time.Unix(1_800_000_000, 0))
	g := &grid{clock: c, store: memory.New(c), runner: newFakeRunner(c)}
	objects, err := config.Parse("test", []byte("kind: Template\nname: proof\npool: {size: 3}\n"))
	if err != nil {
		t.Fatal(err)
	}
	if g.config, err = config.NewState().Apply(config.Change{ID: "c", Version: 1, Object: &objects[0]}); err != nil {
		t.Fatal(err)
	}
	change := assign.Change{ID: "a", Version: 1}
	for n := range 3 {
		m := assign.Member{ID: pointport.InstanceID(fmt.Sprint("i", n)), Pool: "proof", Phase: assign.Serving, Shape: pointport.Shape{CPUMilli: 2000, MemoryMiB: 1000}}
		change.Steps = append(change.Steps, assign.Step{Instance: m.ID, After: &m})
	}
	if g.assign, err = assign.NewState().Apply(change); err != nil {
		t.Fatal(err)
	}
	return g
}

type fataler interface{ Fatal(args ...any) }

func (g *grid) log() *placer.JobLog {
	return changelog.New[*job.State, job.Change](g.store, g.clock, placer.LogName("zone-a"), job.NewState())
}

// placer returns a new placer that has read the log, as after a restart.
func (g *grid) placer() (*placer.Placer, *placer.JobLog) { return g.placerWith(g.runner) }

// placerWith returns one whose tasks are run by runner.
func (g *grid) placerWith(runner pointport.TaskRunner) (*placer.Placer, *placer.JobLog) {
	log := g.log()
	sources := placer.Sources{Config: func() *config.State { return g.config }, Assign: func() *assign.State { return g.assign }}
	return placer.New(g.clock, "zone-a", runner, sources, log, always{}), log
}

func (g *grid) submit(key string, cpu int64, billed bool) (job.Job, error) {
	return command.Submit(context.Background(), g.log(), g.clock, command.Submission{
		Key: key, Customer: "sahab", Kind: "proof", Service: "proof", Billed: billed,
		Need: pointport.Shape{CPUMilli: cpu, MemoryMiB: 100}, Runtime: config.NewDuration(5 * time.Second),
	})
}

// TestBilledJobStartsOnce lets two placers work, pause and restart, cancels come,
// instances fail and go, and answers of the store and of the instances be lost.
// A billed job starts at most once, and every job ends or says what it waits for.
func TestBilledJobStartsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGrid(t)
		type worker struct {
			placer *placer.Placer
			log    *placer.JobLog
		}
		workers := make([]worker, 2)
		for n := range workers {
			workers[n].placer, workers[n].log = g.placer()
		}
		jobs := make(map[string]bool)
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			g.store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
			g.runner.lost = func() bool { return false }
			w := &workers[rapid.IntRange(0, 1).Draw(t, "worker")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				j, err := g.submit(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), 1000, rapid.Bool().Draw(t, "billed"))
				if err == nil {
					jobs[j.ID] = j.Billed
				}
			case 2:
				for id := range jobs {
					_, _ = command.Cancel(context.Background(), g.log(), g.clock, "ana", id)
					break
				}
			case 3:
				w.placer, w.log = g.placer()
			case 4:
				i := pointport.InstanceID(fmt.Sprint("i", n%3))
				g.runner.fail[i] = !g.runner.fail[i]
			case 5:
				i := pointport.InstanceID(fmt.Sprint("i", n%3))
				g.runner.gone[i] = !g.runner.gone[i]
			default:
				faults := rapid.SliceOfN(rapid.SampledFrom([]memory.Fault{
					memory.FaultNone, memory.FaultNone, memory.FaultDown, memory.FaultLostAnswer, memory.FaultLostCall,
				}), 0, 5).Draw(t, "faults")
				lost := rapid.Bool().Draw(t, "lost")
				g.runner.lost = func() bool { return lost }
				g.store.SetInjector(func(string, string) memory.Fault {
					if len(faults) == 0 {
						return memory.FaultNone
					}
					f := faults[0]
					faults = faults[1:]
					return f
				})
				// A worker that does not read first decides on what it last knew.
				if rapid.Bool().Draw(t, "read") {
					_ = w.log.Refresh(context.Background())
				}
				_ = w.placer.Round(context.Background())
			}
			g.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			for id, billed := range jobs {
				if n := g.runner.starts[id]; billed && n > 1 {
					t.Fatalf("billed job %s started %d times", id, n)
				}
			}
		}
		g.store.SetInjector(func(string, string) memory.Fault { return memory.FaultNone })
		g.runner.lost = func() bool { return false }
		checkEnds(t, g)
	})
}

// checkEnds lets everything come to rest.
func checkEnds(t *rapid.T, g *grid) {
	p, log := g.placer()
	for range 100 {
		if err := log.Refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
		if err := p.Round(context.Background()); err != nil {
			t.Fatal(err)
		}
		g.clock.Advance(10 * time.Second)
	}
	for _, j := range log.State().Jobs() {
		if !j.Phase.Ended() && j.Reason == "" {
			t.Fatalf("job %s neither ended nor says what it waits for: %+v", j.ID, j)
		}
	}
}

// TestNeverFits says of a job that fits no instance that it never will.
func TestNeverFits(t *testing.T) {
	g := newGrid(t)
	j, err := g.submit("large", 64000, false)
	if err != nil {
		t.Fatal(err)
	}
	p, log := g.placer()
	if err := log.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := p.Round(t.Context()); err != nil {
		t.Fatal(err)
	}
	got, _ := log.State().Job(j.ID)
	if got.Reason != "no instance of service proof is large enough for it" {
		t.Errorf("the job says %q", got.Reason)
	}
}

// TestSameKey submits a key again: the same job, or a conflict if it asks for
// something else.
func TestSameKey(t *testing.T) {
	g := newGrid(t)
	first, err := g.submit("tip", 1000, true)
	if err != nil {
		t.Fatal(err)
	}
	again, err := g.submit("tip", 1000, true)
	if err != nil || again.ID != first.ID {
		t.Errorf("got %v, %v, want job %s", again.ID, err, first.ID)
	}
	var same *command.KeyReusedError
	if _, err := g.submit("tip", 2000, true); !errors.As(err, &same) {
		t.Errorf("got %v, want a SameKeyError", err)
	}
}
