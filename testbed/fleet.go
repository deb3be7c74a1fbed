package testbed

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the fleet: its machines, what it watches over, and how it
// fails.

// A Machine is an instance as a machine.
type Machine struct {
	id       pointport.InstanceID
	pool     string
	zone     pointport.ZoneID
	rack     string
	capacity pointport.Shape
	// former is what it held before it last shrank, at shrunk.
	former   pointport.Shape
	shrunk   time.Time
	life     *incarnation        // nil while it is off
	last     pointport.Addressee // of its last life, empty before the first
	state    pointport.MachineState
	fails    bool    // fails all that it is given
	unwell   bool    // refuses what it is told to start or to stop, and does nothing
	unheard  bool    // what it answers may be lost
	rate     float64 // of the clocks of its lives
	draining time.Time
	holder   pointport.Holder
	ordered  time.Time
}

// A Fleet is the machines of a platform. It is safe for concurrent use.
type Fleet struct {
	clock    pointport.Clock
	work     WorkSource
	guards   bool
	spare    string
	gangTime time.Duration
	stopTime time.Duration
	moveTime time.Duration
	upkeep   time.Duration
	random   *rand.Rand
	// returning is in how many percent of its returns a machine comes back under the
	// addressee that it had.
	returning int
	// lingers is for how long the registration of a life stays after its machine was ordered
	// away or has crashed.
	lingers time.Duration
	// address returns where a machine's incarnations take orders.
	address func(pointport.InstanceID, pointport.IncarnationID) string

	mu       sync.Mutex
	machines map[pointport.InstanceID]*Machine
	lives    []*incarnation                       // all there were
	present  map[pointport.Addressee]*incarnation // the last of each addressee
	born     int
	changed  chan struct{}
	log      []Violation
	// done holds the tasks with an end that was acknowledged as done.
	done map[string]bool
	// ends holds, for each incarnation, the ends as done that are not acknowledged.
	ends map[*incarnation]map[int64]string
	// told holds since when the ends as done of tasks have been listed in an answer.
	told map[string]time.Time
	// listeners are told when registrations change.
	register func(pointport.Incarnation, bool)
	starts   map[string]int                   // by task
	maintain map[pointport.InstanceID][]int64 // the waves for which each was maintained
	away     map[pointport.InstanceID]int64   // the last of them
	bounds   map[int64]int                    // by wave
	taken    map[string]bool                  // serving tasks that were stopped and are not back at work
	crashes  map[string]int                   // by task, the instances that it has crashed
	chance   map[string]bool                  // tasks with a run on an instance that crashed by itself
	onward   map[string]int                   // by task, its starts after as many crashes as one may cause
	failed   map[string][]*failedEnd          // by task
	beyond   []startBeyond                    // starts after as many failed runs as a task may have
	// evacuated holds since when availability zones are to be left empty, startsIn how many
	// runs have begun in each.
	evacuated map[pointport.ZoneID]time.Time
	startsIn  map[pointport.ZoneID]int
}

// An Option changes a Fleet.
type Option func(*Fleet)

// WithWork sets what tasks do.
func WithWork(work WorkSource) Option { return func(f *Fleet) { f.work = work } }

// WithCapacityEnforcement sets whether instances refuse what does not fit.
func WithCapacityEnforcement(guards bool) Option { return func(f *Fleet) { f.guards = guards } }

// WithSparePool names the pool whose machines are off.
func WithSparePool(pool string) Option { return func(f *Fleet) { f.spare = pool } }

// WithAddresseeReuse sets in how many percent of its returns a machine comes back under the addressee
// that it had: its new life then knows nothing of before, and its clock and the numbers of its
// ends begin anew. With none, no two lives have one addressee, and that alone tells them apart.
func WithAddresseeReuse(percent int) Option { return func(f *Fleet) { f.returning = percent } }

// WithDeregistrationDelay sets for how long the registration of a life stays that ends without having said
// so, as one that goes only once heartbeats were missed.
func WithDeregistrationDelay(d time.Duration) Option { return func(f *Fleet) { f.lingers = d } }

