package assign

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// This file defines the forecast of what templates would come to.

// A Forecast is what the decisions would come to if nothing failed. Its fields
// are exported for the codec.
type Forecast struct {
	Zone    pointport.ZoneID `json:"zone"`
	Moves   int              `json:"moves"`   // instances that change their pool
	Reboots int              `json:"reboots"` // instances that waves restart
	Rounds  int              `json:"rounds"`  // looks of the planner until it rests
	Pools   []PoolForecast   `json:"pools"`
}

// A PoolForecast is a pool before and after.
type PoolForecast struct {
	Pool    string `json:"pool"`
	Before  int    `json:"before"`  // members now
	After   int    `json:"after"`   // members at rest
	Need    int    `json:"need"`    // what it should have, with its spare
	Missing int    `json:"missing"` // what the zone cannot give it
	Room    int    `json:"room"`    // how many may go out of service at rest
}

const (
	// maxForecastRounds bounds a forecast.
	maxForecastRounds = 10000
	// forecastStep is the time between two looks in a forecast.
	forecastStep = time.Minute
)

// NewForecast lets the decisions of in run to their end, as if every drain fell idle
// and every reboot came back at once. It shows what a change of templates or
// waves would move; how long it takes depends on what runs.
func NewForecast(in Input) Forecast {
	f := Forecast{Zone: in.Zone}
	before := in.State
	w := newSimulation(in)
	for f.Rounds = 0; f.Rounds < maxForecastRounds; f.Rounds++ {
		c := Decide(w.input())
		if c.Empty() {
			break
		}
		w.apply(c, &f)
	}
	for _, t := range in.Templates {
		f.Pools = append(f.Pools, w.poolForecast(t, before))
	}
	return f
}

// A simulation is a zone in a forecast.
type simulation struct {
	in     Input
	listed map[pointport.InstanceID]pointport.Instance
	ids    []pointport.InstanceID
}

// newSimulation lists every member as it is known, which is what the forecast
// takes for true.
func newSimulation(in Input) *simulation {
	w := &simulation{in: in, listed: make(map[pointport.InstanceID]pointport.Instance)}
	for _, m := range in.State.Members() {
		i := pointport.Instance{ID: m.ID, Address: m.Address, Zone: m.Zone, Rack: m.Rack, Shape: m.Shape, Boots: m.Boots, State: pointport.InstanceLive}
		if m.Phase == Failed {
			i.State = pointport.InstanceDown
		}
		w.listed[m.ID] = i
		w.ids = append(w.ids, m.ID)
	}
	return w
}

func (w *simulation) input() Input {
	in := w.in
	in.AbsentSince = nil
	in.Listed = nil
	in.IdleFor = make(map[pointport.InstanceID]time.Duration)
	for _, id := range w.ids {
		i := w.listed[id]
		i.Reported = in.Now
		in.Listed = append(in.Listed, i)
		in.IdleFor[id] = maxSurplusRetention
	}
	return in
}

// apply applies a change and lets its drains and reboots come to their end.
func (w *simulation) apply(c Change, f *Forecast) {
	c.Version = w.in.State.Version() + 1
	for _, s := range c.Steps {
		was, _ := w.in.State.Member(s.Instance)
		if s.After == nil {
			continue
		}
		if s.After.Pool != was.Pool && s.After.Pool != "" {
			f.Moves++
		}
		if s.After.Phase == Rebooting {
			f.Reboots++
			i := w.listed[s.Instance]
			i.Boots++
			w.listed[s.Instance] = i
		}
	}
	next, err := w.in.State.Apply(c)
	if err != nil {
		panic("assign: a forecast does not follow on itself: " + err.Error())
	}
	w.in.State = next
	w.in.Now = w.in.Now.Add(forecastStep)
}

func (w *simulation) poolForecast(t *config.Template, before *State) PoolForecast {
	in := w.input()
	d := newDecision(&in)
	p := PoolForecast{Pool: t.Name, Need: d.required(t), Before: countMembers(before, t.Name), After: countMembers(in.State, t.Name)}
	p.Missing = max(0, p.Need-len(d.countedMembers(t)))
	p.Room = max(0, d.remainingBudget(t))
	return p
}

func countMembers(s *State, pool string) int {
	n := 0
	for _, m := range s.members {
		if m.Pool == pool {
			n++
		}
	}
	return n
}
