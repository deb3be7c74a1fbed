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

// This file tests on complete nodes that only its own customer can access a job.

// keyOf returns the digest of the key that a customer has in these tests.
func keyOf(name string) customer.Digest { return customer.DigestOf("key-of-" + name) }

// customers returns customers with one key each and the given caps.
func customers(caps map[string]pointport.Shape, names ...string) *customer.Directory {
	var all []customer.Customer
	for _, name := range names {
		all = append(all, customer.Customer{Name: name, Keys: []customer.Digest{keyOf(name)}, Weight: 1, Cap: caps[name]})
	}
	return customer.NewDirectory(all)
}

// asCustomer returns a node's intake service for the calls of a customer.
func asCustomer(n *node.Node, name string) *intake.Service {
	return n.Intake().ForCaller(customer.Caller{Name: name, Key: keyOf(name), Version: n.ConfigVersion()})
}

// A customer can access and cancel its own jobs at every node, while they run and after they
// have ended. For other customers these jobs do not exist, but their IDs are taken.
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
		checkHidden := func(when string) {
			for name, r := range c.nodes {
				for _, service := range []*intake.Service{asCustomer(r.node, "cafe"), r.node.Intake()} {
					var unknown *intake.UnknownJobError
					var taken *intake.TakenError
					if s, err := service.Status(ctx, q, id); !errors.As(err, &unknown) {
						t.Errorf("%s, at %s, Status for another customer returns %q, %v", when, name, s, err)
					}
					if err := service.Cancel(ctx, q, id); !errors.As(err, &unknown) {
						t.Errorf("%s, at %s, Cancel by another customer returns %v", when, name, err)
					}
					if err := service.Submit(ctx, q, id, twoSteps(time.Second)); !errors.As(err, &taken) {
						t.Errorf("%s, at %s, Submit with the same ID by another customer returns %v", when, name, err)
					}
				}
				if _, err := asCustomer(r.node, "bistro").Status(ctx, q, id); err != nil {
					t.Errorf("%s, at %s, Status for its customer returns %v", when, name, err)
				}
				if err := asCustomer(r.node, "bistro").Submit(ctx, q, id, twoSteps(3*time.Second)); err != nil {
					t.Errorf("%s, at %s, the second Submit by its customer returns %v", when, name, err)
				}
				if _, err := r.node.Intake().ForCaller(customer.Operator()).Status(ctx, q, id); err != nil {
					t.Errorf("%s, at %s, Status for operators returns %v", when, name, err)
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
		checkHidden("while it runs")
		time.Sleep(10 * time.Second)
		if s, err := asCustomer(n, "bistro").Status(ctx, q, id); s != workload.Completed {
			t.Fatalf("the job has status %q, error %v, after others tried to cancel it", s, err)
		}
		checkHidden("after it has ended")
		c.kill(c.owner("shift"))
		time.Sleep(5 * time.Second)
		checkHidden("after its owner was killed")
	})
}

// Another customer cancels a job ID before the job is submitted. The ID then belongs to the
// other customer, so the submission must be refused. If it were accepted, the job would never
// run.
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
			t.Errorf("Submit returned %v, want a refusal because the ID is taken", err)
		}
		time.Sleep(3 * time.Second)
		if got := c.fleet.Starts(); got != 0 {
			t.Errorf("%d tasks have started, want none", got)
		}
	})
}

// A member that is disconnected from the store forwards a job to a peer, and the job's key has
// been revoked since. The peer, which knows the newer configuration, refuses the job.
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
			t.Fatalf("the disconnected node knows version %d, want 2", got)
		}
		var revoked *intake.RevokedError
		if err := asCustomer(n, "bistro").Submit(context.Background(), q, "00000000000000aa", twoSteps(time.Second)); !errors.As(err, &revoked) {
			t.Errorf("Submit with a revoked key returned %v, want a refusal of the key", err)
		}
		if err := asCustomer(n, "cafe").Submit(context.Background(), q, "00000000000000bb", twoSteps(time.Second)); err != nil {
			t.Errorf("Submit with a valid key returned %v", err)
		}
		time.Sleep(5 * time.Second)
		if log := c.logs.containing("key-of"); log != "" {
			t.Errorf("a key is logged: %s", log)
		}
		if starts := c.logs.containing("task placed"); strings.Contains(starts, "00000000000000aa") {
			t.Error("the job of a revoked key runs")
		}
	})
}

// A revoked key stops working within two seconds at every node that can read the store, and a
// new key starts working, while owners are killed and a node is disconnected from the store.
// The disconnected node continues with the keys that it knows; under a strict policy it asks
// callers to retry instead. It never reports a valid key as unknown. Within two seconds of its
// reconnection it knows the newest keys.
func TestRevokedAndAddedKeys(t *testing.T) {
	const inForce = 2 * time.Second
	for name, policy := range map[string]node.KeyPolicy{"strict": {Strict: true, MaxConfigAge: 3 * time.Second}, "not strict": {}} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 4, func(c *cluster) {
				ask := func(n *node.Node, key string) int {
					service := func(by customer.Caller) platform.JobService { return n.Intake().ForCaller(by) }
					keys := platform.KeyState{Trusted: n.KeysTrusted, UpToDate: n.KeysNewest}
					ingress := platform.NewIngress(service, n.Catalog, n.Logger(), platform.WithKeyState(keys))
					r := httptest.NewRequest(http.MethodGet, "http://example/shift/00000000000000aa", nil)
					r.Header.Set("Authorization", "Token key-of-"+key)
					w := httptest.NewRecorder()
					ingress.ServeHTTP(w, r)
					return w.Code
				}
				// the responses of connected nodes to a valid key and to an unknown one
				const good, bad = http.StatusGone, http.StatusUnauthorized
				expect := func(when, key string, want int, except string) {
					for name, r := range c.nodes {
						if got := ask(r.node, key); name != except && got != want {
							t.Errorf("%s, %s responds with %d to the key of %s, want %d", when, name, got, key, want)
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
				// Whether or not it accepts the key, it has no store to look the job up in.
				for _, key := range []string{"bistro", "cafe", "diner"} {
					if got := ask(c.nodes[cut].node, key); got != http.StatusServiceUnavailable {
						t.Errorf("the disconnected node responds with %d to the key of %s", got, key)
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

// The key policy decides whether a member that cannot read the configuration continues with the
// keys that it knows. Under a strict policy it stops doing so after the policy's time, and
// starts again once it knows the newest configuration.
func TestKeysWhileStoreIsUnreachable(t *testing.T) {
	cases := map[string]struct {
		policy        node.KeyPolicy
		before, after bool // whether keys are trusted after 3 s and after 8 s
	}{
		"strict":     {node.KeyPolicy{Strict: true, MaxConfigAge: 5 * time.Second}, true, false},
		"not strict": {node.KeyPolicy{MaxConfigAge: 5 * time.Second}, true, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, func(c *cluster) {
				n := c.nodes["n0"].node
				if !n.KeysTrusted() {
					t.Error("keys are not trusted while the store is available")
				}
				c.setStoreFault(func(string, string) memory.Fault { return memory.FaultLostCall })
				time.Sleep(3 * time.Second)
				if got := n.KeysTrusted(); got != test.before {
					t.Errorf("after 3 s, keys are trusted: %v", got)
				}
				time.Sleep(5 * time.Second)
				if got := n.KeysTrusted(); got != test.after {
					t.Errorf("after 8 s, keys are trusted: %v", got)
				}
				c.setStoreFault(noStoreFault)
				time.Sleep(3 * time.Second)
				if !n.KeysTrusted() {
					t.Error("keys are not trusted although the store is available again")
				}
			}, withKeyPolicy(test.policy))
		})
	}
}
