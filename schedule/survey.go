package schedule

import (
	"slices"
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what the owner of a pool and the steward, which moves and maintains instances,
// report to each other.

// A Closure asks that no further task be placed on an instance. Its fields are exported because a
// codec reads and writes them.
type Closure struct {
	Instance pointport.InstanceID `json:"instance"`
	// Evacuate asks that serving tasks be moved off the instance, as far as their steps allow.
	Evacuate bool `json:"evacuate,omitempty"`
	// Reclaim asks that the tasks there that end be stopped, because a serving task of another pool
	// needs the instance.
	Reclaim bool `json:"reclaim,omitempty"`
}

// A SurveyRequest is what the steward reports to the owner of a pool when it asks for a Survey.
type SurveyRequest struct {
	// Closures lists the instances to close; all others are open.
	Closures []Closure `json:"closures,omitempty"`
	// ClosingSoon lists the instances that will be emptied before long, which are less suitable for
	// serving tasks.
	ClosingSoon []pointport.InstanceID `json:"soon,omitempty"`
	// Ended lists incarnations that are known to have ended.
	Ended []pointport.IncarnationID `json:"over,omitempty"`
	// Ordered lists incarnations for which an order to move or maintain the machine was answered.
	Ordered []OrderedEnd `json:"ordered,omitempty"`
}

// An OrderedEnd is the end of an incarnation by an order about its machine that was carried out. Its
// fields are exported because a codec reads and writes them.
type OrderedEnd struct {
	Incarnation pointport.IncarnationID `json:"incarnation"`
	// Sure reports that the incarnation has certainly ended, because its machine was moved to
	// another pool. After maintenance it is not certain: the machine may have been maintained
	// earlier, and the incarnation may be the one that followed.
	Sure bool `json:"sure,omitempty"`
}

// A Survey is the state of a pool: its demand for resources and the load of its instances. Its
// fields are exported because a codec reads and writes them.
type Survey struct {
	// Need is the resources that the pool's tasks take now or, if that is more, will soon take at
	// the rate at which work arrives.
	Need pointport.Shape `json:"need"`
	// Arrived reports that the pool has had work that ends, so that Need reflects its load.
	Arrived bool `json:"arrived,omitempty"`
	// Waiting is the resources that tasks need which are ready to start.
	Waiting pointport.Shape `json:"waiting"`
	// Late is the part of Need, and WaitingLate the part of Waiting, that belongs to jobs that are
	// unlikely to end in time.
	Late        pointport.Shape `json:"late"`
	WaitingLate pointport.Shape `json:"waitingLate"`
	// Spread is how many more instances are needed for waiting tasks whose step limits the tasks on
	// one instance, or that have failed on the instances they could use, or that need an instance of
	// their own or more of one than serving tasks leave.
	Spread int `json:"spread,omitempty"`
	// Unserved is how many more instances are needed for the waiting serving tasks that fit on none,
	// even once the tasks there that end by themselves have ended.
	Unserved int `json:"unserved,omitempty"`
	// Displaced is how many of the instances counted in Unserved are needed for serving tasks that have
	// run before.
	Displaced int `json:"displaced,omitempty"`
	// Unmoved is how many more instances are needed, in addition to Unserved, for the serving tasks
	// that are to move off closed instances.
	Unmoved int `json:"unmoved,omitempty"`
	// Labels holds the unmet demand by label, including racks: the resources wanted on instances
	// that have the label and not available there.
	Labels map[string]pointport.Shape `json:"labels,omitempty"`
	// Widest holds the largest amount of each resource that a single waiting task needs.
	Widest    pointport.Shape `json:"widest"`
	Instances []InstanceLoad  `json:"instances"`
}

// An InstanceLoad is the state and load of one instance.
type InstanceLoad struct {
	Instance    pointport.InstanceID    `json:"instance"`
	Incarnation pointport.IncarnationID `json:"incarnation"`
	Runs        int                     `json:"runs,omitempty"`
	Serving     int                     `json:"serving,omitempty"`
	Closed      bool                    `json:"closed,omitempty"`
	// Unstored reports that tasks have ended there whose ends are not stored yet. Only the instance
	// itself can report these to another owner, until it is moved or maintained. Unstored is also set
	// while the instance may have unrecorded runs of the previous owner.
	Unstored bool `json:"unstored,omitempty"`
	// Silent reports that the instance does not answer.
	Silent bool `json:"silent,omitempty"`
	// Known is for how long the owner has known the incarnation, in nanoseconds.
	Known time.Duration `json:"known"`
	// Avoided reports that runs fail or stall on the instance, so that nothing is placed there for
	// now.
	Avoided bool `json:"avoided,omitempty"`
	// Capacity is what the instance reports as its capacity, which may change while it runs.
	Capacity pointport.Shape `json:"capacity,omitzero"`
	// Leaving reports that the instance has announced that it is about to end.
	Leaving bool `json:"leaving,omitempty"`
}

// Empty reports whether the instance may be removed without loss: nothing runs there, and all ends
// that it has reported are stored. Without the second condition, on days with three outages of the
// store, finished tasks ran again after their instance was maintained and their owner had lost the
// pool: 4 to 38 tasks in five of 19 simulations, and in none of ten with it.
func (l *InstanceLoad) Empty() bool { return l.Runs == 0 && !l.Unstored }

// closureTime is how long a closure holds unless it is requested again.
const closureTime = 2 * time.Second

// Survey applies a request and returns the state of the pool.
func (s *Scheduler) Survey(now time.Time, req SurveyRequest) Survey {
	for _, end := range req.Ordered {
		s.noteOrderedEnd(now, end)
	}
	for _, id := range req.Ended {
		s.endReported(now, id)
	}
	s.close(now, req.Closures)
	s.closingSoon = make(map[pointport.InstanceID]bool, len(req.ClosingSoon))
	for _, id := range req.ClosingSoon {
		s.closingSoon[id] = true
	}
	var survey Survey
	afford := s.capFilter()
	for e := range s.waitingJobs {
		s.refreshReady(e)
		for _, t := range e.ready {
			if !afford(t) {
				continue // its customer's cap, not a lack of resources, holds it back
			}
			need := t.step.Reservation()
			survey.Waiting = survey.Waiting.Plus(need)
			if e.rank.class == classLate {
				survey.WaitingLate = survey.WaitingLate.Plus(need)
			}
			if label := t.step.Label; label != "" {
				survey.want(label, need)
			}
			survey.Widest = largest(survey.Widest, need)
		}
	}
	for rack, need := range s.rackDemand.current(now) {
		survey.want(rack, need)
	}
	survey.Need = s.need(now, survey.Waiting)
	survey.Late = survey.WaitingLate.Plus(s.lateReservations())
	survey.Arrived = s.arrivals.any
	survey.Spread = s.spread(now)
	m := s.missingForServing(now)
	survey.Unserved, survey.Displaced, survey.Unmoved = m.waiting, m.displaced, m.moving
	for _, w := range s.workers {
		if w.ended || w.inc.Instance() == "" || !w.listed && len(w.runs) == 0 {
			continue
		}
		survey.Instances = append(survey.Instances, s.loadOf(now, w))
	}
	sort.Slice(survey.Instances, func(i, k int) bool { return survey.Instances[i].Instance < survey.Instances[k].Instance })
	return survey
}

// want adds to the resources that are wanted on instances with a label.
func (s *Survey) want(label string, need pointport.Shape) {
	if s.Labels == nil {
		s.Labels = make(map[string]pointport.Shape)
	}
	s.Labels[label] = s.Labels[label].Plus(need)
}

// spread returns how many more instances are needed for waiting tasks that no worker can hold
// because of their step's limit of tasks on one instance, recent failures or crashes, or because the
// serving tasks there leave too little.
func (s *Scheduler) spread(now time.Time) int {
	crowded := make(map[stepRef]int)
	blocked := 0
	workers, room := s.usableWorkers(now), s.newServingRoom()
	for e := range s.waitingJobs {
		for _, t := range e.ready {
			switch {
			case !e.account.withinCap(t.step.Need):
			case (t.step.MaxPerInstance > 0 || len(e.avoidUntil) > 0 || len(e.crashed) > 0) && s.bestWorker(now, t, workers, s.permits) == nil:
				crowded[t.stepRef()]++
			case blocked == 0 && room.blocks(t):
				blocked = 1 // such tasks can use the instance one after the other
			}
		}
	}
	most := blocked
	for g, n := range crowded {
		per := max(1, g.entry.job.Spec().Steps[g.step].MaxPerInstance)
		most = max(most, (n+per-1)/per)
	}
	return most
}

// A servingRoom is what the registered instances have free beside their serving tasks. Instances that
// are unusable for now count too: most become usable again sooner than another one can come.
type servingRoom struct {
	free    []pointport.Shape
	largest pointport.Shape // the capacity of an empty instance
}

func (s *Scheduler) newServingRoom() servingRoom {
	room := servingRoom{largest: s.largestInstance()}
	for _, w := range s.workers {
		if w.listed && !w.ended {
			room.free = append(room.free, w.freeAfterTasks())
		}
	}
	return room
}

// blocks reports whether a task that ends fits on no instance beside the serving tasks there, and
// would fit on an empty one.
func (r *servingRoom) blocks(t waitingTask) bool {
	need := t.step.Reservation()
	if t.step.Service || t.step.Label != "" || len(r.free) == 0 || !r.largest.Fits(need) {
		return false
	}
	return !slices.ContainsFunc(r.free, func(free pointport.Shape) bool { return free.Fits(need) })
}

func largest(a, b pointport.Shape) pointport.Shape {
	return pointport.Shape{
		CPUMilli: max(a.CPUMilli, b.CPUMilli), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func (s *Scheduler) loadOf(now time.Time, w *Worker) InstanceLoad {
	return InstanceLoad{
		Instance: w.inc.Instance(), Incarnation: w.inc.ID(), Runs: len(w.runs), Serving: w.serving,
		Closed: w.closed(now), Silent: w.silent || !w.lease.clockKnown(), Avoided: w.health.avoided(now),
		Leaving: w.inc.Draining(), Capacity: w.inc.Capacity(), Known: now.Sub(w.knownSince), Unstored: w.unstored > 0 || s.awaitsReport(w),
	}
}

// close sets which instances are closed.
func (s *Scheduler) close(now time.Time, closures []Closure) {
	asked := make(map[pointport.InstanceID]Closure, len(closures))
	for _, c := range closures {
		asked[c.Instance] = c
	}
	for _, w := range s.workers {
		c, ok := asked[w.inc.Instance()]
		if !ok || w.inc.Instance() == "" {
			w.closedUntil, w.evacuating, w.claimedForDisplaced = time.Time{}, false, false
			continue
		}
		w.closedUntil, w.evacuating, w.claimedForDisplaced = now.Add(closureTime), c.Evacuate, c.Reclaim
	}
}

// closed reports whether the worker is closed, so that nothing new may be placed there.
func (w *Worker) closed(now time.Time) bool { return now.Before(w.closedUntil) }

// need returns the resources that the pool's tasks take or wait for, or those expected from the rate
// of arrivals and the serving tasks, whichever is more of each resource.
func (s *Scheduler) need(now time.Time, waiting pointport.Shape) pointport.Shape {
	sum := waiting
	for _, w := range s.workers {
		for _, r := range w.runs {
			if !r.staysInZone() {
				sum = sum.Plus(r.step().Reservation())
			}
		}
	}
	coming := s.arrivals.current(now)
	coming = coming.Plus(s.servingReservations())
	return largest(sum, coming)
}

// lateReservations returns the resources taken by tasks of jobs that were unlikely to end in time
// when tasks of theirs were last placed.
func (s *Scheduler) lateReservations() pointport.Shape {
	var sum pointport.Shape
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.entry.rank.class == classLate {
				sum = sum.Plus(r.step().Reservation())
			}
		}
	}
	return sum
}

// servingReservations returns the resources that serving tasks take.
func (s *Scheduler) servingReservations() pointport.Shape {
	var sum pointport.Shape
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.step().Service && !r.staysInZone() {
				sum = sum.Plus(r.step().Reservation())
			}
		}
	}
	return sum
}

// staysInZone reports whether a run will need no resources elsewhere although its availability zone
// is evacuated: a serving task stays there, while other tasks end and their jobs continue elsewhere.
func (r *Run) staysInZone() bool { return r.step().Service && r.worker.evacuated() }
