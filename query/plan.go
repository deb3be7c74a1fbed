package query

import (
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
)

// This file defines the forecast of the effects of a change.

// Plan returns, for each availability zone, the forecast of what happens if the
// objects are applied and nothing fails. It changes nothing.
func (s *Source) Plan(objects []config.Object) ([]assign.Forecast, error) {
	state := s.Config.State()
	for i := range objects {
		next, err := state.Apply(config.Change{ID: "plan", Version: state.Version() + 1, Object: &objects[i]})
		if err != nil {
			return nil, err
		}
		state = next
	}
	now := s.Clock.Now()
	var out []assign.Forecast
	for _, zone := range s.Zones {
		assigned := s.Assign[zone].State()
		in := assign.Input{
			Now: now, Zone: zone, Zones: s.Zones, State: assigned, Templates: state.Effective(now),
			Share: func(t *config.Template) int {
				return assign.ZoneShare(t, s.Zones) + min(assigned.Pool(t.Name).Float, assign.FloatingBudget(t, s.Zones))
			},
		}
		for _, o := range state.List(config.KindWave) {
			_, version, _ := state.Get(config.KindWave, o.Name())
			in.Waves = append(in.Waves, assign.WaveOrder{Wave: o.Wave(), Version: version})
		}
		out = append(out, assign.NewForecast(in))
	}
	return out, nil
}
