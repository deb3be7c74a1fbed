package soak

import (
	"context"
	"errors"
	"time"

	"github.com/pointport/pointport"
	people "github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/workload"
)

// This file checks that customers see their own jobs alone, that no other key works, and that
// what one has running stays within its cap.

// customerNames are the customers; the first is greedy and has a cap.
var customerNames = []string{"bistro", "cafe", "diner"}

const (
	// foreignAccessCheckEvery is at every how many of its jobs a customer's job is asked for by others.
	foreignAccessCheckEvery = 6
	// capCores is the cap of the first customer. Its jobs that last take 5.4 at most.
	capCores = 9
	// capCheckInterval is how often what it has running is held against the cap. Shorter tasks than
	// that are seen now and then.
	capCheckInterval = 20 * time.Millisecond
)

// soakCustomers returns the customers.
func soakCustomers() []people.Customer {
	var all []people.Customer
	for n, name := range customerNames {
		c := people.Customer{Name: name, Weight: 1, Keys: []people.Digest{people.DigestOf(soakKey(name))}}
		if n == 0 {
			c.Cap = pointport.Shape{CPUMilli: capCores * 1000}
		}
		all = append(all, c)
	}
	return all
}

func soakKey(name string) string { return "key-of-" + name }

func soakKeys() map[string][]string {
	keys := make(map[string][]string)
	for _, name := range customerNames {
		keys[name] = []string{soakKey(name)}
	}
	return keys
}

// client returns a client of an entry that shows a customer's key.
func (s *soak) client(e *entry, name string, timeout time.Duration) *platform.Client {
	return platform.NewClient(e.settings.Clients, timeout, platform.WithKey(soakKey(name)))
}

// checkForeignAccess asks each entry for a job under other keys than its customer's, and under
// none: whoever answers must know nothing of it, and a key of nobody must be refused.
func (s *soak) checkForeignAccess(ctx context.Context, t *submission) {
	other := customerNames[0]
	if t.customer == other {
		other = customerNames[1]
	}
	e := s.entries[len(t.id)*int(t.id[0])%len(s.entries)]
	for _, c := range []*platform.Client{s.client(e, other, time.Second), platform.NewClient(e.settings.Clients, time.Second)} {
		if status, err := c.Status(ctx, t.queue, t.id); err == nil {
			s.fail("job %s of %s is shown as %s to others", t.id, t.customer, status)
		}
	}
	err := s.client(e, "nobody", time.Second).Cancel(ctx, t.queue, t.id)
	var unknown *intake.UnknownJobError
	if err == nil || errors.As(err, &unknown) {
		s.fail("a key of nobody is taken by %s: %v", e.name, err)
	}
}

// checkCap holds what the first customer has running against its cap until ctx ends.
func (s *soak) checkCap(ctx context.Context) {
	// A tenth and one task more than the cap may run, by the users' pages.
	const most = capCores*1100 + 1000
	for ctx.Err() == nil {
		if got := s.runningCPUMilli(customerNames[0]); got > most {
			s.fail("%d thousandths of a core of %s run, and its cap is %d", got, customerNames[0], capCores*1000)
			return
		}
		time.Sleep(capCheckInterval)
	}
}

// runningCPUMilli returns what the tasks declare that a customer has running, in thousandths of a core.
func (s *soak) runningCPUMilli(name string) int64 {
	var sum int64
	tasks := s.grid.Fleet().RunningTasks()
	s.jobs.mu.Lock()
	defer s.jobs.mu.Unlock()
	for _, task := range tasks {
		id, ref, err := workload.ParseTaskName(task)
		if t := s.jobs.byJobID[id]; err == nil && t != nil && t.customer == name {
			sum += t.spec.Steps[ref.Step].Need.CPUMilli
		}
	}
	return sum
}