// WithRegistrationObserver sets a function that is told of each registration, and of its end
// with false.
func WithRegistrationObserver(register func(pointport.Incarnation, bool)) Option {
	return func(f *Fleet) { f.register = register }
}

// WithAddresses sets where the incarnations of each machine take orders.
func WithAddresses(address func(pointport.InstanceID) string) Option {
	return func(f *Fleet) {
		f.address = func(id pointport.InstanceID, _ pointport.IncarnationID) string { return address(id) }
	}
}

// noAddress stands for an address where nobody calls by address.
func noAddress(_ pointport.InstanceID, life pointport.IncarnationID) string {
	return string(life) + ":1"
}

// The times of a fleet, as the users' platform has them.
const (
	DefaultGangTimeout     = 3 * time.Second
	DefaultStopTime        = 200 * time.Millisecond
	DefaultMoveTime        = 1500 * time.Millisecond
	DefaultMaintenanceTime = 2 * time.Second
	MaxHold                = 10 * time.Second
)

// New returns a fleet without machines.
func New(clock pointport.Clock, options ...Option) *Fleet {
	f := &Fleet{
		clock: clock, work: PayloadWork, guards: true,
		gangTime: DefaultGangTimeout, stopTime: DefaultStopTime, moveTime: DefaultMoveTime, upkeep: DefaultMaintenanceTime,
		random: rand.New(rand.NewPCG(1, 2)), address: noAddress,
		machines: make(map[pointport.InstanceID]*Machine), present: make(map[pointport.Addressee]*incarnation),
		changed: make(chan struct{}), done: make(map[string]bool), ends: make(map[*incarnation]map[int64]string), told: make(map[string]time.Time),
		register: func(pointport.Incarnation, bool) {}, starts: make(map[string]int),
		maintain: make(map[pointport.InstanceID][]int64), away: make(map[pointport.InstanceID]int64), bounds: make(map[int64]int),
		evacuated: make(map[pointport.ZoneID]time.Time), startsIn: make(map[pointport.ZoneID]int),
		taken: make(map[string]bool), crashes: make(map[string]int), chance: make(map[string]bool), onward: make(map[string]int), failed: make(map[string][]*failedEnd),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Add adds a machine to a pool.
func (f *Fleet) Add(id pointport.InstanceID, pool string, zone pointport.ZoneID, rack string, capacity pointport.Shape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &Machine{id: id, pool: pool, zone: zone, rack: rack, capacity: capacity, state: pointport.MachineUp, rate: 1}
	f.machines[id] = m
	f.boot(m)
}

// boot gives a machine a new incarnation, unless it is spare. The lock is held.
func (f *Fleet) boot(m *Machine) {
	m.state = pointport.MachineUp
	if m.pool == f.spare && f.spare != "" {
		return
	}
	f.born++
	i := &incarnation{
		fleet: f, id: f.identity(m), machine: m, born: f.clock.Now(), rate: m.rate,
		zero: f.zeroOf(),
		runs: make(map[string]*run), burned: make(map[string]int),
	}
	m.life, m.last, m.draining = i, i.id.Addressee(), time.Time{}
	f.lives = append(f.lives, i)
	f.present[m.last] = i
	f.register(f.registration(m), true)
	f.wake()
}

// identity returns the identity of a machine's next life. Where machines come back under the
// addressee that they had, it tells when the life began by a clock that may be set back. The
// lock is held.
func (f *Fleet) identity(m *Machine) pointport.IncarnationID {
	const whole = 100 // percent
	to := pointport.Addressee(fmt.Sprintf("i-%04d", f.born))
	if f.returning == 0 {
		return pointport.IncarnationID(to)
	}
	if m.last != "" && f.random.IntN(whole) < f.returning {
		to = m.last
	}
	// The number of the life keeps two from beginning at one time.
	born := f.clock.Now().Truncate(time.Minute).Add(time.Duration(f.random.IntN(3)-1)*time.Hour + time.Duration(f.born)*time.Millisecond)
	return pointport.NewIncarnationID(to, born)
}

// zeroOf returns what the clock of a new life shows at its start: where machines keep their
// identity, less than that of the life before, or more. The lock is held.
func (f *Fleet) zeroOf() pointport.InstanceTime {
	if f.returning == 0 {
		return pointport.InstanceTime(time.Duration(f.born) * time.Minute)
	}
	return pointport.InstanceTime(time.Duration(f.random.IntN(60)) * time.Minute)
}

func (f *Fleet) registration(m *Machine) pointport.Incarnation {
	options := []pointport.IncarnationOption{
		pointport.WithInstance(m.id), pointport.WithZone(m.zone), pointport.WithRack(m.rack),
		pointport.WithLabels([]string{"a", m.rack}), pointport.WithCapacity(m.capacity),
	}
	if !m.draining.IsZero() {
		options = append(options, pointport.WithDraining(m.draining.Sub(f.clock.Now())))
	}
	return pointport.NewIncarnation(m.life.id, m.pool, f.address(m.id, m.life.id), options...)
}

// end ends a machine's present life. The lock is held.
func (f *Fleet) end(m *Machine) {
	if m.life == nil {
		return
	}
	m.life.advance(f.clock.Now())
	m.life.over = true
	for _, r := range m.life.runs {
		f.breakGang(r)
	}
	f.unregister(m)
	m.life = nil
	f.wake()
}

// unregister ends the registration of a machine's present life, once heartbeats were missed if
// it has not announced its end, unless a later life has taken over the addressee by then. The
// lock is held.
func (f *Fleet) unregister(m *Machine) {
	if f.lingers == 0 || !m.draining.IsZero() {
		f.register(f.registration(m), false)
		return
	}
	life, gone, wake := m.life, f.registration(m), f.clock.After(f.lingers)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.present[life.id.Addressee()] == life {
			f.register(gone, false)
		}
	}()
}

// Crash ends a machine's life; a new one begins after a while, or never if down
// is zero.
func (f *Fleet) Crash(id pointport.InstanceID, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil && m.life != nil {
		for task := range m.life.runs {
			f.chance[task] = true
		}
		f.crash(m, down)
	}
}

// LostRunToInjectedCrash reports whether a run of a job's tasks has died with an instance that no task
// has crashed.
func (f *Fleet) LostRunToInjectedCrash(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task := range f.chance {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// crash ends a machine's life as Crash does. The lock is held.
func (f *Fleet) crash(m *Machine, down time.Duration) {
	f.end(m)
	m.state = pointport.MachineDown
	if down > 0 {
		f.bootLater(m, down)
	}
}

func (f *Fleet) bootLater(m *Machine, d time.Duration) {
	wake := f.clock.After(d)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.life == nil {
			f.boot(m)
		}
	}()
}

// Drain has a machine say that it leaves, and leave after a while.
func (f *Fleet) Drain(id pointport.InstanceID, left, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil || m.life == nil || !m.draining.IsZero() {
		return
	}
	m.draining = f.clock.Now().Add(left)
	f.register(f.registration(m), true)
	life, wake := m.life, f.clock.After(left)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.life == life {
			f.end(m)
			m.state = pointport.MachineDown
			f.bootLater(m, down)
		}
	}()
}

// SetFailing makes a machine fail all that it is given, or heal.
func (f *Fleet) SetFailing(id pointport.InstanceID, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil {
		m.fails = fails
	}
}

// SetUnhealthy makes a machine refuse what it is told to start or to stop, or heal. It does
// nothing of what it refuses: what it had stopped or started goes on as before.
func (f *Fleet) SetUnhealthy(id pointport.InstanceID, unwell bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil {
		m.unwell = unwell
	}
}

// SetCapacity changes what a machine holds while it runs, which its registration tells.
func (f *Fleet) SetCapacity(id pointport.InstanceID, capacity pointport.Shape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil {
		return
	}
	m.former, m.shrunk, m.capacity = m.capacity, f.clock.Now(), capacity
	if m.life != nil {
		f.register(f.registration(m), true)
	}
}

// IDs returns the machines, sorted.
func (f *Fleet) IDs() []pointport.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]pointport.InstanceID, 0, len(f.machines))
	for id := range f.machines {
		out = append(out, id)
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}

