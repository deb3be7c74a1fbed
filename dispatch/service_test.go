package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/dispatch"
	_ "github.com/pointport/pointport/internal/fixedseed"
)

// The tests run in bubbles of testing/synctest, in which the machine's clock
// stands still while anything runs.

func template(t *testing.T, text string) *config.Template {
	t.Helper()
	objects, err := config.Parse("test", []byte("kind: Template\nname: tips\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return objects[0].Template()
}

func targets(n int) []dispatch.Target {
	out := make([]dispatch.Target, n)
	for i := range out {
		out[i] = dispatch.Target{Instance: pointport.Instance{ID: id(i), Zone: "zone-a", Boots: 1}}
	}
	return out
}

func id(n int) pointport.InstanceID { return pointport.InstanceID(fmt.Sprint("u", n)) }

func newService(t *testing.T, text string, upstreams int, options ...dispatch.Option) *dispatch.Service {
	t.Helper()
	tpl := template(t, text)
	s := dispatch.New("tips", clock.System{}, tpl, options...)
	s.Update(tpl, targets(upstreams))
	return s
}

func request(patience time.Duration) dispatch.Request {
	return dispatch.Request{Priority: config.Normal, Deadline: time.Now().Add(patience)}
}

func acquire(t *testing.T, s *dispatch.Service, r dispatch.Request) *dispatch.Grant {
	t.Helper()
	g, err := s.Acquire(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func reasonOf(err error) dispatch.Reason {
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// TestFastFailureAttractsNothing lets one upstream of four fail everything at
// once, which makes it look the least busy.
func TestFastFailureAttractsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "", 4)
		failed := 0
		var wg sync.WaitGroup
		for range 1000 {
			wg.Go(func() {
				g, err := s.Acquire(t.Context(), request(time.Minute))
				if err != nil {
					t.Error(err)
					return
				}
				if g.Instance().ID == id(0) {
					failed++
					g.End(dispatch.Failed, time.Microsecond)
					return
				}
				time.Sleep(20 * time.Millisecond)
				g.End(dispatch.Succeeded, 0)
			})
			time.Sleep(2 * time.Millisecond)
		}
		wg.Wait()
		if failed > 10 {
			t.Errorf("%d of 1000 requests went to the upstream that fails everything", failed)
		}
	})
}

// TestEjectionIsBounded lets every upstream fail. A wrong verdict on all of
// them must leave some in use.
func TestEjectionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "ejection: {failures: 2, most: 0.5}\n", 4)
		for range 100 {
			acquire(t, s, request(time.Minute)).End(dispatch.Failed, time.Millisecond)
		}
		ejected := 0
		for _, u := range s.Status().Upstreams {
			if u.Ejected {
				ejected++
			}
		}
		if ejected != 2 {
			t.Errorf("%d of 4 upstreams are ejected, want 2", ejected)
		}
	})
}

// TestEjectedUpstreamIsTried lets an upstream fail and mend.
func TestEjectedUpstreamIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "ejection: {failures: 2, for: 10s}\n", 2)
		for !s.Status().Upstreams[0].Ejected && !s.Status().Upstreams[1].Ejected {
			acquire(t, s, request(time.Minute)).End(dispatch.Failed, time.Millisecond)
		}
		time.Sleep(11 * time.Second)
		var grants []*dispatch.Grant
		for range 5 { // four in the other upstream, one as a trial
			grants = append(grants, acquire(t, s, request(time.Minute)))
		}
		for _, g := range grants {
			g.End(dispatch.Succeeded, time.Millisecond)
		}
		for _, u := range s.Status().Upstreams {
			if u.Ejected || u.Served == 0 {
				t.Errorf("after its ejection: %+v", u)
			}
		}
	})
}

// TestLeavingWhileQueued marks an upstream as leaving while requests wait. They
// must go to the other one.
func TestLeavingWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "upstream: {slots: 2}\n", 2)
		var first []*dispatch.Grant
		for range 2 {
			first = append(first, acquire(t, s, request(time.Minute)))
		}
		got := make(chan pointport.InstanceID, 4)
		for range 4 {
			go func() {
				g, err := s.Acquire(t.Context(), request(time.Minute))
				if err != nil {
					t.Error(err)
					return
				}
				got <- g.Instance().ID
				time.Sleep(time.Second)
				g.End(dispatch.Succeeded, 0)
			}()
		}
		synctest.Wait()
		s.MarkLeaving(id(0))
		for _, g := range first {
			g.End(dispatch.Succeeded, time.Second)
		}
		for range 4 {
			if u := <-got; u != id(1) {
				t.Errorf("a request went to %s, which is leaving", u)
			}
		}
		time.Sleep(2 * time.Second)
	})
}

