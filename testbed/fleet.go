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

// This file defines the fleet: its machines, the checks of the orders that it receives, and its
// failures.

// A Machine is an instance across its incarnations, with its pool, its location and its injected
// faults.
type Machine struct {
	id       pointport.InstanceID
	pool     string
	zone     pointport.ZoneID
	rack     string
	capacity pointport.Shape
	// formerCapacity is the capacity before it was last changed, at resizedAt.
	formerCapacity   pointport.Shape
	resizedAt        time.Time
	current          *incarnation        // nil while the machine is off
	lastAddressee    pointport.Addressee // of its last incarnation, empty before the first
	state            pointport.MachineState
	failsRuns        bool    // every run fails
	unhealthy        bool    // refuses starts and stops without carrying them out
	answersMayBeLost bool    // answers may be lost on the way
	clockRate        float64 // of its incarnations' clocks, 1 being right
	drainsAt         time.Time
	lastHolder       pointport.Holder
	lastOrderAt      time.Time
}

// A Fleet is the set of machines of a platform. It is safe for concurrent use.
type Fleet struct {
	clock            pointport.Clock
	work             WorkSource
	enforcesCapacity bool
	sparePool        string
	gangTimeout      time.Duration
	stopTime         time.Duration
	moveTime         time.Duration
	upkeepTime       time.Duration
	random           *rand.Rand
	// reusePercent is the percentage of boots at which a machine keeps its previous addressee.
	reusePercent int
	// deregistrationDelay is how long an incarnation stays registered after its machine was
	// ordered away or has crashed.
	deregistrationDelay time.Duration
	// address returns the address at which an incarnation of a machine receives orders.
	address func(pointport.InstanceID, pointport.IncarnationID) string

	mu               sync.Mutex
	machines         map[pointport.InstanceID]*Machine
	incarnations     []*incarnation                       // every one so far
	byAddressee      map[pointport.Addressee]*incarnation // the latest one of each addressee
	incarnationCount int
	changed          chan struct{}
	violations       []Violation
	// done holds the tasks of which an end as done was acknowledged.
	done map[string]bool
	// unacknowledged holds, for each incarnation, the tasks that have ended as done by the number
	// of the end, until that is acknowledged.
	unacknowledged map[*incarnation]map[int64]string
	// listedSince holds when an answer first listed the end as done of a task.
	listedSince map[string]time.Time
	// onRegistration is called when an incarnation registers or changes its registration, with
	// true, and when the registration ends, with false.
	onRegistration      func(pointport.Incarnation, bool)
	starts              map[string]int                   // by task
	maintainedFor       map[pointport.InstanceID][]int64 // the waves for which each machine was maintained
	lastWave            map[pointport.InstanceID]int64   // the last of these waves
	waveBounds          map[int64]int                    // by wave, how many machines may be away at once
	stoppedServices     map[string]bool                  // serving tasks that were stopped and are not serving again yet
	crashes             map[string]int                   // by task, how many instances it has crashed
	lostToInjectedCrash map[string]bool                  // tasks that had a run on an instance when Crash was called for it
	startsAfterCrashes  map[string]int                   // by task, its starts after maxCrashes crashes
	failedEnds          map[string][]*failedEnd          // by task
	excessStarts        []excessStart                    // starts of tasks that have used up their failed runs
	// evacuatedSince holds when the evacuation of each evacuated availability zone began. startsIn
	// holds how many runs were started in each availability zone.
	evacuatedSince map[pointport.ZoneID]time.Time
	startsIn       map[pointport.ZoneID]int
}

// An Option configures a Fleet.
type Option func(*Fleet)

// WithWork sets what tasks do.
func WithWork(work WorkSource) Option { return func(f *Fleet) { f.work = work } }

// WithCapacityEnforcement sets whether instances refuse tasks that do not fit.
func WithCapacityEnforcement(enforced bool) Option {
	return func(f *Fleet) { f.enforcesCapacity = enforced }
}

// WithSparePool names the pool whose machines are off.
func WithSparePool(pool string) Option { return func(f *Fleet) { f.sparePool = pool } }

// WithAddresseeReuse sets the percentage of boots at which a machine keeps its previous addressee.
// The new incarnation has no state of the previous one, and its clock and the numbers of its ends
// start anew. With 0 percent no two incarnations share an addressee, so the addressee alone
// distinguishes them.
func WithAddresseeReuse(percent int) Option { return func(f *Fleet) { f.reusePercent = percent } }

// WithDeregistrationDelay sets how long the registration of an incarnation stays when the
// incarnation ends without having announced it, as on a platform that removes a registration only
// after missed heartbeats.
func WithDeregistrationDelay(d time.Duration) Option {
	return func(f *Fleet) { f.deregistrationDelay = d }
}

// WithRegistrationObserver sets a function that is called with true for each new or changed
// registration, and with false when a registration ends.
func WithRegistrationObserver(register func(pointport.Incarnation, bool)) Option {
	return func(f *Fleet) { f.onRegistration = register }
}

// WithAddresses sets the address at which the incarnations of each machine receive orders.
func WithAddresses(address func(pointport.InstanceID) string) Option {
	return func(f *Fleet) {
		f.address = func(id pointport.InstanceID, _ pointport.IncarnationID) string { return address(id) }
	}
}

// placeholderAddress returns an address for fleets that receive no orders over the network.
func placeholderAddress(_ pointport.InstanceID, id pointport.IncarnationID) string {
	return string(id) + ":1"
}

// The durations of a fleet's operations, as on the users' platform. MaxHold is the longest lease
// that an instance grants.
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
		clock: clock, work: PayloadWork, enforcesCapacity: true,
		gangTimeout: DefaultGangTimeout, stopTime: DefaultStopTime, moveTime: DefaultMoveTime, upkeepTime: DefaultMaintenanceTime,
		random: rand.New(rand.NewPCG(1, 2)), address: placeholderAddress,
		machines: make(map[pointport.InstanceID]*Machine), byAddressee: make(map[pointport.Addressee]*incarnation),
		changed: make(chan struct{}), done: make(map[string]bool), unacknowledged: make(map[*incarnation]map[int64]string), listedSince: make(map[string]time.Time),
		onRegistration: func(pointport.Incarnation, bool) {}, starts: make(map[string]int),
		maintainedFor: make(map[pointport.InstanceID][]int64), lastWave: make(map[pointport.InstanceID]int64), waveBounds: make(map[int64]int),
		evacuatedSince: make(map[pointport.ZoneID]time.Time), startsIn: make(map[pointport.ZoneID]int),
		stoppedServices: make(map[string]bool), crashes: make(map[string]int), lostToInjectedCrash: make(map[string]bool), startsAfterCrashes: make(map[string]int), failedEnds: make(map[string][]*failedEnd),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Add adds a machine to a pool and boots it, unless the pool is the spare one.
func (f *Fleet) Add(id pointport.InstanceID, pool string, zone pointport.ZoneID, rack string, capacity pointport.Shape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &Machine{id: id, pool: pool, zone: zone, rack: rack, capacity: capacity, state: pointport.MachineUp, clockRate: 1}
	f.machines[id] = m
	f.boot(m)
}

// boot gives a machine a new incarnation, unless it is in the spare pool. The lock is held.
func (f *Fleet) boot(m *Machine) {
	m.state = pointport.MachineUp
	if m.pool == f.sparePool && f.sparePool != "" {
		return
	}
	f.incarnationCount++
	i := &incarnation{
		fleet: f, id: f.nextIdentity(m), machine: m, clockSetAt: f.clock.Now(), rate: m.clockRate,
		clockOrigin: f.initialClock(),
		runs:        make(map[string]*run), ruledOut: make(map[string]int),
	}
	m.current, m.lastAddressee, m.drainsAt = i, i.id.Addressee(), time.Time{}
	f.incarnations = append(f.incarnations, i)
	f.byAddressee[m.lastAddressee] = i
	f.onRegistration(f.registration(m), true)
	f.notifyChange()
}

// nextIdentity returns the identity of a machine's next incarnation. Where machines reuse
// addressees, the identity includes when the incarnation began, by a wall clock that may be an
// hour ahead or behind. The lock is held.
func (f *Fleet) nextIdentity(m *Machine) pointport.IncarnationID {
	const allPercent = 100
	to := pointport.Addressee(fmt.Sprintf("i-%04d", f.incarnationCount))
	if f.reusePercent == 0 {
		return pointport.IncarnationID(to)
	}
	if m.lastAddressee != "" && f.random.IntN(allPercent) < f.reusePercent {
		to = m.lastAddressee
	}
	// The number of the incarnation makes the start times of any two differ.
	startedAt := f.clock.Now().Truncate(time.Minute).Add(time.Duration(f.random.IntN(3)-1)*time.Hour + time.Duration(f.incarnationCount)*time.Millisecond)
	return pointport.NewIncarnationID(to, startedAt)
}

