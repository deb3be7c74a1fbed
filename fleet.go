package pointport

import (
	"context"
	"fmt"
	"time"
)

// This file defines the instances and the platform's view of them.

// An InstanceID names an instance for as long as it lives.
type InstanceID string

// A ZoneID names an availability zone.
type ZoneID string

// An InstanceState is what the platform's list says of an instance. The list
// lags behind reality, so a state is a hint and never a proof.
type InstanceState string

// The states that the platform's list knows.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceDown    InstanceState = "down"
)

// A Shape is the size of an instance.
type Shape struct {
	CPUMilli     int64 `json:"cpuMilli"`     // processors, in thousandths
	MemoryMiB    int64 `json:"memoryMiB"`    // memory, in mebibytes
	Accelerators int64 `json:"accelerators"` // accelerators, whole
}

// Fits reports whether a demand of need can be met by s.
func (s Shape) Fits(need Shape) bool {
	return need.CPUMilli <= s.CPUMilli &&
		need.MemoryMiB <= s.MemoryMiB &&
		need.Accelerators <= s.Accelerators
}

// Plus returns the sum of both shapes.
func (s Shape) Plus(t Shape) Shape {
	return Shape{s.CPUMilli + t.CPUMilli, s.MemoryMiB + t.MemoryMiB, s.Accelerators + t.Accelerators}
}

// Minus returns s less t.
func (s Shape) Minus(t Shape) Shape {
	return Shape{s.CPUMilli - t.CPUMilli, s.MemoryMiB - t.MemoryMiB, s.Accelerators - t.Accelerators}
}

// Times returns s so many times over.
func (s Shape) Times(n int) Shape {
	k := int64(n)
	return Shape{s.CPUMilli * k, s.MemoryMiB * k, s.Accelerators * k}
}

// An Instance is one line of the platform's list. Its fields are exported
// because a codec reads and writes them.
type Instance struct {
	ID      InstanceID    `json:"id"`
	Address string        `json:"address"` // host:port that serves requests
	Region  string        `json:"region"`
	Zone    ZoneID        `json:"zone"`
	Rack    string        `json:"rack"`
	Shape   Shape         `json:"shape"`
	State   InstanceState `json:"state"`
	// Boots counts the starts of the instance. A reboot has happened once it
	// is higher than before.
	Boots int64 `json:"boots"`
	// InFlight is the number of requests and tasks that the instance was
	// running when it last reported, including those of callers that pointport
	// does not know of.
	InFlight int64 `json:"inFlight"`
	// Reported is when the instance last reported to the platform.
	Reported time.Time `json:"reported"`
}

// A Fleet lists instances.
type Fleet interface {
	// Instances returns the platform's list for one availability zone, or for
	// all of them if zone is empty.
	Instances(ctx context.Context, zone ZoneID) ([]Instance, error)
}

// A Rebooter is a Fleet that can take an instance out of service and restart
// it. Every call is fenced by the boot count that its caller knows: it does
// nothing once the instance has booted again, so a late call does no harm.
type Rebooter interface {
	// Drain tells the platform that the instance is leaving, if its boot count
	// is still boots.
	Drain(ctx context.Context, id InstanceID, boots int64) error

	// Restore takes a Drain back, if the boot count is still boots.
	Restore(ctx context.Context, id InstanceID, boots int64) error

	// Reboot restarts the instance if its boot count is still boots.
	Reboot(ctx context.Context, id InstanceID, boots int64) error
}

// A TaskID names one run of a job. It is fixed before the run starts.
type TaskID string

// A TaskState is what an instance says of a task.
type TaskState string

// The states of a task on its instance.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
)

// A Task is a run of a job on an instance. Its fields are exported because a
// codec reads and writes them.
type Task struct {
	ID       TaskID        `json:"id"`
	Instance InstanceID    `json:"instance"`
	Kind     string        `json:"kind"`
	Need     Shape         `json:"need"`
	Runtime  time.Duration `json:"runtime"` // declared, in nanoseconds
	Lease    time.Duration `json:"lease"`   // how long it may run unrenewed
	State    TaskState     `json:"state"`
	Result   string        `json:"result"`
}

// A TaskRunner runs tasks on instances.
type TaskRunner interface {
	// StartTask starts a task under its lease. Starting an ID that the
	// instance has already seen changes nothing.
	StartTask(ctx context.Context, task Task) error

	// Tasks returns what the instances of zone say of their tasks, with a lag.
	Tasks(ctx context.Context, zone ZoneID) ([]Task, error)

	// StopTask stops a task. Stopping an ID that the instance has not seen
	// keeps that ID from ever starting there.
	StopTask(ctx context.Context, instance InstanceID, id TaskID) error
}

// A NotFoundError says that something that a caller named does not exist.
type NotFoundError struct {
	Kind string // what was looked for, such as "instance"
	Name string // its name
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }
