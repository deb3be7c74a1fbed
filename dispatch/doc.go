// Package dispatch decides which upstream runs a request, and when.
//
// The model: a Service has a set of upstreams and a queue. Acquire grants an
// upstream at once if one has room, and else waits its turn or is refused.
// Ending a grant reports how it went, which moves the upstream's limit, its
// ejection and the next waiting request.
//
// Invariants: a grant never exceeds the upstream's slots nor this entry
// instance's share of its connections; an upstream that is known to be leaving, or
// whose availability zone is evacuated, gets no new grant; a bounded part of the upstreams may be ejected at once;
// every request that waits gets a grant or a refusal, exactly one.
//
// The package does no input or output: what a grant is used for is the
// caller's business.
package dispatch