// initialClock returns what the clock of a new incarnation shows at its start. Where machines
// reuse addressees, that may be less or more than the previous incarnation's clock showed. The
// lock is held.
func (f *Fleet) initialClock() pointport.InstanceTime {
	if f.reusePercent == 0 {
		return pointport.InstanceTime(time.Duration(f.incarnationCount) * time.Minute)
	}
	return pointport.InstanceTime(time.Duration(f.random.IntN(60)) * time.Minute)
}

// registration returns the registration of a machine's current incarnation. The lock is held.
func (f *Fleet) registration(m *Machine) pointport.Incarnation {
	options := []pointport.IncarnationOption{
		pointport.WithInstance(m.id), pointport.WithZone(m.zone), pointport.WithRack(m.rack),
		pointport.WithLabels([]string{"a", m.rack}), pointport.WithCapacity(m.capacity),
	}
	if !m.drainsAt.IsZero() {
		options = append(options, pointport.WithDraining(m.drainsAt.Sub(f.clock.Now())))
	}
	return pointport.NewIncarnation(m.current.id, m.pool, f.address(m.id, m.current.id), options...)
}

// endIncarnation ends a machine's current incarnation. The lock is held.
func (f *Fleet) endIncarnation(m *Machine) {
	if m.current == nil {
		return
	}
	m.current.advance(f.clock.Now())
	m.current.gone = true
	for _, r := range m.current.runs {
		f.breakGang(r)
	}
	f.unregister(m)
	m.current = nil
	f.notifyChange()
}

// unregister ends the registration of a machine's current incarnation: at once if the incarnation
// has announced its end by draining, otherwise after deregistrationDelay, as for missed
// heartbeats. It then leaves a registration that a later incarnation has made under the same
// addressee. The lock is held.
func (f *Fleet) unregister(m *Machine) {
	if f.deregistrationDelay == 0 || !m.drainsAt.IsZero() {
		f.onRegistration(f.registration(m), false)
		return
	}
	inc, registration, wake := m.current, f.registration(m), f.clock.After(f.deregistrationDelay)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.byAddressee[inc.id.Addressee()] == inc {
			f.onRegistration(registration, false)
		}
	}()
}

// Crash ends a machine's current incarnation. A new one begins after down, or never if down is
// zero.
func (f *Fleet) Crash(id pointport.InstanceID, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil && m.current != nil {
		for task := range m.current.runs {
			f.lostToInjectedCrash[task] = true
		}
		f.crash(m, down)
	}
}

// LostRunToInjectedCrash reports whether a task of a job was running on an instance when Crash was
// called for it. Crashes that tasks cause do not count.
func (f *Fleet) LostRunToInjectedCrash(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task := range f.lostToInjectedCrash {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// crash ends a machine's current incarnation as Crash does. The lock is held.
func (f *Fleet) crash(m *Machine, down time.Duration) {
	f.endIncarnation(m)
	m.state = pointport.MachineDown
	if down > 0 {
		f.bootLater(m, down)
	}
}

// bootLater boots a machine after d, unless it has an incarnation by then. The lock is held.
func (f *Fleet) bootLater(m *Machine, d time.Duration) {
	wake := f.clock.After(d)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.current == nil {
			f.boot(m)
		}
	}()
}

// Drain makes a machine announce in its registration that it leaves, ends its incarnation after
// notice, and boots it again after down.
func (f *Fleet) Drain(id pointport.InstanceID, notice, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil || m.current == nil || !m.drainsAt.IsZero() {
		return
	}
	m.drainsAt = f.clock.Now().Add(notice)
	f.onRegistration(f.registration(m), true)
	inc, wake := m.current, f.clock.After(notice)
	go func() {
		<-wake
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.current == inc {
			f.endIncarnation(m)
			m.state = pointport.MachineDown
			f.bootLater(m, down)
		}
	}()
}

// SetFailing sets whether every run on a machine ends as failed.
func (f *Fleet) SetFailing(id pointport.InstanceID, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil {
		m.failsRuns = failing
	}
}

// SetUnhealthy sets whether a machine refuses starts and stops. It carries out nothing of what it
// refuses: tasks that already run or stop there continue unchanged.
func (f *Fleet) SetUnhealthy(id pointport.InstanceID, unhealthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[id]; m != nil {
		m.unhealthy = unhealthy
	}
}

// SetCapacity changes the capacity of a running machine and updates its registration.
func (f *Fleet) SetCapacity(id pointport.InstanceID, capacity pointport.Shape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil {
		return
	}
	m.formerCapacity, m.resizedAt, m.capacity = m.capacity, f.clock.Now(), capacity
	if m.current != nil {
		f.onRegistration(f.registration(m), true)
	}
}

// IDs returns the IDs of all machines, sorted.
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

// Incarnation returns the ID of a machine's current incarnation, empty if it has none.
func (f *Fleet) Incarnation(id pointport.InstanceID) pointport.IncarnationID {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m == nil || m.current == nil {
		return ""
	}
	return m.current.id
}

// Violations returns the violations that the fleet has found in the orders it received.
func (f *Fleet) Violations() []Violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(f.excessStartViolations(), f.violations...)
}

