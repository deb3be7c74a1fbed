package testbed

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the fleet and its machines.

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
	lostToCrashes       map[string]int                   // by task, how many of its runs were lost when their instance crashed
	startsAfterCrashes  map[string]int                   // by task, its starts after maxCrashes crashes
	failedEnds          map[string][]*failedEnd          // by task
	excessStarts        []excessStart                    // starts of tasks that have used up their failed runs
	// evacuatedSince holds when the evacuation of each evacuated availability zone began. startsIn
	// holds how many runs were started in each availability zone.
	evacuatedSince map[pointport.ZoneID]time.Time
	startsIn       map[pointport.ZoneID]int
	// cancelled holds the acknowledged cancellations by job. checksCancelTime reports whether starts
	// of these jobs are checked against CancelTime.
	cancelled        map[string]acknowledgedCancellation
	checksCancelTime bool
	checkpoints      map[string]map[string]bool // by task, the checkpoints that its runs have saved
	serving          servingTasks
	accepted         acceptedJobs
	advice           *AdviceService // nil if there is no advisor
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
		cancelled: make(map[string]acknowledgedCancellation), checkpoints: make(map[string]map[string]bool),
		evacuatedSince: make(map[pointport.ZoneID]time.Time), startsIn: make(map[pointport.ZoneID]int),
		stoppedServices: make(map[string]bool), crashes: make(map[string]int), lostToInjectedCrash: make(map[string]bool), lostToCrashes: make(map[string]int), startsAfterCrashes: make(map[string]int), failedEnds: make(map[string][]*failedEnd),
		serving:  servingTasks{away: make(map[string]*awayTask), cancelRequested: make(map[string]bool), ordersDisturb: true},
		accepted: acceptedJobs{byID: make(map[string]*acceptedJob), caps: make(map[string]pointport.Shape)},
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

// notifyChange makes every waiting poll check its incarnation again. The lock is held.
func (f *Fleet) notifyChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}
