package node_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests whose jobs are whose on whole nodes.

// keyOf returns the key of a customer of these tests.
func keyOf(name string) customer.Digest { return customer.DigestOf("key-of-" + name) }

// customers returns customers with a key each and the caps given.
func customers(caps map[string]pointport.Shape, names ...string) *customer.Directory {
	var all []customer.Customer
	for _, name := range names {
		all = append(all, customer.Customer{Name: name, Keys: []customer.Digest{keyOf(name)}, Weight: 1, Cap: caps[name]})
	}
	return customer.NewDirectory(all)
}

// as returns a node's desk as a customer sees it.
func as(n *node.Node, name string) *intake.Desk {
	return n.Desk().As(customer.Caller{Name: name, Key: keyOf(name), Version: n.ConfigVersion()})
}

// A customer sees and cancels its own jobs at every node, while they run and once they are
// over; for anybody else there is no such job, and its identity cannot be taken.
func TestJobsAreTheirCustomers(t *testing.T) {
	bubble(t, 3, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, "bistro", "cafe")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		const id = "00000000000000aa"
		ctx := context.Background()
		if err := as(n, "bistro").Submit(ctx, q, id, twoSteps(3*time.Second)); err != nil {
			t.Fatal(err)
		}
		hidden := func(when string) {
			for name, r := range c.nodes {
				for _, desk := range []*intake.Desk{as(r.node, "cafe"), r.node.Desk()} {
					var unknown *intake.UnknownJobError
					var taken *intake.TakenError
					if s, err := desk.Status(ctx, q, id); !errors.As(err, &unknown) {
						t.Errorf("%s, at %s, others are told %q, %v", when, name, s, err)
					}
					if err := desk.Cancel(ctx, q, id); !errors.As(err, &unknown) {
						t.Errorf("%s, at %s, others' cancellation: %v", when, name, err)
					}
					if err := desk.Submit(ctx, q, id, twoSteps(time.Second)); !errors.As(err, &taken) {
						t.Errorf("%s, at %s, others' submission under its identity: %v", when, name, err)
					}
				}
				if _, err := as(r.node, "bistro").Status(ctx, q, id); err != nil {
					t.Errorf("%s, at %s, its customer is told %v", when, name, err)
				}
				if err := as(r.node, "bistro").Submit(ctx, q, id, twoSteps(3*time.Second)); err != nil {
					t.Errorf("%s, at %s, its customer's second submission: %v", when, name, err)
				}
				if _, err := r.node.Desk().As(customer.Operator()).Status(ctx, q, id); err != nil {
					t.Errorf("%s, at %s, operators are told %v", when, name, err)
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
		hidden("while it runs")
		time.Sleep(10 * time.Second)
		if s, err := as(n, "bistro").Status(ctx, q, id); s != workload.Completed {
			t.Fatalf("others have stopped it: %q, %v", s, err)
		}
		hidden("once it is over")
		c.kill(c.owner("shift"))
		time.Sleep(5 * time.Second)
		hidden("after its owner was killed")
	})
}

// A cancellation by another customer that comes before the job does not keep its customer
// from it for good: the identity is the other's, and the job is refused, not lost.
func TestIdentityBuriedByAnother(t *testing.T) {
	bubble(t, 1, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, "bistro", "cafe")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		const id = "00000000000000aa"
		var unknown *intake.UnknownJobError
		if err := as(n, "cafe").Cancel(context.Background(), q, id); !errors.As(err, &unknown) {
			t.Fatal(err)
		}
		var taken *intake.TakenError
		if err := as(n, "bistro").Submit(context.Background(), q, id, twoSteps(time.Second)); !errors.As(err, &taken) {
			t.Errorf("answer %v, want a refusal", err)
		}
		time.Sleep(3 * time.Second)
		if got := c.fleet.Starts(); got != 0 {
			t.Errorf("%d tasks have started", got)
		}
	})
}

