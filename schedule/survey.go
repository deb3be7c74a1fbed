package schedule

import (
	"sort"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what the owner of a pool tells whoever moves and maintains
// instances.

// A Closure asks that nothing new be placed on an instance. Its fields are
// exported because a codec reads and writes them.
type Closure struct {
	Instance pointport.InstanceID `json:"instance"`
	// Evacuate asks that serving tasks be moved off, as their steps allow.
	Evacuate bool `json:"evacuate,omitempty"`
}

// A SurveyRequest is what whoever moves instances tells the owner of a pool.
type SurveyRequest struct {
	// Closures lists the instances that are to be closed; all others are open.
	Closures []Closure `json:"closures,omitempty"`
	// Soon lists instances that are to be emptied before long; serving tasks are
	// better placed elsewhere.
	Soon []pointport.InstanceID `json:"soon,omitempty"`
	// Over lists incarnations that are known to be over.
	Over []pointport.IncarnationID `json:"over,omitempty"`
	// Ordered lists incarnations whose machines were ordered away, and the orders answered.
	Ordered []OrderedEnd `json:"ordered,omitempty"`
}

// An OrderedEnd is the end of an incarnation by an order about its machine that was carried
// out. Its fields are exported because a codec reads and writes them.
type OrderedEnd struct {
	Incarnation pointport.IncarnationID `json:"incarnation"`
	// Sure says that it is over by now: its machine was moved to another pool. Maintenance may
	// have been done before and the incarnation be the one that came after it.
	Sure bool `json:"sure,omitempty"`
}

// A Survey says how a pool stands. Its fields are exported because a codec reads
// and writes them.
type Survey struct {
	// Need is the room that the pool's tasks take now, or will in a moment by the
	// rate at which work arrives.
	Need pointport.Shape `json:"need"`
	// Arrived says that the pool has had work that ends, so that Need says
	// something of its load.
	Arrived bool `json:"arrived,omitempty"`
	// Waiting is the room that tasks want whose turn has come.
	Waiting pointport.Shape `json:"waiting"`
	// Late is as much of Need as is taken or wanted by jobs that will hardly end in time,
	// WaitingLate as much of Waiting.
	Late        pointport.Shape `json:"late"`
	WaitingLate pointport.Shape `json:"waitingLate"`
	// Spread is how many more instances it takes to hold the tasks whose step
	// bounds how many of them one instance may hold, or that failed where they
	// could be, or that want an instance of their own.
	Spread int `json:"spread,omitempty"`
	// Unserved is how many more instances it takes to hold the serving tasks that
	// wait and fit on none, even once the tasks there have ended.
	Unserved int `json:"unserved,omitempty"`
	// Unmoved is how many more instances it takes beside them to hold the serving
	// tasks that are to move off closed instances.
	Unmoved int `json:"unmoved,omitempty"`
	// Labels says for labels, a rack's among them, how much room is wanted on
	// instances that have them and found none there.
	Labels map[string]pointport.Shape `json:"labels,omitempty"`
	// Widest is the largest room of a single waiting task.
	Widest    pointport.Shape `json:"widest"`
	Instances []InstanceLoad  `json:"instances"`
}

// An InstanceLoad says how an instance stands.
type InstanceLoad struct {
	Instance    pointport.InstanceID    `json:"instance"`
	Incarnation pointport.IncarnationID `json:"incarnation"`
	Runs        int                     `json:"runs,omitempty"`
	Serving     int                     `json:"serving,omitempty"`
	Closed      bool                    `json:"closed,omitempty"`
	// Unstored says that tasks have ended there and that this is not stored yet. Only
	// the instance itself can tell another owner, until it is moved or maintained.
	Unstored bool `json:"unstored,omitempty"`
	// Silent says that the instance gives no answer.
	Silent bool `json:"silent,omitempty"`
	// Known is for how long the owner has known the incarnation, in nanoseconds.
	Known time.Duration `json:"known"`
	// Avoided says that the instance fails what it is given.
	Avoided bool `json:"avoided,omitempty"`
	// Capacity is what the instance says it holds, which may change while it runs.
	Capacity pointport.Shape `json:"capacity,omitzero"`
	// Leaving says that the instance is about to end.
	Leaving bool `json:"leaving,omitempty"`
}

// Empty reports whether the instance may be taken away without a loss: nothing runs
// there, and what has ended there is stored. On days with three outages of the store,
// tasks that were done ran again after their instance had been maintained and their
// owner had lost the pool: 4 to 38 of them in five of 19 plays, in none of ten since.
func (l *InstanceLoad) Empty() bool { return l.Runs == 0 && !l.Unstored }

// closureTime is how long a closure holds unless it is asked for again.
const closureTime = 2 * time.Second

// Survey takes in a request and returns how the pool stands.
func (b *Scheduler) Survey(now time.Time, req SurveyRequest) Survey {
	for _, end := range req.Ordered {
		b.orderedAway(now, end)
	}
	for _, id := range req.Over {
		b.shownOver(now, id)
	}
	b.close(now, req.Closures)
	b.soon = make(map[pointport.InstanceID]bool, len(req.Soon))
	for _, id := range req.Soon {
		b.soon[id] = true
	}
	var s Survey
	afford := b.capFilter()
	for e := range b.waitingJobs {
		b.refresh(e)
		for _, t := range e.ready {
			if !afford(t) {
				continue // room would not help it
			}
			room := t.step.Reservation()
			s.Waiting = s.Waiting.Plus(room)
			if e.rank.class == classLate {
				s.WaitingLate = s.WaitingLate.Plus(room)
			}
			if label := t.step.Label; label != "" {
				s.want(label, room)
			}
			s.Widest = largest(s.Widest, room)
		}
	}
	for rack, room := range b.far.steady(now) {
		s.want(rack, room)
	}
	s.Need = b.need(now, s.Waiting)
	s.Late = s.WaitingLate.Plus(b.lateRoom())
	s.Arrived = b.arrivals.any
	s.Spread = b.spread(now)
	m := b.missingForServing(now)
	s.Unserved, s.Unmoved = m.waiting, m.moving
	for _, w := range b.workers {
		if w.ended || w.inc.Instance() == "" || !w.listed && len(w.runs) == 0 {
			continue
		}
		s.Instances = append(s.Instances, b.loadOf(now, w))
	}
	sort.Slice(s.Instances, func(i, k int) bool { return s.Instances[i].Instance < s.Instances[k].Instance })
	return s
}

// want adds to the room that is wanted on instances with a label.
func (s *Survey) want(label string, room pointport.Shape) {
	if s.Labels == nil {
		s.Labels = make(map[string]pointport.Shape)
	}
	s.Labels[label] = s.Labels[label].Plus(room)
}

// spread returns how many more instances it takes to hold the waiting tasks whose
// step bounds how many of them one instance may hold.
func (b *Scheduler) spread(now time.Time) int {
	type group struct {
		entry   *entry
		k, step int
	}
	crowded := make(map[group]int)
	workers := b.usable(now)
	for e := range b.waitingJobs {
		for _, t := range e.ready {
			if e.account.withinCap(t.step.Need) && (t.step.MaxPerInstance > 0 || len(e.avoidUntil) > 0 || len(e.crashed) > 0) && b.bestWorker(now, t, workers) == nil {
				crowded[group{t.entry, t.ref.Occurrence, t.ref.Step}]++
			}
		}
	}
	most := 0
	for g, n := range crowded {
		per := max(1, g.entry.job.Spec().Steps[g.step].MaxPerInstance)
		most = max(most, (n+per-1)/per)
	}
	return most
}

func largest(a, b pointport.Shape) pointport.Shape {
	return pointport.Shape{
		CPUMilli: max(a.CPUMilli, b.CPUMilli), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func (b *Scheduler) loadOf(now time.Time, w *Worker) InstanceLoad {
	return InstanceLoad{
		Instance: w.inc.Instance(), Incarnation: w.inc.ID(), Runs: len(w.runs), Serving: w.serving,
		Closed: w.closed(now), Silent: w.silent || !w.lease.clockKnown(), Avoided: w.health.avoided(now),
		Leaving: w.inc.Draining(), Capacity: w.inc.Capacity(), Known: now.Sub(w.since), Unstored: w.unstored > 0,
	}
}

// close sets which instances are closed.
func (b *Scheduler) close(now time.Time, closures []Closure) {
	asked := make(map[pointport.InstanceID]Closure, len(closures))
	for _, c := range closures {
		asked[c.Instance] = c
	}
	for _, w := range b.workers {
		c, ok := asked[w.inc.Instance()]
		if !ok || w.inc.Instance() == "" {
			w.closedUntil, w.evacuating = time.Time{}, false
			continue
		}
		w.closedUntil, w.evacuating = now.Add(closureTime), c.Evacuate
	}
}

// closed reports whether nothing new may be placed on the worker.
func (w *Worker) closed(now time.Time) bool { return now.Before(w.closedUntil) }

// need returns the room that the pool's tasks take or want, or what the rate of
// arrivals will come to if that is more.
func (b *Scheduler) need(now time.Time, waiting pointport.Shape) pointport.Shape {
	sum := waiting
	for _, w := range b.workers {
		for _, r := range w.runs {
			if !r.staysInZone() {
				sum = sum.Plus(r.step().Reservation())
			}
		}
	}
	coming := b.arrivals.steady(now)
	coming = coming.Plus(b.servingRoom())
	return largest(sum, coming)
}

// lateRoom returns the room that tasks take whose jobs could hardly end in time when tasks
// of theirs were last placed.
func (b *Scheduler) lateRoom() pointport.Shape {
	var sum pointport.Shape
	for _, w := range b.workers {
		for _, r := range w.runs {
			if r.entry.rank.class == classLate {
				sum = sum.Plus(r.step().Reservation())
			}
		}
	}
	return sum
}

// servingRoom returns the room that serving tasks take.
func (b *Scheduler) servingRoom() pointport.Shape {
	var sum pointport.Shape
	for _, w := range b.workers {
		for _, r := range w.runs {
			if r.step().Service && !r.staysInZone() {
				sum = sum.Plus(r.step().Reservation())
			}
		}
	}
	return sum
}

// staysInZone reports whether a run will need no room elsewhere although its availability
// zone is evacuated: a serving task stays there, the others end and their jobs go on elsewhere.
func (r *Run) staysInZone() bool { return r.step().Service && r.worker.evacuated() }
