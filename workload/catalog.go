package workload

import (
	"math"
	"strings"
	"time"

	"github.com/pointport/pointport/customer"
)

// This file defines the catalog: the part of the operators' configuration that
// concerns jobs, which is its queues and pools.
//
// The operators' API answers with queues as JSON: the tags keep the names of its fields.

// A Queue accepts jobs for a pool. It is selected by the host and path of a request.
type Queue struct {
	Name string
	Host string
	Path string // path prefix; the rest of the path is the job's ID
	Pool string
	// Timeout is the time within which a customer's request must be answered.
	Timeout time.Duration
	Policy  Policy
	// AllowAnonymous reports whether callers may omit the API key. A key that is given must
	// be valid in any case.
	AllowAnonymous bool `json:"Anonymous"`
	// Advice is how the advisor behaves for the queue. It is zero if the queue needs
	// no advice.
	Advice Advice
}

// Advice defines how the advisor behaves for a queue.
type Advice struct {
	Base        time.Duration // answer time of a request, without its instances
	PerInstance time.Duration `json:"Each"`  // additional answer time for each instance asked about
	ValidFor    time.Duration `json:"Valid"` // how long an answer is valid
}

// TimeFor returns the answer time of a request that names n instances.
func (a Advice) TimeFor(n int) time.Duration { return a.Base + time.Duration(n)*a.PerInstance }

// MaxInstances returns how many instances a request may name, at least one, so that it is answered within a
// time.
func (a Advice) MaxInstances(within time.Duration) int {
	if a.PerInstance <= 0 {
		return math.MaxInt
	}
	return max(1, int((within-a.Base)/a.PerInstance))
}

// A PoolInfo is the configuration of a pool.
type PoolInfo struct {
	Name string
	// Spare reports whether the pool's instances are switched off and cost nothing.
	Spare bool
	// EnforcesCapacity reports whether the pool's instances reject tasks that exceed their
	// capacity.
	EnforcesCapacity bool `json:"Guards"`
}

// Limits are the limits on a client's requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version int64
	Queues  []Queue
	Pools   []PoolInfo
	Limits  Limits
	// Customers contains the customers whose requests are served. It is nil if customers are
	// not distinguished and no caller needs a key.
	Customers *customer.Directory
}

// Match returns the queue with the given host and the longest matching path prefix;
// false if there is none. A port in host is ignored.
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

// WorkPools returns the names of the pools that run tasks, which are all but the spare ones.
func (c *Catalog) WorkPools() []string {
	var out []string
	for _, p := range c.Pools {
		if !p.Spare {
			out = append(out, p.Name)
		}
	}
	return out
}