// Incarnation returns a machine's present life, empty if it has none.
func (f *Fleet) Incarnation(id pointport.InstanceID) pointport.IncarnationID {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil || m.life == nil {
		return ""
	}
	return m.life.id
}

// Violations returns what whoever gave orders has done wrong.
func (f *Fleet) Violations() []Violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(f.startsBeyond(), f.log...)
}

// Starts returns how many runs have begun, of all tasks.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.starts {
		n += s
	}
	return n
}

// Started returns how many runs of a task have begun.
func (f *Fleet) Started(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// Done reports whether a run of a task has ended well.
func (f *Fleet) Done(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task] || f.listedDone(task)
}

// RunsOf returns how many runs of a job's tasks there are now.
func (f *Fleet) RunsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := f.clock.Now(), 0
	for _, i := range f.lives {
		i.advance(now)
		if i.over {
			continue
		}
		for task := range i.runs {
			if strings.HasPrefix(task, job+".") {
				n++
			}
		}
	}
	return n
}

// Running returns how many runs there are.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := f.clock.Now(), 0
	for _, i := range f.lives {
		i.advance(now)
		if !i.over {
			n += len(i.runs)
		}
	}
	return n
}

// RunningTasks returns the names of the tasks that run, one for each run.
func (f *Fleet) RunningTasks() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, i := range f.lives {
		i.advance(f.clock.Now())
		if i.over {
			continue
		}
		for task := range i.runs {
			out = append(out, task)
		}
	}
	return out
}