// What has to run at once and is beyond its customer's cap is refused with the reason, before
// anything is stored; what may run bit by bit is not.
func TestBeyondTheCapAtOnce(t *testing.T) {
	bubble(t, 1, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(capOf(3), "bistro")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		core := pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}
		cases := map[string]struct {
			step  workload.Step
			taken bool
		}{
			"00000000000000a1": {workload.Step{Count: 4, Need: core, Gang: true}, false},
			"00000000000000a2": {workload.Step{Count: 1, Need: core.Times(4)}, false},
			"00000000000000a3": {workload.Step{Count: 3, Need: core, Gang: true}, true},
			"00000000000000a4": {workload.Step{Count: 8, Need: core}, true},
		}
		for id, k := range cases {
			err := as(n, "bistro").Submit(context.Background(), q, id, &workload.Spec{Steps: []workload.Step{k.step}})
			var field *workload.SpecError
			if k.taken && err != nil || !k.taken && (!errors.As(err, &field) || field.Field != "steps[0].need") {
				t.Errorf("job %s with %+v: %v", id, k.step, err)
			}
		}
	})
}

// A member that the store does not serve hands a job on under a key that was taken away
// meanwhile: the peer, which knows the newer configuration, refuses it.
func TestPeerJudgesByNewerConfiguration(t *testing.T) {
	bubble(t, 2, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, "bistro", "cafe")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		c.setStoreFate(turnedAway(memory.FaultLostCall, "n0"))
		time.Sleep(2 * time.Second)
		c.configure(&workload.Catalog{Version: 3, Customers: customers(nil, "cafe")})
		time.Sleep(2 * time.Second)
		if got := n.ConfigVersion(); got != 2 {
			t.Fatalf("the node that is turned away knows version %d", got)
		}
		var revoked *intake.RevokedError
		if err := as(n, "bistro").Submit(context.Background(), q, "00000000000000aa", twoSteps(time.Second)); !errors.As(err, &revoked) {
			t.Errorf("answer %v, want a refusal of the key", err)
		}
		if err := as(n, "cafe").Submit(context.Background(), q, "00000000000000bb", twoSteps(time.Second)); err != nil {
			t.Errorf("a key that is in force: %v", err)
		}
		time.Sleep(5 * time.Second)
		if log := c.logs.about("key-of"); log != "" {
			t.Errorf("a key is logged: %s", log)
		}
		if starts := c.logs.about("task placed"); strings.Contains(starts, "00000000000000aa") {
			t.Error("the job of a key that was taken away runs")
		}
	})
}

// A key that is taken away stops working at every node that reads the store within two seconds,
// and one that is put in works, while owners are killed and a node is cut off from the store. A
// node that is cut off goes on with the keys that it knows, or tells callers to come back where
// operators are strict; it never says that a key is nobody's that is good. Within two seconds of
// its return it knows the newest.
func TestKeysTakenAwayAndPutIn(t *testing.T) {
	const inForce = 2 * time.Second
	for name, policy := range map[string]node.KeyPolicy{"strict": {Strict: true, Time: 3 * time.Second}, "not strict": {}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 4, func(c *cluster) {
				ask := func(n *node.Node, key string) int {
					desk := func(by customer.Caller) platform.Desk { return n.Desk().As(by) }
					keys := platform.KeyState{Trusted: n.KeysTrusted, Newest: n.KeysNewest}
					ingress := platform.NewIngress(desk, n.Catalog, n.Logger(), platform.WithKeyState(keys))
					r := httptest.NewRequest(http.MethodGet, "http://example/shift/00000000000000aa", nil)
					r.Header.Set("Authorization", "Token key-of-"+key)
					w := httptest.NewRecorder()
					ingress.ServeHTTP(w, r)
					return w.Code
				}
				// what nodes that are in touch say to a key that is good, and to one that is not
				const good, bad = http.StatusGone, http.StatusUnauthorized
				expect := func(when, key string, want int, except string) {
					for name, r := range c.nodes {
						if got := ask(r.node, key); name != except && got != want {
							t.Errorf("%s, %s answers %d to the key of %s, want %d", when, name, got, key, want)
						}
					}
				}
				c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, "bistro", "cafe")})
				time.Sleep(inForce)
				expect("at first", "bistro", good, "")
				expect("at first", "diner", bad, "")
				owner := c.owner("shift")
				cut := "n0"
				if owner == cut {
					cut = "n1"
				}
				c.setStoreFate(turnedAway(memory.FaultLostCall, cut))
				c.kill(owner)
				c.configure(&workload.Catalog{Version: 3, Customers: customers(nil, "cafe", "diner")})
				c.start(owner)
				time.Sleep(inForce)
				expect("while a node is cut off", "bistro", bad, cut)
				expect("while a node is cut off", "cafe", good, cut)
				expect("while a node is cut off", "diner", good, cut)
				time.Sleep(4 * time.Second)
				// Whether or not it trusts the keys that it knows, it has no store to ask.
				for _, key := range []string{"bistro", "cafe", "diner"} {
					if got := ask(c.nodes[cut].node, key); got != http.StatusServiceUnavailable {
						t.Errorf("the node that is cut off answers %d to the key of %s", got, key)
					}
				}
				c.setStoreFate(storeWorks)
				time.Sleep(inForce)
				expect("once it is back", "bistro", bad, "")
				expect("once it is back", "diner", good, "")
			}, withKeys(policy))
		})
	}
}

// Whether a member goes on with the keys that it knows while it cannot read the
// configuration is the operators' to say: strict, it stops after the time that they set,
// and begins again once it knows the newest.
func TestKeysWhileTheStoreIsAway(t *testing.T) {
	cases := map[string]struct {
		policy         node.KeyPolicy
		before, beyond bool // whether keys are trusted after 3 s and after 8 s
	}{
		"strict":     {node.KeyPolicy{Strict: true, Time: 5 * time.Second}, true, false},
		"not strict": {node.KeyPolicy{Time: 5 * time.Second}, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(c *cluster) {
				n := c.nodes["n0"].node
				if !n.KeysTrusted() {
					t.Error("keys are not trusted while all is well")
				}
				c.setStoreFate(func(string, string) memory.Fault { return memory.FaultLostCall })
				time.Sleep(3 * time.Second)
				if got := n.KeysTrusted(); got != test.before {
					t.Errorf("after 3 s, keys are trusted: %v", got)
				}
				time.Sleep(5 * time.Second)
				if got := n.KeysTrusted(); got != test.beyond {
					t.Errorf("after 8 s, keys are trusted: %v", got)
				}
				c.setStoreFate(storeWorks)
				time.Sleep(3 * time.Second)
				if !n.KeysTrusted() {
					t.Error("keys are not trusted although the store is back")
				}
			}, withKeys(test.policy))
		})
	}
}

// A capWatch is the reference for caps: one sum of what a customer has running, by what
// instances were told, held against the highest cap that counts.
type capWatch struct {
	c      *cluster
	ids    map[string]bool
	limits []countingCap
	worst  int64
}

type countingCap struct {
	cores int64
	until time.Time // zero while it is in force
}

// formerCapCounts is for how long a cap counts after a lower one was put into force: the
// least that the users' pages give.
const formerCapCounts = 2 * time.Second

// lower puts another cap into force.
func (w *capWatch) lower(version, cores int64) {
	w.limits[len(w.limits)-1].until = time.Now().Add(formerCapCounts)
	w.limits = append(w.limits, countingCap{cores: cores})
	w.c.configure(&workload.Catalog{Version: version, Customers: customers(capOf(cores), "bistro", "cafe")})
}

func capOf(cores int64) map[string]pointport.Shape {
	return map[string]pointport.Shape{"bistro": {CPUMilli: cores * 1000}}
}

// watch holds what runs against the cap until stop is closed.
func (w *capWatch) watch(stop <-chan struct{}) {
	before := int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		running := int64(0)
		for _, task := range w.c.fleet.RunningTasks() {
			if id, _, err := workload.ParseTaskName(task); err == nil && w.ids[id] {
				running++
			}
		}
		most := int64(0)
		for _, l := range w.limits {
			if l.until.IsZero() || time.Now().Before(l.until) {
				most = max(most, l.cores)
			}
		}
		w.worst = max(w.worst, running)
		if running > most && running > before {
			w.c.t.Errorf("%d cores run of a cap of %d", running, most)
		}
		before = running
	}
}

// What a customer has running in both pools stays within its cap while owners are killed,
// the cap is lowered and raised, and a node is cut off from the store; another customer is
// served beside it, and what was held back runs in the end.
func TestCaps(t *testing.T) {
	cases := map[string]func(c *cluster){
		"no trouble": func(*cluster) {},
		"owners killed": func(c *cluster) {
			for range 3 {
				for _, pool := range []string{"shift", "payout"} {
					name := c.owner(pool)
					c.kill(name)
					c.start(name)
					time.Sleep(1500 * time.Millisecond)
				}
			}
		},
		"an owner cut off from the store": func(c *cluster) {
			name := c.owner("shift")
			c.setStoreFate(turnedAway(memory.FaultLostCall, name))
			time.Sleep(6 * time.Second)
			c.setStoreFate(storeWorks)
		},
		"answers of the store lost": func(c *cluster) {
			calls := 0
			c.setStoreFate(func(_, op string) memory.Fault {
				if calls++; op == "commit" && calls%3 == 0 {
					return memory.FaultLostAnswer
				}
				return memory.FaultNone
			})
			time.Sleep(6 * time.Second)
			c.setStoreFate(storeWorks)
		},
	}
	const task = 700 * time.Millisecond
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, 3, func(c *cluster) {
				w := &capWatch{c: c, ids: make(map[string]bool), limits: []countingCap{{cores: 12}}}
				c.configure(&workload.Catalog{Version: 2, Customers: customers(capOf(12), "bistro", "cafe")})
				time.Sleep(2 * time.Second)
				n := c.nodes["n0"].node
				q := map[string]*workload.Queue{"shift": queue(t, n, "shift-close"), "payout": queue(t, n, "payout-close")}
				spec := &workload.Spec{Payload: fmt.Sprintf("duration=%v cpu=1000 memory=16", task), Steps: []workload.Step{{Count: 4, Need: pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}, Estimate: task}}}
				const jobs = 24
				for i := range 2 * jobs {
					w.ids[fmt.Sprintf("%016x", i)] = true
				}
				for i := range jobs {
					for k, pool := range []string{"shift", "payout"} {
						if err := as(n, "bistro").Submit(context.Background(), q[pool], fmt.Sprintf("%016x", 2*i+k), spec); err != nil {
							t.Fatal(err)
						}
					}
				}
				stop := make(chan struct{})
				go w.watch(stop)
				time.Sleep(time.Second)
				done := make(chan struct{})
				go func() {
					defer close(done)
					trouble(c)
				}()
				time.Sleep(time.Second)
				w.lower(3, 5)
				time.Sleep(5 * time.Second)
				w.lower(4, 9)
				time.Sleep(2 * time.Second)
				w.lower(5, 3)
				<-done
				time.Sleep(8 * time.Second)
				n = c.nodes["n0"].node
				if err := as(n, "cafe").Submit(context.Background(), q["shift"], "00000000000000ff", spec); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				if s, err := as(n, "cafe").Status(context.Background(), q["shift"], "00000000000000ff"); s != workload.Completed {
					t.Errorf("beside a customer at its cap, another's job is %q, %v", s, err)
				}
				w.lower(6, 40)
				for id := range w.ids {
					pool := q["shift"]
					if strings.ContainsAny(id[15:], "13579bdf") {
						pool = q["payout"]
					}
					for end := time.Now().Add(time.Minute); ; time.Sleep(50 * time.Millisecond) {
						s, _ := as(n, "bistro").Status(context.Background(), pool, id)
						if s == workload.Completed {
							break
						}
						if time.Now().After(end) {
							t.Fatalf("job %s is %q\n%s", id, s, c.logs.about(id))
						}
					}
				}
				close(stop)
				if w.worst < 10 {
					t.Errorf("at most %d cores ran of a cap of 12", w.worst)
				}
			}, withWork(func(pointport.StartOrder) testbed.Work {
				return testbed.Work{Room: pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}, Duration: task}
			}))
		})
	}
}

// What users saw: while one customer sent ten times its usual, all were served badly. The
// load here: four customers whose jobs take a third of what the fleet holds, and one of them
// sends twenty-five times its usual for eight seconds, in which the owner of its pool is killed.
// The others must have nine of ten jobs in time; of the storm what is refused never runs, and
// what was accepted ends.
func TestStormOfACustomerWhileItsOwnerIsKilled(t *testing.T) {
	const work = 700 * time.Millisecond
	room := pointport.Shape{CPUMilli: 1000, MemoryMiB: 16}
	bubble(t, 4, func(c *cluster) {
		names := []string{"bistro", "cafe", "diner", "grill"}
		c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, names...)})
		time.Sleep(2 * time.Second)
		q := queue(t, c.nodes["n0"].node, "shift-close")
		spec := &workload.Spec{Payload: "x", Steps: []workload.Step{{Count: 2, Need: room, Estimate: work}}}
		type ticket struct {
			customer        string
			asked, ended    time.Time
			refused, failed bool
		}
		var mu sync.Mutex
		tickets := make(map[string]*ticket)
		var wg sync.WaitGroup
		ask := func(customer string, n int) {
			id := fmt.Sprintf("%016x", len(tickets)+1)
			k := &ticket{customer: customer, asked: time.Now()}
			tickets[id] = k
			wg.Go(func() {
				for try := 0; ; try++ {
					at := c.any(n + try)
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					err := as(at, customer).Submit(ctx, q, id, spec)
					cancel()
					var excess *intake.ExcessError
					if errors.As(err, &excess) {
						if excess.After <= 0 || customer != "bistro" {
							t.Errorf("a job of %s is refused: %v", customer, err)
						}
						k.refused = true
						return
					}
					if err == nil {
						break
					}
					if try > 20 {
						k.failed = true
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
				for time.Since(k.asked) < time.Minute {
					if s, err := as(c.any(n), customer).Status(context.Background(), q, id); err == nil && s.Ended() {
						mu.Lock()
						k.ended = time.Now()
						mu.Unlock()
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		n := 0
		for at := time.Duration(0); at < 16*time.Second; at += 100 * time.Millisecond {
			for k, name := range names {
				if at%(400*time.Millisecond) == time.Duration(k)*100*time.Millisecond {
					n++
					ask(name, n)
				}
			}
			if at >= 4*time.Second && at < 12*time.Second {
				for range 6 {
					n++
					ask("bistro", n)
				}
			}
			if at == 8*time.Second {
				owner := c.owner("shift")
				c.kill(owner)
				c.start(owner)
			}
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		asked, inTime, refused := make(map[string]int), make(map[string]int), 0
		objective := time.Duration(q.Policy.Stretch*float64(work)) + q.Policy.Target
		killed := func(k *ticket) bool {
			since := k.asked.Sub(tickets["0000000000000001"].asked)
			return since > 7*time.Second && since < 14*time.Second
		}
		for id, k := range tickets {
			switch {
			case k.refused:
				refused++
				if started := c.logs.about("task placed"); strings.Contains(started, id) {
					t.Errorf("job %s was refused and runs", id)
				}
				continue
			case k.failed || k.ended.IsZero():
				t.Errorf("job %s of %s has not ended", id, k.customer)
			}
			if killed(k) {
				continue // its owner had just died; nobody is served for a second or two
			}
			asked[k.customer]++
			if k.ended.Sub(k.asked) <= objective {
				inTime[k.customer]++
			}
		}
		for _, name := range names[1:] {
			if inTime[name]*10 < asked[name]*9 {
				t.Errorf("%d of %d jobs of %s ended in time", inTime[name], asked[name], name)
			}
		}
		t.Logf("in time %v of %v, %d of the storm refused", inTime, asked, refused)
	}, withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Room: room, Duration: work}
	}))
}