// TestLeavingStaysUntilBoot keeps a sign of leaving against a list that lags.
func TestLeavingStaysUntilBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "", 1)
		s.MarkLeaving(id(0))
		tpl := template(t, "")
		s.Update(tpl, targets(1))
		if _, err := s.Acquire(t.Context(), request(time.Minute)); reasonOf(err) != dispatch.ReasonNoUpstream {
			t.Errorf("got %v, want no upstream", err)
		}
		rebooted := targets(1)
		rebooted[0].Instance.Boots = 2
		s.Update(tpl, rebooted)
		acquire(t, s, request(time.Minute))
	})
}

// TestRefusals refuses at once what cannot end in time, and in the end what
// waited in vain.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "upstream: {slots: 1}\nqueue: 3\n", 1)
		g := acquire(t, s, request(time.Minute))
		time.Sleep(time.Second)
		g.End(dispatch.Succeeded, 0)
		// A request takes a second now, two are kept in reserve, and one is in
		// flight.
		g = acquire(t, s, request(time.Minute))
		begin := time.Now()
		if _, err := s.Acquire(t.Context(), request(1500*time.Millisecond)); reasonOf(err) != dispatch.ReasonTooLate {
			t.Errorf("a second and a half is not enough: got %v", err)
		}
		if d := time.Since(begin); d != 0 {
			t.Errorf("the refusal took %v", d)
		}
		if _, err := s.Acquire(t.Context(), request(4*time.Second)); reasonOf(err) != dispatch.ReasonDeadline {
			t.Errorf("nothing ended in four seconds: got %v", err)
		}
		if d := time.Since(begin); d != 2*time.Second {
			t.Errorf("the refusal came after %v, want 2s: two seconds before the deadline it was lost", d)
		}
		for range 3 {
			go func() { _, _ = s.Acquire(t.Context(), request(time.Hour)) }()
		}
		synctest.Wait()
		_, err := s.Acquire(t.Context(), request(time.Hour))
		var refused *dispatch.RefusedError
		if !errors.As(err, &refused) || refused.Reason != dispatch.ReasonQueueFull || refused.RetryAfter <= 0 {
			t.Errorf("got %v, want a full queue and when to come back", err)
		}
		g.End(dispatch.Succeeded, time.Second)
	})
}

// TestFullQueueGivesUpTheBurst lets a customer into a queue that another's
// burst has filled.
func TestFullQueueGivesUpTheBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "upstream: {slots: 1}\nqueue: 10\n", 1)
		g := acquire(t, s, request(time.Hour))
		results := make(chan error, 20)
		enter := func(customer string) {
			r := request(time.Hour)
			r.Customer = customer
			go func() {
				g, err := s.Acquire(t.Context(), r)
				if err == nil {
					g.End(dispatch.Succeeded, time.Millisecond)
				}
				results <- err
			}()
			synctest.Wait()
		}
		for range 10 {
			enter("burst")
		}
		enter("small")
		if err := <-results; reasonOf(err) != dispatch.ReasonQueueFull {
			t.Errorf("got %v, want one request of the burst given up", err)
		}
		g.End(dispatch.Succeeded, time.Millisecond)
		for range 10 {
			if err := <-results; err != nil {
				t.Errorf("a request that waited: %v", err)
			}
		}
	})
}

// TestOwnZoneFirst uses other zones only when the own one has no room.
func TestOwnZoneFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tpl := template(t, "upstream: {slots: 2}\n")
		s := dispatch.New("tips", clock.System{}, tpl, dispatch.WithZone("zone-b"))
		list := targets(4)
		list[2].Instance.Zone, list[3].Instance.Zone = "zone-b", "zone-b"
		s.Update(tpl, list)
		for n := range 4 {
			zone := acquire(t, s, request(time.Minute)).Instance().Zone
			if want := []pointport.ZoneID{"zone-b", "zone-b", "zone-a", "zone-a"}[n]; zone != want {
				t.Errorf("request %d went to %s, want %s", n, zone, want)
			}
		}
	})
}

// TestLimitFollowsCongestion lowers the limit while others crowd the upstream,
// and raises it again afterwards. Work that has become slower by itself must
// not be taken for congestion for long.
func TestLimitFollowsCongestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, rounds = 8, 400
		s := newService(t, "", 1)
		// drive fills the upstream again and again while others have some requests
		// in flight there, and returns the least and the last limit.
		drive := func(run time.Duration, others int) (least, last float64) {
			least = slots
			for range rounds {
				limit := s.Status().Upstreams[0].Limit
				least = min(least, limit)
				var grants []*dispatch.Grant
				for range int(limit) {
					grants = append(grants, acquire(t, s, request(time.Hour)))
				}
				crowd := max(1, float64(int(limit)+others)/slots)
				time.Sleep(time.Duration(float64(run) * crowd))
				for _, g := range grants {
					g.End(dispatch.Succeeded, 0)
				}
			}
			return least, s.Status().Upstreams[0].Limit
		}
		if _, got := drive(20*time.Millisecond, 0); got != slots {
			t.Errorf("alone the limit is %v, want all %d slots", got, slots)
		}
		if least, _ := drive(20*time.Millisecond, 16); least > slots/2 {
			t.Errorf("in a crowd the limit fell to %v only", least)
		}
		if _, got := drive(20*time.Millisecond, 0); got != slots {
			t.Errorf("alone again the limit is %v, want all %d slots", got, slots)
		}
		if _, got := drive(100*time.Millisecond, 0); got != slots {
			t.Errorf("with slower work the limit is %v, want all %d slots", got, slots)
		}
	})
}

