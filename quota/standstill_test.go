package quota_test

import "testing"

// Guards against a customer of which nothing starts any more after its cap was lowered by a hair, or a service
// was added, while it was at its cap.
func TestCapLoweredSlightlyDoesNotHoldBackItsCustomer(t *testing.T) {
	changes := map[string]func(*simulation){
		"cap lowered":   func(s *simulation) { s.configure(38_400) },
		"service added": func(s *simulation) { s.addPool() },
		"lowered again and again": func(s *simulation) {
			for limit := int64(39_990); limit > 39_900; limit -= 10 {
				s.configure(limit)
				s.settleRound()
			}
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(40_000, poolNames)
			busy := s.owners[0]
			busy.want(80_000)
			s.settle()
			for s.startTask(t, busy, 1500) {
			}
			change(s)
			busy.endRuns(len(busy.runs))
			busy.want(80_000)
			s.settle()
			if !s.startTask(t, busy, 1500) {
				t.Errorf("nothing may start although nothing is running; account %s", s.value)
			}
		})
	}
}
