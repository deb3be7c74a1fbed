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

// The tests run in bubbles of testing/synctest, whose clock advances only while all
// goroutines of the bubble are blocked.

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

// TestFastFailingUpstreamGetsFewRequests lets one upstream of four fail every request
// immediately. It then has the fewest requests in flight and the shortest latency, and
// without ejection and the latency penalty for failures would attract most requests.
func TestFastFailingUpstreamGetsFewRequests(t *testing.T) {
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
			t.Errorf("%d of 1000 requests went to the failing upstream, want at most 10", failed)
		}
	})
}

// TestEjectionIsBounded lets every upstream fail, as when the fault lies elsewhere. Only
// the configured fraction of the upstreams may be ejected, so that some stay in use.
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

// TestEjectedUpstreamIsRestored ejects an upstream that then recovers. After the ejection
// it must get a trial request, and the trial's success must end the ejection.
func TestEjectedUpstreamIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "ejection: {failures: 2, for: 10s}\n", 2)
		for !s.Status().Upstreams[0].Ejected && !s.Status().Upstreams[1].Ejected {
			acquire(t, s, request(time.Minute)).End(dispatch.Failed, time.Millisecond)
		}
		time.Sleep(11 * time.Second)
		var grants []*dispatch.Grant
		for range 5 { // four for the other upstream, one as a trial
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

// TestLeavingWhileQueued marks an upstream as leaving while requests wait and it still
// has one in flight. The capacity that this request frees must not be granted to the
// waiting requests; all of them must go to the other upstream.
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

// TestLeavingStaysUntilBoot updates a leaving upstream from a list that lags and doesn't
// show it as leaving yet. It must get no request until its boot count has changed.
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

// TestRefusals checks that a request that cannot end before its deadline is refused at
// once, that a waiting request is refused as soon as it can no longer end in time, and
// that a full queue refuses with a time for a retry.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, "upstream: {slots: 1}\nqueue: 3\n", 1)
		g := acquire(t, s, request(time.Minute))
		time.Sleep(time.Second)
		g.End(dispatch.Succeeded, 0)
		// The mean latency is now 1 s, so a request needs 2 s left when it is sent. One
		// request is in flight.
		g = acquire(t, s, request(time.Minute))
		begin := time.Now()
		if _, err := s.Acquire(t.Context(), request(1500*time.Millisecond)); reasonOf(err) != dispatch.ReasonTooLate {
			t.Errorf("a request with 1.5 s left: got %v, want it refused as too late", err)
		}
		if d := time.Since(begin); d != 0 {
			t.Errorf("the refusal took %v", d)
		}
		if _, err := s.Acquire(t.Context(), request(4*time.Second)); reasonOf(err) != dispatch.ReasonDeadline {
			t.Errorf("a request that waits until its deadline: got %v, want it refused for its deadline", err)
		}
		if d := time.Since(begin); d != 2*time.Second {
			t.Errorf("the refusal came after %v, want 2s: the request needs the 2s before its deadline", d)
		}
		for range 3 {
			go func() { _, _ = s.Acquire(t.Context(), request(time.Hour)) }()
		}
		synctest.Wait()
		_, err := s.Acquire(t.Context(), request(time.Hour))
		var refused *dispatch.RefusedError
		if !errors.As(err, &refused) || refused.Reason != dispatch.ReasonQueueFull || refused.RetryAfter <= 0 {
			t.Errorf("got %v, want a full queue and a time for a retry", err)
		}
		g.End(dispatch.Succeeded, time.Second)
	})
}

// TestFullQueueEvictsBurst fills the queue with one customer's burst. A request of another
// customer must evict one of the burst instead of being refused.
func TestFullQueueEvictsBurst(t *testing.T) {
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
			t.Errorf("got %v, want one request of the burst evicted", err)
		}
		g.End(dispatch.Succeeded, time.Millisecond)
		for range 10 {
			if err := <-results; err != nil {
				t.Errorf("a waiting request failed: %v", err)
			}
		}
	})
}