// PoolSize returns how many machines of a pool are on.
func (f *Fleet) PoolSize(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.machines {
		if m.pool == pool && m.life != nil {
			n++
		}
	}
	return n
}

// BusyMachines returns the machines on which something runs, sorted.
func (f *Fleet) BusyMachines() []pointport.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []pointport.InstanceID
	for id, m := range f.machines {
		if m.life == nil {
			continue
		}
		m.life.advance(f.clock.Now())
		if len(m.life.runs) > 0 {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}

func (f *Fleet) violate(now time.Time, task, what string) {
	f.log = append(f.log, Violation{At: now, Task: task, What: what})
}

func (f *Fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// checkStart notes what is wrong with a start. The lock is held.
func (f *Fleet) checkStart(now time.Time, at *incarnation, r *run, o pointport.StartOrder) {
	f.starts[r.Task]++
	f.startsIn[at.machine.zone]++
	f.checkCrashes(now, r)
	f.checkAttempts(now, r)
	if f.done[r.Task] && !r.work.Copies {
		f.violate(now, r.Task, "starts again after its owner heard that it is done")
	}
	for _, before := range r.work.After {
		if !f.done[before] && !f.listedDone(before) {
			f.violate(now, r.Task, "starts before "+before+" is done")
		}
	}
	if r.work.Copies {
		return
	}
	for _, i := range f.lives {
		if i == at || i.over {
			continue
		}
		i.advance(now)
		if other := i.runs[r.Task]; other != nil {
			f.violate(now, r.Task, fmt.Sprintf("runs as %d on %s and as %d on %s at once", other.Run, i.id, o.Run, at.id))
		}
	}
}

// checkStop notes whether a serving task that is at work is taken away while as
// many others of its step are away by order as may be. The lock is held.
func (f *Fleet) checkStop(now time.Time, at *incarnation, r *run) {
	if r.work.MayMiss == 0 || r.progress(now) < wholeProgress || !at.machine.draining.IsZero() {
		return
	}
	step := gangName(r.Task)
	for _, i := range f.lives {
		if i.over {
			continue
		}
		for _, o := range i.runs {
			if o.progress(now) >= wholeProgress && o.stops.IsZero() {
				delete(f.taken, o.Task) // back at work
			}
		}
	}
	away := 0
	for task := range f.taken {
		if task != r.Task && gangName(task) == step {
			away++
		}
	}
	if away >= r.work.MayMiss {
		f.violate(now, r.Task, fmt.Sprintf("is stopped beside %d of its step that are away; %d may be", away, r.work.MayMiss))
	}
	f.taken[r.Task] = true
}

// listedDone reports whether a task has ended well and the end is listed, or was
// when its incarnation ended. The lock is held.
func (f *Fleet) listedDone(task string) bool {
	for _, ends := range f.ends {
		for _, t := range ends {
			if t == task {
				return true
			}
		}
	}
	return false
}

// noteDone notes that a run has ended well. The lock is held.
func (f *Fleet) noteDone(t pointport.TaskRun, at *incarnation) {
	if f.ends[at] == nil {
		f.ends[at] = make(map[int64]string)
	}
	f.ends[at][at.number] = t.Task
}

// noteAcknowledged notes the ends that were acknowledged. The lock is held.
func (f *Fleet) noteAcknowledged(at *incarnation, upTo int64) {
	f.noteFailuresTold(at, upTo)
	for number, task := range f.ends[at] {
		if number <= upTo {
			f.done[task] = true
			delete(f.ends[at], number)
		}
	}
}

// noteTold notes the ends that an answer lists. The lock is held.
func (f *Fleet) noteTold(now time.Time, ends []pointport.TaskEnd) {
	for _, e := range ends {
		if _, ok := f.told[e.Task]; !ok && e.Kind == pointport.EndDone {
			f.told[e.Task] = now
		}
	}
}

// tellTime is how long an owner may take to hear what an answer lists.
const tellTime = 100 * time.Millisecond

// noteDestroyed notes that a life is ended by an order although it lists ends that its
// owner has heard of: nobody else can hear of them any more, so they stand. The lock is
// held.
func (f *Fleet) noteDestroyed(now time.Time, life *incarnation) {
	for _, task := range f.ends[life] {
		if told, ok := f.told[task]; ok && now.Sub(told) >= tellTime {
			f.done[task] = true
		}
	}
}

// gather lets a gang work once all of it is there. The lock is held.
func (f *Fleet) gather(now time.Time, r *run) {
	if r.work.Gang <= 1 {
		return
	}
	members := f.members(r)
	if len(members) < r.work.Gang {
		return
	}
	for _, m := range members {
		m.run.began = now
	}
}

// A member is a run of a gang and where it is.
type member struct {
	run *run
	at  *incarnation
}

// members returns the runs of a run's gang. The lock is held.
func (f *Fleet) members(r *run) []member {
	var out []member
	for _, i := range f.lives {
		if i.over {
			continue
		}
		for _, o := range i.runs {
			if gangName(o.Task) == gangName(r.Task) && o.Run == r.Run {
				out = append(out, member{o, i})
			}
		}
	}
	return out
}

// gangName returns the name of a task without its index.
func gangName(task string) string {
	for n := len(task) - 1; n >= 0; n-- {
		if task[n] == '.' {
			return task[:n]
		}
	}
	return task
}

// breakGang ends the other members of a gang of which one has ended otherwise
// than well. The lock is held.
func (f *Fleet) breakGang(r *run) {
	if r.work.Gang <= 1 {
		return
	}
	for _, m := range f.members(r) {
		if m.run != r {
			m.at.end(m.run, pointport.EndGangBroken)
		}
	}
}

// finishGang ends the other members of a gang of which one is done. The lock is
// held.
func (f *Fleet) finishGang(r *run) {
	if r.work.Gang <= 1 {
		return
	}
	for _, m := range f.members(r) {
		m.at.end(m.run, pointport.EndDone)
		f.noteDone(m.run.TaskRun, m.at)
	}
}