// Starts returns how many runs of all tasks were started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.starts {
		n += s
	}
	return n
}

// Started returns how many runs of a task were started.
func (f *Fleet) Started(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[task]
}

// Done reports whether a run of a task has ended as done.
func (f *Fleet) Done(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task] || f.listedDone(task)
}

// RunsOf returns how many runs of a job's tasks exist now.
func (f *Fleet) RunsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := f.clock.Now(), 0
	for _, i := range f.incarnations {
		i.advance(now)
		if i.gone {
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

// Running returns how many runs of all tasks exist now.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := f.clock.Now(), 0
	for _, i := range f.incarnations {
		i.advance(now)
		if !i.gone {
			n += len(i.runs)
		}
	}
	return n
}

// RunningTasks returns the names of the tasks that run now, one for each run.
func (f *Fleet) RunningTasks() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, i := range f.incarnations {
		i.advance(f.clock.Now())
		if i.gone {
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
		if m.pool == pool && m.current != nil {
			n++
		}
	}
	return n
}

// BusyMachines returns the machines that run at least one task, sorted.
func (f *Fleet) BusyMachines() []pointport.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []pointport.InstanceID
	for id, m := range f.machines {
		if m.current == nil {
			continue
		}
		m.current.advance(f.clock.Now())
		if len(m.current.runs) > 0 {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}

// addViolation records a violation. The lock is held.
func (f *Fleet) addViolation(now time.Time, task, what string) {
	f.violations = append(f.violations, Violation{At: now, Task: task, What: what})
}

// notifyChange makes every waiting poll check its incarnation again. The lock is held.
func (f *Fleet) notifyChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// checkStart records a start and every violation that it constitutes. The lock is held.
func (f *Fleet) checkStart(now time.Time, at *incarnation, r *run, o pointport.StartOrder) {
	f.starts[r.Task]++
	f.startsIn[at.machine.zone]++
	f.checkCrashes(now, r)
	f.checkAttempts(now, r)
	if f.done[r.Task] && !r.work.Copies {
		f.addViolation(now, r.Task, "was started again after its end as done was acknowledged")
	}
	for _, before := range r.work.After {
		if !f.done[before] && !f.listedDone(before) {
			f.addViolation(now, r.Task, "was started before "+before+" is done")
		}
	}
	if r.work.Copies {
		return
	}
	for _, i := range f.incarnations {
		if i == at || i.gone {
			continue
		}
		i.advance(now)
		if other := i.runs[r.Task]; other != nil {
			f.addViolation(now, r.Task, fmt.Sprintf("has run %d on %s and run %d on %s at the same time", other.Run, i.id, o.Run, at.id))
		}
	}
}

// checkStop records a violation if an order stops a serving task that serves while as many others
// of its step as may be away are already away by order. The lock is held.
func (f *Fleet) checkStop(now time.Time, at *incarnation, r *run) {
	if r.work.MayMiss == 0 || r.progress(now) < fullProgress || !at.machine.drainsAt.IsZero() {
		return
	}
	step := gangName(r.Task)
	for _, i := range f.incarnations {
		if i.gone {
			continue
		}
		for _, o := range i.runs {
			if o.progress(now) >= fullProgress && o.stopsAt.IsZero() {
				delete(f.stoppedServices, o.Task) // it serves again
			}
		}
	}
	away := 0
	for task := range f.stoppedServices {
		if task != r.Task && gangName(task) == step {
			away++
		}
	}
	if away >= r.work.MayMiss {
		f.addViolation(now, r.Task, fmt.Sprintf("was stopped while %d others of its step were away; %d may be", away, r.work.MayMiss))
	}
	f.stoppedServices[r.Task] = true
}

// listedDone reports whether a task has ended as done and its incarnation lists the end, or listed
// it when the incarnation itself ended. The lock is held.
func (f *Fleet) listedDone(task string) bool {
	for _, ends := range f.unacknowledged {
		for _, t := range ends {
			if t == task {
				return true
			}
		}
	}
	return false
}

// noteDone records that a run has ended as done. The lock is held.
func (f *Fleet) noteDone(t pointport.TaskRun, at *incarnation) {
	if f.unacknowledged[at] == nil {
		f.unacknowledged[at] = make(map[int64]string)
	}
	f.unacknowledged[at][at.lastEndNumber] = t.Task
}

// noteAcknowledged records that the ends up to a number were acknowledged. The lock is held.
func (f *Fleet) noteAcknowledged(at *incarnation, upTo int64) {
	f.noteFailuresAcknowledged(at, upTo)
	for number, task := range f.unacknowledged[at] {
		if number <= upTo {
			f.done[task] = true
			delete(f.unacknowledged[at], number)
		}
	}
}

// noteListed records the ends that an answer lists. The lock is held.
func (f *Fleet) noteListed(now time.Time, ends []pointport.TaskEnd) {
	for _, e := range ends {
		if _, ok := f.listedSince[e.Task]; !ok && e.Kind == pointport.EndDone {
			f.listedSince[e.Task] = now
		}
	}
}

// answerReceiptTime is how long an answer may take until its owner has received and handled it.
const answerReceiptTime = 100 * time.Millisecond

// noteEndedByOrder records that an order ends an incarnation which lists ends that its owner has
// received. Nobody can learn of these ends from the incarnation any more, so they count as
// acknowledged. The lock is held.
func (f *Fleet) noteEndedByOrder(now time.Time, inc *incarnation) {
	for _, task := range f.unacknowledged[inc] {
		if since, ok := f.listedSince[task]; ok && now.Sub(since) >= answerReceiptTime {
			f.done[task] = true
		}
	}
}

// startGangIfComplete makes a gang begin to work once all its members are present. The lock is
// held.
func (f *Fleet) startGangIfComplete(now time.Time, r *run) {
	if r.work.Gang <= 1 {
		return
	}
	members := f.gangMembers(r)
	if len(members) < r.work.Gang {
		return
	}
	for _, m := range members {
		m.run.workingSince = now
	}
}

// A gangMember is a run of a gang and the incarnation that it runs on.
type gangMember struct {
	run *run
	at  *incarnation
}

// gangMembers returns the runs of the gang that a run belongs to. The lock is held.
func (f *Fleet) gangMembers(r *run) []gangMember {
	var out []gangMember
	for _, i := range f.incarnations {
		if i.gone {
			continue
		}
		for _, o := range i.runs {
			if gangName(o.Task) == gangName(r.Task) && o.Run == r.Run {
				out = append(out, gangMember{o, i})
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

// breakGang ends the other members of a gang after one has ended other than as done. The lock is
// held.
func (f *Fleet) breakGang(r *run) {
	if r.work.Gang <= 1 {
		return
	}
	for _, m := range f.gangMembers(r) {
		if m.run != r {
			m.at.endRun(m.run, pointport.EndGangBroken)
		}
	}
}

// finishGang ends the other members of a gang as done after one has ended as done. The lock is
// held.
func (f *Fleet) finishGang(r *run) {
	if r.work.Gang <= 1 {
		return
	}
	for _, m := range f.gangMembers(r) {
		m.at.endRun(m.run, pointport.EndDone)
		f.noteDone(m.run.TaskRun, m.at)
	}
}
