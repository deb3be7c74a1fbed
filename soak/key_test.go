package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pointport/pointport"
	customers "github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/workload"
)

// This file checks that customers see only their own jobs, that unknown keys are refused, and that
// each customer's running tasks stay within its cap.

// customerNames are the customers. The first submits more than its cap allows to run.
var customerNames = []string{"bistro", "cafe", uncappedCustomer}

// uncappedCustomer is a customer without a cap.
const uncappedCustomer = "diner"

const (
	// foreignAccessCheckEvery is the number of a customer's jobs for each one that is queried with
	// other keys.
	foreignAccessCheckEvery = 6
	// capCores is the cap of the first customer, in cores. Its jobs that run until they are
	// cancelled take 5.4 cores at most.
	capCores = 9
	// capCheckInterval is how often the first customer's running tasks are compared with the cap.
	// Tasks that are shorter than this are only sometimes seen.
	capCheckInterval = 20 * time.Millisecond
)

// soakCustomers returns the customers with their keys and caps.
func soakCustomers() []customers.Customer {
	var all []customers.Customer
	for n, name := range customerNames {
		c := customers.Customer{Name: name, Weight: 1, Keys: []customers.Digest{customers.DigestOf(soakKey(name))}}
		if n == 0 {
			c.Cap = pointport.Shape{CPUMilli: capCores * 1000}
		}
		all = append(all, c)
	}
	return all
}

// capParts are the parts of capCores, in thousandths, that changes of the cap choose from.
var capParts = []int64{1000, 999, 960, 900, 500}

// changeCaps changes the first customer's cap until ctx ends, and leaves it lower by a hair: tasks that run
// for long may need more than a half.
func (s *soak) changeCaps(ctx context.Context, t *testing.T, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
		for range 1 + r.IntN(3) {
			s.setCap(t, capCores*capParts[r.IntN(len(capParts))])
			pause(ctx, time.Duration(r.IntN(400))*time.Millisecond)
		}
	}
	s.setCap(t, capCores*capParts[0])
	s.setCap(t, capCores*capParts[1])
}

// setCap puts another cap of the first customer into force, in thousandths of a core.
func (s *soak) setCap(t *testing.T, limit int64) {
	s.record("cap of %s is %d", customerNames[0], limit)
	defer s.grid.Fleet().BeginDisturbance()()
	shape := pointport.Shape{CPUMilli: limit}
	all := soakCustomers()
	all[0].Cap = shape
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.catalog
	next.Customers = customers.NewDirectory(all)
	s.catalog = &next
	if err := s.grid.Configure(s.catalog); err != nil {
		t.Error(err)
	}
	s.grid.Fleet().SetCap(customerNames[0], shape)
}

func soakKey(name string) string { return "key-of-" + name }

func soakKeys() map[string][]string {
	keys := make(map[string][]string)
	for _, name := range customerNames {
		keys[name] = []string{soakKey(name)}
	}
	return keys
}

// client returns a client of an entry instance that uses a customer's key.
func (s *soak) client(e *entry, name string, timeout time.Duration) *platform.Client {
	return platform.NewClient(e.settings.Clients, timeout, platform.WithKey(soakKey(name)))
}

// checkForeignAccess queries one entry instance for a job with another customer's key, without a
// key and with an unknown key. The first two must not find the job, and the unknown key must be
// refused.
func (s *soak) checkForeignAccess(ctx context.Context, t *submission) {
	other := customerNames[0]
	if t.customer == other {
		other = customerNames[1]
	}
	e := s.entries[len(t.id)*int(t.id[0])%len(s.entries)]
	for _, c := range []*platform.Client{s.client(e, other, time.Second), platform.NewClient(e.settings.Clients, time.Second)} {
		if status, err := c.Status(ctx, t.queue, t.id); err == nil {
			s.fail("the status of job %s of %s is visible to others: %s", t.id, t.customer, status)
		}
	}
	err := s.client(e, "nobody", time.Second).Cancel(ctx, t.queue, t.id)
	var unknownJob *intake.UnknownJobError
	if err == nil || errors.As(err, &unknownJob) {
		s.fail("an unknown key is accepted by %s: %v", e.name, err)
	}
}

// checkCap compares what the first customer has running with its cap until ctx ends.
func (s *soak) checkCap(ctx context.Context) {
	// The guarantee to users allows the cap to be exceeded by a tenth and one task.
	const limit = capCores*1100 + 1000
	for ctx.Err() == nil {
		if got := s.runningCPUMilli(customerNames[0]); got > limit {
			s.fail("%d thousandths of a core run for %s, and its cap is %d", got, customerNames[0], capCores*1000)
			return
		}
		time.Sleep(capCheckInterval)
	}
}

// runningCPUMilli returns the sum of the CPU that a customer's running tasks declare, in
// thousandths of a core.
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