// TestRetryBudget lets retries through in proportion to successes.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "retry: {ratio: 0.1}\n", 1)
		for s.TakeRetry() {
		}
		for range 100 {
			acquire(t, s, request(time.Minute)).End(dispatch.Succeeded, time.Millisecond)
		}
		n := 0
		for s.TakeRetry() {
			n++
		}
		if n < 9 || n > 10 {
			t.Errorf("100 successes earned %d retries, want 10", n)
		}
	})
}

// TestBounds runs any interleaving of requests, ends, leavings and changes of
// share, and checks the bounds of what is in flight and that each request gets
// one answer.
func TestBounds(t *testing.T) {
	type act struct{ Kind, N int }
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
			return act{rapid.IntRange(0, 9).Draw(t, "kind"), rapid.IntRange(0, 1000).Draw(t, "n")}
		}), 1, 80).Draw(rt, "acts")
		var problem string
		synctest.Test(t, func(t *testing.T) {
			const slots, upstreams = 3, 3
			var allowed atomic.Int64
			allowed.Store(slots)
			s := newService(t, "upstream: {slots: 3}\nqueue: 5\n", upstreams, dispatch.WithShare(func(pointport.ZoneID) int { return int(allowed.Load()) }))
			var mu sync.Mutex
			held := []*dispatch.Grant{}
			asked, answered := 0, 0
			inFlight := make(map[pointport.InstanceID]int)
			leaving := make(map[pointport.InstanceID]bool)
			ask := func(n int) {
				asked++
				r := request(time.Duration(n) * time.Millisecond)
				r.Priority = []config.Priority{config.Urgent, config.Normal, config.Bulk}[n%3]
				r.Customer = fmt.Sprint(n % 2)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n%700)*time.Millisecond)
				go func() {
					defer cancel()
					g, err := s.Acquire(ctx, r)
					mu.Lock()
					defer mu.Unlock()
					answered++
					if err != nil {
						return
					}
					u := g.Instance().ID
					inFlight[u]++
					if share := int(allowed.Load()); inFlight[u] > min(slots, share) || leaving[u] {
						problem = fmt.Sprintf("%s has %d in flight with share %d, leaving %v", u, inFlight[u], share, leaving[u])
					}
					held = append(held, g)
				}()
			}
			end := func(n int) {
				mu.Lock()
				defer mu.Unlock()
				if len(held) == 0 {
					return
				}
				g := held[n%len(held)]
				held = append(held[:n%len(held)], held[n%len(held)+1:]...)
				inFlight[g.Instance().ID]--
				g.End(dispatch.Outcome(n%4), time.Duration(n)*time.Millisecond)
			}
			setShare := func(n int) { allowed.Store(int64(n)) }
			open := func() int {
				mu.Lock()
				defer mu.Unlock()
				return len(held)
			}
			for _, a := range acts {
				switch a.Kind {
				case 0, 1, 2, 3:
					ask(a.N)
				case 4, 5, 6:
					end(a.N)
				case 7:
					time.Sleep(time.Duration(a.N) * time.Millisecond)
				case 8:
					setShare(1 + a.N%slots)
				case 9:
					u := id(a.N % upstreams)
					s.MarkLeaving(u)
					leaving[u] = true
				}
				synctest.Wait()
			}
			for open() > 0 {
				end(0)
				synctest.Wait()
			}
			time.Sleep(2 * time.Second)
			for open() > 0 {
				end(0)
				synctest.Wait()
			}
			if asked != answered && problem == "" {
				problem = fmt.Sprintf("%d requests got %d answers", asked, answered)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// TestShareFallsAtAnyLook lets the share of connections change at every look. A
// request that has left the queue must get its grant all the same. (Once it got
// none, because the share had fallen between two looks, and waited for ever.)
func TestShareFallsAtAnyLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chance := rand.New(rand.NewPCG(1, 2))
		s := newService(t, "upstream: {slots: 1}\n", 1, dispatch.WithShare(func(pointport.ZoneID) int { return chance.IntN(2) }))
		const requests = 20
		results := make(chan error, requests)
		for range requests {
			go func() {
				g, err := s.Acquire(t.Context(), request(time.Minute))
				if err == nil {
					time.Sleep(time.Millisecond)
					g.End(dispatch.Succeeded, 0)
				}
				results <- err
			}()
		}
		for range 1000 { // the feeder looks again and again
			time.Sleep(100 * time.Millisecond)
			s.Update(template(t, "upstream: {slots: 1}\n"), targets(1))
		}
		if n := len(results); n != requests {
			t.Errorf("%d of %d requests got an answer", n, requests)
		}
	})
}