// TestOwnZoneFirst checks that other zones are used only when the own one has no free
// capacity.
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

// TestLimitFollowsCongestion checks that the limit falls while other entry instances load
// the upstream, and rises again afterwards. Work that itself becomes slower must not be
// mistaken for congestion for long: the limit must recover.
func TestLimitFollowsCongestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, rounds = 8, 400
		s := newService(t, "", 1)
		// drive fills the upstream up to its limit in each round while other entry
		// instances have requests in flight there. It returns the least and the last
		// limit.
		drive := func(work time.Duration, otherRequests int) (least, last float64) {
			least = slots
			for range rounds {
				limit := s.Status().Upstreams[0].Limit
				least = min(least, limit)
				var grants []*dispatch.Grant
				for range int(limit) {
					grants = append(grants, acquire(t, s, request(time.Hour)))
				}
				slowdown := max(1, float64(int(limit)+otherRequests)/slots)
				time.Sleep(time.Duration(float64(work) * slowdown))
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
			t.Errorf("under congestion the limit fell only to %v, want at most half of the slots", least)
		}
		if _, got := drive(20*time.Millisecond, 0); got != slots {
			t.Errorf("alone again the limit is %v, want all %d slots", got, slots)
		}
		if _, got := drive(100*time.Millisecond, 0); got != slots {
			t.Errorf("with slower work the limit is %v, want all %d slots", got, slots)
		}
	})
}

// TestRetryBudget checks that the retry budget grows in proportion to successes.
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

// TestBounds runs random interleavings of requests, their ends, departures of upstreams
// and changes of the connection share. It checks that no upstream has more requests in flight
// than its slots and the share allow, that a leaving one gets none, and that each request gets
// one answer.
func TestBounds(t *testing.T) {
	type action struct{ Kind, N int }
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{rapid.IntRange(0, 9).Draw(t, "kind"), rapid.IntRange(0, 1000).Draw(t, "n")}
		}), 1, 80).Draw(rt, "acts")
		var problem string
		synctest.Test(t, func(t *testing.T) {
			const slots, upstreams = 3, 3
			var allowed atomic.Int64
			allowed.Store(slots)
			s := newService(t, "upstream: {slots: 3}\nqueue: 5\n", upstreams, dispatch.WithConnectionShare(func(pointport.ZoneID) int { return int(allowed.Load()) }))
			var mu sync.Mutex
			held := []*dispatch.Grant{}
			requested, answered := 0, 0
			inFlight := make(map[pointport.InstanceID]int)
			leaving := make(map[pointport.InstanceID]bool)
			startRequest := func(n int) {
				requested++
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
						problem = fmt.Sprintf("%s has %d in flight with a share of %d, leaving: %v", u, inFlight[u], share, leaving[u])
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
			heldCount := func() int {
				mu.Lock()
				defer mu.Unlock()
				return len(held)
			}
			for _, a := range actions {
				switch a.Kind {
				case 0, 1, 2, 3:
					startRequest(a.N)
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
			for heldCount() > 0 {
				end(0)
				synctest.Wait()
			}
			time.Sleep(2 * time.Second)
			for heldCount() > 0 {
				end(0)
				synctest.Wait()
			}
			if requested != answered && problem == "" {
				problem = fmt.Sprintf("%d requests got %d answers", requested, answered)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// TestShareChangesBetweenPicks changes the share of connections at every call. If a
// request left the queue before its upstream was picked, the share could fall in between:
// the request would get no upstream and wait for ever. Every request must get an answer.
func TestShareChangesBetweenPicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		s := newService(t, "upstream: {slots: 1}\n", 1, dispatch.WithConnectionShare(func(pointport.ZoneID) int { return random.IntN(2) }))
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
		for range 1000 { // each update retries the waiting requests
			time.Sleep(100 * time.Millisecond)
			s.Update(template(t, "upstream: {slots: 1}\n"), targets(1))
		}
		if n := len(results); n != requests {
			t.Errorf("%d of %d requests got an answer", n, requests)
		}
	})
}
