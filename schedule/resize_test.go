package schedule_test

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests instances that hold more or less than before while they run.

// A roomSim is a pool of instances that run what they are told, whatever it takes.
type roomSim struct {
	t      *rapid.T
	now    time.Time
	book   *schedule.Scheduler
	jobs   []*workload.Job
	rooms  map[pointport.IncarnationID]pointport.Shape
	runs   map[pointport.IncarnationID]map[pointport.TaskRun]pointport.Shape
	ends   map[pointport.IncarnationID][]pointport.TaskEnd
	burned map[pointport.IncarnationID]map[pointport.TaskRun]bool
	unsent []schedule.Order
}

const roomInstances = 3

func (s *roomSim) register() {
	var all []pointport.Incarnation
	for n := range roomInstances {
		all = append(all, incarnation(n, pointport.WithCapacity(s.rooms[incarnation(n).ID()])))
	}
	s.book.SetIncarnations(s.now, all)
}

func (s *roomSim) report() {
	for _, w := range s.book.Workers() {
		id := w.Incarnation().ID()
		r := pointport.Report{Clock: pointport.InstanceClock(s.now.Sub(start)), Ended: s.ends[id]}
		for run := range s.runs[id] {
			r.Running = append(r.Running, pointport.RunningTask{TaskRun: run, Progress: int(s.now.Sub(start)/time.Millisecond) % 100})
		}
		s.book.Report(w, s.now, s.now, r)
	}
}

// send carries out some of the orders that wait, in their order.
func (s *roomSim) send(most int) {
	for ; most > 0 && len(s.unsent) > 0; most-- {
		o := s.unsent[0]
		s.unsent = s.unsent[1:]
		if s.book.SkipStart(s.now, o) {
			continue
		}
		s.book.MarkSending(o)
		fate := rapid.SampledFrom([]string{"answered", "answered", "lost", "mute"}).Draw(s.t, "fate")
		if fate != "lost" {
			s.carryOut(o)
		}
		if fate == "answered" {
			s.book.OrderAnswered(o, s.now, pointport.InstanceClock(s.now.Sub(start)), nil)
			continue
		}
		s.book.OrderAnswered(o, s.now, 0, &pointport.UnavailableError{Op: "order", Ambiguous: true})
	}
}

func (s *roomSim) carryOut(o schedule.Order) {
	id := o.Worker.Incarnation().ID()
	switch o.Kind {
	case schedule.OrderStop:
		s.burned[id][o.TaskRun] = true
		if _, ok := s.runs[id][o.TaskRun]; ok {
			s.end(id, o.TaskRun, pointport.EndStopped)
		}
	case schedule.OrderStart:
		if _, there := s.runs[id][o.TaskRun]; there || s.burned[id][o.TaskRun] {
			return
		}
		room := s.roomOf(o.TaskRun.Task)
		free := s.rooms[id]
		for _, taken := range s.runs[id] {
			free = free.Minus(taken)
		}
		if !free.Fits(room) {
			s.t.Fatalf("%v is started on %s where %v is free, and takes %v", o.TaskRun, id, free, room)
		}
		s.runs[id][o.TaskRun] = room
	}
}

func (s *roomSim) roomOf(task string) pointport.Shape {
	id, ref, err := workload.ParseTaskName(task)
	if err != nil {
		s.t.Fatal(err)
	}
	at := slices.IndexFunc(s.jobs, func(j *workload.Job) bool { return j.ID() == id })
	return s.jobs[at].Spec().Steps[ref.Step].Reservation()
}

func (s *roomSim) end(id pointport.IncarnationID, run pointport.TaskRun, kind pointport.EndKind) {
	delete(s.runs[id], run)
	s.burned[id][run] = true
	s.ends[id] = append(s.ends[id], pointport.TaskEnd{Number: int64(len(s.ends[id]) + 1), TaskRun: run, Kind: kind})
}

// endSome has a run on some instance end.
func (s *roomSim) endSome() {
	id := incarnation(rapid.IntRange(0, roomInstances-1).Draw(s.t, "where")).ID()
	var least *pointport.TaskRun
	for run := range s.runs[id] {
		if least == nil || run.Task < least.Task {
			least = &run
		}
	}
	if least != nil {
		s.end(id, *least, pointport.EndDone)
	}
}

func (s *roomSim) takeOver() {
	s.send(len(s.unsent))
	next := schedule.NewScheduler(s.now, settings, slog.New(slog.DiscardHandler))
	for _, j := range s.jobs {
		if status, known := s.book.Status(j.ID()); !known || status.Ended() {
			continue
		}
		next.Add(s.now, j)
	}
	s.book = next
}

// Whatever starts, ends and is stopped, however instances shrink and grow and whoever owns
// the pool: nothing is started beyond what an instance has last said that it holds, and the
// room is used again once it is back.
func TestNoStartBeyondARoomThatChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &roomSim{
			t: t, now: start, book: newBook(), rooms: make(map[pointport.IncarnationID]pointport.Shape),
			burned: make(map[pointport.IncarnationID]map[pointport.TaskRun]bool),
			runs:   make(map[pointport.IncarnationID]map[pointport.TaskRun]pointport.Shape), ends: make(map[pointport.IncarnationID][]pointport.TaskEnd),
		}
		for n := range roomInstances {
			id := incarnation(n).ID()
			s.rooms[id], s.runs[id], s.burned[id] = size, make(map[pointport.TaskRun]pointport.Shape), make(map[pointport.TaskRun]bool)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				s.now = s.now.Add(50 * time.Millisecond)
				s.register()
				s.report()
				s.unsent = append(s.unsent, orders(s.book, s.now)...)
			},
			"submit": func(t *rapid.T) {
				j := job(fmt.Sprintf("j%d", len(s.jobs)), policy, step(rapid.IntRange(1, 4).Draw(t, "tasks"), int64(500*rapid.IntRange(0, 4).Draw(t, "cpu")), nil))
				s.jobs = append(s.jobs, j)
				s.book.Add(s.now, j)
			},
			"resize": func(t *rapid.T) {
				id := incarnation(rapid.IntRange(0, roomInstances-1).Draw(t, "which")).ID()
				s.rooms[id] = pointport.Shape{CPUMilli: int64(500 * rapid.IntRange(0, 8).Draw(t, "cpu")), MemoryMiB: int64(500 * rapid.IntRange(0, 8).Draw(t, "memory"))}
				s.register()
			},
			"send":     func(t *rapid.T) { s.send(rapid.IntRange(1, 5).Draw(t, "most")) },
			"end":      func(*rapid.T) { s.endSome() },
			"takeOver": func(*rapid.T) { s.takeOver() },
			"cancel": func(t *rapid.T) {
				if len(s.jobs) > 0 {
					s.book.Cancel(s.now, rapid.SampledFrom(s.jobs).Draw(t, "job").ID())
				}
			},
		})
		for n := range roomInstances {
			s.rooms[incarnation(n).ID()] = size
		}
		for range 2000 {
			s.now = s.now.Add(50 * time.Millisecond)
			s.register()
			s.report()
			s.unsent = append(s.unsent, orders(s.book, s.now)...)
			s.send(len(s.unsent))
			for n := range roomInstances {
				id := incarnation(n).ID()
				for run := range s.runs[id] {
					s.end(id, run, pointport.EndDone)
					break
				}
			}
		}
		for _, j := range s.jobs {
			if status, known := s.book.Status(j.ID()); known && !status.Ended() {
				t.Errorf("job %s is %q although there is room again", j.ID(), status)
			}
		}
	})
}
