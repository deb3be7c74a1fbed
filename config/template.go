package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the template of a pool and of the service on it.

// A Priority orders waiting requests and jobs.
type Priority string

// The priorities, from the first to be served to the last.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Bulk   Priority = "bulk"
)

// Rank returns the position of the priority, from 0 for the first to be served to
// Ranks-1. A priority that is not known has the rank of Normal.
func (p Priority) Rank() int {
	switch p {
	case Urgent:
		return 0
	case Bulk:
		return 2
	}
	return 1
}

// Ranks is the number of ranks of priorities.
const Ranks = 3

// A Domain is a kind of failure domain.
type Domain string

// The failure domains that a pool can be spread across.
const (
	DomainRack   Domain = "rack"
	DomainZone   Domain = "zone"
	DomainRegion Domain = "region"
)

// Limits and defaults of a template's fields.
const (
	maxPoolSize          = 20000
	maxRoutes            = 64
	maxTimeout           = time.Hour
	defaultTimeout       = 30 * time.Second
	defaultMaxBody       = 8 << 20
	maxBodyLimit         = 1 << 30
	defaultQueueLength   = 512
	defaultRetryBuffer   = 64 << 10
	defaultSlots         = 8
	defaultConnections   = 64
	defaultRetryRatio    = 0.1
	defaultMaxAttempts   = 3
	defaultEjectFailures = 5
	defaultEjectFor      = 10 * time.Second
	defaultMaxEjected    = 0.5
	defaultDrainQuiet    = 3 * time.Second
	defaultDrainBound    = 10 * time.Minute
	defaultReturnBound   = 15 * time.Minute
	defaultStopAfter     = 3
	defaultNotRunHeader  = "X-Not-Run"
	defaultLeavingHeader = "X-Leaving"
)

// A Template describes one pool and the service that its instances run.
type Template struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Routes match the requests that go to the service.
	Routes []Route `json:"routes"`
	// Pool describes the instances that the service runs on.
	Pool Pool `json:"pool"`
	// Upstream describes the capacity of one instance.
	Upstream Upstream `json:"upstream"`
	// Retry limits the attempts of a request.
	Retry Retry `json:"retry"`
	// Ejection defines when a failing upstream is taken out of use.
	Ejection Ejection `json:"ejection"`
	// Maintenance limits waves and moves.
	Maintenance Maintenance `json:"maintenance"`
	// Queue is the maximum number of the service's requests that wait in one entry
	// instance.
	Queue int `json:"queue"`
}

// A Route matches requests that go to a service, and defines how they are handled.
type Route struct {
	// Host is the host that the request names, without a port; empty for any.
	Host string `json:"host,omitempty"`
	// PathPrefix is a prefix of the request's path that ends at the boundary of a
	// path segment.
	PathPrefix string `json:"pathPrefix"`
	// Methods are the request's methods; empty for any.
	Methods []string `json:"methods,omitempty"`
	// Repeatable declares that the work may safely run more than once.
	Repeatable bool `json:"repeatable"`
	// RequireKey has requests without an Idempotency-Key refused.
	RequireKey bool `json:"requireKey"`
	// Priority orders waiting requests.
	Priority Priority `json:"priority"`
	// Timeout limits the time from a request's arrival to the end of its answer.
	Timeout Duration `json:"timeout"`
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int64 `json:"maxBody"`
	// AllowUnframed has answers passed on whose end is marked only by the end of
	// the connection. A complete answer of that kind cannot be distinguished from
	// a truncated one.
	AllowUnframed bool `json:"allowUnframed"`
}

// A Pool describes the instances that a service runs on.
type Pool struct {
	// Size is the number of instances that should serve, in all availability zones
	// together.
	Size int `json:"size"`
	// Shape is the minimum capacity of each instance.
	Shape pointport.Shape `json:"shape"`
	// Spread lists the failure domains to spread across, widest first.
	Spread []Domain `json:"spread,omitempty"`
	// Spare is the number of instances that are held beyond Size.
	Spare Count `json:"spare"`
	// MoveWeight and BufferWeight are the costs, relative to each other, of moving
	// an instance and of keeping a spare instance idle for an hour.
	MoveWeight   float64 `json:"moveWeight"`
	BufferWeight float64 `json:"bufferWeight"`
}

