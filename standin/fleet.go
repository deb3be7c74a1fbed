package standin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the fleet of simulated instances.

// DefaultServiceTime is the mean time that an instance takes to run a request.
const DefaultServiceTime = 20 * time.Millisecond

// DefaultRebootTime is how long a reboot takes.
const DefaultRebootTime = 2 * time.Second

// rackSize is how many instances share a rack.
const rackSize = 4

// A Fleet is a set of simulated instances. It is safe for concurrent use.
type Fleet struct {
	clock       pointport.Clock
	zones       []pointport.ZoneID
	perZone     int
	slots       int
	serviceTime time.Duration
	rebootTime  time.Duration
	shape       pointport.Shape
	listLag     time.Duration

	mu        sync.Mutex
	instances map[pointport.InstanceID]*Instance
	ids       []pointport.InstanceID
	rebooting map[pointport.InstanceID]bool
	tasks     map[pointport.TaskID]*pointport.Task
	starts    map[pointport.TaskID]int
	listed    []pointport.Instance
	listedAt  time.Time
}

var (
	_ pointport.Fleet      = (*Fleet)(nil)
	_ pointport.Rebooter   = (*Fleet)(nil)
	_ pointport.TaskRunner = (*Fleet)(nil)
)

// A FleetOption configures a Fleet.
type FleetOption func(*Fleet)

// WithZones sets the availability zones and the number of instances in each.
func WithZones(perZone int, zones ...pointport.ZoneID) FleetOption {
	return func(f *Fleet) { f.perZone, f.zones = perZone, zones }
}

// WithSlots sets how many requests an instance runs at once.
func WithSlots(n int) FleetOption { return func(f *Fleet) { f.slots = n } }

// WithServiceTime sets the mean time that an instance takes to run a request.
func WithServiceTime(d time.Duration) FleetOption { return func(f *Fleet) { f.serviceTime = d } }

// WithRebootTime sets how long a reboot takes.
func WithRebootTime(d time.Duration) FleetOption { return func(f *Fleet) { f.rebootTime = d } }

// WithListLag sets how old the list of instances may be.
func WithListLag(d time.Duration) FleetOption { return func(f *Fleet) { f.listLag = d } }

// NewFleet starts the instances. It returns an error if one cannot listen.
func NewFleet(clock pointport.Clock, options ...FleetOption) (*Fleet, error) {
	f := &Fleet{
		clock:       clock,
		zones:       []pointport.ZoneID{"zone-a", "zone-b"},
		perZone:     4,
		slots:       DefaultSlots,
		serviceTime: DefaultServiceTime,
		rebootTime:  DefaultRebootTime,
		shape:       pointport.Shape{CPUMilli: 16000, MemoryMiB: 32768},
		instances:   make(map[pointport.InstanceID]*Instance),
		rebooting:   make(map[pointport.InstanceID]bool),
		tasks:       make(map[pointport.TaskID]*pointport.Task),
		starts:      make(map[pointport.TaskID]int),
	}
	for _, o := range options {
		o(f)
	}
	for _, z := range f.zones {
		for n := range f.perZone {
			if err := f.add(z, n); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) add(zone pointport.ZoneID, n int) error {
	id := pointport.InstanceID(fmt.Sprintf("%s-%02d", zone, n))
	i := &Instance{
		fleet:       f,
		slots:       make(chan struct{}, f.slots),
		serviceTime: f.serviceTime,
		ran:         make(map[string]int),
		info: pointport.Instance{
			ID: id, Region: "region-1", Zone: zone,
			Rack:  fmt.Sprintf("%s-rack-%d", zone, n/rackSize),
			Shape: f.shape, Boots: 1,
		},
	}
	f.mu.Lock()
	f.instances[id] = i
	f.ids = append(f.ids, id)
	f.mu.Unlock()
	return i.listen()
}

// Close stops every instance.
func (f *Fleet) Close() {
	for _, i := range f.All() {
		i.Kill()
	}
}

// All returns the instances in the order of their creation.
func (f *Fleet) All() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*Instance, 0, len(f.ids))
	for _, id := range f.ids {
		all = append(all, f.instances[id])
	}
	return all
}

// Instance returns the instance with the given ID, or a pointport.NotFoundError.
func (f *Fleet) Instance(id pointport.InstanceID) (*Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.instances[id]
	if !ok {
		return nil, &pointport.NotFoundError{Kind: "instance", Name: string(id)}
	}
	return i, nil
}

// Runs returns how many times each key has run on all instances together.
func (f *Fleet) Runs() map[string]int {
	total := make(map[string]int)
	for _, i := range f.All() {
		for k, n := range i.Runs() {
			total[k] += n
		}
	}
	return total
}

