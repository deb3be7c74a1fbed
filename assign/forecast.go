package assign

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/config"
)

// This file defines the forecast of what a change of templates or waves would do.

// A Forecast is the outcome of a zone's decisions if no instance failed. Its
// fields are exported because a codec reads and writes them.
type Forecast struct {
	Zone    pointport.ZoneID `json:"zone"`
	Moves   int              `json:"moves"`   // instances that change to another pool
	Reboots int              `json:"reboots"` // instances that waves restart
	Rounds  int              `json:"rounds"`  // decisions until nothing is left to do
	Pools   []PoolForecast   `json:"pools"`
}

// A PoolForecast describes a pool before and after the forecast decisions.
type PoolForecast struct {
	Pool    string `json:"pool"`
	Before  int    `json:"before"`  // members now
	After   int    `json:"after"`   // members in the end
	Need    int    `json:"need"`    // required members, with its spare
	Missing int    `json:"missing"` // required members that the zone cannot provide
	Room    int    `json:"room"`    // how many may go out of service in the end
}

const (
	// maxForecastRounds bounds the decisions of a forecast.
	maxForecastRounds = 10000
	// forecastStep is the simulated time between two decisions of a forecast.
	forecastStep = time.Minute
)

// NewForecast simulates the decisions that follow from in until nothing is left to
// do, as if every drained instance became idle and every reboot completed at once.
// It shows which instances a change of templates or waves would move or reboot,
// but not how long that takes, which depends on what they run.
func NewForecast(in Input) Forecast {
	f := Forecast{Zone: in.Zone}
	before := in.State
	s := newSimulation(in)
	for f.Rounds = 0; f.Rounds < maxForecastRounds; f.Rounds++ {
		c := Decide(s.input())
		if c.Empty() {
			break
		}
		s.apply(c, &f)
	}
	for _, t := range in.Templates {
		f.Pools = append(f.Pools, s.poolForecast(t, before))
	}
	return f
}

// A simulation is the simulated zone of a forecast.
type simulation struct {
	in     Input
	listed map[pointport.InstanceID]pointport.Instance
	ids    []pointport.InstanceID
}

// newSimulation returns a zone whose platform list agrees with the state: failed
// members are down and all others are live.
func newSimulation(in Input) *simulation {
	s := &simulation{in: in, listed: make(map[pointport.InstanceID]pointport.Instance)}
	for _, m := range in.State.Members() {
		i := pointport.Instance{ID: m.ID, Address: m.Address, Zone: m.Zone, Rack: m.Rack, Shape: m.Shape, Boots: m.Boots, State: pointport.InstanceLive}
		if m.Phase == Failed {
			i.State = pointport.InstanceDown
		}
		s.listed[m.ID] = i
		s.ids = append(s.ids, m.ID)
	}
	return s
}

// input returns the next decision's input, in which every instance has just been
// reported and every draining one has long been idle.
func (s *simulation) input() Input {
	in := s.in
	in.AbsentSince = nil
	in.Listed = nil
	in.IdleFor = make(map[pointport.InstanceID]time.Duration)
	for _, id := range s.ids {
		i := s.listed[id]
		i.Reported = in.Now
		in.Listed = append(in.Listed, i)
		in.IdleFor[id] = maxSurplusRetention
	}
	return in
}

// apply applies a change, counts its moves and reboots in f, and completes its
// reboots.
func (s *simulation) apply(c Change, f *Forecast) {
	c.Version = s.in.State.Version() + 1
	for _, step := range c.Steps {
		before, _ := s.in.State.Member(step.Instance)
		if step.After == nil {
			continue
		}
		if step.After.Pool != before.Pool && step.After.Pool != "" {
			f.Moves++
		}
		if step.After.Phase == Rebooting {
			f.Reboots++
			i := s.listed[step.Instance]
			i.Boots++
			s.listed[step.Instance] = i
		}
	}
	next, err := s.in.State.Apply(c)
	if err != nil {
		panic("assign: applying a forecast change: " + err.Error())
	}
	s.in.State = next
	s.in.Now = s.in.Now.Add(forecastStep)
}

// poolForecast compares a pool in the simulated state with the state before.
func (s *simulation) poolForecast(t *config.Template, before *State) PoolForecast {
	in := s.input()
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
