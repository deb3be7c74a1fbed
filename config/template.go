package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the template of a pool and of the service on it.

// A Priority orders requests and jobs that wait.
type Priority string

// The priorities, from first to last.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Bulk   Priority = "bulk"
)

// Rank returns the priority's place, from 0 for the first to be served.
func (p Priority) Rank() int {
	switch p {
	case Urgent:
		return 0
	case Bulk:
		return 2
	}
	return 1
}

// Ranks is how many ranks there are.
const Ranks = 3

// A Domain is a kind of failure domain.
type Domain string

// The failure domains that a pool can be spread across.
const (
	DomainRack   Domain = "rack"
	DomainZone   Domain = "zone"
	DomainRegion Domain = "region"
)

// Bounds and defaults of what a template holds.
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
	// Routes say which requests go to the service.
	Routes []Route `json:"routes"`
	// Pool says which instances the service has.
	Pool Pool `json:"pool"`
	// Upstream says what one instance can take.
	Upstream Upstream `json:"upstream"`
	// Retry bounds repeated attempts.
	Retry Retry `json:"retry"`
	// Ejection says when a failing upstream is left alone.
	Ejection Ejection `json:"ejection"`
	// Maintenance bounds waves.
	Maintenance Maintenance `json:"maintenance"`
	// Queue is how many requests of the service may wait in one entry instance.
	Queue int `json:"queue"`
}

// A Route says which requests go to a service, and how they are treated.
type Route struct {
	// Host is the host that the request names, without a port; empty for any.
	Host string `json:"host,omitempty"`
	// PathPrefix starts the request's path, at a path segment's border.
	PathPrefix string `json:"pathPrefix"`
	// Methods are the request's methods; empty for any.
	Methods []string `json:"methods,omitempty"`
	// Repeatable says that the work may safely run more than once.
	Repeatable bool `json:"repeatable"`
	// RequireKey refuses requests without an Idempotency-Key.
	RequireKey bool `json:"requireKey"`
	// Priority orders the requests that wait.
	Priority Priority `json:"priority"`
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout Duration `json:"timeout"`
	// MaxBody bounds the request's body, in bytes.
	MaxBody int64 `json:"maxBody"`
	// AllowUnframed passes on answers that end with the connection. They
	// cannot be told from an answer that was cut short.
	AllowUnframed bool `json:"allowUnframed"`
}

// A Pool says which instances a service has.
type Pool struct {
	// Size is how many instances should serve, over all availability zones.
	Size int `json:"size"`
	// Shape is the least that each instance must have.
	Shape pointport.Shape `json:"shape"`
	// Spread lists the failure domains to spread across, widest first.
	Spread []Domain `json:"spread,omitempty"`
	// Spare is how many instances are held beyond Size.
	Spare Count `json:"spare"`
	// MoveWeight and BufferWeight say what a move and an idle spare instance
	// for an hour cost against each other.
	MoveWeight   float64 `json:"moveWeight"`
	BufferWeight float64 `json:"bufferWeight"`
}

// An Upstream says what one instance can take.
type Upstream struct {
	// Slots is how many requests an instance runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections an instance accepts from all entry
	// instances together.
	Connections int `json:"connections"`
	// NotRunHeader is the header by which an instance says that it did not run
	// a request.
	NotRunHeader string `json:"notRunHeader"`
	// LeavingHeader is the header by which an instance says that it is leaving.
	LeavingHeader string `json:"leavingHeader"`
}

// A Retry bounds repeated attempts.
type Retry struct {
	// Ratio is how many retries are earned by one success.
	Ratio float64 `json:"ratio"`
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int `json:"maxAttempts"`
	// Buffer is how much of an answer is held back before its first byte goes
	// to the caller, in bytes, so that a cut answer can be asked for again.
	Buffer int `json:"buffer"`
}

// An Ejection says when a failing upstream is left alone.
type Ejection struct {
	// Failures is how many failures in a row eject an upstream.
	Failures int `json:"failures"`
	// For is how long the first ejection lasts. Later ones last longer.
	For Duration `json:"for"`
	// Most is the largest part of a service's upstreams that may be ejected.
	Most float64 `json:"most"`
}

// Maintenance bounds what waves and moves may do to a pool.
type Maintenance struct {
	// Budget is how many of Size instances may be out of service at once, for
	// any reason, over all availability zones.
	Budget Count `json:"budget"`
	// Speed is how many instances a wave may have out of service at once. The
	// budget bounds it further.
	Speed Count `json:"speed"`
	// Period is how often every instance is maintained; zero for never.
	Period Duration `json:"period"`
	// DrainQuiet is how long an instance must be seen idle before it reboots.
	DrainQuiet Duration `json:"drainQuiet"`
	// DrainBound is how long an instance may drain before the wave passes it by.
	DrainBound Duration `json:"drainBound"`
	// ReturnBound is how long an instance may take to come back before it
	// counts as failed.
	ReturnBound Duration `json:"returnBound"`
	// StopAfter is how many instances of a wave may fail before it stops.
	StopAfter int `json:"stopAfter"`
}

// setDefaults sets what a document leaves out.
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

// setDefault sets *field to value if it has its zero value.
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
	c.ratio("retry.ratio", t.Retry.Ratio, 0, 1)
	c.between("retry.maxAttempts", t.Retry.MaxAttempts, 1, 10)
	c.between("retry.buffer", t.Retry.Buffer, 0, 1<<20)
	c.between("ejection.failures", t.Ejection.Failures, 1, 1000)
	c.duration("ejection.for", t.Ejection.For, time.Second, time.Hour)
	c.ratio("ejection.most", t.Ejection.Most, 0, 0.9)
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
	c.ratio("pool.moveWeight", p.MoveWeight, 0, 1e6)
	c.ratio("pool.bufferWeight", p.BufferWeight, 0, 1e6)
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