// An Upstream describes the capacity of one instance and the headers of its answers.
type Upstream struct {
	// Slots is the number of requests that an instance runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that an instance accepts from all
	// entry instances together.
	Connections int `json:"connections"`
	// NotRunHeader is the header with which an instance answers a request that it
	// did not run.
	NotRunHeader string `json:"notRunHeader"`
	// LeavingHeader is the header with which an instance announces that it is
	// leaving.
	LeavingHeader string `json:"leavingHeader"`
}

// A Retry limits the attempts of requests.
type Retry struct {
	// Ratio is the number of retries that each success adds to the retry budget.
	Ratio float64 `json:"ratio"`
	// MaxAttempts is the maximum number of attempts of one request, including the
	// first.
	MaxAttempts int `json:"maxAttempts"`
	// Buffer is how much of an answer is buffered before its first byte is sent to
	// the caller, in bytes. The request can be retried if the answer is truncated
	// within that part.
	Buffer int `json:"buffer"`
}

// An Ejection defines when a failing upstream is taken out of use for a while.
type Ejection struct {
	// Failures is the number of consecutive failures after which an upstream is
	// ejected.
	Failures int `json:"failures"`
	// For is the duration of the first ejection. Later ones last longer.
	For Duration `json:"for"`
	// Most is the largest fraction of a service's upstreams that may be ejected.
	Most float64 `json:"most"`
}

// Maintenance limits what waves and moves may do to a pool.
type Maintenance struct {
	// Budget is how many of the pool's Size instances may be out of service at
	// once, for any reason, in all availability zones together.
	Budget Count `json:"budget"`
	// Speed is how many instances a wave may have out of service at once. Budget
	// is a further limit.
	Speed Count `json:"speed"`
	// Period is the time between maintenances of an instance; zero for none.
	Period Duration `json:"period"`
	// DrainQuiet is how long an instance must be observed idle before it reboots.
	DrainQuiet Duration `json:"drainQuiet"`
	// DrainBound is how long an instance may drain before the wave skips it.
	DrainBound Duration `json:"drainBound"`
	// ReturnBound is how long a reboot may take before the instance counts as
	// failed.
	ReturnBound Duration `json:"returnBound"`
	// StopAfter is the number of failed instances at which a wave stops.
	StopAfter int `json:"stopAfter"`
}

// setDefaults sets the fields that the document omits.
func (t *Template) setDefaults() {
	if t.Service == "" {
		t.Service = t.Name
	}
	for i := range t.Routes {
		t.Routes[i].setDefaults()
	}
	setDefault(&t.Pool.Spare, AbsoluteCount(0))
	setDefault(&t.Pool.MoveWeight, 1)
	setDefault(&t.Pool.BufferWeight, 1)
	setDefault(&t.Upstream.Slots, defaultSlots)
	setDefault(&t.Upstream.Connections, defaultConnections)
	setDefault(&t.Upstream.NotRunHeader, defaultNotRunHeader)
	setDefault(&t.Upstream.LeavingHeader, defaultLeavingHeader)
	setDefault(&t.Retry.Ratio, defaultRetryRatio)
	setDefault(&t.Retry.MaxAttempts, defaultMaxAttempts)
	setDefault(&t.Retry.Buffer, defaultRetryBuffer)
	setDefault(&t.Ejection.Failures, defaultEjectFailures)
	setDefault(&t.Ejection.For, NewDuration(defaultEjectFor))
	setDefault(&t.Ejection.Most, defaultMaxEjected)
	setDefault(&t.Maintenance.Budget, Percent(10))
	setDefault(&t.Maintenance.Speed, Percent(10))
	setDefault(&t.Maintenance.DrainQuiet, NewDuration(defaultDrainQuiet))
	setDefault(&t.Maintenance.DrainBound, NewDuration(defaultDrainBound))
	setDefault(&t.Maintenance.ReturnBound, NewDuration(defaultReturnBound))
	setDefault(&t.Maintenance.StopAfter, defaultStopAfter)
	setDefault(&t.Queue, defaultQueueLength)
}

func (r *Route) setDefaults() {
	setDefault(&r.Priority, Normal)
	setDefault(&r.Timeout, NewDuration(defaultTimeout))
	setDefault(&r.MaxBody, defaultMaxBody)
	for i, m := range r.Methods {
		r.Methods[i] = strings.ToUpper(m)
	}
}

// setDefault sets *field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (t *Template) check(c *checker) {
	c.name("name", t.Name)
	c.name("service", t.Service)
	if len(t.Routes) > maxRoutes {
		c.fail("routes", fmt.Sprint(len(t.Routes)), "must not hold more than %d routes", maxRoutes)
	}
	for i := range t.Routes {
		t.Routes[i].check(c, fmt.Sprintf("routes[%d].", i))
	}
	t.Pool.check(c)
	c.between("upstream.slots", t.Upstream.Slots, 1, 10000)
	c.between("upstream.connections", t.Upstream.Connections, 1, 10000)
	c.betweenFloat("retry.ratio", t.Retry.Ratio, 0, 1)
	c.between("retry.maxAttempts", t.Retry.MaxAttempts, 1, 10)
	c.between("retry.buffer", t.Retry.Buffer, 0, 1<<20)
	c.between("ejection.failures", t.Ejection.Failures, 1, 1000)
	c.duration("ejection.for", t.Ejection.For, time.Second, time.Hour)
	c.betweenFloat("ejection.most", t.Ejection.Most, 0, 0.9)
	t.Maintenance.check(c)
	c.between("queue", t.Queue, 1, 100000)
}

func (r *Route) check(c *checker, prefix string) {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.fail(prefix+"pathPrefix", r.PathPrefix, "must start with \"/\"")
	}
	if strings.ContainsAny(r.Host, ":/ ") {
		c.fail(prefix+"host", r.Host, "must be a host without scheme, port or path")
	}
	for i, m := range r.Methods {
		c.oneOf(fmt.Sprintf("%smethods[%d]", prefix, i), m, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
	}
	c.oneOf(prefix+"priority", string(r.Priority), string(Urgent), string(Normal), string(Bulk))
	c.duration(prefix+"timeout", r.Timeout, time.Millisecond, maxTimeout)
	if r.MaxBody < 1 || r.MaxBody > maxBodyLimit {
		c.fail(prefix+"maxBody", fmt.Sprint(r.MaxBody), "must be from 1 to %d bytes", maxBodyLimit)
	}
	if r.Repeatable && r.RequireKey {
		c.fail(prefix+"requireKey", "true", "is only for work that may not be repeated")
	}
}

func (p *Pool) check(c *checker) {
	c.between("pool.size", p.Size, 0, maxPoolSize)
	for i, d := range p.Spread {
		c.oneOf(fmt.Sprintf("pool.spread[%d]", i), string(d), string(DomainRack), string(DomainZone), string(DomainRegion))
	}
	if p.Shape.CPUMilli < 0 || p.Shape.MemoryMiB < 0 || p.Shape.Accelerators < 0 {
		c.fail("pool.shape", fmt.Sprint(p.Shape), "must not be negative")
	}
	c.count("pool.spare", p.Spare)
	c.betweenFloat("pool.moveWeight", p.MoveWeight, 0, 1e6)
	c.betweenFloat("pool.bufferWeight", p.BufferWeight, 0, 1e6)
}

func (m *Maintenance) check(c *checker) {
	c.count("maintenance.budget", m.Budget)
	c.count("maintenance.speed", m.Speed)
	c.duration("maintenance.period", m.Period, 0, 365*24*time.Hour)
	c.duration("maintenance.drainQuiet", m.DrainQuiet, 100*time.Millisecond, time.Hour)
	c.duration("maintenance.drainBound", m.DrainBound, time.Second, 24*time.Hour)
	c.duration("maintenance.returnBound", m.ReturnBound, time.Second, 24*time.Hour)
	c.between("maintenance.stopAfter", m.StopAfter, 1, maxPoolSize)
}