// Instances returns the instances of zone, or all if zone is empty. The list may be as old as the
// fleet's list lag.
func (f *Fleet) Instances(_ context.Context, zone pointport.ZoneID) ([]pointport.Instance, error) {
	now := f.clock.Now()
	f.mu.Lock()
	stale := f.listed == nil || now.Sub(f.listedAt) >= f.listLag
	f.mu.Unlock()
	if stale {
		var list []pointport.Instance
		for _, i := range f.All() {
			list = append(list, i.Info())
		}
		f.mu.Lock()
		f.listed, f.listedAt = list, now
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]pointport.Instance, 0, len(f.listed))
	for _, i := range f.listed {
		if zone == "" || i.Zone == zone {
			out = append(out, i)
		}
	}
	return out, nil
}

// Drain marks an instance as leaving if its boot count is boots.
func (f *Fleet) Drain(_ context.Context, id pointport.InstanceID, boots int64) error {
	return f.changeState(id, boots, pointport.InstanceLive, pointport.InstanceLeaving)
}

// Restore marks a leaving instance as live if its boot count is boots.
func (f *Fleet) Restore(_ context.Context, id pointport.InstanceID, boots int64) error {
	return f.changeState(id, boots, pointport.InstanceLeaving, pointport.InstanceLive)
}

// changeState changes an instance's state from one to another if the instance is in the first and
// its boot count is boots.
func (f *Fleet) changeState(id pointport.InstanceID, boots int64, from, to pointport.InstanceState) error {
	i, err := f.Instance(id)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.info.Boots == boots && i.info.State == from {
		i.info.State = to
	}
	return nil
}

// Reboot restarts an instance in the background if its boot count is boots.
func (f *Fleet) Reboot(_ context.Context, id pointport.InstanceID, boots int64) error {
	i, err := f.Instance(id)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rebooting[id] {
		return nil
	}
	i.mu.Lock()
	bootCount := i.info.Boots
	i.mu.Unlock()
	if bootCount != boots {
		return nil
	}
	f.rebooting[id] = true
	i.interrupted.Add(i.inFlight.Load())
	i.Kill()
	back := f.clock.After(f.rebootTime)
	go func() {
		<-back
		f.mu.Lock()
		delete(f.rebooting, id)
		f.mu.Unlock()
		_ = i.Start()
	}()
	return nil
}

// StartTask starts a task unless a task with its ID was started or stopped before.
func (f *Fleet) StartTask(_ context.Context, task pointport.Task) error {
	i, err := f.Instance(task.Instance)
	if err != nil {
		return err
	}
	mode, _ := i.snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, seen := f.tasks[task.ID]; seen {
		return nil
	}
	task.State = pointport.TaskRunning
	f.starts[task.ID]++
	f.tasks[task.ID] = &task
	if mode == ModeFail {
		task.State = pointport.TaskFailed
		task.Result = "the instance fails everything"
		return nil
	}
	end := f.clock.After(task.Runtime)
	go func() {
		<-end
		f.finish(task.ID, pointport.TaskDone, "done on "+string(task.Instance))
	}()
	return nil
}

func (f *Fleet) finish(id pointport.TaskID, state pointport.TaskState, result string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.tasks[id]; t.State == pointport.TaskRunning {
		t.State, t.Result = state, result
	}
}

// Tasks returns every task of zone, or of all if zone is empty, sorted by ID.
func (f *Fleet) Tasks(_ context.Context, zone pointport.ZoneID) ([]pointport.Task, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []pointport.Task
	for _, t := range f.tasks {
		i, ok := f.instances[t.Instance]
		if ok && (zone == "" || i.info.Zone == zone) {
			list = append(list, *t)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list, nil
}

// StopTask stops a running task. A task that has not started yet will never start.
func (f *Fleet) StopTask(_ context.Context, instance pointport.InstanceID, id pointport.TaskID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, seen := f.tasks[id]
	if !seen {
		f.tasks[id] = &pointport.Task{ID: id, Instance: instance, State: pointport.TaskStopped, Result: "stopped before it started"}
		return nil
	}
	if t.State == pointport.TaskRunning {
		t.State, t.Result = pointport.TaskStopped, "stopped"
	}
	return nil
}

// Starts returns how many times each task was started.
func (f *Fleet) Starts() map[pointport.TaskID]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := make(map[pointport.TaskID]int, len(f.starts))
	for id, n := range f.starts {
		starts[id] = n
	}
	return starts
}

func (f *Fleet) runningTasksOn(id pointport.InstanceID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var n int64
	for _, t := range f.tasks {
		if t.Instance == id && t.State == pointport.TaskRunning {
			n++
		}
	}
	return n
}
