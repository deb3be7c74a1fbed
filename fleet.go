package pointport

import (
	"context"
	"fmt"
	"time"
)

// This file defines instances and the platform's view of them.

// An InstanceID identifies an instance for its whole lifetime.
type InstanceID string

// A ZoneID names an availability zone.
type ZoneID string

// An InstanceState is the state of an instance in the platform's list. The list
// lags behind reality, so a state is a hint and never a proof.
type InstanceState string

// The states of instances in the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceDown    InstanceState = "down"
)

// A Shape is the size of an instance.
type Shape struct {
	CPUMilli     int64 `json:"cpuMilli"`     // in thousandths of a core
	MemoryMiB    int64 `json:"memoryMiB"`    // in mebibytes
	Accelerators int64 `json:"accelerators"` // whole accelerators
}

// Fits reports whether a need fits into s.
func (s Shape) Fits(need Shape) bool {
	return need.CPUMilli <= s.CPUMilli &&
		need.MemoryMiB <= s.MemoryMiB &&
		need.Accelerators <= s.Accelerators
}

// Plus returns the sum of both shapes.
func (s Shape) Plus(t Shape) Shape {
	return Shape{s.CPUMilli + t.CPUMilli, s.MemoryMiB + t.MemoryMiB, s.Accelerators + t.Accelerators}
}

// Minus returns the difference s - t. It may be negative.
func (s Shape) Minus(t Shape) Shape {
	return Shape{s.CPUMilli - t.CPUMilli, s.MemoryMiB - t.MemoryMiB, s.Accelerators - t.Accelerators}
}

// Times returns s multiplied by n.
func (s Shape) Times(n int) Shape {
	k := int64(n)
	return Shape{s.CPUMilli * k, s.MemoryMiB * k, s.Accelerators * k}
}

// An Instance is an entry of the platform's list of instances. Its fields are
// exported for encoding.
type Instance struct {
	ID      InstanceID    `json:"id"`
	Address string        `json:"address"` // host:port at which it serves requests
	Region  string        `json:"region"`
	Zone    ZoneID        `json:"zone"`
	Rack    string        `json:"rack"`
	Shape   Shape         `json:"shape"`
	State   InstanceState `json:"state"`
	// Boots counts the starts of the instance. A higher count than before shows
	// that the instance has rebooted.
	Boots int64 `json:"boots"`
	// InFlight is the number of requests and tasks that the instance was
	// running when it last reported, including those from callers that bypass
	// pointport.
	InFlight int64 `json:"inFlight"`
	// Reported is when the instance last reported to the platform.
	Reported time.Time `json:"reported"`
}

// A Fleet lists instances.
type Fleet interface {
	// Instances returns the platform's list of the instances in one availability
	// zone, or in all of them if zone is empty.
	Instances(ctx context.Context, zone ZoneID) ([]Instance, error)
}

// A Rebooter is a Fleet that can take an instance out of service and restart
// it. Every call is fenced by the boot count that its caller has seen: it has no
// effect after the instance has booted again, so a late call does no harm.
type Rebooter interface {
	// Drain marks the instance as leaving on the platform, if its boot count is
	// still boots.
	Drain(ctx context.Context, id InstanceID, boots int64) error

	// Restore reverts a Drain, if the boot count is still boots.
	Restore(ctx context.Context, id InstanceID, boots int64) error

	// Reboot restarts the instance if its boot count is still boots.
	Reboot(ctx context.Context, id InstanceID, boots int64) error
}

// A TaskID identifies one run of a job. It is assigned before the run starts.
type TaskID string

// A TaskState is the state of a task as its instance reports it.
type TaskState string

// The states of a task on its instance.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
)

// A Task is a run of a job on an instance. Its fields are exported for
// encoding.
type Task struct {
	ID       TaskID        `json:"id"`
	Instance InstanceID    `json:"instance"`
	Kind     string        `json:"kind"`
	Need     Shape         `json:"need"`
	Runtime  time.Duration `json:"runtime"` // declared, in nanoseconds
	Lease    time.Duration `json:"lease"`   // how long it may run without a renewal, in nanoseconds
	State    TaskState     `json:"state"`
	Result   string        `json:"result"`
}

// A TaskRunner runs tasks on instances.
type TaskRunner interface {
	// StartTask starts a task under its lease. Starting an ID that the
	// instance has already seen changes nothing.
	StartTask(ctx context.Context, task Task) error

	// Tasks returns the tasks that the instances of zone report. The answer lags
	// behind reality.
	Tasks(ctx context.Context, zone ZoneID) ([]Task, error)

	// StopTask stops a task. If the instance has not seen the ID yet, that ID
	// will never start there.
	StopTask(ctx context.Context, instance InstanceID, id TaskID) error
}

// A NotFoundError reports that something that a caller named does not exist.
type NotFoundError struct {
	Kind string // the kind of object, such as "instance"
	Name string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }
