package node_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/platform"
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

// asCustomer returns a node's desk as a customer sees it.
func asCustomer(n *node.Node, name string) *intake.Service {
	return n.Intake().ForCaller(customer.Caller{Name: name, Key: keyOf(name), Version: n.ConfigVersion()})
}

// A customer sees and cancels its own jobs at every node, while they run and once they are
// over; for anybody else there is no such job, and its identity cannot be taken.
func TestOnlyItsCustomerCanAccessJob(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, "bistro", "cafe")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		const id = "00000000000000aa"
		ctx := context.Background()
		if err := asCustomer(n, "bistro").Submit(ctx, q, id, twoSteps(3*time.Second)); err != nil {
			t.Fatal(err)
		}
		hidden := func(when string) {
			for name, r := range c.nodes {
				for _, desk := range []*intake.Service{asCustomer(r.node, "cafe"), r.node.Intake()} {
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
				if _, err := asCustomer(r.node, "bistro").Status(ctx, q, id); err != nil {
					t.Errorf("%s, at %s, its customer is told %v", when, name, err)
				}
				if err := asCustomer(r.node, "bistro").Submit(ctx, q, id, twoSteps(3*time.Second)); err != nil {
					t.Errorf("%s, at %s, its customer's second submission: %v", when, name, err)
				}
				if _, err := r.node.Intake().ForCaller(customer.Operator()).Status(ctx, q, id); err != nil {
					t.Errorf("%s, at %s, operators are told %v", when, name, err)
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
		hidden("while it runs")
		time.Sleep(10 * time.Second)
		if s, err := asCustomer(n, "bistro").Status(ctx, q, id); s != workload.Completed {
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
func TestJobIDCancelledByAnotherCustomerIsTaken(t *testing.T) {
	simulate(t, 1, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, "bistro", "cafe")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		const id = "00000000000000aa"
		var unknown *intake.UnknownJobError
		if err := asCustomer(n, "cafe").Cancel(context.Background(), q, id); !errors.As(err, &unknown) {
			t.Fatal(err)
		}
		var taken *intake.TakenError
		if err := asCustomer(n, "bistro").Submit(context.Background(), q, id, twoSteps(time.Second)); !errors.As(err, &taken) {
			t.Errorf("answer %v, want a refusal", err)
		}
		time.Sleep(3 * time.Second)
		if got := c.fleet.Starts(); got != 0 {
			t.Errorf("%d tasks have started", got)
		}
	})
}

// A member that the store does not serve hands a job on under a key that was taken away
// meanwhile: the peer, which knows the newer configuration, refuses it.
func TestPeerWithNewerConfigurationRefusesRevokedKey(t *testing.T) {
	simulate(t, 2, func(c *cluster) {
		c.configure(&workload.Catalog{Version: 2, Customers: customers(nil, "bistro", "cafe")})
		time.Sleep(2 * time.Second)
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		c.setStoreFault(storeFaultFor(memory.FaultLostCall, "n0"))
		time.Sleep(2 * time.Second)
		c.configure(&workload.Catalog{Version: 3, Customers: customers(nil, "cafe")})
		time.Sleep(2 * time.Second)
		if got := n.ConfigVersion(); got != 2 {
			t.Fatalf("the node that is turned away knows version %d", got)
		}
		var revoked *intake.RevokedError
		if err := asCustomer(n, "bistro").Submit(context.Background(), q, "00000000000000aa", twoSteps(time.Second)); !errors.As(err, &revoked) {
			t.Errorf("answer %v, want a refusal of the key", err)
		}
		if err := asCustomer(n, "cafe").Submit(context.Background(), q, "00000000000000bb", twoSteps(time.Second)); err != nil {
			t.Errorf("a key that is in force: %v", err)
		}
		time.Sleep(5 * time.Second)
		if log := c.logs.containing("key-of"); log != "" {
			t.Errorf("a key is logged: %s", log)
		}
		if starts := c.logs.containing("task placed"); strings.Contains(starts, "00000000000000aa") {
			t.Error("the job of a key that was taken away runs")
		}
	})
}

// A key that is taken away stops working at every node that reads the store within two seconds,
// and one that is put in works, while owners are killed and a node is cut off from the store. A
// node that is cut off goes on with the keys that it knows, or tells callers to come back where
// operators are strict; it never says that a key is nobody's that is good. Within two seconds of
// its return it knows the newest.
func TestRevokedAndAddedKeys(t *testing.T) {
	const inForce = 2 * time.Second
	for name, policy := range map[string]node.KeyPolicy{"strict": {Strict: true, MaxConfigAge: 3 * time.Second}, "not strict": {}} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 4, func(c *cluster) {
				ask := func(n *node.Node, key string) int {
					desk := func(by customer.Caller) platform.Desk { return n.Intake().ForCaller(by) }
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
				c.setStoreFault(storeFaultFor(memory.FaultLostCall, cut))
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
				c.setStoreFault(noStoreFault)
				time.Sleep(inForce)
				expect("once it is back", "bistro", bad, "")
				expect("once it is back", "diner", good, "")
			}, withKeyPolicy(policy))
		})
	}
}

// Whether a member goes on with the keys that it knows while it cannot read the
// configuration is the operators' to say: strict, it stops after the time that they set,
// and begins again once it knows the newest.
func TestKeysWhileStoreIsUnreachable(t *testing.T) {
	cases := map[string]struct {
		policy         node.KeyPolicy
		before, beyond bool // whether keys are trusted after 3 s and after 8 s
	}{
		"strict":     {node.KeyPolicy{Strict: true, MaxConfigAge: 5 * time.Second}, true, false},
		"not strict": {node.KeyPolicy{MaxConfigAge: 5 * time.Second}, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, func(c *cluster) {
				n := c.nodes["n0"].node
				if !n.KeysTrusted() {
					t.Error("keys are not trusted while all is well")
				}
				c.setStoreFault(func(string, string) memory.Fault { return memory.FaultLostCall })
				time.Sleep(3 * time.Second)
				if got := n.KeysTrusted(); got != test.before {
					t.Errorf("after 3 s, keys are trusted: %v", got)
				}
				time.Sleep(5 * time.Second)
				if got := n.KeysTrusted(); got != test.beyond {
					t.Errorf("after 8 s, keys are trusted: %v", got)
				}
				c.setStoreFault(noStoreFault)
				time.Sleep(3 * time.Second)
				if !n.KeysTrusted() {
					t.Error("keys are not trusted although the store is back")
				}
			}, withKeyPolicy(test.policy))
		})
	}
}
