package workload

import (
	"strings"
	"time"

	"github.com/pointport/pointport/customer"
)

// This file defines the catalog: the operators' configuration of queues and
// pools, as far as jobs are concerned.

// A Queue takes jobs for a pool. It is chosen by host and path.
type Queue struct {
	Name string
	Host string
	Path string // prefix of the path; what follows is the job's identity
	Pool string
	// Timeout is how long an answer to a customer may take.
	Timeout time.Duration
	Policy  Policy
	// AllowAnonymous says that callers need show no key. A key that one shows must be good all
	// the same.
	AllowAnonymous bool
	// Advice says how the advisor behaves for the queue; it is zero if the queue
	// needs none.
	Advice Advice
}

// Advice says how the advisor answers for a queue.
type Advice struct {
	Base        time.Duration // for each question
	PerInstance time.Duration // for each instance that is asked about
	ValidFor    time.Duration // how long an answer holds
}

// A PoolInfo is what the configuration says of a pool.
type PoolInfo struct {
	Name string
	// Spare says that the pool's instances are switched off and cost nothing.
	Spare bool
	// EnforcesCapacity says that the pool's instances refuse what does not fit.
	EnforcesCapacity bool
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Catalog is one version of the configuration. It is never changed.
type Catalog struct {
	Version int64
	Queues  []Queue
	Pools   []PoolInfo
	Limits  Limits
	// Customers are those whose requests are served; nil where no customers are told
	// apart and nobody needs a key.
	Customers *customer.Directory
}

// Match returns the queue whose host and longest path prefix fit; false if none
// does. A port in host is ignored.
func (c *Catalog) Match(host, path string) (*Queue, bool) {
	if n := strings.LastIndexByte(host, ':'); n >= 0 {
		host = host[:n]
	}
	var best *Queue
	for n := range c.Queues {
		q := &c.Queues[n]
		if q.Host == host && strings.HasPrefix(path, q.Path) && (best == nil || len(q.Path) > len(best.Path)) {
			best = q
		}
	}
	return best, best != nil
}

// WorkPools returns the names of the pools that may run tasks.
func (c *Catalog) WorkPools() []string {
	var out []string
	for _, p := range c.Pools {
		if !p.Spare {
			out = append(out, p.Name)
		}
	}
	return out
}
